//! Settings of a node: a TOML file whose keys can be overridden by flags.
//!
//! Every finding is reported, with its line and key, before the node starts.

mod check;
mod reader;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use linkhold_core::group_view::CommitPromise;

pub use check::parse;
pub use reader::{Finding, Overrides};

/// Where the table comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableSource {
    /// The platform's table service.
    Platform {
        /// Base URL.
        url: String,
        /// Name of the table.
        name: String,
    },
    /// A CSV file, which is polled for changes.
    File(PathBuf),
}

/// How reads are routed; the two other policies are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReadPolicy {
    /// Any instance that has reached the session's token or a majority fence.
    #[default]
    Fence,
    /// The primary for a fixed time after a write of the same connection.
    PinAfterWrite,
    /// Always the primary.
    PrimaryOnly,
}

/// How a node detects a new primary. Polling alone is a baseline for measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Detection {
    /// By polling; in addition, failed and waiting requests probe the instances at
    /// once.
    #[default]
    OnDemand,
    /// Only by the periodic status queries.
    PollOnly,
}

/// How a node finds and authenticates other nodes. A node without peer settings has
/// no peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Address for messages of other nodes, over UDP and TCP.
    pub listen: SocketAddr,
    /// Addresses of nodes from which to learn of the others.
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates messages; the same on every node.
    pub key: String,
}

/// Checked settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the node, unique in the fleet.
    pub node: String,
    /// Zone of the node.
    pub zone: String,
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// The other nodes, if there are any.
    pub peer: Option<PeerSettings>,
    /// Where the table comes from.
    pub table: TableSource,
    /// How often the table source is read.
    pub table_poll: Duration,
    /// Key that signs session tokens; the same on every node.
    pub token_key: String,
    /// User name on back ends.
    pub backend_user: String,
    /// Status query; its answer is `current_term log_term log_index role`.
    pub status_query: String,
    /// Longest wait for a status answer.
    pub probe_timeout: Duration,
    /// Time between status queries when no request demands one.
    pub probe_interval: Duration,
    /// Longest wait for a connection to a back end.
    pub connect_timeout: Duration,
    /// Longest silence of a back end within a statement.
    pub statement_timeout: Duration,
    /// Number of nodes that share the table's limits.
    pub fleet_size: u32,
    /// Share of an instance's slots kept for writes, in percent.
    pub write_reserve_percent: u32,
    /// Client connections the node accepts.
    pub client_connections: u32,
    /// Longest time a session may be idle in a transaction.
    pub idle_transaction_timeout: Duration,
    /// How often expired request keys are removed.
    pub key_cleanup_interval: Duration,
    /// Longest time sessions may take to end when the node leaves.
    pub drain_timeout: Duration,
    /// Which instances hold a commit when it returns.
    pub commit_promise: CommitPromise,
    /// Whether requests share rounds of status queries. Set to `false` only to
    /// measure what sharing saves. Not a key of the file.
    pub share_rounds: bool,
    /// How a node detects a new primary. Not a key of the file.
    pub detection: Detection,
    /// How reads are routed.
    pub read_policy: ReadPolicy,
    /// Seconds added to the clock when a weight is looked up by the hour, for
    /// rehearsing a table.
    pub hour_offset: i64,
    /// Addresses to connect to in place of those in the table.
    pub address_map: HashMap<SocketAddr, SocketAddr>,
}
