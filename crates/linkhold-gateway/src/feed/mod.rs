//! The feed from readers of the store to their followers: a stream of messages, each
//! framed by its length.

mod follower;
pub(crate) mod frames;
pub(crate) mod framing;
mod pending;
mod reader;

use std::sync::Arc;
use std::time::Duration;

use linkhold_peer::FeedMessage;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::forward;
use crate::gateway::Gateway;
use crate::ports::Platform;
use crate::relay;

use framing::read_message;

pub(crate) use follower::{StaleLimit, follow};

/// How long a node that opened a stream may take to send its first message.
const OPENING_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before listening is tried again.
const LISTEN_PAUSE: Duration = Duration::from_millis(300);

/// Accepts streams from other nodes. Runs until the process ends.
pub(crate) async fn serve_peers<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        if let Some(listener) = peer_listener(&gateway).await {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_stream(gateway.clone(), stream));
            }
        }
        sleep(LISTEN_PAUSE).await;
    }
}

/// Returns a listener at the address at which other nodes ask this one; `None` if it cannot
/// be bound.
async fn peer_listener<P: Platform>(gateway: &Gateway<P>) -> Option<TcpListener> {
    if let Some(listener) = gateway.peers.take_listener() {
        return Some(listener);
    }
    TcpListener::bind(gateway.peers.address()?).await.ok()
}

/// Serves a stream according to its first message.
async fn serve_stream<P: Platform>(gateway: Arc<Gateway<P>>, mut stream: TcpStream) {
    let Some(key) = gateway.fleet.key() else {
        return;
    };
    // Without the option the socket still works, with a higher latency.
    let _ = stream.set_nodelay(true);
    let opening = timeout(OPENING_TIMEOUT, read_message(&mut stream, &key)).await;
    match opening {
        Ok(Ok(FeedMessage::Subscribe)) => reader::serve(&gateway, stream, &key).await,
        Ok(Ok(FeedMessage::RelayRequest(id))) => relay::serve(&gateway, stream, &id, &key).await,
        Ok(Ok(FeedMessage::Forward)) => forward::serve(&gateway, stream, &key).await,
        // The other node finds the stream closed.
        _ => {}
    }
}
