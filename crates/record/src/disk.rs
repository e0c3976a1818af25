//! The little of a file system that a folder of records needs.
//!
//! It is a trait so that tests can let each call fail: a full disk, a folder taken away, a torn write.

use std::fs;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// A file as a folder lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Where it stands.
    pub path: PathBuf,
    /// Its size in bytes.
    pub bytes: u64,
    /// When it was last written.
    pub written: SystemTime,
}

/// File system calls.
pub trait Disk: Send {
    /// A file that is written to.
    type File: Write + Send;
    /// Begins a new file; an error if there is one of that name.
    ///
    /// # Errors
    /// As the system says.
    fn create(&mut self, path: &Path) -> io::Result<Self::File>;
    /// Opens a file for reading.
    ///
    /// # Errors
    /// As the system says.
    fn open(&mut self, path: &Path) -> io::Result<Box<dyn Read>>;
    /// Gives a file another name, at once.
    ///
    /// # Errors
    /// As the system says.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// As the system says.
    fn remove(&mut self, path: &Path) -> io::Result<()>;
    /// The files in a folder, in no order.
    ///
    /// # Errors
    /// As the system says.
    fn list(&mut self, folder: &Path) -> io::Result<Vec<Listed>>;
    /// Whether a file is still there under its name.
    fn exists(&mut self, path: &Path) -> bool;
}

/// The host's.
#[derive(Clone, Copy, Debug, Default)]
pub struct RealDisk;

impl Disk for RealDisk {
    type File = fs::File;

    fn create(&mut self, path: &Path) -> io::Result<fs::File> {
        fs::File::options().write(true).create_new(true).open(path)
    }

    fn open(&mut self, path: &Path) -> io::Result<Box<dyn Read>> {
        Ok(Box::new(fs::File::open(path)?))
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn list(&mut self, folder: &Path) -> io::Result<Vec<Listed>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(folder)? {
            let entry = entry?;
            // One may be taken away between the two calls.
            let Ok(about) = entry.metadata() else { continue };
            if about.is_file() {
                let written = about.modified().unwrap_or(SystemTime::UNIX_EPOCH);
                files.push(Listed { path: entry.path(), bytes: about.len(), written });
            }
        }
        Ok(files)
    }

    fn exists(&mut self, path: &Path) -> bool {
        path.exists()
    }
}
