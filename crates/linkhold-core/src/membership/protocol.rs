//! State machine of the membership protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::member::{Member, MemberRecord, MemberState, NodeId};
use super::message::{Announcement, Message, Payload};
use super::probing::{Probe, RelayedProbe};
use super::updates::Updates;

/// Timing and size limits of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Interval between probes.
    pub probe_period: Duration,
    /// Time after which a probe is repeated through other members.
    pub direct_timeout: Duration,
    /// Number of members asked to probe on the node's behalf.
    pub indirect_probes: usize,
    /// Time within which a suspect has to refute.
    pub suspicion: Duration,
    /// Interval between gossip messages while updates are pending.
    pub gossip_period: Duration,
    /// Number of members that receive a gossip message.
    pub gossip_fanout: usize,
    /// Mean interval between anti-entropy exchanges.
    pub exchange_period: Duration,
    /// Time after which a dead member is removed.
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

/// A message to send.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// A change of a member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The member.
    pub node: NodeId,
    /// Its new state.
    pub state: MemberState,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Results of an event.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Messages to send.
    pub messages: Vec<OutgoingMessage>,
    /// Changes of members' states, in order.
    pub changes: Vec<MemberChange>,
}

/// One node's view of the membership, and its protocol state.
#[derive(Debug)]
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) own: MemberRecord,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) members: BTreeMap<NodeId, Member>,
    pub(super) probe_order: Vec<NodeId>,
    pub(super) probe: Option<Probe>,
    pub(super) relayed_probes: Vec<RelayedProbe>,
    updates: Updates,
    announcement: Announcement,
    announcements_left: u32,
    next_number: u64,
    next_probe: Duration,
    next_gossip: Duration,
    next_exchange: Duration,
}

impl Membership {
    /// Creates the state of a node that knows only its seeds. The incarnation of
    /// `own` must be higher than any that the node has used before, such as its start
    /// time.
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
            relayed_probes: Vec::new(),
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

    /// All other members, including dead ones until they are removed.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// A member; `None` if unknown or this node.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.get(&node)
    }

    /// Nodes that accept duties, including this node unless it is leaving.
    pub fn duty_nodes(&self) -> impl Iterator<Item = NodeId> {
        let own = (self.own.state == MemberState::Alive).then_some(self.own.node);
        let others = self
            .members
            .values()
            .filter(|member| member.accepts_duties());
        own.into_iter()
            .chain(others.map(|member| member.record.node))
    }

    /// Sets the announcement in every message, and gossips it until it has been sent
    /// often enough to spread.
    pub fn announce(&mut self, announcement: Announcement) {
        self.announcement = announcement;
        self.announcements_left = self.transmissions();
    }

    /// Takes over members from a list, like a node that starts with a recent view; for
    /// simulations of a fleet that has been running for some time.
    pub fn preload_members(&mut self, records: impl Iterator<Item = MemberRecord>, now: Duration) {
        for record in records.filter(|record| record.node != self.own.node) {
            let member = Member { record, since: now };
            self.members.insert(record.node, member);
        }
    }

    /// Announces that this node is about to stop.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
        self.own.incarnation += 1;
        self.updates.push(self.own);
    }

    /// Adds addresses to contact if the node has lost the fleet. They are used as
    /// hints only.
    pub fn add_seeds(&mut self, hints: impl IntoIterator<Item = SocketAddr>) {
        for hint in hints {
            if hint != self.own.address && !self.seeds.contains(&hint) {
                self.seeds.push(hint);
            }
        }
    }

    /// Time by which [`Membership::on_tick`] must be called.
    pub fn next_tick(&self) -> Duration {
        let probe = match self.probe {
            Some(probe) if !probe.is_indirect => self
                .next_probe
                .min(probe.sent_at + self.settings.direct_timeout),
            _ => self.next_probe,
        };
        let next = probe.min(self.next_exchange);
        if self.has_updates() {
            next.min(self.next_gossip)
        } else {
            next
        }
    }

    /// Runs the tasks that are due at `now`.
    pub fn on_tick(&mut self, now: Duration, random: &mut impl Rng) -> Output {
        let mut output = Output::default();
        self.expire(now, &mut output);
        self.probe_indirectly(now, random, &mut output);
        if now >= self.next_probe {
            self.finish_probe(now, &mut output);
            self.start_probe(now, random, &mut output);
            self.next_probe = now + self.settings.probe_period;
        }
        if now >= self.next_exchange {
            self.start_exchange(random, &mut output);
            self.next_exchange = now + self.jitter(self.settings.exchange_period, random);
        }
        if self.has_updates() && now >= self.next_gossip {
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
        // Gossip is never answered, so that two nodes that consider each other dead
        // do not exchange messages endlessly.
        if message.payload != Payload::Gossip {
            self.notify_overridden(&message.from, &mut output);
        }
        match message.payload {
            Payload::Ping { number } => self.send(sender, Payload::Ack { number }, &mut output),
            Payload::PingRequest { number, target } => {
                self.relay_probe(sender, number, target, now, &mut output);
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

    fn has_updates(&self) -> bool {
        !self.updates.is_empty() || self.announcements_left > 0
    }

    /// Number of times that a record is sent: grows with the logarithm of the fleet's
    /// size, so that the record reaches all nodes with high probability (SWIM, section
    /// 4.1).
    fn transmissions(&self) -> u32 {
        const FACTOR: u32 = 4;
        let size = u32::try_from(self.members.len() + 1).unwrap_or(u32::MAX);
        FACTOR * (u32::BITS - size.leading_zeros())
    }

    /// `period`, varied at random by up to 25% to spread exchanges over time.
    fn jitter(&self, period: Duration, random: &mut impl Rng) -> Duration {
        period.mul_f64(random.random_range(0.75..1.25))
    }

    /// Stores a record if it overrides the known one.
    pub(super) fn learn(&mut self, record: MemberRecord, now: Duration, output: &mut Output) {
        if record.node == self.own.node {
            self.refute(record);
            return;
        }
        let known = self.members.get(&record.node);
        let is_newer = known.is_none_or(|member| record.overrides(&member.record));
        // Nodes that never knew a dead member do not need to learn of it.
        let is_stale_death = known.is_none() && record.state == MemberState::Dead;
        if !is_newer || is_stale_death {
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

    /// Sends a sender that is considered suspect or dead its record, so that it can
    /// refute.
    fn notify_overridden(&mut self, sender: &MemberRecord, output: &mut Output) {
        let known = self.members.get(&sender.node).map(|member| member.record);
        if let Some(known) = known.filter(|known| known.overrides(sender)) {
            let message = self.message(Payload::Gossip, vec![known]);
            let to = sender.address;
            output.messages.push(OutgoingMessage { to, message });
        }
    }

    /// Overrides a wrong record about this node with a higher incarnation.
    fn refute(&mut self, record: MemberRecord) {
        if record.overrides(&self.own) {
            self.own.incarnation = record.incarnation + 1;
            self.updates.push(self.own);
        }
    }

    /// Declares suspects dead whose time to refute is over; removes members that have
    /// been dead for long.
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
        self.relayed_probes
            .retain(|relayed| now < relayed.expires_at);
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

    /// Sends a message that carries pending records (piggybacking).
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
