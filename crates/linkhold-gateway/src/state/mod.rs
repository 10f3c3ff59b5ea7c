//! What a node holds for the tasks and requests that share it.
//!
//! Nothing here uses [`crate::Gateway`], which owns one of each: what acts on them
//! (asks, tells, decides) stands in modules that do.

mod awaited;
mod fleet;
mod forwarding;
mod own_row;
mod peers;
mod primary_verifications;
mod promotion_records;
mod questions;
mod reader_link;
mod relays;
mod sources;
mod warm_ups;

pub(crate) use awaited::AwaitedAnswers;
pub(crate) use fleet::{AdoptedFleet, Fleet, FleetSource, ReaderAddresses};
pub(crate) use forwarding::Forwarding;
pub(crate) use own_row::OwnRow;
pub(crate) use peers::{Confirmation, PeerAnswer, Peers};
pub(crate) use primary_verifications::{PrimaryVerifications, UnansweredVerification};
pub(crate) use promotion_records::PromotionRecords;
pub(crate) use questions::Questions;
pub(crate) use reader_link::ReaderLink;
pub(crate) use relays::{RelayPeer, Relays};
pub(crate) use sources::{ReadReason, Sources};
pub(crate) use warm_ups::{KnownEntry, WarmUps};
