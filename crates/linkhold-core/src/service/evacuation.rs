//! Zones that the operator has evacuated: nothing is sent to their instances.
//!
//! # Invariants
//!
//! * Knowledge never goes back: an older revision of the store changes nothing
//!   ([`Evacuations::replace`], [`Evacuations::apply`]). A store that was restored from
//!   an older copy may have lost an evacuation that it acknowledged: what is evacuated
//!   stays so until changes in the new era take it back, or for
//!   [`LOST_EVACUATION_PERIOD`] if they never mention it.
//! * An evacuation was acknowledged after the last moment as of which this node knew
//!   that there was none. Open work ends within [`OPEN_WORK_PERCENT`] of the bound from
//!   that moment, however late the node learns of the evacuation.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::store_revision::StoreRevision;

/// Name of a zone.
pub type ZoneName = Arc<str>;

/// Part of the bound on evacuations in which open work may go on, in percent. The rest
/// is for statements that are on their way to an instance.
pub const OPEN_WORK_PERCENT: u32 = 40;

/// How long an evacuation that the store has lost stays in force: operators have two
/// minutes to request it again.
pub const LOST_EVACUATION_PERIOD: Duration = Duration::from_secs(120);

/// A zone that is evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// When this node learnt of it.
    pub learnt_at: Instant,
    /// Until when open work may go on there.
    pub open_work_until: Instant,
}

/// What may be sent to a zone's instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneState {
    /// Everything: the zone is not evacuated.
    InService,
    /// Statements of open work, and those for the primary until another instance is
    /// primary.
    Draining,
    /// Nothing.
    Closed,
}

/// A change of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// It is evacuated.
    Evacuated(ZoneName),
    /// The evacuation is taken back.
    TakenBack(ZoneName),
}

/// All zones that are evacuated, as far as a node knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// Revision of the store up to which they are known.
    as_of: StoreRevision,
    /// The last moment as of which they were confirmed.
    confirmed_at: Option<Instant>,
    zones: BTreeMap<ZoneName, Evacuation>,
    /// Evacuations that the store has lost, and until when they stay in force.
    lost: BTreeMap<ZoneName, Instant>,
}

impl Evacuations {
    /// Takes in all evacuated zones as of a revision of the store; returns what has
    /// changed.
    pub fn replace(
        &mut self,
        as_of: StoreRevision,
        zones: impl IntoIterator<Item = ZoneName>,
        bound: Duration,
        now: Instant,
    ) -> Vec<EvacuationChange> {
        let listed: Vec<ZoneName> = zones.into_iter().collect();
        self.lost.retain(|zone, _| !listed.contains(zone));
        if as_of.era() > self.as_of.era() {
            self.mark_lost(&listed, now);
        }
        let known = self.zones.keys();
        let withdrawn = known
            .filter(|zone| !listed.contains(zone) && !self.lost.contains_key(*zone))
            .cloned()
            .map(EvacuationChange::TakenBack);
        let mut changes: Vec<EvacuationChange> = withdrawn.collect();
        changes.extend(listed.into_iter().map(EvacuationChange::Evacuated));
        self.apply(as_of, changes, bound, now)
    }

    /// Takes in changes up to a revision of the store; returns those that were not
    /// known.
    pub fn apply(
        &mut self,
        as_of: StoreRevision,
        changes: impl IntoIterator<Item = EvacuationChange>,
        bound: Duration,
        now: Instant,
    ) -> Vec<EvacuationChange> {
        if as_of < self.as_of {
            return Vec::new();
        }
        self.as_of = as_of;
        let is_change = |change: &EvacuationChange| match change {
            EvacuationChange::Evacuated(zone) => {
                self.lost.remove(zone);
                self.evacuate(zone, bound, now)
            }
            EvacuationChange::TakenBack(zone) => {
                self.lost.remove(zone);
                self.zones.remove(zone).is_some()
            }
        };
        changes.into_iter().filter(is_change).collect()
    }

    /// Marks evacuations as lost after the store was restored from a copy that lists
    /// only these zones.
    fn mark_lost(&mut self, listed: &[ZoneName], now: Instant) {
        let lost = self.zones.keys().filter(|zone| !listed.contains(zone));
        for zone in lost {
            self.lost.insert(zone.clone(), now + LOST_EVACUATION_PERIOD);
        }
    }

    /// Ends evacuations that the store has lost and that were not requested again in
    /// time; returns these.
    pub fn expire_lost(&mut self, now: Instant) -> Vec<EvacuationChange> {
        let is_over = |(_, until): &(&ZoneName, &Instant)| now >= **until;
        let over: Vec<ZoneName> = self
            .lost
            .iter()
            .filter(is_over)
            .map(|(zone, _)| zone.clone())
            .collect();
        for zone in &over {
            self.lost.remove(zone);
            self.zones.remove(zone);
        }
        over.into_iter().map(EvacuationChange::TakenBack).collect()
    }

    fn evacuate(&mut self, zone: &ZoneName, bound: Duration, now: Instant) -> bool {
        if self.zones.contains_key(zone) {
            return false;
        }
        let open_work = bound * OPEN_WORK_PERCENT / 100;
        let evacuation = Evacuation {
            learnt_at: now,
            open_work_until: self.confirmed_at.map_or(now, |at| at + open_work),
        };
        self.zones.insert(zone.clone(), evacuation);
        true
    }

    /// Confirms that the known evacuations were complete at a moment.
    pub fn confirm_as_of(&mut self, moment: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(moment));
    }

    /// What may be sent to a zone's instances.
    pub fn state(&self, zone: &str, now: Instant) -> ZoneState {
        match self.zones.get(zone) {
            None => ZoneState::InService,
            Some(evacuation) if now < evacuation.open_work_until => ZoneState::Draining,
            Some(_) => ZoneState::Closed,
        }
    }

    /// Whether nothing may be sent to a zone's instances any more.
    pub fn is_closed(&self, zone: &str, now: Instant) -> bool {
        self.state(zone, now) == ZoneState::Closed
    }

    /// The zones that are evacuated.
    pub fn zones(&self) -> impl Iterator<Item = (&ZoneName, &Evacuation)> {
        self.zones.iter()
    }

    /// Whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Revision of the store up to which the evacuations are known.
    pub fn as_of(&self) -> StoreRevision {
        self.as_of
    }
}
