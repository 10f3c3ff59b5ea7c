//! Whether a caller's statement may be sent to an instance at all. Placement,
//! the choice of a primary and the last step before sending ask the same.
//!
//! # Invariants
//!
//! * A request runs in a region that it allows, or nowhere.
//! * An instance of an evacuated zone gets no new work, and nothing once the time
//!   for open work has passed.

use thiserror::Error;

use super::evacuation::ZoneState;

/// How a statement is bound to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementBinding {
    /// Not yet: another instance would do.
    Unbound,
    /// Only this instance will do: it holds the transaction, or is the primary.
    Bound,
}

/// Why a statement may not be sent to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Ineligible {
    /// The instance stands outside the regions that the request allows.
    #[error("outside the allowed regions")]
    OutsideRegions,
    /// The instance's zone is evacuated.
    #[error("in a zone that is evacuated")]
    Evacuated,
}

/// What decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EligibilityFacts {
    /// The instance's region is one that the request allows.
    pub is_in_regions: bool,
    /// What the instance's zone allows.
    pub zone: ZoneState,
}

/// Whether a statement may be sent.
pub fn check(standing: EligibilityFacts, engagement: StatementBinding) -> Result<(), Ineligible> {
    if !standing.is_in_regions {
        return Err(Ineligible::OutsideRegions);
    }
    match (standing.zone, engagement) {
        (ZoneState::InService, _) | (ZoneState::Draining, StatementBinding::Bound) => Ok(()),
        (ZoneState::Draining, StatementBinding::Unbound) | (ZoneState::Closed, _) => {
            Err(Ineligible::Evacuated)
        }
    }
}
