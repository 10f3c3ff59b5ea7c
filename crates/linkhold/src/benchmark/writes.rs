//! Cost of the acknowledgement rule: writes at the brief's zone latencies,
//! with what the group itself promises, and with the node's own rounds.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::Result;
use hdrhistogram::Histogram;
use linkhold_core::group_view::CommitPromise;
use linkhold_standin::relay::{Relay, RelayState};

use super::{Bench, BenchmarkOptions, connect, fast_group};

const WRITER_COUNTS: [usize; 3] = [1, 16, 256];
/// One-way latency between zones of the first user.
const ZONE_LATENCY: Duration = Duration::from_micros(1_500);

/// How a write is acknowledged.
#[derive(Clone, Copy)]
enum Rule {
    /// Without a node: as soon as the primary answers.
    Direct,
    /// A majority holds the position; rounds are shared.
    Position,
    /// A majority follows the term; the group promises the rest.
    TermOnly,
    /// As `Position`, with a round of its own for each write.
    Unshared,
}

impl Rule {
    const ALL: [Self; 4] = [Self::Direct, Self::Position, Self::TermOnly, Self::Unshared];

    fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Position => "position-shared",
            Self::TermOnly => "term-only-shared",
            Self::Unshared => "position-unshared",
        }
    }
}

/// Measures each rule with each number of writers.
pub fn run(options: &BenchmarkOptions) -> Result<()> {
    for rule in Rule::ALL {
        for writers in WRITER_COUNTS {
            measure(options, rule, writers)?;
        }
    }
    Ok(())
}

fn measure(options: &BenchmarkOptions, rule: Rule, writers: usize) -> Result<()> {
    let mut group_options = fast_group();
    group_options.seed = writers as u64;
    let mut bench = Bench::start(group_options, |settings| {
        if matches!(rule, Rule::TermOnly) {
            settings.commit_promise = CommitPromise::Majority;
        }
        settings.share_rounds = !matches!(rule, Rule::Unshared);
    })?;
    let relays = bench.put_behind_relays(ZONE_LATENCY)?;
    let address = match rule {
        Rule::Direct => relays[0].address(),
        _ => bench.node_address(),
    };
    let latencies = bench.block_on(run_writers(address, writers, options.duration))?;
    println!(
        "bench=writes rule={} writers={writers} per_second={:.0} p50_ms={:.2} p99_ms={:.2}",
        rule.name(),
        latencies.len() as f64 / options.duration.as_secs_f64(),
        latencies.value_at_quantile(0.5) as f64 / 1_000.0,
        latencies.value_at_quantile(0.99) as f64 / 1_000.0,
    );
    Ok(())
}

/// Latencies in microseconds.
async fn run_writers(
    address: SocketAddr,
    writers: usize,
    duration: Duration,
) -> Result<Histogram<u64>> {
    let deadline = Instant::now() + duration;
    let tasks: Vec<_> = (0..writers)
        .map(|writer| tokio::spawn(run_writer(address, writer, deadline)))
        .collect();
    let mut all = Histogram::new(3)?;
    all.auto(true);
    for task in tasks {
        all.add(task.await??)?;
    }
    Ok(all)
}

async fn run_writer(
    address: SocketAddr,
    writer: usize,
    deadline: Instant,
) -> Result<Histogram<u64>> {
    const IDS_PER_WRITER: usize = 1_000_000;
    let (client, _connection) = connect(address).await?;
    let mut latencies = Histogram::new(3)?;
    latencies.auto(true);
    let mut id = (writer + 1) * IDS_PER_WRITER;
    while Instant::now() < deadline {
        id += 1;
        let start = Instant::now();
        client
            .batch_execute(&format!("INSERT INTO items VALUES ({id}, 'x')"))
            .await?;
        latencies.record(u64::try_from(start.elapsed().as_micros())?)?;
    }
    Ok(latencies)
}

impl Bench {
    /// Restarts the node behind relays with this one-way delay.
    fn put_behind_relays(&mut self, one_way_delay: Duration) -> Result<Vec<Relay>> {
        let state = RelayState {
            one_way_delay,
            ..RelayState::default()
        };
        let mut relays = Vec::new();
        for address in self.group.addresses() {
            relays.push(
                self.standin_runtime
                    .block_on(Relay::start(*address, state))?,
            );
        }
        let mut settings = self.settings.clone();
        settings.address_map = self
            .group
            .addresses()
            .iter()
            .copied()
            .zip(relays.iter().map(Relay::address))
            .collect();
        self.restart_node(settings)?;
        Ok(relays)
    }
}
