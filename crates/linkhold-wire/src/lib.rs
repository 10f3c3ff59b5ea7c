//! PostgreSQL protocol 3.0 framing, shared by the proxy and the stand-ins.
//!
//! Messages that are built or fully decoded use pgwire's types. Forwarded
//! messages stay raw frames ([`Frame`]), with checked views of the few fields
//! that routing needs ([`frontend`]).
//!
//! Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol",
//! section "Message Formats".

mod frame;
pub mod frontend;
pub mod reply;

pub use frame::{Frame, FrameReader, MAX_FRAME_LENGTH, WireError};

/// Type byte of each message, by direction and name.
pub mod kind {
    /// Frontend: simple query.
    pub const QUERY: u8 = b'Q';
    /// Frontend: parse.
    pub const PARSE: u8 = b'P';
    /// Frontend: bind.
    pub const BIND: u8 = b'B';
    /// Frontend: describe.
    pub const DESCRIBE: u8 = b'D';
    /// Frontend: execute.
    pub const EXECUTE: u8 = b'E';
    /// Frontend: close.
    pub const CLOSE: u8 = b'C';
    /// Frontend: flush.
    pub const FLUSH: u8 = b'H';
    /// Frontend: sync.
    pub const SYNC: u8 = b'S';
    /// Frontend: terminate.
    pub const TERMINATE: u8 = b'X';
    /// Frontend and backend: copy data.
    pub const COPY_DATA: u8 = b'd';
    /// Frontend and backend: end of copy.
    pub const COPY_DONE: u8 = b'c';
    /// Frontend: copy failed.
    pub const COPY_FAIL: u8 = b'f';

    /// Backend: authentication.
    pub const AUTHENTICATION: u8 = b'R';
    /// Backend: parameter status.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// Backend: key data for cancel requests.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// Backend: ready for query.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// Backend: row description.
    pub const ROW_DESCRIPTION: u8 = b'T';
    /// Backend: data row.
    pub const DATA_ROW: u8 = b'D';
    /// Backend: command complete.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// Backend: error.
    pub const ERROR_RESPONSE: u8 = b'E';
    /// Backend: notice.
    pub const NOTICE_RESPONSE: u8 = b'N';
    /// Backend: notification.
    pub const NOTIFICATION_RESPONSE: u8 = b'A';
    /// Backend: parse complete.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// Backend: bind complete.
    pub const BIND_COMPLETE: u8 = b'2';
    /// Backend: close complete.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// Backend: start of copy in, copy out and copy both.
    pub const COPY_RESPONSES: [u8; 3] = [b'G', b'H', b'W'];
}
