//! Counters and latency histograms, rendered as text.

use std::fmt::Write;
use std::marker::PhantomData;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::cluster_state::lock;
use crate::store_call::CallReason;

/// Longest time that the histogram resolves, in microseconds.
const MAX_MICROSECONDS: u64 = 60_000_000;
/// Significant digits of the histogram; two keep the histogram small.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A number that only increases.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds `count`.
    pub fn add_many(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// A label that distinguishes counters of one name.
pub trait Label: Copy + 'static {
    /// The label's values in the metrics, in the order of [`Label::index`].
    const NAMES: &'static [&'static str];

    /// Index of this value in [`Label::NAMES`].
    fn index(self) -> usize;
}

/// One counter for each value of a label.
#[derive(Debug)]
pub struct CountersBy<L: Label> {
    counters: Vec<Counter>,
    label: PhantomData<L>,
}

impl<L: Label> Default for CountersBy<L> {
    fn default() -> Self {
        Self {
            counters: L::NAMES.iter().map(|_| Counter::default()).collect(),
            label: PhantomData,
        }
    }
}

impl<L: Label> CountersBy<L> {
    /// Adds one to the counter of a label value.
    pub fn count(&self, label: L) {
        self.counters[label.index()].add();
    }

    /// Adds `count` to the counter of a label value.
    pub fn count_many(&self, label: L, count: u64) {
        self.counters[label.index()].add_many(count);
    }

    fn render(&self, text: &mut String, name: &str, label: &str) {
        for (value, counter) in L::NAMES.iter().zip(&self.counters) {
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "linkhold_{name}{{{label}=\"{value}\"}} {}",
                counter.get()
            );
        }
    }
}

/// Kinds of messages that a reader sends to its followers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedKind {
    /// A version of the configuration.
    Configuration,
    /// Evacuated zones.
    Evacuations,
    /// Instances, as a whole list or as changes.
    Instances,
    /// The nodes of the fleet.
    Fleet,
    /// What a follower needs to acknowledge writes and serve strict reads for primaries.
    Permission,
    /// Heartbeats of the reader.
    Heartbeat,
    /// Positions that logs had reached.
    Evidence,
}

impl Label for FeedKind {
    const NAMES: &'static [&'static str] = &[
        "configuration",
        "evacuations",
        "instances",
        "fleet",
        "permission",
        "beat",
        "evidence",
    ];

    fn index(self) -> usize {
        self as usize
    }
}

/// LatencyHistogram of statements.
#[derive(Debug)]
pub struct LatencyHistogram(Mutex<Histogram<u64>>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
            .expect("the bounds are valid");
        Self(Mutex::new(histogram))
    }
}

impl LatencyHistogram {
    /// Records the latency of one statement.
    pub fn record(&self, took: Duration) {
        let microseconds = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        lock(&self.0).saturating_record(microseconds.max(1));
    }
}

/// Counters and latencies of a node.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Sessions accepted.
    pub sessions_opened: Counter,
    /// Sessions ended.
    pub sessions_closed: Counter,
    /// Reads answered.
    pub reads_completed: Counter,
    /// Writes and commits answered.
    pub writes_completed: Counter,
    /// Statements refused with the guarantee that they did not run.
    pub refused: Counter,
    /// Statements with an unknown outcome.
    pub unknown: Counter,
    /// Statements that an instance answered with an error.
    pub failed: Counter,
    /// Transactions aborted by the node.
    pub transactions_aborted: Counter,
    /// Attempts beyond the first.
    pub retries: Counter,
    /// Times that an instance was found silent or unreachable.
    pub instance_failures: Counter,
    /// Probes of primaries for evidence only.
    pub evidence_probes: Counter,
    /// Connections relayed to an instance for another node.
    pub relays_served: Counter,
    /// Statements that this node forwarded to owners of connections.
    pub forwarded: Counter,
    /// Statements run for other nodes.
    pub run_for_others: Counter,
    /// Statements that this node did not send since the instance may be cold.
    pub refused_cold: Counter,
    /// Promotion orders.
    pub promotions: Counter,
    /// Operations refused because their tenant has used up its quota, or no coordinator
    /// answered.
    pub over_quota: Counter,
    /// Questions to other nodes for budgets of tenants.
    pub budget_questions: Counter,
    /// Such questions of other nodes, answered.
    pub budget_answers: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
    /// Calls to the store by reason.
    pub store_calls: CountersBy<CallReason>,
    /// Bytes sent to followers by kind of message.
    pub feed_bytes: CountersBy<FeedKind>,
    /// LatencyHistogram of reads.
    pub read_latency: LatencyHistogram,
    /// LatencyHistogram of writes and commits.
    pub write_latency: LatencyHistogram,
}

impl Metrics {
    /// Number of open sessions.
    pub fn sessions_open(&self) -> u64 {
        let closed = self.sessions_closed.get();
        self.sessions_opened.get().saturating_sub(closed)
    }

    /// All metrics in the text format that scrapers read.
    pub fn render(&self, gauges: &[(&str, u64)]) -> String {
        let counters = [
            ("sessions_opened_total", &self.sessions_opened),
            ("sessions_closed_total", &self.sessions_closed),
            ("reads_completed_total", &self.reads_completed),
            ("writes_completed_total", &self.writes_completed),
            ("statements_refused_total", &self.refused),
            ("statements_unknown_total", &self.unknown),
            ("statements_failed_total", &self.failed),
            ("transactions_aborted_total", &self.transactions_aborted),
            ("retries_total", &self.retries),
            ("instance_failures_total", &self.instance_failures),
            ("evidence_probes_total", &self.evidence_probes),
            ("relays_served_total", &self.relays_served),
            ("forwarded_total", &self.forwarded),
            ("run_for_others_total", &self.run_for_others),
            ("statements_held_off_cold_total", &self.refused_cold),
            ("promotions_total", &self.promotions),
            ("operations_over_quota_total", &self.over_quota),
            ("budget_questions_total", &self.budget_questions),
            ("budget_answers_total", &self.budget_answers),
            ("store_failures_total", &self.store_failures),
        ];
        let mut text = String::new();
        for (name, counter) in counters {
            // Writing to a string does not fail.
            let _ = writeln!(text, "linkhold_{name} {}", counter.get());
        }
        self.store_calls
            .render(&mut text, "store_calls_total", "reason");
        self.feed_bytes
            .render(&mut text, "feed_bytes_total", "kind");
        for (name, value) in gauges {
            let _ = writeln!(text, "linkhold_{name} {value}");
        }
        render_latencies(&mut text, "read", &self.read_latency);
        render_latencies(&mut text, "write", &self.write_latency);
        text
    }
}

fn render_latencies(text: &mut String, kind: &str, latencies: &LatencyHistogram) {
    let histogram = lock(&latencies.0);
    for quantile in [0.5, 0.9, 0.99, 0.999] {
        let seconds = histogram.value_at_quantile(quantile) as f64 / 1e6;
        let _ = writeln!(
            text,
            "linkhold_{kind}_seconds{{quantile=\"{quantile}\"}} {seconds:.6}"
        );
    }
    let _ = writeln!(text, "linkhold_{kind}_seconds_count {}", histogram.len());
}
