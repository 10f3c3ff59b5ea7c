//! The feed from nodes that read the store to those that follow them: a
//! stream of messages, each framed by its length.

mod follower;
mod frames;
mod reader;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use linkhold_peer::{FeedMessage, MAX_FEED_MESSAGE, PeerKey, decode_feed, encode_feed};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::forward;
use crate::gateway::Gateway;
use crate::ports::Platform;
use crate::relay;

pub(crate) use follower::{Patience, follow};
pub(crate) use frames::FeedFrames;

/// How long a node that has opened a stream may take to say what for.
const OPENING_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a follower may take to take a message.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause before listening is tried again.
const LISTEN_PAUSE: Duration = Duration::from_millis(300);

pub(crate) async fn write_message<S: AsyncWrite + Unpin>(
    stream: &mut S,
    message: &FeedMessage,
    key: &PeerKey,
) -> io::Result<()> {
    write_frame(stream, &frame(message, key)).await
}

/// A message as it goes on a stream.
fn frame(message: &FeedMessage, key: &PeerKey) -> Arc<[u8]> {
    framed(&encode_feed(message, key)).into()
}

/// An encoded message behind its length.
pub(crate) fn framed(body: &[u8]) -> Vec<u8> {
    // Longer than any message: the other side refuses it.
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(body);
    frame
}

async fn write_frame<S: AsyncWrite + Unpin>(stream: &mut S, frame: &[u8]) -> io::Result<()> {
    timeout(WRITE_TIMEOUT, stream.write_all(frame))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

pub(crate) async fn read_message<S: AsyncRead + Unpin>(
    stream: &mut S,
    key: &PeerKey,
) -> io::Result<FeedMessage> {
    let body = read_body(stream, MAX_FEED_MESSAGE).await?;
    decode_feed(&body, key).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

/// Reads the length of a message of at most `most` bytes.
pub(crate) async fn read_length<S: AsyncRead + Unpin>(
    stream: &mut S,
    most: usize,
) -> io::Result<usize> {
    let length = stream.read_u32().await? as usize;
    if length > most {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(length)
}

/// Reads a message of at most `most` bytes as it is on the stream, without its
/// length.
pub(crate) async fn read_body<S: AsyncRead + Unpin>(
    stream: &mut S,
    most: usize,
) -> io::Result<Vec<u8>> {
    let length = read_length(stream, most).await?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(body)
}

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
