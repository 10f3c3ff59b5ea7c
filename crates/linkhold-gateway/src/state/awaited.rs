//! Pending questions to several nodes, by number.

use std::collections::HashMap;
use std::sync::Mutex;

use tokio::sync::mpsc;

use crate::cluster_state::lock;

/// Pending questions by number, each with the channel for its answers.
#[derive(Debug)]
pub(crate) struct AwaitedAnswers<T>(Mutex<HashMap<u64, mpsc::UnboundedSender<T>>>);

impl<T> Default for AwaitedAnswers<T> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<T> AwaitedAnswers<T> {
    /// Registers a question. Its answers come out of the receiver.
    pub fn register(&self, number: u64) -> mpsc::UnboundedReceiver<T> {
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.0).insert(number, sender);
        receiver
    }

    /// Delivers a node's answer to the question with a number, if it is still pending.
    pub fn deliver(&self, number: u64, answer: T) {
        if let Some(sender) = lock(&self.0).get(&number) {
            // The asking task may have stopped waiting.
            let _ = sender.send(answer);
        }
    }

    /// Closes a question: later answers are dropped.
    pub fn close(&self, number: u64) {
        lock(&self.0).remove(&number);
    }
}
