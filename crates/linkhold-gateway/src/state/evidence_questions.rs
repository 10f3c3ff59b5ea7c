//! Services with a pending question for evidence.

use std::collections::HashSet;
use std::sync::Mutex;

use linkhold_core::service::configuration::ServiceName;

use crate::cluster_state::lock;

/// Services with a pending question.
#[derive(Debug, Default)]
pub(crate) struct EvidenceQuestions(Mutex<HashSet<ServiceName>>);

impl EvidenceQuestions {
    /// Marks a service's question as pending. Returns whether none was pending before.
    pub fn start(&self, service: &ServiceName) -> bool {
        lock(&self.0).insert(service.clone())
    }

    /// Ends a service's question, answered or given up.
    pub fn end(&self, service: &ServiceName) {
        lock(&self.0).remove(service);
    }
}
