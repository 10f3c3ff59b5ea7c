//! A node: its listener, its shared state and its graceful stop.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard};

use eyre::{Result, WrapErr};
use kameo::actor::ActorRef;
use linkhold_core::classify::{Classified, classify};
use linkhold_core::retry_budget::RetryBudget;
use linkhold_core::token::TokenKey;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use xxhash_rust::xxh3::xxh3_128;

use crate::group::Directory;
use crate::housekeeping::{remove_expired_keys, report_refusals};
use crate::log_event::{Event, EventName};
use crate::machine_list::{self, LeavingMachines};
use crate::metrics::Metrics;
use crate::peer::{MemberSnapshot, MembershipActor, PeerContext, PeerService, PeerSockets};
use crate::platform::PlatformClient;
use crate::session::{CancelRegistry, OpenConnection, run_session};
use crate::settings::{Settings, TableSource};
use crate::table_actor::{AbortOnDropHandle, TableActor, TableSnapshot, read_source};

/// Server version reported to callers until a back end has reported its own.
const DEFAULT_SERVER_VERSION: &str = "16.0 (linkhold)";

/// State shared by all sessions of a node.
pub struct NodeShared {
    /// Settings.
    pub settings: Arc<Settings>,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Databases.
    pub directory: Directory,
    /// Table in force.
    pub table: TableSnapshot,
    /// Nodes of the fleet, this one first; empty if the node has no peers.
    pub members: MemberSnapshot,
    /// Sessions that can be cancelled.
    pub cancels: CancelRegistry,
    /// Classified statements.
    pub cache: StatementCache,
    /// Signs session tokens.
    pub token_key: TokenKey,
    /// Limits retries.
    pub retry_budget: SharedRetryBudget,
    /// Whether the node leaves.
    pub leaving: watch::Sender<bool>,
}

impl NodeShared {
    /// Server version to report for a database.
    pub fn server_version(&self, database: &str) -> String {
        let group = self.directory.get(database);
        let reported = group.and_then(|group| {
            let mut pools = group.instances.iter().map(|instance| &instance.pool);
            pools.find_map(|pool| pool.server_version().map(str::to_owned))
        });
        reported.unwrap_or_else(|| DEFAULT_SERVER_VERSION.to_owned())
    }
}

/// A retry budget shared by sessions.
#[derive(Default)]
pub struct SharedRetryBudget(Mutex<RetryBudget>);

impl SharedRetryBudget {
    /// Adds the credit of an answered request.
    pub fn earn(&self) {
        self.budget().earn();
    }

    /// Takes the cost of a retry; returns `false` if the budget does not cover it.
    pub fn try_spend(&self) -> bool {
        self.budget().try_spend()
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.0.lock().expect("no panic while held")
    }
}

/// Classifications of statements seen before, by a hash of their text.
#[derive(Default)]
pub struct StatementCache {
    entries: Mutex<HashMap<u128, Arc<Classified>>>,
}

/// Statements kept in the cache; a full cache is emptied.
const CACHE_ENTRIES: usize = 8_192;
/// Longest statement text that is cached, in bytes; longer texts are classified
/// each time.
const MAX_CACHED_BYTES: usize = 4_096;

impl StatementCache {
    /// Classifies a text.
    pub fn classify(&self, text: &str) -> Arc<Classified> {
        if text.len() > MAX_CACHED_BYTES {
            return Arc::new(classify(text));
        }
        let hash = xxh3_128(text.as_bytes());
        if let Some(known) = self.entries().get(&hash) {
            return known.clone();
        }
        let classified = Arc::new(classify(text));
        let mut entries = self.entries();
        if entries.len() >= CACHE_ENTRIES {
            entries.clear();
        }
        entries.insert(hash, classified.clone());
        classified
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<u128, Arc<Classified>>> {
        self.entries.lock().expect("no panic while held")
    }
}

/// A running node. Dropping it ends the node at once, as a crash would.
pub struct Node {
    shared: Arc<NodeShared>,
    address: SocketAddr,
    accepting: Option<JoinHandle<JoinSet<()>>>,
    in_force: watch::Receiver<u64>,
    peers: Option<PeerService>,
    _background: [AbortOnDropHandle; 5],
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(accepting) = &self.accepting {
            accepting.abort();
        }
    }
}

impl Node {
    /// Starts a node.
    pub async fn start(settings: Settings) -> Result<Self> {
        let listener = TcpListener::bind(settings.listen)
            .await
            .wrap_err_with(|| format!("cannot listen on {}", settings.listen))?;
        let address = listener.local_addr()?;
        let settings = Arc::new(settings);
        let metrics = Arc::new(Metrics::default());
        let started_table = TableActor::start();
        let is_reader = Arc::new(AtomicBool::new(true));
        let reading = tokio::spawn(read_source(
            settings.table.clone(),
            settings.table_poll,
            started_table.actor.clone(),
            started_table.snapshot.clone(),
            is_reader.clone(),
        ));
        let members = MemberSnapshot::default();
        let peers = match settings.peer.clone() {
            Some(peer) => {
                let sockets = PeerSockets::bind(peer.listen)
                    .await
                    .wrap_err_with(|| format!("cannot listen on {}", peer.listen))?;
                Some(PeerService::start(
                    sockets,
                    PeerContext {
                        settings: settings.clone(),
                        peer,
                        client_address: address,
                        table_actor: started_table.actor.clone(),
                        table_changes: started_table.changes.clone(),
                        members: members.clone(),
                        is_reader,
                        metrics: metrics.clone(),
                    },
                ))
            }
            None => None,
        };
        let table = started_table.snapshot;
        let table_changes = started_table.changes;
        let leaving_machines = LeavingMachines::default();
        let membership = peers.as_ref().map(|peers| peers.membership.clone());
        let following = follow_machines(&settings, leaving_machines.clone(), membership);
        let shared = Arc::new(NodeShared {
            directory: Directory::new(settings.clone(), metrics.clone(), leaving_machines.clone()),
            token_key: TokenKey::new(settings.token_key.as_bytes()),
            settings,
            metrics,
            table,
            members,
            cancels: CancelRegistry::default(),
            cache: StatementCache::default(),
            retry_budget: SharedRetryBudget::default(),
            leaving: watch::Sender::new(false),
        });
        let (in_force_sender, in_force) = watch::channel(0);
        let applying = tokio::spawn(apply_tables(shared.clone(), table_changes, in_force_sender));
        let reporting = tokio::spawn(report_refusals(shared.clone()));
        let cleaning = tokio::spawn(remove_expired_keys(shared.clone()));
        let accepting = tokio::spawn(accept(shared.clone(), listener));
        Event::info(EventName::NodeStarted)
            .field("node", &shared.settings.node)
            .field("zone", &shared.settings.zone)
            .field("listen", address)
            .log();
        Ok(Self {
            shared,
            address,
            accepting: Some(accepting),
            in_force,
            peers,
            _background: [
                AbortOnDropHandle::new(reading),
                AbortOnDropHandle::new(following),
                AbortOnDropHandle::new(applying),
                AbortOnDropHandle::new(reporting),
                AbortOnDropHandle::new(cleaning),
            ],
        })
    }

    /// Address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address at which other nodes reach this one; `None` without peers.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peers.as_ref().map(|peers| peers.address)
    }

    /// State shared by the node's sessions.
    pub fn shared(&self) -> &Arc<NodeShared> {
        &self.shared
    }

    /// Waits until a table of at least this version is in force.
    pub async fn wait_for_table(&self, version: u64) {
        let mut changes = self.in_force.clone();
        // The sender is dropped only with the node.
        let _ = changes.wait_for(|known| *known >= version).await;
    }

    /// Stops the node gracefully: it accepts no new sessions, and each session ends
    /// between requests and outside a transaction. Sessions still open after the
    /// drain time-out are aborted.
    pub async fn stop(mut self) {
        Event::info(EventName::NodeLeaving)
            .field("node", &self.shared.settings.node)
            .log();
        self.shared.leaving.send_replace(true);
        if let Some(peers) = &self.peers {
            peers.leave().await;
        }
        if let Some(accepting) = self.accepting.take()
            && let Ok(mut sessions) = accepting.await
        {
            let drained = async { while sessions.join_next().await.is_some() {} };
            let timeout = self.shared.settings.drain_timeout;
            let all_ended = tokio::time::timeout(timeout, drained).await.is_ok();
            Event::info(EventName::NodeStopped)
                .field("node", &self.shared.settings.node)
                .field("drained", all_ended)
                .log();
        }
    }
}

/// Follows the platform's machine list, if there is a platform.
fn follow_machines(
    settings: &Settings,
    leaving: LeavingMachines,
    membership: Option<ActorRef<MembershipActor>>,
) -> JoinHandle<()> {
    let poll = settings.table_poll;
    match &settings.table {
        TableSource::Platform { url, name } => {
            let client = PlatformClient::new(url, name);
            tokio::spawn(machine_list::follow(client, poll, leaving, membership))
        }
        TableSource::File(_) => tokio::spawn(async {}),
    }
}

/// Puts each table version in force once it has been read.
async fn apply_tables(
    shared: Arc<NodeShared>,
    mut changes: watch::Receiver<u64>,
    in_force: watch::Sender<u64>,
) {
    while changes.changed().await.is_ok() {
        let table = shared.table.load_full();
        shared.directory.apply(&table.topology);
        in_force.send_replace(table.version);
    }
}

/// Accepts sessions until the node leaves; returns the sessions still running.
async fn accept(shared: Arc<NodeShared>, listener: TcpListener) -> JoinSet<()> {
    let mut sessions = JoinSet::new();
    let mut leaving = shared.leaving.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    let shared = shared.clone();
                    sessions.spawn(async move {
                        let _open = OpenConnection::new(shared.clone());
                        run_session(shared, stream).await;
                    });
                }
            }
            Some(_) = sessions.join_next() => {}
            _ = leaving.wait_for(|leaving| *leaving) => return sessions,
        }
    }
}
