//! Cancel requests, which must reach only their own session's statement.
//!
//! A cancel request names a session of this node. If that session has a
//! statement on a back end, the request is passed on there, and the back end
//! connection is closed when the statement or transaction ends: a request
//! still under way could otherwise hit the next session on that connection.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use rand::Rng;
use tokio::sync::Notify;

use crate::backend::CancelKey;

/// Cancel state of one session.
pub struct CancelSlot {
    key: (i32, i32),
    active: Mutex<Active>,
    waiting: Notify,
}

#[derive(Default)]
struct Active {
    backend: Option<CancelKey>,
    cancelled: bool,
}

impl CancelSlot {
    /// Process and secret the caller was given.
    pub fn key(&self) -> (i32, i32) {
        self.key
    }

    /// A statement is about to be sent to this back end.
    pub fn enter(&self, backend: CancelKey) {
        *self.active() = Active {
            backend: Some(backend),
            cancelled: false,
        };
    }

    /// The statement has ended. `true` if a cancel request was passed on, so
    /// that the connection must not be used by another session.
    pub fn leave(&self) -> bool {
        let mut active = self.active();
        active.backend = None;
        active.cancelled
    }

    /// Returns when a cancel request comes while nothing was sent yet.
    pub async fn cancelled_while_waiting(&self) {
        self.waiting.notified().await;
    }

    fn active(&self) -> MutexGuard<'_, Active> {
        self.active.lock().expect("no panic while held")
    }
}

/// All sessions of a node that can be cancelled.
#[derive(Default)]
pub struct CancelRegistry {
    slots: Mutex<HashMap<(i32, i32), Arc<CancelSlot>>>,
}

impl CancelRegistry {
    /// A slot with a fresh random key.
    pub fn register(&self) -> Arc<CancelSlot> {
        let mut slots = self.slots();
        loop {
            let key = (rand::rng().random(), rand::rng().random());
            if slots.contains_key(&key) {
                continue;
            }
            let slot = Arc::new(CancelSlot {
                key,
                active: Mutex::default(),
                waiting: Notify::new(),
            });
            slots.insert(key, slot.clone());
            return slot;
        }
    }

    /// Forgets a session.
    pub fn remove(&self, slot: &CancelSlot) {
        self.slots().remove(&slot.key);
    }

    /// Handles a cancel request. Requests with an unknown key do nothing, as
    /// the protocol demands.
    pub async fn cancel(&self, key: (i32, i32)) {
        let Some(slot) = self.slots().get(&key).cloned() else {
            return;
        };
        let backend = {
            let mut active = slot.active();
            active.cancelled |= active.backend.is_some();
            active.backend
        };
        match backend {
            Some(backend) => backend.send().await,
            None => slot.waiting.notify_waiters(),
        }
    }

    fn slots(&self) -> MutexGuard<'_, HashMap<(i32, i32), Arc<CancelSlot>>> {
        self.slots.lock().expect("no panic while held")
    }
}
