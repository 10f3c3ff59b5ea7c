//! A TCP relay that delays, stalls, drops or cuts its traffic.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks in flight per direction of a connection.
const IN_FLIGHT_CHUNKS: usize = 64;

/// State of the link that the relay simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// Forwards all traffic.
    #[default]
    Open,
    /// Closes every connection, new ones too.
    Cut,
    /// Keeps connections open and forwards nothing.
    BlackHole,
    /// Forwards requests and drops answers.
    LoseAnswers,
}

/// Behaviour of a relay; can change while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayState {
    /// State of the link.
    pub link: Link,
    /// Delay of each byte in each direction.
    pub one_way_delay: Duration,
    /// Number of permanent silences so far; connections opened before the last one
    /// forward nothing any more.
    pub permanent_silences: u64,
}

/// A running relay. Dropping it stops it.
pub struct Relay {
    address: SocketAddr,
    state: watch::Sender<RelayState>,
    task: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Relay {
    /// Starts a relay to `target` on a free loopback port.
    pub async fn start(target: SocketAddr, state: RelayState) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (sender, receiver) = watch::channel(state);
        let task = tokio::spawn(accept(listener, target, receiver));
        Ok(Self {
            address,
            state: sender,
            task,
        })
    }

    /// Returns the address at which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the state of the link.
    pub fn set_link(&self, link: Link) {
        self.state.send_modify(|state| state.link = link);
    }

    /// Stops forwarding on all open connections for good, without a reset. New
    /// connections work.
    pub fn silence_open_connections(&self) {
        self.state
            .send_modify(|state| state.permanent_silences += 1);
    }

    /// Changes the delay of each byte in each direction.
    pub fn set_delay(&self, one_way_delay: Duration) {
        self.state
            .send_modify(|state| state.one_way_delay = one_way_delay);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Receiver<RelayState>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        if state.borrow().link == Link::Cut {
            continue;
        }
        connections.spawn(relay_connection(client, target, state.clone()));
    }
}

async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<RelayState>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let requests = forward(
        client_reader,
        server_writer,
        state.clone(),
        Direction::Request,
    );
    let answers = forward(
        server_reader,
        client_writer,
        state.clone(),
        Direction::Answer,
    );
    let cut = state.wait_for(|state| state.link == Link::Cut);
    tokio::select! {
        () = requests => {}
        () = answers => {}
        _ = cut => {}
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// Forwards bytes, each after the delay that was set when it arrived.
async fn forward(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut state: watch::Receiver<RelayState>,
    direction: Direction,
) {
    let mut in_flight: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let mut ended = false;
    let silences_before = state.borrow().permanent_silences;
    loop {
        let current = *state.borrow_and_update();
        let is_silent = current.permanent_silences > silences_before;
        let stalled = is_silent || current.link == Link::BlackHole;
        let due = in_flight.front().map(|(due, _)| *due);
        if due.is_none() && ended {
            return;
        }
        let may_read = !ended && in_flight.len() < IN_FLIGHT_CHUNKS;
        let mut chunk = vec![0; if may_read { CHUNK_BYTES } else { 0 }];
        tokio::select! {
            biased;
            changed = state.changed() => if changed.is_err() { return },
            () = sleep_until(due), if due.is_some() && !stalled => {
                let Some((_, bytes)) = in_flight.pop_front() else { continue };
                let dropped = direction == Direction::Answer && current.link == Link::LoseAnswers;
                if !dropped && writer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            count = reader.read(&mut chunk), if may_read => match count {
                Ok(0) | Err(_) => ended = true,
                Ok(count) => {
                    chunk.truncate(count);
                    in_flight.push_back((Instant::now() + current.one_way_delay, chunk));
                }
            },
        }
    }
}

async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => std::future::pending().await,
    }
}
