//! A disk that fills, and a folder that is taken away: what is lost is counted and told, and recording goes on when
//! it can.
use hopmoor_record::disk::Listed;
use hopmoor_record::folder::{Item, Notice};
use hopmoor_record::*;
use std::io::{self, Read, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering::Relaxed};

/// A disk with so many bytes left.
#[derive(Clone)]
struct Small(Arc<AtomicI64>);

struct Limited {
    file: std::fs::File,
    left: Arc<AtomicI64>,
}

impl Write for Limited {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let left = self.left.load(Relaxed).max(0) as usize;
        let part = left.min(bytes.len());
        if part == 0 && !bytes.is_empty() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let written = self.file.write(&bytes[..part])?;
        self.left.fetch_sub(written as i64, Relaxed);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}

impl Disk for Small {
    type File = Limited;
    fn create(&mut self, path: &Path) -> io::Result<Limited> {
        Ok(Limited { file: RealDisk.create(path)?, left: self.0.clone() })
    }
    fn open(&mut self, path: &Path) -> io::Result<Box<dyn Read>> {
        RealDisk.open(path)
    }
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        RealDisk.rename(from, to)
    }
    fn remove(&mut self, path: &Path) -> io::Result<()> {
        RealDisk.remove(path)
    }
    fn list(&mut self, folder: &Path) -> io::Result<Vec<Listed>> {
        RealDisk.list(folder)
    }
    fn exists(&mut self, path: &Path) -> bool {
        RealDisk.exists(path)
    }
}

fn asked(at: f64, transaction: u64) -> Record {
    let asked = Asked {
        transaction,
        class: 0,
        tenant: 0,
        coming: ArrivalKind::First,
        adopted: false,
        grace_ms: 1_000.0,
    };
    Record { at, event: asked.into() }
}

fn gaps_and_records(folder: &Path) -> (u64, u64) {
    Folder::list(folder).unwrap().read().fold((0, 0), |(lost, read), item| match item {
        Item::Record(Record { event: Event::Gap(gap), .. }) => (lost + gap.lost, read),
        Item::Record(Record { event: Event::Asked(_), .. }) => (lost, read + 1),
        _ => (lost, read),
    })
}

#[test]
fn a_full_disk_leaves_a_gap_with_the_number_lost() {
    let folder = tempfile::tempdir().unwrap();
    let left = Arc::new(AtomicI64::new(900));
    let header = Header { node: "n".into(), ..Header::default() };
    let mut writer = Writer::new(Small(left.clone()), folder.path(), Retention::default(), header).unwrap();
    for n in 0..200 {
        if n == 150 {
            left.store(1 << 20, Relaxed);
        }
        writer.write(n as f64 * 100.0, 0.0, &[asked(n as f64 * 100.0, n)]);
    }
    let notices: Vec<_> = std::iter::from_fn(|| writer.notice()).collect();
    assert!(
        matches!(notices[..], [Notice::WriteFailed(_), Notice::Recovered(_)]),
        "one line each: {notices:?}"
    );
    let (lost, read) = gaps_and_records(folder.path());
    assert_eq!(lost, writer.lost());
    assert!(lost > 50 && read > 50, "{lost} lost, {read} read");
    assert_eq!(lost + read, 200, "each is read or told as lost");
}

#[test]
fn a_folder_taken_away_is_seen_within_a_second_and_written_again_when_back() {
    let above = tempfile::tempdir().unwrap();
    let folder = above.path().join("records");
    std::fs::create_dir(&folder).unwrap();
    let mut writer = Writer::new(RealDisk, &folder, Retention::default(), Header::default()).unwrap();
    writer.write(0.0, 0.0, &[asked(0.0, 0)]);
    std::fs::remove_dir_all(&folder).unwrap();
    for n in 1..40 {
        if n == 30 {
            std::fs::create_dir(&folder).unwrap();
        }
        writer.write(n as f64 * 100.0, 0.0, &[asked(n as f64 * 100.0, n)]);
    }
    let notices: Vec<_> = std::iter::from_fn(|| writer.notice()).collect();
    assert!(matches!(notices[..], [Notice::WriteFailed(_), Notice::Recovered(_)]), "{notices:?}");
    let (lost, read) = gaps_and_records(&folder);
    assert!(lost >= 20 && read >= 5, "{lost} {read}");
    assert_eq!(lost, writer.lost());
}

#[test]
fn records_that_never_came_are_told_before_the_next() {
    let folder = tempfile::tempdir().unwrap();
    let mut writer = Writer::new(RealDisk, folder.path(), Retention::default(), Header::default()).unwrap();
    writer.missed(17, 5.0);
    writer.write(10.0, 0.0, &[asked(10.0, 1)]);
    let items: Vec<_> = Folder::list(folder.path()).unwrap().read().collect();
    let [Item::Segment(_), Item::Record(gap), Item::Record(_)] = &items[..] else { panic!("{items:?}") };
    assert_eq!(gap.event, Gap { lost: 17, since: 5.0, disk: false }.into());
}
