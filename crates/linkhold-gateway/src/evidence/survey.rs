//! Probes instances and asks for their statuses, on connections of its own: those of
//! the pool may all be stuck on an instance that does not answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use linkhold_core::position::Term;
use linkhold_core::service::evidence::Sample;
use linkhold_core::service::failover::InstanceStatus;
use linkhold_core::service::instance::Instance;
use linkhold_core::service::log_completeness::StatusReport;
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::tenancy::ConnectionHolder;
use linkhold_peer::Reachability;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::pool::Opener;
use crate::ports::{
    BackendConnection, BackendErrorKind, BackendReply, Command, ConnectError, Platform,
};

/// Timeout for connecting to an instance and its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);

/// Probes whether an instance can be reached as a primary.
pub(crate) async fn probe_primary<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
) -> Reachability {
    let sent_at = Instant::now();
    let reply = match probe_write_transaction(gateway, instance).await {
        Ok(reply) => reply,
        // The instance is up, and has all the connections it can take.
        Err(ConnectError::Rejected) => return Reachability::Reached,
        Err(ConnectError::Closed) if gateway.answered_lately(instance) => {
            return Reachability::Reached;
        }
        Err(_) => return Reachability::Unreached,
    };
    match (reply.error(), reply.position) {
        (Some(BackendErrorKind::ReadOnly), _) => Reachability::NotPrimary,
        (None, Some(position)) => {
            // A primary that may have been replaced proves nothing about its service's
            // log.
            if !gateway.cluster.needs_verification(&instance.id) {
                gateway.record_primary_proof(instance, Sample { sent_at, position });
            }
            Reachability::Reached
        }
        _ => Reachability::Reached,
    }
}

/// Begins a write transaction and rolls it back, which takes no slot; returns the reply
/// to the begin command.
pub(crate) async fn probe_write_transaction<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
) -> Result<BackendReply, ConnectError> {
    let commands = [
        Command::Begin {
            read_only: false,
            fence: None,
        },
        Command::Rollback,
    ];
    let mut replies = run(gateway, instance, &commands).await?;
    Ok(replies.swap_remove(0))
}

/// Statuses of the instances that answer.
pub(crate) async fn statuses<P: Platform>(
    gateway: &Gateway<P>,
    instances: &[Arc<Instance>],
) -> Vec<InstanceStatus> {
    let questions = instances.iter().map(|instance| status(gateway, instance));
    join_all(questions).await.into_iter().flatten().collect()
}

/// Statuses of the instances that answer, directly or through a peer that relays this
/// node's connections to them.
pub(crate) async fn statuses_direct_or_relayed<P: Platform>(
    gateway: &Gateway<P>,
    instances: &[Arc<Instance>],
) -> Vec<InstanceStatus> {
    let questions = instances.iter().map(|instance| async {
        let connecting = gateway.open(
            instance,
            &ConnectionHolder::NoTenant,
            &AllowedRegions::Everywhere,
        );
        let connecting = async { Ok(connecting.await?.connection) };
        let replies = run_on(connecting, &[Command::Status]).await.ok()?;
        gateway.platform.read_status(&instance.id, &replies[0])
    });
    join_all(questions).await.into_iter().flatten().collect()
}

/// The status of an instance; `None` if it does not answer with one.
pub(crate) async fn status<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
) -> Option<InstanceStatus> {
    let replies = run(gateway, instance, &[Command::Status]).await.ok()?;
    gateway.platform.read_status(&instance.id, &replies[0])
}

/// The status of an instance with the time of the question; `None` if it does not
/// answer with one.
pub(crate) async fn report<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
) -> Option<StatusReport> {
    let asked_at = Instant::now();
    let status = status(gateway, instance).await?;
    Some(StatusReport { status, asked_at })
}

/// Turns a primary into a replica; returns its status afterwards, if it answers with
/// one.
pub(crate) async fn step_down<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
    term: Term,
) -> Option<InstanceStatus> {
    let replies = run(gateway, instance, &[Command::StepDown { term }])
        .await
        .ok()?;
    gateway.platform.read_status(&instance.id, &replies[0])
}

/// Runs commands on a new direct connection to an instance.
async fn run<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
    commands: &[Command],
) -> Result<Vec<BackendReply>, ConnectError> {
    let connecting = gateway
        .platform
        .connect(instance, &ConnectionHolder::NoTenant);
    run_on(connecting, commands).await
}

/// Runs commands on a connection once it is made.
async fn run_on<C: BackendConnection>(
    connecting: impl Future<Output = Result<C, ConnectError>>,
    commands: &[Command],
) -> Result<Vec<BackendReply>, ConnectError> {
    let exchange = async {
        connecting
            .await?
            .exchange(commands)
            .await
            .map_err(|_| ConnectError::Unreachable)
    };
    timeout(ANSWER_TIMEOUT, exchange)
        .await
        .unwrap_or(Err(ConnectError::Unreachable))
}
