//! Connections of this node to one instance.
//!
//! # Invariants
//!
//! * At most `limit` connections are open or being opened at a time.
//! * A connection has one user from checkout to release. It goes back only
//!   after every reply was read; one whose state is in doubt is closed.
//! * Waiters are served by urgency, then in the order of their arrival.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use linkhold_core::service::concurrency::ConcurrencyLimit;
use linkhold_core::service::connection_share::Share;
use linkhold_core::service::instance::Instance;
use linkhold_core::service::session::{ConnectionState, SessionValues};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::beliefs::lock;
use crate::gate::{Gate, Urgency};
use crate::gateway::Gateway;
use crate::ports::{BackendConnection, ConnectError, Platform};
use crate::relay;

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Why no connection was had. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutError {
    /// All connections stayed in use until the deadline.
    Exhausted,
    /// A new one could not be made.
    Connect(ConnectError),
}

/// A connection and what it was told.
pub struct Pooled<C> {
    /// The connection.
    pub connection: C,
    /// Values and prepared statements on it.
    pub state: ConnectionState,
    /// A transaction of the last user is still to be rolled back.
    pub needs_rollback: bool,
    /// Until when it may be used again, if not for as long as it stands.
    reuse_until: Option<Instant>,
    /// When it was given back last.
    given_back_at: Instant,
}

impl<C> Pooled<C> {
    fn may_be_reused(&self) -> bool {
        self.reuse_until.is_none_or(|until| Instant::now() < until)
    }
}

/// What a waiter gets.
enum Grant<C> {
    Connection(Box<Pooled<C>>),
    /// A connection that was being opened could not be made.
    Failed(ConnectError),
}

type WaiterKey = (Urgency, u64);

struct PoolState<C> {
    idle: Vec<Pooled<C>>,
    open: usize,
    waiters: BTreeMap<WaiterKey, oneshot::Sender<Grant<C>>>,
    next_waiter: u64,
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

    /// Takes a connection, preferably one that has `values`; waits until
    /// `deadline` for one. A connection that is being opened goes on being
    /// opened when nobody waits for it any more.
    pub async fn checkout<P: Platform<Connection = C>>(
        self: &Arc<Self>,
        gateway: &Arc<Gateway<P>>,
        values: &SessionValues,
        urgency: Urgency,
        deadline: Instant,
    ) -> Result<Lease<C>, CheckoutError> {
        if let Some(pooled) = self.take_idle(values) {
            return Ok(Lease::new(self.clone(), pooled));
        }
        if self.try_reserve() {
            let pool = self.clone();
            tokio::spawn(pool.open(gateway.clone()));
        }
        let (receiver, key) = self.enqueue(urgency);
        let mut waiting = Waiting {
            pool: self,
            key,
            receiver,
        };
        match tokio::time::timeout_at(deadline, &mut waiting.receiver).await {
            Ok(Ok(Grant::Connection(pooled))) => Ok(Lease::new(self.clone(), *pooled)),
            Ok(Ok(Grant::Failed(error))) => Err(CheckoutError::Connect(error)),
            Ok(Err(_)) | Err(_) => Err(CheckoutError::Exhausted),
        }
    }

    fn take_idle(&self, values: &SessionValues) -> Option<Pooled<C>> {
        let mut state = lock(&self.state);
        loop {
            let index = best_idle(&state.idle, values)?;
            let mut pooled = state.idle.swap_remove(index);
            if pooled.connection.is_open() && pooled.may_be_reused() {
                return Some(pooled);
            }
            state.open -= 1;
        }
    }

    fn try_reserve(&self) -> bool {
        let mut state = lock(&self.state);
        let has_room = state.open < self.limit();
        if has_room {
            state.open += 1;
        }
        has_room
    }

    fn enqueue(&self, urgency: Urgency) -> (oneshot::Receiver<Grant<C>>, WaiterKey) {
        let (sender, receiver) = oneshot::channel();
        let mut state = lock(&self.state);
        let key = (urgency, state.next_waiter);
        state.next_waiter += 1;
        state.waiters.insert(key, sender);
        (receiver, key)
    }

    /// Opens a connection on a place that is reserved and hands it on.
    async fn open<P: Platform<Connection = C>>(self: Arc<Self>, gateway: Arc<Gateway<P>>) {
        let connecting = relay::connect(&gateway, &self.instance);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .unwrap_or(Err(ConnectError::Unreachable));
        match connected {
            Ok(connected) => {
                self.opened.fetch_add(1, Ordering::Relaxed);
                let reuse_until = Instant::now() + relay::LONGEST_REUSE;
                self.put_back(Pooled {
                    connection: connected.connection,
                    reuse_until: connected.is_relayed.then_some(reuse_until),
                    state: ConnectionState::default(),
                    needs_rollback: false,
                    given_back_at: Instant::now(),
                });
            }
            Err(error) => {
                gateway.connect_failed(&self.instance, error);
                self.fail_waiters(error);
            }
        }
    }

    /// A connection could not be made: whoever waits is told, since the next
    /// try would end alike.
    fn fail_waiters(&self, error: ConnectError) {
        let mut state = lock(&self.state);
        state.open -= 1;
        while let Some((_, waiter)) = state.waiters.pop_first() {
            // A waiter that has left needs no answer.
            let _ = waiter.send(Grant::Failed(error));
        }
    }

    fn put_back(&self, mut pooled: Pooled<C>) {
        pooled.given_back_at = Instant::now();
        let mut state = lock(&self.state);
        if state.open > self.limit() || !pooled.may_be_reused() {
            state.open -= 1;
            return;
        }
        let mut grant = Grant::Connection(Box::new(pooled));
        while let Some((_, waiter)) = state.waiters.pop_first() {
            match waiter.send(grant) {
                Ok(()) => return,
                Err(refused) => grant = refused,
            }
        }
        if let Grant::Connection(pooled) = grant {
            state.idle.push(*pooled);
        }
    }

    /// A connection in use was closed.
    fn closed(&self) {
        lock(&self.state).open -= 1;
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
    /// tells.
    pub fn close_unused(&self) {
        let Some(idle_for) = lock(&self.share).idle_for else {
            return;
        };
        let mut state = lock(&self.state);
        let before = state.idle.len();
        state
            .idle
            .retain(|pooled| pooled.given_back_at.elapsed() < idle_for);
        state.open -= before - state.idle.len();
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

impl<C: BackendConnection> Drop for Waiting<'_, C> {
    fn drop(&mut self) {
        lock(&self.pool.state).waiters.remove(&self.key);
        self.receiver.close();
        match self.receiver.try_recv() {
            Ok(Grant::Connection(pooled)) => self.pool.put_back(*pooled),
            Ok(Grant::Failed(_)) | Err(_) => {}
        }
    }
}

fn best_idle<C>(idle: &[Pooled<C>], values: &SessionValues) -> Option<usize> {
    idle.iter()
        .rposition(|pooled| pooled.state.values == *values)
        .or_else(|| idle.len().checked_sub(1))
}

/// A connection in use. Dropped without [`Lease::release`], it is closed.
pub struct Lease<C: BackendConnection> {
    pool: Arc<Pool<C>>,
    pooled: Option<Pooled<C>>,
}

impl<C: BackendConnection> Lease<C> {
    fn new(pool: Arc<Pool<C>>, pooled: Pooled<C>) -> Self {
        Self {
            pool,
            pooled: Some(pooled),
        }
    }

    /// Statements under way at the instance.
    pub(crate) fn gate(&self) -> &Arc<Gate> {
        &self.pool.gate
    }

    /// The instance it leads to.
    pub fn instance(&self) -> &Arc<Instance> {
        &self.pool.instance
    }

    /// The connection. Present until release or drop.
    pub fn pooled(&mut self) -> &mut Pooled<C> {
        self.pooled
            .as_mut()
            .expect("a lease has its connection until it is released")
    }

    /// Gives the connection back for others to use.
    pub fn release(mut self) {
        if let Some(pooled) = self.pooled.take() {
            self.pool.put_back(pooled);
        }
    }
}

impl<C: BackendConnection> Drop for Lease<C> {
    fn drop(&mut self) {
        if self.pooled.take().is_some() {
            self.pool.closed();
        }
    }
}
