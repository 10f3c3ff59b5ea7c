//! Zones and their regions.

use std::collections::HashMap;
use std::sync::Arc;

use linkhold_core::service::placement::Distance;

/// The zone of this node and the regions of all zones.
#[derive(Clone, Debug, Default)]
pub struct ZoneMap {
    /// The zone of this node.
    pub zone: Arc<str>,
    /// The region of each zone.
    pub regions: HashMap<Arc<str>, Arc<str>>,
}

impl ZoneMap {
    /// The region of a zone; a zone without a configured region is a region of its own.
    pub fn region(&self, zone: &str) -> Arc<str> {
        self.regions
            .get(zone)
            .cloned()
            .unwrap_or_else(|| Arc::from(zone))
    }

    /// The region of this node.
    pub fn own_region(&self) -> Arc<str> {
        self.region(&self.zone)
    }

    /// The distance of a zone from this node.
    pub fn distance(&self, zone: &str) -> Distance {
        if zone == &*self.zone {
            return Distance::Zone;
        }
        match (self.regions.get(&self.zone), self.regions.get(zone)) {
            (Some(own), Some(other)) if own == other => Distance::Region,
            _ => Distance::Remote,
        }
    }
}
