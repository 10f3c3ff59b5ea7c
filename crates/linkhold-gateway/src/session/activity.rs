//! What a session's caller did last, and when that lets a stop close it.

use std::time::{Duration, Instant};

/// How long a session is left open after its caller did something that is
/// usually followed by a request.
const SETTLE_TIME: Duration = Duration::from_millis(400);
/// The same for a session in which nothing was asked yet.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(1_000);

/// What the caller did last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// It opened the session.
    Opened(Instant),
    /// It asked for something that prepares an operation.
    Preparing(Instant),
    /// An operation was answered.
    OperationDone,
}

impl Activity {
    /// From when on the session may be closed between requests.
    pub(super) fn may_close_at(self) -> Option<Instant> {
        match self {
            Self::Opened(at) => Some(at + FIRST_REQUEST_TIME),
            Self::Preparing(at) => Some(at + SETTLE_TIME),
            Self::OperationDone => None,
        }
    }
}
