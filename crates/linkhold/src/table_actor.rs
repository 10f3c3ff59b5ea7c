//! Actor that owns the table in force: takes versions from the source and from
//! other nodes, checks them and publishes each newer one. A version is never
//! replaced by a lower one.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use linkhold_core::membership::Announcement;
use linkhold_core::table::{Finding, Sheet, Topology, check};
use linkhold_core::table_spread::{SpreadAction, TableRequest, TableResponse, TableSpread};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::log_event::{Event, EventName};
use crate::platform::PlatformClient;
use crate::settings::TableSource;

/// How often a node that is not a reader still reads the store, in case it knows no
/// other node.
const FALLBACK_PERIOD: Duration = Duration::from_secs(60);

/// A table version in force.
#[derive(Clone, Debug, Default)]
pub struct TableInForce {
    /// Version; 0 before any table was read.
    pub version: u64,
    /// The cells.
    pub sheet: Arc<Sheet>,
    /// The topology that the cells define.
    pub topology: Topology,
}

/// Snapshot of the table, readable without waiting.
pub type TableSnapshot = Arc<ArcSwap<TableInForce>>;

/// Ends a task when dropped.
pub struct AbortOnDropHandle(JoinHandle<()>);

impl AbortOnDropHandle {
    /// Takes ownership of a task.
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
pub struct TableActor {
    spread: TableSpread,
    started: Instant,
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

/// The source was read and has nothing newer.
pub struct SourceAnswered;

/// The source could not be read.
pub struct SourceFailed {
    /// Why.
    pub reason: String,
}

/// Another node announced its version. Answered with the node to request a table
/// from and the request, or `None` if no request is due.
pub struct PeerAnnounced {
    /// The node.
    pub from: SocketAddr,
    /// Announcement of the node.
    pub announcement: Announcement,
}

/// Another node asks for the table.
pub struct PeerRequested(pub TableRequest);

/// Another node answered a request.
pub struct PeerResponded(pub TableResponse);

/// Asks for the announcement of this node.
pub struct GetAnnouncement;

/// A started table actor.
pub struct StartedTableActor {
    /// The actor.
    pub actor: ActorRef<TableActor>,
    /// The table in force.
    pub snapshot: TableSnapshot,
    /// Newest version in force.
    pub changes: watch::Receiver<u64>,
}

impl TableActor {
    /// Starts the actor.
    pub fn start() -> StartedTableActor {
        let snapshot = TableSnapshot::default();
        let (changed, changes) = watch::channel(0);
        let actor = Self::spawn(Self {
            spread: TableSpread::default(),
            started: Instant::now(),
            snapshot: snapshot.clone(),
            changed,
            refused_version: 0,
            source_reachable: true,
        });
        StartedTableActor {
            actor,
            snapshot,
            changes,
        }
    }

    /// Takes a version from the store. Operators may have written it by hand, so it
    /// is checked first.
    fn take_from_store(&mut self, version: u64, body: &str) {
        let checked = Sheet::parse(body).and_then(|sheet| {
            let topology = check(&sheet)?;
            Ok((sheet, topology))
        });
        match checked {
            Ok((sheet, topology)) => {
                if self.spread.on_store_version(version, sheet).is_some() {
                    self.publish(topology);
                }
            }
            Err(findings) => self.refuse(version, &findings),
        }
    }

    /// Takes a version from another node, which has checked it.
    fn take_from_peer(&mut self, response: TableResponse) {
        match self.spread.on_response(response) {
            Some(SpreadAction::InForce(version)) => match check(self.spread.sheet()) {
                Ok(topology) => self.publish(topology),
                Err(findings) => self.refuse(version, &findings),
            },
            Some(SpreadAction::Damaged(version)) => {
                Event::warn(EventName::TableRefused)
                    .field("version", version)
                    .field("finding", "the copy does not match its digest")
                    .log();
            }
            Some(SpreadAction::Request(..)) | None => {}
        }
    }

    fn publish(&self, topology: Topology) {
        let version = self.spread.version();
        Event::info(EventName::TableInForce)
            .field("version", version)
            .field("databases", topology.databases.len())
            .log();
        self.snapshot.store(Arc::new(TableInForce {
            version,
            sheet: self.spread.sheet().clone(),
            topology,
        }));
        self.changed.send_replace(version);
    }

    fn refuse(&mut self, version: u64, findings: &[Finding]) {
        self.refused_version = version;
        for finding in findings {
            Event::warn(EventName::TableRefused)
                .field("version", version)
                .field("finding", finding)
                .log();
        }
    }

    fn record_reachability(&mut self, reachable: bool, reason: &str) {
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

impl Message<VersionRead> for TableActor {
    type Reply = ();

    async fn handle(&mut self, message: VersionRead, _: &mut Context<Self, Self::Reply>) {
        self.record_reachability(true, "");
        let newest = self.spread.version().max(self.refused_version);
        if message.version > newest {
            self.take_from_store(message.version, &message.body);
        }
    }
}

impl Message<SourceAnswered> for TableActor {
    type Reply = ();

    async fn handle(&mut self, _: SourceAnswered, _: &mut Context<Self, Self::Reply>) {
        self.record_reachability(true, "");
    }
}

impl Message<SourceFailed> for TableActor {
    type Reply = ();

    async fn handle(&mut self, message: SourceFailed, _: &mut Context<Self, Self::Reply>) {
        self.record_reachability(false, &message.reason);
    }
}

impl Message<PeerAnnounced> for TableActor {
    type Reply = Option<(SocketAddr, TableRequest)>;

    async fn handle(
        &mut self,
        message: PeerAnnounced,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = self.started.elapsed();
        match self
            .spread
            .on_announcement(message.from, message.announcement, now)
        {
            Some(SpreadAction::Request(from, request)) => Some((from, request)),
            _ => None,
        }
    }
}

impl Message<PeerRequested> for TableActor {
    type Reply = Result<TableResponse, Infallible>;

    async fn handle(
        &mut self,
        message: PeerRequested,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Ok(self.spread.on_request(message.0))
    }
}

impl Message<PeerResponded> for TableActor {
    type Reply = ();

    async fn handle(&mut self, message: PeerResponded, _: &mut Context<Self, Self::Reply>) {
        self.take_from_peer(message.0);
    }
}

impl Message<GetAnnouncement> for TableActor {
    type Reply = Result<Announcement, Infallible>;

    async fn handle(
        &mut self,
        _: GetAnnouncement,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Ok(self.spread.announcement())
    }
}

/// Reads the source periodically until the actor has stopped. The store is read by
/// the few nodes with that duty, by any node without a table, and by every node
/// after `FALLBACK_PERIOD` without a read.
pub async fn read_source(
    source: TableSource,
    poll: Duration,
    table_actor: ActorRef<TableActor>,
    snapshot: TableSnapshot,
    is_reader: Arc<AtomicBool>,
) {
    match source {
        TableSource::Platform { url, name } => {
            let client = PlatformClient::new(&url, &name);
            let mut last_read: Option<Instant> = None;
            loop {
                let fallback_due = last_read.is_none_or(|at| at.elapsed() > FALLBACK_PERIOD);
                let has_none = snapshot.load().version == 0;
                let reads = is_reader.load(Ordering::Relaxed) || has_none || fallback_due;
                if reads {
                    last_read = Some(Instant::now());
                    if !read_platform(&client, &table_actor, snapshot.load().version).await {
                        return;
                    }
                }
                tokio::time::sleep(poll).await;
            }
        }
        TableSource::File(path) => {
            let mut version = 0;
            let mut last_body = None;
            loop {
                let delivered = match tokio::fs::read_to_string(&path).await {
                    Ok(body) if last_body.as_ref() == Some(&body) => table_actor.is_alive(),
                    Ok(body) => {
                        version += 1;
                        last_body = Some(body.clone());
                        table_actor
                            .tell(VersionRead { version, body })
                            .await
                            .is_ok()
                    }
                    Err(error) => report_failure(&table_actor, error.to_string()).await,
                };
                if !delivered {
                    return;
                }
                tokio::time::sleep(poll).await;
            }
        }
    }
}

async fn read_platform(
    client: &PlatformClient,
    table_actor: &ActorRef<TableActor>,
    known: u64,
) -> bool {
    match client.read_newer(known).await {
        Ok(Some(table)) => {
            let message = VersionRead {
                version: table.version,
                body: table.body,
            };
            table_actor.tell(message).await.is_ok()
        }
        Ok(None) => table_actor.tell(SourceAnswered).await.is_ok(),
        Err(error) => report_failure(table_actor, error.to_string()).await,
    }
}

async fn report_failure(table_actor: &ActorRef<TableActor>, reason: String) -> bool {
    table_actor.tell(SourceFailed { reason }).await.is_ok()
}
