//! How many replicas hold the commits of a service, across changes of the setting.
//!
//! A commit is acknowledged under the setting of its time. Under a lower one it is in
//! fewer logs than a later setting promises, until the replicas have caught up.

use std::time::{Duration, Instant};

/// How long a commit that was acknowledged under an earlier setting may be missing from
/// replicas: longer than replicas that receive commits are behind.
const CATCH_UP_PERIOD: Duration = Duration::from_secs(60);

/// The number of synchronous replicas of a service.
#[derive(Clone, Debug, Default)]
pub struct SynchronousReplicas {
    current: Option<usize>,
    /// Earlier settings, and until when each counts.
    earlier: Vec<(usize, Instant)>,
}

impl SynchronousReplicas {
    /// Records the setting of a configuration that is in force from now on.
    pub fn record(&mut self, replicas: usize, now: Instant) {
        self.earlier.retain(|(_, until)| now < *until);
        let replaced = self.current.replace(replicas);
        if let Some(replaced) = replaced.filter(|replaced| *replaced != replicas) {
            self.earlier.push((replaced, now + CATCH_UP_PERIOD));
        }
    }

    /// Whether no acknowledged commit may be lost: by the present setting alone, so that
    /// operators can give up commits for the sake of a primary.
    pub fn forbids_loss(&self) -> bool {
        self.current.is_some_and(|current| current > 0)
    }

    /// Number of replicas that have received any acknowledged commit.
    pub fn guaranteed(&self, now: Instant) -> usize {
        let earlier = self.earlier.iter().filter(|(_, until)| now < *until);
        let settings = earlier.map(|(replicas, _)| *replicas).chain(self.current);
        settings.min().unwrap_or(0)
    }
}
