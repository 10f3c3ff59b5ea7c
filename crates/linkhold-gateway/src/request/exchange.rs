//! One exchange of commands and replies on a connection. Records what the exchange shows
//! about the instance.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::instance::Instance;
use tokio::time::{sleep_until, timeout_at};

use crate::gateway::Gateway;
use crate::pool::Lease;
use crate::ports::{BackendConnection, BackendReply, Command, ExchangeError, Platform};
use crate::request::attempt::ConnectionOf;

/// Minimum time without an answer before the instance is probed.
const MIN_PROBE_SILENCE: Duration = Duration::from_millis(220);
/// Time without an answer before the instance is probed, as a multiple of its usual
/// latency.
const PROBE_SILENCE_LATENCIES: u32 = 6;

/// How an exchange of commands and replies ended.
pub(crate) enum ExchangeOutcome {
    /// A reply to each command.
    Answered(Vec<BackendReply>),
    /// The connection broke.
    Broken(ExchangeError),
    /// No complete answer came in time.
    Silent,
}

/// Sends commands, waits for their replies until `answer_by`, and records the result in
/// the health of the instance.
pub(crate) async fn exchange_commands<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    lease: &mut Lease<ConnectionOf<P>>,
    commands: &[Command],
    answer_by: Instant,
) -> ExchangeOutcome {
    let instance = lease.instance().clone();
    let sent_at = Instant::now();
    let in_flight = InFlight::start(gateway, &instance);
    let exchanged = send_and_wait(gateway, lease, commands, sent_at, answer_by).await;
    drop(in_flight);
    match exchanged {
        None => {
            lease.suspect_used_before(sent_at.into());
            gateway.statement_timed_out(&instance, sent_at);
            ExchangeOutcome::Silent
        }
        Some(Err(error)) => {
            gateway.connection_lost(&instance);
            ExchangeOutcome::Broken(error)
        }
        Some(Ok(replies)) => {
            let position = replies.last().and_then(|reply| reply.position);
            gateway.record_instance_answer(&instance.id, sent_at.elapsed(), position);
            ExchangeOutcome::Answered(replies)
        }
    }
}

/// Counts a statement as in flight at an instance until it is dropped.
pub(crate) struct InFlight<'a, P: Platform> {
    gateway: &'a Gateway<P>,
    instance: Arc<Instance>,
}

impl<'a, P: Platform> InFlight<'a, P> {
    pub fn start(gateway: &'a Gateway<P>, instance: &Arc<Instance>) -> Self {
        gateway
            .cluster
            .update_health(&instance.id, |health| health.begin());
        Self {
            gateway,
            instance: instance.clone(),
        }
    }
}

impl<P: Platform> Drop for InFlight<'_, P> {
    fn drop(&mut self) {
        self.gateway
            .cluster
            .update_health(&self.instance.id, |health| health.end());
    }
}

/// Sends commands and waits for their replies; `None` if they are not complete by
/// `answer_by`. Starts a probe of the instance if it is silent for too long.
async fn send_and_wait<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    lease: &mut Lease<ConnectionOf<P>>,
    commands: &[Command],
    sent_at: Instant,
    answer_by: Instant,
) -> Option<Result<Vec<BackendReply>, ExchangeError>> {
    let instance = lease.instance().clone();
    let probe_at = sent_at + silence_limit(gateway, &instance);
    let exchange = lease.pooled().connection.exchange(commands);
    tokio::pin!(exchange);
    if probe_at < answer_by {
        tokio::select! {
            replies = &mut exchange => return Some(replies),
            () = sleep_until(probe_at.into()) => gateway.suspect_if_primary_is_silent(&instance, sent_at),
        }
    }
    timeout_at(answer_by.into(), exchange).await.ok()
}

/// How long an instance may be silent before it is probed.
fn silence_limit<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> Duration {
    let usual = gateway
        .cluster
        .read_health(&instance.id, |health| health.latency())
        .flatten()
        .unwrap_or_default();
    MIN_PROBE_SILENCE.max(usual * PROBE_SILENCE_LATENCIES)
}
