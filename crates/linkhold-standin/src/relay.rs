//! A TCP relay that delays, cuts, stalls or breaks what passes through it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

const CHUNK: usize = 16 * 1024;
/// Bytes that may be under way in one direction of one connection.
const IN_FLIGHT_CHUNKS: usize = 64;

/// What the relay does to traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// Passes everything on.
    #[default]
    Open,
    /// Breaks every connection and accepts none.
    Cut,
    /// Keeps connections open and passes nothing on.
    BlackHole,
    /// Passes requests on and drops answers.
    LoseAnswers,
}

/// Behaviour of a relay; may change while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayState {
    /// What happens to traffic.
    pub link: Link,
    /// Time each byte takes in each direction.
    pub one_way_delay: Duration,
    /// Connections of this count of silences and of earlier ones pass nothing on any
    /// more, for good.
    pub silences: u64,
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what happens to traffic.
    pub fn set_link(&self, link: Link) {
        self.state.send_modify(|state| state.link = link);
    }

    /// Makes all open connections fall silent for good, without a reset. New ones
    /// work.
    pub fn silence_open_connections(&self) {
        self.state.send_modify(|state| state.silences += 1);
    }

    /// Changes how long each byte takes in each direction.
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
    let requests = pump(
        client_reader,
        server_writer,
        state.clone(),
        Direction::Request,
    );
    let answers = pump(
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

/// Passes bytes on, each after the delay in force when it arrived.
async fn pump(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut state: watch::Receiver<RelayState>,
    direction: Direction,
) {
    let mut under_way: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
    let mut ended = false;
    let silences_before = state.borrow().silences;
    loop {
        let current = *state.borrow_and_update();
        let is_silent = current.silences > silences_before;
        let stalled = is_silent || current.link == Link::BlackHole;
        let due = under_way.front().map(|(due, _)| *due);
        if due.is_none() && ended {
            return;
        }
        let may_read = !ended && under_way.len() < IN_FLIGHT_CHUNKS;
        let mut chunk = vec![0; if may_read { CHUNK } else { 0 }];
        tokio::select! {
            biased;
            changed = state.changed() => if changed.is_err() { return },
            () = sleep_until(due), if due.is_some() && !stalled => {
                let Some((_, bytes)) = under_way.pop_front() else { continue };
                let dropped = direction == Direction::Answer && current.link == Link::LoseAnswers;
                if !dropped && writer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            count = reader.read(&mut chunk), if may_read => match count {
                Ok(0) | Err(_) => ended = true,
                Ok(count) => {
                    chunk.truncate(count);
                    under_way.push_back((Instant::now() + current.one_way_delay, chunk));
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
