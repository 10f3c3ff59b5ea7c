//! An owner's side: runs other nodes' statements on its own connections.

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
use crate::beliefs::lock;
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

/// How long the asking node may take to take in an answer.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How often lent connections are looked at.
const REST_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a lent connection may rest if the configuration names no limit for
/// transactions, and beyond such a limit.
const LONGEST_REST: Duration = Duration::from_secs(10);

/// A connection that is lent, or about to be.
enum Slot<P: Platform> {
    /// A statement runs on it.
    Running,
    /// It rests inside its transaction.
    Resting {
        lease: Lease<ConnectionOf<P>>,
        since: Instant,
    },
    /// The asking node has given it up while a statement runs on it.
    GivenUp,
}

/// What is lent over one stream, by the number of the opening statement.
struct Lent<P: Platform> {
    slots: Mutex<Option<HashMap<u64, Slot<P>>>>,
    outbox: mpsc::UnboundedSender<ForwardMessage>,
    /// Counts what is lent over all streams.
    count: Arc<AtomicUsize>,
}

/// Serves another node's statements until its stream ends.
pub(crate) async fn serve<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    stream: TcpStream,
    key: &PeerKey,
) {
    let (reading, writing) = stream.into_split();
    let (outbox, messages) = mpsc::unbounded_channel();
    let lent = Arc::new(Lent {
        slots: Mutex::new(Some(HashMap::new())),
        outbox,
        count: gateway.forwarding.lent.clone(),
    });
    let mut reading = BufReader::new(reading);
    let listen = async {
        while let Ok(message) = read_forward(&mut reading, key).await {
            take(gateway, &lent, message);
        }
    };
    tokio::select! {
        () = listen => {}
        () = speak(writing, messages, key) => {}
        () = reclaim(gateway, &lent) => {}
    }
    lent.end();
}

async fn speak(
    mut writing: OwnedWriteHalf,
    mut messages: mpsc::UnboundedReceiver<ForwardMessage>,
    key: &PeerKey,
) {
    while let Some(message) = messages.recv().await {
        let frame = framed(&encode_forward(&message, key));
        if !matches!(
            timeout(WRITE_TIMEOUT, writing.write_all(&frame)).await,
            Ok(Ok(()))
        ) {
            return;
        }
    }
}

/// Takes back what rests for longer than a transaction may: its node is gone
/// without a word.
async fn reclaim<P: Platform>(gateway: &Arc<Gateway<P>>, lent: &Lent<P>) {
    let mut ticks = interval(REST_INTERVAL);
    loop {
        ticks.tick().await;
        let configuration = gateway.beliefs.configuration();
        let limit = configuration.and_then(|it| it.transaction_idle_timeout);
        lent.take_back_after(limit.unwrap_or_default() + LONGEST_REST);
    }
}

fn take<P: Platform>(gateway: &Arc<Gateway<P>>, lent: &Arc<Lent<P>>, message: ForwardMessage) {
    match message {
        ForwardMessage::Run(statement) => {
            // Before anything else is taken: it may be given up at once.
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
            let is_believed = |id: &String| {
                let primary = gateway.beliefs.primary(&service);
                primary.is_some_and(|primary| *primary.id.0 == **id)
            };
            if !instance.as_ref().is_none_or(is_believed) {
                let none = ForwardMessage::EvidenceAnswer {
                    number,
                    age_ms: 0,
                    position: None,
                };
                // Whoever asked may be gone.
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
                // Whoever asked may be gone.
                let _ = outbox.send(ForwardMessage::EvidenceAnswer {
                    number,
                    age_ms: milliseconds(answer.age),
                    position: answer.position.map(translate::position),
                });
            });
        }
        ForwardMessage::Ping => {
            // Whoever asked may be gone.
            let _ = lent.outbox.send(ForwardMessage::Pong);
        }
        // Nothing else comes from a node that asks.
        ForwardMessage::Ended { .. }
        | ForwardMessage::EvidenceAnswer { .. }
        | ForwardMessage::Pong => {}
    }
}

async fn run<P: Platform>(
    gateway: Arc<Gateway<P>>,
    lent: Arc<Lent<P>>,
    statement: ForwardStatement,
) {
    let number = statement.number;
    let outcome = match statement.lent {
        Some(opened_by) => continue_transaction(&gateway, &lent, opened_by, &statement).await,
        None => start(&gateway, &lent, &statement).await,
    };
    if !matches!(outcome, ForwardOutcome::Answered { is_lent: true, .. }) {
        lent.remove(statement.lent.unwrap_or(number));
    }
    gateway.metrics.run_for_others.add();
    // Whoever asked may be gone.
    let _ = lent.outbox.send(ForwardMessage::Ended { number, outcome });
}

/// Runs a statement that stands alone or opens a transaction.
async fn start<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    lent: &Arc<Lent<P>>,
    statement: &ForwardStatement,
) -> ForwardOutcome {
    let id = InstanceId(statement.instance.as_str().into());
    let Some(instance) = gateway.beliefs.instance(&id) else {
        return ForwardOutcome::NotOwner;
    };
    if gateway.is_leaving() || !owns(gateway, &instance) {
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
        AttemptOutcome::Answered(answer) if opens => lent.keep(statement.number, answer),
        AttemptOutcome::Answered(answer) => {
            let (reply, begin) = replies(&answer);
            answer.held.finish(answer.reply.status);
            ForwardOutcome::Answered {
                reply,
                begin,
                is_lent: false,
            }
        }
        failed => failure(failed),
    }
}

/// Whether this node takes statements for an instance: as an owner, or since all
/// nodes hold connections.
fn owns<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> bool {
    let owners = gateway.pools.owners_of(instance, &gateway.beliefs);
    owners.is_none_or(|owners| owners.includes_self)
}

/// Runs a statement in a transaction.
async fn continue_transaction<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    lent: &Arc<Lent<P>>,
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
        .wait_for_warm_up(lease.instance(), opened_at, answer_by)
        .await;
    let _permit = lease.gate().acquire_immediately();
    let attempt = attempt::run_on_lease(gateway, lease, principal, &work, frame, answer_by).await;
    match attempt {
        AttemptOutcome::Answered(answer) => lent.keep(opened_by, answer),
        failed => failure(failed),
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

fn failure<P: Platform>(attempt: AttemptOutcome<P>) -> ForwardOutcome {
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

impl<P: Platform> Lent<P> {
    /// A statement that opens a transaction begins.
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

    /// Takes a resting connection for a statement.
    fn resume(&self, number: u64) -> Option<Lease<ConnectionOf<P>>> {
        let mut slots = lock(&self.slots);
        let slot = slots.as_mut()?.get_mut(&number)?;
        match std::mem::replace(slot, Slot::Running) {
            Slot::Resting { lease, .. } => Some(lease),
            other => {
                *slot = other;
                None
            }
        }
    }

    /// A statement in a transaction was answered: its connection rests, or goes
    /// back if the transaction is over or was given up.
    fn keep(&self, number: u64, answer: Answer<P>) -> ForwardOutcome {
        let (reply, begin) = replies(&answer);
        let status = answer.reply.status;
        let HeldConnection::Own(lease) = answer.held else {
            unreachable!("a node runs others' statements on connections of its own");
        };
        let is_lent = status == TransactionStatus::Open && self.is_wanted(number);
        if is_lent {
            self.rest(number, lease);
        } else {
            give_back(lease, status);
        }
        ForwardOutcome::Answered {
            reply,
            begin,
            is_lent,
        }
    }

    fn is_wanted(&self, number: u64) -> bool {
        let slots = lock(&self.slots);
        let slot = slots.as_ref().and_then(|slots| slots.get(&number));
        matches!(slot, Some(Slot::Running))
    }

    fn rest(&self, number: u64, lease: Lease<ConnectionOf<P>>) {
        let since = Instant::now();
        if let Some(slots) = &mut *lock(&self.slots) {
            slots.insert(number, Slot::Resting { lease, since });
        }
    }

    fn release(&self, number: u64, close: bool) {
        let mut slots = lock(&self.slots);
        let Some(slots) = slots.as_mut() else {
            return;
        };
        match slots.remove(&number) {
            Some(Slot::Resting { lease, .. }) => {
                self.count.fetch_sub(1, Ordering::Relaxed);
                if !close {
                    give_back(lease, TransactionStatus::Open);
                }
            }
            Some(Slot::Running | Slot::GivenUp) => {
                slots.insert(number, Slot::GivenUp);
            }
            None => {}
        }
    }

    fn take_back_after(&self, longest: Duration) {
        let mut slots = lock(&self.slots);
        let Some(slots) = slots.as_mut() else {
            return;
        };
        let before = slots.len();
        slots.retain(|_, slot| match slot {
            Slot::Resting { lease, since } if since.elapsed() > longest => {
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

    /// The stream has ended: what rests is rolled back.
    fn end(&self) {
        let slots = lock(&self.slots).take().unwrap_or_default();
        self.count.fetch_sub(slots.len(), Ordering::Relaxed);
        for slot in slots.into_values() {
            if let Slot::Resting { lease, .. } = slot {
                give_back(lease, TransactionStatus::Open);
            }
        }
    }
}

/// Gives a connection back; what is open on it is rolled back first.
fn give_back<C: crate::ports::BackendConnection>(lease: Lease<C>, status: TransactionStatus) {
    if status == TransactionStatus::Idle {
        attempt::finish_lease(lease, status);
    } else {
        tokio::spawn(roll_back(lease));
    }
}
