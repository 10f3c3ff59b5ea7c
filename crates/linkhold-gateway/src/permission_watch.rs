//! Logs when this node loses its permission to acknowledge for primaries.

use std::sync::Arc;
use std::time::Duration;

use linkhold_events::Event;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::ports::Platform;

/// How often the permission is checked; this serves the log only.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Logs each time the permission lapses. Runs until the process ends.
pub(crate) async fn watch<P: Platform>(gateway: Arc<Gateway<P>>) {
    let permission = &gateway.cluster.permission;
    let mut held = false;
    loop {
        sleep(CHECK_INTERVAL).await;
        let holds = permission.is_held();
        if std::mem::replace(&mut held, holds) && !holds {
            Event::warn("permission_lapsed")
                .field("renewed_ms_ago", permission.logged_age())
                .log();
        }
    }
}
