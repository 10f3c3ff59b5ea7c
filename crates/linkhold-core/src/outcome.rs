//! Outcomes reported to callers for requests that did not complete normally.
//!
//! Outcomes are a closed set. [`NotRun`] is reported only if no byte of the
//! request reached a back end, or if the back end proved that the request did not
//! run. Every other failure is [`Unknown`].

use std::fmt;
use std::time::Duration;

/// Reason for which a request certainly did not run. Each has a SQLSTATE in the
/// implementation-defined class `LH` (SQL:2016 part 2, section 24.1 leaves
/// classes beginning with I to Z to the implementation).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRun {
    /// No primary was confirmed within the write wait.
    NoPrimary,
    /// No slot within the queueing bound.
    Overloaded,
    /// No instance reached the required position within the read wait.
    NoFreshInstance,
    /// No majority answered, so no fence could be determined.
    NoMajority,
    /// The node is leaving.
    Stopping,
    /// No connection to the back end could be made.
    BackendUnavailable,
    /// The caller cancelled before the request was sent.
    Cancelled,
    /// The request key was cancelled while its outcome was unknown.
    KeyCancelled,
    /// The database is not in the table.
    UnknownDatabase,
    /// The caller's credential is unknown or no longer known.
    UnknownCredential,
    /// The tenant has used up its rate limit.
    OverQuota {
        /// Time after which the tenant may retry.
        retry_after: Duration,
    },
    /// No node that grants the tenant's budget was reached.
    NoBudget,
    /// The route and the tenant have no allowed region in common.
    NoSharedRegion,
    /// No instance is in a region in which the request may run.
    NoInstanceInRegion,
    /// Only the primary can run the request, and it is in a region that is not allowed.
    PrimaryOutsideRegion,
    /// The instances that can run the request are in evacuated zones.
    Evacuated,
    /// The instances that can run the request are warming up and accept few requests.
    WarmingUp {
        /// Time after which an instance accepts another request.
        retry_after: Duration,
    },
    /// The node has not received the configuration yet.
    NotConfigured,
    /// The transaction was ended before its commit was sent.
    TransactionAborted,
}

/// Reason for which the outcome of a request is not known.
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

    /// Whether a back end may have begun to run the request before it was rolled back.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::TransactionAborted)
    }

    /// Shortest useful delay before a retry, without jitter.
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
            // A new instance or a switchover may resolve this within seconds.
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
    /// The request certainly did not run.
    NotRun(NotRun),
    /// The request may or may not have run.
    Unknown(Unknown),
    /// The request key shows that the request ran, through this or another node.
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

    /// The DETAIL field, as machine-readable `key=value` pairs. `jitter`, from 0 to 1,
    /// spreads the retries of callers over time.
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
