//! Where this node gets configuration and instances from: from the store, or
//! from a node of its zone that reads it.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use linkhold_events::Event;
use rand::seq::IndexedRandom;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::beliefs::lock;
use crate::feed;
use crate::fleet::FleetSource;
use crate::gateway::Gateway;
use crate::ports::Platform;

/// How often a node that reads the store looks whether it still should.
const LOOK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause before another reader is tried while the last one is still trusted.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Pause before another reader is tried when none is trusted any more.
const LOST_PAUSE: Duration = Duration::from_millis(1_500);

/// What the node does about the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// It reads the store itself.
    Reading,
    /// It follows a reader.
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
}

impl Default for Sources {
    fn default() -> Self {
        Self {
            mode: watch::channel(Mode::Reading).0,
            answers: Mutex::default(),
        }
    }
}

impl Sources {
    /// Whether a reader is followed.
    pub fn is_following(&self) -> bool {
        *self.mode.borrow() == Mode::Following
    }

    /// Waits while a reader is followed; `true` if it had to wait, so that all
    /// is to be read anew.
    pub async fn wait_until_reading(&self) -> bool {
        if !self.is_following() {
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
    pub fn configuration_answered(&self) {
        lock(&self.answers).configuration = Some(Instant::now());
    }

    /// The store answered a question about instances.
    pub fn instances_answered(&self) {
        lock(&self.answers).instances = Some(Instant::now());
    }

    /// Age of the older of both last answers, for a node that reads the store.
    pub fn age(&self) -> Option<Duration> {
        if self.is_following() {
            return None;
        }
        let answers = lock(&self.answers);
        let older = answers.configuration?.min(answers.instances?);
        Some(older.elapsed())
    }

    /// A reader is followed and trusted from now on.
    pub fn follow(&self) {
        self.mode.send_replace(Mode::Following);
    }

    fn read(&self) {
        self.mode.send_replace(Mode::Reading);
    }
}

/// Chooses the source as the fleet changes and readers are lost. Runs until the
/// process ends.
///
/// What a reader told last stays good for as long as it is trusted, so a node
/// that changes to another reader within that time does not read the store in
/// between: in a large fleet all of them would at once.
pub(crate) async fn choose<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut trusted_until = Instant::now();
    loop {
        let source = gateway.fleet.source(&gateway.settings.node);
        let reader = match &source {
            FleetSource::Store => None,
            FleetSource::Readers(readers) => readers.choose(&mut rand::rng()).copied(),
        };
        let (Some(reader), Some(key)) = (reader, gateway.fleet.key()) else {
            gateway.sources.read();
            sleep(LOOK_INTERVAL).await;
            continue;
        };
        let why = feed::follow(&gateway, reader, &key, &mut trusted_until).await;
        Event::info("reader_lost")
            .field("reader", reader)
            .field("reason", format_args!("{why:?}"))
            .log();
        let pause = RECONNECT_PAUSE.mul_f64(rand::random_range(0.5..1.5));
        if Instant::now() + pause >= trusted_until {
            gateway.sources.read();
            sleep(LOST_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
        } else {
            sleep(pause).await;
        }
    }
}
