//! The messages of a feed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linkhold_core::position::Position;
use linkhold_core::service::configuration::{Configuration, ServiceName};
use linkhold_core::service::evacuation::ZoneName;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::permission::RecentClaim;
use linkhold_core::service::primary_verification::PromotionRecord;
use linkhold_core::service::store_revision::StoreRevision;

/// A node, as known to a reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedNode {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Address for other nodes, if it has one.
    pub address: Option<SocketAddr>,
    /// Bandwidth of its link in Mbit/s; 0 if unknown.
    pub bandwidth: u32,
}

/// The fleet, as a reader sends it to its followers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedFleet {
    /// Total number of nodes.
    pub size: usize,
    /// Nodes of all regions that read the store for others.
    pub readers: Vec<FeedNode>,
    /// The nodes of the fleet.
    pub nodes: Vec<FeedNode>,
}

/// Changes of the fleet since the reader last sent it on the same stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedFleetChanges {
    /// Total number of nodes.
    pub size: usize,
    /// Nodes of all regions that read the store for others; `None` if unchanged.
    pub readers: Option<Vec<FeedNode>>,
    /// Nodes that are new or have changed.
    pub changed: Vec<FeedNode>,
    /// Names of nodes that were removed.
    pub removed: Vec<String>,
}

/// All instances, as known to a reader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedInstances {
    /// Revision of the store up to which the instances were read.
    pub revision: StoreRevision,
    /// Each instance, and whether it is still listed.
    pub instances: Vec<(Instance, bool)>,
}

/// Changes of the instances since the reader last sent them on the same stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedInstanceChanges {
    /// Revision of the store up to which the instances were read.
    pub revision: StoreRevision,
    /// Instances that are new or have changed, and whether they are listed.
    pub changed: Vec<(Instance, bool)>,
    /// Instances that are no longer known.
    pub removed: Vec<InstanceId>,
}

/// The evacuated zones, as known to a reader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedEvacuations {
    /// Revision of the store up to which the zones were read.
    pub revision: StoreRevision,
    /// The zones.
    pub zones: Vec<ZoneName>,
}

/// A follower's question for evidence of the position that a service's log has reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvidenceQuestion {
    /// Number that the answer repeats.
    pub number: u64,
    /// The service.
    pub service: ServiceName,
    /// Age that the evidence may have when the question arrives.
    pub max_age: Duration,
}

/// A reader's answer to an [`EvidenceQuestion`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvidenceAnswer {
    /// The question's number.
    pub number: u64,
    /// Age of the evidence when the question arrived, in whole milliseconds rounded up;
    /// zero if the evidence is newer.
    pub age: Duration,
    /// Position of the primary's log; `None` if there is no evidence.
    pub position: Option<Position>,
}

/// A message of a feed.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedMessage {
    /// A follower asks for all data of the feed from now on.
    Subscribe,
    /// A follower is alive; its reader renews its registration.
    Renewal {
        /// The follower.
        node: FeedNode,
        /// Rises with each renewal on a stream; `None` from a program that does not
        /// count them, which gets no [`FeedMessage::Listed`].
        number: Option<u64>,
    },
    /// The store holds a row of the reader that lists the follower as of a renewal.
    Listed {
        /// The renewal's number.
        number: u64,
        /// The leases that were recently claimed, which a new follower needs to know;
        /// `None` if they were not read since the row was written.
        claims: Option<Vec<RecentClaim>>,
        /// The store's records of earlier promotions, read with the claims; empty
        /// without claims.
        records: Vec<(ServiceName, PromotionRecord)>,
    },
    /// Enough nodes confirmed, to a question that the reader sent after a renewal had
    /// arrived, that they have agreed to no other replacements than these.
    Confirmed {
        /// The renewal's number.
        number: u64,
        /// Replacements that the reader has recently agreed to.
        agreed: Vec<String>,
    },
    /// A follower shuts down in order: no node needs to wait for its answers.
    Leaving,
    /// A node asks to be connected to an instance over this stream.
    RelayRequest(InstanceId),
    /// Accepts a relay request: from here on the stream is connected to the instance.
    RelayAccepted,
    /// From here on the stream carries [`crate::ForwardMessage`]s.
    Forward,
    /// A follower asks for evidence.
    EvidenceQuestion(EvidenceQuestion),
    /// A reader answers a question for evidence.
    EvidenceAnswer(EvidenceAnswer),
    /// A version of the configuration.
    Configuration(Configuration),
    /// The evacuated zones as of a revision of the store.
    Evacuations(FeedEvacuations),
    /// All instances as of a revision of the store.
    Instances(FeedInstances),
    /// Changes of the instances since the last message about them.
    InstanceChanges(FeedInstanceChanges),
    /// The nodes of the fleet and all readers.
    Fleet(FeedFleet),
    /// Changes of the fleet since the last message about it.
    FleetChanges(FeedFleetChanges),
    /// The reader is alive.
    Heartbeat {
        /// Age of the reader's last answer from the store.
        age: Duration,
        /// The time as of which the reader knows the list of instances it sent; `None`
        /// if it knows no such time, or has received no renewal of the follower.
        list_as_of: Option<RelativeTimestamp>,
    },
}

/// A time, relative to the arrival of one of the follower's renewals at the reader. The
/// follower counts from when it sent the renewal, which is earlier, so a delay on the
/// network or in a paused process makes a list older and never newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelativeTimestamp {
    /// The renewal's number.
    pub renewal: u64,
    /// Milliseconds from the renewal's arrival to the time, rounded down; negative if
    /// the time is earlier.
    pub offset_ms: i64,
}

impl RelativeTimestamp {
    /// Expresses `moment` relative to a renewal that arrived at `arrived_at`.
    pub fn new(moment: Instant, renewal: u64, arrived_at: Instant) -> Self {
        let offset_ms = match moment.checked_duration_since(arrived_at) {
            Some(later) => i64::try_from(later.as_millis()).unwrap_or(i64::MAX),
            None => {
                let earlier = arrived_at.saturating_duration_since(moment);
                -1 - i64::try_from(earlier.as_millis()).unwrap_or(i64::MAX - 1)
            }
        };
        Self { renewal, offset_ms }
    }

    /// The time, or an earlier one, on the clock of the node that sent the renewal at
    /// `sent_at`; `None` if this clock cannot represent it.
    pub fn resolve(self, sent_at: Instant) -> Option<Instant> {
        let offset = Duration::from_millis(self.offset_ms.unsigned_abs());
        if self.offset_ms >= 0 {
            sent_at.checked_add(offset)
        } else {
            sent_at.checked_sub(offset)
        }
    }
}
