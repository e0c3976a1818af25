//! A history as a page: a row a node, by time; how many others hold it dead or suspect, and faults as bands.

use hopmoor_standin::faults::{Fault, Schedule};
use hopmoor_standin::history::{History, NodeEventKind, ProcessState};
use maud::{Markup, html};

/// Pixels of a second, at most, and of a node's row.
const SECOND: f64 = 20.0;
const WIDTH: f64 = 1_000.0;
const ROW: f64 = 14.0;
/// Samples are drawn as wide as this many seconds.
const STEP: f64 = 0.25;

struct Paper {
    scale: f64,
    left: f64,
}

impl Paper {
    fn x(&self, at: f64) -> f64 {
        self.left + at * self.scale
    }
}

fn band(paper: &Paper, schedule: &Schedule, at: f64, fault: &Fault) -> Markup {
    let high = schedule.nodes as f64 * ROW;
    let (seconds, color) = match fault {
        Fault::Link { seconds, how, .. } if how.cut => (*seconds, "#c4433020"),
        Fault::Link { seconds, .. } => (*seconds, "#c48a3020"),
        Fault::Stop { seconds, .. } | Fault::Flood { seconds, .. } => (*seconds, "#3060c420"),
        Fault::Rotate { pause } => (2.0 * pause, "#30a06020"),
        _ => (0.1, "#00000060"),
    };
    let words = serde_json::to_string(fault).unwrap_or_default();
    html! {
        rect x=(paper.x(at)) y="0" width=((seconds * paper.scale).max(1.0)) height=(high) fill=(color) {
            title { (format!("{at:.1} s: {words}")) }
        }
    }
}

/// The page.
pub fn page(history: &History) -> String {
    let empty = Schedule { nodes: 0, zones: 1, voters: 0, seconds: 1.0, seed: 0, steps: Vec::new() };
    let schedule = history.schedule.as_ref().unwrap_or(&empty);
    let paper = Paper { scale: (WIDTH / schedule.seconds).min(SECOND), left: 60.0 };
    let high = schedule.nodes as f64 * ROW;
    let cells = (schedule.seconds / STEP) as usize;
    // By node and time: of those that told of it, how many held it dead, and how many suspect.
    let mut held = vec![vec![(0u32, 0u32, 0u32); cells + 1]; schedule.nodes];
    for seen in &history.seen {
        let cell = ((seen.at / STEP) as usize).min(cells);
        for (node, state) in seen.states.iter().filter(|(node, _)| **node != seen.node) {
            let Some((all, dead, suspect)) = held.get_mut(*node).and_then(|row| row.get_mut(cell)) else {
                continue;
            };
            *all += 1;
            *dead += u32::from(state == "dead" || state == "left");
            *suspect += u32::from(state == "suspect");
        }
    }
    let rows = html! {
        @for (node, row) in held.iter().enumerate() {
            @let y = node as f64 * ROW;
            text x="0" y=(y + ROW - 3.0) font-size="10" { (format!("n-{node:04}")) }
            @for (cell, (all, dead, suspect)) in row.iter().enumerate() {
                @let at = cell as f64 * STEP;
                @let up = history.process_state(node, at).0 == ProcessState::Up;
                @if *all > 0 {
                    @let part = f64::from(*dead) / f64::from(*all);
                    @let doubt = f64::from(*suspect) / f64::from(*all);
                    @if part > 0.0 || doubt > 0.0 {
                        rect x=(paper.x(at)) y=(y + 2.0) width=((STEP * paper.scale).max(0.5)) height=(ROW - 4.0)
                            fill=(if part > 0.0 { "#b03020" } else { "#e0a030" })
                            fill-opacity=(format!("{:.2}", 0.15 + 0.85 * part.max(doubt))) {
                            title { (format!("{at:.1} s: {dead} of {all} hold it dead, {suspect} suspect; it {}",
                                if up { "ran" } else { "did not run" })) }
                        }
                    }
                }
                @if !up {
                    rect x=(paper.x(at)) y=(y + ROW - 2.0) width=((STEP * paper.scale).max(0.5)) height="2"
                        fill="#444" {}
                }
            }
        }
        @for act in history.acts.iter().filter(|act| !matches!(act.what, NodeEventKind::Started) || act.at > 0.0) {
            @let y = act.node as f64 * ROW;
            rect x=(paper.x(act.at)) y=(y) width="2" height=(ROW) fill="#000" {
                title { (format!("{:.1} s: {:?}", act.at, act.what)) }
            }
        }
    };
    let body = html! {
        p { "Grey below a row: its process did not run. Yellow: others suspect it. Red: others hold it dead; the "
            "stronger, the more of them. Bands: faults; black ticks: what was done to a process. Point at anything "
            "to read it." }
        pre { (history.summary()) }
        div style="overflow-x:auto" {
            svg xmlns="http://www.w3.org/2000/svg" width=(paper.x(schedule.seconds) + 10.0) height=(high + 4.0)
                font-family="monospace" {
                @for step in &schedule.steps { (band(&paper, schedule, step.at, &step.fault)) }
                (rows)
            }
        }
    };
    hopmoor_page::page("A fleet's history", &body)
}
