//! A follower's link to its reader.

use std::collections::HashMap;
use std::sync::Mutex;

use linkhold_peer::{EvidenceAnswer, EvidenceQuestion, FeedMessage};
use tokio::sync::{mpsc, oneshot};

use crate::cluster_state::lock;

/// A follower's outbox to its reader, and its pending questions.
#[derive(Default)]
pub(crate) struct ReaderLink {
    outbox: Mutex<Option<mpsc::UnboundedSender<FeedMessage>>>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<EvidenceAnswer>>>,
}

impl ReaderLink {
    /// Opens the link to a reader. Messages for the reader come out of the receiver.
    pub fn open(&self) -> mpsc::UnboundedReceiver<FeedMessage> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *lock(&self.outbox) = Some(sender);
        receiver
    }

    /// Closes the link and drops the pending questions.
    pub fn close(&self) {
        *lock(&self.outbox) = None;
        lock(&self.waiting).clear();
    }

    /// Delivers the reader's answer to the pending question.
    pub fn deliver(&self, answer: EvidenceAnswer) {
        if let Some(waiting) = lock(&self.waiting).remove(&answer.number) {
            // The asking task may have stopped waiting.
            let _ = waiting.send(answer);
        }
    }

    /// Sends a message to the reader, if one is followed.
    pub fn send(&self, message: FeedMessage) {
        if let Some(outbox) = &*lock(&self.outbox) {
            // A message to a lost reader may be dropped.
            let _ = outbox.send(message);
        }
    }

    /// Asks the reader a question; `None` if no reader is followed.
    pub fn ask(&self, question: EvidenceQuestion) -> Option<oneshot::Receiver<EvidenceAnswer>> {
        let outbox = lock(&self.outbox).clone()?;
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting).insert(question.number, sender);
        outbox.send(FeedMessage::EvidenceQuestion(question)).ok()?;
        Some(receiver)
    }

    /// Drops a pending question.
    pub fn cancel(&self, number: u64) {
        lock(&self.waiting).remove(&number);
    }
}
