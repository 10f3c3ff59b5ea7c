//! Streams to owners of connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_events::Event;
use linkhold_peer::PeerKey;

use crate::cluster_state::lock;
use crate::forward::link::{Link, LinkState};

/// How long an owner that could not be reached, or kept silent, is passed over.
const OWNER_PAUSE: Duration = Duration::from_millis(1_500);
/// Streams to owners.
#[derive(Default)]
pub(crate) struct Forwarding {
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    passed_over_until: Mutex<HashMap<SocketAddr, Instant>>,
    /// Connections lent to other nodes.
    pub lent: Arc<AtomicUsize>,
}

impl Forwarding {
    /// The stream to an owner, opened if there is none.
    pub fn link(&self, owner: SocketAddr, key: PeerKey) -> Arc<Link> {
        let mut links = lock(&self.links);
        if let Some(link) = links.get(&owner)
            && link.state() != LinkState::Ended
        {
            return link.clone();
        }
        let link = Link::open(owner, key);
        links.insert(owner, link.clone());
        link
    }

    /// Connections that are lent to other nodes for their transactions.
    pub fn lent(&self) -> usize {
        self.lent.load(Ordering::Relaxed)
    }

    /// An owner could not be reached, or kept silent.
    pub fn pass_over(&self, owner: SocketAddr, why: &'static str) {
        let until = Instant::now() + OWNER_PAUSE;
        lock(&self.passed_over_until).insert(owner, until);
        lock(&self.links).remove(&owner);
        Event::info("owner_passed_over")
            .field("owner", owner)
            .field("reason", why)
            .field("for_ms", OWNER_PAUSE.as_millis())
            .log();
    }

    /// The first owner that is not passed over and not silent.
    pub fn choose(&self, owners: &[SocketAddr]) -> Option<SocketAddr> {
        let now = Instant::now();
        let passed_over = lock(&self.passed_over_until);
        let links = lock(&self.links);
        let is_silent = |owner: &SocketAddr| {
            let link = links.get(owner);
            link.is_some_and(|link| link.state() == LinkState::Silent)
        };
        owners
            .iter()
            .filter(|owner| !is_silent(owner))
            .find(|owner| passed_over.get(owner).is_none_or(|until| now >= *until))
            .copied()
    }
}
