//! Whether the process at another node's address still runs.
//!
//! A machine whose process has ended refuses connections; one without power, behind a cut or
//! paused says nothing. Only a refusal proves that nothing runs there.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::beliefs::lock;

/// How long a node has to take a connection: seven times the way between regions and back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long what was found counts: a process that has ended is started again after a second
/// at the least.
const RESULT_LIFETIME: Duration = Duration::from_millis(700);

/// What a try to connect to a node found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessState {
    /// It takes connections.
    Reached,
    /// Its machine refuses them: the process has ended.
    Ended,
    /// Nothing came back: it may run.
    Silent,
}

/// Tries to connect to a node.
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
    /// What was found; `None` while the first look is under way.
    state: Option<ProcessState>,
}

/// What was found of nodes that gave no answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Liveness(Arc<Mutex<HashMap<SocketAddr, ProbeResult>>>);

impl Liveness {
    /// What was found of a node last; `None` if nothing yet. Looks for the next time, and
    /// never waits.
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
