//! A follower's way to its reader.

use std::collections::HashMap;
use std::sync::Mutex;

use linkhold_peer::{EvidenceAnswer, EvidenceQuestion, FeedMessage};
use tokio::sync::{mpsc, oneshot};

use crate::beliefs::lock;

/// A follower's side: the way to its reader, and the questions under way.
#[derive(Default)]
pub(crate) struct ReaderLink {
    outbox: Mutex<Option<mpsc::UnboundedSender<FeedMessage>>>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<EvidenceAnswer>>>,
}

impl ReaderLink {
    /// A reader is followed; what it is to be told comes out of the receiver.
    pub fn open(&self) -> mpsc::UnboundedReceiver<FeedMessage> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *lock(&self.outbox) = Some(sender);
        receiver
    }

    /// The reader is lost.
    pub fn close(&self) {
        *lock(&self.outbox) = None;
        lock(&self.waiting).clear();
    }

    /// The reader has answered.
    pub fn deliver(&self, answer: EvidenceAnswer) {
        if let Some(waiting) = lock(&self.waiting).remove(&answer.number) {
            // Whoever asked may have stopped waiting.
            let _ = waiting.send(answer);
        }
    }

    /// Tells the reader something, if one is followed.
    pub fn send(&self, message: FeedMessage) {
        if let Some(outbox) = &*lock(&self.outbox) {
            // A reader that is lost need not be told.
            let _ = outbox.send(message);
        }
    }

    /// Asks the reader; `None` if none is followed.
    pub fn ask(&self, question: EvidenceQuestion) -> Option<oneshot::Receiver<EvidenceAnswer>> {
        let outbox = lock(&self.outbox).clone()?;
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(question.number, sender);
        outbox.send(FeedMessage::EvidenceQuestion(question)).ok()?;
        Some(receiver)
    }

    /// Nobody waits for the answer to a question any more.
    pub fn cancel(&self, number: u64) {
        lock(&self.waiting).remove(&number);
    }
}
