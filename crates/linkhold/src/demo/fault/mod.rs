//! Faults, each with a name and a schedule.

mod run;
mod schedule;

pub use run::FaultRun;

/// What breaks in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Nothing.
    None,
    /// A primary crashes, and later comes back.
    PrimaryCrash,
    /// A primary is cut off from its peers and goes on accepting work.
    PrimaryPartition,
    /// One replica of each database stays far behind.
    ReplicaFarBehind,
    /// A node dies with transactions open.
    NodeCrash,
    /// The platform's store is down.
    StoreDown,
    /// The answer to an edit is lost after it took effect.
    StoreLostAnswer,
    /// The platform's store is slow.
    StoreSlow,
    /// A node is paused: nothing passes between it and the databases.
    PausedHolder,
    /// Two operators edit at once.
    ConcurrentEdits,
    /// Nodes are stopped and started again in order, one after the other.
    NodeStop,
    /// A back end leaves.
    BackendLeaving,
    /// An instance answers after the node has given up.
    LateAnswers,
    /// A burst of feed reads.
    FeedBurst,
    /// Two or three of the others, chosen by the seed.
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

    /// Name on the command line.
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

    /// The fault with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }
}
