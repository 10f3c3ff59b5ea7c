//! Statements outside of transactions and the first statements of transactions:
//! which instance runs them, which are retried, and which failure is reported.
//!
//! # Invariants
//!
//! * A statement that may change data is sent again only after a proof that it
//!   did not run.
//! * A read runs only on an instance that is proved to have everything the read must
//!   see.
//! * A refusal is sent as soon as it is certain, at the latest when the part of the
//!   latency objective that may be spent on waiting is used up.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::outcome::{Failure, NotRun, Unknown};
use linkhold_core::position::Position;
use linkhold_core::service::configuration::{Consistency, Route};
use linkhold_core::service::eligibility::{Ineligible, StatementBinding};
use linkhold_core::service::evidence::{Sample, session_fence};
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::regions::{AllowedRegions, RegionName};
use linkhold_core::service::session::{Access, SessionState};
use linkhold_core::service::waiting;
use linkhold_core::tenancy::ConnectionHolder;
use tokio::time::{sleep, timeout_at};

use crate::evidence::probe;
use crate::gate::Urgency;
use crate::gateway::Gateway;
use crate::ports::{BackendErrorKind, BackendReply, Platform};
use crate::request::attempt::{self, Answer, AttemptLimits, AttemptOutcome, NotRunCause};
use crate::request::batch::{TransactionFrame, Work};
use crate::request::principal::Principal;
use crate::request::session_positions::SessionPositions;

/// First pause before another attempt on a primary that refused a statement or could not
/// be reached. It doubles up to [`MAX_BUSY_PAUSE`].
const INITIAL_BUSY_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause between attempts on the same instance.
const MAX_BUSY_PAUSE: Duration = Duration::from_millis(80);
/// Pause before all instances are tried again.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for a connection to an instance while other instances are left to try.
const CONNECTION_WAIT_WITH_ALTERNATIVES: Duration = Duration::from_millis(30);
/// Minimum time limit for a read on one instance while others are left to try.
const MIN_READ_ATTEMPT: Duration = Duration::from_millis(350);
/// Time limit for a read on one instance while others are left to try, as a multiple of
/// the instance's usual latency.
const READ_ATTEMPT_LATENCIES: u32 = 10;

/// The session, permissions and time limits of a statement.
pub(crate) struct StatementContext<'a> {
    pub route: &'a Arc<Route>,
    /// Holder of the connections that the statement may use.
    pub holder: &'a ConnectionHolder,
    /// Regions in which the statement may run.
    pub regions: &'a AllowedRegions,
    pub session: &'a SessionState,
    pub received_at: Instant,
}

impl StatementContext<'_> {
    /// Until when the statement may wait for a connection or for a primary.
    pub fn wait_deadline(&self) -> Instant {
        self.received_at + waiting::max_wait(self.route.latency_objective)
    }

    /// On whose behalf the statement runs.
    pub fn principal(&self) -> Principal<'_> {
        Principal {
            holder: self.holder,
            values: &self.session.values,
            regions: self.regions,
        }
    }

    /// Until when the statement must be answered.
    pub fn answer_by(&self) -> Instant {
        self.received_at + self.route.statement_timeout
    }

    pub fn urgency(&self, access: Access) -> Urgency {
        Urgency {
            is_read: access == Access::Read,
            priority: self.route.priority,
        }
    }
}

/// The kind of transaction in which a statement runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransactionMode {
    /// The statement is a transaction of its own.
    Autocommit,
    /// The statement opens a transaction that may write.
    ReadWrite,
    /// The statement opens a transaction that only reads.
    ReadOnly,
}

/// Runs a statement that is a transaction of its own or opens one.
pub(crate) async fn run<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    context: &StatementContext<'_>,
    positions: &mut SessionPositions,
    work: &Work,
    mode: TransactionMode,
) -> Result<Answer<P>, Failure> {
    let needs_primary = context.route.consistency == Consistency::Latest
        || mode == TransactionMode::ReadWrite
        || work.access() == Access::Write;
    if needs_primary {
        run_on_primary(gateway, context, work, mode).await
    } else {
        run_on_fresh_instance(gateway, context, positions, work, mode).await
    }
}

/// Runs a statement on the primary.
async fn run_on_primary<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    context: &StatementContext<'_>,
    work: &Work,
    mode: TransactionMode,
) -> Result<Answer<P>, Failure> {
    let frame = primary_frame(work, mode);
    let repeatable = work.access() == Access::Read && mode == TransactionMode::Autocommit;
    let mut reason = NotRun::NoPrimary;
    let mut pause = INITIAL_BUSY_PAUSE;
    loop {
        let primary = wait_for_primary(gateway, context, reason).await?;
        let limits = AttemptLimits {
            urgency: context.urgency(Access::Write),
            connection_by: context.wait_deadline(),
            answer_by: context.answer_by(),
        };
        let attempt =
            attempt::run(gateway, &primary, context.principal(), work, frame, limits).await;
        match attempt {
            AttemptOutcome::Answered(answer) => {
                record_primary_answer(gateway, &primary, &answer, work, mode);
                return Ok(answer);
            }
            AttemptOutcome::NotRun(NotRunCause::WarmingUp(after))
                if Instant::now() + after >= context.wait_deadline() =>
            {
                let reason = NotRun::WarmingUp { retry_after: after };
                return Err(Failure::NotRun(reason));
            }
            AttemptOutcome::NotRun(NotRunCause::WarmingUp(after)) => {
                reason = NotRun::WarmingUp { retry_after: after };
                sleep(after).await;
            }
            AttemptOutcome::NotRun(cause) => {
                reason = refusal_reason(cause);
                record_retry(gateway, work, &primary, cause);
                if cause != NotRunCause::Refused(BackendErrorKind::ReadOnly) {
                    sleep(pause).await;
                    pause = (pause * 2).min(MAX_BUSY_PAUSE);
                }
            }
            AttemptOutcome::Lost if repeatable => reason = NotRun::BackendUnavailable,
            AttemptOutcome::Lost => {
                return Err(failure_after_lost_answer(mode, Unknown::ConnectionLost));
            }
            AttemptOutcome::TimedOut => {
                return Err(failure_after_lost_answer(mode, Unknown::TimedOut));
            }
        }
    }
}

/// The failure to report when a statement was sent and no answer came. The first
/// statement of a transaction is undone with its connection.
fn failure_after_lost_answer(mode: TransactionMode, unknown: Unknown) -> Failure {
    match mode {
        TransactionMode::Autocommit => Failure::Unknown(unknown),
        TransactionMode::ReadWrite | TransactionMode::ReadOnly => {
            Failure::NotRun(NotRun::TransactionAborted)
        }
    }
}

fn primary_frame(work: &Work, mode: TransactionMode) -> TransactionFrame {
    match (mode, work.access()) {
        (TransactionMode::Autocommit, Access::Write) => {
            TransactionFrame::Autocommit { fence: None }
        }
        (TransactionMode::Autocommit, Access::Read) => TransactionFrame::ProvingPrimary,
        (TransactionMode::ReadWrite | TransactionMode::ReadOnly, _) => TransactionFrame::Begin {
            read_only: false,
            fence: None,
        },
    }
}

/// Waits for a primary that may run the statement. Fails with `reason` when the
/// statement may wait no longer, and at once if no primary may run the statement.
async fn wait_for_primary<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    context: &StatementContext<'_>,
    reason: NotRun,
) -> Result<Arc<Instance>, Failure> {
    let wait_deadline = context.wait_deadline();
    let mut changes = gateway.cluster.subscribe();
    loop {
        changes.mark_unchanged();
        let now = Instant::now();
        if now >= wait_deadline {
            return Err(Failure::NotRun(reason));
        }
        let service = &context.route.service;
        let ineligible = match gateway.cluster.usable_primary(service, now) {
            Some(primary) => match primary_ineligibility(gateway, context, &primary) {
                None => return Ok(primary),
                ineligible => ineligible,
            },
            None => {
                gateway.suspected_primaries.add(service);
                gateway.cluster.ineligible_reason(service, context.regions)
            }
        };
        if let Some(ineligible) = ineligible
            && !is_switchover_due(gateway, context)
        {
            return Err(Failure::NotRun(primary_refusal(ineligible)));
        }
        // An instance that is avoided after a failure becomes usable again
        // without a change that would wake this loop.
        let next_check = wait_deadline.min(now + ROUND_PAUSE * 2);
        let _ = timeout_at(next_check.into(), changes.changed()).await;
    }
}

/// Why a primary may not run a statement.
fn primary_ineligibility<P: Platform>(
    gateway: &Gateway<P>,
    context: &StatementContext<'_>,
    primary: &Instance,
) -> Option<Ineligible> {
    let cluster = &gateway.cluster;
    cluster
        .eligibility(primary, context.regions, StatementBinding::Bound)
        .err()
}

/// Whether the primary is about to move to an instance that may run the statement.
fn is_switchover_due<P: Platform>(gateway: &Gateway<P>, context: &StatementContext<'_>) -> bool {
    let service = &context.route.service;
    let cluster = &gateway.cluster;
    let wanted = cluster.primary_regions(service);
    let is_among = |region: &RegionName| context.regions.permits(region);
    let serves =
        !context.regions.is_restricted() || wanted.is_restricted() && wanted.names().all(is_among);
    serves && cluster.has_well_placed_instance(service)
}

/// The reason to report when no primary may run a statement.
fn primary_refusal(ineligible: Ineligible) -> NotRun {
    match ineligible {
        Ineligible::OutsideRegions => NotRun::PrimaryOutsideRegion,
        Ineligible::Evacuated => NotRun::Evacuated,
    }
}

/// The reason to report when no instance may run a read.
fn read_refusal(ineligible: Ineligible) -> NotRun {
    match ineligible {
        Ineligible::OutsideRegions => NotRun::NoInstanceInRegion,
        Ineligible::Evacuated => NotRun::Evacuated,
    }
}

fn record_primary_answer<P: Platform>(
    gateway: &Gateway<P>,
    primary: &Instance,
    answer: &Answer<P>,
    work: &Work,
    mode: TransactionMode,
) {
    let single_write = mode == TransactionMode::Autocommit && work.access() == Access::Write;
    let proof = match &answer.begin {
        Some((sent_at, begin)) => Some((*sent_at, begin)),
        None if single_write && is_success(&answer.reply) => Some((answer.sent_at, &answer.reply)),
        None => None,
    };
    if let Some((sent_at, reply)) = proof
        && let Some(position) = reply.position
    {
        gateway.record_primary_proof(primary, Sample { sent_at, position });
    }
}

/// Runs a read on any instance that is proved to be fresh enough.
async fn run_on_fresh_instance<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    context: &StatementContext<'_>,
    positions: &mut SessionPositions,
    work: &Work,
    mode: TransactionMode,
) -> Result<Answer<P>, Failure> {
    let mut excluded: Vec<InstanceId> = Vec::new();
    let mut reason = NotRun::NoFreshInstance;
    let mut rounds = 0_u32;
    loop {
        let now = Instant::now();
        if now >= context.answer_by() {
            return Err(Failure::NotRun(reason));
        }
        let service = &context.route.service;
        if let Some(ineligible) = gateway.cluster.ineligible_reason(service, context.regions) {
            return Err(Failure::NotRun(read_refusal(ineligible)));
        }
        let fence = read_fence(gateway, context, positions, rounds).await?;
        let now = Instant::now();
        let chosen =
            gateway
                .cluster
                .choose_for_read(service, fence, &excluded, context.regions, now);
        let Some((instance, is_last)) = chosen else {
            if now + ROUND_PAUSE >= context.wait_deadline() {
                return Err(Failure::NotRun(reason));
            }
            sleep(ROUND_PAUSE).await;
            excluded.clear();
            rounds += 1;
            continue;
        };
        let limits = read_limits(gateway, context, &instance, is_last, now);
        let frame = read_frame(mode, fence);
        let attempt =
            attempt::run(gateway, &instance, context.principal(), work, frame, limits).await;
        match attempt {
            AttemptOutcome::Answered(answer) => {
                gateway
                    .cluster
                    .update_health(&instance.id, |health| health.record_fresh_read());
                return Ok(answer);
            }
            AttemptOutcome::NotRun(cause) => {
                reason = refusal_reason(cause);
                record_retry(gateway, work, &instance, cause);
                if let NotRunCause::WarmingUp(after) = cause {
                    let cluster = &gateway.cluster;
                    cluster.update_health(&instance.id, |health| health.record_busy(now, after));
                }
            }
            AttemptOutcome::Lost | AttemptOutcome::TimedOut
                if mode != TransactionMode::Autocommit =>
            {
                return Err(Failure::NotRun(NotRun::TransactionAborted));
            }
            AttemptOutcome::Lost => reason = NotRun::BackendUnavailable,
            AttemptOutcome::TimedOut if Instant::now() >= context.answer_by() => {
                return Err(Failure::Unknown(Unknown::TimedOut));
            }
            AttemptOutcome::TimedOut => reason = NotRun::Overloaded,
        }
        excluded.push(instance.id.clone());
    }
}

/// The log position that a read requires. Rounds after the first ask for newer
/// evidence, since the position may belong to a log that was rolled back.
async fn read_fence<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    context: &StatementContext<'_>,
    positions: &mut SessionPositions,
    rounds: u32,
) -> Result<Position, Failure> {
    let service = &context.route.service;
    let staleness = match context.route.consistency {
        Consistency::Latest => Duration::ZERO,
        Consistency::BoundedStaleness(most) | Consistency::ReadYourWrites(most) => most,
    };
    let oldest = context
        .received_at
        .checked_sub(staleness)
        .unwrap_or(context.received_at);
    let reads_own_writes = matches!(context.route.consistency, Consistency::ReadYourWrites(_));
    let moment = if reads_own_writes && !positions.has_baseline(service) {
        positions.opened_at.max(oldest)
    } else {
        oldest
    };
    if rounds > 0 {
        probe::request_evidence(gateway, service, Instant::now());
    }
    refresh_ahead(gateway, service, staleness);
    let evidence = probe::fence(gateway, service, moment, context.wait_deadline())
        .await
        .ok_or(Failure::NotRun(NotRun::NoFreshInstance))?;
    if !reads_own_writes {
        return Ok(evidence);
    }
    positions.record_baseline(service, evidence);
    Ok(session_fence(evidence, positions.required(service)))
}

/// Asks for new evidence before the current evidence is too old to be used.
fn refresh_ahead<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &linkhold_core::service::configuration::ServiceName,
    staleness: Duration,
) {
    let is_old = gateway
        .cluster
        .latest_evidence(service)
        .is_none_or(|sent_at| sent_at.elapsed() > staleness / 2);
    if is_old {
        let moment = Instant::now().checked_sub(staleness / 2);
        let moment = moment.unwrap_or_else(Instant::now);
        probe::request_evidence(gateway, service, moment);
    }
}

fn read_limits<P: Platform>(
    gateway: &Gateway<P>,
    context: &StatementContext<'_>,
    instance: &Instance,
    is_last: bool,
    now: Instant,
) -> AttemptLimits {
    let usual = gateway
        .cluster
        .read_health(&instance.id, |health| health.latency())
        .flatten()
        .unwrap_or_default();
    let attempt = MIN_READ_ATTEMPT.max(usual * READ_ATTEMPT_LATENCIES);
    let (connection_by, answer_by) = if is_last {
        (context.wait_deadline(), context.answer_by())
    } else {
        (
            now + CONNECTION_WAIT_WITH_ALTERNATIVES,
            context.answer_by().min(now + attempt),
        )
    };
    AttemptLimits {
        urgency: context.urgency(Access::Read),
        connection_by,
        answer_by,
    }
}

fn read_frame(mode: TransactionMode, fence: Position) -> TransactionFrame {
    let fence = Some(fence);
    match mode {
        TransactionMode::Autocommit => TransactionFrame::Autocommit { fence },
        TransactionMode::ReadWrite | TransactionMode::ReadOnly => TransactionFrame::Begin {
            read_only: true,
            fence,
        },
    }
}

/// The reason to report when the last attempt ended with `cause`.
fn refusal_reason(cause: NotRunCause) -> NotRun {
    match cause {
        NotRunCause::NoConnection => NotRun::Overloaded,
        NotRunCause::Unreachable => NotRun::BackendUnavailable,
        NotRunCause::WarmingUp(retry_after) => NotRun::WarmingUp { retry_after },
        NotRunCause::Ineligible(Ineligible::OutsideRegions) => NotRun::NoInstanceInRegion,
        NotRunCause::Ineligible(Ineligible::Evacuated) => NotRun::Evacuated,
        NotRunCause::Refused(kind) => match kind {
            BackendErrorKind::Lagging => NotRun::NoFreshInstance,
            BackendErrorKind::ReadOnly => NotRun::NoPrimary,
            BackendErrorKind::WrongInstance => NotRun::BackendUnavailable,
            _ => NotRun::Overloaded,
        },
    }
}

fn record_retry<P: Platform>(
    gateway: &Gateway<P>,
    work: &Work,
    instance: &Instance,
    cause: NotRunCause,
) {
    gateway.metrics.retries.add();
    linkhold_events::Event::info("statement_not_run")
        .field("request", String::from_utf8_lossy(work.id()))
        .field("instance", &instance.id)
        .field("cause", format_args!("{cause:?}"))
        .log();
}

/// Whether a reply reports success.
pub(crate) fn is_success(reply: &BackendReply) -> bool {
    reply.error().is_none()
}
