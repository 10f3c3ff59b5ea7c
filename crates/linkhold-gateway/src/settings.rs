//! Settings with which the engine starts.

use std::net::SocketAddr;
use std::time::Duration;

use linkhold_core::service::warm_up::WarmUpRules;
use linkhold_core::tenancy::QuotaRules;

use crate::zone_map::ZoneMap;

/// Settings of the engine. Durations follow the limits that the platform sets.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the node, unique in the fleet.
    pub node: String,
    /// Where it is.
    pub zone_map: ZoneMap,
    /// Address at which other nodes reach this one; `None` if nodes do not communicate.
    pub peer_address: Option<SocketAddr>,
    /// Bandwidth of the node's link in Mbit/s; 0 if unknown.
    pub bandwidth: u32,
    /// How long an instance that is leaving may still get new statements.
    pub drain: Duration,
    /// Time within which a change of the configuration must be in force.
    pub change_bound: Duration,
    /// Time after which nothing may be sent to the instances of an evacuated zone.
    pub evacuation_bound: Duration,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Whether the whole fleet starts for the first time, so that no node can have
    /// registered before.
    pub is_first_start: bool,
    /// How limits of tenants are counted; `None` if they are not enforced.
    pub quota: Option<QuotaRules>,
    /// How limits of cold instances are counted.
    pub warm_up: WarmUpRules,
}
