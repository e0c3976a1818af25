//! The screen: head, members, tenants, events and keys. It holds at 80 by 24, and bears less.

use super::app::App;
use hopmoor_incident::dashboard::{Row, SecondCounts};
use hopmoor_page::time;
use ratatui::Frame;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style, Stylize};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Borders, Cell, Clear, Paragraph, Row as TableRow, Table};

const KEYS: &[(&str, &str)] = &[
    ("q", "quit"),
    ("space", "pause, go on"),
    ("left, right", "1 s back, on (replay)"),
    ("[ and ]", "10 s back, on (replay)"),
    (".", "0.1 s on (replay)"),
    ("- and +", "half, twice as fast (replay)"),
    ("g and G", "to the start, to the end (replay)"),
    ("up, down", "members"),
    ("PgUp, PgDn", "older, newer events"),
    ("f", "next kind of event"),
    ("/ then Enter", "events that hold this text; Esc: all"),
    ("?", "these keys"),
];

/// Draws the console.
pub fn draw(frame: &mut Frame, app: &App) {
    let tenants = app.dashboard.tenants();
    let tenant_rows = if tenants.is_empty() { 0 } else { tenants.len().min(4) as u16 + 2 };
    let half = usize::from(frame.area().height.saturating_sub(6)) / 2 + 1;
    let members = (app.dashboard.members.len() + 2).min(half).max(4) as u16;
    let parts = [
        Constraint::Length(1),
        Constraint::Length(members),
        Constraint::Length(tenant_rows),
        Constraint::Min(3),
        Constraint::Length(1),
    ];
    let [head, top, middle, events, keys] = Layout::vertical(parts).areas(frame.area());
    draw_head(frame, app, head);
    draw_members(frame, app, top);
    draw_tenants(frame, app, middle);
    draw_events(frame, app, events);
    draw_keys(frame, app, keys);
    if app.help {
        draw_help(frame);
    }
}

fn draw_head(frame: &mut Frame, app: &App, area: Rect) {
    let dashboard = &app.dashboard;
    let now = app.source.now(dashboard);
    let (served, turned) = dashboard.rates();
    let turned_style = if turned > 0.0 { Style::new().fg(Color::Red) } else { Style::new() };
    let mut line = vec![
        Span::from(format!(" {} ", app.source.word())).bold().reversed(),
        Span::from(format!(" {}  served {served:.1}/s  ", time::clock(now))),
        Span::styled(format!("turned away {turned:.1}/s "), turned_style),
    ];
    for node in &dashboard.nodes {
        let style = if node.running { Style::new().fg(Color::Green) } else { Style::new().fg(Color::Red) };
        line.push(Span::styled(
            format!(" {} {}", node.name, if node.running { "up" } else { "down" }),
            style,
        ));
    }
    frame.render_widget(Line::from(line), area);
}

fn colour(state: &str) -> Color {
    match state {
        "serving" => Color::Green,
        "draining" | "cold" => Color::Cyan,
        "gone" => Color::DarkGray,
        "slow" | "avoided" => Color::Yellow,
        _ => Color::Red,
    }
}

/// The last seconds of a member: how many attempts it served, and whether one failed.
fn sparkline(row: &Row, now: f64, width: usize) -> Line<'static> {
    const BARS: [char; 9] = ['\u{b7}', '▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
    let seconds = row.recent(now, width);
    let most = seconds.iter().map(|second| second.served + second.failed).max().unwrap_or(0).max(4);
    let bar = |second: &SecondCounts| {
        let sum = second.served + second.failed;
        let height = if sum == 0 { 0 } else { (usize::from(sum) * 8).div_ceil(usize::from(most)).min(8) };
        let style = match (second.failed, second.served) {
            (0, 0) => Style::new().fg(Color::DarkGray),
            (0, _) => Style::new().fg(Color::Green),
            (_, 0) => Style::new().fg(Color::Red),
            _ => Style::new().fg(Color::Yellow),
        };
        Span::styled(BARS[height].to_string(), style)
    };
    Line::from(seconds.iter().map(bar).collect::<Vec<_>>())
}

fn cell(text: String) -> Cell<'static> {
    Cell::from(Line::from(text).right_aligned())
}

fn draw_members(frame: &mut Frame, app: &App, area: Rect) {
    let now = app.source.now(&app.dashboard);
    let rows = app.dashboard.rows();
    let shown = usize::from(area.height.saturating_sub(2));
    let first = app.first.min(rows.len().saturating_sub(shown));
    let wide = usize::from(area.width).saturating_sub(12 + 17 + 6 + 6 + 7 + 8 + 6).max(4);
    let lines = rows.iter().skip(first).take(shown).map(|row| {
        let state = row.state();
        let load = row.load(now);
        let message = row
            .seen
            .values()
            .filter_map(|seen| seen.message_ms)
            .fold(None, |most: Option<f32>, ms| Some(most.map_or(ms, |most| most.max(ms))));
        TableRow::new([
            Cell::from(row.name.clone()),
            Cell::from(state).style(Style::new().fg(colour(state))),
            cell(load.map_or("-".into(), |(load, _)| format!("{load:.2}"))),
            cell(row.open().to_string()),
            cell(load.map_or("-".into(), |(_, age)| time::span(age).replace(" ms", "ms").replace(" s", "s"))),
            cell(message.map_or("-".into(), |ms| format!("{ms:.0} ms"))),
            Cell::from(sparkline(row, now, wide)),
        ])
    });
    let widths = [
        Constraint::Length(12),
        Constraint::Length(16),
        Constraint::Length(5),
        Constraint::Length(5),
        Constraint::Length(6),
        Constraint::Length(7),
        Constraint::Min(4),
    ];
    let right = |text: &'static str| Cell::from(Line::from(text).right_aligned());
    let names = TableRow::new([
        Cell::from("member"),
        Cell::from("state"),
        right("load"),
        right("held"),
        right("age"),
        right("message"),
        Cell::from("last seconds"),
    ]);
    let below = rows.len().saturating_sub(first + shown);
    let title = if first > 0 || below > 0 {
        format!(" {} members, {first} above, {below} below ", rows.len())
    } else {
        format!(" {} members ", rows.len())
    };
    let block = Block::new().borders(Borders::TOP).title(title);
    let header = names.style(Style::new().add_modifier(Modifier::DIM));
    frame.render_widget(Table::new(lines, widths).header(header).block(block), area);
}

fn draw_tenants(frame: &mut Frame, app: &App, area: Rect) {
    if area.height == 0 {
        return;
    }
    let tenants = app.dashboard.tenants();
    let hidden = tenants.len().saturating_sub(usize::from(area.height.saturating_sub(2)));
    let lines = tenants.into_iter().map(|(name, share)| {
        let style = if share.queued > 0 { Style::new().fg(Color::Yellow) } else { Style::new() };
        TableRow::new([
            Cell::from(name),
            cell(format!("{:.0}", share.demand)),
            cell(format!("{:.0}", share.budget)),
            cell(share.limit.to_string()),
            cell(share.open.to_string()),
            cell(share.queued.to_string()).style(style),
        ])
    });
    let widths = [
        Constraint::Min(16),
        Constraint::Length(9),
        Constraint::Length(9),
        Constraint::Length(9),
        Constraint::Length(9),
        Constraint::Length(9),
    ];
    let right = |text: &'static str| Cell::from(Line::from(text).right_aligned());
    let names = TableRow::new([
        Cell::from("tenant"),
        right("demand"),
        right("budget"),
        right("limit"),
        right("open"),
        right("queue"),
    ]);
    let title = if hidden > 0 {
        format!(" tenants, {hidden} not shown ")
    } else {
        " tenants, over all nodes ".into()
    };
    let block = Block::new().borders(Borders::TOP).title(title);
    let header = names.style(Style::new().add_modifier(Modifier::DIM));
    frame.render_widget(Table::new(lines, widths).header(header).block(block), area);
}

fn draw_events(frame: &mut Frame, app: &App, area: Rect) {
    let shown = usize::from(area.height.saturating_sub(1));
    let mut lines: Vec<_> =
        app.dashboard.lines.iter().rev().filter(|line| app.shows(line)).skip(app.back).take(shown).collect();
    lines.reverse();
    let text = lines.into_iter().map(|line| {
        let style = if line.bad { Style::new().fg(Color::Red) } else { Style::new() };
        Line::from(vec![
            Span::styled(time::clock_ms(line.at), Style::new().add_modifier(Modifier::DIM)),
            Span::from(format!(" {:<6} ", line.node)),
            Span::styled(line.text.clone(), style),
        ])
    });
    let mut title = format!(" events: {}", app.kind());
    if !app.filter.is_empty() {
        title += &format!(", with '{}'", app.filter);
    }
    if app.back > 0 {
        title += &format!(", {} back", app.back);
    }
    let block = Block::new().borders(Borders::TOP).title(title + " ");
    frame.render_widget(Paragraph::new(text.collect::<Vec<_>>()).block(block), area);
}

fn draw_keys(frame: &mut Frame, app: &App, area: Rect) {
    let line = match &app.typing {
        Some(text) => {
            Line::from(format!(" show events with: {text}\u{2588}  (Enter takes it, Esc gives it up)"))
        }
        None if app.source.seeks() => Line::from(
            " q quit  space pause  \u{2190}\u{2192} 1 s  [ ] 10 s  -+ speed  f kind  / find  ? all keys",
        ),
        None => Line::from(
            " q quit  space pause  \u{2191}\u{2193} members  PgUp PgDn events  f kind  / find  ? all keys",
        ),
    };
    frame.render_widget(line.reversed(), area);
}

fn draw_help(frame: &mut Frame) {
    let area = frame.area();
    let (width, height) = (62.min(area.width), (KEYS.len() as u16 + 2).min(area.height));
    let place = Rect::new((area.width - width) / 2, (area.height - height) / 2, width, height);
    let lines = KEYS.iter().map(|(key, what)| Line::from(format!(" {key:>13}  {what}")));
    let block = Block::bordered().title(" keys ");
    frame.render_widget(Clear, place);
    frame.render_widget(Paragraph::new(lines.collect::<Vec<_>>()).block(block), place);
}
