//! `records verify` and `records export`: checks records for damage, and writes them as JSON lines or CSV.

use crate::{Failed, list_folders, merge_folders};
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
        let mut damaged = 0u64;
        for folder in list_folders(&self.folders)? {
            let (path, segments) = (folder.path.clone(), folder.segments.len());
            let bytes: u64 = folder.segments.iter().map(|segment| segment.bytes).sum();
            let newest = folder.segments.last().map(|segment| segment.path.clone());
            let (mut records, mut runs, mut stopped, mut lost) = (0u64, 0u64, true, 0u64);
            let mut run = None;
            let mut findings = Vec::new();
            for item in folder.read() {
                match item {
                    Item::Segment(header) if run != Some(header.started) => {
                        if run.is_some() && !stopped {
                            findings.push(format!("run {runs} ends without a word: the node was killed"));
                        }
                        (run, stopped) = (Some(header.started), false);
                        runs += 1;
                    }
                    Item::Segment(_) => {}
                    Item::Record(record) => {
                        records += 1;
                        match record.event {
                            Event::Stopped(_) => stopped = true,
                            Event::Gap(gap) => lost += gap.lost,
                            _ => {}
                        }
                    }
                    Item::Damaged(path, damage) => {
                        // The last record of the newest segment is incomplete while the node writes it, and
                        // after the node was killed: that is not counted as damage.
                        let unfinished =
                            matches!(damage, Damage::Torn { .. }) && Some(&path) == newest.as_ref();
                        damaged += u64::from(!unfinished);
                        let name = path.file_name().map_or_else(
                            || path.display().to_string(),
                            |name| name.to_string_lossy().into_owned(),
                        );
                        let note =
                            if unfinished { " (still written to, or its node was killed)" } else { "" };
                        findings.push(format!("{name}: {damage}{note}"));
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
            findings.iter().for_each(|finding| println!("  {finding}"));
        }
        Ok(if damaged > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS })
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

/// Names for the numbers that records hold in place of members, classes, tenants, zones and counters.
#[derive(Default)]
struct NameTable {
    members: BTreeMap<MemberId, String>,
    headers: BTreeMap<Origin, Arc<Header>>,
}

impl NameTable {
    /// The fields of a record as JSON, with names in place of numbers.
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
        let replace_by_name = |field: &str, names: Vec<&str>, fields: &mut Map<String, Value>| {
            if let Some(index) = fields.get(field).and_then(Value::as_u64)
                && let Some(name) = names.get(index as usize)
            {
                fields.insert(field.into(), (*name).into());
            }
        };
        if let Some(site) = site {
            replace_by_name(
                "class",
                site.classes.iter().map(|class| class.name.as_str()).collect(),
                &mut fields,
            );
            replace_by_name("tenant", site.tenants.iter().map(String::as_str).collect(), &mut fields);
            replace_by_name("zone", site.zones.iter().map(String::as_str).collect(), &mut fields);
        }
        if let (Event::Counters(counters), Some(header)) = (event, self.headers.get(&origin)) {
            let values =
                header.counters.iter().cloned().zip(counters.values.iter().map(|value| json!(value)));
            fields.insert("values".into(), Value::Object(values.collect()));
        }
        fields
    }
}

/// Columns of the CSV export: the fields of all kinds of records.
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
            // The reader has closed the pipe, as `head` does.
            Err(Failed(message)) if message.contains("Broken pipe") => Ok(ExitCode::SUCCESS),
            Err(failed) => Err(failed),
            Ok(damaged) if damaged > 0 => Ok(ExitCode::FAILURE),
            Ok(_) => Ok(ExitCode::SUCCESS),
        }
    }

    /// Writes the records and returns the number of places where records are damaged or missing.
    fn write(self, mut out: impl Write) -> Result<u64, Failed> {
        let (mut from, mut to) = (None, None);
        let mut bound_texts = (self.from, self.to);
        let mut names = NameTable::default();
        let mut damaged = 0;
        let mut table = match self.format {
            Format::Csv => {
                let mut table = csv::Writer::from_writer(Vec::new());
                table.write_record(["at", "node", "kind"].iter().chain(COLUMNS)).map_err(io::Error::from)?;
                Some(table)
            }
            Format::Jsonl => None,
        };
        for (origin, at, step) in merge_folders(&self.folders)? {
            match step {
                Step::RunStarted(header) => {
                    // A time without a date is on the day of the first record, so it is parsed when that is
                    // known.
                    for (text, bound) in [(bound_texts.0.take(), &mut from), (bound_texts.1.take(), &mut to)]
                    {
                        if let Some(text) = text {
                            *bound = Some(time::parse(&text, at)?);
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
                            line.insert("at".into(), time::rfc3339(at).into());
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
                            let head = [time::rfc3339(at), node.to_owned(), kind.to_owned()];
                            let row = head.into_iter().chain(COLUMNS.iter().map(cell));
                            table.write_record(row).map_err(io::Error::from)?;
                            if table.get_ref().len() > 64 * 1024 {
                                flush(table, &mut out)?;
                            }
                        }
                    }
                }
                Step::Damaged(path, damage) => {
                    damaged += 1;
                    eprintln!("hopmoor-ops: {}: {damage}", path.display());
                }
                Step::ClockShifted(shift_ms) => {
                    eprintln!(
                        "hopmoor-ops: clock set back; what follows is shown {:.1} s later",
                        shift_ms / 1_000.0
                    );
                }
                Step::RunEnded | Step::FolderEnded => {}
            }
        }
        if let Some(table) = &mut table {
            flush(table, &mut out)?;
        }
        out.flush()?;
        Ok(damaged)
    }
}

/// Moves the rows formatted so far to the output.
fn flush(table: &mut csv::Writer<Vec<u8>>, out: &mut impl Write) -> io::Result<()> {
    table.flush()?;
    let mut next = csv::Writer::from_writer(Vec::new());
    std::mem::swap(table, &mut next);
    let bytes = next.into_inner().map_err(|error| io::Error::other(error.to_string()))?;
    out.write_all(&bytes)
}
