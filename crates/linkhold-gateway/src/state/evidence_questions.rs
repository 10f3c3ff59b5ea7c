//! Services with a pending question for evidence.

use std::collections::HashSet;
use std::sync::Mutex;

use linkhold_core::service::configuration::ServiceName;

use crate::beliefs::lock;

/// Services about which a question is under way.
#[derive(Debug, Default)]
pub(crate) struct EvidenceQuestions(Mutex<HashSet<ServiceName>>);

impl EvidenceQuestions {
    /// A question is asked unless one is under way; whether it is.
    pub fn start(&self, service: &ServiceName) -> bool {
        lock(&self.0).insert(service.clone())
    }

    /// The question was answered, or given up.
    pub fn end(&self, service: &ServiceName) {
        lock(&self.0).remove(service);
    }
}
