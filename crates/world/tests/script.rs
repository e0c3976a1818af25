//! Simulates scripted incidents, such as the ten-minute one, and compares what the analysis of the records
//! finds with what the script did.

use hopmoor_incident::{Findings, IncidentKind, MemberState, RunEnd, analyse};
use hopmoor_record::{Folder, Merged};
use hopmoor_standin::plan::{Plan, ScriptAction};
use hopmoor_standin::truth::{Condition, GroundTruth};
use hopmoor_world::{RUN_START_UNIX_MS, simulate};
use std::path::Path;

fn analyse_records(folder: &Path, plan: &Plan) -> Findings {
    let folders = plan.nodes.iter().map(|node| Folder::list(&folder.join(node)).unwrap());
    analyse(Merged::new(folders.collect()))
}

/// Runs a plan and analyses its records.
fn run(plan: &Plan) -> (GroundTruth, Findings) {
    let folder = tempfile::tempdir().unwrap();
    let truth = simulate(plan, Some(folder.path())).unwrap();
    (truth, analyse_records(folder.path(), plan))
}

/// The spans that were found at members in one of `states`: their starts in seconds from the start of the
/// run, the members and the states.
fn span_starts(findings: &Findings, states: &[MemberState]) -> Vec<(f64, String, MemberState)> {
    let seconds = |ms: f64| (ms - RUN_START_UNIX_MS) / 1_000.0;
    let spans =
        findings.members.iter().flat_map(|member| member.spans.iter().map(move |span| (member, span)));
    let matching = spans.filter(|(_, span)| states.contains(&span.state));
    matching.map(|(member, span)| (seconds(span.from), member.name.clone(), span.state)).collect()
}

#[test]
fn the_ten_minute_incident_is_found_as_scripted() {
    let plan = Plan::ten_minutes();
    let (truth, findings) = run(&plan);
    let fault_states = [
        MemberState::Silent,
        MemberState::Dead,
        MemberState::Refusing,
        MemberState::Slow,
        MemberState::Draining,
    ];
    let mut found = span_starts(&findings, &fault_states);
    // Each change that the script made to a member is found, with its start or end to within a second.
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
        let matches = |span: &&hopmoor_incident::Span| {
            let edge = if change.begins { Some(span.from) } else { span.until };
            span.state == state
                && edge.is_some_and(|edge| ((edge - RUN_START_UNIX_MS) / 1_000.0 - at).abs() <= 1.0)
        };
        assert!(member.spans.iter().any(|span| matches(&span)), "{change:?} not found: {:?}", member.spans);
    }
    // Each fault of the script is found exactly once, and nothing else is.
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
        let before = found.len();
        found.retain(|(from, member, of)| !(member == name && *of == state && (from - at).abs() <= 1.0));
        assert_eq!(found.len() + 1, before, "{act:?} not found once");
    }
    assert_eq!(found, [], "found faults that the script did not inject");
    // One node was killed and started again; the other lost records and was later shut down.
    let runs = &findings.nodes[0].runs;
    assert_eq!(runs.iter().map(|run| run.end).collect::<Vec<_>>(), [RunEnd::Cut, RunEnd::Stopped]);
    assert!((runs[0].until - RUN_START_UNIX_MS - 470_000.0).abs() < 1_000.0, "{runs:?}");
    let cost =
        findings.incidents.iter().find(|incident| incident.kind == IncidentKind::NodeCut).unwrap().share;
    assert!(
        cost > 0.000_2,
        "its clients lost about a second each until they reconnected elsewhere, but the share is {cost}"
    );
    assert!((runs[1].from - RUN_START_UNIX_MS - 500_000.0).abs() < 1_000.0, "{runs:?}");
    let gaps = &findings.nodes[1].gaps;
    assert!(gaps.len() == 1 && (gaps[0].from - RUN_START_UNIX_MS - 420_000.0).abs() < 1_000.0, "{gaps:?}");
    assert!((gaps[0].until - RUN_START_UNIX_MS - 426_000.0).abs() < 1_000.0, "{gaps:?}");
    let left = findings.incidents.iter().find(|incident| incident.kind == IncidentKind::NodeLeft).unwrap();
    assert!((left.from - RUN_START_UNIX_MS - 560_000.0).abs() < 1_000.0);
    assert_eq!(findings.nodes[1].runs[0].end, RunEnd::Stopped);
    // The share of wanted service that was lost.
    let (actual, reported) = (truth.share_lost(), findings.service.share_lost);
    assert!(
        actual > 0.01 && (actual - reported).abs() < actual / 10.0,
        "lost {actual:.4}, reported {reported:.4}"
    );
    let explained: f64 = findings.incidents.iter().map(|incident| incident.share).sum();
    assert!(
        (explained + findings.service.unexplained - reported).abs() < 0.001,
        "{explained:.4} of {reported:.4}"
    );
    assert!(findings.service.unexplained < reported / 10.0);
}

/// With hardly a free slot, the same incident costs three times as much. Most of the loss is due to a lack of
/// capacity.
#[test]
fn the_loss_at_a_site_near_capacity_is_attributed_to_lack_of_room() {
    let plan = Plan { seed: 3, arrivals_per_s: 20.0, ..Plan::ten_minutes() };
    let (truth, findings) = run(&plan);
    let (actual, reported) = (truth.share_lost(), findings.service.share_lost);
    assert!(actual > 0.04 && (actual - reported).abs() < 0.02, "lost {actual:.4}, reported {reported:.4}");
    let room = findings.incidents.iter().filter(|incident| incident.kind == IncidentKind::NoRoom);
    assert!(room.map(|incident| incident.share).sum::<f64>() > reported / 2.0);
}

/// The same seed gives the same truth and the same findings, to the last digit.
#[test]
fn the_same_seed_gives_the_same_run() {
    let plan = Plan { until_ms: 100_000.0, ..Plan::ten_minutes() };
    assert_eq!(run(&plan), run(&plan));
}

#[test]
fn a_run_without_faults_has_no_incident_and_hardly_any_loss() {
    let (truth, findings) = run(&Plan::calm(120_000.0));
    let states = [
        MemberState::Silent,
        MemberState::Dead,
        MemberState::Refusing,
        MemberState::Slow,
        MemberState::Draining,
        MemberState::Cold,
    ];
    assert_eq!(span_starts(&findings, &states), []);
    assert_eq!(findings.incidents, []);
    assert!((truth.share_lost() - findings.service.share_lost).abs() < 0.002);
    assert!(findings.doubts.is_empty(), "{:?}", findings.doubts);
}

/// The only node is killed in the middle of an incident. Its records end there, so the incident must not be
/// reported as over.
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
