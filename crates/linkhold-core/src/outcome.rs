//! What a caller may be told about a request that did not simply complete.
//!
//! Outcomes are a closed set. [`NotRun`] is said only when no byte of the
//! request reached a back end, or when the back end proved that it did not
//! run. Everything else that failed is [`Unknown`].

use std::fmt;
use std::time::Duration;

/// Why a request certainly did not run. Each reason has a SQLSTATE in the
/// implementation-defined class `LH` (SQL:2016 part 2, section 24.1 leaves
/// classes beginning with I to Z to the implementation).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRun {
    /// No confirmed primary within the write wait.
    NoPrimary,
    /// No slot within the queueing bound.
    Overloaded,
    /// No instance reached the required position within the read wait.
    NoFreshInstance,
    /// No majority answered, so no fence could be drawn.
    NoMajority,
    /// The node is leaving.
    Stopping,
    /// No connection to the back end could be made.
    BackendUnavailable,
    /// The caller cancelled before the request was sent.
    Cancelled,
    /// A request key was cancelled after its outcome had been unknown.
    KeyCancelled,
    /// The database is not in the table.
    UnknownDatabase,
    /// The caller's credential is not, or no longer, known.
    UnknownCredential,
    /// The tenant has used up what it may ask for now.
    OverQuota {
        /// When it may ask again.
        retry_after: Duration,
    },
    /// Nobody was reached who tells whether the tenant may ask for more.
    NoBudget,
    /// The route and the tenant allow no region in common.
    NoSharedRegion,
    /// No instance stands in a region in which it may run.
    NoInstanceInRegion,
    /// Only the primary could run it, which stands in another region.
    PrimaryOutsideRegion,
    /// What could run it stands in zones that are evacuated.
    Evacuated,
    /// What could run it has just started and takes few requests for now.
    WarmingUp {
        /// When there will be room.
        retry_after: Duration,
    },
    /// The node has not learnt the configuration yet.
    NotConfigured,
    /// The transaction was ended before its commit was sent.
    TransactionAborted,
}

/// Why the fate of a request is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Unknown {
    /// The connection to the back end failed after the request was sent.
    ConnectionLost,
    /// The primary was replaced before a majority held the write.
    PrimaryReplaced,
    /// No majority confirmed the write within the write wait.
    NotConfirmed,
    /// The back end did not answer within the statement time-out.
    TimedOut,
}

/// SQLSTATE "transaction resolution unknown" (SQL:2016, class 08).
pub const SQLSTATE_UNKNOWN: &str = "08007";
/// SQLSTATE for a request key that had already completed.
pub const SQLSTATE_ALREADY_COMPLETED: &str = "LH020";

impl NotRun {
    /// The SQLSTATE sent to the caller.
    pub fn sqlstate(self) -> &'static str {
        match self {
            Self::NoPrimary => "LH001",
            Self::Overloaded => "LH002",
            Self::NoFreshInstance => "LH003",
            Self::NoMajority => "LH004",
            Self::Stopping => "LH005",
            Self::BackendUnavailable => "LH006",
            Self::Cancelled => "57014",
            Self::KeyCancelled => "LH021",
            Self::UnknownDatabase => "3D000",
            Self::UnknownCredential => "28000",
            Self::OverQuota { .. } => "53400",
            Self::NoBudget => "LH008",
            Self::NoSharedRegion => "LH009",
            Self::NoInstanceInRegion => "LH010",
            Self::PrimaryOutsideRegion => "LH011",
            Self::Evacuated => "LH012",
            Self::WarmingUp { .. } => "LH013",
            Self::NotConfigured => "LH007",
            Self::TransactionAborted => "40000",
        }
    }

    /// Stable word for the reason, used in DETAIL and in logs.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoPrimary => "no_primary",
            Self::Overloaded => "overloaded",
            Self::NoFreshInstance => "no_fresh_instance",
            Self::NoMajority => "no_majority",
            Self::Stopping => "stopping",
            Self::BackendUnavailable => "backend_unavailable",
            Self::Cancelled => "cancelled",
            Self::KeyCancelled => "key_cancelled",
            Self::UnknownDatabase => "unknown_database",
            Self::UnknownCredential => "unknown_credential",
            Self::OverQuota { .. } => "over_quota",
            Self::NoBudget => "no_budget",
            Self::NoSharedRegion => "no_shared_region",
            Self::NoInstanceInRegion => "no_instance_in_region",
            Self::PrimaryOutsideRegion => "primary_outside_region",
            Self::Evacuated => "evacuated",
            Self::WarmingUp { .. } => "warming_up",
            Self::NotConfigured => "not_configured",
            Self::TransactionAborted => "transaction_aborted",
        }
    }

    /// Whether a back end may have begun to run the request before it was undone.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::TransactionAborted)
    }

    /// Shortest time after which trying again makes sense, before jitter.
    pub fn retry_after(self) -> Duration {
        let milliseconds = match self {
            Self::OverQuota { retry_after } | Self::WarmingUp { retry_after } => {
                return retry_after;
            }
            Self::Overloaded => 20,
            Self::NoPrimary | Self::NoMajority => 50,
            Self::NoFreshInstance
            | Self::BackendUnavailable
            | Self::NotConfigured
            | Self::NoBudget => 100,
            Self::Stopping | Self::Cancelled | Self::KeyCancelled | Self::TransactionAborted => 0,
            // An instance or a switch-over may come within seconds.
            Self::NoInstanceInRegion | Self::PrimaryOutsideRegion | Self::Evacuated => 500,
            Self::UnknownDatabase | Self::UnknownCredential | Self::NoSharedRegion => 1_000,
        };
        Duration::from_millis(milliseconds)
    }
}

impl Unknown {
    /// Stable word for the reason, used in DETAIL and in logs.
    pub fn reason(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection_lost",
            Self::PrimaryReplaced => "primary_replaced",
            Self::NotConfirmed => "not_confirmed",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Outcome of a request that did not complete normally.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It certainly did not run.
    NotRun(NotRun),
    /// It may or may not have run.
    Unknown(Unknown),
    /// Its request key shows that it ran, through this or another node.
    AlreadyCompleted,
}

impl Failure {
    /// The SQLSTATE sent to the caller.
    pub fn sqlstate(self) -> &'static str {
        match self {
            Self::NotRun(reason) => reason.sqlstate(),
            Self::Unknown(_) => SQLSTATE_UNKNOWN,
            Self::AlreadyCompleted => SQLSTATE_ALREADY_COMPLETED,
        }
    }

    /// The DETAIL field: key=value pairs a program can read. `jitter` is a
    /// number from 0 to 1 that spreads the time to come back.
    pub fn detail(self, jitter: f64) -> String {
        match self {
            Self::NotRun(reason) => {
                let base = reason.retry_after().as_millis() as f64;
                let retry_after = (base * (1.0 + jitter)).round() as u64;
                format!(
                    "outcome=not_run reason={} retry_after_ms={retry_after}",
                    reason.reason()
                )
            }
            Self::Unknown(reason) => format!("outcome=unknown reason={}", reason.reason()),
            Self::AlreadyCompleted => "outcome=completed reason=request_key".to_owned(),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRun(reason) => write!(formatter, "request was not run: {}", reason.reason()),
            Self::Unknown(reason) => {
                write!(
                    formatter,
                    "outcome of request is unknown: {}",
                    reason.reason()
                )
            }
            Self::AlreadyCompleted => write!(formatter, "request key has already completed"),
        }
    }
}

impl std::error::Error for Failure {}
