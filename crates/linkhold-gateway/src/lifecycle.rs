//! Shuts a node down without interrupting requests.
//!
//! 1. The node reports at once that it is not ready and keeps serving: the platform
//!    needs some seconds to route new callers elsewhere.
//! 2. Sessions are closed when they have no open transaction and no request, and are
//!    not about to send one.
//! 3. In the second half of the grace period open transactions are rolled back.
//! 4. The process exits when no session is left, or just before it is killed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_events::Event;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::ports::Platform;
use crate::registration;

/// How long the platform may still route new callers here after the node reports that it
/// is not ready.
const ROUTING_DELAY: Duration = Duration::from_millis(2_300);
/// Delay before idle sessions are closed, so that callers between two requests of one
/// operation are not disconnected at once.
const IDLE_DELAY: Duration = Duration::from_millis(300);
/// How long before the end of the grace period the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(1_000);
/// How often the remaining sessions are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);

/// What sessions do at each stage of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// Sessions are served.
    Serving,
    /// Sessions are closed when they have no open transaction and no request.
    ClosingIdle,
    /// As [`Self::ClosingIdle`], and no new session is accepted.
    Refusing,
    /// All sessions are closed; open transactions are rolled back.
    ClosingAll,
}

/// Carries out a shutdown; returns when the process should exit.
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
        // only in the next round.
        let refused_before = *stage.borrow() >= ShutdownStage::Refusing;
        sleep(COUNT_INTERVAL).await;
        let now = Instant::now();
        if now >= half {
            stage.send_replace(ShutdownStage::ClosingAll);
        } else if now >= started + ROUTING_DELAY {
            stage.send_replace(ShutdownStage::Refusing);
        }
        let served = gateway.relays.relayed_connections() + gateway.forwarding.lent_connections();
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
