//! Probing of members, directly and through others (SWIM, sections 3.1 and
//! 4.2).

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;

use super::member::{MemberRecord, MemberState, NodeId};
use super::message::Payload;
use super::protocol::{Membership, Output};

/// A probe without an answer yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub number: u64,
    pub target: NodeId,
    pub sent_at: Duration,
    pub asked_others: bool,
}

/// A probe made for another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Errand {
    pub number: u64,
    pub for_address: SocketAddr,
    pub for_number: u64,
    pub until: Duration,
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
            asked_others: false,
        });
        self.send(target.address, Payload::Ping { number }, output);
        // A suspect learns at once that it has to refute.
        if target.state == MemberState::Suspect
            && let Some(sent) = output.messages.last_mut()
        {
            sent.message.records.push(target);
        }
    }

    /// Round-robin over a shuffled list, shuffled anew after each round.
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

    /// Asks other members to probe a target that has not answered in time,
    /// one of them in the target's own zone if there is one: a fault between
    /// zones then does not look like the target's death.
    pub(super) fn ask_others(&mut self, now: Duration, random: &mut impl Rng, output: &mut Output) {
        let Some(probe) = self.probe else {
            return;
        };
        let is_due = !probe.asked_others && now >= probe.sent_at + self.settings.direct_timeout;
        if !is_due {
            return;
        }
        self.probe = Some(Probe {
            asked_others: true,
            ..probe
        });
        let zone = self
            .members
            .get(&probe.target)
            .map(|member| member.record.zone);
        let mut helpers = self.reachable_except(probe.target);
        helpers.shuffle(random);
        if let Some(neighbour) = helpers.iter().position(|helper| Some(helper.zone) == zone) {
            helpers.swap(0, neighbour);
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

    /// Suspects the target of a probe that nobody got an answer to.
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
            .errands
            .iter()
            .position(|errand| errand.number == number)
        {
            let errand = self.errands.swap_remove(index);
            let payload = Payload::Ack {
                number: errand.for_number,
            };
            self.send(errand.for_address, payload, output);
        }
    }

    pub(super) fn run_errand(
        &mut self,
        for_address: SocketAddr,
        for_number: u64,
        target: NodeId,
        now: Duration,
        output: &mut Output,
    ) {
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let address = member.record.address;
        let number = self.new_number();
        self.errands.push(Errand {
            number,
            for_address,
            for_number,
            until: now + self.settings.probe_period,
        });
        self.send(address, Payload::Ping { number }, output);
    }
}
