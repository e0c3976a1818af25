//! A voter's log and vote on disk: one file, by `redb`; each write is there whole, and synced, or not at all.
//!
//! ```text
//! FOLDER/vote.redb: table "log": index u64 -> entry; table "one": "vote", "founders" -> bytes
//! ```

use hopmoor_agree::{PendingWrite, PersistedState};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::fmt;
use std::path::Path;

const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const ONE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("one");
const VOTE: &str = "vote";
const FOUNDERS: &str = "founders";

/// What is wrong with the folder.
#[derive(Debug)]
pub struct StoreError(String);

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StoreError {}

fn failed(error: impl Into<redb::Error>) -> StoreError {
    StoreError(error.into().to_string())
}

/// A voter's folder, open. Nobody else can have it open.
pub struct VoterStore {
    file: Database,
}

impl VoterStore {
    /// Opens it, and makes it where there is none.
    ///
    /// # Errors
    /// It can't be made, another process has it open, or it is no such folder.
    pub fn open(folder: &Path) -> Result<VoterStore, StoreError> {
        let at = |error: &dyn fmt::Display| StoreError(format!("{}: {error}", folder.display()));
        std::fs::create_dir_all(folder).map_err(|error| at(&error))?;
        let file = Database::create(folder.join("vote.redb")).map_err(|error| at(&error))?;
        Ok(VoterStore { file })
    }

    /// What is there, and by whom the log was founded; none: it is new, or was lost.
    ///
    /// # Errors
    /// It can't be read.
    pub fn read(&self) -> Result<Option<(Vec<u8>, PersistedState)>, StoreError> {
        let read = self.file.begin_read().map_err(failed)?;
        let one = match read.open_table(ONE) {
            Ok(one) => one,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(failed(error)),
        };
        let of = |key| -> Result<Option<Vec<u8>>, StoreError> {
            Ok(one.get(key).map_err(failed)?.map(|bytes| bytes.value().to_vec()))
        };
        let Some(founders) = of(FOUNDERS)? else { return Ok(None) };
        let log = read.open_table(LOG).map_err(failed)?;
        let log = log.iter().map_err(failed)?.map(|entry| Ok(entry.map_err(failed)?.1.value().to_vec()));
        Ok(Some((
            founders,
            PersistedState { hard_state: of(VOTE)?, log: log.collect::<Result<_, StoreError>>()? },
        )))
    }

    /// Founds the log.
    ///
    /// # Errors
    /// It can't be written.
    pub fn persist_founders(&self, founders: &[u8]) -> Result<(), StoreError> {
        let write = self.file.begin_write().map_err(failed)?;
        write.open_table(ONE).map_err(failed)?.insert(FOUNDERS, founders).map_err(failed)?;
        write.open_table(LOG).map_err(failed)?;
        write.commit().map_err(failed)
    }

    /// Writes what a voter wants kept, and returns once it is.
    ///
    /// # Errors
    /// It can't be written, or is not there for sure: the voter must say nothing more.
    pub fn persist(&self, work: &PendingWrite) -> Result<(), StoreError> {
        if work.log.is_empty() && work.hard_state.is_none() {
            return Ok(());
        }
        let write = self.file.begin_write().map_err(failed)?;
        {
            let mut log = write.open_table(LOG).map_err(failed)?;
            if let Some((from, _)) = work.log.first() {
                log.retain_in(*from.., |_, _| false).map_err(failed)?;
            }
            for (index, entry) in &work.log {
                log.insert(index, entry.as_slice()).map_err(failed)?;
            }
            if let Some(hard_state) = &work.hard_state {
                write.open_table(ONE).map_err(failed)?.insert(VOTE, hard_state.as_slice()).map_err(failed)?;
            }
        }
        write.commit().map_err(failed)
    }
}

#[cfg(test)]
mod tests;
