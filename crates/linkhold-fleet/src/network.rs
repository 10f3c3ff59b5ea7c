//! The simulated network: places, latencies and loss.

use std::time::Duration;

use rand::Rng;

/// Where a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Region.
    pub region: u32,
    /// Zone, unique over all regions.
    pub zone: u32,
}

/// What the network does.
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
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that arrive twice.
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
    /// Place of a node; zones and regions take turns.
    pub fn place_of(&self, node: usize) -> Place {
        let zone = u32::try_from(node).unwrap_or_default() % self.zones;
        Place {
            region: zone % self.regions,
            zone,
        }
    }

    /// One-way latency between two places, with a tenth of jitter.
    pub fn latency(&self, from: Place, to: Place, random: &mut impl Rng) -> Duration {
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
