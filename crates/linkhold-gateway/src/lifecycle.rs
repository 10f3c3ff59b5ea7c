//! Stopping a node without cutting a request.
//!
//! 1. The node says at once that it is not ready, and goes on serving: the
//!    platform needs some seconds to send new callers elsewhere.
//! 2. Sessions are closed when no transaction is open and nothing is asked, nor
//!    about to be.
//! 3. In the second half of the grace period open transactions are ended.
//! 4. The process exits when no session is left, or just before it is killed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_events::Event;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::ports::Platform;
use crate::registration;

/// How long new callers may still be sent here after the node is not ready.
const ROUTING_DELAY: Duration = Duration::from_millis(2_300);
/// Idle sessions are closed after this, so that callers that are between two
/// requests of one operation are not sent away at once.
const IDLE_DELAY: Duration = Duration::from_millis(300);
/// Left before the end of the grace period.
const EXIT_MARGIN: Duration = Duration::from_millis(1_000);
/// How often the sessions left are counted.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// What sessions are to do about a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// Serve.
    Serving,
    /// End when no transaction is open and nothing is asked.
    ClosingIdle,
    /// The same, and no new session is accepted.
    Refusing,
    /// End.
    ClosingAll,
}

/// Carries out a stop; returns when the process should exit.
pub async fn stop<P: Platform>(gateway: Arc<Gateway<P>>, stage: watch::Sender<ShutdownStage>) {
    let started = Instant::now();
    let grace = gateway.settings.grace;
    gateway.leave();
    Event::info("node_leaving")
        .field("node", &gateway.settings.node)
        .field("grace_ms", grace.as_millis())
        .log();
    sleep(IDLE_DELAY).await;
    stage.send_replace(ShutdownStage::ClosingIdle);
    let half = started + grace / 2;
    let end = started + grace.saturating_sub(EXIT_MARGIN);
    while Instant::now() < end {
        // A session that was accepted just before sessions were refused is counted
        // only at the look after that.
        let refused_before = *stage.borrow() >= ShutdownStage::Refusing;
        sleep(LOOK_INTERVAL).await;
        let now = Instant::now();
        if now >= half {
            stage.send_replace(ShutdownStage::ClosingAll);
        } else if now >= started + ROUTING_DELAY {
            stage.send_replace(ShutdownStage::Refusing);
        }
        let served = gateway.relays.serving() + gateway.forwarding.lent();
        if refused_before && gateway.metrics.sessions_open() == 0 && served == 0 {
            break;
        }
    }
    registration::deregister(&gateway).await;
    Event::info("node_stopped")
        .field("node", &gateway.settings.node)
        .field("sessions_left", gateway.metrics.sessions_open())
        .field("took_ms", started.elapsed().as_millis())
        .log();
}
