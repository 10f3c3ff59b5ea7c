//! Whether a caller's statement may be sent to an instance at all. Placement, the
//! choice of a primary and the last step before sending all use this check.
//!
//! # Invariants
//!
//! * A request runs in a region that it allows, or nowhere.
//! * An instance of an evacuated zone gets no new work, and nothing once the time for
//!   open work has passed.

use thiserror::Error;

use super::evacuation::ZoneState;

/// Whether a statement is bound to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementBinding {
    /// It is not: another instance can run it.
    Unbound,
    /// Only this instance can run it: it holds the transaction, or is the primary.
    Bound,
}

/// Why a statement may not be sent to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Ineligible {
    /// The instance is outside the regions that the request allows.
    #[error("outside the allowed regions")]
    OutsideRegions,
    /// The instance's zone is evacuated.
    #[error("in a zone that is evacuated")]
    Evacuated,
}

/// The facts that decide whether a statement may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EligibilityFacts {
    /// The instance's region is one that the request allows.
    pub is_in_regions: bool,
    /// State of the instance's zone.
    pub zone: ZoneState,
}

/// Whether a statement may be sent to an instance.
pub fn check(facts: EligibilityFacts, binding: StatementBinding) -> Result<(), Ineligible> {
    if !facts.is_in_regions {
        return Err(Ineligible::OutsideRegions);
    }
    match (facts.zone, binding) {
        (ZoneState::InService, _) | (ZoneState::Draining, StatementBinding::Bound) => Ok(()),
        (ZoneState::Draining, StatementBinding::Unbound) | (ZoneState::Closed, _) => {
            Err(Ineligible::Evacuated)
        }
    }
}
