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

use crate::cluster_state::lock;

/// How long a node has to take a connection: seven times the way between regions and back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long what was found counts: a process that has ended is started again after a second
/// at the least.
const FINDING_LIFE: Duration = Duration::from_millis(700);

/// What a try to connect to a node found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Life {
    /// It takes connections.
    Reached,
    /// Its machine refuses them: the process has ended.
    Ended,
    /// Nothing came back: it may run.
    Silent,
}

/// Tries to connect to a node.
pub(crate) async fn look(address: SocketAddr) -> Life {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Life::Reached,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Life::Ended,
        Ok(Err(_)) | Err(_) => Life::Silent,
    }
}

#[derive(Clone, Copy, Debug)]
struct Finding {
    looked_at: Instant,
    /// What was found; `None` while the first look is under way.
    life: Option<Life>,
}

/// What was found of nodes that gave no answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Liveness(Arc<Mutex<HashMap<SocketAddr, Finding>>>);

impl Liveness {
    /// What was found of a node last; `None` if nothing yet. Looks for the next time, and
    /// never waits.
    pub fn of(&self, address: SocketAddr) -> Option<Life> {
        let looked_at = Instant::now();
        let mut findings = lock(&self.0);
        let known = findings.get(&address).copied();
        let life = known.and_then(|known| known.life);
        if known.is_none_or(|known| looked_at >= known.looked_at + FINDING_LIFE) {
            findings.insert(address, Finding { looked_at, life });
            tokio::spawn(self.clone().look(address));
        }
        life
    }

    async fn look(self, address: SocketAddr) {
        let life = Some(look(address).await);
        let looked_at = Instant::now();
        lock(&self.0).insert(address, Finding { looked_at, life });
    }
}
