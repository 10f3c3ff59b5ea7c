//! One try of a statement on one instance.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::eligibility::{Engagement, Ineligible};
use linkhold_core::service::instance::Instance;
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::session::TransactionStatus;
use linkhold_events::Event;

use crate::batch::{self, Batch, Frame, Work};
use crate::conversation::{Conversation, converse};
use crate::forward::{self, LentConnection};
use crate::gate::Urgency;
use crate::gateway::Gateway;
use crate::lead_proof;
use crate::pool::{CheckoutError, Lease};
use crate::ports::{
    BackendConnection, BackendConnector, BackendErrorKind, BackendReply, ConnectError,
    ExchangeError, Platform,
};
use crate::primary_answer::{acknowledged, may_tell, speaks_for_primary};
use crate::principal::Principal;

/// The connection type of a platform.
pub(crate) type ConnectionOf<P> = <P as BackendConnector>::Connection;

/// A connection that is held for a session.
pub(crate) enum Held<P: Platform> {
    /// One of this node's own.
    Own(Lease<ConnectionOf<P>>),
    /// One that an owner holds for this node.
    Lent(LentConnection),
}

impl<P: Platform> Held<P> {
    /// The instance it leads to.
    pub fn instance(&self) -> &Arc<Instance> {
        match self {
            Self::Own(lease) => lease.instance(),
            Self::Lent(lent) => lent.instance(),
        }
    }

    /// Whether neither its instance nor a node on the way to it stands outside the
    /// allowed regions.
    pub fn is_within(&self, gateway: &Gateway<P>, regions: &AllowedRegions) -> bool {
        let permits_zone = |zone: &str| regions.permits(&gateway.settings.places.region(zone));
        match self {
            Self::Own(lease) => lease.is_within(regions) && permits_zone(&lease.instance().zone),
            Self::Lent(lent) => {
                let owner = gateway
                    .fleet
                    .region_of(lent.owner(), &gateway.settings.places);
                let sees = owner.is_some_and(|region| regions.permits(&region));
                (!regions.is_bound() || sees) && permits_zone(&lent.instance().zone)
            }
        }
    }

    /// Gives the connection back. What is still open on it in `status` is rolled
    /// back before its next use.
    pub fn finish(self, status: TransactionStatus) {
        match self {
            Self::Own(lease) => finish_own(lease, status),
            Self::Lent(lent) => lent.release(),
        }
    }
}

/// Gives a connection of this node's own back, noting what its next user must
/// undo first.
pub(crate) fn finish_own<C: BackendConnection>(mut lease: Lease<C>, status: TransactionStatus) {
    if batch::is_worn(lease.pooled()) {
        return;
    }
    lease.pooled().needs_rollback = status != TransactionStatus::Idle;
    lease.release();
}

/// Bounds of one try.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Rank among those who wait for a connection.
    pub urgency: Urgency,
    /// Until when it may wait for one.
    pub connection_by: Instant,
    /// Until when the answer must have come.
    pub answer_by: Instant,
}

/// How a try ended.
pub(crate) enum Attempt<P: Platform> {
    /// The instance answered the statement.
    Answered(Answer<P>),
    /// Nothing of the statement ran; the connection may have been given back.
    NotRun(NotRunCause),
    /// The connection broke after the statement was sent.
    Lost,
    /// No answer came in time; the connection is closed.
    TimedOut,
}

/// An instance's answer, with the connection it came on.
pub(crate) struct Answer<P: Platform> {
    pub reply: BackendReply,
    /// The start of the transaction, if there was one.
    pub begin: Option<BeginReply>,
    pub held: Held<P>,
    /// When the batch was sent, measured before.
    pub sent_at: Instant,
}

/// Why a statement certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRunCause {
    /// No connection was free in time.
    NoConnection,
    /// The instance could not be reached.
    Unreachable,
    /// The instance refused it.
    Refused(BackendErrorKind),
    /// It may not be sent to the instance.
    Ineligible(Ineligible),
    /// The instance may be cold; there is room after this time.
    WarmingUp(Duration),
}

/// Runs `work` on `instance`: on a connection of this node's own or, where few
/// nodes own the connections, on one of theirs.
pub(crate) async fn run<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    instance: &Arc<Instance>,
    principal: Principal<'_>,
    work: &Work,
    frame: Frame,
    bounds: Bounds,
) -> Attempt<P> {
    let now = Instant::now();
    gateway
        .beliefs
        .observe(&instance.id, |health| health.begin_trial(now));
    if let Some(owners) = gateway.pools.owners_of(instance, &gateway.beliefs) {
        let asked = if gateway.beliefs.is_cold(&instance.id) {
            owners.permitted_spenders(&principal)
        } else {
            owners.permitted(&principal)
        };
        let attempt = forward::run(gateway, &asked, instance, principal, work, frame, bounds).await;
        if let Some(attempt) = attempt {
            return acknowledged(gateway, instance, work, frame, attempt);
        }
    }
    let attempt = run_here(gateway, instance, principal, work, frame, bounds).await;
    acknowledged(gateway, instance, work, frame, attempt)
}

/// Runs `work` on a connection of this node's own.
pub(crate) async fn run_here<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    instance: &Arc<Instance>,
    principal: Principal<'_>,
    work: &Work,
    frame: Frame,
    bounds: Bounds,
) -> Attempt<P> {
    if gateway.relays.bars(&instance.id, principal.regions) {
        return Attempt::NotRun(NotRunCause::Unreachable);
    }
    if speaks_for_primary(gateway, instance, work, frame) {
        lead_proof::prove(gateway, instance).await;
        if gateway.beliefs.is_denied(&instance.id) {
            return Attempt::NotRun(NotRunCause::Refused(BackendErrorKind::ReadOnly));
        }
    }
    let pool = gateway.pools.pool(instance, &gateway.beliefs);
    let entered = pool
        .gate()
        .enter(bounds.urgency, bounds.connection_by)
        .await;
    let Some(_pass) = entered else {
        return Attempt::NotRun(NotRunCause::NoConnection);
    };
    let checkout = pool
        .checkout(
            gateway,
            principal,
            bounds.urgency,
            bounds.connection_by.into(),
        )
        .await;
    let lease = match checkout {
        Ok(lease) => lease,
        Err(error) => return Attempt::NotRun(checkout_failure(gateway, instance, error)),
    };
    run_on_own(gateway, lease, principal, work, frame, bounds.answer_by).await
}

/// Why no connection was had. An instance that has none left lives: nobody is to
/// look whether it is lost, which would take yet more of its connections.
fn checkout_failure<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    error: CheckoutError,
) -> NotRunCause {
    let is_full = match error {
        CheckoutError::Exhausted => return NotRunCause::NoConnection,
        CheckoutError::Connect(ConnectError::Rejected) => true,
        CheckoutError::Connect(ConnectError::Closed) => gateway.answered_lately(instance),
        CheckoutError::Connect(ConnectError::Unreachable | ConnectError::WrongInstance) => false,
    };
    if is_full {
        NotRunCause::Refused(BackendErrorKind::TooManyConnections)
    } else {
        NotRunCause::Unreachable
    }
}

/// Runs `work` in the transaction of a connection that is held.
pub(crate) async fn run_on<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    held: Held<P>,
    principal: Principal<'_>,
    work: &Work,
    answer_by: Instant,
) -> Attempt<P> {
    let frame = Frame::Inside;
    let needs_permission = speaks_for_primary(gateway, held.instance(), work, frame);
    if needs_permission && gateway.beliefs.is_replaced(held.instance()) {
        // The connection is closed with it, which undoes what is open on it.
        drop(held);
        return Attempt::NotRun(NotRunCause::Unreachable);
    }
    let instance = held.instance().clone();
    let attempt = match held {
        Held::Own(lease) => {
            let opened_at = lease.opened_at();
            gateway
                .wait_for_warm_up(lease.instance(), opened_at, answer_by)
                .await;
            let _pass = lease.gate().enter_at_once();
            run_on_own(gateway, lease, principal, work, frame, answer_by).await
        }
        Held::Lent(lent) => forward::run_on(gateway, lent, principal, work, answer_by).await,
    };
    acknowledged(gateway, &instance, work, frame, attempt)
}

/// Runs `work` on a connection of this node's own that is held. Whatever a caller
/// asks is sent to an instance here and nowhere else, so this is where it is looked
/// once more whether it may be.
pub(crate) async fn run_on_own<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    mut lease: Lease<ConnectionOf<P>>,
    principal: Principal<'_>,
    work: &Work,
    frame: Frame,
    answer_by: Instant,
) -> Attempt<P> {
    if is_withheld(gateway, &lease) {
        // The connection is closed, which undoes what is open on it.
        return Attempt::NotRun(NotRunCause::Unreachable);
    }
    if let Err(reason) = may_send(gateway, &lease, principal) {
        return ineligible(work, &lease, reason);
    }
    let batch = batch::build(lease.pooled(), principal.values, work, frame);
    let mut begin = None;
    if !batch.setup.is_empty() {
        (lease, begin) = match set_up(gateway, lease, &batch, answer_by).await {
            Ok(prepared) => prepared,
            Err(attempt) => return attempt,
        };
    }
    let opened_at = lease.opened_at();
    gateway.prove_warm(lease.instance(), opened_at).await;
    // Preparing the connection may have taken its time.
    if let Err(reason) = may_send(gateway, &lease, principal) {
        return ineligible(work, &lease, reason);
    }
    let is_urgent = work.may_commit() || frame == Frame::Inside;
    if let Err(after) = gateway.admit_to_instance(lease.instance(), opened_at, is_urgent) {
        return held_off(lease, frame, after);
    }
    let sent_at = Instant::now();
    let needs_permission = speaks_for_primary(gateway, lease.instance(), work, frame);
    // Whoever may have been left out when the primary was replaced acknowledged 20
    // commits of the old one in a cut of 26 s.
    if needs_permission && !gateway.beliefs.may_speak_for(lease.instance(), sent_at) {
        return Attempt::NotRun(NotRunCause::Unreachable);
    }
    let service = &lease.instance().service;
    let proved = needs_permission.then(|| gateway.beliefs.newest_position(service));
    match converse(gateway, &mut lease, &batch.commands, answer_by).await {
        Conversation::Silent => {
            log_unanswered(work, &lease, sent_at, "silent");
            Attempt::TimedOut
        }
        Conversation::Broken(error) => {
            log_unanswered(work, &lease, sent_at, "connection_lost");
            broken(lease, &error, batch.main)
        }
        Conversation::Answered(replies)
            if needs_permission
                && !may_tell(gateway, lease.instance(), work, &replies, proved.flatten()) =>
        {
            log_unanswered(work, &lease, sent_at, "primary_may_be_replaced");
            if work.may_commit() {
                Attempt::Lost
            } else {
                // Nothing of a read is kept: it is told by whoever leads.
                Attempt::NotRun(NotRunCause::Refused(BackendErrorKind::ReadOnly))
            }
        }
        Conversation::Answered(replies) => {
            if frame == Frame::ProvingPrimary {
                begin = Some((sent_at, replies[0].clone()));
            }
            answered(gateway, lease, &replies, batch.main, begin, sent_at)
        }
    }
}

/// What an instance's replies come to. The one at `main` is the statement's own.
fn answered<P: Platform>(
    gateway: &Gateway<P>,
    lease: Lease<ConnectionOf<P>>,
    replies: &[BackendReply],
    main: usize,
    begin: Option<BeginReply>,
    sent_at: Instant,
) -> Attempt<P> {
    let status = replies[replies.len() - 1].status;
    let reply = replies[main].clone();
    if let Some(kind) = refusal(begin.as_ref(), &reply) {
        return refused(gateway, lease, kind, status);
    }
    Attempt::Answered(Answer {
        reply,
        begin,
        held: Held::Own(lease),
        sent_at,
    })
}

/// Whether a statement may be sent on a connection, as things stand now.
fn may_send<P: Platform>(
    gateway: &Gateway<P>,
    lease: &Lease<ConnectionOf<P>>,
    principal: Principal<'_>,
) -> Result<(), Ineligible> {
    if !lease.is_within(principal.regions) {
        return Err(Ineligible::OutsideRegions);
    }
    let beliefs = &gateway.beliefs;
    beliefs.eligibility(lease.instance(), principal.regions, Engagement::Bound)
}

/// A statement that may not be sent. The connection is closed, which undoes what
/// is open on it.
fn ineligible<P: Platform>(
    work: &Work,
    lease: &Lease<ConnectionOf<P>>,
    reason: Ineligible,
) -> Attempt<P> {
    Event::info("statement_ineligible")
        .field("request", String::from_utf8_lossy(work.id()))
        .field("instance", &lease.instance().id)
        .field("zone", &lease.instance().zone)
        .field("reason", reason)
        .log();
    Attempt::NotRun(NotRunCause::Ineligible(reason))
}

/// A statement that a cold instance has no room for. What is open on the
/// connection is undone.
fn held_off<P: Platform>(
    mut lease: Lease<ConnectionOf<P>>,
    frame: Frame,
    after: Duration,
) -> Attempt<P> {
    match frame {
        // Its transaction ends with the connection.
        Frame::Inside => drop(lease),
        Frame::Opening { .. } => {
            lease.pooled().needs_rollback = true;
            lease.release();
        }
        Frame::Bare { .. } | Frame::ProvingPrimary => lease.release(),
    }
    Attempt::NotRun(NotRunCause::WarmingUp(after))
}

/// Whether nothing that comes on a connection may be acknowledged, be it through a
/// peer.
fn is_withheld<P: Platform>(gateway: &Gateway<P>, lease: &Lease<ConnectionOf<P>>) -> bool {
    gateway.beliefs.is_withheld(&lease.instance().id)
}

/// Logs a statement that was sent and got no whole answer.
fn log_unanswered<C: BackendConnection>(
    work: &Work,
    lease: &Lease<C>,
    sent_at: Instant,
    reason: &'static str,
) {
    Event::warn("statement_unanswered")
        .field("request", String::from_utf8_lossy(work.id()))
        .field("instance", &lease.instance().id)
        .field("reason", reason)
        .field("waited_ms", sent_at.elapsed().as_millis())
        .log();
}

/// When a transaction's start was sent, and the reply to it.
pub(crate) type BeginReply = (Instant, BackendReply);

/// Has a connection take over the session's state and start the transaction.
/// Nothing of the statement is sent before all of it was acknowledged.
async fn set_up<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    mut lease: Lease<ConnectionOf<P>>,
    batch: &Batch,
    answer_by: Instant,
) -> Result<(Lease<ConnectionOf<P>>, Option<BeginReply>), Attempt<P>> {
    let sent_at = Instant::now();
    let replies = match converse(gateway, &mut lease, &batch.setup, answer_by).await {
        Conversation::Answered(replies) => replies,
        Conversation::Broken(_) | Conversation::Silent => {
            return Err(Attempt::NotRun(NotRunCause::Unreachable));
        }
    };
    let Some(refused) = replies.iter().position(|reply| reply.error().is_some()) else {
        let begin = replies.into_iter().next_back().filter(|_| batch.opens);
        return Ok((lease, begin.map(|reply| (sent_at, reply))));
    };
    let kind = replies[refused].error().unwrap_or(BackendErrorKind::Ran);
    let instance = lease.instance().clone();
    let only_begin_failed = batch.opens && refused + 1 == batch.setup.len();
    if only_begin_failed {
        lease.pooled().needs_rollback = replies[refused].status != TransactionStatus::Idle;
        lease.release();
    } else {
        // What was recorded as told to the connection is not true.
        drop(lease);
    }
    gateway.note_refusal(&instance, kind);
    Err(Attempt::NotRun(NotRunCause::Refused(kind)))
}

fn broken<P: Platform>(
    lease: Lease<ConnectionOf<P>>,
    error: &ExchangeError,
    main: usize,
) -> Attempt<P> {
    drop(lease);
    // A refusal that came before the break still proves that nothing ran.
    let refusal = error
        .replies
        .get(main)
        .and_then(BackendReply::error)
        .filter(|kind| proves_not_run(*kind));
    match refusal {
        Some(kind) => Attempt::NotRun(NotRunCause::Refused(kind)),
        None => Attempt::Lost,
    }
}

/// The refusal in an answer that proves that the statement did not run.
fn refusal(begin: Option<&BeginReply>, reply: &BackendReply) -> Option<BackendErrorKind> {
    let begin_refused = begin.and_then(|(_, reply)| reply.error());
    begin_refused.or_else(|| reply.error().filter(|kind| proves_not_run(*kind)))
}

/// Gives back the connection of a statement that was refused. `status` is the
/// connection's state after the last reply.
fn refused<P: Platform>(
    gateway: &Gateway<P>,
    mut lease: Lease<ConnectionOf<P>>,
    kind: BackendErrorKind,
    status: TransactionStatus,
) -> Attempt<P> {
    let instance = lease.instance().clone();
    lease.pooled().needs_rollback = status != TransactionStatus::Idle;
    if kind == BackendErrorKind::UnknownPrepared {
        // What was recorded as prepared is not there: do not use it again.
        drop(lease);
    } else {
        lease.release();
    }
    if kind == BackendErrorKind::Busy {
        gateway
            .pools
            .pool(&instance, &gateway.beliefs)
            .gate()
            .refused();
    }
    gateway.note_refusal(&instance, kind);
    Attempt::NotRun(NotRunCause::Refused(kind))
}

/// Whether an error is a promise that the statement did not run.
fn proves_not_run(kind: BackendErrorKind) -> bool {
    match kind {
        BackendErrorKind::Busy
        | BackendErrorKind::Lagging
        | BackendErrorKind::ReadOnly
        | BackendErrorKind::WrongInstance
        | BackendErrorKind::TooManyConnections
        | BackendErrorKind::UnknownPrepared => true,
        BackendErrorKind::Aborted | BackendErrorKind::Ran => false,
    }
}
