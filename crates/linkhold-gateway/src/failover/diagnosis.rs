//! Finds out what is wrong with a primary, from this node's own try and from
//! what other nodes find.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::directory::PrimarySource;
use linkhold_core::service::failover::ReachabilityTally;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_events::Event;
use linkhold_peer::{QuestionPurpose, QuestionSubject, Reachability};

use super::Trouble;
use super::promotion::Situation;
use crate::evidence::survey;
use crate::gateway::Gateway;
use crate::peers::{self, Audience};
use crate::ports::Platform;
use crate::state::RelayPeer;

/// What is wrong with the primary; `None` if nothing is, or if it cannot be
/// told yet.
pub(super) async fn diagnose<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> Option<Trouble> {
    let Some(primary) = gateway.beliefs.primary(service) else {
        return Some(Trouble::Unknown);
    };
    let audience = Audience::for_look(gateway, service);
    let peers = peers::ask(
        gateway,
        rand::random(),
        QuestionSubject::Instance(primary.id.to_string()),
        QuestionPurpose::Look,
        &audience,
    );
    let is_failing = gateway
        .beliefs
        .inspect(&primary.id, |health| health.is_failing())
        .unwrap_or(false);
    if !is_failing && !gateway.watches(service) {
        // Others are better placed to find out, and this node's own traffic passes.
        return judge_by_watchers(&primary, peers.await.tally);
    }
    tokio::pin!(peers);
    let own = survey::reach_primary(gateway, &primary);
    tokio::pin!(own);
    // Both run at once; the own finding decides alone unless it is a failure.
    let (own, early) = tokio::select! {
        own = &mut own => (own, None),
        tally = &mut peers => (own.await, Some(tally)),
    };
    match own {
        Reachability::Reached => {
            gateway.relays.forget(&primary.id);
            gateway.record_instance_answer(&primary.id, Duration::ZERO, None);
            if gateway.beliefs.is_leaving(&primary.id, Instant::now()) {
                return Some(Trouble::Leaving);
            }
            let misplaced = gateway.beliefs.is_primary_misplaced(service);
            misplaced.then_some(Trouble::Misplaced)
        }
        Reachability::NotPrimary => {
            gateway.beliefs.deny_primary(&primary.id);
            Some(Trouble::Unknown)
        }
        Reachability::Unreached => {
            // Through a peer it may be served all the while.
            if !gateway.relays.is_relayed(&primary.id) {
                gateway.record_instance_failure(&primary, "unreachable");
            }
            let findings = match early {
                Some(findings) => findings,
                None => peers.await,
            };
            use_peers(gateway, &primary, findings.reached_by);
            judge_unreached(&primary, findings.tally)
        }
    }
}

/// Has connections to a primary that this node does not reach relayed by peers
/// that do.
fn use_peers<P: Platform>(gateway: &Gateway<P>, primary: &Instance, peers: Vec<SocketAddr>) {
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
    let places = &gateway.settings.places;
    let relay_peer = |address: SocketAddr| RelayPeer {
        address,
        // One that has joined unseen may stand anywhere: no bound permits the empty
        // name.
        region: gateway.fleet.region_of(address, places).unwrap_or_default(),
    };
    let relay_peers = peers.into_iter().map(relay_peer).collect();
    let instance_region = places.region(&primary.zone);
    gateway
        .relays
        .learn(&primary.id, &instance_region, relay_peers);
    gateway.record_instance_answer(&primary.id, Duration::ZERO, None);
}

/// Judges a primary by what its watchers found.
fn judge_by_watchers(primary: &Instance, tally: ReachabilityTally) -> Option<Trouble> {
    log_tally(&primary.service, &primary.id.0, tally);
    if tally.reached > 0 {
        return None;
    }
    if tally.not_primary > 0 {
        return Some(Trouble::Unknown);
    }
    Some(Trouble::Lost)
}

/// Asks some watchers of a service who leads it; whether that is known now.
pub(super) async fn learn_leader<P: Platform>(gateway: &Gateway<P>, service: &ServiceName) -> bool {
    /// Watchers that are asked: one may be lost, or not know it yet.
    const ASKED: usize = 2;
    let audience = Audience::for_look(gateway, service).sample(ASKED);
    let subject = QuestionSubject::PrimaryOf(service.to_string());
    let purpose = QuestionPurpose::Look;
    let findings = peers::ask(gateway, rand::random(), subject, purpose, &audience).await;
    let present = gateway.beliefs.primary(service);
    let is_news = |id: &&InstanceId| present.as_ref().is_none_or(|primary| primary.id != **id);
    let Some(leader) = findings.leaders.iter().find(is_news) else {
        return false;
    };
    gateway
        .beliefs
        .confirm_primary(leader, PrimarySource::Asked);
    true
}

/// Judges a primary that this node does not reach by what others found. Where
/// only some were asked, [`confirm_lost`] asks the rest.
fn judge_unreached(primary: &Instance, mut tally: ReachabilityTally) -> Option<Trouble> {
    tally.unreached += 1;
    log_tally(&primary.service, &primary.id.0, tally);
    if tally.reached > 0 {
        return None;
    }
    if tally.not_primary > 0 {
        return Some(Trouble::Unknown);
    }
    tally.is_lost().then_some(Trouble::Lost)
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
struct Agreed {
    number: u64,
    audience: Audience,
}

/// All nodes agree that a primary may be replaced.
#[derive(Clone, Debug)]
pub(super) struct Agreement {
    questions: Vec<Agreed>,
    /// When the first of them was asked; what they agreed to counts from later.
    pub asked_at: Instant,
    /// When the last of them had answered.
    pub answered_at: Instant,
    /// Nodes that are no longer listed and gave no answer. Until
    /// [`CONFIRMATION_LIFE`](linkhold_core::service::permission::CONFIRMATION_LIFE) later they
    /// may go on, by what the others confirmed before they agreed.
    pub silent_former: usize,
}

impl Agreement {
    /// What holds if both do.
    fn and(mut self, other: Self) -> Self {
        self.questions.extend(other.questions);
        Self {
            questions: self.questions,
            asked_at: self.asked_at.min(other.asked_at),
            answered_at: self.answered_at.max(other.answered_at),
            silent_former: self.silent_former.max(other.silent_former),
        }
    }

    /// Nothing is ordered: whoever agreed may go on.
    pub async fn release<P: Platform>(self, gateway: &Gateway<P>) {
        for question in self.questions {
            peers::release(gateway, question.number, &question.audience).await;
        }
    }
}

/// Asks every node to agree that an instance may be replaced: none reaches it as
/// a primary, and none acknowledges anything of it while that is done. `None` if one
/// does not agree; whoever reaches it then serves this node's connections.
async fn confirm_lost<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> Option<Agreement> {
    let subject = QuestionSubject::Instance(instance.id.to_string());
    match ask_to_agree(gateway, &instance.service, subject).await {
        Ok(agreement) => {
            for question in &agreement.questions {
                gateway.beliefs.withhold(&instance.id, question.number);
            }
            Some(agreement)
        }
        Err(reached_by) => {
            if !reached_by.is_empty() {
                use_peers(gateway, instance, reached_by);
            }
            None
        }
    }
}

/// Has every node agree to a replacement, or tells who reaches what is to be replaced.
async fn ask_to_agree<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    subject: QuestionSubject,
) -> Result<Agreement, Vec<SocketAddr>> {
    ask_watchers_first(gateway, service, &subject).await?;
    let audience = match Audience::everyone(gateway).await {
        Ok(audience) => audience,
        Err(reason) => {
            log_withheld(service, reason);
            return Err(Vec::new());
        }
    };
    let number = rand::random();
    gateway.beliefs.permission.agree(&subject, number);
    let instance = match &subject {
        QuestionSubject::Instance(id) => id.clone(),
        QuestionSubject::PrimaryOf(_) => "any".to_owned(),
    };
    let asked_at = Instant::now();
    let purpose = QuestionPurpose::Replace;
    let findings = peers::ask(gateway, number, subject, purpose, &audience).await;
    let mut tally = findings.tally;
    tally.unreached += 1;
    log_tally(service, &instance, tally);
    let refusal = match (tally.is_lost(), findings.have_enough_agreed()) {
        (false, _) => Some("not_all_nodes_agree"),
        (true, false) => Some("too_few_agree"),
        (true, true) => None,
    };
    if let Some(reason) = refusal {
        log_withheld(service, reason);
        peers::release(gateway, number, &audience).await;
        return Err(findings.reached_by);
    }
    Ok(Agreement {
        questions: vec![Agreed { number, audience }],
        asked_at,
        answered_at: Instant::now(),
        silent_former: findings.silent_former,
    })
}

/// In a large fleet, has the watchers look before everyone is asked: one that reaches what
/// is to be replaced saves a question to each node and a reading of them all.
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
    let audience = Audience::for_look(gateway, service);
    let purpose = QuestionPurpose::Look;
    let findings = peers::ask(gateway, rand::random(), subject.clone(), purpose, &audience).await;
    if findings.tally.reached == 0 {
        return Ok(());
    }
    log_withheld(service, "a_watcher_reaches_it");
    Err(findings.reached_by)
}

/// Makes sure that a primary is lost to all, and that nobody knows another one: it
/// may have been replaced already, unseen by this node. `None` if it may not be
/// replaced.
pub(super) async fn confirm_not_replaced<P: Platform>(
    gateway: &Gateway<P>,
    primary: &Instance,
) -> Option<Agreement> {
    let (lost, nobody_believes) = tokio::join!(
        confirm_lost(gateway, primary),
        confirm_nobody_believes(gateway, &primary.service),
    );
    both(gateway, lost, nobody_believes).await
}

/// Makes sure that there is no primary for others: what is not listed may be
/// there until the directory has settled, no node may believe in a primary that
/// it reaches (the entry of one that is cut from the directory is gone), and every
/// instance that told this node no status has to be given up by all. `None` if there
/// may be a primary.
pub(super) async fn confirm_none_leads<P: Platform>(
    gateway: &Gateway<P>,
    situation: &Situation,
) -> Option<Agreement> {
    let service = &situation.service;
    if !gateway.beliefs.is_directory_settled(Instant::now()) {
        log_withheld(service, "directory_not_settled");
        return None;
    }
    let mut agreement = confirm_nobody_believes(gateway, service).await?;
    for instance in &situation.others {
        let answered = situation
            .statuses
            .iter()
            .any(|status| status.id == instance.id);
        if !answered {
            let lost = confirm_lost(gateway, instance).await;
            agreement = both(gateway, Some(agreement), lost).await?;
        }
    }
    Some(agreement)
}

/// What holds if all agree to both; what only one agreement was for is released.
async fn both<P: Platform>(
    gateway: &Gateway<P>,
    one: Option<Agreement>,
    other: Option<Agreement>,
) -> Option<Agreement> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.and(other)),
        (Some(alone), None) | (None, Some(alone)) => {
            alone.release(gateway).await;
            None
        }
        (None, None) => None,
    }
}

/// Asks every node whether it reaches a primary of the service, whichever it
/// believes in. `None` if one does or is silent.
async fn confirm_nobody_believes<P: Platform>(
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
