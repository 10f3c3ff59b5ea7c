//! Cost of the acknowledgement rule: writes at the first user's zone latency, with the
//! group's own commit promise and with the node's verification rounds.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::Result;
use hdrhistogram::Histogram;
use linkhold_core::group_view::CommitPromise;
use linkhold_standin::relay::{Relay, RelayState};

use super::{Bench, BenchmarkOptions, connect, fast_group};

const WRITER_COUNTS: [usize; 3] = [1, 16, 256];
/// One-way latency between the first user's zones.
const ZONE_LATENCY: Duration = Duration::from_micros(1_500);

/// Rule by which a write is acknowledged.
#[derive(Clone, Copy)]
enum Rule {
    /// Without a node: acknowledged once the primary answers.
    Direct,
    /// A majority holds the write's log position; writes share rounds.
    Position,
    /// A majority follows the term; the group itself promises that a majority holds
    /// the write.
    TermOnly,
    /// As `Position`, with a separate round for each write.
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
    let relays = bench.restart_behind_relays(ZONE_LATENCY)?;
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

/// Returns the latencies of all writers in microseconds.
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
    /// Restarts the node with a relay of this one-way delay in front of each instance.
    fn restart_behind_relays(&mut self, one_way_delay: Duration) -> Result<Vec<Relay>> {
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
