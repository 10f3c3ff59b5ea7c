//! A node's stream to an owner, shared by all statements that it forwards to it.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::service::instance::Instance;
use linkhold_peer::{
    EvidenceAnswer, FeedMessage, ForwardMessage, ForwardOutcome, ForwardStatement,
    MAX_FORWARD_MESSAGE, PeerKey, decode_forward, encode_forward, milliseconds,
};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{timeout, timeout_at};

use super::translate;
use crate::cluster_state::lock;
use crate::feed::framing::{framed, read_body, write_message};

/// How long connecting to an owner may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without a message after which an owner is pinged.
const PING_AFTER: Duration = Duration::from_millis(150);
/// Time without a message after which an owner counts as lost.
pub(super) const OWNER_SILENCE_TIMEOUT: Duration = Duration::from_millis(320);
/// How long writing one message to an owner may take.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Why a call returned no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// The statement was not handed to the stream: it certainly did not run.
    NotSent,
    /// The stream broke after the statement was handed to it.
    Broken,
    /// No answer came in time.
    NoAnswer,
    /// The owner sent nothing at all; the statement may have run.
    OwnerSilent,
}

/// State of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// The stream is open or being opened.
    Usable,
    /// The owner has sent nothing for [`OWNER_SILENCE_TIMEOUT`].
    Silent,
    /// The stream broke or could not be opened.
    Ended,
}

/// What to do about an owner that has sent nothing for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SilenceAction {
    /// Ping it.
    Ping,
    /// Mark the link as silent: new statements go to other owners, and calls that
    /// another owner can repeat give up.
    MarkSilent,
}

/// A statement that awaits its answer.
struct PendingStatement {
    sender: oneshot::Sender<Result<ForwardOutcome, CallFailure>>,
    was_sent: bool,
}

struct Shared {
    state: LinkState,
    statements: HashMap<u64, PendingStatement>,
    questions: HashMap<u64, oneshot::Sender<EvidenceAnswer>>,
    last_received_at: Option<Instant>,
}

/// A stream to an owner, and the calls that await answers on it.
pub(crate) struct Link {
    owner: SocketAddr,
    outbox: mpsc::UnboundedSender<ForwardMessage>,
    shared: Mutex<Shared>,
}

impl Link {
    /// Starts to open a stream. Messages queue until it is open.
    pub fn open(owner: SocketAddr, key: PeerKey) -> Arc<Self> {
        let (outbox, messages) = mpsc::unbounded_channel();
        let link = Arc::new(Self {
            owner,
            outbox,
            shared: Mutex::new(Shared {
                state: LinkState::Usable,
                statements: HashMap::new(),
                questions: HashMap::new(),
                last_received_at: None,
            }),
        });
        tokio::spawn(run_link(link.clone(), key, messages));
        link
    }

    /// Address of the owner.
    pub fn owner(&self) -> SocketAddr {
        self.owner
    }

    /// State of the link.
    pub fn state(&self) -> LinkState {
        lock(&self.shared).state
    }

    /// Whether nothing has been received from the owner since `moment`.
    pub fn is_silent_since(&self, moment: Instant) -> bool {
        lock(&self.shared)
            .last_received_at
            .is_none_or(|at| at < moment)
    }

    /// Queues a message without waiting for an answer.
    pub fn send(&self, message: ForwardMessage) {
        // An owner whose stream has ended has released everything it held.
        let _ = self.outbox.send(message);
    }

    /// Sends the owner a statement to run. Waits for the answer until `answer_by` or, if
    /// `gives_up_silent`, until the owner has been silent for
    /// [`OWNER_SILENCE_TIMEOUT`].
    pub async fn call(
        &self,
        statement: ForwardStatement,
        answer_by: Instant,
        gives_up_silent: bool,
    ) -> Result<ForwardOutcome, CallFailure> {
        let number = statement.number;
        let sent_at = Instant::now();
        let mut receiver = self.register(number)?;
        self.send(ForwardMessage::Run(statement));
        let mut is_silent = false;
        for (after, action) in [
            (PING_AFTER, SilenceAction::Ping),
            (OWNER_SILENCE_TIMEOUT, SilenceAction::MarkSilent),
        ] {
            let check_at = answer_by.min(sent_at + after);
            if let Ok(answer) = timeout_at(check_at.into(), &mut receiver).await {
                return answer.unwrap_or(Err(CallFailure::Broken));
            }
            is_silent = self.is_silent_since(sent_at);
            match action {
                SilenceAction::Ping if is_silent => self.send(ForwardMessage::Ping),
                SilenceAction::MarkSilent if is_silent => self.mark_silent(),
                SilenceAction::Ping | SilenceAction::MarkSilent => {}
            }
        }
        if is_silent && (gives_up_silent || Instant::now() >= answer_by) {
            return Err(self.give_up(number, CallFailure::OwnerSilent));
        }
        match timeout_at(answer_by.into(), receiver).await {
            Ok(answer) => answer.unwrap_or(Err(CallFailure::Broken)),
            Err(_) if self.is_silent_since(sent_at) => {
                Err(self.give_up(number, CallFailure::OwnerSilent))
            }
            Err(_) => Err(self.give_up(number, CallFailure::NoAnswer)),
        }
    }

    /// Stops waiting for a statement's answer. A statement that was not sent yet
    /// will not be sent; the result is then [`CallFailure::NotSent`].
    fn give_up(&self, number: u64, failure: CallFailure) -> CallFailure {
        match lock(&self.shared).statements.remove(&number) {
            Some(pending) if !pending.was_sent => CallFailure::NotSent,
            _ => failure,
        }
    }

    fn register(
        &self,
        number: u64,
    ) -> Result<oneshot::Receiver<Result<ForwardOutcome, CallFailure>>, CallFailure> {
        let (sender, receiver) = oneshot::channel();
        let mut shared = lock(&self.shared);
        if shared.state == LinkState::Ended {
            return Err(CallFailure::NotSent);
        }
        let pending = PendingStatement {
            sender,
            was_sent: false,
        };
        shared.statements.insert(number, pending);
        Ok(receiver)
    }

    /// Asks the owner for evidence of the primary's log position that is at most
    /// `max_age` old; `None` if no answer comes in time.
    pub async fn ask_evidence(
        &self,
        primary: &Instance,
        max_age: Duration,
        within: Duration,
    ) -> Option<EvidenceAnswer> {
        let number = rand::random();
        let (sender, receiver) = oneshot::channel();
        lock(&self.shared).questions.insert(number, sender);
        self.send(ForwardMessage::EvidenceQuestion {
            number,
            service: primary.service.to_string(),
            max_age_ms: milliseconds(max_age),
            instance: Some(primary.id.to_string()),
        });
        let answer = timeout(within, receiver).await;
        lock(&self.shared).questions.remove(&number);
        answer.ok()?.ok()
    }

    /// Whether a message is still to be sent: a statement that was given up is not.
    /// Marks a statement as sent before it is written.
    fn mark_sent(&self, message: &ForwardMessage) -> bool {
        let ForwardMessage::Run(statement) = message else {
            return true;
        };
        match lock(&self.shared).statements.get_mut(&statement.number) {
            Some(pending) => {
                pending.was_sent = true;
                true
            }
            None => false,
        }
    }

    fn mark_silent(&self) {
        let mut shared = lock(&self.shared);
        if shared.state == LinkState::Usable {
            shared.state = LinkState::Silent;
        }
    }

    fn handle_message(&self, message: ForwardMessage) {
        let mut shared = lock(&self.shared);
        shared.last_received_at = Some(Instant::now());
        shared.state = LinkState::Usable;
        match message {
            ForwardMessage::Ended { number, outcome } => {
                if let Some(pending) = shared.statements.remove(&number) {
                    // The caller may have stopped waiting.
                    let _ = pending.sender.send(Ok(outcome));
                }
            }
            ForwardMessage::EvidenceAnswer {
                number,
                age_ms,
                position,
            } => {
                if let Some(sender) = shared.questions.remove(&number) {
                    let _ = sender.send(EvidenceAnswer {
                        number,
                        age: Duration::from_millis(age_ms),
                        position: position.map(translate::position_from),
                    });
                }
            }
            // An owner sends no other messages that need handling.
            ForwardMessage::Run(_)
            | ForwardMessage::Release { .. }
            | ForwardMessage::EvidenceQuestion { .. }
            | ForwardMessage::Ping
            | ForwardMessage::Pong => {}
        }
    }

    fn close(&self) {
        let mut shared = lock(&self.shared);
        shared.state = LinkState::Ended;
        shared.questions.clear();
        for (_, pending) in shared.statements.drain() {
            let failure = if pending.was_sent {
                CallFailure::Broken
            } else {
                CallFailure::NotSent
            };
            // The caller may have stopped waiting.
            let _ = pending.sender.send(Err(failure));
        }
    }
}

/// Opens the stream and serves it until it breaks or is no longer used.
async fn run_link(
    link: Arc<Link>,
    key: PeerKey,
    mut messages: mpsc::UnboundedReceiver<ForwardMessage>,
) {
    // Pending calls fail, whatever ended the stream.
    let _ = exchange_messages(&link, &key, &mut messages).await;
    link.close();
}

async fn exchange_messages(
    link: &Link,
    key: &PeerKey,
    messages: &mut mpsc::UnboundedReceiver<ForwardMessage>,
) -> io::Result<()> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(link.owner)).await??;
    // A socket that refuses the option still works, with more latency.
    let _ = stream.set_nodelay(true);
    write_message(&mut stream, &FeedMessage::Forward, key).await?;
    let (read_half, mut write_half) = stream.into_split();
    let mut read_half = BufReader::new(read_half);
    let receive = async {
        loop {
            let message = read_forward(&mut read_half, key).await?;
            link.handle_message(message);
        }
    };
    let send_all = async {
        while let Some(message) = messages.recv().await {
            if link.mark_sent(&message) {
                let frame = framed(&encode_forward(&message, key));
                timeout(WRITE_TIMEOUT, write_half.write_all(&frame)).await??;
            }
        }
        Ok(())
    };
    tokio::select! {
        ended = receive => ended,
        ended = send_all => ended,
    }
}

/// Reads one message.
pub(super) async fn read_forward<S: tokio::io::AsyncRead + Unpin>(
    stream: &mut S,
    key: &PeerKey,
) -> io::Result<ForwardMessage> {
    let body = read_body(stream, MAX_FORWARD_MESSAGE).await?;
    decode_forward(&body, key).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}
