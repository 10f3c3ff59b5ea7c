//! Questions between nodes about the reachability of primaries.
//!
//! # Invariant
//!
//! No promotion rests on a sample of the fleet. A look ([`QuestionPurpose::Look`])
//! may ask some nodes; whoever replaces a primary asks everyone
//! ([`Audience::everyone`]), as listed in the store at that moment. In a large fleet the
//! watchers of the service alone try the instance when they are asked; the others tell
//! what they know of it, and agree if that is nothing.

mod questions;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::withholding::RECENT_FAILURE;
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

pub(crate) use questions::{Audience, ask, release, send};

/// How long what a watcher found is told to others who ask: as long as it takes to find it
/// out between regions, with a new connection.
const PROBE_LIFE: Duration = Duration::from_millis(300);
/// Pause before the socket is bound again after a failure.
const BIND_PAUSE: Duration = Duration::from_millis(500);

/// Binds the socket for datagrams and, where the number is free to choose, a
/// listener for streams under the same number: another process may hold it for
/// streams.
async fn bind(address: SocketAddr) -> io::Result<(UdpSocket, Option<TcpListener>)> {
    if address.port() != 0 {
        return Ok((UdpSocket::bind(address).await?, None));
    }
    let listener = TcpListener::bind(address).await?;
    let socket = UdpSocket::bind(listener.local_addr()?).await?;
    Ok((socket, Some(listener)))
}

/// Answers other nodes' questions and passes on their answers. Runs until the
/// process ends.
pub(crate) async fn answer_questions<P: Platform>(gateway: Arc<Gateway<P>>) {
    let Some(address) = gateway.settings.peer_address else {
        return;
    };
    loop {
        match bind(address).await {
            Ok((socket, listener)) => {
                let socket = Arc::new(socket);
                gateway.peers.bound(socket.clone(), listener);
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
                take_budget_message(gateway, socket, from, message, &key).await;
            }
            Ok(Datagram::Reachability(ReachabilityMessage::Question {
                number,
                subject,
                purpose,
            })) => {
                let asker = Questioner {
                    socket: socket.clone(),
                    key,
                    address: from,
                    number,
                };
                tokio::spawn(answer(gateway.clone(), asker, subject, purpose));
            }
            Ok(Datagram::Reachability(ReachabilityMessage::Answer {
                number,
                found,
                leader,
            })) => {
                let answer = PeerAnswer {
                    from,
                    found,
                    leader: leader.as_deref().map(instance_id),
                };
                gateway.peers.questions.answered(number, answer);
            }
            Ok(Datagram::Reachability(ReachabilityMessage::Release { number })) => {
                gateway.beliefs.release(number);
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
                gateway.peers.confirmations.answered(number, confirmation);
            }
            Err(error) => Event::warn("peer_message_refused")
                .field("from", from)
                .field("error", error)
                .log(),
        }
    }
}

/// Answers a question for a budget, or takes in what another node says of one.
async fn take_budget_message<P: Platform>(
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
        BudgetMessage::Elsewhere { number, address } => match address.parse() {
            Ok(address) => {
                let answer = BudgetAnswer::Elsewhere(address);
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
        BudgetAnswer::Elsewhere(address) => BudgetMessage::Elsewhere {
            number,
            address: address.to_string(),
        },
    }
}

/// Who asked a question, and where the answer goes.
struct Questioner {
    socket: Arc<UdpSocket>,
    key: PeerKey,
    address: SocketAddr,
    number: u64,
}

async fn answer<P: Platform>(
    gateway: Arc<Gateway<P>>,
    asker: Questioner,
    subject: QuestionSubject,
    purpose: QuestionPurpose,
) {
    let instance = match &subject {
        QuestionSubject::Instance(id) => gateway.beliefs.instance(&instance_id(id)),
        QuestionSubject::PrimaryOf(service) => gateway.beliefs.primary(service),
    };
    let found = match &instance {
        Some(instance)
            if purpose == QuestionPurpose::Look || believes_in(&gateway, instance, &subject) =>
        {
            find(&gateway, instance, purpose).await
        }
        // What it does not know, it does not use.
        Some(_) | None => Reachability::Unreached,
    };
    if found != Reachability::Reached && purpose == QuestionPurpose::Replace {
        gateway.beliefs.permission.agree(&subject, asker.number);
    }
    if found == Reachability::Unreached && purpose == QuestionPurpose::Replace {
        match (&instance, &subject) {
            (Some(instance), _) => gateway.beliefs.withhold(&instance.id, asker.number),
            (None, QuestionSubject::Instance(id)) => {
                gateway.beliefs.withhold(&instance_id(id), asker.number);
            }
            (None, QuestionSubject::PrimaryOf(_)) => {}
        }
    }
    let is_leader =
        found == Reachability::Reached && matches!(subject, QuestionSubject::PrimaryOf(_));
    let is_proved = |it: &Arc<Instance>| believes_in(&gateway, it, &subject);
    let leader = instance.filter(|it| is_leader && is_proved(it));
    let leader = leader.map(|it| it.id.to_string());
    let message = ReachabilityMessage::Answer {
        number: asker.number,
        found,
        leader,
    };
    // A lost answer counts as none.
    let _ = asker
        .socket
        .send_to(&encode_reachability(&message, &asker.key), asker.address)
        .await;
}

/// Whether this node's word on an instance counts: of a service's primary, what is believed
/// for its entry alone tells nothing.
fn believes_in<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    subject: &QuestionSubject,
) -> bool {
    let is_any_primary = matches!(subject, QuestionSubject::PrimaryOf(_));
    !is_any_primary || !gateway.beliefs.needs_lead_proof(&instance.id)
}

fn instance_id(id: &str) -> InstanceId {
    InstanceId(id.into())
}

async fn find<P: Platform>(
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
    if purpose == QuestionPurpose::Replace && has_failed_lately(gateway, instance) {
        return Reachability::Unreached;
    }
    let found = match watchers {
        Some(_) => probe(gateway, instance).await,
        None => try_to_reach(gateway, instance).await,
    };
    if found == Reachability::Unreached {
        gateway.suspected_primaries.add(&instance.service);
    }
    found
}

/// What a node that does not watch an instance knows of it. 327 nodes that each connected
/// to one primary when they were asked, where it takes 140 connections, took it for lost
/// and asked in turn: 72,022 connections were reset within a minute.
fn known_reachability<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> Reachability {
    let lately = Instant::now().checked_sub(PROBE_LIFE);
    match lately {
        Some(moment) if gateway.answered_since(instance, moment) => Reachability::Reached,
        Some(_) | None => Reachability::Unreached,
    }
}

/// Tries an instance that this node watches: once for all who ask at about the same time.
async fn probe<P: Platform>(gateway: &Gateway<P>, instance: &Arc<Instance>) -> Reachability {
    let probe = gateway.peers.probe(&instance.id);
    let mut last = probe.lock().await;
    if let Some((at, found)) = *last
        && at.elapsed() < PROBE_LIFE
    {
        return found;
    }
    let found = try_to_reach(gateway, instance).await;
    *last = Some((Instant::now(), found));
    found
}

async fn try_to_reach<P: Platform>(gateway: &Gateway<P>, instance: &Arc<Instance>) -> Reachability {
    let found = survey::reach_primary(gateway, instance).await;
    gateway.peers.tried(&instance.id, found);
    found
}

/// Whether this node failed to reach an instance a moment ago and has heard
/// nothing of it since.
fn has_failed_lately<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> bool {
    let failed_at = gateway.peers.failed_at(&instance.id);
    failed_at.is_some_and(|failed_at| {
        failed_at.elapsed() < RECENT_FAILURE && !gateway.answered_since(instance, failed_at)
    })
}
