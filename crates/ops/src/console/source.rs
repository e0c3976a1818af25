//! Sources of the console's records: live tails of the folders that nodes write to, or a replay of past
//! records.

use crate::{Failed, merge_folders};
use hopmoor_incident::Dashboard;
use hopmoor_page::time;
use hopmoor_record::folder::Item;
use hopmoor_record::merge::Step;
use hopmoor_record::{Merged, Origin, Tail};
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of items read from one folder per poll, so that a long backlog does not freeze the screen.
const MAX_ITEMS_PER_POLL: usize = 20_000;

/// A stream of records.
pub enum Source {
    /// Follows what nodes write now.
    Live(Live),
    /// Replays what nodes wrote earlier.
    Replay(Replay),
}

/// Live tails of the nodes' folders.
pub struct Live {
    /// For each folder its tail, the start time of the node's current run, and the time of the last item
    /// read.
    tails: Vec<(Tail, Option<f64>, f64)>,
    paused: bool,
}

/// A replay of past records. Times are Unix milliseconds.
pub struct Replay {
    folders: Vec<PathBuf>,
    records: Merged,
    /// The first step after `position`.
    next: Option<(Origin, f64, Step)>,
    /// The time replayed up to.
    position: f64,
    /// Time of the first record.
    start: f64,
    speed: f64,
    paused: bool,
    at_end: bool,
}

impl Source {
    /// Follows folders from their oldest segment on.
    pub fn live(folders: &[PathBuf]) -> Result<Source, Failed> {
        let tails = folders.iter().map(|folder| Ok((Tail::new(folder, true)?, None, 0.0)));
        Ok(Source::Live(Live { tails: tails.collect::<Result<_, Failed>>()?, paused: false }))
    }

    /// Replays folders from the time `at` on: `start`, or a time as [`time::parse`] takes it.
    pub fn replay(folders: &[PathBuf], at: &str, speed: f64) -> Result<Source, Failed> {
        let mut records = merge_folders(folders)?;
        let next = records.next();
        let start = next.as_ref().map_or(0.0, |(_, at, _)| *at);
        let position = if at == "start" { start } else { time::parse(at, start)? };
        let (folders, paused, at_end) = (folders.to_vec(), false, false);
        Ok(Source::Replay(Replay { folders, records, next, position, start, speed, paused, at_end }))
    }

    /// Reads what nodes have written since, or advances a replay that runs by `passed_ms` times its speed.
    pub fn advance(&mut self, passed_ms: f64, dashboard: &mut Dashboard) {
        match self {
            Source::Live(live) => live.poll(dashboard),
            Source::Replay(replay) => {
                if !replay.paused && !replay.at_end {
                    replay.position += passed_ms * replay.speed;
                }
                replay.feed_until_position(dashboard);
            }
        }
    }

    /// Moves a replay to a time and returns `true`; `false` if the source is live or its folders cannot be
    /// read.
    pub fn seek(&mut self, to_ms: f64, dashboard: &mut Dashboard) -> bool {
        let Source::Replay(replay) = self else { return false };
        if to_ms < replay.position {
            // The dashboard cannot undo steps: going back starts over from the first record.
            let Ok(records) = merge_folders(&replay.folders) else { return false };
            replay.records = records;
            replay.next = replay.records.next();
            *dashboard = Dashboard::default();
        }
        replay.at_end = false;
        replay.position = to_ms.max(replay.start);
        replay.feed_until_position(dashboard);
        if replay.at_end {
            replay.position = dashboard.now;
        }
        true
    }

    /// The time shown, in Unix milliseconds.
    pub fn now(&self, dashboard: &Dashboard) -> f64 {
        match self {
            Source::Live(_) => {
                let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                let host_ms = unix.as_secs_f64() * 1_000.0;
                // If the newest record is not within an hour of the host's clock, the records are from
                // another time: their own end is shown.
                if (host_ms - dashboard.now).abs() < 3_600_000.0 {
                    host_ms.max(dashboard.now)
                } else {
                    dashboard.now
                }
            }
            Source::Replay(replay) => replay.position,
        }
    }

    /// Pauses, or resumes after a pause.
    pub fn toggle_pause(&mut self) {
        let paused = match self {
            Source::Live(live) => &mut live.paused,
            Source::Replay(replay) => &mut replay.paused,
        };
        *paused = !*paused;
    }

    /// Multiplies the speed of a replay by a factor, within the bounds of `--speed`.
    pub fn multiply_speed(&mut self, factor: f64) {
        if let Source::Replay(replay) = self {
            replay.speed = (replay.speed * factor).clamp(0.1, 1_000.0);
        }
    }

    /// Label for the head of the screen: live or replay, speed, paused, at the end.
    pub fn status_label(&self) -> String {
        match self {
            Source::Live(live) if live.paused => "LIVE, paused".into(),
            Source::Live(_) => "LIVE".into(),
            Source::Replay(replay) if replay.at_end => "REPLAY, at the end".into(),
            Source::Replay(replay) if replay.paused => format!("REPLAY x{}, paused", replay.speed),
            Source::Replay(replay) => format!("REPLAY x{}", replay.speed),
        }
    }

    /// Whether [`Source::seek`] works.
    pub fn can_seek(&self) -> bool {
        matches!(self, Source::Replay(_))
    }
}

impl Live {
    /// Reads new items of all folders and feeds them in the order of their times.
    fn poll(&mut self, dashboard: &mut Dashboard) {
        if self.paused {
            return;
        }
        let mut steps = Vec::new();
        for (index, (tail, run, last)) in self.tails.iter_mut().enumerate() {
            for item in tail.poll(MAX_ITEMS_PER_POLL) {
                let step = match item {
                    Item::Segment(header) if *run == Some(header.started) => continue,
                    Item::Segment(header) => {
                        *run = Some(header.started);
                        *last = header.base;
                        Step::RunStarted(header)
                    }
                    Item::Record(record) => {
                        *last = record.at;
                        Step::Record(record)
                    }
                    Item::Damaged(path, damage) => Step::Damaged(path, damage),
                };
                steps.push((Origin(index), *last, step));
            }
        }
        steps.sort_by(|a, b| a.1.total_cmp(&b.1));
        steps.into_iter().for_each(|(origin, at, step)| dashboard.feed(origin, at, &step));
    }
}

impl Replay {
    /// Feeds all steps up to `position`.
    fn feed_until_position(&mut self, dashboard: &mut Dashboard) {
        while let Some((origin, at, step)) = self.next.take_if(|(_, at, _)| *at <= self.position) {
            dashboard.feed(origin, at, &step);
            self.next = self.records.next();
        }
        self.at_end = self.next.is_none();
    }
}
