//! Anti-entropy: members compare digests of their views and tell each other
//! what differs.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::member::MemberRecord;
use super::message::Payload;
use super::protocol::{Membership, OutgoingMessage, Output};

impl Membership {
    /// Compares views with a random member, and now and then with a seed or a
    /// member believed dead, so that a split fleet finds together again.
    pub(super) fn start_exchange(&mut self, random: &mut impl Rng, output: &mut Output) {
        const OUTSIDE_SHARE: f64 = 0.25;
        let reachable = self.reachable_except(self.own.node);
        let mut outside: Vec<SocketAddr> = self
            .members
            .values()
            .filter(|member| !member.is_reachable())
            .map(|member| member.record.address)
            .collect();
        outside.extend(&self.seeds);
        let go_outside = reachable.is_empty() || random.random_bool(OUTSIDE_SHARE);
        let inside = reachable.choose(random).map(|member| member.address);
        let target = if go_outside {
            outside.choose(random).copied().or(inside)
        } else {
            inside
        };
        if let Some(address) = target {
            let payload = self.exchange_payload(false);
            self.send(address, payload, output);
        }
    }

    pub(super) fn exchange_payload(&self, is_answer: bool) -> Payload {
        Payload::Exchange {
            digest: self.view_digest(),
            known: self.known(),
            is_answer,
        }
    }

    pub(super) fn known(&self) -> u32 {
        u32::try_from(self.members.len() + 1).unwrap_or(u32::MAX)
    }

    /// Digest of all records, the same for any order.
    pub(super) fn view_digest(&self) -> u64 {
        let others = self.members.values().map(|member| member.record);
        others
            .chain([self.own])
            .map(|record| record.digest())
            .fold(0, u64::wrapping_add)
    }

    /// Sends part of what is known, or all of it to a node that knows little,
    /// and lets the other side do the same once.
    pub(super) fn answer_exchange(
        &mut self,
        to: SocketAddr,
        known_there: u32,
        is_answer: bool,
        random: &mut impl Rng,
        output: &mut Output,
    ) {
        /// Messages sent to a node that knows most members already.
        const MOST_MESSAGES: usize = 8;
        if !is_answer {
            let payload = self.exchange_payload(true);
            self.send(to, payload, output);
        }
        let mut records: Vec<MemberRecord> =
            self.members.values().map(|member| member.record).collect();
        records.shuffle(random);
        let per_message = self.settings.records_per_message;
        let knows_little = known_there < self.known() / 2;
        if !knows_little {
            records.truncate(MOST_MESSAGES * per_message);
        }
        for chunk in records.chunks(per_message) {
            let message = self.message(Payload::Gossip, chunk.to_vec());
            output.messages.push(OutgoingMessage { to, message });
        }
    }
}
