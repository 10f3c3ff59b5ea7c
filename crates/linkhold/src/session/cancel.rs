//! Cancel requests, which must reach only their own session's statement.
//!
//! A cancel request names a session of this node. If that session has a
//! statement on a back end, the request is forwarded there, and the back end
//! connection is closed when the statement or transaction ends: a request
//! still in transit could otherwise cancel a statement of the next session on
//! that connection.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use rand::Rng;
use tokio::sync::Notify;

use crate::backend::CancelKey;

/// Cancel state of one session.
pub struct CancelHandle {
    key: (i32, i32),
    active: Mutex<ActiveStatement>,
    waiting: Notify,
}

#[derive(Default)]
struct ActiveStatement {
    backend: Option<CancelKey>,
    cancelled: bool,
}

impl CancelHandle {
    /// Process id and secret that were sent to the caller.
    pub fn key(&self) -> (i32, i32) {
        self.key
    }

    /// Records that a statement is about to be sent to this back end.
    pub fn start_statement(&self, backend: CancelKey) {
        *self.active() = ActiveStatement {
            backend: Some(backend),
            cancelled: false,
        };
    }

    /// Records that the statement has ended. Returns `true` if a cancel request was
    /// forwarded, so that no other session may use the connection.
    pub fn end_statement(&self) -> bool {
        let mut active = self.active();
        active.backend = None;
        active.cancelled
    }

    /// Returns when a cancel request arrives while no statement is on a back end.
    pub async fn cancelled_while_waiting(&self) {
        self.waiting.notified().await;
    }

    fn active(&self) -> MutexGuard<'_, ActiveStatement> {
        self.active.lock().expect("no panic while held")
    }
}

/// All sessions of a node that can be cancelled.
#[derive(Default)]
pub struct CancelRegistry {
    sessions: Mutex<HashMap<(i32, i32), Arc<CancelHandle>>>,
}

impl CancelRegistry {
    /// Registers a session under a new random key.
    pub fn register(&self) -> Arc<CancelHandle> {
        let mut sessions = self.sessions();
        loop {
            let key = (rand::rng().random(), rand::rng().random());
            if sessions.contains_key(&key) {
                continue;
            }
            let session = Arc::new(CancelHandle {
                key,
                active: Mutex::default(),
                waiting: Notify::new(),
            });
            sessions.insert(key, session.clone());
            return session;
        }
    }

    /// Removes a session.
    pub fn remove(&self, session: &CancelHandle) {
        self.sessions().remove(&session.key);
    }

    /// Handles a cancel request. Ignores requests with an unknown key, as the
    /// protocol requires.
    pub async fn cancel(&self, key: (i32, i32)) {
        let Some(session) = self.sessions().get(&key).cloned() else {
            return;
        };
        let backend = {
            let mut active = session.active();
            active.cancelled |= active.backend.is_some();
            active.backend
        };
        match backend {
            Some(backend) => backend.send().await,
            None => session.waiting.notify_waiters(),
        }
    }

    fn sessions(&self) -> MutexGuard<'_, HashMap<(i32, i32), Arc<CancelHandle>>> {
        self.sessions.lock().expect("no panic while held")
    }
}
