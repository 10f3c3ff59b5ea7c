//! Questions for evidence that are under way.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

use linkhold_core::service::configuration::ServiceName;

use crate::beliefs::lock;

/// Questions under way: when each was asked for.
#[derive(Debug, Default)]
pub(crate) struct Questions(Mutex<HashMap<ServiceName, Instant>>);

impl Questions {
    /// A question is asked unless one is under way; whether it is.
    pub fn start(&self, service: &ServiceName) -> bool {
        let mut running = lock(&self.0);
        if running.contains_key(service) {
            return false;
        }
        running.insert(service.clone(), Instant::now());
        true
    }

    /// The question was answered, or given up.
    pub fn end(&self, service: &ServiceName) {
        lock(&self.0).remove(service);
    }
}
