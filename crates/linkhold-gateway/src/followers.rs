//! The followers of this node, which its row lists.
//!
//! # Invariant
//!
//! A follower is sent nothing before the row that lists it is written: a node that
//! replaces a primary asks all listed nodes, so every node that knows instances must be
//! listed.
//!
//! A paused process stays listed beside another process of its name until other nodes no
//! longer consult it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_events::Event;
use linkhold_peer::FeedNode;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::cluster_state::lock;
use crate::lease_format::KnownClaims;
use crate::registry::{MAX_FOLLOWERS, Process, Registration};

/// Number of a follower's arrival, which orders arrivals against written rows.
pub(crate) type Ticket = u64;

#[derive(Clone, Debug)]
struct Follower {
    node: FeedNode,
    renewed_at: Instant,
    /// Number of its last renewal.
    renewal: Option<u64>,
    /// Notice that a written row lists it, until the notice is sent.
    listed: Option<Listed>,
    /// Its arrival, until a written row covers it.
    arrival: Option<Ticket>,
    /// Number of the last renewal before this node asked for a confirmation that it got,
    /// until the follower is notified.
    confirmed: Option<u64>,
}

impl Follower {
    fn new(node: FeedNode, renewed_at: Instant) -> Self {
        Self {
            node,
            renewed_at,
            renewal: None,
            listed: None,
            arrival: None,
            confirmed: None,
        }
    }

    fn registration(&self) -> Registration {
        Registration {
            node: self.node.clone(),
            age: self.renewed_at.elapsed(),
        }
    }
}

/// Notice to a follower that a written row lists it.
#[derive(Clone, Debug)]
pub(crate) struct Listed {
    /// Number of its last renewal before the row was written.
    pub number: u64,
    /// The leases claimed by then, if the follower is newly listed.
    pub claims: Option<Arc<KnownClaims>>,
}

#[derive(Debug, Default)]
struct FollowerTable {
    followers: BTreeMap<Process, Follower>,
    /// Number of arrivals so far.
    arrivals: Ticket,
}

impl FollowerTable {
    /// Records a follower's renewal, adding the follower if it is new.
    fn record_renewal(&mut self, node: FeedNode, renewal: Option<u64>) -> &mut Follower {
        let follower = self
            .followers
            .entry(Process::of(&node))
            .or_insert_with(|| Follower::new(node.clone(), Instant::now()));
        // Renewal numbers of an earlier stream mean nothing on this one: each stream
        // starts its own sequence.
        follower.node = node;
        follower.renewed_at = Instant::now();
        follower.renewal = renewal;
        follower
    }
}

/// Followers, present and former.
#[derive(Debug)]
pub(crate) struct Followers {
    table: Mutex<FollowerTable>,
    /// The last arrival that a written row covers.
    listed: watch::Sender<Ticket>,
    /// Signals that the row must be written before its next renewal.
    changed: Notify,
    /// Number of open streams.
    open_streams: AtomicUsize,
}

/// A stream to a follower; counted until it is dropped.
pub(crate) struct OpenStream<'a>(&'a AtomicUsize);

impl Drop for OpenStream<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Default for Followers {
    fn default() -> Self {
        Self {
            table: Mutex::default(),
            listed: watch::channel(0).0,
            changed: Notify::new(),
            open_streams: AtomicUsize::default(),
        }
    }
}

/// The followers for a row.
pub(crate) struct FollowerList {
    /// The followers.
    pub followers: Vec<Registration>,
    /// The arrivals and renewals that the row covers once it is written.
    pub covers: Covered,
}

/// The arrivals and renewals that a row covers.
pub(crate) struct Covered {
    /// The last arrival before the row was composed.
    ticket: Ticket,
    /// The last renewals of the followers that number them.
    renewals: Vec<CoveredRenewal>,
}

/// A follower's last renewal that a row covers.
struct CoveredRenewal {
    process: Process,
    number: u64,
    /// The follower's arrival, if no row covered it before.
    arrival: Option<Ticket>,
}

impl Covered {
    /// Whether the row lists followers that no row listed before.
    pub fn has_arrivals(&self) -> bool {
        self.renewals
            .iter()
            .any(|renewal| renewal.arrival.is_some())
    }
}

impl Followers {
    /// Counts a stream to a follower until the returned guard is dropped.
    pub fn start_stream(&self) -> OpenStream<'_> {
        self.open_streams.fetch_add(1, Ordering::Relaxed);
        OpenStream(&self.open_streams)
    }

    /// Number of open streams to followers.
    pub fn open_streams(&self) -> usize {
        self.open_streams.load(Ordering::Relaxed)
    }

    /// Adds a node that starts to follow. It must be listed before it is sent anything:
    /// see [`Followers::wait_until_listed`].
    pub fn add(&self, node: FeedNode, renewal: Option<u64>) -> Ticket {
        let mut table = lock(&self.table);
        table.arrivals += 1;
        let ticket = table.arrivals;
        table.record_renewal(node, renewal).arrival = Some(ticket);
        drop(table);
        self.changed.notify_one();
        ticket
    }

    /// Records a follower's renewal.
    pub fn record_renewal(&self, node: FeedNode, renewal: Option<u64>) {
        lock(&self.table).record_renewal(node, renewal);
    }

    /// Takes the notice that a written row lists a follower; `None` if there is none to
    /// send.
    pub fn take_listed(&self, process: &Process) -> Option<Listed> {
        lock(&self.table).followers.get_mut(process)?.listed.take()
    }

    /// Takes the number of a follower's renewal that others' confirmations cover; `None` if
    /// there is none to send.
    pub fn take_confirmed(&self, process: &Process) -> Option<u64> {
        lock(&self.table)
            .followers
            .get_mut(process)?
            .confirmed
            .take()
    }

    /// Records that other nodes confirmed this node's permission, in answer to a question
    /// sent at `asked_at`. Followers whose last renewal came before that are confirmed too.
    pub fn record_confirmation(&self, asked_at: Instant) {
        let mut table = lock(&self.table);
        let followers = table.followers.values_mut();
        for follower in followers.filter(|follower| follower.renewed_at <= asked_at) {
            follower.confirmed = follower.renewal;
        }
    }

    /// Removes a follower that left or has ended: other nodes need not wait for its
    /// answers.
    pub fn remove(&self, process: &Process) {
        lock(&self.table).followers.remove(process);
        self.changed.notify_one();
    }

    /// Adds the registrations that are not known yet, such as those that this node's row
    /// listed before a restart.
    pub fn restore(&self, listed: &[Registration]) {
        let now = Instant::now();
        let mut table = lock(&self.table);
        for registration in listed {
            let Some(renewed_at) = now.checked_sub(registration.age) else {
                continue;
            };
            let node = registration.node.clone();
            table
                .followers
                .entry(Process::of(&node))
                .or_insert_with(|| Follower::new(node, renewed_at));
        }
    }

    /// Followers that count as present in the fleet.
    pub fn present(&self) -> Vec<Registration> {
        let mut list = self.list().followers;
        list.retain(Registration::is_present);
        list
    }

    /// Number of a follower's last renewal and when it was received.
    pub fn last_renewal(&self, process: &Process) -> Option<(u64, Instant)> {
        let table = lock(&self.table);
        let follower = table.followers.get(process)?;
        Some((follower.renewal?, follower.renewed_at))
    }

    /// Whether a process follows this node and counts as present.
    pub fn has_present(&self, process: &Process) -> bool {
        let table = lock(&self.table);
        let follower = table.followers.get(process);
        follower.is_some_and(|follower| follower.registration().is_present())
    }

    /// The followers that have the name of a process and another address.
    pub fn others_of_name(&self, process: &Process) -> Vec<Registration> {
        let table = lock(&self.table);
        let same_name = table
            .followers
            .iter()
            .filter(|(it, _)| it.name == process.name);
        let others = same_name.filter(|(it, _)| it.address != process.address);
        others
            .map(|(_, follower)| follower.registration())
            .collect()
    }

    /// Composes the list for a row and drops followers that are no longer consulted. At
    /// most [`MAX_FOLLOWERS`] are listed, those with the latest renewals.
    pub fn list(&self) -> FollowerList {
        let mut table = lock(&self.table);
        table
            .followers
            .retain(|_, follower| follower.registration().is_consulted());
        let mut listed: Vec<&Follower> = table.followers.values().collect();
        listed.sort_by_key(|follower| Reverse(follower.renewed_at));
        if listed.len() > MAX_FOLLOWERS {
            log_not_listed(listed.len());
            listed.truncate(MAX_FOLLOWERS);
        }
        let followers = listed.iter().map(|follower| follower.registration());
        let renewals = listed.iter().filter_map(|follower| {
            Some(CoveredRenewal {
                process: Process::of(&follower.node),
                number: follower.renewal?,
                arrival: follower.arrival,
            })
        });
        FollowerList {
            followers: followers.collect(),
            covers: Covered {
                ticket: table.arrivals,
                renewals: renewals.collect(),
            },
        }
    }

    /// Records that a row was written. `claims` were read after that if it lists arrivals.
    pub fn record_written_row(&self, covered: Covered, claims: Option<KnownClaims>) {
        let claims = claims.map(Arc::new);
        let mut table = lock(&self.table);
        for renewal in covered.renewals {
            let Some(follower) = table.followers.get_mut(&renewal.process) else {
                continue;
            };
            let pending_claims = follower.listed.take().and_then(|listed| listed.claims);
            let new_claims = claims.clone().filter(|_| renewal.arrival.is_some());
            if new_claims.is_some() && follower.arrival == renewal.arrival {
                follower.arrival = None;
            }
            follower.listed = Some(Listed {
                number: renewal.number,
                claims: new_claims.or(pending_claims),
            });
        }
        drop(table);
        self.listed.send_replace(covered.ticket);
    }

    /// Waits until a written row covers an arrival; `false` if none does within `limit`.
    pub async fn wait_until_listed(&self, ticket: Ticket, limit: Duration) -> bool {
        let mut listed = self.listed.subscribe();
        let covered = listed.wait_for(|last| *last >= ticket);
        timeout(limit, covered).await.is_ok_and(|it| it.is_ok())
    }

    /// Waits until the row must be written before its next renewal.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

fn log_not_listed(followers: usize) {
    Event::warn("followers_not_listed")
        .field("followers", followers)
        .field("listed", MAX_FOLLOWERS)
        .log();
}
