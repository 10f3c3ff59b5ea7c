//! Faults of a run, each with a name and a schedule.

mod run;
mod schedule;

pub use run::FaultRun;

/// Fault to inject in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// No fault.
    None,
    /// The primaries crash and later restart.
    PrimaryCrash,
    /// The primaries are isolated from their peers but continue to accept work.
    PrimaryPartition,
    /// One replica of each database lags far behind.
    ReplicaFarBehind,
    /// A node crashes with open transactions.
    NodeCrash,
    /// The platform's store is down.
    StoreDown,
    /// The answer to an edit is lost after it took effect.
    StoreLostAnswer,
    /// The platform's store is slow.
    StoreSlow,
    /// A node is paused: no traffic passes between it and the databases.
    PausedHolder,
    /// Two operators edit the table at once.
    ConcurrentEdits,
    /// Nodes are stopped gracefully and restarted, one after the other.
    NodeStop,
    /// The table marks a back end as leaving.
    BackendLeaving,
    /// An instance answers after the node's statement timeout.
    LateAnswers,
    /// A burst of reads.
    FeedBurst,
    /// Two or three of the other faults, chosen by the seed.
    Mixed,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 15] = [
        Self::None,
        Self::PrimaryCrash,
        Self::PrimaryPartition,
        Self::ReplicaFarBehind,
        Self::NodeCrash,
        Self::StoreDown,
        Self::StoreLostAnswer,
        Self::StoreSlow,
        Self::PausedHolder,
        Self::ConcurrentEdits,
        Self::NodeStop,
        Self::BackendLeaving,
        Self::LateAnswers,
        Self::FeedBurst,
        Self::Mixed,
    ];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::PrimaryCrash => "primary-crash",
            Self::PrimaryPartition => "primary-partition",
            Self::ReplicaFarBehind => "replica-far-behind",
            Self::NodeCrash => "node-crash",
            Self::StoreDown => "store-down",
            Self::StoreLostAnswer => "store-lost-answer",
            Self::StoreSlow => "store-slow",
            Self::PausedHolder => "paused-holder",
            Self::ConcurrentEdits => "concurrent-edits",
            Self::NodeStop => "node-stop",
            Self::BackendLeaving => "backend-leaving",
            Self::LateAnswers => "late-answers",
            Self::FeedBurst => "feed-burst",
            Self::Mixed => "mixed",
        }
    }

    /// Returns the fault with this name; `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }
}
