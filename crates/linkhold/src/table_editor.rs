//! Edits the table in the store: by compare-and-set, with a rebase onto newer
//! versions, and by reading back when an answer is lost.

use std::time::Duration;

use linkhold_core::table::rebase::{Conflict, rebase};
use linkhold_core::table::{Finding, Sheet, check};

use crate::platform::{PlatformClient, PlatformError, TableEdit, TableVersion};

/// Attempts before an edit is given up. An attempt fails if another edit is stored
/// first or if no answer arrives.
const EDIT_ATTEMPTS: usize = 20;
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// An edit to be stored.
pub struct Edit {
    /// Version the operator worked from.
    pub base_version: u64,
    /// The edited table.
    pub edited: Sheet,
    /// Author recorded with the edit.
    pub author: String,
    /// Identity of the edit, which makes a repeated request harmless.
    pub edit_id: String,
}

/// Result of an edit.
#[derive(Debug)]
pub enum EditOutcome {
    /// Stored as this version.
    Stored(u64),
    /// Another edit changed the same cells.
    Conflicts {
        /// Version with the other edit.
        version: u64,
        /// The conflicting cells.
        conflicts: Vec<Conflict>,
    },
    /// Merged with edits made in the meantime, the table would be invalid.
    Findings {
        /// Newest of those edits.
        version: u64,
        /// The findings of the merged table.
        findings: Vec<Finding>,
    },
    /// The store gave no clear answer; the edit may be stored.
    Unknown(String),
}

impl Edit {
    /// Stores the edit on top of the newest version.
    pub async fn store(&self, client: &PlatformClient) -> EditOutcome {
        let mut base = None;
        let mut last_error = "the table keeps changing".to_owned();
        for _ in 0..EDIT_ATTEMPTS {
            match self.attempt(client, &mut base).await {
                Ok(outcome) => return outcome,
                Err(PlatformError::Conflict) => {}
                Err(PlatformError::NotFound) => {
                    return EditOutcome::Unknown(format!(
                        "version {} does not exist",
                        self.base_version
                    ));
                }
                Err(error) => {
                    last_error = error.to_string();
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        EditOutcome::Unknown(last_error)
    }

    async fn attempt(
        &self,
        client: &PlatformClient,
        base: &mut Option<Sheet>,
    ) -> Result<EditOutcome, PlatformError> {
        if let Some(version) = self.find_stored(client).await? {
            return Ok(EditOutcome::Stored(version));
        }
        if base.is_none() {
            let stored = client.read_version(self.base_version).await?;
            *base = Some(Sheet::parse(&stored.body).unwrap_or_default());
        }
        let current = client.read().await?;
        let merged = match self.merge(base.as_ref().unwrap_or(&Sheet::default()), &current) {
            Ok(merged) => merged,
            Err(outcome) => return Ok(outcome),
        };
        let edit = TableEdit {
            expected_version: current.version,
            edit_id: self.edit_id.clone(),
            author: self.author.clone(),
            body: merged.to_csv(),
        };
        let stored = client.edit(&edit).await?;
        Ok(EditOutcome::Stored(stored.version))
    }

    /// Version that this edit is stored as, if an earlier attempt took effect.
    async fn find_stored(&self, client: &PlatformClient) -> Result<Option<u64>, PlatformError> {
        let history = client.history().await?;
        let stored = history.iter().find(|entry| entry.edit_id == self.edit_id);
        Ok(stored.map(|entry| entry.version))
    }

    fn merge(&self, base: &Sheet, current: &TableVersion) -> Result<Sheet, EditOutcome> {
        let version = current.version;
        if version == self.base_version {
            return Ok(self.edited.clone());
        }
        let current_sheet = Sheet::parse(&current.body).unwrap_or_default();
        let merged = rebase(base, &self.edited, &current_sheet)
            .map_err(|conflicts| EditOutcome::Conflicts { version, conflicts })?;
        check(&merged).map_err(|findings| EditOutcome::Findings { version, findings })?;
        Ok(merged)
    }
}
