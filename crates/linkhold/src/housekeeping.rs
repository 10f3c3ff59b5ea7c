//! Periodic background work of a node: reports refusals and removes expired
//! request keys.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use linkhold_core::classify::Access;
use linkhold_core::request_key;
use rand::Rng;

use crate::backend::BackendError;
use crate::group::GroupHandle;
use crate::log_event::{Event, EventName};
use crate::node::NodeShared;

/// How often refusals are reported, if there are any.
const REPORT_PERIOD: Duration = Duration::from_secs(10);
const REFUSAL_PREFIX: &str = "not_run_";

/// Logs how many requests were refused since the last report, by reason.
pub async fn report_refusals(node: Arc<NodeShared>) {
    let mut reported: HashMap<String, u64> = HashMap::new();
    loop {
        tokio::time::sleep(REPORT_PERIOD).await;
        for (name, total) in node.metrics.snapshot() {
            let Some(reason) = name.strip_prefix(REFUSAL_PREFIX) else {
                continue;
            };
            let before = reported.insert(reason.to_owned(), total).unwrap_or(0);
            if total > before {
                Event::info(EventName::Refusals)
                    .field("reason", reason)
                    .field("count", total - before)
                    .log();
            }
        }
    }
}

/// Deletes request keys past their retention, at the primary of each database.
/// For each database, one node of the fleet on average does so in each period.
pub async fn remove_expired_keys(node: Arc<NodeShared>) {
    let period = node.settings.key_cleanup_interval;
    loop {
        tokio::time::sleep(period).await;
        for (name, group) in node.directory.snapshot().iter() {
            let is_chosen = rand::rng().random_ratio(1, node.settings.fleet_size);
            if !is_chosen {
                continue;
            }
            if let Ok(count) = remove_expired_keys_of(group).await
                && count > 0
            {
                Event::info(EventName::KeysRemoved)
                    .field("database", name)
                    .field("count", count)
                    .log();
            }
        }
    }
}

/// Deletes expired keys of one database, if its primary has a free slot. Returns
/// how many. Fails if the table of keys does not exist.
async fn remove_expired_keys_of(group: &GroupHandle) -> Result<u64, BackendError> {
    let Some(primary) = group.usable_primary(&group.view()) else {
        return Ok(0);
    };
    let instance = &group.instances[primary.instance];
    let Some(_slot) = instance.try_acquire(Access::Read) else {
        return Ok(0);
    };
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs());
    let mut connection = instance.pool.take().await?;
    let result = connection
        .execute(&request_key::delete_expired(now))
        .await?;
    connection.return_to_pool();
    // The tag is `DELETE count`.
    let count = result.tag.as_deref().and_then(|tag| tag.split(' ').nth(1));
    Ok(count.and_then(|word| word.parse().ok()).unwrap_or(0))
}
