//! Layout of the screen: head, members, tenants, events and keys. Everything fits into 80 by 24 cells;
//! smaller terminals cut it off without an error.

use super::app::App;
use hopmoor_incident::dashboard::{Row, SecondCounts};
use hopmoor_page::time;
use ratatui::Frame;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style, Stylize};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Block, Borders, Cell, Clear, Paragraph, Row as TableRow, Table};

/// Key bindings and what they do, for the help pop-up.
const KEY_HELP: &[(&str, &str)] = &[
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

/// Draws the whole screen.
pub fn draw(frame: &mut Frame, app: &App) {
    let tenants = app.dashboard.tenants();
    let tenant_rows = if tenants.is_empty() { 0 } else { tenants.len().min(4) as u16 + 2 };
    let max_member_rows = usize::from(frame.area().height.saturating_sub(6)) / 2 + 1;
    let member_rows = (app.dashboard.members.len() + 2).min(max_member_rows).max(4) as u16;
    let constraints = [
        Constraint::Length(1),
        Constraint::Length(member_rows),
        Constraint::Length(tenant_rows),
        Constraint::Min(3),
        Constraint::Length(1),
    ];
    let [head, member_area, tenant_area, events, keys] = Layout::vertical(constraints).areas(frame.area());
    draw_head(frame, app, head);
    draw_members(frame, app, member_area);
    draw_tenants(frame, app, tenant_area);
    draw_events(frame, app, events);
    draw_keys(frame, app, keys);
    if app.show_help {
        draw_help(frame);
    }
}

fn draw_head(frame: &mut Frame, app: &App, area: Rect) {
    let dashboard = &app.dashboard;
    let now = app.source.now(dashboard);
    let (served_per_s, turned_away_per_s) = dashboard.rates();
    let turned_away_style = if turned_away_per_s > 0.0 { Style::new().fg(Color::Red) } else { Style::new() };
    let mut line = vec![
        Span::from(format!(" {} ", app.source.status_label())).bold().reversed(),
        Span::from(format!(" {}  served {served_per_s:.1}/s  ", time::clock(now))),
        Span::styled(format!("turned away {turned_away_per_s:.1}/s "), turned_away_style),
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

fn state_colour(state: &str) -> Color {
    match state {
        "serving" => Color::Green,
        "draining" | "cold" => Color::Cyan,
        "gone" => Color::DarkGray,
        "slow" | "avoided" => Color::Yellow,
        _ => Color::Red,
    }
}

/// One bar per second of a member: its height is the number of attempts, its colour says whether they were
/// served (green), failed (red) or both (yellow).
fn sparkline(row: &Row, now: f64, width: usize) -> Line<'static> {
    const BARS: [char; 9] = ['\u{b7}', '▁', '▂', '▃', '▄', '▅', '▆', '▇', '█'];
    let seconds = row.recent(now, width);
    let peak = seconds.iter().map(|second| second.served + second.failed).max().unwrap_or(0).max(4);
    let bar = |second: &SecondCounts| {
        let attempts = second.served + second.failed;
        let height =
            if attempts == 0 { 0 } else { (usize::from(attempts) * 8).div_ceil(usize::from(peak)).min(8) };
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

/// A right-aligned cell.
fn right_cell(text: String) -> Cell<'static> {
    Cell::from(Line::from(text).right_aligned())
}

fn draw_members(frame: &mut Frame, app: &App, area: Rect) {
    let now = app.source.now(&app.dashboard);
    let rows = app.dashboard.rows();
    let shown = usize::from(area.height.saturating_sub(2));
    let first = app.first_member.min(rows.len().saturating_sub(shown));
    // The width that is left by the other columns and the spaces between them.
    let sparkline_width = usize::from(area.width).saturating_sub(12 + 17 + 6 + 6 + 7 + 8 + 6).max(4);
    let lines =
        rows.iter().skip(first).take(shown).map(|row| {
            let state = row.state();
            let load = row.load(now);
            let slowest_message_ms = row
                .seen
                .values()
                .filter_map(|seen| seen.message_ms)
                .fold(None, |slowest: Option<f32>, ms| Some(slowest.map_or(ms, |slowest| slowest.max(ms))));
            TableRow::new([
                Cell::from(row.name.clone()),
                Cell::from(state).style(Style::new().fg(state_colour(state))),
                right_cell(load.map_or("-".into(), |(load, _)| format!("{load:.2}"))),
                right_cell(row.open().to_string()),
                right_cell(load.map_or("-".into(), |(_, age)| {
                    time::duration(age).replace(" ms", "ms").replace(" s", "s")
                })),
                right_cell(slowest_message_ms.map_or("-".into(), |ms| format!("{ms:.0} ms"))),
                Cell::from(sparkline(row, now, sparkline_width)),
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
    let heading = |text: &'static str| Cell::from(Line::from(text).right_aligned());
    let headings = TableRow::new([
        Cell::from("member"),
        Cell::from("state"),
        heading("load"),
        heading("held"),
        heading("age"),
        heading("message"),
        Cell::from("last seconds"),
    ]);
    let hidden_below = rows.len().saturating_sub(first + shown);
    let title = if first > 0 || hidden_below > 0 {
        format!(" {} members, {first} above, {hidden_below} below ", rows.len())
    } else {
        format!(" {} members ", rows.len())
    };
    let block = Block::new().borders(Borders::TOP).title(title);
    let header = headings.style(Style::new().add_modifier(Modifier::DIM));
    frame.render_widget(Table::new(lines, widths).header(header).block(block), area);
}

/// The tenants with their demand, budget and use, summed over all nodes; no more rows than fit.
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
            right_cell(format!("{:.0}", share.demand)),
            right_cell(format!("{:.0}", share.budget)),
            right_cell(share.limit.to_string()),
            right_cell(share.open.to_string()),
            right_cell(share.queued.to_string()).style(style),
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
    let heading = |text: &'static str| Cell::from(Line::from(text).right_aligned());
    let headings = TableRow::new([
        Cell::from("tenant"),
        heading("demand"),
        heading("budget"),
        heading("limit"),
        heading("open"),
        heading("queue"),
    ]);
    let title = if hidden > 0 {
        format!(" tenants, {hidden} not shown ")
    } else {
        " tenants, over all nodes ".into()
    };
    let block = Block::new().borders(Borders::TOP).title(title);
    let header = headings.style(Style::new().add_modifier(Modifier::DIM));
    frame.render_widget(Table::new(lines, widths).header(header).block(block), area);
}

fn draw_events(frame: &mut Frame, app: &App, area: Rect) {
    let shown = usize::from(area.height.saturating_sub(1));
    let mut lines: Vec<_> = app
        .dashboard
        .lines
        .iter()
        .rev()
        .filter(|line| app.is_shown(line))
        .skip(app.scroll_back)
        .take(shown)
        .collect();
    lines.reverse();
    let text = lines.into_iter().map(|line| {
        let style = if line.bad { Style::new().fg(Color::Red) } else { Style::new() };
        Line::from(vec![
            Span::styled(time::clock_ms(line.at), Style::new().add_modifier(Modifier::DIM)),
            Span::from(format!(" {:<6} ", line.node)),
            Span::styled(line.text.clone(), style),
        ])
    });
    let mut title = format!(" events: {}", app.event_filter());
    if !app.filter.is_empty() {
        title += &format!(", with '{}'", app.filter);
    }
    if app.scroll_back > 0 {
        title += &format!(", {} back", app.scroll_back);
    }
    let block = Block::new().borders(Borders::TOP).title(title + " ");
    frame.render_widget(Paragraph::new(text.collect::<Vec<_>>()).block(block), area);
}

fn draw_keys(frame: &mut Frame, app: &App, area: Rect) {
    let line = match &app.filter_input {
        Some(text) => {
            Line::from(format!(" show events with: {text}\u{2588}  (Enter takes it, Esc gives it up)"))
        }
        None if app.source.can_seek() => Line::from(
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
    let (width, height) = (62.min(area.width), (KEY_HELP.len() as u16 + 2).min(area.height));
    let popup = Rect::new((area.width - width) / 2, (area.height - height) / 2, width, height);
    let lines = KEY_HELP.iter().map(|(key, action)| Line::from(format!(" {key:>13}  {action}")));
    let block = Block::bordered().title(" keys ");
    frame.render_widget(Clear, popup);
    frame.render_widget(Paragraph::new(lines.collect::<Vec<_>>()).block(block), popup);
}
