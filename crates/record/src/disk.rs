//! The file system calls that a folder of records needs.
//!
//! They form a trait so that tests can make each call fail: a full disk, a removed folder, a torn write.

use std::fs;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// A file as listed in a folder.
#[derive(Clone, Debug, PartialEq)]
pub struct FileInfo {
    /// Path of the file.
    pub path: PathBuf,
    /// Size in bytes.
    pub bytes: u64,
    /// Time of the last write.
    pub modified_at: SystemTime,
}

/// File system calls that a [`Writer`](crate::folder::Writer) makes.
pub trait Disk: Send {
    /// A file open for writing.
    type File: Write + Send;
    /// Creates a file and opens it for writing.
    ///
    /// # Errors
    /// If the file exists already, or with the error of the file system.
    fn create(&mut self, path: &Path) -> io::Result<Self::File>;
    /// Opens a file for reading.
    ///
    /// # Errors
    /// With the error of the file system.
    fn open(&mut self, path: &Path) -> io::Result<Box<dyn Read>>;
    /// Renames a file atomically.
    ///
    /// # Errors
    /// With the error of the file system.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// With the error of the file system.
    fn remove(&mut self, path: &Path) -> io::Result<()>;
    /// Lists the files in a folder, in no particular order.
    ///
    /// # Errors
    /// With the error of the file system.
    fn list(&mut self, folder: &Path) -> io::Result<Vec<FileInfo>>;
    /// Returns whether a file still exists under its path.
    fn exists(&mut self, path: &Path) -> bool;
}

/// The host's file system.
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

    fn list(&mut self, folder: &Path) -> io::Result<Vec<FileInfo>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(folder)? {
            let entry = entry?;
            // A file may be removed between the two calls: skip it.
            let Ok(file_metadata) = entry.metadata() else { continue };
            if file_metadata.is_file() {
                let modified_at = file_metadata.modified().unwrap_or(SystemTime::UNIX_EPOCH);
                files.push(FileInfo { path: entry.path(), bytes: file_metadata.len(), modified_at });
            }
        }
        Ok(files)
    }

    fn exists(&mut self, path: &Path) -> bool {
        path.exists()
    }
}
