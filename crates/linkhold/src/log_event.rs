//! Log events: each is one line of key=value pairs.
//!
//! Event names and keys are fixed and listed in `docs/LOGS.md`. Values with other
//! than plain word characters are quoted and escaped, so that a caller's text
//! cannot forge a line or a key.

use std::fmt::{Display, Write};
use std::time::SystemTime;

use linkhold_events::quoted;
use log::Level;
use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Names of all events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventName {
    /// The node accepts connections.
    NodeStarted,
    /// The node announced that it leaves.
    NodeLeaving,
    /// The node has ended all sessions.
    NodeStopped,
    /// A new primary is confirmed, or no primary is confirmed any more.
    PrimaryChanged,
    /// An instance reported a higher term.
    TermChanged,
    /// An instance started or stopped answering.
    InstanceReachable,
    /// A table version is in force.
    TableInForce,
    /// A table was refused.
    TableRefused,
    /// The table store became unreachable or reachable.
    StoreReachable,
    /// The state in a back end's table row changed.
    BackendState,
    /// A back end connection could not be made.
    ConnectFailed,
    /// Number of refusals since the last report, by reason.
    Refusals,
    /// A request's outcome remained unknown.
    UnknownOutcome,
    /// A caller broke the protocol.
    ProtocolViolation,
    /// Request keys past their retention were deleted.
    KeysRemoved,
    /// The platform started or stopped listing a machine as leaving.
    MachineLeaving,
    /// The state of a fleet member changed.
    MemberChanged,
}

impl EventName {
    /// All events, for the documentation's check.
    pub const ALL: [Self; 17] = [
        Self::NodeStarted,
        Self::NodeLeaving,
        Self::NodeStopped,
        Self::PrimaryChanged,
        Self::TermChanged,
        Self::InstanceReachable,
        Self::TableInForce,
        Self::TableRefused,
        Self::StoreReachable,
        Self::BackendState,
        Self::ConnectFailed,
        Self::Refusals,
        Self::UnknownOutcome,
        Self::ProtocolViolation,
        Self::KeysRemoved,
        Self::MachineLeaving,
        Self::MemberChanged,
    ];

    /// The name as logged.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NodeStarted => "node_started",
            Self::NodeLeaving => "node_leaving",
            Self::NodeStopped => "node_stopped",
            Self::PrimaryChanged => "primary_changed",
            Self::TermChanged => "term_changed",
            Self::InstanceReachable => "instance_reachable",
            Self::TableInForce => "table_in_force",
            Self::TableRefused => "table_refused",
            Self::StoreReachable => "store_reachable",
            Self::BackendState => "backend_state",
            Self::ConnectFailed => "connect_failed",
            Self::Refusals => "refusals",
            Self::UnknownOutcome => "unknown_outcome",
            Self::ProtocolViolation => "protocol_violation",
            Self::KeysRemoved => "keys_removed",
            Self::MachineLeaving => "machine_leaving",
            Self::MemberChanged => "member_changed",
        }
    }
}

/// An event under construction.
pub struct Event {
    level: Level,
    line: String,
}

impl Event {
    /// Starts an informational event.
    pub fn info(name: EventName) -> Self {
        Self::new(Level::Info, name)
    }

    /// Starts a warning.
    pub fn warn(name: EventName) -> Self {
        Self::new(Level::Warn, name)
    }

    fn new(level: Level, name: EventName) -> Self {
        let time = OffsetDateTime::from(SystemTime::now())
            .format(&Rfc3339)
            .unwrap_or_default();
        let level_name = level.as_str().to_ascii_lowercase();
        let line = format!("time={time} level={level_name} event={}", name.as_str());
        Self { level, line }
    }

    /// Adds a key and a value.
    pub fn field(mut self, key: &'static str, value: impl Display) -> Self {
        // Writing to a string cannot fail.
        let _ = write!(self.line, " {key}={}", quoted(&value.to_string()));
        self
    }

    /// Logs the event.
    pub fn log(self) {
        log::log!(self.level, "{}", self.line);
    }

    /// The log line so far.
    pub fn line(&self) -> &str {
        &self.line
    }
}

/// Sends log lines to standard error, for commands whose result goes to
/// standard output. Later calls in a process do nothing.
pub fn start_logging(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_max_level(LevelFilter::Off)
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("linkhold")
        .build();
    // A second logger in one process is refused; the first one remains.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}
