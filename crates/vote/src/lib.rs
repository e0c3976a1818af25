//! A voter's Raft log and hard state on disk, in one `redb` database. Every write is one transaction, synced
//! to disk.
//!
//! ```text
//! FOLDER/vote.redb: table "log": index u64 -> entry
//!                   table "one": "vote" -> hard state, "founders" -> founders of the log
//! ```

use hopmoor_agree::{PendingWrite, PersistedState};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::fmt;
use std::path::Path;

const LOG_TABLE: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const VALUES_TABLE: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("one");
const HARD_STATE_KEY: &str = "vote";
const FOUNDERS_KEY: &str = "founders";

/// A failure to open, read or write the database.
#[derive(Debug)]
pub struct StoreError(String);

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for StoreError {}

fn store_error(error: impl Into<redb::Error>) -> StoreError {
    StoreError(error.into().to_string())
}

/// A voter's data folder. Only one process can have it open at a time.
pub struct VoterStore {
    database: Database,
}

impl VoterStore {
    /// Opens the folder, and creates it if it does not exist.
    ///
    /// # Errors
    /// If the folder can't be created, another process has it open, or its file is not a database.
    pub fn open(folder: &Path) -> Result<VoterStore, StoreError> {
        let describe = |error: &dyn fmt::Display| StoreError(format!("{}: {error}", folder.display()));
        std::fs::create_dir_all(folder).map_err(|error| describe(&error))?;
        let database = Database::create(folder.join("vote.redb")).map_err(|error| describe(&error))?;
        Ok(VoterStore { database })
    }

    /// Returns the founders of the log and the voter's stored state; `None` if the folder is new or its
    /// contents were lost.
    ///
    /// # Errors
    /// If the database can't be read.
    pub fn read(&self) -> Result<Option<(Vec<u8>, PersistedState)>, StoreError> {
        let transaction = self.database.begin_read().map_err(store_error)?;
        let values = match transaction.open_table(VALUES_TABLE) {
            Ok(values) => values,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(store_error(error)),
        };
        let value = |key| -> Result<Option<Vec<u8>>, StoreError> {
            Ok(values.get(key).map_err(store_error)?.map(|bytes| bytes.value().to_vec()))
        };
        let Some(founders) = value(FOUNDERS_KEY)? else { return Ok(None) };
        let log = transaction.open_table(LOG_TABLE).map_err(store_error)?;
        let log =
            log.iter().map_err(store_error)?.map(|entry| Ok(entry.map_err(store_error)?.1.value().to_vec()));
        Ok(Some((
            founders,
            PersistedState {
                hard_state: value(HARD_STATE_KEY)?,
                log: log.collect::<Result<_, StoreError>>()?,
            },
        )))
    }

    /// Writes the founders and creates the empty log.
    ///
    /// # Errors
    /// If the write fails.
    pub fn persist_founders(&self, founders: &[u8]) -> Result<(), StoreError> {
        let transaction = self.database.begin_write().map_err(store_error)?;
        transaction
            .open_table(VALUES_TABLE)
            .map_err(store_error)?
            .insert(FOUNDERS_KEY, founders)
            .map_err(store_error)?;
        transaction.open_table(LOG_TABLE).map_err(store_error)?;
        transaction.commit().map_err(store_error)
    }

    /// Writes a voter's log entries and hard state, and returns once they are synced to disk.
    ///
    /// # Errors
    /// If the write fails, or may not have reached the disk. The voter must send no message after that.
    pub fn persist(&self, write: &PendingWrite) -> Result<(), StoreError> {
        if write.log.is_empty() && write.hard_state.is_none() {
            return Ok(());
        }
        let transaction = self.database.begin_write().map_err(store_error)?;
        {
            let mut log = transaction.open_table(LOG_TABLE).map_err(store_error)?;
            if let Some((from, _)) = write.log.first() {
                log.retain_in(*from.., |_, _| false).map_err(store_error)?;
            }
            for (index, entry) in &write.log {
                log.insert(index, entry.as_slice()).map_err(store_error)?;
            }
            if let Some(hard_state) = &write.hard_state {
                transaction
                    .open_table(VALUES_TABLE)
                    .map_err(store_error)?
                    .insert(HARD_STATE_KEY, hard_state.as_slice())
                    .map_err(store_error)?;
            }
        }
        transaction.commit().map_err(store_error)
    }
}

#[cfg(test)]
mod tests;
