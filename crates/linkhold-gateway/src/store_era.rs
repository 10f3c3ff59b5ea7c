//! The era of the store that this node knows of.

use std::sync::atomic::{AtomicU32, Ordering};

use linkhold_core::service::store_place::Era;
use linkhold_events::Event;

/// The latest era that any answer of the store, or any reader, told.
#[derive(Debug, Default)]
pub(crate) struct StoreEra(AtomicU32);

impl StoreEra {
    /// The latest era that is known.
    pub fn latest(&self) -> Era {
        Era(self.0.load(Ordering::Relaxed))
    }

    /// Something was told in an era. One that is older than what is known is passed over.
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
