//! The protocol's state machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::member::{Member, MemberRecord, MemberState, NodeId};
use super::message::{Announcement, Message, Payload};
use super::probing::{Errand, Probe};
use super::updates::Updates;

/// Times and sizes of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Time from one probe to the next.
    pub probe_period: Duration,
    /// Time after which a probe is tried through other members.
    pub direct_timeout: Duration,
    /// Members asked to probe in the node's place.
    pub indirect_probes: usize,
    /// Time a suspect has to refute.
    pub suspicion: Duration,
    /// Time from one gossip message to the next, while there is news.
    pub gossip_period: Duration,
    /// Members a gossip message goes to.
    pub gossip_fanout: usize,
    /// Time from one anti-entropy exchange to the next.
    pub exchange_period: Duration,
    /// Time after which a dead member is forgotten.
    pub tombstone: Duration,
    /// Statements in one message; bounds its size.
    pub records_per_message: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion: Duration::from_secs(3),
            gossip_period: Duration::from_millis(200),
            gossip_fanout: 3,
            exchange_period: Duration::from_secs(30),
            tombstone: Duration::from_secs(600),
            records_per_message: 12,
        }
    }
}

/// A message to be sent.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// Where.
    pub to: SocketAddr,
    /// What.
    pub message: Message,
}

/// A change of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Who.
    pub node: NodeId,
    /// What it is now.
    pub state: MemberState,
    /// Its incarnation.
    pub incarnation: u64,
}

/// What came of an event.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Messages to send.
    pub messages: Vec<OutgoingMessage>,
    /// Changes of the view, in order.
    pub changes: Vec<MemberChange>,
}

/// Membership as one node sees it.
#[derive(Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) own: MemberRecord,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) members: BTreeMap<NodeId, Member>,
    pub(super) probe_order: Vec<NodeId>,
    pub(super) probe: Option<Probe>,
    pub(super) errands: Vec<Errand>,
    updates: Updates,
    announcement: Announcement,
    announcements_left: u32,
    next_number: u64,
    next_probe: Duration,
    next_gossip: Duration,
    next_exchange: Duration,
}

impl Membership {
    /// A node that knows its seeds only. The incarnation of `own` must be
    /// higher than any the node has used before, such as the time of its
    /// start.
    pub fn new(
        settings: MembershipSettings,
        own: MemberRecord,
        seeds: Vec<SocketAddr>,
        now: Duration,
    ) -> Self {
        Self {
            settings,
            own,
            seeds: seeds
                .into_iter()
                .filter(|seed| *seed != own.address)
                .collect(),
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            errands: Vec::new(),
            updates: Updates::default(),
            announcement: Announcement::default(),
            announcements_left: 0,
            next_number: 0,
            next_probe: now,
            next_gossip: now,
            next_exchange: now,
        }
    }

    /// The node's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// All other members, the dead included until they are forgotten.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// A member.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.get(&node)
    }

    /// Nodes that take duties, this one included unless it leaves.
    pub fn duty_nodes(&self) -> impl Iterator<Item = NodeId> {
        let own = (self.own.state == MemberState::Alive).then_some(self.own.node);
        let others = self.members.values().filter(|member| member.takes_duties());
        own.into_iter()
            .chain(others.map(|member| member.record.node))
    }

    /// Sets what every message announces, and spreads it while it is news.
    pub fn announce(&mut self, announcement: Announcement) {
        self.announcement = announcement;
        self.announcements_left = self.transmissions();
    }

    /// Takes members over from a list, as a node does that starts with a
    /// recent view; for simulations of a fleet that has been running.
    pub fn preload_members(&mut self, records: impl Iterator<Item = MemberRecord>, now: Duration) {
        for record in records.filter(|record| record.node != self.own.node) {
            let member = Member { record, since: now };
            self.members.insert(record.node, member);
        }
    }

    /// Tells the others that this node is about to stop.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
        self.own.incarnation += 1;
        self.updates.push(self.own);
    }

    /// Adds addresses to ask when the fleet must be found again; hints only.
    pub fn add_seeds(&mut self, hints: impl IntoIterator<Item = SocketAddr>) {
        for hint in hints {
            if hint != self.own.address && !self.seeds.contains(&hint) {
                self.seeds.push(hint);
            }
        }
    }

    /// Time at which [`Membership::on_tick`] has work at the latest.
    pub fn next_tick(&self) -> Duration {
        let probe = match self.probe {
            Some(probe) if !probe.asked_others => self
                .next_probe
                .min(probe.sent_at + self.settings.direct_timeout),
            _ => self.next_probe,
        };
        let next = probe.min(self.next_exchange);
        if self.has_news() {
            next.min(self.next_gossip)
        } else {
            next
        }
    }

    /// Does what is due.
    pub fn on_tick(&mut self, now: Duration, random: &mut impl Rng) -> Output {
        let mut output = Output::default();
        self.expire(now, &mut output);
        self.ask_others(now, random, &mut output);
        if now >= self.next_probe {
            self.finish_probe(now, &mut output);
            self.start_probe(now, random, &mut output);
            self.next_probe = now + self.settings.probe_period;
        }
        if now >= self.next_exchange {
            self.start_exchange(random, &mut output);
            self.next_exchange = now + self.spread(self.settings.exchange_period, random);
        }
        if self.has_news() && now >= self.next_gossip {
            self.gossip(random, &mut output);
            self.next_gossip = now + self.settings.gossip_period;
        }
        output
    }

    /// Handles a message.
    pub fn on_message(
        &mut self,
        message: &Message,
        now: Duration,
        random: &mut impl Rng,
    ) -> Output {
        let mut output = Output::default();
        self.learn(message.from, now, &mut output);
        for record in &message.records {
            self.learn(*record, now, &mut output);
        }
        let sender = message.from.address;
        // Gossip is never answered, so that two nodes that think the other
        // dead cannot keep each other busy.
        if message.payload != Payload::Gossip {
            self.tell_what_is_believed(&message.from, &mut output);
        }
        match message.payload {
            Payload::Ping { number } => self.send(sender, Payload::Ack { number }, &mut output),
            Payload::PingRequest { number, target } => {
                self.run_errand(sender, number, target, now, &mut output);
            }
            Payload::Ack { number } => self.on_ack(number, &mut output),
            Payload::Gossip => {}
            Payload::Exchange {
                digest,
                known,
                is_answer,
            } => {
                if digest != self.view_digest() {
                    self.answer_exchange(sender, known, is_answer, random, &mut output);
                }
            }
        }
        output
    }

    fn has_news(&self) -> bool {
        !self.updates.is_empty() || self.announcements_left > 0
    }

    /// Times a record is sent: grows with the logarithm of the fleet, so
    /// that it reaches all with high probability (SWIM, section 4.1).
    fn transmissions(&self) -> u32 {
        const FACTOR: u32 = 4;
        let size = u32::try_from(self.members.len() + 1).unwrap_or(u32::MAX);
        FACTOR * (u32::BITS - size.leading_zeros())
    }

    fn spread(&self, period: Duration, random: &mut impl Rng) -> Duration {
        period.mul_f64(random.random_range(0.75..1.25))
    }

    /// Takes a record in if it replaces what is known.
    pub(super) fn learn(&mut self, record: MemberRecord, now: Duration, output: &mut Output) {
        if record.node == self.own.node {
            self.refute(record);
            return;
        }
        let known = self.members.get(&record.node);
        let is_news = known.is_none_or(|member| record.overrides(&member.record));
        // The dead are not worth telling to those who never knew them.
        let is_stale_death = known.is_none() && record.state == MemberState::Dead;
        if !is_news || is_stale_death {
            return;
        }
        let changed = known.is_none_or(|member| member.record.state != record.state);
        self.members
            .insert(record.node, Member { record, since: now });
        self.updates.push(record);
        if changed {
            output.changes.push(MemberChange {
                node: record.node,
                state: record.state,
                incarnation: record.incarnation,
            });
        }
    }

    /// Lets a sender that is believed suspected or dead know it, so that it
    /// can refute.
    fn tell_what_is_believed(&mut self, sender: &MemberRecord, output: &mut Output) {
        let believed = self.members.get(&sender.node).map(|member| member.record);
        if let Some(believed) = believed.filter(|believed| believed.overrides(sender)) {
            let message = self.message(Payload::Gossip, vec![believed]);
            let to = sender.address;
            output.messages.push(OutgoingMessage { to, message });
        }
    }

    /// Answers a wrong record about this node with a newer incarnation.
    fn refute(&mut self, record: MemberRecord) {
        if record.overrides(&self.own) {
            self.own.incarnation = record.incarnation + 1;
            self.updates.push(self.own);
        }
    }

    /// Declares suspects dead whose time is over; forgets the long dead.
    fn expire(&mut self, now: Duration, output: &mut Output) {
        let suspicion = self.settings.suspicion;
        let dead: Vec<MemberRecord> = self
            .members
            .values()
            .filter(|member| member.record.state == MemberState::Suspect)
            .filter(|member| now >= member.since + suspicion)
            .map(|member| MemberRecord {
                state: MemberState::Dead,
                ..member.record
            })
            .collect();
        for record in dead {
            self.learn(record, now, output);
        }
        let tombstone = self.settings.tombstone;
        self.members
            .retain(|_, member| member.is_reachable() || now < member.since + tombstone);
        self.errands.retain(|errand| now < errand.until);
    }

    fn gossip(&mut self, random: &mut impl Rng, output: &mut Output) {
        let reachable = self.reachable_except(self.own.node);
        let targets: Vec<SocketAddr> = reachable
            .choose_multiple(random, self.settings.gossip_fanout)
            .map(|member| member.address)
            .collect();
        for address in targets {
            self.send(address, Payload::Gossip, output);
        }
        self.announcements_left = self.announcements_left.saturating_sub(1);
    }

    /// Sends a message with records on its back.
    pub(super) fn send(&mut self, to: SocketAddr, payload: Payload, output: &mut Output) {
        let limit = self.transmissions();
        let records = self.updates.take(self.settings.records_per_message, limit);
        let message = self.message(payload, records);
        output.messages.push(OutgoingMessage { to, message });
    }

    pub(super) fn message(&self, payload: Payload, records: Vec<MemberRecord>) -> Message {
        Message {
            from: self.own,
            payload,
            announcement: self.announcement,
            records,
        }
    }

    pub(super) fn new_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }
}
