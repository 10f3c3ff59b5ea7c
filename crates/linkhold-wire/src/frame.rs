//! Raw protocol frames: a type byte, a length and a body.

use bytes::{Buf, Bytes, BytesMut};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum value of a frame's length field, in bytes. Bounds the memory that one
/// message can take in a node.
pub const MAX_FRAME_LENGTH: usize = 16 * 1024 * 1024;

const HEADER_LENGTH: usize = 5;
/// Initial buffer space for a read, in bytes; enough for small statements.
const MIN_READ_CHUNK: usize = 1024;
/// Buffer space for a read once a read has filled its buffer, in bytes.
const MAX_READ_CHUNK: usize = 16 * 1024;

/// Errors of a connection.
#[derive(Debug, Error)]
pub enum WireError {
    /// The socket failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The peer closed the connection in the middle of a message.
    #[error("connection closed in the middle of a message")]
    Truncated,
    /// The length field is below 4, the minimum, or above [`MAX_FRAME_LENGTH`].
    #[error("message length {0} is not allowed")]
    Length(usize),
    /// The body does not match the message's format.
    #[error("malformed {0} message")]
    Malformed(&'static str),
}

/// One message as received, header included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame(Bytes);

impl Frame {
    /// Encodes a pgwire message.
    pub fn encode(message: &impl Message) -> Self {
        let mut buffer = BytesMut::new();
        put(&mut buffer, message);
        Self(buffer.freeze())
    }

    /// Returns the type byte.
    pub fn kind(&self) -> u8 {
        self.0[0]
    }

    /// Returns the body, without type byte and length.
    pub fn body(&self) -> Bytes {
        self.0.slice(HEADER_LENGTH..)
    }

    /// Returns the whole message, header included.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }

    /// Decodes the frame as a pgwire message. `name` is the message name in errors.
    pub fn decode<M: Message>(&self, name: &'static str) -> Result<M, WireError> {
        let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        let mut buffer = BytesMut::from(&self.0[..]);
        match M::decode(&mut buffer, &context) {
            Ok(Some(message)) => Ok(message),
            Ok(None) | Err(_) => Err(WireError::Malformed(name)),
        }
    }
}

/// Appends an encoded message to a buffer.
pub(crate) fn put(buffer: &mut BytesMut, message: &impl Message) {
    message
        .encode(buffer)
        .expect("encoded messages stay within the length limit");
}

/// Splits a byte stream into frames. An empty reader holds no memory after
/// [`FrameReader::release_memory`].
#[derive(Debug)]
pub struct FrameReader {
    buffer: BytesMut,
    chunk: usize,
}

impl Default for FrameReader {
    fn default() -> Self {
        Self {
            buffer: BytesMut::new(),
            chunk: MIN_READ_CHUNK,
        }
    }
}

impl FrameReader {
    /// Takes the next frame from the buffered bytes; `None` if it is incomplete.
    pub fn buffered(&mut self) -> Result<Option<Frame>, WireError> {
        if self.buffer.len() < HEADER_LENGTH {
            return Ok(None);
        }
        let length = (&self.buffer[1..HEADER_LENGTH]).get_u32() as usize;
        if !(4..=MAX_FRAME_LENGTH).contains(&length) {
            return Err(WireError::Length(length));
        }
        let total = length + 1;
        if self.buffer.len() < total {
            return Ok(None);
        }
        Ok(Some(Frame(self.buffer.split_to(total).freeze())))
    }

    /// Reads the next frame; `None` if the peer closed the connection between
    /// messages.
    ///
    /// Cancel safe: bytes read so far stay in the buffer.
    pub async fn next(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> Result<Option<Frame>, WireError> {
        loop {
            if let Some(frame) = self.buffered()? {
                return Ok(Some(frame));
            }
            self.make_room();
            let room = self.buffer.capacity() - self.buffer.len();
            let count = stream.read_buf(&mut self.buffer).await?;
            if count == room {
                self.chunk = MAX_READ_CHUNK;
            }
            if count == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(WireError::Truncated)
                };
            }
        }
    }

    /// Reserves space for a read. Uses up the allocated space first, because
    /// frames share the allocation of the buffer they were split from.
    fn make_room(&mut self) {
        let room = self.buffer.capacity() - self.buffer.len();
        if room < MIN_READ_CHUNK / 2 {
            self.buffer.reserve(self.chunk);
        }
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Frees the buffer's memory if the buffer is empty.
    pub fn release_memory(&mut self) {
        if self.buffer.is_empty() {
            *self = Self::default();
        }
    }

    /// Returns the buffer, for the first messages of a connection, which have no type
    /// byte.
    pub fn raw(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }
}
