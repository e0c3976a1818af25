//! The scripted ten-minute incident, on stand-ins and injected time: what is found against what was done.
use hopmoor_incident::{Findings, IncidentKind, MemberState, RunEnd, analyse};
use hopmoor_record::{Folder, Merged};
use hopmoor_standin::plan::{Plan, ScriptAction};
use hopmoor_standin::truth::{Condition, GroundTruth};
use hopmoor_world::{RUN_START_UNIX_MS, simulate};
use std::path::Path;

fn found(folder: &Path, plan: &Plan) -> Findings {
    let folders = plan.nodes.iter().map(|node| Folder::list(&folder.join(node)).unwrap());
    analyse(Merged::new(folders.collect()))
}

fn run(plan: &Plan) -> (GroundTruth, Findings) {
    let folder = tempfile::tempdir().unwrap();
    let truth = simulate(plan, Some(folder.path())).unwrap();
    (truth, found(folder.path(), plan))
}

/// Beginnings of what was found at members, in seconds from the start: what is told apart by the state.
fn begun(findings: &Findings, states: &[MemberState]) -> Vec<(f64, String, MemberState)> {
    let at = |ms: f64| (ms - RUN_START_UNIX_MS) / 1_000.0;
    let all = findings.members.iter().flat_map(|member| member.spans.iter().map(move |span| (member, span)));
    let hit = all.filter(|(_, span)| states.contains(&span.state));
    hit.map(|(member, span)| (at(span.from), member.name.clone(), span.state)).collect()
}

#[test]
fn the_ten_minute_incident_is_found_as_it_was_scripted() {
    let plan = Plan::ten_minutes();
    let (truth, findings) = run(&plan);
    let troubles = [
        MemberState::Silent,
        MemberState::Dead,
        MemberState::Refusing,
        MemberState::Slow,
        MemberState::Draining,
    ];
    let mut seen = begun(&findings, &troubles);
    // Each change of the script is found, to the second, and ends when it did.
    for change in &truth.changes {
        let at = change.at_ms / 1_000.0;
        let state = match change.what {
            Condition::Silent => MemberState::Silent,
            Condition::Slow => MemberState::Slow,
            Condition::Refusing => MemberState::Refusing,
            Condition::Draining => MemberState::Draining,
            Condition::Cold => MemberState::Cold,
            Condition::Gone | Condition::Running | Condition::Deaf => continue,
        };
        let member = findings.members.iter().find(|member| member.name == change.subject).unwrap();
        let near = |span: &&hopmoor_incident::Span| {
            let edge = if change.begins { Some(span.from) } else { span.until };
            span.state == state
                && edge.is_some_and(|edge| ((edge - RUN_START_UNIX_MS) / 1_000.0 - at).abs() <= 1.0)
        };
        assert!(member.spans.iter().any(|span| near(&span)), "{change:?} not found: {:?}", member.spans);
    }
    // None is invented: whatever was found is in the script.
    for act in &plan.script {
        let (name, state) = match &act.what {
            ScriptAction::Silent { member, .. } => (member, MemberState::Silent),
            ScriptAction::Slow { member, .. } => (member, MemberState::Slow),
            ScriptAction::Refusing { member, .. } => (member, MemberState::Refusing),
            ScriptAction::Drain { member, .. } => (member, MemberState::Draining),
            ScriptAction::Kill { member } => (member, MemberState::Dead),
            _ => continue,
        };
        let at = act.at_ms / 1_000.0;
        let before = seen.len();
        seen.retain(|(from, member, of)| !(member == name && *of == state && (from - at).abs() <= 1.0));
        assert_eq!(seen.len() + 1, before, "{act:?} not found once");
    }
    assert_eq!(seen, [], "found what was not done");
    // The nodes: one cut off and back, one that lost records and then left.
    let cut = &findings.nodes[0].runs;
    assert_eq!(cut.iter().map(|run| run.end).collect::<Vec<_>>(), [RunEnd::Cut, RunEnd::Stopped]);
    assert!((cut[0].until - RUN_START_UNIX_MS - 470_000.0).abs() < 1_000.0, "{cut:?}");
    let cost =
        findings.incidents.iter().find(|incident| incident.kind == IncidentKind::NodeCut).unwrap().share;
    assert!(cost > 0.000_2, "those that stood there came again elsewhere after about a second: {cost}");
    assert!((cut[1].from - RUN_START_UNIX_MS - 500_000.0).abs() < 1_000.0, "{cut:?}");
    let gaps = &findings.nodes[1].gaps;
    assert!(gaps.len() == 1 && (gaps[0].from - RUN_START_UNIX_MS - 420_000.0).abs() < 1_000.0, "{gaps:?}");
    assert!((gaps[0].until - RUN_START_UNIX_MS - 426_000.0).abs() < 1_000.0, "{gaps:?}");
    let left = findings.incidents.iter().find(|incident| incident.kind == IncidentKind::NodeLeft).unwrap();
    assert!((left.from - RUN_START_UNIX_MS - 560_000.0).abs() < 1_000.0);
    assert_eq!(findings.nodes[1].runs[0].end, RunEnd::Stopped);
    // What it cost.
    let (really, told) = (truth.share_lost(), findings.service.share_lost);
    assert!(really > 0.01 && (really - told).abs() < really / 10.0, "lost {really:.4}, told {told:.4}");
    let explained: f64 = findings.incidents.iter().map(|incident| incident.share).sum();
    assert!((explained + findings.service.unexplained - told).abs() < 0.001, "{explained:.4} of {told:.4}");
    assert!(findings.service.unexplained < told / 10.0);
}

/// With hardly a slot to spare the same incident costs three times as much, most of it for want of room.
#[test]
fn what_an_incident_costs_a_crowded_site_is_told_as_well() {
    let plan = Plan { seed: 3, arrivals_per_s: 20.0, ..Plan::ten_minutes() };
    let (truth, findings) = run(&plan);
    let (really, told) = (truth.share_lost(), findings.service.share_lost);
    assert!(really > 0.04 && (really - told).abs() < 0.02, "lost {really:.4}, told {told:.4}");
    let room = findings.incidents.iter().filter(|incident| incident.kind == IncidentKind::NoRoom);
    assert!(room.map(|incident| incident.share).sum::<f64>() > told / 2.0);
}

/// The same seed tells the same, to the last digit.
#[test]
fn one_seed_is_one_run() {
    let plan = Plan { until_ms: 100_000.0, ..Plan::ten_minutes() };
    assert_eq!(run(&plan), run(&plan));
}

#[test]
fn calm_has_no_incident_and_hardly_a_loss() {
    let (truth, findings) = run(&Plan::calm(120_000.0));
    let states = [
        MemberState::Silent,
        MemberState::Dead,
        MemberState::Refusing,
        MemberState::Slow,
        MemberState::Draining,
        MemberState::Cold,
    ];
    assert_eq!(begun(&findings, &states), []);
    assert_eq!(findings.incidents, []);
    assert!((truth.share_lost() - findings.service.share_lost).abs() < 0.002);
    assert!(findings.doubts.is_empty(), "{:?}", findings.doubts);
}

/// Killed in the middle of an incident: the records end there, and nothing is said of what came after.
#[test]
fn records_that_end_mid_incident_show_no_recovery() {
    let mut plan = Plan { nodes: vec!["n-1".into()], until_ms: 90_000.0, ..Plan::ten_minutes() };
    plan.script.truncate(1);
    plan.script.push(hopmoor_standin::plan::ScriptEntry {
        at_ms: 70_000.0,
        what: ScriptAction::KillNode { node: "n-1".into() },
    });
    let (_, findings) = run(&plan);
    assert!((findings.until - RUN_START_UNIX_MS - 70_000.0).abs() < 1_000.0);
    let silent = findings.members.iter().find(|member| member.name == "s-3").unwrap();
    let span = silent.spans.iter().find(|span| span.state == MemberState::Silent).unwrap();
    assert_eq!(span.until, None);
    assert_eq!(findings.nodes[0].runs[0].end, RunEnd::RecordsEnd);
    assert!(
        findings.incidents.iter().any(|incident| incident.cause.contains("up to the end of the records"))
    );
}
