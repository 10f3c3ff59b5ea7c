//! This node's own row in the store.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use linkhold_core::service::store_place::StorePlace;
use tokio::sync::MutexGuard;

use crate::beliefs::lock;

/// What this node knows of its own row.
#[derive(Debug, Default)]
pub(crate) struct OwnRow {
    /// Its version as it was read last, unless it was written since.
    version: Mutex<Option<StorePlace>>,
    /// This process has written it.
    was_written: AtomicBool,
    /// One write is under way at a time.
    writing: tokio::sync::Mutex<()>,
}

impl OwnRow {
    /// Waits for its turn to write the row, which lasts until this is dropped.
    pub async fn lock_for_write(&self) -> MutexGuard<'_, ()> {
        self.writing.lock().await
    }

    /// The row was read with this version; the default if it is not there.
    pub fn set_version(&self, version: StorePlace) {
        *lock(&self.version) = Some(version);
    }

    /// This process has written it.
    pub fn mark_written(&self) {
        self.was_written.store(true, Ordering::Relaxed);
    }

    /// Whether this process has written it before.
    pub fn was_written(&self) -> bool {
        self.was_written.load(Ordering::Relaxed)
    }

    /// Its version, which is not known any more once it is used.
    pub fn take_version(&self) -> Option<StorePlace> {
        lock(&self.version).take()
    }
}
