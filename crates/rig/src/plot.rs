//! Draws a history as an HTML page: one row per node over time, coloured by the share of other nodes that
//! consider it dead or suspect, with faults as vertical bands.

use hopmoor_standin::faults::{Fault, Schedule};
use hopmoor_standin::history::{History, NodeEventKind, ProcessState};
use maud::{Markup, html};

/// Upper bound of the scale, in pixels per second of the history.
const MAX_PX_PER_SECOND: f64 = 20.0;
/// Upper bound of the width of the time axis, in pixels.
const MAX_PLOT_WIDTH_PX: f64 = 1_000.0;
/// Height of a node's row, in pixels.
const ROW_HEIGHT_PX: f64 = 14.0;
/// Time span of one cell of a row, in seconds; the samples within it are summed.
const CELL_SECONDS: f64 = 0.25;

/// Maps times of the history, in seconds, to x coordinates in pixels.
struct TimeAxis {
    scale: f64,
    left: f64,
}

impl TimeAxis {
    fn x(&self, at: f64) -> f64 {
        self.left + at * self.scale
    }
}

/// Draws a fault as a band over all rows.
fn band(axis: &TimeAxis, schedule: &Schedule, at: f64, fault: &Fault) -> Markup {
    let height = schedule.nodes as f64 * ROW_HEIGHT_PX;
    let (seconds, color) = match fault {
        Fault::Link { seconds, how, .. } if how.cut => (*seconds, "#c4433020"),
        Fault::Link { seconds, .. } => (*seconds, "#c48a3020"),
        Fault::Stop { seconds, .. } | Fault::Flood { seconds, .. } => (*seconds, "#3060c420"),
        Fault::Rotate { pause } => (2.0 * pause, "#30a06020"),
        _ => (0.1, "#00000060"),
    };
    let fault_json = serde_json::to_string(fault).unwrap_or_default();
    html! {
        rect x=(axis.x(at)) y="0" width=((seconds * axis.scale).max(1.0)) height=(height) fill=(color) {
            title { (format!("{at:.1} s: {fault_json}")) }
        }
    }
}

/// Renders a history as an HTML page.
pub fn page(history: &History) -> String {
    let empty = Schedule { nodes: 0, zones: 1, voters: 0, seconds: 1.0, seed: 0, steps: Vec::new() };
    let schedule = history.schedule.as_ref().unwrap_or(&empty);
    let axis = TimeAxis { scale: (MAX_PLOT_WIDTH_PX / schedule.seconds).min(MAX_PX_PER_SECOND), left: 60.0 };
    let height = schedule.nodes as f64 * ROW_HEIGHT_PX;
    let cells = (schedule.seconds / CELL_SECONDS) as usize;
    // For each node and cell: how many samples of other nodes list the node, how many of them as dead or
    // left, and how many as suspect.
    let mut counts = vec![vec![(0u32, 0u32, 0u32); cells + 1]; schedule.nodes];
    for observation in &history.seen {
        let cell = ((observation.at / CELL_SECONDS) as usize).min(cells);
        for (node, state) in observation.states.iter().filter(|(node, _)| **node != observation.node) {
            let Some((all, dead, suspect)) = counts.get_mut(*node).and_then(|row| row.get_mut(cell)) else {
                continue;
            };
            *all += 1;
            *dead += u32::from(state == "dead" || state == "left");
            *suspect += u32::from(state == "suspect");
        }
    }
    let rows = html! {
        @for (node, row) in counts.iter().enumerate() {
            @let y = node as f64 * ROW_HEIGHT_PX;
            text x="0" y=(y + ROW_HEIGHT_PX - 3.0) font-size="10" { (format!("n-{node:04}")) }
            @for (cell, (all, dead, suspect)) in row.iter().enumerate() {
                @let at = cell as f64 * CELL_SECONDS;
                @let up = history.process_state(node, at).0 == ProcessState::Up;
                @if *all > 0 {
                    @let dead_share = f64::from(*dead) / f64::from(*all);
                    @let suspect_share = f64::from(*suspect) / f64::from(*all);
                    @if dead_share > 0.0 || suspect_share > 0.0 {
                        rect x=(axis.x(at)) y=(y + 2.0) width=((CELL_SECONDS * axis.scale).max(0.5))
                            height=(ROW_HEIGHT_PX - 4.0)
                            fill=(if dead_share > 0.0 { "#b03020" } else { "#e0a030" })
                            fill-opacity=(format!("{:.2}", 0.15 + 0.85 * dead_share.max(suspect_share))) {
                            title { (format!(
                                "{at:.1} s: {dead} of {all} hold it dead, {suspect} suspect; it {}",
                                if up { "ran" } else { "did not run" })) }
                        }
                    }
                }
                @if !up {
                    rect x=(axis.x(at)) y=(y + ROW_HEIGHT_PX - 2.0)
                        width=((CELL_SECONDS * axis.scale).max(0.5)) height="2" fill="#444" {}
                }
            }
        }
        @for event in history
            .acts
            .iter()
            .filter(|event| !matches!(event.what, NodeEventKind::Started) || event.at > 0.0) {
            @let y = event.node as f64 * ROW_HEIGHT_PX;
            rect x=(axis.x(event.at)) y=(y) width="2" height=(ROW_HEIGHT_PX) fill="#000" {
                title { (format!("{:.1} s: {:?}", event.at, event.what)) }
            }
        }
    };
    let body = html! {
        p { "Grey below a row: its process did not run. Yellow: others suspect it. Red: others hold it dead; the "
            "stronger, the more of them. Bands: faults; black ticks: what was done to a process. Point at anything "
            "to read it." }
        pre { (history.summary()) }
        div style="overflow-x:auto" {
            svg xmlns="http://www.w3.org/2000/svg" width=(axis.x(schedule.seconds) + 10.0)
                height=(height + 4.0) font-family="monospace" {
                @for step in &schedule.steps { (band(&axis, schedule, step.at, &step.fault)) }
                (rows)
            }
        }
    };
    hopmoor_page::page("A fleet's history", &body)
}
