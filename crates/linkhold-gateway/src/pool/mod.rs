//! Pool of this node's connections to one instance.
//!
//! # Invariants
//!
//! * At most `limit` connections are open or being opened at a time.
//! * A connection has one user from checkout to release. It is given back only after
//!   every reply was read; one whose state is in doubt is closed.
//! * A connection belongs to one holder for as long as it is open: it is handed out
//!   only for statements of that holder.
//! * Waiters of one holder are served by urgency, then in the order of their arrival.
//!   Where only connections of other holders are idle, the one that has been idle
//!   longest is closed to make room. A holder with waiters keeps its connections from
//!   other holders for [`OTHER_HOLDER_MAX_WAIT`] at most.

mod lease;
mod opener;
mod pooled;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use linkhold_core::service::concurrency::ConcurrencyLimit;
use linkhold_core::service::connection_share::Share;
use linkhold_core::service::instance::Instance;
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::session::ConnectionState;
use linkhold_core::tenancy::ConnectionHolder;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::cluster_state::lock;
use crate::gate::{Gate, Urgency};
use crate::ports::{BackendConnection, ConnectError};
use crate::request::principal::Principal;

pub use lease::Lease;
pub(crate) use opener::{Connected, MAX_RELAYED_AGE, Opener};
pub use pooled::PooledConnection;
use pooled::Relayed;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// How long other holders wait for a permit while a holder's connections pass from one
/// of its waiters to the next: three times what a new connection costs an instance, so
/// that a permit changes holders only where that costs less than the wait.
const OTHER_HOLDER_MAX_WAIT: Duration = Duration::from_millis(40);

/// Why a checkout failed. Nothing was sent to the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutError {
    /// All connections stayed in use until the deadline.
    Exhausted,
    /// A new connection could not be opened.
    Connect(ConnectError),
}

/// What a waiter receives.
enum Grant<C> {
    Connection(Box<PooledConnection<C>>),
    /// A permit for a new connection, which the waiter then has opened.
    Permit,
    /// A connection that was being opened failed.
    ConnectFailed(ConnectError),
}

type WaiterKey = (Urgency, u64);

/// A checkout that waits for a connection.
struct Waiter<C> {
    holder: ConnectionHolder,
    regions: AllowedRegions,
    since: Instant,
    /// A connection is being opened, or was, on a permit of this waiter.
    has_had_permit: bool,
    sender: oneshot::Sender<Grant<C>>,
}

struct PoolState<C> {
    /// Idle connections, in the order in which they were given back.
    idle: Vec<PooledConnection<C>>,
    open: usize,
    waiters: BTreeMap<WaiterKey, Waiter<C>>,
    next_waiter: u64,
    /// Connections that were last used before this time may be silent for good.
    suspect_before: Option<Instant>,
}

impl<C> PoolState<C> {
    /// Whether a connection was last used before the statement that another connection
    /// left unanswered was sent.
    fn is_suspect(&self, pooled: &PooledConnection<C>) -> bool {
        self.suspect_before
            .is_some_and(|moment| pooled.given_back_at < moment)
    }

    /// Takes a permit for a new connection if the limit allows it, or makes room by
    /// closing the connection that has been idle longest.
    fn reserve(&mut self, limit: usize) -> bool {
        if self.open < limit {
            self.open += 1;
            return true;
        }
        if self.open > limit || self.idle.is_empty() {
            return false;
        }
        self.idle.remove(0);
        true
    }

    /// Grants free permits to waiters that have not had one yet.
    fn grant_permits(&mut self, limit: usize) {
        while let Some(key) = self.first_without_permit(|_| true) {
            if !self.reserve(limit) {
                return;
            }
            let waiter = self.waiters.remove(&key);
            let was_accepted = waiter.is_some_and(|it| it.sender.send(Grant::Permit).is_ok());
            if !was_accepted {
                self.open -= 1;
            }
        }
    }

    /// The first waiter that has not had a permit and fits.
    fn first_without_permit(&self, fits: impl Fn(&Waiter<C>) -> bool) -> Option<WaiterKey> {
        let mut waiters = self.waiters.iter();
        let found = waiters.find(|(_, waiter)| !waiter.has_had_permit && fits(waiter));
        found.map(|(key, _)| *key)
    }

    /// Whether a waiter of another holder than `holder` has waited for a permit for
    /// longer than [`OTHER_HOLDER_MAX_WAIT`].
    fn is_owed_to_other_holder(&self, holder: &ConnectionHolder) -> bool {
        let is_overdue = |waiter: &Waiter<C>| {
            waiter.holder != *holder && waiter.since.elapsed() > OTHER_HOLDER_MAX_WAIT
        };
        self.first_without_permit(is_overdue).is_some()
    }

    /// The first waiter that may use a connection.
    fn first_waiter_for(&self, pooled: &PooledConnection<C>) -> Option<WaiterKey> {
        let mut waiters = self.waiters.iter();
        let found = waiters.find(|(_, waiter)| pooled.may_serve(&waiter.holder, &waiter.regions));
        found.map(|(key, _)| *key)
    }
}

/// The pool of one instance.
pub struct Pool<C> {
    instance: Arc<Instance>,
    share: Mutex<Share>,
    gate: Arc<Gate>,
    state: Mutex<PoolState<C>>,
    opened: AtomicUsize,
}

impl<C: BackendConnection> Pool<C> {
    /// An empty pool.
    pub fn new(instance: Arc<Instance>, share: Share) -> Self {
        Self {
            gate: Gate::new(ConcurrencyLimit::new(instance.capacity, share.limit)),
            instance,
            share: Mutex::new(share),
            state: Mutex::new(PoolState {
                idle: Vec::new(),
                open: 0,
                waiters: BTreeMap::new(),
                next_waiter: 0,
                suspect_before: None,
            }),
            opened: AtomicUsize::new(0),
        }
    }

    /// The instance to which the connections are open.
    pub fn instance(&self) -> &Arc<Instance> {
        &self.instance
    }

    /// Number of connections opened since the start.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }

    /// Takes a connection for a principal, preferably one with the principal's session
    /// values; waits for one until `deadline`. A connection that is being opened is
    /// opened to the end even if its waiter has left.
    pub(crate) async fn checkout<O: Opener<C>>(
        self: &Arc<Self>,
        opener: &Arc<O>,
        principal: Principal<'_>,
        urgency: Urgency,
        deadline: Instant,
    ) -> Result<Lease<C>, CheckoutError> {
        while let Some(pooled) = self.take_idle(principal) {
            let is_suspect = self.is_suspect(&pooled);
            let mut lease = Lease::new(self.clone(), pooled);
            if !is_suspect || lease.answers().await {
                return Ok(lease);
            }
            self.close_suspects();
        }
        let key = self.next_key(urgency);
        let since = Instant::now();
        let mut has_permit = self.try_reserve();
        loop {
            if has_permit {
                let holder = principal.holder.clone();
                let regions = principal.regions.clone();
                tokio::spawn(self.clone().open(opener.clone(), holder, regions));
            }
            let (sender, receiver) = oneshot::channel();
            let waiter = Waiter {
                holder: principal.holder.clone(),
                regions: principal.regions.clone(),
                since,
                has_had_permit: has_permit,
                sender,
            };
            let mut entry = QueueEntry::start(self, key, waiter, receiver);
            match tokio::time::timeout_at(deadline, &mut entry.receiver).await {
                Ok(Ok(Grant::Connection(pooled))) => return Ok(Lease::new(self.clone(), *pooled)),
                Ok(Ok(Grant::Permit)) => has_permit = true,
                Ok(Ok(Grant::ConnectFailed(error))) => return Err(CheckoutError::Connect(error)),
                Ok(Err(_)) | Err(_) => return Err(CheckoutError::Exhausted),
            }
        }
    }

    fn next_key(&self, urgency: Urgency) -> WaiterKey {
        let mut state = lock(&self.state);
        let key = (urgency, state.next_waiter);
        state.next_waiter += 1;
        key
    }

    fn take_idle(&self, principal: Principal<'_>) -> Option<PooledConnection<C>> {
        let mut state = lock(&self.state);
        loop {
            let index = best_idle(&state.idle, principal)?;
            let mut pooled = state.idle.remove(index);
            if pooled.connection.is_open() && pooled.may_be_reused() {
                return Some(pooled);
            }
            state.open -= 1;
        }
    }

    fn try_reserve(&self) -> bool {
        lock(&self.state).reserve(self.limit())
    }

    /// Suspects the connections that were last used before `sent_at`: a statement that
    /// was sent then got no answer on another connection, and they may be silent as
    /// well.
    pub(crate) fn suspect_used_before(&self, sent_at: Instant) {
        let mut state = lock(&self.state);
        state.suspect_before = state.suspect_before.max(Some(sent_at));
    }

    fn is_suspect(&self, pooled: &PooledConnection<C>) -> bool {
        lock(&self.state).is_suspect(pooled)
    }

    /// Closes all idle connections that may be silent, after a second one was found so.
    fn close_suspects(&self) {
        let mut state = lock(&self.state);
        let idle = std::mem::take(&mut state.idle);
        let before = idle.len();
        let trusted = idle.into_iter().filter(|pooled| !state.is_suspect(pooled));
        state.idle = trusted.collect();
        state.open -= before - state.idle.len();
    }

    /// Opens a connection on a permit and hands it to a waiter.
    async fn open<O: Opener<C>>(
        self: Arc<Self>,
        opener: Arc<O>,
        holder: ConnectionHolder,
        regions: AllowedRegions,
    ) {
        let connecting = opener.open(&self.instance, &holder, &regions);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .unwrap_or(Err(ConnectError::Unreachable));
        match connected {
            Ok(connected) => {
                self.opened.fetch_add(1, Ordering::Relaxed);
                let relayed = connected.relayed_through.map(|region| Relayed {
                    region,
                    reuse_until: Instant::now() + MAX_RELAYED_AGE,
                });
                self.put_back(PooledConnection {
                    connection: connected.connection,
                    holder,
                    relayed,
                    state: ConnectionState::default(),
                    needs_rollback: false,
                    given_back_at: Instant::now(),
                    opened_at: Instant::now(),
                });
            }
            Err(error) => {
                opener.open_failed(&self.instance, error);
                self.fail_waiters(&holder, error);
            }
        }
    }

    /// Fails the waiters after a connection could not be opened, since the next attempt
    /// would end alike. Where the instance may have no connection left, only the
    /// waiters of `holder` fail: others may still get a connection that is open.
    fn fail_waiters(&self, holder: &ConnectionHolder, error: ConnectError) {
        let affects_all = match error {
            ConnectError::Unreachable | ConnectError::WrongInstance => true,
            ConnectError::Rejected | ConnectError::Closed => false,
        };
        let mut state = lock(&self.state);
        state.open -= 1;
        let affected: Vec<WaiterKey> = state
            .waiters
            .iter()
            .filter(|(_, waiter)| affects_all || waiter.holder == *holder)
            .map(|(key, _)| *key)
            .collect();
        for waiter in affected.iter().filter_map(|key| state.waiters.remove(key)) {
            // The waiter may have left.
            let _ = waiter.sender.send(Grant::ConnectFailed(error));
        }
        state.grant_permits(self.limit());
    }

    fn put_back(&self, mut pooled: PooledConnection<C>) {
        pooled.given_back_at = Instant::now();
        let mut state = lock(&self.state);
        let limit = self.limit();
        let is_owed_to_other = state.is_owed_to_other_holder(&pooled.holder);
        if state.open > limit || is_owed_to_other || !pooled.may_be_reused() {
            state.open -= 1;
            state.grant_permits(limit);
            return;
        }
        let mut pooled = Box::new(pooled);
        while let Some(key) = state.first_waiter_for(&pooled) {
            let Some(waiter) = state.waiters.remove(&key) else {
                break;
            };
            match waiter.sender.send(Grant::Connection(pooled)) {
                Ok(()) => return,
                Err(Grant::Connection(refused)) => pooled = refused,
                Err(Grant::Permit | Grant::ConnectFailed(_)) => return,
            }
        }
        state.idle.push(*pooled);
        state.grant_permits(limit);
    }

    /// Releases the permit of a connection that was closed in use, or a permit that was
    /// not used.
    fn release_permit(&self) {
        let mut state = lock(&self.state);
        state.open -= 1;
        state.grant_permits(self.limit());
    }

    /// Closes the connections that are not in use.
    pub fn close_idle(&self) {
        let mut state = lock(&self.state);
        let count = state.idle.len();
        state.idle.clear();
        state.open -= count;
    }

    /// The gate that limits concurrent statements at the instance.
    pub(crate) fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Sets how many connections this node may hold.
    pub fn set_share(&self, share: Share) {
        *lock(&self.share) = share;
        self.gate.set_connections(share.limit);
    }

    fn limit(&self) -> usize {
        lock(&self.share).limit
    }

    /// Closes connections that have been idle for longer than the share allows, except
    /// for the number that it keeps.
    pub fn close_unused(&self) {
        let share = *lock(&self.share);
        let Some(idle_for) = share.idle_for else {
            return;
        };
        let mut state = lock(&self.state);
        let closable = state.idle.len().saturating_sub(share.kept);
        // The first in the list have been idle longest.
        let unused = state
            .idle
            .iter()
            .take(closable)
            .take_while(|pooled| pooled.given_back_at.elapsed() >= idle_for)
            .count();
        state.idle.drain(..unused);
        state.open -= unused;
    }

    /// Number of connections open or being opened.
    pub fn open_connections(&self) -> usize {
        lock(&self.state).open
    }
}

/// A waiter's entry in the queue. When dropped, it passes on a grant that was not
/// taken.
struct QueueEntry<'a, C: BackendConnection> {
    pool: &'a Pool<C>,
    key: WaiterKey,
    receiver: oneshot::Receiver<Grant<C>>,
}

impl<'a, C: BackendConnection> QueueEntry<'a, C> {
    fn start(
        pool: &'a Pool<C>,
        key: WaiterKey,
        waiter: Waiter<C>,
        receiver: oneshot::Receiver<Grant<C>>,
    ) -> Self {
        lock(&pool.state).waiters.insert(key, waiter);
        Self {
            pool,
            key,
            receiver,
        }
    }
}

impl<C: BackendConnection> Drop for QueueEntry<'_, C> {
    fn drop(&mut self) {
        lock(&self.pool.state).waiters.remove(&self.key);
        self.receiver.close();
        match self.receiver.try_recv() {
            Ok(Grant::Connection(pooled)) => self.pool.put_back(*pooled),
            Ok(Grant::Permit) => self.pool.release_permit(),
            Ok(Grant::ConnectFailed(_)) | Err(_) => {}
        }
    }
}

/// Index of the connection that a principal may use and that was given back last,
/// preferably one with the principal's session values.
fn best_idle<C>(idle: &[PooledConnection<C>], principal: Principal<'_>) -> Option<usize> {
    let may_serve =
        |pooled: &PooledConnection<C>| pooled.may_serve(principal.holder, principal.regions);
    idle.iter()
        .rposition(|pooled| may_serve(pooled) && pooled.state.values == *principal.values)
        .or_else(|| idle.iter().rposition(may_serve))
}
