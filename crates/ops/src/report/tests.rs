use super::*;
use hopmoor_incident::Span;

#[test]
fn names_from_records_are_escaped_in_the_page() {
    let name = "<script>alert(1)</script>\"'&";
    let span = Span { state: MemberState::Silent, from: 1e12, until: None, evidence: 3 };
    let incident = Incident {
        number: 1,
        kind: IncidentKind::Member(MemberState::Silent),
        subject: name.into(),
        from: 1e12,
        until: None,
        cause: format!("member {name} answered nothing"),
        lost: 1.0,
        share: 0.5,
        by_class: vec![],
    };
    let findings = Findings {
        from: 1e12,
        until: 1e12 + 1e5,
        members: vec![Member { name: name.into(), spans: vec![span], ..Member::default() }],
        classes: vec![ServiceTotals { name: name.into(), asked: 1.0, lost: 0.5, ..ServiceTotals::default() }],
        tenants: vec![ServiceTotals { name: name.into(), asked: 1.0, lost: 0.5, ..ServiceTotals::default() }],
        nodes: vec![hopmoor_incident::Node { name: name.into(), ..Default::default() }],
        incidents: vec![incident],
        ..Findings::default()
    };
    let page = render_page(&findings);
    assert!(!page.contains("<script") && !page.contains("alert(1)</") && page.contains("&lt;script&gt;"));
    // A quote in a name does not close the attribute that holds it.
    assert!(!page.contains("&quot;'&amp;\" href") && !page.contains("m-<"));
}

#[test]
fn empty_findings_render_a_whole_page() {
    let page = render_page(&Findings::default());
    assert!(page.contains("Incident report") && page.contains("</html>"));
}
