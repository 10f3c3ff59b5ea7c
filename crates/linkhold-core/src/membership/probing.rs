//! Direct and indirect probing of members (SWIM, sections 3.1 and 4.2).

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use super::member::{MemberRecord, MemberState, NodeId};
use super::message::Payload;
use super::protocol::{Membership, Output};

/// The probe that has not been answered yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub number: u64,
    pub target: NodeId,
    pub sent_at: Duration,
    pub is_indirect: bool,
}

/// A probe sent on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedProbe {
    pub number: u64,
    pub origin: SocketAddr,
    pub origin_number: u64,
    pub expires_at: Duration,
}

impl Membership {
    pub(super) fn start_probe(
        &mut self,
        now: Duration,
        random: &mut impl Rng,
        output: &mut Output,
    ) {
        let Some(target) = self.next_target(random) else {
            return;
        };
        let number = self.new_number();
        self.probe = Some(Probe {
            number,
            target: target.node,
            sent_at: now,
            is_indirect: false,
        });
        self.send(target.address, Payload::Ping { number }, output);
        // Sends a suspect its record, so that it can refute at once.
        if target.state == MemberState::Suspect
            && let Some(sent) = output.messages.last_mut()
        {
            sent.message.records.push(target);
        }
    }

    /// Next member to probe: round-robin over a list that is shuffled before each
    /// round.
    pub(super) fn next_target(&mut self, random: &mut impl Rng) -> Option<MemberRecord> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self
                    .members
                    .values()
                    .filter(|member| member.is_reachable())
                    .map(|member| member.record.node)
                    .collect();
                self.probe_order.shuffle(random);
            }
            let node = self.probe_order.pop()?;
            if let Some(member) = self
                .members
                .get(&node)
                .filter(|member| member.is_reachable())
            {
                return Some(member.record);
            }
        }
    }

    /// Asks other members to probe a target that has not answered in time. One of
    /// them is in the target's own zone if possible, so that a fault between zones
    /// is not mistaken for the target's failure.
    pub(super) fn probe_indirectly(
        &mut self,
        now: Duration,
        random: &mut impl Rng,
        output: &mut Output,
    ) {
        let Some(probe) = self.probe else {
            return;
        };
        let is_due = !probe.is_indirect && now >= probe.sent_at + self.settings.direct_timeout;
        if !is_due {
            return;
        }
        self.probe = Some(Probe {
            is_indirect: true,
            ..probe
        });
        let zone = self
            .members
            .get(&probe.target)
            .map(|member| member.record.zone);
        let mut helpers = self.reachable_except(probe.target);
        helpers.shuffle(random);
        if let Some(same_zone) = helpers.iter().position(|helper| Some(helper.zone) == zone) {
            helpers.swap(0, same_zone);
        }
        helpers.truncate(self.settings.indirect_probes);
        for helper in helpers {
            let payload = Payload::PingRequest {
                number: probe.number,
                target: probe.target,
            };
            self.send(helper.address, payload, output);
        }
    }

    pub(super) fn reachable_except(&self, excluded: NodeId) -> Vec<MemberRecord> {
        self.members
            .values()
            .filter(|member| member.is_reachable() && member.record.node != excluded)
            .map(|member| member.record)
            .collect()
    }

    /// Suspects the target of a probe that was not answered to any member.
    pub(super) fn finish_probe(&mut self, now: Duration, output: &mut Output) {
        let Some(probe) = self.probe.take() else {
            return;
        };
        let Some(member) = self.members.get(&probe.target) else {
            return;
        };
        let suspect = MemberRecord {
            state: MemberState::Suspect,
            ..member.record
        };
        self.learn(suspect, now, output);
    }

    pub(super) fn on_ack(&mut self, number: u64, output: &mut Output) {
        if self.probe.is_some_and(|probe| probe.number == number) {
            self.probe = None;
            return;
        }
        if let Some(index) = self
            .relayed_probes
            .iter()
            .position(|relayed| relayed.number == number)
        {
            let relayed = self.relayed_probes.swap_remove(index);
            let payload = Payload::Ack {
                number: relayed.origin_number,
            };
            self.send(relayed.origin, payload, output);
        }
    }

    pub(super) fn relay_probe(
        &mut self,
        origin: SocketAddr,
        origin_number: u64,
        target: NodeId,
        now: Duration,
        output: &mut Output,
    ) {
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let address = member.record.address;
        let number = self.new_number();
        self.relayed_probes.push(RelayedProbe {
            number,
            origin,
            origin_number,
            expires_at: now + self.settings.probe_period,
        });
        self.send(address, Payload::Ping { number }, output);
    }
}
