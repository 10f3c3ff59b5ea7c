//! State of a node that its tasks and requests share.
//!
//! Nothing here uses [`crate::Gateway`], which owns one of each type. Code that acts on
//! the state (sends messages, makes decisions) is in the modules that use the gateway.

mod awaited;
mod evidence_questions;
mod fleet;
mod forwarding;
mod log_groups;
mod own_row;
mod peers;
mod primary_verifications;
mod promotion_records;
mod reader_link;
mod relays;
mod sources;
mod warm_ups;

pub(crate) use awaited::AwaitedAnswers;
pub(crate) use evidence_questions::EvidenceQuestions;
pub(crate) use fleet::{AdoptedFleet, Fleet, FleetSource, ReaderAddresses};
pub(crate) use forwarding::Forwarding;
pub(crate) use log_groups::LogGroups;
pub(crate) use own_row::OwnRow;
pub(crate) use peers::{Confirmation, PeerAnswer, Peers};
pub(crate) use primary_verifications::{PrimaryVerifications, UnansweredVerification};
pub(crate) use promotion_records::PromotionRecords;
pub(crate) use reader_link::ReaderLink;
pub(crate) use relays::{RelayPeer, Relays};
pub(crate) use sources::{ReadReason, Sources};
pub(crate) use warm_ups::{KnownEntry, WarmUps};
