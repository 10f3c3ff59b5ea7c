//! Questions for confirmations that wait for answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use tokio::sync::mpsc;

use crate::beliefs::lock;

/// What other nodes have agreed to, or `None` from one that may not tell.
pub(crate) type Told = Option<Vec<String>>;

/// Questions for confirmations that wait for answers, by number.
#[derive(Debug, Default)]
pub(crate) struct Confirmations {
    waiting: Mutex<HashMap<u64, mpsc::UnboundedSender<(SocketAddr, Told)>>>,
}

impl Confirmations {
    /// A question with a number is asked; its answers come out of the receiver.
    pub fn asked(&self, number: u64) -> mpsc::UnboundedReceiver<(SocketAddr, Told)> {
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.waiting).insert(number, sender);
        receiver
    }

    /// Nobody waits for answers to a question any more.
    pub fn ended(&self, number: u64) {
        lock(&self.waiting).remove(&number);
    }

    /// Another node has answered.
    pub fn answered(&self, number: u64, from: SocketAddr, agreed: Told) {
        if let Some(sender) = lock(&self.waiting).get(&number) {
            // Whoever asked may have stopped waiting.
            let _ = sender.send((from, agreed));
        }
    }
}
