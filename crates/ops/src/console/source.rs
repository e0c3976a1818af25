//! Where the console's records come from: the tails of folders that nodes write to, or the past.

use crate::{Failed, merged};
use hopmoor_incident::Dashboard;
use hopmoor_page::time;
use hopmoor_record::folder::Item;
use hopmoor_record::merge::Step;
use hopmoor_record::{Merged, Origin, Tail};
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// Items taken from one folder at a time: guards against a screen that stands still while much is read.
const MOST: usize = 20_000;

/// Records as time passes.
pub enum Source {
    /// What nodes write now.
    Live(Live),
    /// What they wrote.
    Replay(Replay),
}

/// The tails of folders.
pub struct Live {
    tails: Vec<(Tail, Option<f64>, f64)>,
    paused: bool,
}

/// Records of the past, and the time that a replay has come to.
pub struct Replay {
    folders: Vec<PathBuf>,
    records: Merged,
    next: Option<(Origin, f64, Step)>,
    at: f64,
    from: f64,
    speed: f64,
    paused: bool,
    ended: bool,
}

impl Source {
    /// Follows folders.
    pub fn live(folders: &[PathBuf]) -> Result<Source, Failed> {
        let tails = folders.iter().map(|folder| Ok((Tail::new(folder, true)?, None, 0.0)));
        Ok(Source::Live(Live { tails: tails.collect::<Result<_, Failed>>()?, paused: false }))
    }

    /// Replays folders from a time on.
    pub fn replay(folders: &[PathBuf], at: &str, speed: f64) -> Result<Source, Failed> {
        let mut records = merged(folders)?;
        let next = records.next();
        let from = next.as_ref().map_or(0.0, |(_, at, _)| *at);
        let at = if at == "start" { from } else { time::read(at, from)? };
        let (folders, paused, ended) = (folders.to_vec(), false, false);
        Ok(Source::Replay(Replay { folders, records, next, at, from, speed, paused, ended }))
    }

    /// Lets time pass.
    pub fn advance(&mut self, passed_ms: f64, dashboard: &mut Dashboard) {
        match self {
            Source::Live(live) => live.poll(dashboard),
            Source::Replay(replay) => {
                if !replay.paused && !replay.ended {
                    replay.at += passed_ms * replay.speed;
                }
                replay.read(dashboard);
            }
        }
    }

    /// Goes to a time of a replay; says whether it did.
    pub fn seek(&mut self, to: f64, dashboard: &mut Dashboard) -> bool {
        let Source::Replay(replay) = self else { return false };
        if to < replay.at {
            // What was taken in can't be taken back: it is read from the beginning again.
            let Ok(records) = merged(&replay.folders) else { return false };
            replay.records = records;
            replay.next = replay.records.next();
            *dashboard = Dashboard::default();
        }
        replay.ended = false;
        replay.at = to.max(replay.from);
        replay.read(dashboard);
        if replay.ended {
            replay.at = dashboard.now;
        }
        true
    }

    /// The time that is shown.
    pub fn now(&self, dashboard: &Dashboard) -> f64 {
        match self {
            Source::Live(_) => {
                let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                let wall = unix.as_secs_f64() * 1_000.0;
                // Records of another day are looked at from their own end.
                if (wall - dashboard.now).abs() < 3_600_000.0 {
                    wall.max(dashboard.now)
                } else {
                    dashboard.now
                }
            }
            Source::Replay(replay) => replay.at,
        }
    }

    /// Stops time, or lets it go on.
    pub fn pause(&mut self) {
        let paused = match self {
            Source::Live(live) => &mut live.paused,
            Source::Replay(replay) => &mut replay.paused,
        };
        *paused = !*paused;
    }

    /// A replay goes so many times as fast.
    pub fn faster(&mut self, by: f64) {
        if let Source::Replay(replay) = self {
            replay.speed = (replay.speed * by).clamp(0.1, 1_000.0);
        }
    }

    /// What it is, for the head of the screen.
    pub fn word(&self) -> String {
        match self {
            Source::Live(live) if live.paused => "LIVE, paused".into(),
            Source::Live(_) => "LIVE".into(),
            Source::Replay(replay) if replay.ended => "REPLAY, at the end".into(),
            Source::Replay(replay) if replay.paused => format!("REPLAY x{}, paused", replay.speed),
            Source::Replay(replay) => format!("REPLAY x{}", replay.speed),
        }
    }

    /// Whether it can be sought in.
    pub fn seeks(&self) -> bool {
        matches!(self, Source::Replay(_))
    }
}

impl Live {
    fn poll(&mut self, dashboard: &mut Dashboard) {
        if self.paused {
            return;
        }
        let mut steps = Vec::new();
        for (at, (tail, run, last)) in self.tails.iter_mut().enumerate() {
            for item in tail.poll(MOST) {
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
                steps.push((Origin(at), *last, step));
            }
        }
        steps.sort_by(|a, b| a.1.total_cmp(&b.1));
        steps.into_iter().for_each(|(origin, at, step)| dashboard.feed(origin, at, &step));
    }
}

impl Replay {
    fn read(&mut self, dashboard: &mut Dashboard) {
        while let Some((origin, at, step)) = self.next.take_if(|(_, at, _)| *at <= self.at) {
            dashboard.feed(origin, at, &step);
            self.next = self.records.next();
        }
        self.ended = self.next.is_none();
    }
}
