//! Pool of connections to one instance, within this node's share of its
//! connection limit.

use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::connection::{BackendConnection, BackendError, Target};
use crate::log_event::{Event, EventName};
use crate::settings::Settings;

/// Connections to one instance. Cheap to clone; clones share the connections.
#[derive(Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

struct Shared {
    target: Target,
    settings: Arc<Settings>,
    idle: Mutex<Vec<BackendConnection>>,
    permits: Arc<Semaphore>,
    limit: Mutex<usize>,
    server_version: OnceLock<String>,
}

impl Pool {
    /// An empty pool.
    pub fn new(
        address: SocketAddr,
        database: String,
        limit: usize,
        settings: Arc<Settings>,
    ) -> Self {
        let target = Target {
            address,
            database: database.into(),
            user: settings.backend_user.as_str().into(),
        };
        Self {
            shared: Arc::new(Shared {
                target,
                settings,
                idle: Mutex::default(),
                permits: Arc::new(Semaphore::new(limit)),
                limit: Mutex::new(limit),
                server_version: OnceLock::new(),
            }),
        }
    }

    /// Takes an idle connection, or opens one within the limit. Waits while the
    /// limit is used up, and fails after the connect time-out.
    ///
    /// A connection is opened only while holding a permit and with none idle, so
    /// connections in use and idle ones together never exceed the limit.
    pub async fn take(&self) -> Result<PooledConnection, BackendError> {
        let waiting = self.shared.permits.clone().acquire_owned();
        let timeout = self.shared.settings.connect_timeout;
        let permit = tokio::time::timeout(timeout, waiting)
            .await
            .map_err(|_| BackendError::LimitReached)?
            .expect("the semaphore is never closed");
        let connection = match self.take_idle() {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        Ok(PooledConnection {
            connection: Some(connection),
            pool: self.clone(),
            _permit: permit,
        })
    }

    /// Opens a connection that does not count against the pool's limit: the limit
    /// is set lower than the node's share to leave room for it.
    pub async fn connect_for_probe(&self) -> Result<BackendConnection, BackendError> {
        self.connect().await
    }

    /// Opens a connection in the background if fewer than `wanted` are idle.
    pub fn keep_warm(&self, wanted: usize) {
        let pool = self.clone();
        if self.idle().len() >= wanted {
            return;
        }
        tokio::spawn(async move {
            let Ok(_permit) = pool.shared.permits.clone().try_acquire_owned() else {
                return;
            };
            if let Ok(connection) = pool.connect().await {
                pool.idle().push(connection);
            }
        });
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle().clear();
    }

    /// Changes the limit. Connections beyond a lowered limit are closed when they
    /// are returned.
    pub fn set_limit(&self, limit: usize) {
        let mut current = self.shared.limit.lock().expect("no panic while held");
        if limit > *current {
            self.shared.permits.add_permits(limit - *current);
        } else {
            self.shrink(*current - limit);
        }
        *current = limit;
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle().len()
    }

    /// Number of connections in use.
    pub fn in_use_count(&self) -> usize {
        self.limit()
            .saturating_sub(self.shared.permits.available_permits())
    }

    /// The limit in force.
    pub fn limit(&self) -> usize {
        *self.shared.limit.lock().expect("no panic while held")
    }

    /// Version that the back end reported; `None` before the first connection.
    pub fn server_version(&self) -> Option<&str> {
        self.shared.server_version.get().map(String::as_str)
    }

    /// Address that the pool connects to.
    pub fn address(&self) -> SocketAddr {
        self.shared.target.address
    }

    fn shrink(&self, count: usize) {
        let permits = self.shared.permits.clone();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        if count == 0 {
            return;
        }
        self.idle().clear();
        tokio::spawn(async move {
            if let Ok(taken) = permits.acquire_many_owned(count).await {
                taken.forget();
            }
        });
    }

    fn take_idle(&self) -> Option<BackendConnection> {
        loop {
            let connection = self.idle().pop()?;
            if connection.is_reusable() {
                return Some(connection);
            }
        }
    }

    async fn connect(&self) -> Result<BackendConnection, BackendError> {
        let settings = &self.shared.settings;
        let connecting =
            BackendConnection::connect(&self.shared.target, settings.statement_timeout);
        let result = tokio::time::timeout(settings.connect_timeout, connecting)
            .await
            .unwrap_or(Err(BackendError::TimedOut));
        if let Err(error) = &result {
            Event::warn(EventName::ConnectFailed)
                .field("database", &self.shared.target.database)
                .field("address", self.shared.target.address)
                .field("reason", error)
                .log();
        }
        if let Ok(connection) = &result {
            self.record_version(connection);
        }
        result
    }

    fn record_version(&self, connection: &BackendConnection) {
        let version = connection
            .parameters
            .iter()
            .find(|(name, _)| name == "server_version");
        if let Some((_, version)) = version {
            // The version that the first connection reported is kept.
            let _ = self.shared.server_version.set(version.clone());
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<BackendConnection>> {
        self.shared.idle.lock().expect("no panic while held")
    }
}

/// A connection in use by one session.
///
/// # Invariant
///
/// The connection returns to the pool only by
/// [`PooledConnection::return_to_pool`], which is called after a ReadyForQuery in
/// idle state. If dropped without that call, the
/// connection is closed, so that no state of one session reaches the next.
pub struct PooledConnection {
    connection: Option<BackendConnection>,
    pool: Pool,
    _permit: OwnedSemaphorePermit,
}

impl PooledConnection {
    /// Returns the connection to its pool, or closes it if the pool is full because
    /// the limit has been lowered.
    pub fn return_to_pool(mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let mut idle = self.pool.idle();
        if idle.len() < self.pool.limit() {
            idle.push(connection);
        }
    }
}

impl Deref for PooledConnection {
    type Target = BackendConnection;

    fn deref(&self) -> &BackendConnection {
        self.connection.as_ref().expect("present until returned")
    }
}

impl DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut BackendConnection {
        self.connection.as_mut().expect("present until returned")
    }
}
