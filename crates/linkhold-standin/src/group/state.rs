//! Shared state of a group: terms, logs, isolation and the records for checkers.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::sync::{Notify, Semaphore, watch};

use super::GroupOptions;
use super::engine::{Engine, LoggedStatement};

/// Replication lag of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LagProfile {
    /// Constant lag.
    Fixed(Duration),
    /// Log-normal lag with this median and 99th percentile, redrawn every
    /// [`LAG_PERIOD`].
    Varying {
        /// Median lag.
        median: Duration,
        /// 99th percentile.
        p99: Duration,
    },
}

/// Time for which a drawn lag applies.
pub const LAG_PERIOD: Duration = Duration::from_millis(500);
/// Standard score of the 99th percentile of a normal distribution.
const P99_SCORE: f64 = 2.326;

impl LagProfile {
    /// Draws a lag.
    pub fn sample(&self, random: &mut impl Rng) -> Duration {
        match self {
            Self::Fixed(lag) => *lag,
            Self::Varying { median, p99 } => {
                let sigma = (p99.as_secs_f64() / median.as_secs_f64()).ln() / P99_SCORE;
                let lag = median.as_secs_f64() * (sigma * standard_normal(random)).exp();
                Duration::from_secs_f64(lag)
            }
        }
    }
}

/// Draws from the standard normal distribution by the Box-Muller transform of two
/// uniform numbers.
fn standard_normal(random: &mut impl Rng) -> f64 {
    let first: f64 = 1.0 - random.random::<f64>();
    let second: f64 = random.random();
    (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos()
}

/// Log entry of a committed transaction.
#[derive(Clone, Debug)]
pub struct LogEntry {
    pub term: u64,
    pub statements: Arc<Vec<LoggedStatement>>,
    pub committed_at: Instant,
}

/// Raft-like state of one instance.
#[derive(Debug, Default)]
pub struct InstanceState {
    pub current_term: u64,
    pub is_primary: bool,
    pub crashed: bool,
    pub isolated: bool,
    pub log: Vec<LogEntry>,
    /// Number of entries applied to the engine; on a primary always the whole log.
    pub applied: usize,
    /// Whether the engine holds entries that are no longer in the log and must be
    /// rebuilt.
    pub dirty: bool,
    pub answer_delay: Duration,
}

impl InstanceState {
    /// Returns the term and index of the last applied entry.
    pub fn position(&self) -> (u64, u64) {
        let term = match self.applied {
            0 => 0,
            applied => self.log[applied - 1].term,
        };
        (term, self.applied as u64)
    }

    /// Returns the term and index of the last log entry, for elections.
    pub fn last_entry(&self) -> (u64, usize) {
        (
            self.log.last().map_or(0, |entry| entry.term),
            self.log.len(),
        )
    }
}

/// Status that an instance reports.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct InstanceReport {
    /// Highest term that the instance has promised.
    pub current_term: u64,
    /// Term of the last applied entry.
    pub log_term: u64,
    /// Index of the last applied entry.
    pub log_index: u64,
    /// Whether the instance considers itself the primary.
    pub is_primary: bool,
    /// Whether the instance is crashed.
    pub crashed: bool,
    /// Open connections.
    pub connections: usize,
    /// Maximum number of connections open at once so far.
    pub most_connections: usize,
}

/// A statement that an instance ran.
#[derive(Clone, Debug, Serialize)]
pub struct StatementRecord {
    /// Instance that ran the statement.
    pub instance: usize,
    /// Connection on which the statement arrived.
    pub connection: u64,
    /// Transaction of the statement; the number is unique in the group.
    pub transaction: u64,
    /// SQL text.
    pub text: String,
    /// Start time.
    #[serde(skip)]
    pub at: Instant,
}

/// Counters and limits of one instance.
pub struct InstanceLimits {
    pub slots: Arc<Semaphore>,
    pub connections: AtomicUsize,
    pub most_connections: AtomicUsize,
    /// Incremented to break all connections.
    pub generation: watch::Sender<u64>,
}

/// State that the servers of a group share.
pub struct GroupShared {
    pub options: GroupOptions,
    pub limits: Vec<InstanceLimits>,
    pub log_changed: Notify,
    engines: Vec<Arc<tokio::sync::Mutex<Engine>>>,
    instances: Mutex<Vec<InstanceState>>,
    lags: Mutex<Vec<LagProfile>>,
    records: Mutex<Vec<StatementRecord>>,
    elections: Mutex<Vec<(Instant, u64, usize)>>,
    next_transaction: AtomicU64,
}

impl GroupShared {
    pub fn new(options: GroupOptions) -> Self {
        let instances = (0..options.instances)
            .map(|_| InstanceState::default())
            .collect();
        let engines = (0..options.instances)
            .map(|_| Arc::new(tokio::sync::Mutex::new(Engine::new(&options.schema))))
            .collect();
        let limits = (0..options.instances)
            .map(|_| InstanceLimits {
                slots: Arc::new(Semaphore::new(options.slots)),
                connections: AtomicUsize::new(0),
                most_connections: AtomicUsize::new(0),
                generation: watch::Sender::new(0),
            })
            .collect();
        let shared = Self {
            lags: Mutex::new(vec![options.lag; options.instances]),
            options,
            limits,
            log_changed: Notify::new(),
            engines,
            instances: Mutex::new(instances),
            records: Mutex::default(),
            elections: Mutex::default(),
            next_transaction: AtomicU64::new(1),
        };
        shared.become_primary(0, 1);
        shared
    }

    pub fn instances(&self) -> MutexGuard<'_, Vec<InstanceState>> {
        self.instances.lock().expect("no panic while held")
    }

    pub fn engine(&self, instance: usize) -> Arc<tokio::sync::Mutex<Engine>> {
        self.engines[instance].clone()
    }

    pub fn lag_of(&self, instance: usize) -> LagProfile {
        self.lags.lock().expect("no panic while held")[instance]
    }

    pub fn set_lag(&self, instance: usize, lag: LagProfile) {
        self.lags.lock().expect("no panic while held")[instance] = lag;
        self.log_changed.notify_waiters();
    }

    pub fn set_crashed(&self, instance: usize, crashed: bool) {
        self.instances()[instance].crashed = crashed;
        if crashed {
            self.break_connections(instance);
        }
        self.log_changed.notify_waiters();
    }

    pub fn set_isolated(&self, instance: usize, isolated: bool) {
        self.instances()[instance].isolated = isolated;
        self.log_changed.notify_waiters();
    }

    pub fn set_answer_delay(&self, instance: usize, delay: Duration) {
        self.instances()[instance].answer_delay = delay;
    }

    pub fn break_connections(&self, instance: usize) {
        self.limits[instance]
            .generation
            .send_modify(|generation| *generation += 1);
    }

    pub fn primary(&self) -> Option<usize> {
        let instances = self.instances();
        instances
            .iter()
            .enumerate()
            .filter(|(_, state)| state.is_primary && !state.crashed)
            .max_by_key(|(_, state)| state.current_term)
            .map(|(instance, _)| instance)
    }

    pub fn reports(&self) -> Vec<InstanceReport> {
        let instances = self.instances();
        instances
            .iter()
            .zip(&self.limits)
            .map(|(state, limits)| {
                let (log_term, log_index) = state.position();
                InstanceReport {
                    current_term: state.current_term,
                    log_term,
                    log_index,
                    is_primary: state.is_primary,
                    crashed: state.crashed,
                    connections: limits.connections.load(Ordering::Relaxed),
                    most_connections: limits.most_connections.load(Ordering::Relaxed),
                }
            })
            .collect()
    }

    pub fn elections(&self) -> Vec<(Instant, u64, usize)> {
        self.elections.lock().expect("no panic while held").clone()
    }

    pub fn records(&self) -> Vec<StatementRecord> {
        self.records.lock().expect("no panic while held").clone()
    }

    pub fn next_transaction_id(&self) -> u64 {
        self.next_transaction.fetch_add(1, Ordering::Relaxed)
    }

    pub fn record(&self, instance: usize, connection: u64, transaction: u64, text: &str) {
        if !self.options.record {
            return;
        }
        let record = StatementRecord {
            instance,
            connection,
            transaction,
            text: text.to_owned(),
            at: Instant::now(),
        };
        self.records
            .lock()
            .expect("no panic while held")
            .push(record);
    }

    /// Makes an instance primary in `term` and appends the empty entry with which
    /// every primary starts its term.
    pub fn become_primary(&self, instance: usize, term: u64) {
        let now = Instant::now();
        let mut instances = self.instances();
        let state = &mut instances[instance];
        state.current_term = term;
        state.is_primary = true;
        state.log.push(LogEntry {
            term,
            statements: Arc::default(),
            committed_at: now,
        });
        state.applied = state.log.len();
        drop(instances);
        self.elections
            .lock()
            .expect("no panic while held")
            .push((now, term, instance));
        self.log_changed.notify_waiters();
    }

    /// Appends a transaction to the log; returns `false` if the instance is crashed or
    /// no primary.
    pub fn append(&self, instance: usize, statements: Vec<LoggedStatement>) -> bool {
        let mut instances = self.instances();
        let state = &mut instances[instance];
        if !state.is_primary || state.crashed {
            return false;
        }
        state.log.push(LogEntry {
            term: state.current_term,
            statements: Arc::new(statements),
            committed_at: Instant::now(),
        });
        state.applied = state.log.len();
        drop(instances);
        self.log_changed.notify_waiters();
        true
    }

    pub fn accepts_writes(&self, instance: usize) -> bool {
        let instances = self.instances();
        let state = &instances[instance];
        state.is_primary && !state.crashed
    }

    pub fn random(&self, stream: u64) -> ChaCha8Rng {
        let mut random = ChaCha8Rng::seed_from_u64(self.options.seed);
        random.set_stream(stream);
        random
    }
}
