//! What reaches instances that have just started, from this node.
//!
//! [`linkhold_core::service::warm_up`] decides; this keeps what it decides by, and
//! [`watch`] the connections that tell whether an instance was started again.
//! Services whose configuration names no limit cost nothing here.

mod watch;

use std::time::{Duration, Instant};

use linkhold_core::service::instance::Instance;
use linkhold_core::service::warm_up::{self, SpenderStanding, WarmUpLimit};
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::ports::Platform;
use crate::state::EntryKnown;

pub(crate) use watch::keep_watching;

/// How long a new connection waits for a proof that the instance was not started
/// again: three times the way between regions, there and back.
const PROOF_TIME: Duration = Duration::from_millis(130);
/// How often it looks.
const PROOF_LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// When to come back where this node will not be one that sends.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(300);

impl<P: Platform> Gateway<P> {
    /// What the service of an instance allows it while it is cold.
    fn warm_up_limit(&self, instance: &Instance) -> Option<WarmUpLimit> {
        self.beliefs.limits(&instance.service)?.warm_up
    }

    fn entry_known(&self, instance: &Instance) -> EntryKnown {
        EntryKnown {
            is_listed: self.beliefs.is_listed(&instance.id),
            says_cold: self.beliefs.is_cold(&instance.id),
            as_of: self.beliefs.directory_as_of(),
        }
    }

    /// Counts a statement that is about to be sent to an instance, or tells when
    /// this node may send one.
    pub(crate) fn admit_to_instance(
        &self,
        instance: &Instance,
        opened_at: Instant,
        is_urgent: bool,
    ) -> Result<(), Duration> {
        let Some(limit) = self.warm_up_limit(instance) else {
            return Ok(());
        };
        let rules = &self.settings.warm_up;
        let standing = self.spender_standing(instance);
        let now = Instant::now();
        let entry = self.entry_known(instance);
        let admitted = self.warm_ups.update(&instance.id, |known| {
            let is_warm = known.is_warm_on(opened_at, rules, entry, now);
            known.note_warmth(instance, is_warm, entry.says_cold);
            if is_warm {
                return Ok(());
            }
            if !warm_up::may_spend(standing) {
                return Err(ELSEWHERE_RETRY);
            }
            known.sent.spend(now, rules.part(limit), is_urgent)
        });
        if admitted.is_err() {
            self.metrics.refused_cold.add();
        }
        admitted
    }

    /// Has an instance proved warm for a connection that was opened after the last
    /// proof, if it was warm then.
    pub(crate) async fn prove_warm(&self, instance: &Instance, opened_at: Instant) {
        if self.warm_up_limit(instance).is_none() {
            return;
        }
        let deadline = Instant::now() + PROOF_TIME;
        while self.needs_proof(instance, opened_at) && Instant::now() < deadline {
            sleep(PROOF_LOOK_INTERVAL).await;
        }
    }

    /// Whether only the age of the last proof speaks against an instance; the next
    /// one is asked for.
    fn needs_proof(&self, instance: &Instance, opened_at: Instant) -> bool {
        let rules = &self.settings.warm_up;
        let entry = self.entry_known(instance);
        let now = Instant::now();
        self.warm_ups.update(&instance.id, |known| {
            let is_needed =
                known.may_be_warm(rules, entry, now) && !known.warmth.is_proved_since(opened_at);
            if is_needed {
                known.doubt.notify_one();
            }
            is_needed
        })
    }

    /// Waits until this node may send one more statement of an open transaction on a
    /// connection, but no longer than `deadline`.
    pub(crate) async fn wait_for_warm_up(
        &self,
        instance: &Instance,
        opened_at: Instant,
        deadline: Instant,
    ) {
        while let Some(wait) = self.warm_up_wait(instance, opened_at) {
            let now = Instant::now();
            if now + wait >= deadline {
                return;
            }
            sleep(wait).await;
        }
    }

    fn warm_up_wait(&self, instance: &Instance, opened_at: Instant) -> Option<Duration> {
        let limit = self.warm_up_limit(instance)?;
        let rules = &self.settings.warm_up;
        let now = Instant::now();
        let entry = self.entry_known(instance);
        self.warm_ups.update(&instance.id, |known| {
            if known.is_warm_on(opened_at, rules, entry, now) {
                return None;
            }
            // Tried on a copy: it is counted where it is sent.
            let mut sent = known.sent.clone();
            sent.spend(now, rules.part(limit), true).err()
        })
    }

    fn spender_standing(&self, instance: &Instance) -> SpenderStanding {
        let owners = self.pools.owners().of(instance);
        SpenderStanding {
            rank: owners.rank().filter(|_| self.fleet.knows_all_nodes()),
            view_age: self.beliefs.directory_age(),
            life_time: self.started_at.elapsed(),
            was_listed: self.fleet.was_listed(),
        }
    }
}
