//! Evidence that a follower obtains from its reader, so that the number of requests to
//! primaries does not grow with the number of nodes.
//!
//! # Invariant
//!
//! Evidence is never assumed to be newer than it is. The reader sends its age at the
//! arrival of the question; the follower subtracts that from the time before it asked,
//! which is earlier. Time in transit, or in a paused process, makes evidence older,
//! never newer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::evidence::Sample;
use linkhold_peer::{EvidenceAnswer, EvidenceQuestion};
use tokio::time::timeout;

use crate::evidence::probe;
use crate::gateway::Gateway;
use crate::ports::Platform;

/// Time that the reader may take to answer before the primary is asked directly.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Age up to which evidence counts as new: for reads that accept old data, the reader
/// asks the primary at most once in this time.
const FRESH_AGE: Duration = Duration::from_millis(300);

/// Asks the reader that this node follows for evidence that covers `moment`, or that is
/// newer than [`FRESH_AGE`] if `moment` is older. Returns `None` if the reader has
/// none, does not answer in time, or this node follows no reader.
pub(crate) async fn ask_reader<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    moment: Instant,
) -> Option<Sample> {
    if !gateway.sources.is_following() {
        return None;
    }
    let asked_at = Instant::now();
    let number = rand::random();
    let question = EvidenceQuestion {
        number,
        service: service.clone(),
        max_age: asked_at.saturating_duration_since(moment).min(FRESH_AGE),
    };
    let receiver = gateway.reader_link.ask(question)?;
    let answer = timeout(ANSWER_TIMEOUT, receiver).await;
    gateway.reader_link.cancel(number);
    let answer = answer.ok()?.ok()?;
    Some(Sample {
        sent_at: asked_at.checked_sub(answer.age)?,
        position: answer.position?,
    })
}

/// Answers a follower's question from known evidence, or after asking the primary.
pub(crate) async fn answer<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    question: &EvidenceQuestion,
    received_at: Instant,
) -> EvidenceAnswer {
    let moment = received_at
        .checked_sub(question.max_age)
        .unwrap_or(received_at);
    let deadline = received_at + ANSWER_TIMEOUT;
    let covered = probe::fence(gateway, &question.service, moment, deadline).await;
    let newest = covered.and_then(|_| gateway.cluster.latest_sample(&question.service));
    let age = newest.map_or(Duration::ZERO, |sample| age_at(received_at, sample.sent_at));
    EvidenceAnswer {
        number: question.number,
        age,
        position: newest.map(|sample| sample.position),
    }
}

/// Age of evidence at a moment, rounded up so that it never seems newer than it is.
/// Evidence from after that moment has age zero.
fn age_at(moment: Instant, sent_at: Instant) -> Duration {
    let age = moment.saturating_duration_since(sent_at);
    if age.is_zero() {
        return age;
    }
    age + Duration::from_millis(1)
}
