//! Connections to back ends and their pools.

mod connection;
mod pool;

pub use connection::{
    BackendConnection, BackendError, CancelKey, MAX_PREPARED, QueryResult, SessionSettings,
};
pub use pool::{Pool, PooledConnection};
