//! The feed from nodes that read the store to those that follow them: a
//! stream of messages, each framed by its length.

mod follower;
pub(crate) mod frames;
pub(crate) mod framing;
mod reader;
mod told;

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

/// How long a node that has opened a stream may take to say what for.
const OPENING_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before listening is tried again.
const LISTEN_PAUSE: Duration = Duration::from_millis(300);

/// Takes streams of other nodes. Runs until the process ends.
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

/// Listens where followers find this node: under the address by which peers are
/// asked.
async fn peer_listener<P: Platform>(gateway: &Gateway<P>) -> Option<TcpListener> {
    if let Some(listener) = gateway.peers.take_listener() {
        return Some(listener);
    }
    TcpListener::bind(gateway.peers.address()?).await.ok()
}

/// Serves what another node opens a stream for.
async fn serve_stream<P: Platform>(gateway: Arc<Gateway<P>>, mut stream: TcpStream) {
    let Some(key) = gateway.fleet.key() else {
        return;
    };
    // A socket that refuses it still works, only later.
    let _ = stream.set_nodelay(true);
    let opening = timeout(OPENING_TIMEOUT, read_message(&mut stream, &key)).await;
    match opening {
        Ok(Ok(FeedMessage::Subscribe)) => reader::serve(&gateway, stream, &key).await,
        Ok(Ok(FeedMessage::Relay(id))) => relay::serve(&gateway, stream, &id, &key).await,
        Ok(Ok(FeedMessage::Forward)) => forward::serve(&gateway, stream, &key).await,
        // Whoever opened it finds it closed.
        _ => {}
    }
}
