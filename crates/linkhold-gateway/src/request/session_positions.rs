//! Log positions that a session's reads must have reached, by service.

use std::collections::HashMap;
use std::time::Instant;

use linkhold_core::position::Position;
use linkhold_core::service::configuration::ServiceName;

/// Log positions that a session's reads must have reached.
#[derive(Debug)]
pub(crate) struct SessionPositions {
    /// When the session began. Its user may have written in other sessions before.
    pub opened_at: Instant,
    required: HashMap<ServiceName, Position>,
}

impl SessionPositions {
    pub fn new(opened_at: Instant) -> Self {
        Self {
            opened_at,
            required: HashMap::new(),
        }
    }

    /// Whether a position is known that covers everything acknowledged before the
    /// session began.
    pub fn has_baseline(&self, service: &str) -> bool {
        self.required.contains_key(service)
    }

    /// Records a position that covers everything acknowledged before the session began,
    /// unless one is known.
    pub fn record_baseline(&mut self, service: &ServiceName, position: Position) {
        self.required.entry(service.clone()).or_insert(position);
    }

    /// Records the position of a commit of this session.
    pub fn record_commit(&mut self, service: &ServiceName, position: Position) {
        if let Some(required) = self.required.get_mut(service) {
            *required = position.max(*required);
        } else {
            // The commit was answered after the session began, so its position
            // covers everything acknowledged before.
            self.required.insert(service.clone(), position);
        }
    }

    /// The position that the session's reads must have reached; `None` before a
    /// baseline or commit is recorded.
    pub fn required(&self, service: &str) -> Option<Position> {
        self.required.get(service).copied()
    }
}
