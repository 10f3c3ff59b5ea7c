//! Where a node gets configuration and instances from at present.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use linkhold_events::Event;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::beliefs::lock;

/// What the node does about the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Nothing: it starts.
    Starting,
    /// It reads the store itself.
    Reading,
    /// It follows a reader, or looks for one.
    Following,
}

#[derive(Debug, Default)]
struct LastAnswers {
    configuration: Option<Instant>,
    instances: Option<Instant>,
}

/// The node's present source, and how fresh the store's answers are.
#[derive(Debug)]
pub(crate) struct Sources {
    mode: watch::Sender<Mode>,
    answers: Mutex<LastAnswers>,
    /// Rises with each answer about the configuration.
    answered: watch::Sender<u64>,
}

impl Default for Sources {
    fn default() -> Self {
        Self {
            mode: watch::channel(Mode::Starting).0,
            answers: Mutex::default(),
            answered: watch::channel(0).0,
        }
    }
}

impl Sources {
    /// Whether a reader is followed or looked for.
    pub fn is_following(&self) -> bool {
        *self.mode.borrow() == Mode::Following
    }

    /// Whether the store is read.
    pub fn is_reading(&self) -> bool {
        *self.mode.borrow() == Mode::Reading
    }

    /// Waits until the store is read; `true` if it had to wait, so that all is to
    /// be read anew.
    pub async fn wait_until_reading(&self) -> bool {
        if self.is_reading() {
            return false;
        }
        // The sender lives as long as this.
        let _ = self
            .mode
            .subscribe()
            .wait_for(|mode| *mode == Mode::Reading)
            .await;
        true
    }

    /// The store answered a question about the configuration.
    pub fn record_configuration_answer(&self) {
        lock(&self.answers).configuration = Some(Instant::now());
        self.answered.send_modify(|count| *count += 1);
    }

    /// The store answered a question about instances.
    pub fn record_instances_answer(&self) {
        lock(&self.answers).instances = Some(Instant::now());
    }

    /// Waits until the store answers the next question about the configuration,
    /// but no longer than `limit`.
    pub async fn wait_for_store(&self, limit: Duration) {
        let mut answered = self.answered.subscribe();
        answered.mark_unchanged();
        // Time passing is as good a reason to go on.
        let _ = timeout(limit, answered.changed()).await;
    }

    /// Age of the older of both last answers, for a node that reads the store.
    pub fn age(&self) -> Option<Duration> {
        if !self.is_reading() {
            return None;
        }
        let answers = lock(&self.answers);
        let older = answers.configuration?.min(answers.instances?);
        Some(older.elapsed())
    }

    /// A reader is followed and trusted from now on.
    pub fn start_following(&self) {
        self.mode.send_replace(Mode::Following);
    }

    /// The store is read from now on.
    pub fn start_reading(&self, reason: ReadReason) {
        if self.mode.send_replace(Mode::Reading) != Mode::Reading {
            Event::info("store_read")
                .field("reason", format_args!("{reason:?}"))
                .log();
        }
    }
}

/// Why a node reads the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadReason {
    /// It is one of the fleet's readers, or every node reads.
    Chosen,
    /// It finds no reader that has an answer from the store, and the store
    /// answers it.
    NoReaderTrusted,
}
