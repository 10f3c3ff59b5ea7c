//! Streams between nodes: what a node that reads the store tells those that
//! follow it, and the opening of a connection that one relays for another.
//!
//! Messages are framed on a stream by their length; see [`MAX_FEED_MESSAGE`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use linkhold_core::position::{Position, Term};
use linkhold_core::service::configuration::{
    Configuration, Consistency, Route, ServiceLimits, ServiceName,
};
use linkhold_core::service::evacuation::ZoneName;
use linkhold_core::service::instance::{Instance, InstanceId, Lifecycle, Role};
use linkhold_core::service::permission::RecentClaim;
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::store_place::StorePlace;
use linkhold_core::service::warm_up::WarmUpLimit;
use linkhold_core::tenancy::credential::CREDENTIAL_BYTES;
use linkhold_core::tenancy::{Credential, RateLimit, Tenancy, Tenant};
use minicbor::bytes::ByteArray;
use minicbor::{Decode, Encode};

use crate::packing::{pack, unpack};
use crate::{PeerError, PeerKey, milliseconds};

/// Longest message, in bytes.
pub const MAX_FEED_MESSAGE: usize = 8 * 1024 * 1024;

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

/// All instances, as a reader knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedInstances {
    /// The place in the store's changes up to which they were read.
    pub place: StorePlace,
    /// Each instance, and whether it is still listed.
    pub instances: Vec<(Instance, bool)>,
}

/// What has changed among the instances since a reader told them last on the same
/// stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedInstanceChanges {
    /// The place in the store's changes up to which they were read.
    pub place: StorePlace,
    /// Instances that are new or have changed, and whether they are listed.
    pub changed: Vec<(Instance, bool)>,
    /// Instances that are no longer known.
    pub gone: Vec<InstanceId>,
}

/// The zones that are evacuated, as a reader knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedEvacuations {
    /// The place in the store's changes up to which they were read.
    pub place: StorePlace,
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
    /// The reader lives; its last answer from the store is this old.
    Beat {
        /// Age of the last answer, in milliseconds.
        age: Duration,
    },
}

#[derive(Encode, Decode)]
struct WireRoute {
    #[n(0)]
    database: String,
    #[n(1)]
    service: String,
    #[n(2)]
    consistency: u8,
    #[n(3)]
    staleness_ms: u64,
    #[n(4)]
    timeout_ms: u64,
    #[n(5)]
    objective_ms: u64,
    #[n(6)]
    priority: u8,
    #[n(7)]
    is_public: bool,
    /// Empty: everywhere.
    #[n(8)]
    regions: Vec<String>,
}

#[derive(Encode, Decode)]
struct WireService {
    #[n(0)]
    name: String,
    #[n(1)]
    max_connections: u64,
    #[n(2)]
    synchronous_replicas: u64,
    #[n(3)]
    warm_up: Option<WireWarmUpLimit>,
}

#[derive(Encode, Decode)]
struct WireWarmUpLimit {
    #[n(0)]
    per_second: f64,
    #[n(1)]
    length_ms: u64,
}

#[derive(Encode, Decode)]
struct WireConfiguration {
    #[n(0)]
    version: u64,
    #[n(1)]
    routes: Vec<WireRoute>,
    #[n(2)]
    services: Vec<WireService>,
    #[n(3)]
    idle_ms: Option<u64>,
    #[n(4)]
    tenants: Option<Vec<WireTenant>>,
}

#[derive(Encode, Decode)]
struct WireTenant {
    #[n(0)]
    name: String,
    #[n(1)]
    credentials: Vec<ByteArray<CREDENTIAL_BYTES>>,
    #[n(2)]
    limit: Option<WireRateLimit>,
    /// Empty: everywhere.
    #[n(3)]
    regions: Vec<String>,
}

#[derive(Encode, Decode)]
struct WireRateLimit {
    #[n(0)]
    rate_per_second: f64,
    #[n(1)]
    burst: f64,
}

#[derive(Encode, Decode)]
struct WireInstance {
    #[n(0)]
    id: String,
    #[n(1)]
    service: String,
    #[n(2)]
    address: String,
    #[n(3)]
    zone: String,
    #[n(4)]
    capacity: u64,
    #[n(5)]
    is_draining: bool,
    #[n(6)]
    is_primary: bool,
    #[n(7)]
    is_listed: bool,
    #[n(8)]
    warm_up_left_ms: u64,
}

#[derive(Encode, Decode)]
struct WirePosition {
    #[n(0)]
    term: u64,
    #[n(1)]
    index: u64,
}

#[derive(Encode, Decode)]
struct WireNode {
    #[n(0)]
    name: String,
    #[n(1)]
    zone: String,
    #[n(2)]
    address: Option<String>,
    #[n(3)]
    bandwidth: Option<u32>,
}

#[derive(Encode, Decode)]
struct WireFleet {
    #[n(0)]
    size: u64,
    #[n(1)]
    readers: Vec<WireNode>,
    #[n(2)]
    nodes: Vec<WireNode>,
}

#[derive(Encode, Decode)]
struct WireClaim {
    #[n(0)]
    service: String,
    #[n(1)]
    successor: Option<String>,
    #[n(2)]
    age_ms: u64,
}

#[derive(Encode, Decode)]
enum WireMessage {
    #[n(0)]
    Subscribe,
    #[n(1)]
    Configuration(#[n(0)] WireConfiguration),
    #[n(2)]
    Instances(#[n(0)] u64, #[n(1)] Vec<WireInstance>),
    #[n(3)]
    Fleet(#[n(0)] WireFleet),
    #[n(4)]
    Beat(#[n(0)] u64),
    #[n(5)]
    Renewal(#[n(0)] WireNode, #[n(1)] Option<u64>),
    #[n(6)]
    Relay(#[n(0)] String),
    #[n(7)]
    Relayed,
    #[n(10)]
    Forward,
    #[n(11)]
    Leaving,
    #[n(12)]
    InstanceChanges(#[n(0)] u64, #[n(1)] Vec<WireInstance>, #[n(2)] Vec<String>),
    #[n(13)]
    Evacuations(#[n(0)] u64, #[n(1)] Vec<String>),
    #[n(14)]
    Listed(#[n(0)] u64, #[n(1)] Option<Vec<WireClaim>>),
    #[n(15)]
    Confirmed(#[n(0)] u64, #[n(1)] Vec<String>),
    #[n(8)]
    EvidenceQuestion(#[n(0)] u64, #[n(1)] String, #[n(2)] u64),
    #[n(9)]
    EvidenceAnswer(#[n(0)] u64, #[n(1)] u64, #[n(2)] Option<WirePosition>),
}

const LATEST: u8 = 0;
const BOUNDED: u8 = 1;
const READ_YOUR_WRITES: u8 = 2;

/// Encodes a message, without its length.
pub fn encode_feed(message: &FeedMessage, key: &PeerKey) -> Vec<u8> {
    let wire = to_wire(message);
    let body = minicbor::to_vec(&wire).expect("encoding to a vector does not fail");
    key.seal(&pack(&body))
}

/// Decodes a message.
pub fn decode_feed(bytes: &[u8], key: &PeerKey) -> Result<FeedMessage, PeerError> {
    let body = unpack(key.open(bytes, MAX_FEED_MESSAGE)?, MAX_FEED_MESSAGE)?;
    let wire: WireMessage = minicbor::decode(&body).map_err(|_| PeerError::Malformed)?;
    from_wire(wire).ok_or(PeerError::Malformed)
}

fn to_wire(message: &FeedMessage) -> WireMessage {
    match message {
        FeedMessage::Subscribe => WireMessage::Subscribe,
        FeedMessage::Renewal { node, number } => WireMessage::Renewal(node_to_wire(node), *number),
        FeedMessage::Listed { number, claims } => {
            let claims = claims
                .as_ref()
                .map(|claims| claims.iter().map(claim_to_wire).collect());
            WireMessage::Listed(*number, claims)
        }
        FeedMessage::Confirmed { number, agreed } => {
            WireMessage::Confirmed(*number, agreed.clone())
        }
        FeedMessage::Relay(id) => WireMessage::Relay(id.0.to_string()),
        FeedMessage::Leaving => WireMessage::Leaving,
        FeedMessage::Relayed => WireMessage::Relayed,
        FeedMessage::Forward => WireMessage::Forward,
        FeedMessage::EvidenceQuestion(question) => WireMessage::EvidenceQuestion(
            question.number,
            question.service.to_string(),
            milliseconds(question.max_age),
        ),
        FeedMessage::EvidenceAnswer(answer) => WireMessage::EvidenceAnswer(
            answer.number,
            milliseconds(answer.age),
            answer.position.map(position_to_wire),
        ),
        FeedMessage::Configuration(configuration) => {
            WireMessage::Configuration(configuration_to_wire(configuration))
        }
        FeedMessage::Evacuations(known) => WireMessage::Evacuations(
            known.place.to_bits(),
            known.zones.iter().map(ToString::to_string).collect(),
        ),
        FeedMessage::Instances(known) => {
            WireMessage::Instances(known.place.to_bits(), instances_to_wire(&known.instances))
        }
        FeedMessage::InstanceChanges(changes) => WireMessage::InstanceChanges(
            changes.place.to_bits(),
            instances_to_wire(&changes.changed),
            changes.gone.iter().map(ToString::to_string).collect(),
        ),
        FeedMessage::Fleet(fleet) => WireMessage::Fleet(WireFleet {
            size: fleet.size as u64,
            readers: fleet.readers.iter().map(node_to_wire).collect(),
            nodes: fleet.nodes.iter().map(node_to_wire).collect(),
        }),
        FeedMessage::Beat { age } => WireMessage::Beat(milliseconds(*age)),
    }
}

fn claim_to_wire(claim: &RecentClaim) -> WireClaim {
    WireClaim {
        service: claim.service.to_string(),
        successor: claim.successor.as_ref().map(ToString::to_string),
        age_ms: milliseconds(claim.age),
    }
}

fn claim_from_wire(wire: WireClaim) -> RecentClaim {
    RecentClaim {
        service: wire.service.into(),
        successor: wire.successor.map(|id| InstanceId(id.into())),
        age: Duration::from_millis(wire.age_ms),
    }
}

fn configuration_to_wire(configuration: &Configuration) -> WireConfiguration {
    let routes = configuration
        .routes
        .iter()
        .map(|(database, route)| route_to_wire(database, route));
    let services = configuration
        .services
        .iter()
        .map(|(name, limits)| WireService {
            name: name.to_string(),
            max_connections: limits.max_connections as u64,
            synchronous_replicas: limits.synchronous_replicas as u64,
            warm_up: limits.warm_up.map(|limit| WireWarmUpLimit {
                per_second: limit.per_second,
                length_ms: milliseconds(limit.length),
            }),
        });
    WireConfiguration {
        version: configuration.version,
        routes: routes.collect(),
        services: services.collect(),
        idle_ms: configuration.transaction_idle_timeout.map(milliseconds),
        tenants: configuration
            .tenancy
            .as_ref()
            .map(|tenancy| tenancy.tenants().map(tenant_to_wire).collect()),
    }
}

fn tenant_to_wire(tenant: &Tenant) -> WireTenant {
    let digests = tenant.credentials.iter().map(Credential::digest);
    WireTenant {
        name: tenant.name.to_string(),
        credentials: digests.map(ByteArray::from).collect(),
        limit: tenant.limit.map(|limit| WireRateLimit {
            rate_per_second: limit.rate_per_second,
            burst: limit.burst,
        }),
        regions: tenant.regions.to_list(),
    }
}

fn tenancy_from_wire(wire: Vec<WireTenant>) -> Tenancy {
    let tenants = wire.into_iter().map(|tenant| Tenant {
        regions: AllowedRegions::listed(&tenant.regions),
        name: tenant.name.into(),
        credentials: tenant
            .credentials
            .into_iter()
            .map(|digest| Credential::from_digest(digest.into()))
            .collect(),
        limit: tenant.limit.map(|limit| RateLimit {
            rate_per_second: limit.rate_per_second,
            burst: limit.burst,
        }),
    });
    // What is wrong with them was told by the node that read them.
    Tenancy::new(tenants).0
}

fn route_to_wire(database: &str, route: &Route) -> WireRoute {
    let (consistency, staleness) = match route.consistency {
        Consistency::Latest => (LATEST, Duration::ZERO),
        Consistency::BoundedStaleness(most) => (BOUNDED, most),
        Consistency::ReadYourWrites(most) => (READ_YOUR_WRITES, most),
    };
    WireRoute {
        database: database.to_owned(),
        service: route.service.to_string(),
        consistency,
        staleness_ms: milliseconds(staleness),
        timeout_ms: milliseconds(route.statement_timeout),
        objective_ms: milliseconds(route.latency_objective),
        priority: route.priority,
        is_public: route.is_public,
        regions: route.regions.to_list(),
    }
}

fn instances_to_wire(instances: &[(Instance, bool)]) -> Vec<WireInstance> {
    let instances = instances.iter();
    instances
        .map(|(instance, is_listed)| instance_to_wire(instance, *is_listed))
        .collect()
}

fn instance_to_wire(instance: &Instance, is_listed: bool) -> WireInstance {
    WireInstance {
        id: instance.id.to_string(),
        service: instance.service.to_string(),
        address: instance.address.to_string(),
        zone: instance.zone.to_string(),
        capacity: instance.capacity as u64,
        is_draining: instance.lifecycle == Lifecycle::Draining,
        is_primary: instance.role == Role::Primary,
        is_listed,
        warm_up_left_ms: milliseconds(instance.warm_up_left),
    }
}

fn from_wire(wire: WireMessage) -> Option<FeedMessage> {
    Some(match wire {
        WireMessage::Subscribe => FeedMessage::Subscribe,
        WireMessage::Renewal(wire, number) => FeedMessage::Renewal {
            node: node_from_wire(wire)?,
            number,
        },
        WireMessage::Listed(number, claims) => FeedMessage::Listed {
            number,
            claims: claims.map(|claims| claims.into_iter().map(claim_from_wire).collect()),
        },
        WireMessage::Confirmed(number, agreed) => FeedMessage::Confirmed { number, agreed },
        WireMessage::Relay(id) => FeedMessage::Relay(InstanceId(id.into())),
        WireMessage::Leaving => FeedMessage::Leaving,
        WireMessage::Relayed => FeedMessage::Relayed,
        WireMessage::Forward => FeedMessage::Forward,
        WireMessage::EvidenceQuestion(number, service, max_age) => {
            FeedMessage::EvidenceQuestion(EvidenceQuestion {
                number,
                service: service.into(),
                max_age: Duration::from_millis(max_age),
            })
        }
        WireMessage::EvidenceAnswer(number, age, position) => {
            FeedMessage::EvidenceAnswer(EvidenceAnswer {
                number,
                age: Duration::from_millis(age),
                position: position.map(position_from_wire),
            })
        }
        WireMessage::Configuration(wire) => {
            FeedMessage::Configuration(configuration_from_wire(wire)?)
        }
        WireMessage::Evacuations(place, zones) => FeedMessage::Evacuations(FeedEvacuations {
            place: StorePlace::from_bits(place),
            zones: zones.into_iter().map(ZoneName::from).collect(),
        }),
        WireMessage::Instances(place, wire) => FeedMessage::Instances(FeedInstances {
            place: StorePlace::from_bits(place),
            instances: instances_from_wire(wire)?,
        }),
        WireMessage::InstanceChanges(place, changed, gone) => {
            let gone = gone.into_iter().map(|id| InstanceId(id.into()));
            FeedMessage::InstanceChanges(FeedInstanceChanges {
                place: StorePlace::from_bits(place),
                changed: instances_from_wire(changed)?,
                gone: gone.collect(),
            })
        }
        WireMessage::Fleet(wire) => FeedMessage::Fleet(FeedFleet {
            size: wire.size as usize,
            readers: nodes_from_wire(wire.readers)?,
            nodes: nodes_from_wire(wire.nodes)?,
        }),
        WireMessage::Beat(age) => FeedMessage::Beat {
            age: Duration::from_millis(age),
        },
    })
}

fn configuration_from_wire(wire: WireConfiguration) -> Option<Configuration> {
    let routes: Option<HashMap<Arc<str>, Arc<Route>>> =
        wire.routes.into_iter().map(route_from_wire).collect();
    let services = wire.services.into_iter().map(|service| {
        let limits = ServiceLimits {
            max_connections: service.max_connections as usize,
            synchronous_replicas: service.synchronous_replicas as usize,
            warm_up: service.warm_up.map(|limit| WarmUpLimit {
                per_second: limit.per_second,
                length: Duration::from_millis(limit.length_ms),
            }),
        };
        (Arc::from(service.name), limits)
    });
    Some(Configuration {
        version: wire.version,
        routes: routes?,
        services: services.collect(),
        transaction_idle_timeout: wire.idle_ms.map(Duration::from_millis),
        tenancy: wire.tenants.map(tenancy_from_wire),
    })
}

fn route_from_wire(wire: WireRoute) -> Option<(Arc<str>, Arc<Route>)> {
    let staleness = Duration::from_millis(wire.staleness_ms);
    let consistency = match wire.consistency {
        LATEST => Consistency::Latest,
        BOUNDED => Consistency::BoundedStaleness(staleness),
        READ_YOUR_WRITES => Consistency::ReadYourWrites(staleness),
        _ => return None,
    };
    let route = Route {
        service: wire.service.into(),
        consistency,
        statement_timeout: Duration::from_millis(wire.timeout_ms),
        latency_objective: Duration::from_millis(wire.objective_ms),
        priority: wire.priority,
        is_public: wire.is_public,
        regions: AllowedRegions::listed(&wire.regions),
    };
    Some((wire.database.into(), Arc::new(route)))
}

fn instances_from_wire(wire: Vec<WireInstance>) -> Option<Vec<(Instance, bool)>> {
    wire.into_iter().map(instance_from_wire).collect()
}

fn instance_from_wire(wire: WireInstance) -> Option<(Instance, bool)> {
    let instance = Instance {
        id: InstanceId(wire.id.into()),
        service: wire.service.into(),
        address: wire.address.parse().ok()?,
        zone: wire.zone.into(),
        capacity: wire.capacity as usize,
        lifecycle: if wire.is_draining {
            Lifecycle::Draining
        } else {
            Lifecycle::Ready
        },
        role: if wire.is_primary {
            Role::Primary
        } else {
            Role::Replica
        },
        warm_up_left: Duration::from_millis(wire.warm_up_left_ms),
    };
    Some((instance, wire.is_listed))
}

fn node_to_wire(node: &FeedNode) -> WireNode {
    WireNode {
        name: node.name.clone(),
        zone: node.zone.clone(),
        address: node.address.map(|address| address.to_string()),
        bandwidth: Some(node.bandwidth),
    }
}

fn position_to_wire(position: Position) -> WirePosition {
    WirePosition {
        term: position.term.0,
        index: position.index,
    }
}

fn position_from_wire(wire: WirePosition) -> Position {
    Position {
        term: Term(wire.term),
        index: wire.index,
    }
}

fn nodes_from_wire(wire: Vec<WireNode>) -> Option<Vec<FeedNode>> {
    wire.into_iter().map(node_from_wire).collect()
}

fn node_from_wire(wire: WireNode) -> Option<FeedNode> {
    let address = match wire.address {
        Some(text) => Some(text.parse().ok()?),
        None => None,
    };
    Some(FeedNode {
        name: wire.name,
        zone: wire.zone,
        address,
        bandwidth: wire.bandwidth.unwrap_or_default(),
    })
}
