//! The simulated network: node locations, latencies and loss.

use std::time::Duration;

use rand::Rng;

/// Region and zone of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Region.
    pub region: u32,
    /// Zone, unique across regions.
    pub zone: u32,
}

/// Topology, latencies and faults of the network.
#[derive(Clone, Copy, Debug)]
pub struct NetworkOptions {
    /// Number of regions.
    pub regions: u32,
    /// Number of zones in all regions together.
    pub zones: u32,
    /// One-way latency within a zone.
    pub local_latency: Duration,
    /// One-way latency between zones of a region.
    pub zone_latency: Duration,
    /// One-way latency between regions.
    pub region_latency: Duration,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplication: f64,
}

impl Default for NetworkOptions {
    fn default() -> Self {
        Self {
            regions: 3,
            zones: 7,
            local_latency: Duration::from_micros(200),
            zone_latency: Duration::from_micros(1_500),
            region_latency: Duration::from_millis(20),
            loss: 0.001,
            duplication: 0.0,
        }
    }
}

impl NetworkOptions {
    /// Returns the location of a node. Nodes are assigned round-robin to zones, and
    /// zones to regions.
    pub fn location_of(&self, node: usize) -> Location {
        let zone = u32::try_from(node).unwrap_or_default() % self.zones;
        Location {
            region: zone % self.regions,
            zone,
        }
    }

    /// Draws the one-way latency between two locations, with up to 10 % jitter.
    pub fn latency(&self, from: Location, to: Location, random: &mut impl Rng) -> Duration {
        let base = if from.zone == to.zone {
            self.local_latency
        } else if from.region == to.region {
            self.zone_latency
        } else {
            self.region_latency
        };
        base.mul_f64(random.random_range(1.0..1.1))
    }
}
