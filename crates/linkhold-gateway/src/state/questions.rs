//! Questions for evidence that are under way.

use std::collections::HashSet;
use std::sync::Mutex;

use linkhold_core::service::configuration::ServiceName;

use crate::cluster_state::lock;

/// Services about which a question is under way.
#[derive(Debug, Default)]
pub(crate) struct Questions(Mutex<HashSet<ServiceName>>);

impl Questions {
    /// A question is asked unless one is under way; whether it is.
    pub fn start(&self, service: &ServiceName) -> bool {
        lock(&self.0).insert(service.clone())
    }

    /// The question was answered, or given up.
    pub fn end(&self, service: &ServiceName) {
        lock(&self.0).remove(service);
    }
}
