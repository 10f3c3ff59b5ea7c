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

/// A node as a reader knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedNode {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where other nodes reach it.
    pub address: Option<SocketAddr>,
    /// Bandwidth of its link in Mbit/s; 0 if it tells none.
    pub bandwidth: u32,
}

/// The fleet as a reader tells it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedFleet {
    /// Nodes in all.
    pub size: usize,
    /// Nodes that read the store for others, of all regions.
    pub readers: Vec<FeedNode>,
    /// The nodes of the fleet.
    pub nodes: Vec<FeedNode>,
}

/// What has changed in the fleet since a reader told it last on the same stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedFleetChanges {
    /// Nodes in all.
    pub size: usize,
    /// Nodes that read the store for others, if they are others than before.
    pub readers: Option<Vec<FeedNode>>,
    /// Nodes that are new or have changed.
    pub changed: Vec<FeedNode>,
    /// Names of nodes that are gone.
    pub gone: Vec<String>,
}

/// All instances, as a reader knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedInstances {
    /// The place in the store's changes up to which they were read.
    pub place: StoreRevision,
    /// Each instance, and whether it is still listed.
    pub instances: Vec<(Instance, bool)>,
}

/// What has changed among the instances since a reader told them last on the same
/// stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedInstanceChanges {
    /// The place in the store's changes up to which they were read.
    pub place: StoreRevision,
    /// Instances that are new or have changed, and whether they are listed.
    pub changed: Vec<(Instance, bool)>,
    /// Instances that are no longer known.
    pub gone: Vec<InstanceId>,
}

/// The zones that are evacuated, as a reader knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedEvacuations {
    /// The place in the store's changes up to which they were read.
    pub place: StoreRevision,
    /// The zones.
    pub zones: Vec<ZoneName>,
}

/// A follower asks how far a service's log had come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvidenceQuestion {
    /// Ties the answer to it.
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
    /// Age of the evidence when the question arrived, in whole milliseconds
    /// rounded up; zero if it is younger.
    pub age: Duration,
    /// Position of the primary's log; `None` if there is no evidence.
    pub position: Option<Position>,
}

/// A message of a feed.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedMessage {
    /// A follower asks to be told everything from now on.
    Subscribe,
    /// A follower lives; its reader renews its registration.
    Renewal {
        /// The follower.
        node: FeedNode,
        /// Rises with each renewal on a stream; `None` from a program that does not
        /// count them, which is told no [`FeedMessage::Listed`].
        number: Option<u64>,
    },
    /// The store holds a row of the reader that lists the follower as of a renewal.
    Listed {
        /// The renewal's number.
        number: u64,
        /// The leases that were claimed lately, if they were read since the row was
        /// written: a follower that has just come needs to know.
        claims: Option<Vec<RecentClaim>>,
        /// What the store keeps of earlier promotions, read with the claims; empty without
        /// them.
        records: Vec<(ServiceName, PromotionRecord)>,
    },
    /// Enough nodes confirmed, to a question that the reader sent after a renewal had
    /// come, that they have agreed to no other replacements than these.
    Confirmed {
        /// The renewal's number.
        number: u64,
        /// What the reader has agreed to lately.
        agreed: Vec<String>,
    },
    /// A follower ends in good order; nobody needs to wait for its answers.
    Leaving,
    /// A node asks to be connected to an instance over this stream.
    Relay(InstanceId),
    /// From here on the stream leads to the instance.
    Relayed,
    /// From here on the stream carries [`crate::ForwardMessage`]s.
    Forward,
    /// A follower asks for evidence.
    EvidenceQuestion(EvidenceQuestion),
    /// A reader has or has no evidence.
    EvidenceAnswer(EvidenceAnswer),
    /// A version of the configuration.
    Configuration(Configuration),
    /// The zones that are evacuated as of a place in the store's changes.
    Evacuations(FeedEvacuations),
    /// All instances as of a place in the store's changes.
    Instances(FeedInstances),
    /// What has changed among them since.
    InstanceChanges(FeedInstanceChanges),
    /// The nodes of the fleet and the region's readers.
    Fleet(FeedFleet),
    /// What has changed in it since.
    FleetChanges(FeedFleetChanges),
    /// The reader lives; its last answer from the store is this old.
    Beat {
        /// Age of the last answer, in milliseconds.
        age: Duration,
        /// As of when what it told of instances was the store's; `None` if it knows no such
        /// moment, or has not heard of the follower.
        list: Option<ListMoment>,
    },
}

/// A moment as told to a follower: by how much it is later than the arrival of one of the
/// follower's renewals. The follower counts from when it had sent that, which is earlier, so
/// time on the way, or in a process that was paused, makes a list older and never younger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListMoment {
    /// The renewal's number.
    pub renewal: u64,
    /// Milliseconds from its arrival to the moment, rounded down; negative if that was before.
    pub offset_ms: i64,
}

impl ListMoment {
    /// Tells a moment by a renewal that arrived at another.
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

    /// The moment, or an earlier one, by the clock of who sent the renewal.
    pub fn after(self, sent_at: Instant) -> Option<Instant> {
        let offset = Duration::from_millis(self.offset_ms.unsigned_abs());
        if self.offset_ms >= 0 {
            sent_at.checked_add(offset)
        } else {
            sent_at.checked_sub(offset)
        }
    }
}
