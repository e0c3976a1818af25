//! Merges the records of several nodes by time.
//!
//! Within one folder, records stay in the order in which they were written. If a run starts at an earlier
//! time than the last record of the run before it, for example after the host's clock was set back, all its
//! times are shifted forward by the difference. No record of a node is thus placed before one that the node
//! wrote earlier. The shift is reported.

use crate::codec::{Damage, Header};
use crate::folder::{Folder, Item};
use crate::record::{Event, Record};
use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;

/// Index of the folder that a step comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
pub struct Origin(pub usize);

/// A step in the merged sequence of records.
#[derive(Clone, Debug)]
pub enum Step {
    /// A run of a node starts.
    RunStarted(Arc<Header>),
    /// A record.
    Record(Record),
    /// A segment is damaged, or segments before it are missing. Holds the segment's path.
    Damaged(PathBuf, Damage),
    /// The clock of the next run was behind the end of the last one. The times that follow are shifted
    /// forward by this many milliseconds.
    ClockShifted(f64),
    /// The records of a run end. The step has the time of the last of them, so that what other nodes saw next
    /// comes after it.
    RunEnded,
    /// The records of a folder end.
    FolderEnded,
}

/// A folder and the state of its clock.
struct Source {
    reader: Box<dyn Iterator<Item = Item>>,
    /// The next steps, each with its time.
    queue: VecDeque<(f64, Step)>,
    /// Start time of the current run, which identifies the run.
    run_started: Option<f64>,
    /// Shift of the current run's times.
    shift_ms: f64,
    /// Shifted time of the last step that has a time of its own.
    last_time: f64,
    ended: bool,
}

/// Iterator over the merged steps of several folders, each with its origin and time.
pub struct Merged {
    sources: Vec<Source>,
}

impl Merged {
    /// Merges these folders, one for each node.
    pub fn new(folders: Vec<Folder>) -> Merged {
        Merged::of(folders.into_iter().map(|folder| Box::new(folder.read()) as _).collect())
    }

    /// Merges the items of these readers, one for each node.
    pub fn of(readers: Vec<Box<dyn Iterator<Item = Item>>>) -> Merged {
        let source = |reader| Source {
            reader,
            queue: VecDeque::new(),
            run_started: None,
            shift_ms: 0.0,
            last_time: f64::NEG_INFINITY,
            ended: false,
        };
        Merged { sources: readers.into_iter().map(source).collect() }
    }
}

impl Source {
    /// Reads until the queue holds a step or the folder ends.
    fn fill(&mut self) {
        while self.queue.is_empty() && !self.ended {
            // A step without a time of its own takes the time of the last step of its folder.
            let time = if self.last_time.is_finite() { self.last_time } else { 0.0 };
            match self.reader.next() {
                // Another segment of the same run is no step.
                Some(Item::Segment(header)) if self.run_started == Some(header.started) => {}
                Some(Item::Segment(header)) => {
                    if self.run_started.replace(header.started).is_some() {
                        self.queue.push_back((time, Step::RunEnded));
                    }
                    self.shift_ms = (self.last_time - header.base).max(0.0);
                    if self.shift_ms > 0.0 {
                        self.queue.push_back((time, Step::ClockShifted(self.shift_ms)));
                    }
                    self.last_time = header.base + self.shift_ms;
                    self.queue.push_back((self.last_time, Step::RunStarted(header)));
                }
                Some(Item::Record(record)) => {
                    self.last_time = (record.at + self.shift_ms).max(self.last_time);
                    let event = shift_times(record.event, self.shift_ms);
                    self.queue
                        .push_back((self.last_time, Step::Record(Record { at: self.last_time, event })));
                }
                Some(Item::Damaged(path, damage)) => {
                    self.queue.push_back((time, Step::Damaged(path, damage)));
                }
                None => {
                    self.ended = true;
                    if self.run_started.is_some() {
                        self.queue.push_back((time, Step::RunEnded));
                    }
                    self.queue.push_back((time, Step::FolderEnded));
                }
            }
        }
    }
}

/// Shifts the times within an event along with its record.
fn shift_times(event: Event, by_ms: f64) -> Event {
    match event {
        Event::Member(mut member) if by_ms != 0.0 => {
            member.born = member.born.map(|born| born + by_ms);
            Event::Member(member)
        }
        Event::Gap(mut gap) => {
            gap.since += by_ms;
            Event::Gap(gap)
        }
        event => event,
    }
}

impl Iterator for Merged {
    type Item = (Origin, f64, Step);

    fn next(&mut self) -> Option<Self::Item> {
        let mut first: Option<(usize, f64)> = None;
        for (index, source) in self.sources.iter_mut().enumerate() {
            source.fill();
            if let Some((time, _)) = source.queue.front()
                && first.is_none_or(|(_, earliest)| *time < earliest)
            {
                first = Some((index, *time));
            }
        }
        let (index, _) = first?;
        let (time, step) = self.sources[index].queue.pop_front()?;
        Some((Origin(index), time, step))
    }
}
