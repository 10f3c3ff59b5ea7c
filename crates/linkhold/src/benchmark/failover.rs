//! Failover gap: the time from the election of a new primary to the first
//! acknowledged write, with detection on demand and with polling alone.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eyre::{Result, bail};
use linkhold_standin::group::{Group, GroupOptions};
use tokio::task::JoinSet;

use super::{Bench, BenchmarkOptions, connect, fast_group};
use crate::settings::Detection;

const FAILOVERS: usize = 20;
const WRITERS: usize = 4;
const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_millis(2);
/// Time for which writes run before the next failover.
const FAILOVER_INTERVAL: Duration = Duration::from_millis(200);

/// Times at which writes were acknowledged.
type Acknowledged = Arc<Mutex<Vec<Instant>>>;

/// Way in which a primary is lost.
#[derive(Clone, Copy)]
enum PrimaryLoss {
    Crash,
    Partition,
}

impl PrimaryLoss {
    fn name(self) -> &'static str {
        match self {
            Self::Crash => "crash",
            Self::Partition => "partition",
        }
    }
}

/// Measures both detection modes under both kinds of loss.
pub fn run(_options: &BenchmarkOptions) -> Result<()> {
    for loss in [PrimaryLoss::Crash, PrimaryLoss::Partition] {
        measure(loss, Detection::OnDemand, "on-demand")?;
        measure(loss, Detection::PollOnly, "poll-1s")?;
    }
    Ok(())
}

fn measure(loss: PrimaryLoss, detection: Detection, name: &str) -> Result<()> {
    let group_options = GroupOptions {
        election_timeout: ELECTION_TIMEOUT,
        ..fast_group()
    };
    let bench = Bench::start(group_options, |settings| settings.detection = detection)?;
    let address = bench.node_address();
    let (mut gaps, mut after_loss) = bench.block_on(run_failovers(&bench.group, address, loss))?;
    gaps.sort_unstable();
    after_loss.sort_unstable();
    let milliseconds = |duration: Duration| duration.as_secs_f64() * 1_000.0;
    println!(
        "bench=failover loss={} detection={name} failovers={} after_election_p50_ms={:.1} \
         after_election_max_ms={:.1} whole_p50_ms={:.0} whole_max_ms={:.0}",
        loss.name(),
        gaps.len(),
        milliseconds(gaps[gaps.len() / 2]),
        milliseconds(gaps[gaps.len() - 1]),
        milliseconds(after_loss[after_loss.len() / 2]),
        milliseconds(after_loss[after_loss.len() - 1]),
    );
    Ok(())
}

/// Runs failovers one after the other. Returns the times from each election, and from
/// each loss, to the next acknowledged write.
async fn run_failovers(
    group: &Group,
    address: SocketAddr,
    loss: PrimaryLoss,
) -> Result<(Vec<Duration>, Vec<Duration>)> {
    let acknowledged = Acknowledged::default();
    let mut writers = JoinSet::new();
    for writer in 0..WRITERS {
        writers.spawn(run_writer(address, writer, acknowledged.clone()));
    }
    let mut after_election = Vec::new();
    let mut after_loss = Vec::new();
    for _ in 0..FAILOVERS {
        tokio::time::sleep(FAILOVER_INTERVAL).await;
        let Some(primary) = group.primary() else {
            bail!("the group has no primary");
        };
        let elections = group.elections().len();
        let lost_at = Instant::now();
        match loss {
            PrimaryLoss::Crash => group.crash(primary),
            PrimaryLoss::Partition => group.isolate(primary),
        }
        let elected_at =
            wait_for(|| group.elections().get(elections).map(|(at, _, _)| *at)).await?;
        let first = wait_for(|| first_acknowledged_after(&acknowledged, elected_at)).await?;
        after_election.push(first.duration_since(elected_at));
        after_loss.push(first.duration_since(lost_at));
        group.restart(primary);
        group.heal(primary);
        wait_for(|| has_rejoined(group, primary).then_some(())).await?;
    }
    Ok((after_election, after_loss))
}

fn first_acknowledged_after(acknowledged: &Acknowledged, moment: Instant) -> Option<Instant> {
    let acknowledged = acknowledged.lock().expect("no panic while held");
    acknowledged
        .iter()
        .copied()
        .filter(|at| *at >= moment)
        .min()
}

fn has_rejoined(group: &Group, instance: usize) -> bool {
    let reports = group.reports();
    let newest = reports.iter().map(|report| report.current_term).max();
    !reports[instance].is_primary && Some(reports[instance].current_term) == newest
}

async fn wait_for<T>(mut check: impl FnMut() -> Option<T>) -> Result<T> {
    let deadline = Instant::now() + FAILOVER_TIMEOUT;
    loop {
        if let Some(found) = check() {
            return Ok(found);
        }
        if Instant::now() > deadline {
            bail!("a failover did not complete in time");
        }
        tokio::time::sleep(TICK).await;
    }
}

/// Writes continuously until dropped and records each acknowledgement.
async fn run_writer(address: SocketAddr, writer: usize, acknowledged: Acknowledged) {
    const IDS_PER_WRITER: usize = 10_000_000;
    let Ok((client, _connection)) = connect(address).await else {
        return;
    };
    let mut id = (writer + 1) * IDS_PER_WRITER;
    loop {
        id += 1;
        let insert = format!("INSERT INTO items VALUES ({id}, 'x')");
        if client.batch_execute(&insert).await.is_ok() {
            let now = Instant::now();
            acknowledged.lock().expect("no panic while held").push(now);
        }
        tokio::time::sleep(TICK).await;
    }
}
