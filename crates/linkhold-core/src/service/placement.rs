//! Choice of the instance that serves a read.
//!
//! A replica that lacks what the read requires is no candidate until it may have caught
//! up. Candidates are ordered by [`HealthRank`]: first healthy ones, then those that
//! were busy, then cold ones, then those that failed. Within a rank the one with the
//! lowest expected time wins, where an instance in another region is charged
//! [`REGION_PENALTY`]: bytes between regions are the most expensive resource that a
//! read uses, and a wait of that length costs callers less.

use std::time::{Duration, Instant};

use crate::position::Position;

use super::health::InstanceHealth;
use super::instance::{Instance, InstanceId, Lifecycle};

/// Additional expected time of a nearer instance at which a farther one is preferred.
const ZONE_PENALTY: Duration = Duration::from_millis(15);
/// As [`ZONE_PENALTY`], between regions.
const REGION_PENALTY: Duration = Duration::from_millis(60);
/// As [`ZONE_PENALTY`], at a primary.
const PRIMARY_PENALTY: Duration = Duration::from_millis(40);
/// Assumed time of a statement on an instance whose latency is not known.
const ASSUMED_LATENCY: Duration = Duration::from_millis(20);

/// Distance of an instance from the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same zone.
    Zone,
    /// In another zone of the same region.
    Region,
    /// In another region.
    Remote,
}

/// How healthy an instance has recently been; healthier ones come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthRank {
    /// No sign of a problem.
    Good,
    /// It had no free slot a moment ago.
    Busy,
    /// It reports that it has just started, and accepts few requests for now.
    Cold,
    /// It is leaving, or the pause after a failure has passed and it may be tried.
    Suspect,
}

/// An instance that might serve a read.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// The instance.
    pub instance: &'a Instance,
    /// Its health as observed from traffic.
    pub health: &'a InstanceHealth,
    /// Whether it is the known primary: only the primary can serve writes.
    pub is_primary: bool,
    /// Its distance from the node.
    pub distance: Distance,
    /// It accepts few requests for now.
    pub is_cold: bool,
}

impl Candidate<'_> {
    fn health_rank(&self, now: Instant) -> HealthRank {
        if self.health.is_failing() || self.instance.lifecycle == Lifecycle::Draining {
            HealthRank::Suspect
        } else if self.is_cold {
            HealthRank::Cold
        } else if self.health.is_busy(now) {
            HealthRank::Busy
        } else {
            HealthRank::Good
        }
    }

    fn expected_time(&self) -> Duration {
        let latency = self.health.latency().unwrap_or(ASSUMED_LATENCY);
        let capacity = self.instance.capacity.max(1) as f64;
        let load = 1.0 + self.health.in_flight() as f64 / capacity;
        let penalty = match self.distance {
            Distance::Zone => Duration::ZERO,
            Distance::Region => ZONE_PENALTY,
            Distance::Remote => REGION_PENALTY,
        };
        let penalty = penalty
            + if self.is_primary {
                PRIMARY_PENALTY
            } else {
                Duration::ZERO
            };
        latency.mul_f64(load) + penalty
    }
}

/// A chosen instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice<'a> {
    /// The instance to send the read to.
    pub instance: &'a Instance,
    /// It is the only candidate left.
    pub is_last: bool,
}

/// The best candidate for a read that requires a position, and is not in `excluded`. An
/// instance that failed a moment ago is avoided until its pause has passed.
pub fn choose<'a>(
    candidates: impl Iterator<Item = Candidate<'a>>,
    required: Position,
    excluded: &[InstanceId],
    now: Instant,
) -> Option<Choice<'a>> {
    let candidates: Vec<Candidate<'a>> = candidates
        .filter(|candidate| !excluded.contains(&candidate.instance.id))
        .filter(|candidate| !candidate.health.is_avoided(now))
        .filter(|candidate| candidate.is_primary || !candidate.health.lacks(required, now))
        .collect();
    let is_last = candidates.len() == 1;
    candidates
        .into_iter()
        .min_by_key(|candidate| (candidate.health_rank(now), candidate.expected_time()))
        .map(|candidate| Choice {
            instance: candidate.instance,
            is_last,
        })
}
