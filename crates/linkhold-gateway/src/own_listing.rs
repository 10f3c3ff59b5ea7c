//! What this node knows of its own registration, and what it logs of it.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::service::listing::Listing;
use linkhold_events::Event;
use linkhold_peer::milliseconds;
use tokio::time::sleep;

use crate::beliefs::lock;
use crate::gateway::Gateway;
use crate::ports::Platform;

/// How often it is looked whether the registration has lapsed, for the log alone.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// What this node knows of its own registration.
#[derive(Debug, Default)]
pub(crate) struct OwnListing(Mutex<Listing>);

impl OwnListing {
    /// The store confirmed a renewal that was sent at a moment.
    pub fn confirmed(&self, sent_at: Instant) {
        let now = Instant::now();
        let mut listing = lock(&self.0);
        let previous = *listing;
        listing.confirmed(sent_at);
        if !previous.holds(now) && listing.holds(now) {
            Event::info("listing_gained")
                .field("sent_ms_ago", sent_at.elapsed().as_millis())
                .field("renewed_ms_ago", age_ms(&previous, now))
                .log();
        }
    }

    /// Whether this node certainly counts as one of the fleet.
    pub fn holds(&self) -> bool {
        lock(&self.0).holds(Instant::now())
    }

    /// How long ago the last renewal that the store confirmed was sent, in whole
    /// milliseconds; the most that there is if none was.
    pub fn age_ms(&self) -> u64 {
        age_ms(&lock(&self.0), Instant::now())
    }
}

fn age_ms(listing: &Listing, now: Instant) -> u64 {
    let age = listing
        .renewed_at()
        .map(|at| now.saturating_duration_since(at));
    age.map_or(u64::MAX, milliseconds)
}

/// Logs when the registration has lapsed. Runs until the process ends.
pub(crate) async fn watch<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut held = false;
    loop {
        sleep(LOOK_INTERVAL).await;
        let holds = gateway.own_listing.holds();
        if std::mem::replace(&mut held, holds) && !holds {
            Event::warn("listing_lapsed")
                .field("renewed_ms_ago", gateway.own_listing.age_ms())
                .log();
        }
    }
}
