//! `records verify` and `records export`.

use crate::{Failed, listed, merged};
use hopmoor_page::time;
use hopmoor_record::folder::Item;
use hopmoor_record::merge::Step;
use hopmoor_record::{Damage, Event, Header, MemberId, Origin};
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::io::{self, BufWriter, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// Arguments of `records verify`.
#[derive(clap::Args)]
pub struct Verify {
    /// Folders of records.
    #[arg(required = true)]
    folders: Vec<PathBuf>,
}

impl Verify {
    pub fn run(self) -> Result<ExitCode, Failed> {
        let mut bad = 0u64;
        for folder in listed(&self.folders)? {
            let (path, segments) = (folder.path.clone(), folder.segments.len());
            let bytes: u64 = folder.segments.iter().map(|segment| segment.bytes).sum();
            let newest = folder.segments.last().map(|segment| segment.path.clone());
            let (mut records, mut runs, mut ended, mut lost) = (0u64, 0u64, true, 0u64);
            let mut run = None;
            let mut found = Vec::new();
            for item in folder.read() {
                match item {
                    Item::Segment(header) if run != Some(header.started) => {
                        if run.is_some() && !ended {
                            found.push(format!("run {runs} ends without a word: the node was killed"));
                        }
                        (run, ended) = (Some(header.started), false);
                        runs += 1;
                    }
                    Item::Segment(_) => {}
                    Item::Record(record) => {
                        records += 1;
                        match record.event {
                            Event::Stopped(_) => ended = true,
                            Event::Gap(gap) => lost += gap.lost,
                            _ => {}
                        }
                    }
                    Item::Damaged(path, damage) => {
                        // A node that writes just now, or was killed, leaves the last record of the newest unfinished.
                        let live = matches!(damage, Damage::Torn { .. }) && Some(&path) == newest.as_ref();
                        bad += u64::from(!live);
                        let name = path.file_name().map_or_else(
                            || path.display().to_string(),
                            |name| name.to_string_lossy().into_owned(),
                        );
                        let note = if live { " (still written to, or its node was killed)" } else { "" };
                        found.push(format!("{name}: {damage}{note}"));
                    }
                }
            }
            println!(
                "{}: {records} records in {segments} segments, {bytes} bytes, {runs} run(s) of the node",
                path.display()
            );
            if lost > 0 {
                println!("  {lost} records were lost while it ran, and are told as lost");
            }
            found.iter().for_each(|what| println!("  {what}"));
        }
        Ok(if bad > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
    }
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Format {
    /// One JSON object a line.
    Jsonl,
    /// One row a record; all fields of all kinds are columns.
    Csv,
}

/// Arguments of `records export`.
#[derive(clap::Args)]
pub struct Export {
    /// Folders of records, one for each node; they are merged by time.
    #[arg(required = true)]
    folders: Vec<PathBuf>,
    /// How records are written.
    #[arg(long, value_enum, default_value = "jsonl")]
    format: Format,
    /// Only from this time on: 2026-12-01T12:03:10Z, 12:03:10 (UTC, on the day of the first record) or Unix ms.
    #[arg(long)]
    from: Option<String>,
    /// Only before this time.
    #[arg(long)]
    to: Option<String>,
    /// Only of these kinds.
    #[arg(long, value_delimiter = ',', value_parser = clap::builder::PossibleValuesParser::new(Event::KINDS))]
    kind: Vec<String>,
}

/// What numbers in records are called.
#[derive(Default)]
struct Names {
    members: BTreeMap<MemberId, String>,
    headers: BTreeMap<Origin, Arc<Header>>,
}

impl Names {
    /// A record's fields, with names beside the numbers.
    fn fields(&mut self, origin: Origin, event: &Event) -> Map<String, Value> {
        if let Event::Member(member) = event {
            self.members.insert(member.member, member.name.clone());
        }
        let mut fields = match serde_json::to_value(event) {
            Ok(Value::Object(fields)) => fields,
            _ => Map::new(),
        };
        if let Some(number) = fields.get("member").and_then(Value::as_u64) {
            let name =
                self.members.get(&MemberId(number)).cloned().unwrap_or_else(|| format!("{number:016x}"));
            fields.insert("member".into(), name.into());
        }
        let site = self.headers.get(&origin).map(|header| &header.site);
        let named = |field: &str, names: Vec<&str>, fields: &mut Map<String, Value>| {
            if let Some(place) = fields.get(field).and_then(Value::as_u64)
                && let Some(name) = names.get(place as usize)
            {
                fields.insert(field.into(), (*name).into());
            }
        };
        if let Some(site) = site {
            named("class", site.classes.iter().map(|class| class.name.as_str()).collect(), &mut fields);
            named("tenant", site.tenants.iter().map(String::as_str).collect(), &mut fields);
            named("zone", site.zones.iter().map(String::as_str).collect(), &mut fields);
        }
        if let (Event::Counters(counters), Some(header)) = (event, self.headers.get(&origin)) {
            let values =
                header.counters.iter().cloned().zip(counters.values.iter().map(|value| json!(value)));
            fields.insert("values".into(), Value::Object(values.collect()));
        }
        fields
    }
}

/// All fields that any kind of record has, for the columns of CSV.
const COLUMNS: &[&str] = &[
    "member",
    "name",
    "phase",
    "zone",
    "weight",
    "born",
    "again",
    "open",
    "report",
    "message_ms",
    "trouble",
    "warmth",
    "avoided_ms",
    "fails",
    "outcome",
    "load",
    "transaction",
    "stood",
    "by_client",
    "took_ms",
    "class",
    "tenant",
    "coming",
    "adopted",
    "grace_ms",
    "answer",
    "waited_ms",
    "flows",
    "reason",
    "stood_ms",
    "demand",
    "forecast",
    "budget",
    "limit",
    "queued",
    "wall",
    "values",
    "lost",
    "since",
    "disk",
    "what",
    "members",
    "left_behind",
    "transactions",
    "taken",
];

impl Export {
    pub fn run(self) -> Result<ExitCode, Failed> {
        let out = BufWriter::new(io::stdout().lock());
        match self.write(out) {
            // Whoever reads it has seen enough.
            Err(Failed(message)) if message.contains("Broken pipe") => Ok(ExitCode::SUCCESS),
            Err(failed) => Err(failed),
            Ok(doubts) if doubts > 0 => Ok(ExitCode::FAILURE),
            Ok(_) => Ok(ExitCode::SUCCESS),
        }
    }

    /// Writes the records, and returns how much was damaged or missing.
    fn write(self, mut out: impl Write) -> Result<u64, Failed> {
        let (mut from, mut to) = (None, None);
        let mut bounds = (self.from, self.to);
        let mut names = Names::default();
        let mut doubts = 0;
        let mut table = match self.format {
            Format::Csv => {
                let mut table = csv::Writer::from_writer(Vec::new());
                table.write_record(["at", "node", "kind"].iter().chain(COLUMNS)).map_err(io::Error::from)?;
                Some(table)
            }
            Format::Jsonl => None,
        };
        for (origin, at, step) in merged(&self.folders)? {
            match step {
                Step::RunStarted(header) => {
                    // A clock time alone is on the day of the first record.
                    for (text, bound) in [(bounds.0.take(), &mut from), (bounds.1.take(), &mut to)] {
                        if let Some(text) = text {
                            *bound = Some(time::read(&text, at)?);
                        }
                    }
                    names.headers.insert(origin, header);
                }
                Step::Record(record) => {
                    let fields = names.fields(origin, &record.event);
                    let outside = from.is_some_and(|from| at < from) || to.is_some_and(|to| at >= to);
                    let kind = record.event.name();
                    if outside || !(self.kind.is_empty() || self.kind.iter().any(|wanted| wanted == kind)) {
                        continue;
                    }
                    let node = names.headers.get(&origin).map_or("", |header| header.node.as_str());
                    match &mut table {
                        None => {
                            let mut line = Map::new();
                            line.insert("at".into(), time::stamp(at).into());
                            line.insert("node".into(), node.into());
                            line.insert("kind".into(), kind.into());
                            line.extend(fields);
                            serde_json::to_writer(&mut out, &Value::Object(line)).map_err(io::Error::from)?;
                            out.write_all(b"\n")?;
                        }
                        Some(table) => {
                            let cell = |name: &&str| match fields.get(*name) {
                                None | Some(Value::Null) => String::new(),
                                Some(Value::String(text)) => text.clone(),
                                Some(value) => value.to_string(),
                            };
                            let head = [time::stamp(at), node.to_owned(), kind.to_owned()];
                            let row = head.into_iter().chain(COLUMNS.iter().map(cell));
                            table.write_record(row).map_err(io::Error::from)?;
                            if table.get_ref().len() > 64 * 1024 {
                                flush(table, &mut out)?;
                            }
                        }
                    }
                }
                Step::Damaged(path, damage) => {
                    doubts += 1;
                    eprintln!("hopmoor-ops: {}: {damage}", path.display());
                }
                Step::ClockShifted(by) => {
                    eprintln!(
                        "hopmoor-ops: clock set back; what follows is shown {:.1} s later",
                        by / 1_000.0
                    );
                }
                Step::RunEnded | Step::FolderEnded => {}
            }
        }
        if let Some(table) = &mut table {
            flush(table, &mut out)?;
        }
        out.flush()?;
        Ok(doubts)
    }
}

fn flush(table: &mut csv::Writer<Vec<u8>>, out: &mut impl Write) -> io::Result<()> {
    table.flush()?;
    let mut next = csv::Writer::from_writer(Vec::new());
    std::mem::swap(table, &mut next);
    let bytes = next.into_inner().map_err(|error| io::Error::other(error.to_string()))?;
    out.write_all(&bytes)
}
