//! The nodes that follow this one, as its row is to list them.
//!
//! # Invariant
//!
//! A node that follows is told nothing before the row that lists it is written:
//! whoever replaces a primary asks all nodes that are listed, so a node that
//! knows instances must be.
//!
//! A process that stood still stays listed beside another one of its name until nobody
//! asks it any more.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_events::Event;
use linkhold_peer::FeedNode;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::beliefs::lock;
use crate::lease_format::KnownClaims;
use crate::registry::{MAX_FOLLOWERS, Process, Registration};

/// Orders the arrival of followers and the writing of rows.
pub(crate) type Ticket = u64;

#[derive(Clone, Debug)]
struct Follower {
    node: FeedNode,
    heard_at: Instant,
    /// Number of its last renewal.
    renewal: Option<u64>,
    /// A written row lists it, and it was not told yet.
    listed: Option<Listed>,
    /// Its arrival, as long as no row is written that covers it.
    arrival: Option<Ticket>,
    /// Number of a renewal that came before this node asked others whether it may go
    /// on; the follower was not told yet.
    confirmed: Option<u64>,
}

impl Follower {
    fn new(node: FeedNode, heard_at: Instant) -> Self {
        Self {
            node,
            heard_at,
            renewal: None,
            listed: None,
            arrival: None,
            confirmed: None,
        }
    }

    fn registration(&self) -> Registration {
        Registration {
            node: self.node.clone(),
            age: self.heard_at.elapsed(),
        }
    }
}

/// A written row lists a follower.
#[derive(Clone, Debug)]
pub(crate) struct Listed {
    /// Number of its last renewal before that.
    pub number: u64,
    /// Which leases had been claimed then, if it has just come.
    pub claims: Option<Arc<KnownClaims>>,
}

#[derive(Debug, Default)]
struct FollowerTable {
    followers: BTreeMap<Process, Follower>,
    /// Followers that have come so far.
    arrivals: Ticket,
}

impl FollowerTable {
    /// A follower lives.
    fn record_renewal(&mut self, node: FeedNode, renewal: Option<u64>) -> &mut Follower {
        let follower = self
            .followers
            .entry(Process::of(&node))
            .or_insert_with(|| Follower::new(node.clone(), Instant::now()));
        // What it was not told on an earlier stream tells it nothing: numbers start
        // anew there.
        follower.node = node;
        follower.heard_at = Instant::now();
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
    /// A row is to be written before its time.
    changed: Notify,
    /// Streams that are open.
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

/// What a row is to list.
pub(crate) struct FollowerList {
    /// The followers.
    pub followers: Vec<Registration>,
    /// What is confirmed once the row is written.
    pub covers: Covered,
}

/// What a row covers.
pub(crate) struct Covered {
    /// The last arrival among the followers that it lists.
    ticket: Ticket,
    /// Those that count their renewals.
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
    /// A stream to a follower is open.
    pub fn start_stream(&self) -> OpenStream<'_> {
        self.open_streams.fetch_add(1, Ordering::Relaxed);
        OpenStream(&self.open_streams)
    }

    /// Streams to followers that are open.
    pub fn open_streams(&self) -> usize {
        self.open_streams.load(Ordering::Relaxed)
    }

    /// A node begins to follow; it is to be listed before it is told anything.
    pub fn add(&self, node: FeedNode, renewal: Option<u64>) -> Ticket {
        let mut table = lock(&self.table);
        table.arrivals += 1;
        let ticket = table.arrivals;
        table.record_renewal(node, renewal).arrival = Some(ticket);
        drop(table);
        self.changed.notify_one();
        ticket
    }

    /// A follower lives.
    pub fn record_renewal(&self, node: FeedNode, renewal: Option<u64>) {
        lock(&self.table).record_renewal(node, renewal);
    }

    /// That a written row lists a follower, unless it was told so already.
    pub fn take_listed(&self, process: &Process) -> Option<Listed> {
        lock(&self.table).followers.get_mut(process)?.listed.take()
    }

    /// A renewal of a follower that came before this node asked others, unless it was
    /// told so already.
    pub fn take_confirmed(&self, process: &Process) -> Option<u64> {
        lock(&self.table)
            .followers
            .get_mut(process)?
            .confirmed
            .take()
    }

    /// Others confirmed to this node that it may go on, to a question that was
    /// sent at a moment.
    pub fn record_confirmation(&self, asked_at: Instant) {
        let mut table = lock(&self.table);
        let followers = table.followers.values_mut();
        for follower in followers.filter(|follower| follower.heard_at <= asked_at) {
            follower.confirmed = follower.renewal;
        }
    }

    /// A follower has ended in good order: nobody needs to wait for its answers.
    pub fn remove(&self, process: &Process) {
        lock(&self.table).followers.remove(process);
        self.changed.notify_one();
    }

    /// Takes over what this node's row listed before it was started again.
    pub fn restore(&self, listed: &[Registration]) {
        let now = Instant::now();
        let mut table = lock(&self.table);
        for registration in listed {
            let Some(heard_at) = now.checked_sub(registration.age) else {
                continue;
            };
            let node = registration.node.clone();
            table
                .followers
                .entry(Process::of(&node))
                .or_insert_with(|| Follower::new(node, heard_at));
        }
    }

    /// Followers that count as present.
    pub fn present(&self) -> Vec<Registration> {
        let mut list = self.list().followers;
        list.retain(Registration::is_present);
        list
    }

    /// The number of a follower's last renewal, and when it was heard.
    pub fn last_renewal(&self, process: &Process) -> Option<(u64, Instant)> {
        let table = lock(&self.table);
        let follower = table.followers.get(process)?;
        Some((follower.renewal?, follower.heard_at))
    }

    /// Whether a process follows this one and counts as present.
    pub fn has_present(&self, process: &Process) -> bool {
        let table = lock(&self.table);
        let follower = table.followers.get(process);
        follower.is_some_and(|follower| follower.registration().is_present())
    }

    /// The other processes of a follower's name.
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

    /// What the row is to list: nodes that were heard of long ago are left out.
    pub fn list(&self) -> FollowerList {
        let mut table = lock(&self.table);
        table
            .followers
            .retain(|_, follower| follower.registration().is_consulted());
        let mut listed: Vec<&Follower> = table.followers.values().collect();
        listed.sort_by_key(|follower| Reverse(follower.heard_at));
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

    /// A row is written; `claims` were read since, if it lists arrivals.
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

fn log_not_listed(followers: usize) {
    Event::warn("followers_not_listed")
        .field("followers", followers)
        .field("listed", MAX_FOLLOWERS)
        .log();
}
