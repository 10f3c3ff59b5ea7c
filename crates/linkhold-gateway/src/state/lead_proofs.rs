//! Proofs that primaries lead, one round of questions about a service at a time.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use linkhold_core::service::configuration::ServiceName;

use crate::beliefs::lock;

/// One round of questions about a service at a time.
#[derive(Debug, Default)]
pub(crate) struct LeadProofs(Mutex<HashMap<ServiceName, Arc<tokio::sync::Mutex<()>>>>);

impl LeadProofs {
    /// What a round about a service holds while it lasts.
    pub fn turn(&self, service: &ServiceName) -> Arc<tokio::sync::Mutex<()>> {
        lock(&self.0).entry(service.clone()).or_default().clone()
    }
}
