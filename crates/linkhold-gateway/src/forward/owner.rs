//! The owner's side: runs other nodes' statements on this node's connections.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::session::TransactionStatus;
use linkhold_events::Event;
use linkhold_peer::{
    EvidenceQuestion, ForwardFrame, ForwardMessage, ForwardOutcome, ForwardStatement, PeerKey,
    encode_forward, milliseconds,
};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::{interval, timeout};

use super::link::read_forward;
use super::{session_values, translate};
use crate::cluster_state::lock;
use crate::evidence::sharing;
use crate::feed::framing::framed;
use crate::gate::Urgency;
use crate::gateway::Gateway;
use crate::pool::Lease;
use crate::ports::Platform;
use crate::request::attempt::{
    self, Answer, AttemptLimits, AttemptOutcome, ConnectionOf, HeldConnection, NotRunCause,
};
use crate::request::batch::{TransactionFrame, Work};
use crate::request::principal::Principal;
use crate::request::transaction::roll_back;

/// How long writing one message to the asking node may take.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How often idle lent connections are checked.
const RECLAIM_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a lent connection may be idle beyond the configured limit for idle
/// transactions, which counts as zero if there is none.
const EXTRA_IDLE_TIME: Duration = Duration::from_secs(10);

/// A connection that is lent or will be once its opening statement has run.
enum Slot<P: Platform> {
    /// A statement runs on the connection.
    Running,
    /// The connection is idle in its transaction.
    Idle {
        lease: Lease<ConnectionOf<P>>,
        since: Instant,
    },
    /// The asking node has released the connection while a statement runs on it.
    Released,
}

/// Connections lent over one stream, by the number of the opening statement.
struct LentConnections<P: Platform> {
    slots: Mutex<Option<HashMap<u64, Slot<P>>>>,
    outbox: mpsc::UnboundedSender<ForwardMessage>,
    /// Number of connections lent over all streams.
    count: Arc<AtomicUsize>,
}

/// Serves another node's statements until its stream ends.
pub(crate) async fn serve<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    stream: TcpStream,
    key: &PeerKey,
) {
    let (read_half, write_half) = stream.into_split();
    let (outbox, messages) = mpsc::unbounded_channel();
    let lent = Arc::new(LentConnections {
        slots: Mutex::new(Some(HashMap::new())),
        outbox,
        count: gateway.forwarding.lent_connections.clone(),
    });
    let mut read_half = BufReader::new(read_half);
    let receive = async {
        while let Ok(message) = read_forward(&mut read_half, key).await {
            handle_message(gateway, &lent, message);
        }
    };
    tokio::select! {
        () = receive => {}
        () = send_all(write_half, messages, key) => {}
        () = reclaim(gateway, &lent) => {}
    }
    lent.release_all();
}

async fn send_all(
    mut write_half: OwnedWriteHalf,
    mut messages: mpsc::UnboundedReceiver<ForwardMessage>,
    key: &PeerKey,
) {
    while let Some(message) = messages.recv().await {
        let frame = framed(&encode_forward(&message, key));
        if !matches!(
            timeout(WRITE_TIMEOUT, write_half.write_all(&frame)).await,
            Ok(Ok(()))
        ) {
            return;
        }
    }
}

/// Reclaims connections that are idle for longer than a transaction may be: the node
/// that used them is gone without notice.
async fn reclaim<P: Platform>(gateway: &Arc<Gateway<P>>, lent: &LentConnections<P>) {
    let mut ticks = interval(RECLAIM_INTERVAL);
    loop {
        ticks.tick().await;
        let configuration = gateway.cluster.configuration();
        let limit = configuration.and_then(|it| it.transaction_idle_timeout);
        lent.reclaim_idle(limit.unwrap_or_default() + EXTRA_IDLE_TIME);
    }
}

fn handle_message<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    lent: &Arc<LentConnections<P>>,
    message: ForwardMessage,
) {
    match message {
        ForwardMessage::Run(statement) => {
            // Before the next message is handled, which may be its release.
            if matches!(statement.frame, ForwardFrame::Opening { .. }) {
                lent.insert(statement.number);
            }
            let task = run(gateway.clone(), lent.clone(), statement);
            tokio::spawn(task);
        }
        ForwardMessage::Release { number, close } => lent.release(number, close),
        ForwardMessage::EvidenceQuestion {
            number,
            service,
            max_age_ms,
            instance,
        } => {
            let is_known_primary = |id: &String| {
                let primary = gateway.cluster.primary(&service);
                primary.is_some_and(|primary| *primary.id.0 == **id)
            };
            if !instance.as_ref().is_none_or(is_known_primary) {
                let none = ForwardMessage::EvidenceAnswer {
                    number,
                    age_ms: 0,
                    position: None,
                };
                // The asking node may be gone.
                let _ = lent.outbox.send(none);
                return;
            }
            let question = EvidenceQuestion {
                number,
                service: service.into(),
                max_age: Duration::from_millis(max_age_ms),
            };
            let gateway = gateway.clone();
            let outbox = lent.outbox.clone();
            let received_at = Instant::now();
            tokio::spawn(async move {
                let answer = sharing::answer(&gateway, &question, received_at).await;
                // The asking node may be gone.
                let _ = outbox.send(ForwardMessage::EvidenceAnswer {
                    number,
                    age_ms: milliseconds(answer.age),
                    position: answer.position.map(translate::position),
                });
            });
        }
        ForwardMessage::Ping => {
            // The asking node may be gone.
            let _ = lent.outbox.send(ForwardMessage::Pong);
        }
        // An asking node sends no other messages.
        ForwardMessage::Ended { .. }
        | ForwardMessage::EvidenceAnswer { .. }
        | ForwardMessage::Pong => {}
    }
}

async fn run<P: Platform>(
    gateway: Arc<Gateway<P>>,
    lent: Arc<LentConnections<P>>,
    statement: ForwardStatement,
) {
    let number = statement.number;
    let outcome = match statement.transaction {
        Some(opened_by) => continue_transaction(&gateway, &lent, opened_by, &statement).await,
        None => start(&gateway, &lent, &statement).await,
    };
    if !matches!(outcome, ForwardOutcome::Answered { is_lent: true, .. }) {
        lent.remove(statement.transaction.unwrap_or(number));
    }
    gateway.metrics.run_for_others.add();
    // The asking node may be gone.
    let _ = lent.outbox.send(ForwardMessage::Ended { number, outcome });
}

/// Runs a statement that is a transaction of its own or opens one.
async fn start<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    lent: &Arc<LentConnections<P>>,
    statement: &ForwardStatement,
) -> ForwardOutcome {
    let id = InstanceId(statement.instance.as_str().into());
    let Some(instance) = gateway.cluster.instance(&id) else {
        return ForwardOutcome::NotOwner;
    };
    if gateway.is_leaving() || !takes_statements_for(gateway, &instance) {
        return ForwardOutcome::NotOwner;
    }
    let now = Instant::now();
    let bounds = AttemptLimits {
        urgency: Urgency {
            is_read: statement.is_read,
            priority: statement.priority,
        },
        connection_by: now + Duration::from_millis(statement.connection_within_ms),
        answer_by: now + Duration::from_millis(statement.answer_within_ms),
    };
    let frame = translate::frame_from(statement.frame);
    let work = translate::work_from(&statement.work);
    let principal = Principal {
        holder: &translate::holder_from(statement.tenant.as_deref()),
        values: &session_values(statement),
        regions: &AllowedRegions::listed(&statement.regions),
    };
    let opens = matches!(frame, TransactionFrame::Begin { .. });
    let attempt = attempt::run_locally(gateway, &instance, principal, &work, frame, bounds).await;
    match attempt {
        AttemptOutcome::Answered(answer) if opens => {
            lent.finish_statement(statement.number, answer)
        }
        AttemptOutcome::Answered(answer) => {
            let (reply, begin) = replies(&answer);
            answer.held.finish(answer.reply.status);
            ForwardOutcome::Answered {
                reply,
                begin,
                is_lent: false,
            }
        }
        failed => outcome_of(failed),
    }
}

/// Whether this node takes statements for an instance: it is an owner, or all nodes
/// hold connections.
fn takes_statements_for<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> bool {
    let owners = gateway.pools.designated_owners(instance, &gateway.cluster);
    owners.is_none_or(|owners| owners.includes_self)
}

/// Runs a statement in the transaction of a lent connection.
async fn continue_transaction<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    lent: &Arc<LentConnections<P>>,
    opened_by: u64,
    statement: &ForwardStatement,
) -> ForwardOutcome {
    let Some(lease) = lent.resume(opened_by) else {
        return ForwardOutcome::Unreachable;
    };
    let answer_by = Instant::now() + Duration::from_millis(statement.answer_within_ms);
    let frame = TransactionFrame::InTransaction;
    let work: Work = translate::work_from(&statement.work);
    let principal = Principal {
        holder: &lease.holder().clone(),
        values: &session_values(statement),
        regions: &AllowedRegions::listed(&statement.regions),
    };
    let opened_at = lease.opened_at();
    gateway
        .wait_for_warm_up_allowance(lease.instance(), opened_at, answer_by)
        .await;
    let _permit = lease.gate().acquire_immediately();
    let attempt = attempt::run_on_lease(gateway, lease, principal, &work, frame, answer_by).await;
    match attempt {
        AttemptOutcome::Answered(answer) => lent.finish_statement(opened_by, answer),
        failed => outcome_of(failed),
    }
}

fn replies<P: Platform>(
    answer: &Answer<P>,
) -> (
    linkhold_peer::ForwardReply,
    Option<linkhold_peer::ForwardReply>,
) {
    let begin = answer.begin.as_ref();
    (
        translate::reply(&answer.reply),
        begin.map(|(_, reply)| translate::reply(reply)),
    )
}

fn outcome_of<P: Platform>(attempt: AttemptOutcome<P>) -> ForwardOutcome {
    match attempt {
        AttemptOutcome::NotRun(NotRunCause::NoConnection) => ForwardOutcome::NoConnection,
        AttemptOutcome::NotRun(NotRunCause::Unreachable) => ForwardOutcome::Unreachable,
        AttemptOutcome::NotRun(NotRunCause::Refused(kind)) => {
            ForwardOutcome::Refused(translate::error(kind))
        }
        AttemptOutcome::NotRun(NotRunCause::WarmingUp(after)) => {
            ForwardOutcome::WarmingUp(milliseconds(after))
        }
        AttemptOutcome::NotRun(NotRunCause::Ineligible(reason)) => {
            ForwardOutcome::Ineligible(translate::ineligible(reason))
        }
        AttemptOutcome::Lost | AttemptOutcome::Answered(_) => ForwardOutcome::Lost,
        AttemptOutcome::TimedOut => ForwardOutcome::TimedOut,
    }
}

impl<P: Platform> LentConnections<P> {
    /// Records that a statement which opens a transaction is about to run.
    fn insert(&self, number: u64) {
        if let Some(slots) = &mut *lock(&self.slots) {
            slots.insert(number, Slot::Running);
            self.count.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn remove(&self, number: u64) {
        if let Some(slots) = &mut *lock(&self.slots)
            && slots.remove(&number).is_some()
        {
            self.count.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Takes an idle connection for a statement; `None` if it is not lent or a
    /// statement runs on it.
    fn resume(&self, number: u64) -> Option<Lease<ConnectionOf<P>>> {
        let mut slots = lock(&self.slots);
        let slot = slots.as_mut()?.get_mut(&number)?;
        match std::mem::replace(slot, Slot::Running) {
            Slot::Idle { lease, .. } => Some(lease),
            other => {
                *slot = other;
                None
            }
        }
    }

    /// Handles the answer to a statement in a transaction. The connection stays lent
    /// unless the transaction is over or was released.
    fn finish_statement(&self, number: u64, answer: Answer<P>) -> ForwardOutcome {
        let (reply, begin) = replies(&answer);
        let status = answer.reply.status;
        let HeldConnection::Own(lease) = answer.held else {
            unreachable!("a node runs others' statements on connections of its own");
        };
        let is_lent = status == TransactionStatus::Open && self.is_still_wanted(number);
        if is_lent {
            self.set_idle(number, lease);
        } else {
            give_back(lease, status);
        }
        ForwardOutcome::Answered {
            reply,
            begin,
            is_lent,
        }
    }

    fn is_still_wanted(&self, number: u64) -> bool {
        let slots = lock(&self.slots);
        let slot = slots.as_ref().and_then(|slots| slots.get(&number));
        matches!(slot, Some(Slot::Running))
    }

    fn set_idle(&self, number: u64, lease: Lease<ConnectionOf<P>>) {
        let since = Instant::now();
        if let Some(slots) = &mut *lock(&self.slots) {
            slots.insert(number, Slot::Idle { lease, since });
        }
    }

    fn release(&self, number: u64, close: bool) {
        let mut slots = lock(&self.slots);
        let Some(slots) = slots.as_mut() else {
            return;
        };
        match slots.remove(&number) {
            Some(Slot::Idle { lease, .. }) => {
                self.count.fetch_sub(1, Ordering::Relaxed);
                if !close {
                    give_back(lease, TransactionStatus::Open);
                }
            }
            Some(Slot::Running | Slot::Released) => {
                slots.insert(number, Slot::Released);
            }
            None => {}
        }
    }

    fn reclaim_idle(&self, max_idle: Duration) {
        let mut slots = lock(&self.slots);
        let Some(slots) = slots.as_mut() else {
            return;
        };
        let before = slots.len();
        slots.retain(|_, slot| match slot {
            Slot::Idle { lease, since } if since.elapsed() > max_idle => {
                Event::info("lent_connection_reclaimed")
                    .field("instance", &lease.instance().id)
                    .field("rested_ms", since.elapsed().as_millis())
                    .log();
                false
            }
            _ => true,
        });
        self.count
            .fetch_sub(before - slots.len(), Ordering::Relaxed);
    }

    /// Ends all lending after the stream has ended: idle connections are rolled back
    /// and given back.
    fn release_all(&self) {
        let slots = lock(&self.slots).take().unwrap_or_default();
        self.count.fetch_sub(slots.len(), Ordering::Relaxed);
        for slot in slots.into_values() {
            if let Slot::Idle { lease, .. } = slot {
                give_back(lease, TransactionStatus::Open);
            }
        }
    }
}

/// Gives a connection back after rolling back its open transaction, if any.
fn give_back<C: crate::ports::BackendConnection>(lease: Lease<C>, status: TransactionStatus) {
    if status == TransactionStatus::Idle {
        attempt::finish_lease(lease, status);
    } else {
        tokio::spawn(roll_back(lease));
    }
}
