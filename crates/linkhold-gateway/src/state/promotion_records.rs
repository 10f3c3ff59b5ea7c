//! The store's records of earlier promotions, as last read.

use std::collections::HashMap;
use std::sync::Mutex;

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::primary_verification::PromotionRecord;

use crate::cluster_state::lock;

/// The store's records of earlier promotions; `None` until they have been read.
#[derive(Debug, Default)]
pub(crate) struct PromotionRecords(Mutex<Option<HashMap<ServiceName, PromotionRecord>>>);

impl PromotionRecords {
    /// Replaces all records by those that were read.
    pub fn replace(&self, records: &[(ServiceName, PromotionRecord)]) {
        *lock(&self.0) = Some(records.iter().cloned().collect());
    }

    /// Updates the record of a service, once all records have been read.
    pub fn update(&self, service: &ServiceName, record: PromotionRecord) {
        if let Some(known) = &mut *lock(&self.0) {
            known.insert(service.clone(), record);
        }
    }

    /// The record of a service, which may be empty; `None` if no records have been
    /// read.
    pub fn of(&self, service: &str) -> Option<PromotionRecord> {
        let known = lock(&self.0);
        let records = known.as_ref()?;
        Some(records.get(service).cloned().unwrap_or_default())
    }
}
