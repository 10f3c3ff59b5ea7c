//! Raw frames: a type byte, a length and a body.

use bytes::{Buf, Bytes, BytesMut};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Longest frame passed through, in bytes. Bounds the memory one message can
/// take in a node.
pub const MAX_FRAME_LENGTH: usize = 16 * 1024 * 1024;

const HEADER_LENGTH: usize = 5;
/// Room made for a read at first; enough for small statements.
const SMALLEST_CHUNK: usize = 1024;
/// Room made once reads fill what they were given.
const LARGEST_CHUNK: usize = 16 * 1024;

/// What can go wrong on a connection.
#[derive(Debug, Error)]
pub enum WireError {
    /// The socket failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The peer closed the connection in the middle of a message.
    #[error("connection closed in the middle of a message")]
    Truncated,
    /// The length field is impossible or beyond [`MAX_FRAME_LENGTH`].
    #[error("message length {0} is not allowed")]
    Length(usize),
    /// The body does not match the message's format.
    #[error("malformed {0} message")]
    Malformed(&'static str),
}

/// One message as it came over the wire, header included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame(Bytes);

impl Frame {
    /// Encodes a message of pgwire's.
    pub fn encode(message: &impl Message) -> Self {
        let mut buffer = BytesMut::new();
        put(&mut buffer, message);
        Self(buffer.freeze())
    }

    /// The type byte.
    pub fn kind(&self) -> u8 {
        self.0[0]
    }

    /// The body, without type byte and length.
    pub fn body(&self) -> Bytes {
        self.0.slice(HEADER_LENGTH..)
    }

    /// The whole message.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }

    /// Decodes the frame as one of pgwire's messages.
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
        .expect("a message built here keeps within its length limit");
}

/// Splits a byte stream into frames. Holds no memory while idle and empty.
#[derive(Debug)]
pub struct FrameReader {
    buffer: BytesMut,
    chunk: usize,
}

impl Default for FrameReader {
    fn default() -> Self {
        Self {
            buffer: BytesMut::new(),
            chunk: SMALLEST_CHUNK,
        }
    }
}

impl FrameReader {
    /// Takes the next frame out of what has been read already.
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

    /// Next frame, or `None` when the peer closed between messages.
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
                self.chunk = LARGEST_CHUNK;
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

    /// Uses up what is allocated before it allocates again: frames taken out
    /// keep the memory they came in.
    fn make_room(&mut self) {
        let room = self.buffer.capacity() - self.buffer.len();
        if room < SMALLEST_CHUNK / 2 {
            self.buffer.reserve(self.chunk);
        }
    }

    /// Whether nothing is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Gives the buffer's memory back if nothing is in it.
    pub fn release_memory(&mut self) {
        if self.buffer.is_empty() {
            *self = Self::default();
        }
    }

    /// Buffer for the untyped first messages of a connection.
    pub fn raw(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }
}
