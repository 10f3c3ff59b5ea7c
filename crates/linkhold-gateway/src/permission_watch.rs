//! Tells in the log when a node may not speak for primaries any more.

use std::sync::Arc;
use std::time::Duration;

use linkhold_events::Event;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::ports::Platform;

/// How often it is looked whether the permission has lapsed, for the log alone.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Logs when the permission has lapsed. Runs until the process ends.
pub(crate) async fn watch<P: Platform>(gateway: Arc<Gateway<P>>) {
    let permission = &gateway.beliefs.permission;
    let mut held = false;
    loop {
        sleep(LOOK_INTERVAL).await;
        let holds = permission.is_held();
        if std::mem::replace(&mut held, holds) && !holds {
            Event::warn("permission_lapsed")
                .field("renewed_ms_ago", permission.logged_age())
                .log();
        }
    }
}
