//! Lets a node go on while nobody renews its registration: the other nodes confirm
//! that no primary is about to be replaced without its consent.
//!
//! Only nodes that would read the store ask; a follower is told by its reader.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::permission::confirmations_needed;
use linkhold_peer::{ReachabilityMessage, encode_reachability};
use tokio::time::{sleep, timeout_at};

use crate::gateway::Gateway;
use crate::peers;
use crate::ports::Platform;
use crate::state::Confirmation;

/// How often confirmations are asked for: a lost one is made up for before a
/// permission that rests on them has run out.
pub(crate) const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(700);
/// How long answers are waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// How often it is looked whether confirmations are needed.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Subjects that an answer names, at the most: it has to fit one datagram. Whoever
/// has agreed to more confirms nothing.
const MOST_SUBJECTS: usize = 12;

/// This node's answer to a question for a confirmation.
pub(crate) fn answer<P: Platform>(gateway: &Gateway<P>, number: u64) -> ReachabilityMessage {
    let agreed = gateway.beliefs.permission.agreed_if_held();
    ReachabilityMessage::ConfirmationAnswer {
        number,
        agreed: agreed.filter(|subjects| subjects.len() <= MOST_SUBJECTS),
    }
}

/// Asks for confirmations while they are needed. Runs until the process ends.
pub(crate) async fn keep_confirmed<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        let asks = !gateway.sources.is_following();
        if !asks || !gateway.beliefs.permission.needs_confirmation() {
            sleep(LOOK_INTERVAL).await;
            continue;
        }
        let asked_at = Instant::now();
        if is_confirmed(&gateway).await {
            let agreed = gateway.beliefs.permission.agreed();
            gateway
                .beliefs
                .permission
                .record_confirmation(asked_at, &agreed);
            gateway.followers.record_confirmation(asked_at);
        }
        sleep(CONFIRMATION_INTERVAL.saturating_sub(asked_at.elapsed())).await;
    }
}

/// Whether enough of all nodes, this one included, have agreed to no replacement of
/// which this one does not know.
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
    // A lost question is made up for by the next one.
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
        let permission = &gateway.beliefs.permission;
        if agreed.is_some_and(|agreed| permission.has_agreed_to_all(&agreed)) {
            confirmed += 1;
        }
    }
    gateway.peers.confirmations.close(number);
    confirmed >= needed
}
