//! Questions between nodes about the reachability of primaries.
//!
//! # Invariant
//!
//! No promotion rests on a sample of the fleet. A probe ([`QuestionPurpose::Probe`])
//! may ask some nodes; a node that replaces a primary asks all nodes
//! ([`Audience::all_nodes`]), as listed in the store at that moment. In a large fleet only
//! the watchers of the service try the instance when asked; the other nodes answer from
//! what they know of it, and agree if they know nothing.

mod acknowledged;
mod questions;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::withholding::FAILURE_REUSE_PERIOD;
use linkhold_core::tenancy::budget::Grant;
use linkhold_events::Event;
use linkhold_peer::{
    BudgetMessage, Datagram, MAX_DATAGRAM, PeerKey, QuestionPurpose, QuestionSubject, Reachability,
    ReachabilityMessage, decode_datagram, encode_budget, encode_reachability, milliseconds,
};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

use crate::admission::{self, BudgetAnswer, BudgetRequest, Requester};
use crate::confirmation;
use crate::evidence::survey;
use crate::gateway::Gateway;
use crate::ports::Platform;
use crate::state::{Confirmation, PeerAnswer};

pub(crate) use acknowledged::own_report;
pub(crate) use questions::{Audience, PeerFindings, ask, release, send};

/// How long a watcher answers from its last probe: as long as a probe between regions takes
/// with a new connection.
const PROBE_RESULT_LIFETIME: Duration = Duration::from_millis(300);
/// Pause before the socket is bound again after a failure.
const BIND_PAUSE: Duration = Duration::from_millis(500);

/// Binds the socket for datagrams. If any port may be chosen, also binds a listener for
/// streams on the same port first, because another process may hold that port for streams.
async fn bind(address: SocketAddr) -> io::Result<(UdpSocket, Option<TcpListener>)> {
    if address.port() != 0 {
        return Ok((UdpSocket::bind(address).await?, None));
    }
    let listener = TcpListener::bind(address).await?;
    let socket = UdpSocket::bind(listener.local_addr()?).await?;
    Ok((socket, Some(listener)))
}

/// Answers other nodes' questions and delivers their answers to this node's own. Runs until
/// the process ends.
pub(crate) async fn answer_questions<P: Platform>(gateway: Arc<Gateway<P>>) {
    let Some(address) = gateway.settings.peer_address else {
        return;
    };
    loop {
        match bind(address).await {
            Ok((socket, listener)) => {
                let socket = Arc::new(socket);
                gateway.peers.set_socket(socket.clone(), listener);
                receive(&gateway, &socket).await;
            }
            Err(error) => Event::warn("peer_socket_failed")
                .field("error", error)
                .log(),
        }
        sleep(BIND_PAUSE).await;
    }
}

async fn receive<P: Platform>(gateway: &Arc<Gateway<P>>, socket: &Arc<UdpSocket>) {
    let mut buffer = vec![0_u8; MAX_DATAGRAM];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            return;
        };
        let Some(key) = gateway.fleet.key() else {
            continue;
        };
        match decode_datagram(&buffer[..length], &key) {
            Ok(Datagram::Budget(message)) => {
                handle_budget_message(gateway, socket, from, message, &key).await;
            }
            Ok(Datagram::Reachability(ReachabilityMessage::Question {
                number,
                subject,
                purpose,
                list_age_ms,
            })) => {
                let questioner = Questioner {
                    socket: socket.clone(),
                    key,
                    address: from,
                    number,
                    list_age: list_age_ms.map(Duration::from_millis),
                };
                tokio::spawn(answer(gateway.clone(), questioner, subject, purpose));
            }
            Ok(Datagram::Reachability(ReachabilityMessage::Answer {
                number,
                found,
                primary,
                acknowledged,
                joined,
            })) => {
                let answer = PeerAnswer {
                    from,
                    found,
                    primary: primary.as_deref().map(instance_id),
                    acknowledged: acknowledged.and_then(acknowledged::decode),
                    joined: joined.and_then(decode_addresses),
                };
                gateway.peers.questions.deliver(number, answer);
            }
            Ok(Datagram::Reachability(ReachabilityMessage::Release { number })) => {
                gateway.cluster.release(number);
            }
            Ok(Datagram::Reachability(ReachabilityMessage::ConfirmationQuestion { number })) => {
                let answer = confirmation::answer(gateway, number);
                // A lost answer counts as none.
                let _ = socket
                    .send_to(&encode_reachability(&answer, &key), from)
                    .await;
            }
            Ok(Datagram::Reachability(ReachabilityMessage::ConfirmationAnswer {
                number,
                agreed,
            })) => {
                let confirmation = Confirmation { from, agreed };
                gateway.peers.confirmations.deliver(number, confirmation);
            }
            Err(error) => Event::warn("peer_message_refused")
                .field("from", from)
                .field("error", error)
                .log(),
        }
    }
}

/// Answers a question for a budget, or handles another node's message about one.
async fn handle_budget_message<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    socket: &UdpSocket,
    from: SocketAddr,
    message: BudgetMessage,
    key: &PeerKey,
) {
    match message {
        BudgetMessage::Question {
            number,
            tenant,
            wanted,
            unused,
            inherited,
        } => {
            let request = BudgetRequest {
                tenant: &tenant.into(),
                wanted,
                unused,
                inherited,
            };
            let answer = admission::answer_request(gateway, request, Requester::Peer(from));
            gateway.metrics.budget_answers.add();
            let message = budget_message(number, answer);
            // A lost answer is asked for again.
            let _ = socket.send_to(&encode_budget(&message, key), from).await;
        }
        BudgetMessage::Answer {
            number,
            amount,
            retry_after_ms,
        } => {
            let grant = Grant {
                amount,
                retry_after: Duration::from_millis(retry_after_ms),
            };
            gateway
                .quotas
                .complete_request(number, BudgetAnswer::Granted(grant));
        }
        BudgetMessage::Redirect { number, address } => match address.parse() {
            Ok(address) => {
                let answer = BudgetAnswer::Redirect(address);
                gateway.quotas.complete_request(number, answer);
            }
            Err(error) => Event::warn("peer_message_refused")
                .field("from", from)
                .field("error", error)
                .log(),
        },
        BudgetMessage::Displaced { tenant } => {
            admission::record_displacement(gateway, tenant.into(), from);
        }
    }
}

fn budget_message(number: u64, answer: BudgetAnswer) -> BudgetMessage {
    match answer {
        BudgetAnswer::Granted(grant) => BudgetMessage::Answer {
            number,
            amount: grant.amount,
            retry_after_ms: milliseconds(grant.retry_after),
        },
        BudgetAnswer::Redirect(address) => BudgetMessage::Redirect {
            number,
            address: address.to_string(),
        },
    }
}

/// The node that asked a question, and where the answer goes.
struct Questioner {
    socket: Arc<UdpSocket>,
    key: PeerKey,
    address: SocketAddr,
    number: u64,
    /// Age of its list of nodes, if it could not read it from the store.
    list_age: Option<Duration>,
}

async fn answer<P: Platform>(
    gateway: Arc<Gateway<P>>,
    questioner: Questioner,
    subject: QuestionSubject,
    purpose: QuestionPurpose,
) {
    let instance = match &subject {
        QuestionSubject::Instance(id) => gateway.cluster.instance(&instance_id(id)),
        QuestionSubject::PrimaryOf(service) => gateway.cluster.primary(service),
    };
    let found = match &instance {
        Some(instance)
            if purpose == QuestionPurpose::Probe
                || may_answer_for(&gateway, instance, &subject) =>
        {
            check_reachability(&gateway, instance, purpose).await
        }
        // This node does not use an instance that it does not know.
        Some(_) | None => Reachability::Unreached,
    };
    if found != Reachability::Reached && purpose == QuestionPurpose::Replace {
        gateway
            .cluster
            .permission
            .agree(&subject, questioner.number);
    }
    if found == Reachability::Unreached && purpose == QuestionPurpose::Replace {
        match (&instance, &subject) {
            (Some(instance), _) => gateway.cluster.withhold(&instance.id, questioner.number),
            (None, QuestionSubject::Instance(id)) => {
                gateway
                    .cluster
                    .withhold(&instance_id(id), questioner.number);
            }
            (None, QuestionSubject::PrimaryOf(_)) => {}
        }
    }
    let reaches_primary =
        found == Reachability::Reached && matches!(subject, QuestionSubject::PrimaryOf(_));
    let is_proved = |it: &Arc<Instance>| may_answer_for(&gateway, it, &subject);
    let primary = instance.filter(|it| reaches_primary && is_proved(it));
    let primary = primary.map(|it| it.id.to_string());
    // Read after this node has agreed, so that nothing is acknowledged afterwards.
    let is_replaced = purpose == QuestionPurpose::Replace && found != Reachability::Reached;
    let service = is_replaced
        .then(|| service_of(&gateway, &subject))
        .flatten();
    let message = ReachabilityMessage::Answer {
        number: questioner.number,
        found,
        primary,
        acknowledged: service.map(|service| acknowledged::commits(&gateway, &service)),
        joined: questioner.list_age.and_then(|age| joined(&gateway, age)),
    };
    // A lost answer counts as none.
    let _ = questioner
        .socket
        .send_to(
            &encode_reachability(&message, &questioner.key),
            questioner.address,
        )
        .await;
}

/// Nodes that a list of this age may lack, as they are sent.
fn joined<P: Platform>(gateway: &Gateway<P>, list_age: Duration) -> Option<Vec<String>> {
    let nodes = gateway.fleet.joined_since(list_age)?;
    Some(nodes.iter().map(SocketAddr::to_string).collect())
}

/// The addresses in an answer; `None` if one of them is none.
fn decode_addresses(addresses: Vec<String>) -> Option<Vec<SocketAddr>> {
    addresses.iter().map(|it| it.parse().ok()).collect()
}

/// The service that a question is about; `None` if the instance is not known.
fn service_of<P: Platform>(gateway: &Gateway<P>, subject: &QuestionSubject) -> Option<ServiceName> {
    match subject {
        QuestionSubject::Instance(id) => {
            let instance = gateway.cluster.instance(&instance_id(id))?;
            Some(instance.service.clone())
        }
        QuestionSubject::PrimaryOf(service) => Some(service.as_str().into()),
    }
}

/// Whether this node may answer for an instance. An instance that is the known primary
/// by its entry alone proves nothing about a service's primary.
fn may_answer_for<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    subject: &QuestionSubject,
) -> bool {
    let is_any_primary = matches!(subject, QuestionSubject::PrimaryOf(_));
    !is_any_primary || !gateway.cluster.needs_verification(&instance.id)
}

fn instance_id(id: &str) -> InstanceId {
    InstanceId(id.into())
}

async fn check_reachability<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
    purpose: QuestionPurpose,
) -> Reachability {
    let watchers = gateway
        .watchers
        .of(&gateway.settings.node, &instance.service);
    if watchers.as_ref().is_some_and(|it| !it.includes_self) {
        return known_reachability(gateway, instance);
    }
    if purpose == QuestionPurpose::Replace && has_failed_recently(gateway, instance) {
        return Reachability::Unreached;
    }
    let found = match watchers {
        Some(_) => probe(gateway, instance).await,
        None => attempt_to_reach(gateway, instance).await,
    };
    if found == Reachability::Unreached {
        gateway.suspected_primaries.add(&instance.service);
    }
    found
}

/// Reachability of an instance as known to a node that does not watch it, without
/// connecting. When 327 nodes each connected to one primary that takes 140 connections,
/// they considered it lost and asked in turn: 72,022 connections were reset within a
/// minute.
fn known_reachability<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> Reachability {
    let earliest = Instant::now().checked_sub(PROBE_RESULT_LIFETIME);
    match earliest {
        Some(moment) if gateway.answered_since(instance, moment) => Reachability::Reached,
        Some(_) | None => Reachability::Unreached,
    }
}

/// Probes an instance that this node watches, once for all questions at about the same
/// time.
async fn probe<P: Platform>(gateway: &Gateway<P>, instance: &Arc<Instance>) -> Reachability {
    let probe = gateway.peers.probe(&instance.id);
    let mut last = probe.lock().await;
    if let Some((at, found)) = *last
        && at.elapsed() < PROBE_RESULT_LIFETIME
    {
        return found;
    }
    let found = attempt_to_reach(gateway, instance).await;
    *last = Some((Instant::now(), found));
    found
}

async fn attempt_to_reach<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
) -> Reachability {
    let found = survey::probe_primary(gateway, instance).await;
    gateway.peers.record_attempt(&instance.id, found);
    found
}

/// Whether this node recently failed to reach an instance and has had no answer from it
/// since.
fn has_failed_recently<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> bool {
    let failed_at = gateway.peers.failed_at(&instance.id);
    failed_at.is_some_and(|failed_at| {
        failed_at.elapsed() < FAILURE_REUSE_PERIOD && !gateway.answered_since(instance, failed_at)
    })
}
