//! Membership of the fleet by SWIM.
//!
//! Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", DSN 2002, with the
//! suspicion mechanism (section 4.2), incarnation numbers and round-robin
//! probing (section 4.3), and two additions: pending updates also travel in
//! gossip messages of their own, and nodes periodically compare their views with
//! a random peer and exchange records (anti-entropy), which repairs what gossip
//! lost and reunites a fleet that was partitioned.
//!
//! [`Membership`] is pure: [`Membership::on_message`] and
//! [`Membership::on_tick`] take the current time and return messages to send.
//!
//! # Invariants
//!
//! * Of two records about a member the one with the higher incarnation
//!   overrides the other; with equal incarnations, the more severe state does.
//!   Only the member itself raises its incarnation, so it can always refute.
//! * A live member that receives a record of itself as suspect or dead refutes it
//!   with a higher incarnation, so it never stays dead.

mod exchange;
mod member;
mod message;
mod probing;
mod protocol;
mod updates;

pub use member::{Member, MemberRecord, MemberState, NodeId};
pub use message::{Announcement, Message, Payload};
pub use protocol::{MemberChange, Membership, MembershipSettings, OutgoingMessage, Output};
