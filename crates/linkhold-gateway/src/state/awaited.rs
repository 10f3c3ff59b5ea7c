//! Questions that wait for answers of several nodes, by number.

use std::collections::HashMap;
use std::sync::Mutex;

use tokio::sync::mpsc;

use crate::beliefs::lock;

/// Questions that wait for answers, by number.
#[derive(Debug)]
pub(crate) struct AwaitedAnswers<T>(Mutex<HashMap<u64, mpsc::UnboundedSender<T>>>);

impl<T> Default for AwaitedAnswers<T> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl<T> AwaitedAnswers<T> {
    /// A question with a number is asked; its answers come out of the receiver.
    pub fn register(&self, number: u64) -> mpsc::UnboundedReceiver<T> {
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.0).insert(number, sender);
        receiver
    }

    /// A node answered the question with a number.
    pub fn deliver(&self, number: u64, answer: T) {
        if let Some(sender) = lock(&self.0).get(&number) {
            // Whoever asked may have stopped waiting.
            let _ = sender.send(answer);
        }
    }

    /// Nobody waits for answers to a question any more.
    pub fn close(&self, number: u64) {
        lock(&self.0).remove(&number);
    }
}
