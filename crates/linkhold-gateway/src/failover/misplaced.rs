//! Schedules attempts to replace primaries that are not where they should be.
//!
//! Such a primary serves, and may do so for a long time if no successor is close. So the
//! nodes take turns by their rank, and each retries with a growing pause.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;

use crate::gateway::Gateway;
use crate::ports::Platform;

/// Time between the first tries of nodes of consecutive rank. Longer than a switch-over
/// takes.
const RANK_INTERVAL: Duration = Duration::from_millis(1_500);
/// Pause before the second try of a node; it doubles with each try.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Longest pause between tries.
const MAX_PAUSE: Duration = Duration::from_millis(4_000);

struct Turn {
    next_at: Instant,
    pause: Duration,
}

/// Services whose primary is misplaced, and when this node tries next to replace it.
#[derive(Default)]
pub(super) struct MisplacedPrimaries {
    turns: HashMap<ServiceName, Turn>,
}

impl MisplacedPrimaries {
    /// Services whose primary this node is to replace now.
    pub fn due<P: Platform>(&mut self, gateway: &Gateway<P>) -> Vec<ServiceName> {
        let now = Instant::now();
        let services = gateway.cluster.services();
        let misplaced: Vec<ServiceName> = services
            .into_iter()
            .filter(|service| gateway.cluster.is_primary_misplaced(service))
            .collect();
        self.turns.retain(|service, _| misplaced.contains(service));
        let is_due = |service: &ServiceName| {
            let first_turn = || Turn {
                next_at: now + turn_delay(gateway, service),
                pause: FIRST_PAUSE,
            };
            let turn = self.turns.entry(service.clone()).or_insert_with(first_turn);
            turn.take(now)
        };
        misplaced.into_iter().filter(is_due).collect()
    }
}

impl Turn {
    /// Schedules the next try if one is due; returns whether one was.
    fn take(&mut self, now: Instant) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + self.pause;
            self.pause = (self.pause * 2).min(MAX_PAUSE);
        }
        is_due
    }
}

fn turn_delay<P: Platform>(gateway: &Gateway<P>, service: &str) -> Duration {
    let rank = gateway.fleet.duty_rank(&gateway.settings.node, service);
    RANK_INTERVAL.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX))
}
