//! A session's last activity, and when a shutdown may close the session after it.

use std::time::{Duration, Instant};

/// How long a session stays open after a statement that usually precedes an operation.
const FOLLOW_UP_TIME: Duration = Duration::from_millis(400);
/// How long a session stays open that has had no request yet.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(1_000);

/// The last activity of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// The caller opened the session.
    Opened(Instant),
    /// The caller sent a statement that prepares an operation.
    Preparing(Instant),
    /// An operation was answered.
    OperationDone,
}

impl Activity {
    /// From when on the session may be closed between requests; `None` if at any time.
    pub(super) fn may_close_at(self) -> Option<Instant> {
        match self {
            Self::Opened(at) => Some(at + FIRST_REQUEST_TIME),
            Self::Preparing(at) => Some(at + FOLLOW_UP_TIME),
            Self::OperationDone => None,
        }
    }
}
