//! The nodes that follow this one, as its row is to list them.
//!
//! # Invariant
//!
//! A node that follows is told nothing before the row that lists it is written:
//! whoever replaces a primary asks all nodes that are listed, so a node that
//! knows instances must be.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use linkhold_core::service::readers::ROW_EXPIRY;
use linkhold_peer::FeedNode;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::beliefs::lock;
use crate::registration::FORMER_TIME;
use crate::registry::Registration;

/// Orders the arrival of followers and the writing of rows.
pub(crate) type Ticket = u64;

#[derive(Clone, Debug)]
struct Follower {
    node: FeedNode,
    heard_at: Instant,
}

#[derive(Debug, Default)]
struct Known {
    followers: BTreeMap<String, Follower>,
    /// Followers that have come so far.
    arrivals: Ticket,
}

/// Followers, present and former.
#[derive(Debug)]
pub(crate) struct Followers {
    known: Mutex<Known>,
    /// The last arrival that a written row covers.
    listed: watch::Sender<Ticket>,
    /// A row is to be written before its time.
    changed: Notify,
    /// Streams that are open.
    served: AtomicUsize,
}

/// A stream to a follower; counted until it is dropped.
pub(crate) struct Served<'a>(&'a AtomicUsize);

impl Drop for Served<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Default for Followers {
    fn default() -> Self {
        Self {
            known: Mutex::default(),
            listed: watch::channel(0).0,
            changed: Notify::new(),
            served: AtomicUsize::default(),
        }
    }
}

/// What a row is to list.
pub(crate) struct FollowerList {
    /// The followers.
    pub followers: Vec<Registration>,
    /// The last arrival among them.
    pub ticket: Ticket,
}

impl Followers {
    /// A stream to a follower is open.
    pub fn serve(&self) -> Served<'_> {
        self.served.fetch_add(1, Ordering::Relaxed);
        Served(&self.served)
    }

    /// Streams to followers that are open.
    pub fn served(&self) -> usize {
        self.served.load(Ordering::Relaxed)
    }

    /// A node begins to follow; it is to be listed before it is told anything.
    pub fn arrived(&self, node: FeedNode) -> Ticket {
        self.heard(node);
        let mut known = lock(&self.known);
        known.arrivals += 1;
        self.changed.notify_one();
        known.arrivals
    }

    /// A follower lives.
    pub fn heard(&self, node: FeedNode) {
        let heard_at = Instant::now();
        let follower = Follower { node, heard_at };
        let mut known = lock(&self.known);
        known.followers.insert(follower.node.name.clone(), follower);
    }

    /// A follower has ended in good order: nobody needs to wait for its answers.
    pub fn left(&self, name: &str) {
        lock(&self.known).followers.remove(name);
        self.changed.notify_one();
    }

    /// Takes over what this node's row listed before it was started again.
    pub fn restore(&self, listed: &[Registration]) {
        let now = Instant::now();
        let mut known = lock(&self.known);
        for registration in listed {
            let Some(heard_at) = now.checked_sub(registration.age) else {
                continue;
            };
            let node = registration.node.clone();
            known
                .followers
                .entry(node.name.clone())
                .or_insert(Follower { node, heard_at });
        }
    }

    /// Followers that count as present.
    pub fn live(&self) -> Vec<Registration> {
        let mut list = self.list().followers;
        list.retain(|registration| registration.age < ROW_EXPIRY);
        list
    }

    /// What the row is to list: nodes that were heard of long ago are left out.
    pub fn list(&self) -> FollowerList {
        let mut known = lock(&self.known);
        known
            .followers
            .retain(|_, follower| follower.heard_at.elapsed() < ROW_EXPIRY + FORMER_TIME);
        let followers = known.followers.values().map(|follower| Registration {
            node: follower.node.clone(),
            age: follower.heard_at.elapsed(),
        });
        FollowerList {
            followers: followers.collect(),
            ticket: known.arrivals,
        }
    }

    /// A row that covers these arrivals is written.
    pub fn written(&self, ticket: Ticket) {
        self.listed.send_replace(ticket);
    }

    /// Waits until a written row covers an arrival; `false` if none does in time.
    pub async fn wait_until_listed(&self, ticket: Ticket, limit: Duration) -> bool {
        let mut listed = self.listed.subscribe();
        let covered = listed.wait_for(|last| *last >= ticket);
        timeout(limit, covered).await.is_ok_and(|it| it.is_ok())
    }

    /// Waits until a row is to be written before its time.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
