//! Anti-entropy: members compare digests of their views and send each other
//! records if the digests differ.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::member::MemberRecord;
use super::message::Payload;
use super::protocol::{Membership, OutgoingMessage, Output};

impl Membership {
    /// Compares views with a random member, and sometimes with a seed or a member
    /// considered dead, so that the sides of a partitioned fleet find each other again.
    pub(super) fn start_exchange(&mut self, random: &mut impl Rng, output: &mut Output) {
        /// Fraction of exchanges that go to a seed or an unreachable member.
        const UNREACHABLE_FRACTION: f64 = 0.25;
        let reachable = self.reachable_except(self.own.node);
        let mut unreachable_or_seeds: Vec<SocketAddr> = self
            .members
            .values()
            .filter(|member| !member.is_reachable())
            .map(|member| member.record.address)
            .collect();
        unreachable_or_seeds.extend(&self.seeds);
        let tries_unreachable = reachable.is_empty() || random.random_bool(UNREACHABLE_FRACTION);
        let reachable_address = reachable.choose(random).map(|member| member.address);
        let target = if tries_unreachable {
            unreachable_or_seeds
                .choose(random)
                .copied()
                .or(reachable_address)
        } else {
            reachable_address
        };
        if let Some(address) = target {
            let payload = self.exchange_payload(false);
            self.send(address, payload, output);
        }
    }

    pub(super) fn exchange_payload(&self, is_answer: bool) -> Payload {
        Payload::Exchange {
            digest: self.view_digest(),
            known: self.known_members(),
            is_answer,
        }
    }

    /// Number of known members, including this node.
    pub(super) fn known_members(&self) -> u32 {
        u32::try_from(self.members.len() + 1).unwrap_or(u32::MAX)
    }

    /// Digest of all records, independent of their order.
    pub(super) fn view_digest(&self) -> u64 {
        let others = self.members.values().map(|member| member.record);
        others
            .chain([self.own])
            .map(|record| record.digest())
            .fold(0, u64::wrapping_add)
    }

    /// Sends some records, or all records to a node that knows few members, and lets
    /// the peer do the same once.
    pub(super) fn answer_exchange(
        &mut self,
        to: SocketAddr,
        known_by_peer: u32,
        is_answer: bool,
        random: &mut impl Rng,
        output: &mut Output,
    ) {
        /// Most messages sent to a node that knows at least half of the members.
        const MAX_MESSAGES: usize = 8;
        if !is_answer {
            let payload = self.exchange_payload(true);
            self.send(to, payload, output);
        }
        let mut records: Vec<MemberRecord> =
            self.members.values().map(|member| member.record).collect();
        records.shuffle(random);
        let per_message = self.settings.records_per_message;
        let knows_few = known_by_peer < self.known_members() / 2;
        if !knows_few {
            records.truncate(MAX_MESSAGES * per_message);
        }
        for chunk in records.chunks(per_message) {
            let message = self.message(Payload::Gossip, chunk.to_vec());
            output.messages.push(OutgoingMessage { to, message });
        }
    }
}
