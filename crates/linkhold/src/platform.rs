//! Client of the platform's table service and machine list.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, Response, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Time after which a request to the platform fails.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a request to the platform failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No usable answer arrived; an edit may or may not have taken effect.
    #[error("the platform did not answer: {0}")]
    NoAnswer(String),
    /// The expected version is no longer the newest.
    #[error("the table has a newer version than expected")]
    Conflict,
    /// The version does not exist.
    #[error("the version does not exist")]
    NotFound,
}

/// A stored version of the table.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct TableVersion {
    /// Version; 0 is the empty table before the first edit.
    pub version: u64,
    /// Identity of the edit that made it.
    pub edit_id: String,
    /// Author of the edit.
    pub author: String,
    /// CSV text.
    pub body: String,
}

/// An edit to be stored.
#[derive(Clone, Debug, Serialize)]
pub struct TableEdit {
    /// Version the edit was made from.
    pub expected_version: u64,
    /// Identity, by which an edit whose answer was lost is found in the history.
    pub edit_id: String,
    /// Author of the edit.
    pub author: String,
    /// CSV text.
    pub body: String,
}

/// A version in the table's history.
#[derive(Clone, Debug, Deserialize)]
pub struct HistoryEntry {
    /// Version.
    pub version: u64,
    /// Identity of the edit.
    pub edit_id: String,
    /// Author of the edit.
    pub author: String,
}

/// State of a machine in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

/// A machine in the platform's list.
#[derive(Clone, Debug, Deserialize)]
pub struct Machine {
    /// Address of the service on the machine.
    pub address: SocketAddr,
    /// State of the machine.
    pub state: MachineState,
    /// Peer address, if a node runs on the machine.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
}

/// Client of one table of the table service, and of the machine list.
#[derive(Clone)]
pub struct PlatformClient {
    client: Client,
    table_url: String,
    machines_url: String,
}

impl PlatformClient {
    /// A client for table `name` at the platform's base URL.
    pub fn new(base_url: &str, name: &str) -> Self {
        let client = Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .no_proxy()
            .build()
            .expect("a client without TLS can always be built");
        let base_url = base_url.trim_end_matches('/');
        Self {
            client,
            table_url: format!("{base_url}/tables/{name}"),
            machines_url: format!("{base_url}/machines"),
        }
    }

    /// Reads the newest version.
    pub async fn read(&self) -> Result<TableVersion, PlatformError> {
        let response = self.client.get(&self.table_url).send().await;
        decode(checked(response)?).await
    }

    /// Reads the newest version if it is newer than `known`; otherwise returns
    /// `None` at very low cost, because the answer has no body.
    pub async fn read_newer(&self, known: u64) -> Result<Option<TableVersion>, PlatformError> {
        let request = self
            .client
            .get(&self.table_url)
            .query(&[("newer_than", known)]);
        let response = checked(request.send().await)?;
        if response.status() == StatusCode::NO_CONTENT {
            return Ok(None);
        }
        decode(response).await.map(Some)
    }

    /// Reads a given version.
    pub async fn read_version(&self, version: u64) -> Result<TableVersion, PlatformError> {
        let request = self
            .client
            .get(&self.table_url)
            .query(&[("version", version)]);
        decode(checked(request.send().await)?).await
    }

    /// Lists all versions.
    pub async fn history(&self) -> Result<Vec<HistoryEntry>, PlatformError> {
        let url = format!("{}/history", self.table_url);
        decode(checked(self.client.get(url).send().await)?).await
    }

    /// Lists the platform's machines. The list lags and is only a hint.
    pub async fn machines(&self) -> Result<Vec<Machine>, PlatformError> {
        decode(checked(self.client.get(&self.machines_url).send().await)?).await
    }

    /// Stores an edit if its expected version is still the newest; otherwise fails
    /// with [`PlatformError::Conflict`].
    pub async fn edit(&self, edit: &TableEdit) -> Result<TableVersion, PlatformError> {
        let request = self.client.put(&self.table_url).json(edit);
        decode(checked(request.send().await)?).await
    }
}

fn checked(response: reqwest::Result<Response>) -> Result<Response, PlatformError> {
    let response = response.map_err(|error| PlatformError::NoAnswer(error.to_string()))?;
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::CONFLICT => Err(PlatformError::Conflict),
        StatusCode::NOT_FOUND => Err(PlatformError::NotFound),
        status => Err(PlatformError::NoAnswer(status.to_string())),
    }
}

async fn decode<T: serde::de::DeserializeOwned>(response: Response) -> Result<T, PlatformError> {
    response
        .json()
        .await
        .map_err(|error| PlatformError::NoAnswer(error.to_string()))
}
