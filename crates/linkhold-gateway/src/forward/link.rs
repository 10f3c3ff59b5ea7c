//! A node's stream to an owner, shared by all statements it forwards there.

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
/// After which time without a word an owner is asked for a sign of life.
const PING_AFTER: Duration = Duration::from_millis(150);
/// After which time without a word an owner counts as lost.
pub(super) const OWNER_SILENCE: Duration = Duration::from_millis(320);
/// How long an owner may take to take in what is written.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Why a call brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// It was not handed to the stream: it certainly ran nowhere.
    NotSent,
    /// The stream broke after it was.
    Broken,
    /// No answer came in time.
    NoAnswer,
    /// The owner gave no sign of life; it may have run.
    OwnerSilent,
}

/// What became of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// It is open or being opened.
    Usable,
    /// Its owner gives no sign of life.
    Silent,
    /// It broke or could not be opened.
    Ended,
}

/// What is done about an owner that has been silent for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// It is asked for a sign of life.
    Ping,
    /// It is given up by those who can ask another.
    Judge,
}

/// A statement whose answer is waited for.
struct Waiter {
    sender: oneshot::Sender<Result<ForwardOutcome, CallFailure>>,
    was_sent: bool,
}

struct Shared {
    state: LinkState,
    statements: HashMap<u64, Waiter>,
    questions: HashMap<u64, oneshot::Sender<EvidenceAnswer>>,
    heard_at: Option<Instant>,
}

/// The stream and those who wait for answers on it.
pub(crate) struct Link {
    owner: SocketAddr,
    outbox: mpsc::UnboundedSender<ForwardMessage>,
    shared: Mutex<Shared>,
}

impl Link {
    /// Starts to open a stream; what is asked meanwhile waits for it.
    pub fn open(owner: SocketAddr, key: PeerKey) -> Arc<Self> {
        let (outbox, messages) = mpsc::unbounded_channel();
        let link = Arc::new(Self {
            owner,
            outbox,
            shared: Mutex::new(Shared {
                state: LinkState::Usable,
                statements: HashMap::new(),
                questions: HashMap::new(),
                heard_at: None,
            }),
        });
        tokio::spawn(keep(link.clone(), key, messages));
        link
    }

    /// The owner at its other end.
    pub fn owner(&self) -> SocketAddr {
        self.owner
    }

    /// Whether it can be used.
    pub fn state(&self) -> LinkState {
        lock(&self.shared).state
    }

    /// Whether nothing has been heard of the owner since a moment.
    pub fn is_silent_since(&self, moment: Instant) -> bool {
        lock(&self.shared).heard_at.is_none_or(|at| at < moment)
    }

    /// Tells the owner something that has no answer.
    pub fn tell(&self, message: ForwardMessage) {
        // An owner that is lost has let go of everything.
        let _ = self.outbox.send(message);
    }

    /// Has a statement run; waits until `answer_by`, or until the owner has been
    /// silent for [`OWNER_SILENCE`] if `gives_up_silent`.
    pub async fn call(
        &self,
        statement: ForwardStatement,
        answer_by: Instant,
        gives_up_silent: bool,
    ) -> Result<ForwardOutcome, CallFailure> {
        let number = statement.number;
        let sent_at = Instant::now();
        let mut receiver = self.register(number)?;
        self.tell(ForwardMessage::Run(statement));
        let mut is_silent = false;
        for (after, step) in [(PING_AFTER, Step::Ping), (OWNER_SILENCE, Step::Judge)] {
            let look_at = answer_by.min(sent_at + after);
            if let Ok(answer) = timeout_at(look_at.into(), &mut receiver).await {
                return answer.unwrap_or(Err(CallFailure::Broken));
            }
            is_silent = self.is_silent_since(sent_at);
            match step {
                Step::Ping if is_silent => self.tell(ForwardMessage::Ping),
                Step::Judge if is_silent => self.suspect(),
                Step::Ping | Step::Judge => {}
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

    /// A statement's answer is no longer waited for. One that was not sent yet
    /// is not sent any more.
    fn give_up(&self, number: u64, failure: CallFailure) -> CallFailure {
        match lock(&self.shared).statements.remove(&number) {
            Some(waiter) if !waiter.was_sent => CallFailure::NotSent,
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
        let waiter = Waiter {
            sender,
            was_sent: false,
        };
        shared.statements.insert(number, waiter);
        Ok(receiver)
    }

    /// Asks for evidence.
    pub async fn ask_evidence(
        &self,
        primary: &Instance,
        max_age: Duration,
        within: Duration,
    ) -> Option<EvidenceAnswer> {
        let number = rand::random();
        let (sender, receiver) = oneshot::channel();
        lock(&self.shared).questions.insert(number, sender);
        self.tell(ForwardMessage::EvidenceQuestion {
            number,
            service: primary.service.to_string(),
            max_age_ms: milliseconds(max_age),
            instance: Some(primary.id.to_string()),
        });
        let answer = timeout(within, receiver).await;
        lock(&self.shared).questions.remove(&number);
        answer.ok()?.ok()
    }

    /// Whether a message is to be sent: a statement that nobody waits for any
    /// more is not. One that is sent counts as sent from before it is.
    fn begin_sending(&self, message: &ForwardMessage) -> bool {
        let ForwardMessage::Run(statement) = message else {
            return true;
        };
        match lock(&self.shared).statements.get_mut(&statement.number) {
            Some(waiter) => {
                waiter.was_sent = true;
                true
            }
            None => false,
        }
    }

    fn suspect(&self) {
        let mut shared = lock(&self.shared);
        if shared.state == LinkState::Usable {
            shared.state = LinkState::Silent;
        }
    }

    fn heard(&self, message: ForwardMessage) {
        let mut shared = lock(&self.shared);
        shared.heard_at = Some(Instant::now());
        shared.state = LinkState::Usable;
        match message {
            ForwardMessage::Ended { number, outcome } => {
                if let Some(waiter) = shared.statements.remove(&number) {
                    // Whoever waited may have left.
                    let _ = waiter.sender.send(Ok(outcome));
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
            // Nothing else comes from an owner.
            ForwardMessage::Run(_)
            | ForwardMessage::Release { .. }
            | ForwardMessage::EvidenceQuestion { .. }
            | ForwardMessage::Ping
            | ForwardMessage::Pong => {}
        }
    }

    fn end(&self) {
        let mut shared = lock(&self.shared);
        shared.state = LinkState::Ended;
        shared.questions.clear();
        for (_, waiter) in shared.statements.drain() {
            let failure = if waiter.was_sent {
                CallFailure::Broken
            } else {
                CallFailure::NotSent
            };
            // Whoever waited may have left.
            let _ = waiter.sender.send(Err(failure));
        }
    }
}

/// Opens the stream and serves it until it breaks or is no longer used.
async fn keep(
    link: Arc<Link>,
    key: PeerKey,
    mut messages: mpsc::UnboundedReceiver<ForwardMessage>,
) {
    // Whatever ended it, those who wait are told.
    let _ = converse(&link, &key, &mut messages).await;
    link.end();
}

async fn converse(
    link: &Link,
    key: &PeerKey,
    messages: &mut mpsc::UnboundedReceiver<ForwardMessage>,
) -> io::Result<()> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(link.owner)).await??;
    // A socket that refuses it still works, only later.
    let _ = stream.set_nodelay(true);
    write_message(&mut stream, &FeedMessage::Forward, key).await?;
    let (reading, mut writing) = stream.into_split();
    let mut reading = BufReader::new(reading);
    let listen = async {
        loop {
            let message = read_forward(&mut reading, key).await?;
            link.heard(message);
        }
    };
    let speak = async {
        while let Some(message) = messages.recv().await {
            if link.begin_sending(&message) {
                let frame = framed(&encode_forward(&message, key));
                timeout(WRITE_TIMEOUT, writing.write_all(&frame)).await??;
            }
        }
        Ok(())
    };
    tokio::select! {
        ended = listen => ended,
        ended = speak => ended,
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
