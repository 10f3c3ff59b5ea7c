//! Keeps the table in force: reads its source and publishes each newer
//! version. A version is never replaced by a lower one.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use linkhold_core::table::{Sheet, Topology, check};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::log_event::{Event, EventName};
use crate::platform::PlatformClient;
use crate::settings::TableSource;

/// A table version in force.
#[derive(Clone, Debug, Default)]
pub struct TableInForce {
    /// Version; 0 before any table was read.
    pub version: u64,
    /// The cells.
    pub sheet: Sheet,
    /// What they mean.
    pub topology: Topology,
}

/// Snapshot of the table, readable without waiting.
pub type TableSnapshot = Arc<ArcSwap<TableInForce>>;

/// Ends a task when dropped.
pub struct AbortOnDropHandle(JoinHandle<()>);

impl AbortOnDropHandle {
    /// Takes charge of a task.
    pub fn new(task: JoinHandle<()>) -> Self {
        Self(task)
    }
}

impl Drop for AbortOnDropHandle {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Owns the table of a node.
#[derive(Actor)]
pub struct TableKeeper {
    snapshot: TableSnapshot,
    changed: watch::Sender<u64>,
    refused_version: u64,
    source_reachable: bool,
}

/// A version was read from the source.
pub struct VersionRead {
    /// Its number.
    pub version: u64,
    /// Its CSV text.
    pub body: String,
}

/// The source could not be read.
pub struct SourceFailed {
    /// Why.
    pub reason: String,
}

impl TableKeeper {
    /// Starts the actor and the task that reads the source. The receiver
    /// tells of each version as it comes into force.
    pub fn start(
        source: TableSource,
        poll: Duration,
    ) -> (TableSnapshot, watch::Receiver<u64>, AbortOnDropHandle) {
        let snapshot = TableSnapshot::default();
        let (changed, receiver) = watch::channel(0);
        let keeper = Self::spawn(Self {
            snapshot: snapshot.clone(),
            changed,
            refused_version: 0,
            source_reachable: true,
        });
        let reading = tokio::spawn(read_source(source, poll, keeper));
        (snapshot, receiver, AbortOnDropHandle(reading))
    }

    fn put_in_force(&mut self, version: u64, body: &str) {
        let result = Sheet::parse(body).and_then(|sheet| {
            let topology = check(&sheet)?;
            Ok((sheet, topology))
        });
        match result {
            Ok((sheet, topology)) => {
                Event::info(EventName::TableInForce)
                    .field("version", version)
                    .field("databases", topology.databases.len())
                    .log();
                self.snapshot.store(Arc::new(TableInForce {
                    version,
                    sheet,
                    topology,
                }));
                self.changed.send_replace(version);
            }
            Err(findings) => {
                self.refused_version = version;
                for finding in findings {
                    Event::warn(EventName::TableRefused)
                        .field("version", version)
                        .field("finding", finding)
                        .log();
                }
            }
        }
    }

    fn note_reachable(&mut self, reachable: bool, reason: &str) {
        if self.source_reachable == reachable {
            return;
        }
        self.source_reachable = reachable;
        Event::warn(EventName::StoreReachable)
            .field("reachable", reachable)
            .field("reason", reason)
            .log();
    }
}

impl Message<VersionRead> for TableKeeper {
    type Reply = ();

    async fn handle(&mut self, message: VersionRead, _: &mut Context<Self, Self::Reply>) {
        self.note_reachable(true, "");
        let newest = self.snapshot.load().version.max(self.refused_version);
        if message.version > newest {
            self.put_in_force(message.version, &message.body);
        }
    }
}

impl Message<SourceFailed> for TableKeeper {
    type Reply = ();

    async fn handle(&mut self, message: SourceFailed, _: &mut Context<Self, Self::Reply>) {
        self.note_reachable(false, &message.reason);
    }
}

/// Reads the source again and again until the actor is gone.
async fn read_source(source: TableSource, poll: Duration, keeper: ActorRef<TableKeeper>) {
    match source {
        TableSource::Platform { url, name } => {
            let client = PlatformClient::new(&url, &name);
            loop {
                let delivered = match client.read().await {
                    Ok(table) => {
                        let message = VersionRead {
                            version: table.version,
                            body: table.body,
                        };
                        keeper.tell(message).await.is_ok()
                    }
                    Err(error) => tell_failure(&keeper, error.to_string()).await,
                };
                if !delivered {
                    return;
                }
                tokio::time::sleep(poll).await;
            }
        }
        TableSource::File(path) => {
            let mut version = 0;
            let mut last_body = None;
            loop {
                let delivered = match tokio::fs::read_to_string(&path).await {
                    Ok(body) if last_body.as_ref() == Some(&body) => keeper.is_alive(),
                    Ok(body) => {
                        version += 1;
                        last_body = Some(body.clone());
                        keeper.tell(VersionRead { version, body }).await.is_ok()
                    }
                    Err(error) => tell_failure(&keeper, error.to_string()).await,
                };
                if !delivered {
                    return;
                }
                tokio::time::sleep(poll).await;
            }
        }
    }
}

async fn tell_failure(keeper: &ActorRef<TableKeeper>, reason: String) -> bool {
    keeper.tell(SourceFailed { reason }).await.is_ok()
}
