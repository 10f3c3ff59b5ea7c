//! Where things are.

use std::collections::HashMap;
use std::sync::Arc;

use linkhold_core::service::placement::Distance;

/// The node's own place and the regions of all zones.
#[derive(Clone, Debug, Default)]
pub struct Places {
    /// The node's zone.
    pub zone: Arc<str>,
    /// Region of each zone.
    pub regions: HashMap<Arc<str>, Arc<str>>,
}

impl Places {
    /// The region of a zone; one that is not told of is a region of its own.
    pub fn region(&self, zone: &str) -> Arc<str> {
        self.regions
            .get(zone)
            .cloned()
            .unwrap_or_else(|| Arc::from(zone))
    }

    /// The node's region.
    pub fn own_region(&self) -> Arc<str> {
        self.region(&self.zone)
    }

    /// How far a zone is from the node.
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
