//! Whether the process at another node's address still runs.
//!
//! A machine whose process has ended refuses connections. A machine without power or
//! behind a network cut, or a paused process, does not answer. Only a refusal proves
//! that no process runs there.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::cluster_state::lock;

/// How long a node has to accept a connection: seven round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a result counts: a process that has ended is restarted after a second at the
/// earliest.
const RESULT_LIFETIME: Duration = Duration::from_millis(700);

/// State of a process as found by connecting to its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessState {
    /// The process accepts connections.
    Reached,
    /// The machine refuses connections: the process has ended.
    Ended,
    /// No answer: the process may run.
    Silent,
}

/// Tries to connect to a node within [`CONNECT_TIMEOUT`].
pub(crate) async fn probe(address: SocketAddr) -> ProcessState {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProcessState::Reached,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => ProcessState::Ended,
        Ok(Err(_)) | Err(_) => ProcessState::Silent,
    }
}

#[derive(Clone, Copy, Debug)]
struct ProbeResult {
    probed_at: Instant,
    /// State that was found; `None` while the first probe is under way.
    state: Option<ProcessState>,
}

/// Last known states of the processes at nodes that did not answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Liveness(Arc<Mutex<HashMap<SocketAddr, ProbeResult>>>);

impl Liveness {
    /// Returns the last known state of a node's process, `None` if there is none yet.
    /// Starts a new probe if the last result is too old, without waiting for it.
    pub fn last_state(&self, address: SocketAddr) -> Option<ProcessState> {
        let probed_at = Instant::now();
        let mut results = lock(&self.0);
        let known = results.get(&address).copied();
        let state = known.and_then(|known| known.state);
        if known.is_none_or(|known| probed_at >= known.probed_at + RESULT_LIFETIME) {
            results.insert(address, ProbeResult { probed_at, state });
            tokio::spawn(self.clone().probe(address));
        }
        state
    }

    async fn probe(self, address: SocketAddr) {
        let state = Some(probe(address).await);
        let probed_at = Instant::now();
        lock(&self.0).insert(address, ProbeResult { probed_at, state });
    }
}
