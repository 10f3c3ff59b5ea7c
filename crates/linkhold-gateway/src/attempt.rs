//! One try of a statement on one instance.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::instance::Instance;
use linkhold_core::service::session::{SessionState, TransactionStatus};
use tokio::time::{sleep_until, timeout_at};

use crate::batch::{self, Batch, Frame, Work};
use crate::gateway::Gateway;
use crate::pool::{CheckoutError, Lease, Urgency};
use crate::ports::{
    BackendConnection, BackendConnector, BackendErrorKind, BackendReply, ConnectError,
    ExchangeError, Platform,
};

/// Silence after which an instance is looked at, at the least.
const LEAST_SILENCE: Duration = Duration::from_millis(220);
/// Silence after which an instance is looked at, in its usual latencies.
const SILENCE_LATENCIES: u32 = 6;

/// The connection type of a platform.
pub(crate) type ConnectionOf<P> = <P as BackendConnector>::Connection;

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
    /// The reply to the start of the transaction, if there was one.
    pub begin: Option<BackendReply>,
    pub lease: Lease<ConnectionOf<P>>,
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
}

/// Runs `work` on `instance`.
pub(crate) async fn run<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    instance: &Arc<Instance>,
    session: &SessionState,
    work: &Work,
    frame: Frame,
    bounds: Bounds,
) -> Attempt<P> {
    let pool = gateway.pools.pool(instance, &gateway.beliefs);
    let checkout = pool
        .checkout(
            &*gateway.platform,
            &session.values,
            bounds.urgency,
            bounds.connection_by.into(),
        )
        .await;
    let lease = match checkout {
        Ok(lease) => lease,
        Err(error) => {
            gateway.checkout_failed(instance, error);
            return Attempt::NotRun(match error {
                CheckoutError::Exhausted => NotRunCause::NoConnection,
                CheckoutError::Connect(_) => NotRunCause::Unreachable,
            });
        }
    };
    run_on(gateway, lease, session, work, frame, bounds.answer_by).await
}

/// Runs `work` on a connection that is held.
pub(crate) async fn run_on<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    mut lease: Lease<ConnectionOf<P>>,
    session: &SessionState,
    work: &Work,
    frame: Frame,
    answer_by: Instant,
) -> Attempt<P> {
    let instance = lease.instance().clone();
    let batch = batch::build(lease.pooled(), session, work, frame);
    let sent_at = Instant::now();
    let in_flight = InFlight::start(gateway, &instance);
    let exchanged = exchange(gateway, &mut lease, &batch, sent_at, answer_by).await;
    drop(in_flight);
    match exchanged {
        None => {
            gateway.instance_silent(&instance, sent_at);
            Attempt::TimedOut
        }
        Some(Err(error)) => broken(gateway, lease, error, &batch),
        Some(Ok(replies)) => {
            gateway.instance_answered(&instance.id, sent_at.elapsed());
            judge(gateway, lease, replies, &batch, sent_at)
        }
    }
}

/// Counts a statement as under way until it is dropped.
struct InFlight<'a, P: Platform> {
    gateway: &'a Gateway<P>,
    instance: Arc<Instance>,
}

impl<'a, P: Platform> InFlight<'a, P> {
    fn start(gateway: &'a Gateway<P>, instance: &Arc<Instance>) -> Self {
        gateway
            .beliefs
            .observe(&instance.id, |health| health.begin());
        Self {
            gateway,
            instance: instance.clone(),
        }
    }
}

impl<P: Platform> Drop for InFlight<'_, P> {
    fn drop(&mut self) {
        self.gateway
            .beliefs
            .observe(&self.instance.id, |health| health.end());
    }
}

/// Sends the batch and waits; has the instance looked at when it is silent.
async fn exchange<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    lease: &mut Lease<ConnectionOf<P>>,
    batch: &Batch,
    sent_at: Instant,
    answer_by: Instant,
) -> Option<Result<Vec<BackendReply>, ExchangeError>> {
    let instance = lease.instance().clone();
    let look_at = sent_at + silence_limit(gateway, &instance);
    let exchange = lease.pooled().connection.exchange(&batch.commands);
    tokio::pin!(exchange);
    if look_at < answer_by {
        tokio::select! {
            replies = &mut exchange => return Some(replies),
            () = sleep_until(look_at.into()) => gateway.look_at_silent(&instance, sent_at),
        }
    }
    timeout_at(answer_by.into(), exchange).await.ok()
}

fn silence_limit<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> Duration {
    let usual = gateway
        .beliefs
        .inspect(&instance.id, |health| health.latency())
        .flatten()
        .unwrap_or_default();
    LEAST_SILENCE.max(usual * SILENCE_LATENCIES)
}

fn broken<P: Platform>(
    gateway: &Gateway<P>,
    lease: Lease<ConnectionOf<P>>,
    error: ExchangeError,
    batch: &Batch,
) -> Attempt<P> {
    let instance = lease.instance().clone();
    drop(lease);
    gateway.instance_failed(&instance, "connection_lost");
    // A refusal that came before the break still proves that nothing ran.
    let refusal = [batch.begin, Some(batch.main)]
        .into_iter()
        .flatten()
        .find_map(|index| error.replies.get(index)?.error())
        .filter(|kind| proves_not_run(*kind));
    match refusal {
        Some(kind) => Attempt::NotRun(NotRunCause::Refused(kind)),
        None => Attempt::Lost,
    }
}

fn judge<P: Platform>(
    gateway: &Gateway<P>,
    mut lease: Lease<ConnectionOf<P>>,
    replies: Vec<BackendReply>,
    batch: &Batch,
    sent_at: Instant,
) -> Attempt<P> {
    let status = replies
        .last()
        .map_or(TransactionStatus::Idle, |reply| reply.status);
    let begin = batch.begin.map(|index| replies[index].clone());
    let reply = replies[batch.main].clone();
    let refusal = begin
        .as_ref()
        .and_then(BackendReply::error)
        .or_else(|| reply.error().filter(|kind| proves_not_run(*kind)));
    let Some(kind) = refusal else {
        return Attempt::Answered(Answer {
            reply,
            begin,
            lease,
            sent_at,
        });
    };
    let instance = lease.instance().clone();
    lease.pooled().needs_rollback = status != TransactionStatus::Idle;
    if kind == BackendErrorKind::UnknownPrepared {
        // What was recorded as prepared is not there: do not use it again.
        drop(lease);
    } else {
        lease.release();
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

impl<P: Platform> Gateway<P> {
    /// No connection to an instance was had.
    pub(crate) fn checkout_failed(&self, instance: &Instance, error: CheckoutError) {
        match error {
            CheckoutError::Exhausted => {}
            CheckoutError::Connect(ConnectError::Unreachable) => {
                self.instance_failed(instance, "unreachable");
            }
            CheckoutError::Connect(ConnectError::WrongInstance) => {
                self.instance_failed(instance, "address_used_by_another");
            }
            CheckoutError::Connect(ConnectError::TooManyConnections) => {
                self.note_refusal(instance, BackendErrorKind::TooManyConnections);
            }
        }
    }

    /// An instance refused a statement.
    pub(crate) fn note_refusal(&self, instance: &Instance, kind: BackendErrorKind) {
        /// How long an instance without room is passed over.
        const BUSY_PAUSE: Duration = Duration::from_millis(40);
        /// How long an instance that is behind is passed over.
        const LAGGING_PAUSE: Duration = Duration::from_millis(150);
        let now = Instant::now();
        match kind {
            BackendErrorKind::ReadOnly => self.instance_denied_primary(instance),
            BackendErrorKind::Busy | BackendErrorKind::TooManyConnections => self
                .beliefs
                .observe(&instance.id, |health| health.was_busy(now, BUSY_PAUSE)),
            BackendErrorKind::Lagging => self
                .beliefs
                .observe(&instance.id, |health| health.lagged(now, LAGGING_PAUSE)),
            BackendErrorKind::WrongInstance => {
                self.instance_failed(instance, "address_used_by_another");
            }
            BackendErrorKind::UnknownPrepared
            | BackendErrorKind::Aborted
            | BackendErrorKind::Ran => {}
        }
    }

    /// A statement got no answer in time.
    pub(crate) fn instance_silent(&self, instance: &Instance, sent_at: Instant) {
        if !self.answered_since(instance, sent_at) {
            self.instance_failed(instance, "silent");
        }
    }

    /// A statement has waited unusually long.
    fn look_at_silent(&self, instance: &Instance, sent_at: Instant) {
        let is_primary = self
            .beliefs
            .primary(&instance.service)
            .is_some_and(|primary| primary.id == instance.id);
        if is_primary && !self.answered_since(instance, sent_at) {
            self.attention.suspicion.notify_one();
        }
    }

    fn answered_since(&self, instance: &Instance, moment: Instant) -> bool {
        self.beliefs
            .inspect(&instance.id, |health| health.last_success())
            .flatten()
            .is_some_and(|at| at >= moment)
    }
}
