//! This node's own row in the store.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use linkhold_core::service::store_revision::StoreRevision;
use tokio::sync::MutexGuard;

use crate::cluster_state::lock;

/// Known state of this node's own row.
#[derive(Debug, Default)]
pub(crate) struct OwnRow {
    /// Version of the row as last read or written; `None` once a write has used it.
    version: Mutex<Option<StoreRevision>>,
    /// Whether this process has written the row.
    was_written: AtomicBool,
    /// Serializes writes of the row.
    writing: tokio::sync::Mutex<()>,
}

impl OwnRow {
    /// Waits for the exclusive right to write the row, held until the guard is dropped.
    pub async fn lock_for_write(&self) -> MutexGuard<'_, ()> {
        self.writing.lock().await
    }

    /// Sets the version of the row; the default if there is no row.
    pub fn set_version(&self, version: StoreRevision) {
        *lock(&self.version) = Some(version);
    }

    /// Records that this process has written the row.
    pub fn mark_written(&self) {
        self.was_written.store(true, Ordering::Relaxed);
    }

    /// Whether this process has written the row before.
    pub fn was_written(&self) -> bool {
        self.was_written.load(Ordering::Relaxed)
    }

    /// Takes the version for a write; it is unknown afterwards.
    pub fn take_version(&self) -> Option<StoreRevision> {
        lock(&self.version).take()
    }
}
