//! Summary of a run.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::DemoOptions;
use super::checker::{DatabaseTruth, Violation};
use super::history::{Events, ReadOutcome, WriteEvent, WriteOutcome};
use super::world::World;
use crate::settings::ReadPolicy;

/// Text that identifies callers' reads in the instances' records.
const READ_MARK: &str = "AS nonce";

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Profile.
    pub profile: &'static str,
    /// Fault.
    pub fault: &'static str,
    /// Names of the injected faults, joined by `+`.
    pub happened: String,
    /// Read policy.
    pub policy: &'static str,
    /// Seed.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Number of violations.
    pub violations: usize,
    /// Number of answered reads.
    pub reads: usize,
    /// Number of acknowledged writes.
    pub writes: usize,
    /// Fraction of reads that ran on an instance that was not primary.
    pub replica_read_share: f64,
    /// Median latency of answered reads in milliseconds.
    pub read_p50_ms: f64,
    /// 99th percentile latency of answered reads in milliseconds.
    pub read_p99_ms: f64,
    /// 99th percentile of the time until a read had a fresh instance with a slot, on
    /// the slowest node; rounded up to the upper bound of a power-of-two bucket.
    pub read_wait_p99_ms: f64,
    /// Median latency of acknowledged writes in milliseconds.
    pub write_p50_ms: f64,
    /// 99th percentile latency of acknowledged writes in milliseconds.
    pub write_p99_ms: f64,
    /// Number of primaries lost by faults.
    pub failovers: usize,
    /// Longest time from the loss of a primary to the next acknowledged write.
    pub failover_gap_ms: f64,
    /// Median time from an election to the next acknowledged write.
    pub after_election_p50_ms: f64,
    /// Longest time from an election to the next acknowledged write.
    pub after_election_max_ms: f64,
    /// Longest time from the loss of a primary to the election.
    pub election_max_ms: f64,
    /// Number of requests refused as not run.
    pub refusals_not_run: usize,
    /// Number of requests whose outcome stayed unknown.
    pub unknown: usize,
    /// Number of requests whose connection broke without an answer.
    pub cut: usize,
    /// Number of requests reported as already completed under their key.
    pub already_completed: usize,
    /// Number of requests sent through two nodes at once under one key.
    pub duplicated: usize,
    /// Longest time from an accepted edit until it was in force on all nodes.
    pub table_in_force_max_ms: u64,
    /// Descriptions of the violations.
    pub violation_details: Vec<String>,
}

impl Report {
    /// Summarizes a run.
    pub fn new(
        options: &DemoOptions,
        happened: String,
        world: &World,
        events: &Events,
        truth: &[DatabaseTruth],
        violations: Vec<Violation>,
    ) -> Self {
        let answered = |outcome: &ReadOutcome| matches!(outcome, ReadOutcome::Answered { .. });
        let reads = histogram(
            events
                .reads
                .iter()
                .filter(|read| answered(&read.outcome))
                .map(|read| read.finished.saturating_sub(read.started)),
        );
        let writes = histogram(
            acknowledged(events).map(|write| write.finished.saturating_sub(write.started)),
        );
        let gaps = FailoverGaps::measure(world, events, truth);
        let count_writes = |wanted: WriteOutcome| {
            events
                .writes
                .iter()
                .filter(|write| write.outcome == wanted)
                .count()
        };
        let count_reads = |wanted: ReadOutcome| {
            events
                .reads
                .iter()
                .filter(|read| read.outcome == wanted)
                .count()
        };
        Self {
            profile: options.profile.name(),
            fault: options.fault.name(),
            happened,
            policy: policy_name(options.policy),
            seed: options.seed,
            nodes: options.nodes,
            seconds: options.duration.as_secs_f64(),
            violations: violations.len(),
            reads: usize::try_from(reads.len()).unwrap_or(usize::MAX),
            writes: usize::try_from(writes.len()).unwrap_or(usize::MAX),
            replica_read_share: replica_read_share(truth),
            read_p50_ms: quantile_ms(&reads, 0.5),
            read_p99_ms: quantile_ms(&reads, 0.99),
            read_wait_p99_ms: longest_read_wait_ms(world),
            write_p50_ms: quantile_ms(&writes, 0.5),
            write_p99_ms: quantile_ms(&writes, 0.99),
            failovers: events.primary_faults.len(),
            failover_gap_ms: longest_ms(&gaps.whole),
            after_election_p50_ms: median_ms(&gaps.after_election),
            after_election_max_ms: longest_ms(&gaps.after_election),
            election_max_ms: longest_ms(&gaps.election),
            refusals_not_run: count_writes(WriteOutcome::NotRun) + count_reads(ReadOutcome::NotRun),
            unknown: count_writes(WriteOutcome::Unknown) + count_reads(ReadOutcome::Failed),
            cut: count_writes(WriteOutcome::Cut) + count_reads(ReadOutcome::Cut),
            already_completed: count_writes(WriteOutcome::AlreadyCompleted),
            duplicated: count_duplicated(events),
            table_in_force_max_ms: events.edit_in_force_ms.iter().max().copied().unwrap_or(0),
            violation_details: violations.iter().map(ToString::to_string).collect(),
        }
    }

    /// Formats the report as one line of key=value pairs.
    pub fn line(&self) -> String {
        format!(
            "profile={} fault={} happened={} policy={} seed={} nodes={} seconds={} violations={} reads={} \
             writes={} replica_read_share={:.4} read_p50_ms={:.1} read_p99_ms={:.1} \
             read_wait_p99_ms={:.1} write_p50_ms={:.1} write_p99_ms={:.1} failovers={} failover_gap_ms={:.0} \
             after_election_p50_ms={:.1} after_election_max_ms={:.1} election_max_ms={:.0} \
             refusals_not_run={} unknown={} cut={} already_completed={} duplicated={} table_in_force_max_ms={}",
            self.profile,
            self.fault,
            self.happened,
            self.policy,
            self.seed,
            self.nodes,
            self.seconds,
            self.violations,
            self.reads,
            self.writes,
            self.replica_read_share,
            self.read_p50_ms,
            self.read_p99_ms,
            self.read_wait_p99_ms,
            self.write_p50_ms,
            self.write_p99_ms,
            self.failovers,
            self.failover_gap_ms,
            self.after_election_p50_ms,
            self.after_election_max_ms,
            self.election_max_ms,
            self.refusals_not_run,
            self.unknown,
            self.cut,
            self.already_completed,
            self.duplicated,
            self.table_in_force_max_ms,
        )
    }
}

/// Returns the name of a policy on the command line.
pub fn policy_name(policy: ReadPolicy) -> &'static str {
    match policy {
        ReadPolicy::Fence => "fence",
        ReadPolicy::PinAfterWrite => "pin-after-write",
        ReadPolicy::PrimaryOnly => "primary-only",
    }
}

fn acknowledged(events: &Events) -> impl Iterator<Item = &WriteEvent> {
    events
        .writes
        .iter()
        .filter(|write| write.outcome == WriteOutcome::Acknowledged)
}

fn longest_read_wait_ms(world: &World) -> f64 {
    let waits = world
        .nodes
        .iter()
        .flatten()
        .map(|node| node.shared().metrics.read_wait.quantile(0.99));
    waits.max().map_or(0.0, |wait| wait.as_secs_f64() * 1_000.0)
}

/// Counts the row IDs that more than one write of a caller has.
fn count_duplicated(events: &Events) -> usize {
    let mut seen = HashMap::new();
    for write in &events.writes {
        *seen.entry((write.database, &write.ids)).or_insert(0_usize) += 1;
    }
    seen.values().filter(|count| **count > 1).count()
}

/// Returns a histogram of latencies in microseconds.
fn histogram(latencies: impl Iterator<Item = Duration>) -> Histogram<u64> {
    const MAX_MICROSECONDS: u64 = 600_000_000;
    const SIGNIFICANT_DIGITS: u8 = 3;
    let mut histogram = Histogram::new_with_bounds(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
        .expect("the bounds are in order");
    for latency in latencies {
        let microseconds = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(microseconds);
    }
    histogram
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

fn longest_ms(durations: &[Duration]) -> f64 {
    durations
        .iter()
        .max()
        .map_or(0.0, |longest| longest.as_secs_f64() * 1_000.0)
}

fn median_ms(durations: &[Duration]) -> f64 {
    let mut sorted = durations.to_vec();
    sorted.sort_unstable();
    sorted
        .get(sorted.len() / 2)
        .map_or(0.0, |median| median.as_secs_f64() * 1_000.0)
}

/// Returns the fraction of callers' reads that ran on an instance that was not primary
/// at that time, by the instances' own records.
fn replica_read_share(truth: &[DatabaseTruth]) -> f64 {
    let mut reads = 0_usize;
    let mut on_replicas = 0_usize;
    for database in truth {
        for statement in &database.statements {
            if !statement.text.contains(READ_MARK) {
                continue;
            }
            reads += 1;
            if primary_at(&database.elections, statement.at) != Some(statement.instance) {
                on_replicas += 1;
            }
        }
    }
    on_replicas as f64 / reads.max(1) as f64
}

fn primary_at(elections: &[(Instant, u64, usize)], at: Instant) -> Option<usize> {
    elections
        .iter()
        .rev()
        .find(|(elected, _, _)| *elected <= at)
        .map(|(_, _, instance)| *instance)
}

/// Durations of the failovers after each loss of a primary.
#[derive(Default)]
struct FailoverGaps {
    whole: Vec<Duration>,
    election: Vec<Duration>,
    after_election: Vec<Duration>,
}

impl FailoverGaps {
    /// Measures, for each lost primary, the time to the next election of its database
    /// and to the first write acknowledged after the election, which is the first
    /// write that the winner acknowledged.
    fn measure(world: &World, events: &Events, truth: &[DatabaseTruth]) -> Self {
        let mut gaps = Self::default();
        let start = world.started;
        for fault in &events.primary_faults {
            let elected = truth[fault.database]
                .elections
                .iter()
                .filter_map(|(at, _, _)| at.checked_duration_since(start))
                .find(|at| *at >= fault.at);
            let Some(elected) = elected else {
                continue;
            };
            let acknowledged = acknowledged(events)
                .filter(|write| write.database == fault.database && write.finished >= elected)
                .map(|write| write.finished)
                .min();
            let Some(acknowledged) = acknowledged else {
                continue;
            };
            gaps.election.push(elected.saturating_sub(fault.at));
            gaps.after_election
                .push(acknowledged.saturating_sub(elected));
            gaps.whole.push(acknowledged.saturating_sub(fault.at));
        }
        gaps
    }
}
