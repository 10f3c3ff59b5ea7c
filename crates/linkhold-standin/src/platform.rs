//! The platform: a transactional table service, an object store and a machine
//! list, over HTTP.
//!
//! | request | meaning |
//! |---|---|
//! | `GET /tables/{name}` | the newest [`TableVersion`], or version N with `?version=N` |
//! | `GET /tables/{name}?newer_than=N` | the newest version, or 204 if it is not newer than N |
//! | `PUT /tables/{name}` | compare-and-set with a [`TableEdit`]; 409 if the version is outdated |
//! | `GET /tables/{name}/history` | all versions without bodies |
//! | `GET`, `PUT /objects/{key}` | an object's bytes |
//! | `GET /machines` | the machine list |
//!
//! An edit with the ID of a stored edit changes nothing; its answer is the
//! version that the stored edit made.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::Json;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A stored version of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableVersion {
    /// Version, from 1; 0 is the empty table before the first edit.
    pub version: u64,
    /// ID of the edit that made this version.
    pub edit_id: String,
    /// Author of the edit.
    pub author: String,
    /// CSV text.
    pub body: String,
}

/// An edit: the new body and the version that it is based on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TableEdit {
    /// The version that must still be the newest.
    pub expected_version: u64,
    /// ID chosen by the editor, to find out the outcome if the answer is lost.
    pub edit_id: String,
    /// Author of the edit.
    pub author: String,
    /// CSV text.
    pub body: String,
}

/// A version in the history of a table.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version.
    pub version: u64,
    /// ID of the edit that made this version.
    pub edit_id: String,
    /// Author of the edit.
    pub author: String,
}

/// A machine in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// IP address and port of the service on the machine.
    pub address: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// Faults of the platform.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFaults {
    /// Answers every request with 503.
    pub down: bool,
    /// Delay before each answer.
    pub delay: Duration,
    /// Number of edits that take effect and whose answers are then lost.
    pub lose_edit_answers: u32,
}

#[derive(Default)]
struct Store {
    tables: HashMap<String, Vec<TableVersion>>,
    objects: HashMap<String, Vec<u8>>,
    machines: Vec<Machine>,
    faults: PlatformFaults,
    requests: u64,
}

type Shared = Arc<Mutex<Store>>;

/// A running platform. Dropping it stops the server.
pub struct Platform {
    address: SocketAddr,
    store: Shared,
    server: JoinHandle<()>,
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.server.abort();
    }
}

impl Platform {
    /// Starts the platform on a loopback port; 0 means a free one.
    pub async fn start(port: u16) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", port)).await?;
        let address = listener.local_addr()?;
        let store = Shared::default();
        let router = axum::Router::new()
            .route("/tables/{name}", get(read_table).put(edit_table))
            .route("/tables/{name}/history", get(read_history))
            .route("/objects/{key}", get(read_object).put(write_object))
            .route("/machines", get(read_machines))
            .with_state(store.clone());
        let server = tokio::spawn(async move {
            // Fails only if the listener fails, which every caller notices.
            let _ = axum::serve(listener, router).await;
        });
        Ok(Self {
            address,
            store,
            server,
        })
    }

    /// Returns the address at which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        lock(&self.store).faults = faults;
    }

    /// Sets the machine list.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        lock(&self.store).machines = machines;
    }

    /// Returns the number of requests received, failed ones included.
    pub fn requests(&self) -> u64 {
        lock(&self.store).requests
    }
}

fn lock(store: &Shared) -> MutexGuard<'_, Store> {
    store.lock().expect("no panic while held")
}

/// Counts a request and applies the delay and outage faults; `Err` is the answer
/// during an outage.
async fn begin_request(store: &Shared) -> Result<(), Response> {
    let faults = {
        let mut store = lock(store);
        store.requests += 1;
        store.faults
    };
    tokio::time::sleep(faults.delay).await;
    if faults.down {
        return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
    }
    Ok(())
}

fn empty_version() -> TableVersion {
    TableVersion {
        version: 0,
        edit_id: String::new(),
        author: String::new(),
        body: String::new(),
    }
}

#[derive(Deserialize)]
struct VersionQuery {
    version: Option<u64>,
    newer_than: Option<u64>,
}

async fn read_table(
    State(store): State<Shared>,
    Path(name): Path<String>,
    Query(query): Query<VersionQuery>,
) -> Result<Response, Response> {
    begin_request(&store).await?;
    let store = lock(&store);
    let versions = store.tables.get(&name);
    let found = match query.version {
        Some(0) => Some(empty_version()),
        Some(version) => versions
            .and_then(|versions| versions.iter().find(|stored| stored.version == version))
            .cloned(),
        None => Some(
            versions
                .and_then(|versions| versions.last())
                .cloned()
                .unwrap_or_else(empty_version),
        ),
    };
    let is_known = |stored: &TableVersion| {
        query
            .newer_than
            .is_some_and(|known| stored.version <= known)
    };
    match found {
        Some(version) if is_known(&version) => Ok(StatusCode::NO_CONTENT.into_response()),
        Some(version) => Ok(Json(version).into_response()),
        None => Err(StatusCode::NOT_FOUND.into_response()),
    }
}

async fn edit_table(
    State(store): State<Shared>,
    Path(name): Path<String>,
    Json(edit): Json<TableEdit>,
) -> Result<Response, Response> {
    begin_request(&store).await?;
    let mut store = lock(&store);
    let versions = store.tables.entry(name).or_default();
    if let Some(stored) = versions
        .iter()
        .find(|stored| stored.edit_id == edit.edit_id)
    {
        return Ok(Json(stored.clone()).into_response());
    }
    let newest = versions.last().map_or(0, |stored| stored.version);
    if newest != edit.expected_version {
        return Err(StatusCode::CONFLICT.into_response());
    }
    let stored = TableVersion {
        version: newest + 1,
        edit_id: edit.edit_id,
        author: edit.author,
        body: edit.body,
    };
    versions.push(stored.clone());
    if store.faults.lose_edit_answers > 0 {
        store.faults.lose_edit_answers -= 1;
        return Err(StatusCode::GATEWAY_TIMEOUT.into_response());
    }
    Ok(Json(stored).into_response())
}

async fn read_history(
    State(store): State<Shared>,
    Path(name): Path<String>,
) -> Result<Response, Response> {
    begin_request(&store).await?;
    let store = lock(&store);
    let history: Vec<HistoryEntry> = store
        .tables
        .get(&name)
        .into_iter()
        .flatten()
        .map(|stored| HistoryEntry {
            version: stored.version,
            edit_id: stored.edit_id.clone(),
            author: stored.author.clone(),
        })
        .collect();
    Ok(Json(history).into_response())
}

async fn read_object(
    State(store): State<Shared>,
    Path(key): Path<String>,
) -> Result<Response, Response> {
    begin_request(&store).await?;
    match lock(&store).objects.get(&key) {
        Some(bytes) => Ok(bytes.clone().into_response()),
        None => Err(StatusCode::NOT_FOUND.into_response()),
    }
}

async fn write_object(
    State(store): State<Shared>,
    Path(key): Path<String>,
    body: axum::body::Bytes,
) -> Result<Response, Response> {
    begin_request(&store).await?;
    lock(&store).objects.insert(key, body.to_vec());
    Ok(StatusCode::NO_CONTENT.into_response())
}

async fn read_machines(State(store): State<Shared>) -> Result<Response, Response> {
    begin_request(&store).await?;
    Ok(Json(lock(&store).machines.clone()).into_response())
}
