//! The present source of this node's configuration and instances.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use linkhold_events::Event;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::cluster_state::lock;

/// How the node uses the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// It is starting and uses no source yet.
    Starting,
    /// It reads the store itself.
    Reading,
    /// It follows a reader, or searches for one.
    Following,
}

#[derive(Debug, Default)]
struct LastAnswers {
    configuration: Option<Instant>,
    instances: Option<Instant>,
}

/// The node's present source and the times of the store's last answers.
#[derive(Debug)]
pub(crate) struct Sources {
    mode: watch::Sender<Mode>,
    answers: Mutex<LastAnswers>,
    /// Counts answers to requests for the configuration.
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
    /// Whether the node follows a reader or searches for one.
    pub fn is_following(&self) -> bool {
        *self.mode.borrow() == Mode::Following
    }

    /// Whether the node reads the store itself.
    pub fn is_reading(&self) -> bool {
        *self.mode.borrow() == Mode::Reading
    }

    /// Waits until the node reads the store. Returns `true` if it had to wait: everything
    /// must then be read anew.
    pub async fn wait_until_reading(&self) -> bool {
        if self.is_reading() {
            return false;
        }
        // The sender lives as long as `self`, so this cannot fail.
        let _ = self
            .mode
            .subscribe()
            .wait_for(|mode| *mode == Mode::Reading)
            .await;
        true
    }

    /// Records that the store answered a request for the configuration.
    pub fn record_configuration_answer(&self) {
        lock(&self.answers).configuration = Some(Instant::now());
        self.answered.send_modify(|count| *count += 1);
    }

    /// Records that the store answered a request for instances.
    pub fn record_instances_answer(&self) {
        lock(&self.answers).instances = Some(Instant::now());
    }

    /// Waits until the store answers the next request for the configuration, at most
    /// `limit`.
    pub async fn wait_for_store(&self, limit: Duration) {
        let mut answered = self.answered.subscribe();
        answered.mark_unchanged();
        // The caller goes on after the limit too.
        let _ = timeout(limit, answered.changed()).await;
    }

    /// Age of the older of the last answers about configuration and instances; `None`
    /// unless the node reads the store and has both.
    pub fn age(&self) -> Option<Duration> {
        if !self.is_reading() {
            return None;
        }
        let answers = lock(&self.answers);
        let older = answers.configuration?.min(answers.instances?);
        Some(older.elapsed())
    }

    /// Switches the source to a reader that is trusted.
    pub fn start_following(&self) {
        self.mode.send_replace(Mode::Following);
    }

    /// Switches the source to the store.
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
    /// It finds no reader that has an answer from the store, while the store answers this
    /// node.
    NoReaderTrusted,
}
