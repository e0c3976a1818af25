//! The records of several nodes in the order of their times.
//!
//! Within one folder the order is that in which it was written. A later run whose clock reads earlier than the run
//! before it ended, as after the host's clock was set back, is shown that much later: nothing of a node is ever
//! put before what it had already recorded, and the shift is told.

use crate::codec::{Damage, Header};
use crate::folder::{Folder, Item};
use crate::record::{Event, Record};
use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;

/// Which of the folders something is from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct Origin(pub usize);

/// What comes of a folder, on the common clock.
#[derive(Clone, Debug)]
pub enum Step {
    /// A run of a node begins, or its records go on after some were lost with a segment.
    Run(Arc<Header>),
    /// A record.
    Record(Record),
    /// Something is damaged or missing here.
    Damaged(PathBuf, Damage),
    /// The clock read earlier than before; what follows is shown so many milliseconds later.
    ClockShifted(f64),
    /// A run's records are over; it stands at their last, so that what other nodes saw next comes after it.
    RunEnded,
    /// The folder's records end.
    FolderEnded,
}

struct Source {
    from: Box<dyn Iterator<Item = Item>>,
    /// What comes next, each with its time.
    next: VecDeque<(f64, Step)>,
    run: Option<f64>,
    shift: f64,
    last: f64,
    ended: bool,
}

/// Merges the records of folders.
pub struct Merged {
    sources: Vec<Source>,
}

impl Merged {
    /// Reads these folders, one of each node.
    pub fn new(folders: Vec<Folder>) -> Merged {
        Merged::of(folders.into_iter().map(|folder| Box::new(folder.read()) as _).collect())
    }

    /// Merges what is read elsewhere.
    pub fn of(readers: Vec<Box<dyn Iterator<Item = Item>>>) -> Merged {
        let source = |from| Source {
            from,
            next: VecDeque::new(),
            run: None,
            shift: 0.0,
            last: f64::NEG_INFINITY,
            ended: false,
        };
        Merged { sources: readers.into_iter().map(source).collect() }
    }
}

impl Source {
    /// Makes the next step ready, if there is one.
    fn fill(&mut self) {
        while self.next.is_empty() && !self.ended {
            // What has no time of its own stands where its folder had come to.
            let time = if self.last.is_finite() { self.last } else { 0.0 };
            match self.from.next() {
                // A further segment of the same run changes nothing.
                Some(Item::Segment(header)) if self.run == Some(header.started) => {}
                Some(Item::Segment(header)) => {
                    if self.run.replace(header.started).is_some() {
                        self.next.push_back((time, Step::RunEnded));
                    }
                    self.shift = (self.last - header.base).max(0.0);
                    if self.shift > 0.0 {
                        self.next.push_back((time, Step::ClockShifted(self.shift)));
                    }
                    self.last = header.base + self.shift;
                    self.next.push_back((self.last, Step::Run(header)));
                }
                Some(Item::Record(record)) => {
                    self.last = (record.at + self.shift).max(self.last);
                    let event = shifted(record.event, self.shift);
                    self.next.push_back((self.last, Step::Record(Record { at: self.last, event })));
                }
                Some(Item::Damaged(path, damage)) => {
                    self.next.push_back((time, Step::Damaged(path, damage)));
                }
                None => {
                    self.ended = true;
                    if self.run.is_some() {
                        self.next.push_back((time, Step::RunEnded));
                    }
                    self.next.push_back((time, Step::FolderEnded));
                }
            }
        }
    }
}

/// Times within a record move with it.
fn shifted(event: Event, by: f64) -> Event {
    match event {
        Event::Member(mut member) if by != 0.0 => {
            member.born = member.born.map(|born| born + by);
            Event::Member(member)
        }
        Event::Gap(mut gap) => {
            gap.since += by;
            Event::Gap(gap)
        }
        event => event,
    }
}

impl Iterator for Merged {
    type Item = (Origin, f64, Step);

    fn next(&mut self) -> Option<Self::Item> {
        let mut first: Option<(usize, f64)> = None;
        for (at, source) in self.sources.iter_mut().enumerate() {
            source.fill();
            if let Some((time, _)) = source.next.front()
                && first.is_none_or(|(_, earliest)| *time < earliest)
            {
                first = Some((at, *time));
            }
        }
        let (at, _) = first?;
        let (time, step) = self.sources[at].next.pop_front()?;
        Some((Origin(at), time, step))
    }
}
