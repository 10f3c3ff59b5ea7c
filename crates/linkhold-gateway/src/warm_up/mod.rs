//! Limits on the statements that this node sends to instances that have just started.
//!
//! [`linkhold_core::service::warm_up`] holds the rules; this module supplies their
//! inputs, and [`watch`] keeps the connections that show whether an instance was
//! restarted. Services without a limit in their configuration cost nothing here.

mod watch;

use std::time::{Duration, Instant};

use linkhold_core::service::instance::Instance;
use linkhold_core::service::warm_up::{self, SenderRank, WarmUpLimit};
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::ports::Platform;
use crate::state::KnownEntry;

pub(crate) use watch::watch_instances;

/// How long a new connection waits for a proof that the instance was not restarted:
/// three times the round trip between regions.
const PROOF_TIMEOUT: Duration = Duration::from_millis(130);
/// How often a connection that waits for a proof checks for it.
const PROOF_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time after which to retry where only other owners may send to the instance.
const OTHER_OWNER_RETRY: Duration = Duration::from_millis(300);

impl<P: Platform> Gateway<P> {
    /// The limit of an instance's service for cold instances; `None` if it has none.
    fn warm_up_limit(&self, instance: &Instance) -> Option<WarmUpLimit> {
        self.cluster.limits(&instance.service)?.warm_up
    }

    fn known_entry(&self, instance: &Instance) -> KnownEntry {
        KnownEntry {
            is_listed: self.cluster.is_listed(&instance.id),
            says_cold: self.cluster.is_cold(&instance.id),
            as_of: self.cluster.directory_as_of(),
        }
    }

    /// Counts a statement that is about to be sent to an instance; `Err` holds the time
    /// after which this node may send one.
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
        let rank = self.sender_rank(instance);
        let now = Instant::now();
        let entry = self.known_entry(instance);
        let admitted = self.warm_ups.update(&instance.id, |known| {
            let is_warm = known.is_warm_on(opened_at, rules, entry, now);
            known.log_warmth_change(instance, is_warm, entry.says_cold);
            if is_warm {
                return Ok(());
            }
            if !warm_up::may_send(rank) {
                return Err(OTHER_OWNER_RETRY);
            }
            known
                .sent
                .try_count(now, rules.sender_share(limit), is_urgent)
        });
        if admitted.is_err() {
            self.metrics.refused_cold.add();
        }
        admitted
    }

    /// Waits for a new proof that an instance is warm if it was warm at the last proof
    /// and the connection was opened after that.
    pub(crate) async fn wait_for_warm_proof(&self, instance: &Instance, opened_at: Instant) {
        if self.warm_up_limit(instance).is_none() {
            return;
        }
        let deadline = Instant::now() + PROOF_TIMEOUT;
        while self.needs_proof(instance, opened_at) && Instant::now() < deadline {
            sleep(PROOF_POLL_INTERVAL).await;
        }
    }

    /// Whether the instance counts as warm except that its last proof is older than the
    /// connection. Requests the next proof if so.
    fn needs_proof(&self, instance: &Instance, opened_at: Instant) -> bool {
        let rules = &self.settings.warm_up;
        let entry = self.known_entry(instance);
        let now = Instant::now();
        self.warm_ups.update(&instance.id, |known| {
            let is_needed =
                known.may_be_warm(rules, entry, now) && !known.warmth.is_answered_since(opened_at);
            if is_needed {
                known.needs_answer.notify_one();
            }
            is_needed
        })
    }

    /// Waits until this node may send one more statement of an open transaction on a
    /// connection. Returns early if that would be after `deadline`.
    pub(crate) async fn wait_for_warm_up_allowance(
        &self,
        instance: &Instance,
        opened_at: Instant,
        deadline: Instant,
    ) {
        while let Some(wait) = self.allowance_wait(instance, opened_at) {
            let now = Instant::now();
            if now + wait >= deadline {
                return;
            }
            sleep(wait).await;
        }
    }

    fn allowance_wait(&self, instance: &Instance, opened_at: Instant) -> Option<Duration> {
        let limit = self.warm_up_limit(instance)?;
        let rules = &self.settings.warm_up;
        let now = Instant::now();
        let entry = self.known_entry(instance);
        self.warm_ups.update(&instance.id, |known| {
            if known.is_warm_on(opened_at, rules, entry, now) {
                return None;
            }
            // Tried on a copy: the statement is counted when it is sent.
            let mut sent = known.sent.clone();
            sent.try_count(now, rules.sender_share(limit), true).err()
        })
    }

    fn sender_rank(&self, instance: &Instance) -> SenderRank {
        let owners = self.pools.owners().of(instance);
        SenderRank {
            rank: owners.rank().filter(|_| self.fleet.knows_all_nodes()),
            view_age: self.cluster.directory_age(),
            uptime: self.started_at.elapsed(),
            was_listed: self.fleet.was_listed(),
        }
    }
}
