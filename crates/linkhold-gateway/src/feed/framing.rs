//! Messages on streams between nodes, each preceded by its length.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use linkhold_peer::{FeedMessage, MAX_FEED_MESSAGE, PeerKey, decode_feed, encode_feed};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// How long the other node may take to accept a message.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Sends a message.
pub(crate) async fn write_message<S: AsyncWrite + Unpin>(
    stream: &mut S,
    message: &FeedMessage,
    key: &PeerKey,
) -> io::Result<()> {
    write_frame(stream, &frame(message, key)).await
}

/// An encoded message with its length, as written on a stream.
pub(super) type Frame = Arc<[u8]>;

/// Encodes a message with its length.
pub(super) fn frame(message: &FeedMessage, key: &PeerKey) -> Frame {
    framed(&encode_feed(message, key)).into()
}

/// Prefixes an encoded message with its length.
pub(crate) fn framed(body: &[u8]) -> Vec<u8> {
    // A length beyond the longest message: the other side refuses it.
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(body);
    frame
}

/// Writes an encoded frame; fails with `TimedOut` after [`WRITE_TIMEOUT`].
pub(super) async fn write_frame<S: AsyncWrite + Unpin>(
    stream: &mut S,
    frame: &[u8],
) -> io::Result<()> {
    timeout(WRITE_TIMEOUT, stream.write_all(frame))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Receives a message.
pub(crate) async fn read_message<S: AsyncRead + Unpin>(
    stream: &mut S,
    key: &PeerKey,
) -> io::Result<FeedMessage> {
    let body = read_body(stream, MAX_FEED_MESSAGE).await?;
    decode_feed(&body, key).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

/// Reads the length of a message of at most `max_length` bytes.
pub(crate) async fn read_length<S: AsyncRead + Unpin>(
    stream: &mut S,
    max_length: usize,
) -> io::Result<usize> {
    let length = stream.read_u32().await? as usize;
    if length > max_length {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Ok(length)
}

/// Reads an encoded message of at most `max_length` bytes, without its length.
pub(crate) async fn read_body<S: AsyncRead + Unpin>(
    stream: &mut S,
    max_length: usize,
) -> io::Result<Vec<u8>> {
    let length = read_length(stream, max_length).await?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(body)
}
