//! What the engine is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use linkhold_core::service::warm_up::WarmUpRules;
use linkhold_core::tenancy::QuotaRules;

use crate::zone_map::ZoneMap;

/// Settings of the engine. Times are as the platform bounds them.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the node, unique in the fleet.
    pub node: String,
    /// Where it is.
    pub zone_map: ZoneMap,
    /// Where other nodes reach this one; `None` where nodes do not talk.
    pub peer_address: Option<SocketAddr>,
    /// Bandwidth of the node's link in Mbit/s; 0 if it is not told.
    pub bandwidth: u32,
    /// How long an instance that leaves may still get new work.
    pub drain: Duration,
    /// How soon a change of the configuration must be in force.
    pub change_bound: Duration,
    /// How soon nothing may be sent to the instances of an evacuated zone.
    pub evacuation_bound: Duration,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// Whether the whole fleet starts for the first time: nobody can have
    /// registered before.
    pub is_first_start: bool,
    /// How limits of tenants are counted; `None` where they are not.
    pub quota: Option<QuotaRules>,
    /// How limits of cold instances are counted.
    pub warm_up: WarmUpRules,
}
