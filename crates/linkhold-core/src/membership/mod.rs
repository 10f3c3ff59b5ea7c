//! Membership of the fleet by SWIM.
//!
//! Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", DSN 2002, with the
//! suspicion mechanism (section 4.2), incarnation numbers and round-robin
//! probing (section 4.3), and two additions: updates also travel in gossip
//! messages of their own while there is news, and nodes exchange all they
//! know with a random peer now and then (anti-entropy), which mends what
//! gossip lost and joins halves of a fleet that was split.
//!
//! [`Membership`] is pure: [`Membership::on_message`] and
//! [`Membership::on_tick`] take the time and return messages to send.
//!
//! # Invariants
//!
//! * Of two records about a member the one with the higher incarnation
//!   holds; with equal incarnations the more severe one. Only the member
//!   itself raises its incarnation, so it can always refute.
//! * A live member that hears that it is suspected or dead refutes with a
//!   higher incarnation, so it is never dead for good.

mod exchange;
mod member;
mod message;
mod probing;
mod protocol;
mod updates;

pub use member::{Member, MemberRecord, MemberState, NodeId};
pub use message::{Announcement, Message, Payload};
pub use protocol::{MemberChange, Membership, MembershipSettings, OutgoingMessage, Output};
