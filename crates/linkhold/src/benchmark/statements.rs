//! Small reads, directly at the stand-in and through a node.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::Result;
use hdrhistogram::Histogram;

use super::process::thread_time;
use super::{Bench, BenchmarkOptions, NODE_THREADS, connect, fast_group};

const CONNECTION_COUNTS: [usize; 3] = [1, 16, 64];
const WARM_UP: Duration = Duration::from_millis(300);
const QUERY: &str = "SELECT value FROM items WHERE id = 1";

/// How callers access the database: directly, or through a node with tokens or
/// fences.
#[derive(Clone, Copy)]
enum AccessMode {
    Direct,
    Token,
    Fence,
}

impl AccessMode {
    fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Token => "node-token",
            Self::Fence => "node-fence",
        }
    }
}

/// Results of one measurement.
struct Measurement {
    per_second: f64,
    p50_us: f64,
    p99_us: f64,
    node_us: f64,
}

/// Measures each access mode with each number of connections.
pub fn run(options: &BenchmarkOptions) -> Result<()> {
    let bench = Bench::start(fast_group(), |_| {})?;
    for connections in CONNECTION_COUNTS {
        let direct = measure(&bench, options, connections, AccessMode::Direct)?;
        print_result(connections, AccessMode::Direct, &direct, &direct);
        for mode in [AccessMode::Token, AccessMode::Fence] {
            let through = measure(&bench, options, connections, mode)?;
            print_result(connections, mode, &through, &direct);
        }
    }
    Ok(())
}

fn print_result(
    connections: usize,
    mode: AccessMode,
    measurement: &Measurement,
    direct: &Measurement,
) {
    println!(
        "bench=statements connections={connections} way={} per_second={:.0} p50_us={:.0} \
         p99_us={:.0} node_cpu_us_per_statement={:.1} rate_ratio={:.2} added_p50_us={:.0}",
        mode.name(),
        measurement.per_second,
        measurement.p50_us,
        measurement.p99_us,
        measurement.node_us,
        measurement.per_second / direct.per_second,
        measurement.p50_us - direct.p50_us,
    );
}

fn measure(
    bench: &Bench,
    options: &BenchmarkOptions,
    connections: usize,
    mode: AccessMode,
) -> Result<Measurement> {
    let address = match mode {
        AccessMode::Direct => bench.primary_address(),
        AccessMode::Token | AccessMode::Fence => bench.node_address(),
    };
    bench.block_on(run_callers(address, connections, WARM_UP, mode))?;
    let before = thread_time(NODE_THREADS);
    let start = Instant::now();
    let latencies = bench.block_on(run_callers(address, connections, options.duration, mode))?;
    let elapsed = start.elapsed();
    let node_time = thread_time(NODE_THREADS).saturating_sub(before);
    let count = latencies.len().max(1) as f64;
    Ok(Measurement {
        per_second: count / elapsed.as_secs_f64(),
        p50_us: latencies.value_at_quantile(0.5) as f64 / 1_000.0,
        p99_us: latencies.value_at_quantile(0.99) as f64 / 1_000.0,
        node_us: node_time.as_secs_f64() * 1_000_000.0 / count,
    })
}

/// Returns the latencies of all callers in nanoseconds.
async fn run_callers(
    address: SocketAddr,
    connections: usize,
    duration: Duration,
    mode: AccessMode,
) -> Result<Histogram<u64>> {
    let deadline = Instant::now() + duration;
    let tasks: Vec<_> = (0..connections)
        .map(|_| tokio::spawn(run_caller(address, deadline, mode)))
        .collect();
    let mut all = Histogram::new(3)?;
    for task in tasks {
        all.add(task.await??)?;
    }
    Ok(all)
}

async fn run_caller(
    address: SocketAddr,
    deadline: Instant,
    mode: AccessMode,
) -> Result<Histogram<u64>> {
    let (client, connection) = connect(address).await?;
    if matches!(mode, AccessMode::Token) {
        client.batch_execute("SET linkhold.token = ''").await?;
    }
    let statement = client.prepare(QUERY).await?;
    let mut latencies = Histogram::new(3)?;
    latencies.auto(true);
    while Instant::now() < deadline {
        let start = Instant::now();
        client.query_one(&statement, &[]).await?;
        latencies.record(u64::try_from(start.elapsed().as_nanos())?)?;
    }
    drop(client);
    connection.await??;
    Ok(latencies)
}
