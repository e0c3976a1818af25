use super::*;
use hopmoor_standin::plan::{Plan, ScriptAction, ScriptEntry};
use hopmoor_world::{RUN_START_UNIX_MS, simulate};
use ratatui::Terminal;
use ratatui::backend::TestBackend;

fn screen(app: &App, width: u16, height: u16) -> String {
    let mut terminal = Terminal::new(TestBackend::new(width, height)).unwrap();
    terminal.draw(|frame| view::draw(frame, app)).unwrap();
    let buffer = terminal.backend().buffer().clone();
    let row = |y| (0..width).map(|x| buffer[(x, y)].symbol()).collect::<String>();
    (0..height).map(row).collect::<Vec<_>>().join("\n")
}

fn type_in(app: &mut App, text: &str) {
    text.chars().for_each(|key| app.key(Keys::Char(key)));
}

#[test]
fn a_replay_shows_the_incident_at_80_by_24_and_goes_back_and_forth() {
    let folder = tempfile::tempdir().unwrap();
    let plan = Plan { until_ms: 150_000.0, ..Plan::ten_minutes() };
    simulate(&plan, Some(folder.path())).unwrap();
    let folders: Vec<_> = plan.nodes.iter().map(|node| folder.path().join(node)).collect();
    let source = Source::replay(&folders, "start", 1.0).unwrap();
    let mut app = App::new(source);
    app.advance(Instant::now());
    app.seek(RUN_START_UNIX_MS + 70_000.0);
    let silent = screen(&app, 80, 24);
    let row = silent.lines().find(|line| line.contains("s-3")).unwrap_or_else(|| panic!("{silent}"));
    assert!(row.contains("silent"), "{silent}");
    assert!(silent.contains("red-clay-guild") && silent.contains("no answer"), "{silent}");
    assert!(silent.contains("quit") && silent.contains("REPLAY"), "keys are on the screen: {silent}");
    app.seek(RUN_START_UNIX_MS + 125_000.0);
    assert!(screen(&app, 80, 24).lines().any(|line| line.contains("s-5") && line.contains("draining")));
    app.seek(RUN_START_UNIX_MS + 50_000.0);
    let calm = screen(&app, 80, 24);
    assert!(!calm.contains("silent") && !calm.contains("draining"), "{calm}");
    // A filter shows only what holds its text; the screen bears any size.
    app.seek(RUN_START_UNIX_MS + 70_000.0);
    app.key(Keys::Char('/'));
    type_in(&mut app, "probe");
    app.key(Keys::Enter);
    let filtered = screen(&app, 80, 24);
    assert!(filtered.contains("probe of s-3") && !filtered.contains("attempt at"), "{filtered}");
    for (width, height) in [(1, 1), (20, 5), (79, 23), (200, 60)] {
        screen(&app, width, height);
    }
    app.key(Keys::Char('q'));
    assert!(app.over());
}

#[test]
fn a_live_console_follows_a_node_over_its_restart() {
    let folder = tempfile::tempdir().unwrap();
    let act = |at_ms, what| ScriptEntry { at_ms, what };
    let script = vec![
        act(8_000.0, ScriptAction::KillNode { node: "n-1".into() }),
        act(10_000.0, ScriptAction::StartNode { node: "n-1".into() }),
    ];
    let plan = Plan { nodes: vec!["n-1".into()], script, ..Plan::calm(20_000.0) };
    simulate(&plan, Some(folder.path())).unwrap();
    let mut app = App::new(Source::live(&[folder.path().join("n-1")]).unwrap());
    app.advance(Instant::now());
    let first = screen(&app, 80, 24);
    assert!(first.contains("LIVE") && first.contains("s-1"), "{first}");
    app.key(Keys::Char('f'));
    app.key(Keys::Char('f'));
    let nodes = screen(&app, 80, 24);
    assert_eq!(nodes.matches("n-1 runs, version").count(), 2, "{nodes}");
    assert!(nodes.contains("had ended without a word"), "{nodes}");
}
