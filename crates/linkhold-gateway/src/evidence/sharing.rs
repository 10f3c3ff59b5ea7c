//! Evidence of primaries that a follower takes over from its reader, so that
//! the questions primaries are asked do not grow with the nodes.
//!
//! # Invariant
//!
//! Evidence is never taken to be younger than it is. The reader tells its age
//! when the question arrived; the follower counts that back from before it
//! asked, which is earlier. Time on the way, or in a process that was paused,
//! makes evidence older, never younger.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::evidence::Sample;
use linkhold_peer::{EvidenceAnswer, EvidenceQuestion};
use tokio::time::timeout;

use crate::evidence::probe;
use crate::gateway::Gateway;
use crate::ports::Platform;

/// How long the reader may take before the primary is asked directly.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Age of evidence that is as good as new: the reader asks the primary no more
/// often than this for reads that accept old data.
const FRESH: Duration = Duration::from_millis(300);

/// Asks the reader that is followed for evidence that covers `moment`, or newer
/// than [`FRESH`] if that is enough; `None` if it has none or none is followed.
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
        max_age: asked_at.saturating_duration_since(moment).min(FRESH),
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

/// Answers a follower's question, from what is known or by asking the primary.
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
    let newest = covered.and_then(|_| gateway.beliefs.latest_sample(&question.service));
    let age = newest.map_or(Duration::ZERO, |sample| age_at(received_at, sample.sent_at));
    EvidenceAnswer {
        number: question.number,
        age,
        position: newest.map(|sample| sample.position),
    }
}

/// Age of evidence at a moment, rounded up: older than it is, never younger.
/// Evidence from later is as good as from that moment.
fn age_at(moment: Instant, sent_at: Instant) -> Duration {
    let age = moment.saturating_duration_since(sent_at);
    if age.is_zero() {
        return age;
    }
    age + Duration::from_millis(1)
}
