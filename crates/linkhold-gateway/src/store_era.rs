//! The latest known era of the store.

use std::sync::atomic::{AtomicU32, Ordering};

use linkhold_core::service::store_revision::Era;
use linkhold_events::Event;

/// The latest era that any answer of the store, or any reader, has named.
#[derive(Debug, Default)]
pub(crate) struct StoreEra(AtomicU32);

impl StoreEra {
    /// The latest known era.
    pub fn latest(&self) -> Era {
        Era(self.0.load(Ordering::Relaxed))
    }

    /// Records an era named by the store or a reader; an older era than the known one is
    /// ignored.
    pub fn observe(&self, era: Era) {
        let before = self.0.fetch_max(era.0, Ordering::Relaxed);
        if before < era.0 {
            Event::warn("store_era_began")
                .field("era", era)
                .field("previous", before)
                .log();
        }
    }
}
