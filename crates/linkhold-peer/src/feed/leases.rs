//! Encoding of recently claimed leases and of the records of earlier promotions.

use std::time::Duration;

use linkhold_core::position::Term;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::permission::RecentClaim;
use linkhold_core::service::primary_verification::PromotionRecord;
use minicbor::{Decode, Encode};

use crate::milliseconds;

#[derive(Encode, Decode)]
pub(super) struct WireClaim {
    #[n(0)]
    service: String,
    #[n(1)]
    successor: Option<String>,
    #[n(2)]
    age_ms: u64,
}

pub(super) fn claim_to_wire(claim: &RecentClaim) -> WireClaim {
    WireClaim {
        service: claim.service.to_string(),
        successor: claim.successor.as_ref().map(ToString::to_string),
        age_ms: milliseconds(claim.age),
    }
}

pub(super) fn claim_from_wire(wire: WireClaim) -> RecentClaim {
    RecentClaim {
        service: wire.service.into(),
        successor: wire.successor.map(|id| InstanceId(id.into())),
        age: Duration::from_millis(wire.age_ms),
    }
}

#[derive(Encode, Decode)]
pub(super) struct WirePromotionRecord {
    #[n(0)]
    service: String,
    #[n(1)]
    proved_term: Option<u64>,
    #[n(2)]
    claimed: Vec<String>,
}

pub(super) fn promotion_record_to_wire(
    known: &(ServiceName, PromotionRecord),
) -> WirePromotionRecord {
    let (service, record) = known;
    WirePromotionRecord {
        service: service.to_string(),
        proved_term: record.proved_term.map(|term| term.0),
        claimed: record.claimed.iter().map(ToString::to_string).collect(),
    }
}

pub(super) fn promotion_record_from_wire(
    wire: WirePromotionRecord,
) -> (ServiceName, PromotionRecord) {
    let claimed = wire.claimed.into_iter().map(|id| InstanceId(id.into()));
    let record = PromotionRecord {
        proved_term: wire.proved_term.map(Term),
        claimed: claimed.collect(),
    };
    (wire.service.into(), record)
}
