//! Proves what the members of a log group have received, so that the record can change:
//! a lost log counts again, a member that has ended is removed, and a raised number of
//! synchronous replicas is promised.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use linkhold_core::position::Position;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::log_group::{
    LOST_MEMBER_RETENTION, LogGroup, LogMember, LogProof, LogState,
};
use linkhold_events::Event;
use tokio::time::sleep;

use super::is_recorded;
use super::record::change;
use crate::evidence::{probe, survey};
use crate::failover::is_recorder;
use crate::gateway::Gateway;
use crate::ports::Platform;

/// How often groups are checked for something to prove.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long evidence of the primary's log is waited for.
const EVIDENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often the instances are asked whether they have received what was proved, and the
/// pause in between: replicas receive a commit within some ten milliseconds.
const SURVEYS: usize = 4;
const SURVEY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of groups that are surveyed at once.
const MAX_CONCURRENT: usize = 16;

/// Since when members of a group have not been listed.
#[derive(Debug, Default)]
struct Absences(HashMap<InstanceId, Instant>);

/// Proves what the groups need for which this node is the recorder. Runs until the
/// process ends.
pub(crate) async fn keep_proved<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut absences: HashMap<ServiceName, Absences> = HashMap::new();
    loop {
        sleep(CHECK_INTERVAL).await;
        let mut services = gateway.cluster.services_that_forbid_loss();
        services.retain(|service| is_recorder(&gateway, service));
        absences.retain(|service, _| services.contains(service));
        let mut due = Vec::new();
        for service in services {
            let Some(group) = gateway.log_groups.latest(&service) else {
                continue;
            };
            let absences = absences.entry(service.clone()).or_default();
            let ended = absences.update(&gateway, &group);
            if is_recorded(&gateway, &service) && needs_proof(&gateway, &service, &group, &ended) {
                due.push((service, group, ended));
            }
        }
        let proofs = due
            .into_iter()
            .map(|(service, group, ended)| prove(&gateway, service, group, ended));
        let mut proofs = futures::stream::iter(proofs).buffer_unordered(MAX_CONCURRENT);
        while proofs.next().await.is_some() {}
    }
}

impl Absences {
    /// Updates the absences by the list of instances; returns the members that have ended.
    /// While entries may be missing because the store lost them, nothing is absent.
    fn update<P: Platform>(&mut self, gateway: &Gateway<P>, group: &LogGroup) -> Vec<InstanceId> {
        let now = Instant::now();
        if !gateway.cluster.is_directory_settled(now) {
            self.0.clear();
            return Vec::new();
        }
        let is_absent = |member: &&LogMember| !gateway.cluster.is_listed(&member.id);
        let absent: Vec<&LogMember> = group.members.iter().filter(is_absent).collect();
        self.0
            .retain(|id, _| absent.iter().any(|member| member.id == *id));
        let mut ended = Vec::new();
        for member in absent {
            let since = *self.0.entry(member.id.clone()).or_insert(now);
            let ends_after = match member.is_leaving {
                true => gateway.settings.drain,
                false => LOST_MEMBER_RETENTION,
            };
            if now.saturating_duration_since(since) >= ends_after {
                ended.push(member.id.clone());
            }
        }
        ended
    }
}

/// Whether a proof may change the record of a service.
fn needs_proof<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    group: &LogGroup,
    ended: &[InstanceId],
) -> bool {
    let has_lost = |member: &LogMember| member.state == LogState::Lost;
    !ended.is_empty()
        || group.synchronous < gateway.cluster.guaranteed_replicas(service)
        || group.members.iter().any(has_lost)
}

/// Asks the primary for the end of its log and then all instances for their positions,
/// and changes the record by what that proves.
async fn prove<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: ServiceName,
    group: LogGroup,
    ended: Vec<InstanceId>,
) {
    // Everything that changed before now is covered by evidence from now on.
    let since = Instant::now();
    let synchronous = gateway.cluster.guaranteed_replicas(&service);
    let deadline = since + EVIDENCE_TIMEOUT;
    let Some(position) = probe::fence(gateway, &service, since, deadline).await else {
        return;
    };
    let reached = wait_until_reached(gateway, &service, position).await;
    let is_unlisted = |id: &InstanceId| !gateway.cluster.is_listed(id);
    let proof = LogProof {
        reached,
        ended: ended.into_iter().filter(is_unlisted).collect(),
        synchronous,
    };
    let mut proved = group.clone();
    proved.apply(&proof);
    if proved == group {
        return;
    }
    let changed = change(gateway, &service, |group| group.apply(&proof)).await;
    Event::info("log_group_proved")
        .field("service", &service)
        .field("position", position)
        .field("reached", proof.reached.len())
        .field("ended", proof.ended.len())
        .field("is_kept", changed.is_ok())
        .log();
}

/// The instances that have reached a position; waits for a moment until all have.
async fn wait_until_reached<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    position: Position,
) -> Vec<InstanceId> {
    let mut reached = Vec::new();
    for _ in 0..SURVEYS {
        let instances = gateway.cluster.instances(service);
        let statuses = survey::statuses(gateway, &instances).await;
        let have_reached = statuses.into_iter().filter(|it| it.received >= position);
        reached = have_reached.map(|status| status.id).collect();
        if reached.len() == instances.len() {
            break;
        }
        sleep(SURVEY_PAUSE).await;
    }
    reached
}
