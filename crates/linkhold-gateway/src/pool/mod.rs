//! Connections of this node to one instance.
//!
//! # Invariants
//!
//! * At most `limit` connections are open or being opened at a time.
//! * A connection has one user from checkout to release. It goes back only
//!   after every reply was read; one whose state is in doubt is closed.
//! * A connection has one holder from its start to its end: it is handed only to
//!   those who ask for a connection of that holder.
//! * Waiters of one holder are served by urgency, then in the order of their
//!   arrival. Where only connections of other holders are idle, the one that has
//!   been idle longest is closed to make room. A holder with waiters keeps its
//!   connections from other holders for [`OTHERS_PATIENCE`] at most.

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
pub(crate) use opener::{Connected, LONGEST_REUSE, Opener};
pub use pooled::Pooled;
use pooled::Relayed;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// How long others wait for a place while a holder's connections go from one of
/// its waiters to the next: three times what a new connection costs an instance,
/// so that a place changes hands only where that is less than the wait.
const OTHERS_PATIENCE: Duration = Duration::from_millis(40);

/// Why no connection was had. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutError {
    /// All connections stayed in use until the deadline.
    Exhausted,
    /// A new one could not be made.
    Connect(ConnectError),
}

/// What a waiter gets.
enum Grant<C> {
    Connection(Box<Pooled<C>>),
    /// A place for a new connection, which the waiter has opened.
    Place,
    /// A connection that was being opened could not be made.
    Failed(ConnectError),
}

type WaiterKey = (Urgency, u64);

/// Who waits for a connection.
struct Waiter<C> {
    holder: ConnectionHolder,
    regions: AllowedRegions,
    since: Instant,
    /// A connection is being opened, or was, because of it.
    has_opened: bool,
    sender: oneshot::Sender<Grant<C>>,
}

struct PoolState<C> {
    /// In the order in which they were given back.
    idle: Vec<Pooled<C>>,
    open: usize,
    waiters: BTreeMap<WaiterKey, Waiter<C>>,
    next_waiter: u64,
    /// Connections that were used last before this may be silent for good.
    suspect_before: Option<Instant>,
}

impl<C> PoolState<C> {
    /// Whether a connection was used last before one that fell silent was asked.
    fn is_suspect(&self, pooled: &Pooled<C>) -> bool {
        self.suspect_before
            .is_some_and(|moment| pooled.given_back_at < moment)
    }

    /// Takes a place for a new connection if there is room, or makes room by
    /// closing the idle one that was given back first.
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

    /// Gives free places to those who wait for a connection of their holder and
    /// have none opened yet.
    fn offer_places(&mut self, limit: usize) {
        while let Some(key) = self.first_unserved(|_| true) {
            if !self.reserve(limit) {
                return;
            }
            let waiter = self.waiters.remove(&key);
            let taken = waiter.is_some_and(|it| it.sender.send(Grant::Place).is_ok());
            if !taken {
                self.open -= 1;
            }
        }
    }

    /// The first waiter that has no connection opened for it and fits.
    fn first_unserved(&self, fits: impl Fn(&Waiter<C>) -> bool) -> Option<WaiterKey> {
        let mut waiters = self.waiters.iter();
        let found = waiters.find(|(_, waiter)| !waiter.has_opened && fits(waiter));
        found.map(|(key, _)| *key)
    }

    /// Whether somebody has waited long for a place while another holder keeps
    /// its connections.
    fn is_due_to_others(&self, holder: &ConnectionHolder) -> bool {
        let is_due = |waiter: &Waiter<C>| {
            waiter.holder != *holder && waiter.since.elapsed() > OTHERS_PATIENCE
        };
        self.first_unserved(is_due).is_some()
    }

    /// The first waiter for whom a connection is.
    fn first_waiter_for(&self, pooled: &Pooled<C>) -> Option<WaiterKey> {
        let mut waiters = self.waiters.iter();
        let found = waiters.find(|(_, waiter)| pooled.suits(&waiter.holder, &waiter.regions));
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

    /// The instance.
    pub fn instance(&self) -> &Arc<Instance> {
        &self.instance
    }

    /// Connections opened since the start.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }

    /// Takes a connection for a principal, preferably one that has its values; waits
    /// until `deadline` for one. A connection that is being opened goes on being
    /// opened when nobody waits for it any more.
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
        let mut has_place = self.try_reserve();
        loop {
            if has_place {
                let holder = principal.holder.clone();
                let regions = principal.regions.clone();
                tokio::spawn(self.clone().open(opener.clone(), holder, regions));
            }
            let (sender, receiver) = oneshot::channel();
            let waiter = Waiter {
                holder: principal.holder.clone(),
                regions: principal.regions.clone(),
                since,
                has_opened: has_place,
                sender,
            };
            let mut waiting = Waiting::start(self, key, waiter, receiver);
            match tokio::time::timeout_at(deadline, &mut waiting.receiver).await {
                Ok(Ok(Grant::Connection(pooled))) => return Ok(Lease::new(self.clone(), *pooled)),
                Ok(Ok(Grant::Place)) => has_place = true,
                Ok(Ok(Grant::Failed(error))) => return Err(CheckoutError::Connect(error)),
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

    fn take_idle(&self, principal: Principal<'_>) -> Option<Pooled<C>> {
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

    /// A connection gave no answer to what was sent at `sent_at`: those that were
    /// used last before that may be as silent as it.
    pub(crate) fn suspect_elders(&self, sent_at: Instant) {
        let mut state = lock(&self.state);
        state.suspect_before = state.suspect_before.max(Some(sent_at));
    }

    fn is_suspect(&self, pooled: &Pooled<C>) -> bool {
        lock(&self.state).is_suspect(pooled)
    }

    /// Closes those that may be silent: a second one was.
    fn close_suspects(&self) {
        let mut state = lock(&self.state);
        let idle = std::mem::take(&mut state.idle);
        let before = idle.len();
        let proved = idle.into_iter().filter(|pooled| !state.is_suspect(pooled));
        state.idle = proved.collect();
        state.open -= before - state.idle.len();
    }

    /// Opens a connection on a place that is reserved and hands it on.
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
                    reuse_until: Instant::now() + LONGEST_REUSE,
                });
                self.put_back(Pooled {
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

    /// A connection could not be made: whoever waits is told, since the next
    /// try would end alike. Where the instance has none left, others may still
    /// get one that stands.
    fn fail_waiters(&self, holder: &ConnectionHolder, error: ConnectError) {
        let concerns_all = match error {
            ConnectError::Unreachable | ConnectError::WrongInstance => true,
            ConnectError::Rejected | ConnectError::Closed => false,
        };
        let mut state = lock(&self.state);
        state.open -= 1;
        let concerned: Vec<WaiterKey> = state
            .waiters
            .iter()
            .filter(|(_, waiter)| concerns_all || waiter.holder == *holder)
            .map(|(key, _)| *key)
            .collect();
        for waiter in concerned.iter().filter_map(|key| state.waiters.remove(key)) {
            // A waiter that has left needs no answer.
            let _ = waiter.sender.send(Grant::Failed(error));
        }
        state.offer_places(self.limit());
    }

    fn put_back(&self, mut pooled: Pooled<C>) {
        pooled.given_back_at = Instant::now();
        let mut state = lock(&self.state);
        let limit = self.limit();
        let is_needed_elsewhere = state.is_due_to_others(&pooled.holder);
        if state.open > limit || is_needed_elsewhere || !pooled.may_be_reused() {
            state.open -= 1;
            state.offer_places(limit);
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
                Err(Grant::Place | Grant::Failed(_)) => return,
            }
        }
        state.idle.push(*pooled);
        state.offer_places(limit);
    }

    /// A connection in use was closed, or a place for one not taken.
    fn closed(&self) {
        let mut state = lock(&self.state);
        state.open -= 1;
        state.offer_places(self.limit());
    }

    /// Closes connections that are not in use.
    pub fn close_idle(&self) {
        let mut state = lock(&self.state);
        let count = state.idle.len();
        state.idle.clear();
        state.open -= count;
    }

    /// Statements under way at the instance.
    pub(crate) fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Sets what this node may hold.
    pub fn set_share(&self, share: Share) {
        *lock(&self.share) = share;
        self.gate.set_connections(share.limit);
    }

    fn limit(&self) -> usize {
        lock(&self.share).limit
    }

    /// Closes connections that have not been in use for as long as the share
    /// tells, but for those that it keeps.
    pub fn close_unused(&self) {
        let share = *lock(&self.share);
        let Some(idle_for) = share.idle_for else {
            return;
        };
        let mut state = lock(&self.state);
        let closable = state.idle.len().saturating_sub(share.kept);
        // The first were given back first.
        let unused = state
            .idle
            .iter()
            .take(closable)
            .take_while(|pooled| pooled.given_back_at.elapsed() >= idle_for)
            .count();
        state.idle.drain(..unused);
        state.open -= unused;
    }

    /// Connections open or being opened.
    pub fn open_connections(&self) -> usize {
        lock(&self.state).open
    }
}

/// A waiter's place in the queue; a grant that nobody takes is passed on.
struct Waiting<'a, C: BackendConnection> {
    pool: &'a Pool<C>,
    key: WaiterKey,
    receiver: oneshot::Receiver<Grant<C>>,
}

impl<'a, C: BackendConnection> Waiting<'a, C> {
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

impl<C: BackendConnection> Drop for Waiting<'_, C> {
    fn drop(&mut self) {
        lock(&self.pool.state).waiters.remove(&self.key);
        self.receiver.close();
        match self.receiver.try_recv() {
            Ok(Grant::Connection(pooled)) => self.pool.put_back(*pooled),
            Ok(Grant::Place) => self.pool.closed(),
            Ok(Grant::Failed(_)) | Err(_) => {}
        }
    }
}

/// The connection for a principal that was given back last, preferably one that
/// has its values.
fn best_idle<C>(idle: &[Pooled<C>], principal: Principal<'_>) -> Option<usize> {
    let suits = |pooled: &Pooled<C>| pooled.suits(principal.holder, principal.regions);
    idle.iter()
        .rposition(|pooled| suits(pooled) && pooled.state.values == *principal.values)
        .or_else(|| idle.iter().rposition(suits))
}
