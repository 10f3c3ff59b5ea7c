//! Limits the statements of this node that run at one instance at a time.
//!
//! # Invariants
//!
//! * No more statements than the limit run at a time, except for statements in
//!   transactions: these hold a connection and other resources until they end.
//! * Waiting statements run in the order of urgency, then of arrival.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use linkhold_core::service::concurrency::ConcurrencyLimit;
use tokio::sync::oneshot;
use tokio::time::timeout_at;

use crate::cluster_state::lock;

/// Rank of a request in queues; the lowest rank goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Writes go before reads.
    pub is_read: bool,
    /// The route's priority.
    pub priority: u8,
}

type WaiterKey = (Urgency, u64);

struct State {
    limit: ConcurrencyLimit,
    running: usize,
    waiters: BTreeMap<WaiterKey, oneshot::Sender<Permit>>,
    next_waiter: u64,
}

/// The concurrency limit of one instance and its queue.
pub struct Gate {
    state: Mutex<State>,
}

/// The right to run one statement; returned when dropped.
pub struct Permit {
    gate: Arc<Gate>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gate.release();
    }
}

impl Gate {
    /// A gate without running statements.
    pub fn new(limit: ConcurrencyLimit) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                limit,
                running: 0,
                waiters: BTreeMap::new(),
                next_waiter: 0,
            }),
        })
    }

    /// Sets how many connections the node may hold.
    pub fn set_connections(&self, connections: usize) {
        lock(&self.state).limit.set_connections(connections);
    }

    /// Records that the instance refused a statement because it was full.
    pub fn record_refusal(&self) {
        lock(&self.state).limit.record_refusal(Instant::now());
    }

    /// Waits until a statement may run; `None` if it may not before `deadline`.
    pub async fn acquire(self: &Arc<Self>, urgency: Urgency, deadline: Instant) -> Option<Permit> {
        let (receiver, key) = {
            let mut state = lock(&self.state);
            if state.running < state.limit.get() {
                state.running += 1;
                return Some(Permit { gate: self.clone() });
            }
            let (sender, receiver) = oneshot::channel();
            let key = (urgency, state.next_waiter);
            state.next_waiter += 1;
            state.waiters.insert(key, sender);
            (receiver, key)
        };
        let mut waiting = Waiting {
            gate: self,
            key,
            receiver,
        };
        timeout_at(deadline.into(), &mut waiting.receiver)
            .await
            .ok()?
            .ok()
    }

    /// Lets a statement of an open transaction run at once, even beyond the limit.
    pub fn acquire_immediately(self: &Arc<Self>) -> Permit {
        lock(&self.state).running += 1;
        Permit { gate: self.clone() }
    }

    fn release(self: &Arc<Self>) {
        let mut state = lock(&self.state);
        state.running -= 1;
        if !state.waiters.is_empty() {
            state.limit.record_answer_under_load();
        }
        let mut permits = Vec::new();
        while state.running < state.limit.get() {
            let Some((_, waiter)) = state.waiters.pop_first() else {
                break;
            };
            state.running += 1;
            permits.push((waiter, Permit { gate: self.clone() }));
        }
        drop(state);
        for (waiter, permit) in permits {
            // A permit whose waiter has gone is returned when it is dropped.
            let _ = waiter.send(permit);
        }
    }
}

/// An entry in the queue, removed when dropped.
struct Waiting<'a> {
    gate: &'a Gate,
    key: WaiterKey,
    receiver: oneshot::Receiver<Permit>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(&self.gate.state).waiters.remove(&self.key);
    }
}
