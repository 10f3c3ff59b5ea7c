//! Distribution of the accepted table between nodes.
//!
//! Each node announces its version and digest in every membership message. A
//! node that receives a higher version requests it from the announcer, which sends
//! the changes since the node's version, or the whole table.
//!
//! # Invariants
//!
//! * The version of a node never decreases.
//! * A table is put in force only if its cells match the announced digest, so a
//!   damaged copy is detected and not passed on.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::membership::Announcement;
use crate::table::{Delta, Sheet};

/// Number of versions whose changes are kept for nodes with an older version.
const KEPT_DELTAS: usize = 64;
/// Time after which an unanswered request is repeated, to the next announcer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// A request for a newer table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableRequest {
    /// Version of the requesting node; 0 requests the whole table.
    pub have: u64,
}

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableResponse {
    /// The answering node has no newer version.
    NothingNewer,
    /// Changes, in the order of versions.
    Deltas {
        /// Version that the first change applies to.
        from: u64,
        /// One entry for each version after it.
        deltas: Vec<Delta>,
        /// Digest of the newest version.
        digest: u64,
    },
    /// The whole table.
    Whole {
        /// Version of the table.
        version: u64,
        /// Cells by row.
        rows: Vec<Vec<String>>,
        /// Digest of the table.
        digest: u64,
    },
}

/// Action that follows from an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpreadAction {
    /// Send the request to this node.
    Request(SocketAddr, TableRequest),
    /// A newer version is in force.
    InForce(u64),
    /// A received copy of this version did not match its digest.
    Damaged(u64),
}

/// One node's copy of the table.
#[derive(Debug, Default)]
pub struct TableSpread {
    version: u64,
    digest: u64,
    sheet: Arc<Sheet>,
    deltas: VecDeque<Delta>,
    requested_at: Option<Duration>,
    /// The last response did not match its digest, so the next request asks for the
    /// whole table.
    needs_whole_table: bool,
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

    /// The announcement for this node's messages.
    pub fn announcement(&self) -> Announcement {
        Announcement {
            table_version: self.version,
            table_digest: self.digest,
        }
    }

    /// Puts a version read from the store in force if it is newer.
    pub fn on_store_version(&mut self, version: u64, sheet: Sheet) -> Option<SpreadAction> {
        self.adopt(version, sheet)
    }

    /// Handles an announcement; returns a request if the announced version is newer and
    /// no request is pending.
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
            .requested_at
            .is_some_and(|requested_at| now < requested_at + REQUEST_TIMEOUT);
        if is_waiting {
            return None;
        }
        self.requested_at = Some(now);
        let have = if self.needs_whole_table {
            0
        } else {
            self.version
        };
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

    /// Handles a response.
    pub fn on_response(&mut self, response: TableResponse) -> Option<SpreadAction> {
        self.requested_at = None;
        match response {
            TableResponse::NothingNewer => None,
            TableResponse::Deltas {
                from,
                deltas,
                digest,
            } => self.apply_deltas(from, &deltas, digest),
            TableResponse::Whole {
                version,
                rows,
                digest,
            } => {
                let sheet = Sheet::from_cells(rows);
                self.verify_and_adopt(version, sheet, digest)
            }
        }
    }

    fn apply_deltas(&mut self, from: u64, deltas: &[Delta], digest: u64) -> Option<SpreadAction> {
        if from != self.version {
            return None;
        }
        let mut sheet = (*self.sheet).clone();
        for delta in deltas {
            sheet = delta.apply(&sheet);
        }
        let version = from + deltas.len() as u64;
        self.verify_and_adopt(version, sheet, digest)
    }

    fn verify_and_adopt(
        &mut self,
        version: u64,
        sheet: Sheet,
        digest: u64,
    ) -> Option<SpreadAction> {
        let is_intact = sheet.is_well_formed() && sheet.digest() == digest;
        self.needs_whole_table = !is_intact;
        if !is_intact {
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
