//! Spreading of the accepted table from node to node.
//!
//! Each node announces its version and digest in every membership message. A
//! node that hears of a higher version asks the announcer for it, and gets the
//! changes since its own version, or the whole table.
//!
//! # Invariants
//!
//! * The version of a node never goes down.
//! * A table is put in force only if its cells match the announced digest, so
//!   a damaged copy is noticed, not spread.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::membership::Announcement;
use crate::table::{Delta, Sheet};

/// Versions whose changes are kept for nodes that are behind.
const KEPT_DELTAS: usize = 64;
/// Time after which an unanswered request is made again, elsewhere.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// A request for a newer table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableRequest {
    /// Version the asking node has; 0 for none, which asks for all of it.
    pub have: u64,
}

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableResponse {
    /// The answering node has nothing newer.
    NothingNewer,
    /// Changes, one version after the other.
    Deltas {
        /// Version they start from.
        from: u64,
        /// One entry for each version after it.
        deltas: Vec<Delta>,
        /// Digest of the last version.
        digest: u64,
    },
    /// All cells.
    Whole {
        /// Version.
        version: u64,
        /// Cells by row.
        rows: Vec<Vec<String>>,
        /// Digest.
        digest: u64,
    },
}

/// What is to be done after an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpreadAction {
    /// Ask this node.
    Request(SocketAddr, TableRequest),
    /// A newer version is in force.
    InForce(u64),
    /// A copy did not match its digest.
    Damaged(u64),
}

/// The table of one node.
#[derive(Debug, Default)]
pub struct TableSpread {
    version: u64,
    digest: u64,
    sheet: Arc<Sheet>,
    deltas: VecDeque<Delta>,
    asked_at: Option<Duration>,
    /// The last deltas did not lead to the announced digest.
    wants_whole: bool,
}

impl TableSpread {
    /// Version in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Cells in force.
    pub fn sheet(&self) -> &Arc<Sheet> {
        &self.sheet
    }

    /// What this node announces.
    pub fn announcement(&self) -> Announcement {
        Announcement {
            table_version: self.version,
            table_digest: self.digest,
        }
    }

    /// A version was read from the store.
    pub fn on_store_version(&mut self, version: u64, sheet: Sheet) -> Option<SpreadAction> {
        self.adopt(version, sheet)
    }

    /// A node announced its version.
    pub fn on_announcement(
        &mut self,
        from: SocketAddr,
        announcement: Announcement,
        now: Duration,
    ) -> Option<SpreadAction> {
        if announcement.table_version <= self.version {
            return None;
        }
        let is_waiting = self
            .asked_at
            .is_some_and(|asked_at| now < asked_at + REQUEST_TIMEOUT);
        if is_waiting {
            return None;
        }
        self.asked_at = Some(now);
        let have = if self.wants_whole { 0 } else { self.version };
        Some(SpreadAction::Request(from, TableRequest { have }))
    }

    /// Answers a request.
    pub fn on_request(&self, request: TableRequest) -> TableResponse {
        if request.have >= self.version {
            return TableResponse::NothingNewer;
        }
        let missing = usize::try_from(self.version - request.have).unwrap_or(usize::MAX);
        if request.have > 0 && missing <= self.deltas.len() {
            let first = self.deltas.len() - missing;
            return TableResponse::Deltas {
                from: request.have,
                deltas: self.deltas.iter().skip(first).cloned().collect(),
                digest: self.digest,
            };
        }
        TableResponse::Whole {
            version: self.version,
            rows: self
                .sheet
                .rows
                .iter()
                .map(|row| row.cells.clone())
                .collect(),
            digest: self.digest,
        }
    }

    /// Takes an answer in.
    pub fn on_response(&mut self, response: TableResponse) -> Option<SpreadAction> {
        self.asked_at = None;
        match response {
            TableResponse::NothingNewer => None,
            TableResponse::Deltas {
                from,
                deltas,
                digest,
            } => self.take_deltas(from, &deltas, digest),
            TableResponse::Whole {
                version,
                rows,
                digest,
            } => {
                let sheet = Sheet::from_cells(rows);
                self.take(version, sheet, digest)
            }
        }
    }

    fn take_deltas(&mut self, from: u64, deltas: &[Delta], digest: u64) -> Option<SpreadAction> {
        if from != self.version {
            return None;
        }
        let mut sheet = (*self.sheet).clone();
        for delta in deltas {
            sheet = delta.apply(&sheet);
        }
        let version = from + deltas.len() as u64;
        self.take(version, sheet, digest)
    }

    fn take(&mut self, version: u64, sheet: Sheet, digest: u64) -> Option<SpreadAction> {
        let is_whole = sheet.is_well_formed() && sheet.digest() == digest;
        self.wants_whole = !is_whole;
        if !is_whole {
            return Some(SpreadAction::Damaged(version));
        }
        self.adopt(version, sheet)
    }

    fn adopt(&mut self, version: u64, sheet: Sheet) -> Option<SpreadAction> {
        if version <= self.version {
            return None;
        }
        if version == self.version + 1 && self.version > 0 {
            self.deltas.push_back(Delta::between(&self.sheet, &sheet));
            if self.deltas.len() > KEPT_DELTAS {
                self.deltas.pop_front();
            }
        } else {
            self.deltas.clear();
        }
        self.version = version;
        self.digest = sheet.digest();
        self.sheet = Arc::new(sheet);
        Some(SpreadAction::InForce(version))
    }
}
