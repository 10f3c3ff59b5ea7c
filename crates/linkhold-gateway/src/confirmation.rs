//! Lets a node keep acknowledging while its registration is not renewed: the other
//! nodes confirm that no primary is about to be replaced without its consent.
//!
//! Only nodes that read the store ask for confirmations; a follower receives them from
//! its reader.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::permission::confirmations_needed;
use linkhold_peer::{ReachabilityMessage, encode_reachability};
use tokio::time::{sleep, timeout_at};

use crate::gateway::Gateway;
use crate::peers;
use crate::ports::Platform;
use crate::state::Confirmation;

/// Interval between requests for confirmations: short enough to repeat a lost one
/// before the permission that rests on them expires.
pub(crate) const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(700);
/// Time to wait for answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// How often this node checks whether it needs confirmations.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of subjects in an answer, which has to fit into one datagram. A node
/// that has agreed to more confirms nothing.
const MAX_SUBJECTS: usize = 12;

/// Answers a request for a confirmation.
pub(crate) fn answer<P: Platform>(gateway: &Gateway<P>, number: u64) -> ReachabilityMessage {
    let agreed = gateway.cluster.permission.agreed_if_held();
    ReachabilityMessage::ConfirmationAnswer {
        number,
        agreed: agreed.filter(|subjects| subjects.len() <= MAX_SUBJECTS),
    }
}

/// Requests confirmations while they are needed. Runs until the process ends.
pub(crate) async fn keep_confirmed<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        let asks = !gateway.sources.is_following();
        if !asks || !gateway.cluster.permission.needs_confirmation() {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let asked_at = Instant::now();
        if is_confirmed(&gateway).await {
            let agreed = gateway.cluster.permission.agreed();
            gateway
                .cluster
                .permission
                .record_confirmation(asked_at, &agreed);
            gateway.followers.record_confirmation(asked_at);
        }
        sleep(CONFIRMATION_INTERVAL.saturating_sub(asked_at.elapsed())).await;
    }
}

/// Whether enough nodes, this one included, have agreed to no replacement that this
/// node does not know of.
async fn is_confirmed<P: Platform>(gateway: &Gateway<P>) -> bool {
    let Some(needed) = confirmations_needed(gateway.fleet.largest_recent_size()) else {
        return false;
    };
    let (Some(key), Some(socket)) = (gateway.fleet.key(), gateway.peers.socket()) else {
        return false;
    };
    let number = rand::random();
    let mut answers = gateway.peers.confirmations.register(number);
    let mut pending = gateway.fleet.peer_addresses(&gateway.settings.node);
    let question = ReachabilityMessage::ConfirmationQuestion { number };
    // If the question is lost, the next round repeats it.
    peers::send(&socket, &pending, &encode_reachability(&question, &key)).await;
    let deadline = tokio::time::Instant::now() + ANSWER_TIMEOUT;
    let mut confirmed = 1;
    while confirmed < needed && !pending.is_empty() {
        let Ok(Some(Confirmation { from, agreed })) = timeout_at(deadline, answers.recv()).await
        else {
            break;
        };
        let Some(index) = pending.iter().position(|peer| *peer == from) else {
            continue;
        };
        pending.swap_remove(index);
        let permission = &gateway.cluster.permission;
        if agreed.is_some_and(|agreed| permission.has_agreed_to_all(&agreed)) {
            confirmed += 1;
        }
    }
    gateway.peers.confirmations.close(number);
    confirmed >= needed
}
