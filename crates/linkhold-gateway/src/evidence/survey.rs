//! Asks instances what they are, on connections of its own: the pool's may all
//! be stuck on an instance that is silent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use linkhold_core::position::Term;
use linkhold_core::service::evidence::Sample;
use linkhold_core::service::failover::InstanceStatus;
use linkhold_core::service::instance::Instance;
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::tenancy::ConnectionHolder;
use linkhold_peer::Reachability;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::pool::Opener;
use crate::ports::{
    BackendConnection, BackendErrorKind, BackendReply, Command, ConnectError, Platform,
};

/// How long an instance may take to connect and answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);

/// Tries to reach an instance as a primary.
pub(crate) async fn reach_primary<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
) -> Reachability {
    let sent_at = Instant::now();
    let reply = match begin(gateway, instance).await {
        Ok(reply) => reply,
        // It lives, and has all the connections it can take.
        Err(ConnectError::Rejected) => return Reachability::Reached,
        Err(ConnectError::Closed) if gateway.answered_lately(instance) => {
            return Reachability::Reached;
        }
        Err(_) => return Reachability::Unreached,
    };
    match (reply.error(), reply.position) {
        (Some(BackendErrorKind::ReadOnly), _) => Reachability::NotPrimary,
        (None, Some(position)) => {
            // One that may have been replaced proves nothing of its service's log.
            if !gateway.beliefs.needs_lead_proof(&instance.id) {
                gateway.record_primary_proof(instance, Sample { sent_at, position });
            }
            Reachability::Reached
        }
        _ => Reachability::Reached,
    }
}

/// Begins a writing transaction and rolls it back, which takes no slot; the reply to the
/// beginning.
pub(crate) async fn begin<P: Platform>(
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
    let mut replies = ask(gateway, instance, &commands).await?;
    Ok(replies.swap_remove(0))
}

/// The statuses of those instances that answer.
pub(crate) async fn statuses<P: Platform>(
    gateway: &Gateway<P>,
    instances: &[Arc<Instance>],
) -> Vec<InstanceStatus> {
    let questions = instances.iter().map(|instance| status(gateway, instance));
    join_all(questions).await.into_iter().flatten().collect()
}

/// The statuses of those instances that answer, directly or through a peer that serves this
/// node's connections to them.
pub(crate) async fn statuses_by_any_way<P: Platform>(
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
        let replies = ask_over(connecting, &[Command::Status]).await.ok()?;
        gateway.platform.read_status(&instance.id, &replies[0])
    });
    join_all(questions).await.into_iter().flatten().collect()
}

/// The status of an instance; `None` if it does not tell it.
pub(crate) async fn status<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
) -> Option<InstanceStatus> {
    let replies = ask(gateway, instance, &[Command::Status]).await.ok()?;
    gateway.platform.read_status(&instance.id, &replies[0])
}

/// Turns a primary into a replica; its status afterwards.
pub(crate) async fn step_down<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
    term: Term,
) -> Option<InstanceStatus> {
    let replies = ask(gateway, instance, &[Command::StepDown { term }])
        .await
        .ok()?;
    gateway.platform.read_status(&instance.id, &replies[0])
}

async fn ask<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
    commands: &[Command],
) -> Result<Vec<BackendReply>, ConnectError> {
    let connecting = gateway
        .platform
        .connect(instance, &ConnectionHolder::NoTenant);
    ask_over(connecting, commands).await
}

async fn ask_over<C: BackendConnection>(
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
