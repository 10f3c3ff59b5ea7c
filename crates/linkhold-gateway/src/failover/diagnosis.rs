//! Diagnoses a primary from this node's own probe and the findings of other nodes, and
//! obtains their agreement to replace it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linkhold_core::position::Position;
use linkhold_core::service::acknowledged;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::directory::PrimarySource;
use linkhold_core::service::failover::ReachabilityTally;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_events::Event;
use linkhold_peer::{QuestionPurpose, QuestionSubject, Reachability};

use super::FailoverReason;
use super::service_survey::ServiceSurvey;
use crate::evidence::survey;
use crate::gateway::Gateway;
use crate::peers::{self, Audience, PeerFindings};
use crate::ports::Platform;
use crate::state::RelayPeer;

/// How often the nodes are asked to agree if they know of further ones: they read the
/// store, so that each round adds all that were listed before it.
const AUDIENCE_ROUNDS: usize = 3;

/// Why the primary is to be replaced; `None` if it is not, or if that is not known yet.
pub(super) async fn diagnose<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> Option<FailoverReason> {
    let Some(primary) = gateway.cluster.primary(service) else {
        return Some(FailoverReason::Unknown);
    };
    let audience = Audience::for_probe(gateway, service);
    let peers = peers::ask(
        gateway,
        rand::random(),
        QuestionSubject::Instance(primary.id.to_string()),
        QuestionPurpose::Probe,
        &audience,
    );
    let is_failing = gateway
        .cluster
        .read_health(&primary.id, |health| health.is_failing())
        .unwrap_or(false);
    if !is_failing && !gateway.watches(service) {
        // The watchers can check the primary better, and this node's own statements
        // are answered.
        return reason_by_watchers(&primary, peers.await.tally);
    }
    tokio::pin!(peers);
    let own = survey::probe_primary(gateway, &primary);
    tokio::pin!(own);
    // Both run at once. The own probe decides alone unless it fails.
    let (own, early) = tokio::select! {
        own = &mut own => (own, None),
        tally = &mut peers => (own.await, Some(tally)),
    };
    match own {
        Reachability::Reached => {
            gateway.relays.forget(&primary.id);
            gateway.record_instance_answer(&primary.id, Duration::ZERO, None);
            if gateway.cluster.is_leaving(&primary.id, Instant::now()) {
                return Some(FailoverReason::Leaving);
            }
            let misplaced = gateway.cluster.is_primary_misplaced(service);
            misplaced.then_some(FailoverReason::Misplaced)
        }
        Reachability::NotPrimary => {
            gateway.cluster.deny_primary(&primary.id);
            Some(FailoverReason::Unknown)
        }
        Reachability::Unreached => {
            // A relayed primary may be served through a peer meanwhile.
            if !gateway.relays.is_relayed(&primary.id) {
                gateway.record_instance_failure(&primary, "unreachable");
            }
            let findings = match early {
                Some(findings) => findings,
                None => peers.await,
            };
            relay_through(gateway, &primary, findings.reached_by);
            reason_if_unreached(&primary, findings.tally)
        }
    }
}

/// Relays connections to a primary that this node does not reach through peers that do.
fn relay_through<P: Platform>(gateway: &Gateway<P>, primary: &Instance, peers: Vec<SocketAddr>) {
    if peers.is_empty() {
        if gateway.relays.forget(&primary.id) {
            gateway.record_instance_failure(primary, "unreachable");
        }
        return;
    }
    if !gateway.relays.is_relayed(&primary.id) {
        Event::info("relay_used")
            .field("service", &primary.service)
            .field("instance", &primary.id)
            .field("peers", peers.len())
            .log();
    }
    let zone_map = &gateway.settings.zone_map;
    let relay_peer = |address: SocketAddr| RelayPeer {
        address,
        // The region of a peer that this node does not list yet is not known: no bound
        // permits the empty name.
        region: gateway
            .fleet
            .region_of(address, zone_map)
            .unwrap_or_default(),
    };
    let relay_peers = peers.into_iter().map(relay_peer).collect();
    let instance_region = zone_map.region(&primary.zone);
    gateway
        .relays
        .set_peers(&primary.id, &instance_region, relay_peers);
    gateway.record_instance_answer(&primary.id, Duration::ZERO, None);
}

/// Why a primary is to be replaced, by the findings of its watchers alone.
fn reason_by_watchers(primary: &Instance, tally: ReachabilityTally) -> Option<FailoverReason> {
    log_tally(&primary.service, &primary.id.0, tally);
    if tally.reached > 0 {
        return None;
    }
    if tally.not_primary > 0 {
        return Some(FailoverReason::Unknown);
    }
    Some(FailoverReason::Lost)
}

/// Asks some watchers of a service for its primary; returns whether they named another
/// one.
pub(super) async fn learn_primary<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> bool {
    /// Watchers to ask: the answer of one may be lost, or it may not know the primary
    /// yet.
    const ASKED: usize = 2;
    let audience = Audience::for_probe(gateway, service).sample(ASKED);
    let subject = QuestionSubject::PrimaryOf(service.to_string());
    let purpose = QuestionPurpose::Probe;
    let findings = peers::ask(gateway, rand::random(), subject, purpose, &audience).await;
    let known = gateway.cluster.primary(service);
    let is_other = |id: &&InstanceId| known.as_ref().is_none_or(|primary| primary.id != **id);
    let Some(primary) = findings.primaries.iter().find(is_other) else {
        return false;
    };
    gateway
        .cluster
        .confirm_primary(primary, PrimarySource::Asked);
    true
}

/// Why a primary that this node does not reach is to be replaced, by the findings of
/// other nodes. Where only some were asked, [`confirm_lost`] asks the rest.
fn reason_if_unreached(primary: &Instance, mut tally: ReachabilityTally) -> Option<FailoverReason> {
    tally.unreached += 1;
    log_tally(&primary.service, &primary.id.0, tally);
    if tally.reached > 0 {
        return None;
    }
    if tally.not_primary > 0 {
        return Some(FailoverReason::Unknown);
    }
    tally.is_lost().then_some(FailoverReason::Lost)
}

fn log_tally(service: &ServiceName, instance: &str, tally: ReachabilityTally) {
    Event::info("primary_questioned")
        .field("service", service)
        .field("instance", instance)
        .field("nodes", tally.nodes)
        .field("reached", tally.reached)
        .field("unreached", tally.unreached)
        .field("not_primary", tally.not_primary)
        .log();
}

/// A question that all nodes agreed to.
#[derive(Clone, Debug)]
struct AgreedQuestion {
    number: u64,
    audience: Audience,
}

/// Agreement of all nodes that a primary may be replaced.
#[derive(Clone, Debug)]
pub(super) struct Agreement {
    questions: Vec<AgreedQuestion>,
    /// When the first question was sent; the nodes' withholding counts from later.
    pub asked_at: Instant,
    /// When the last question was answered.
    pub answered_at: Instant,
    /// Nodes that are no longer listed and did not answer. They may keep acknowledging
    /// for [`CONFIRMATION_VALIDITY`](linkhold_core::service::permission::CONFIRMATION_VALIDITY)
    /// after `answered_at`, by what the others confirmed before they agreed.
    pub silent_former: usize,
    /// The largest number of instances that may hold commits, as any node knows it: one
    /// that has just started has not seen those that are not listed any more.
    pub log_holders: usize,
    /// Position up to which the nodes may have acknowledged commits of the primary;
    /// `None` if that is not known.
    pub acknowledged: Option<Position>,
}

impl Agreement {
    /// Combines two agreements into one that holds if both do.
    fn combine(mut self, other: Self) -> Self {
        self.questions.extend(other.questions);
        Self {
            questions: self.questions,
            asked_at: self.asked_at.min(other.asked_at),
            answered_at: self.answered_at.max(other.answered_at),
            silent_former: self.silent_former.max(other.silent_former),
            log_holders: self.log_holders.max(other.log_holders),
            // Each node answers both questions, and reports no less in its later answer.
            acknowledged: self
                .acknowledged
                .zip(other.acknowledged)
                .map(|(one, other)| one.max(other)),
        }
    }

    /// Releases the nodes that agreed: nothing is ordered.
    pub async fn release<P: Platform>(self, gateway: &Gateway<P>) {
        for question in self.questions {
            peers::release(gateway, question.number, &question.audience).await;
        }
    }
}

/// Asks every node to agree that an instance may be replaced: none reaches it as a
/// primary, and none acknowledges for it during the replacement. Returns `None` if a
/// node does not agree; connections are then relayed through the nodes that reach the
/// instance.
async fn confirm_lost<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> Option<Agreement> {
    let subject = QuestionSubject::Instance(instance.id.to_string());
    match ask_to_agree(gateway, &instance.service, subject).await {
        Ok(agreement) => {
            for question in &agreement.questions {
                gateway.cluster.withhold(&instance.id, question.number);
            }
            Some(agreement)
        }
        Err(reached_by) => {
            if !reached_by.is_empty() {
                relay_through(gateway, instance, reached_by);
            }
            None
        }
    }
}

/// Asks every node to agree to a replacement. The error holds the nodes that reach the
/// subject; it is empty if the agreement failed for another reason.
async fn ask_to_agree<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    subject: QuestionSubject,
) -> Result<Agreement, Vec<SocketAddr>> {
    ask_watchers_first(gateway, service, &subject).await?;
    let mut audience = match Audience::all_nodes(gateway).await {
        Ok(audience) => audience,
        Err(reason) => {
            log_withheld(service, reason);
            return Err(Vec::new());
        }
    };
    for _ in 0..AUDIENCE_ROUNDS {
        if let Some(agreement) = ask_audience(gateway, service, &subject, &mut audience).await? {
            return Ok(agreement);
        }
    }
    log_withheld(service, "more_nodes_are_added");
    Err(Vec::new())
}

/// Asks the nodes of an audience to agree; `None` if they know of others, which are added
/// to the audience.
async fn ask_audience<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    subject: &QuestionSubject,
    audience: &mut Audience,
) -> Result<Option<Agreement>, Vec<SocketAddr>> {
    let number = rand::random();
    gateway.cluster.permission.agree(subject, number);
    let asked_at = Instant::now();
    let purpose = QuestionPurpose::Replace;
    let findings = peers::ask(gateway, number, subject.clone(), purpose, audience).await;
    if let Some(term) = acknowledged::newest_term(&findings.acknowledged) {
        gateway.cluster.observe_reported_term(service, term);
    }
    let mut tally = findings.tally;
    tally.unreached += 1;
    let instance = match subject {
        QuestionSubject::Instance(id) => id,
        QuestionSubject::PrimaryOf(_) => "any",
    };
    log_tally(service, instance, tally);
    let has_added = match (tally.is_lost(), findings.have_enough_agreed()) {
        (false, _) => Err("not_all_nodes_agree"),
        (true, false) => Err("too_few_agree"),
        (true, true) => audience.add_joined(&findings, gateway.peers.address()),
    };
    match has_added {
        Err(reason) => {
            log_withheld(service, reason);
            peers::release(gateway, number, audience).await;
            Err(findings.reached_by)
        }
        Ok(true) => {
            peers::release(gateway, number, audience).await;
            Ok(None)
        }
        Ok(false) => {
            let log_holders = findings.acknowledged.iter().map(|it| it.log_holders);
            Ok(Some(Agreement {
                log_holders: log_holders.max().unwrap_or(0),
                acknowledged: acknowledged_bound(gateway, service, audience, &findings),
                questions: vec![AgreedQuestion {
                    number,
                    audience: audience.clone(),
                }],
                asked_at,
                answered_at: Instant::now(),
                silent_former: findings.silent_former,
            }))
        }
    }
}

/// Position up to which commits may have been acknowledged, by the reports of the nodes
/// that agreed and of this one; `None` if one that may have acknowledged more was not
/// asked or did not report.
fn acknowledged_bound<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    audience: &Audience,
    findings: &PeerFindings,
) -> Option<Position> {
    let known = gateway.fleet.peer_addresses(&gateway.settings.node);
    let have_all_reported = audience.includes_all(&known)
        && findings.silent_former == 0
        && findings.without_report == 0;
    if !have_all_reported {
        return None;
    }
    let mut reports = findings.acknowledged.clone();
    reports.push(peers::own_report(gateway, service));
    acknowledged::acknowledged_bound(&reports, gateway.fleet.departure_at())
}

/// In a large fleet, asks the watchers before all nodes: if a watcher reaches the
/// subject, that saves a question to each node and a read of the list of nodes. The
/// error holds the watchers that reach it.
async fn ask_watchers_first<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    subject: &QuestionSubject,
) -> Result<(), Vec<SocketAddr>> {
    let Some(watchers) = gateway.watchers.of(&gateway.settings.node, service) else {
        return Ok(());
    };
    if watchers.others.is_empty() {
        return Ok(());
    }
    let audience = Audience::for_probe(gateway, service);
    let purpose = QuestionPurpose::Probe;
    let findings = peers::ask(gateway, rand::random(), subject.clone(), purpose, &audience).await;
    if findings.tally.reached == 0 {
        return Ok(());
    }
    log_withheld(service, "a_watcher_reaches_it");
    Err(findings.reached_by)
}

/// Confirms that no node reaches a primary, and that none knows another one: the
/// primary may have been replaced already without this node's knowledge. Returns `None`
/// if it may not be replaced.
pub(super) async fn confirm_not_replaced<P: Platform>(
    gateway: &Gateway<P>,
    primary: &Instance,
) -> Option<Agreement> {
    let (lost, no_other) = tokio::join!(
        confirm_lost(gateway, primary),
        confirm_no_primary_reached(gateway, &primary.service),
    );
    combine_or_release(gateway, lost, no_other).await
}

/// Confirms that a service has no primary. Until the directory has settled, a primary
/// may exist that is not listed; no node may know a primary that it reaches (a primary
/// that is cut off from the directory has lost its entry); and all nodes have to agree
/// that each instance that returned no status to this node is lost. Returns `None` if
/// there may be a primary.
pub(super) async fn confirm_no_primary<P: Platform>(
    gateway: &Gateway<P>,
    surveyed: &ServiceSurvey,
) -> Option<Agreement> {
    let service = &surveyed.service;
    if !gateway.cluster.is_directory_settled(Instant::now()) {
        log_withheld(service, "directory_not_settled");
        return None;
    }
    let mut agreement = confirm_no_primary_reached(gateway, service).await?;
    for instance in &surveyed.others {
        if surveyed.status_of(&instance.id).is_none() {
            let lost = confirm_lost(gateway, instance).await;
            agreement = combine_or_release(gateway, Some(agreement), lost).await?;
        }
    }
    Some(agreement)
}

/// Combines two agreements if both were reached; otherwise releases the one that was.
async fn combine_or_release<P: Platform>(
    gateway: &Gateway<P>,
    one: Option<Agreement>,
    other: Option<Agreement>,
) -> Option<Agreement> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.combine(other)),
        (Some(single), None) | (None, Some(single)) => {
            single.release(gateway).await;
            None
        }
        (None, None) => None,
    }
}

/// Asks every node whether it reaches the primary of the service that it knows. Returns
/// `None` if a node does or is silent.
async fn confirm_no_primary_reached<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> Option<Agreement> {
    let subject = QuestionSubject::PrimaryOf(service.to_string());
    ask_to_agree(gateway, service, subject).await.ok()
}

fn log_withheld(service: &ServiceName, reason: &'static str) {
    Event::info("promotion_withheld")
        .field("service", service)
        .field("reason", reason)
        .log();
}
