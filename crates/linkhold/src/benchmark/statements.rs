//! Small reads: direct to the stand-in, and through a node.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::Result;
use hdrhistogram::Histogram;

use super::process::thread_time;
use super::{Bench, BenchmarkOptions, NODE_THREADS, connect, fast_group};

const CONNECTION_COUNTS: [usize; 3] = [1, 16, 64];
const WARM_UP: Duration = Duration::from_millis(300);
const QUERY: &str = "SELECT value FROM items WHERE id = 1";

/// How callers present themselves.
#[derive(Clone, Copy)]
enum Way {
    Direct,
    Token,
    Fence,
}

impl Way {
    fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Token => "node-token",
            Self::Fence => "node-fence",
        }
    }
}

/// What one measurement gave.
struct Measured {
    per_second: f64,
    p50_us: f64,
    p99_us: f64,
    node_us: f64,
}

/// Measures each way at each number of connections.
pub fn run(options: &BenchmarkOptions) -> Result<()> {
    let bench = Bench::start(fast_group(), |_| {})?;
    for connections in CONNECTION_COUNTS {
        let direct = measure(&bench, options, connections, Way::Direct)?;
        print(connections, Way::Direct, &direct, &direct);
        for way in [Way::Token, Way::Fence] {
            let through = measure(&bench, options, connections, way)?;
            print(connections, way, &through, &direct);
        }
    }
    Ok(())
}

fn print(connections: usize, way: Way, measured: &Measured, direct: &Measured) {
    println!(
        "bench=statements connections={connections} way={} per_second={:.0} p50_us={:.0} \
         p99_us={:.0} node_cpu_us_per_statement={:.1} rate_ratio={:.2} added_p50_us={:.0}",
        way.name(),
        measured.per_second,
        measured.p50_us,
        measured.p99_us,
        measured.node_us,
        measured.per_second / direct.per_second,
        measured.p50_us - direct.p50_us,
    );
}

fn measure(
    bench: &Bench,
    options: &BenchmarkOptions,
    connections: usize,
    way: Way,
) -> Result<Measured> {
    let address = match way {
        Way::Direct => bench.primary_address(),
        Way::Token | Way::Fence => bench.node_address(),
    };
    bench.block_on(run_callers(address, connections, WARM_UP, way))?;
    let before = thread_time(NODE_THREADS);
    let start = Instant::now();
    let latencies = bench.block_on(run_callers(address, connections, options.duration, way))?;
    let elapsed = start.elapsed();
    let node_time = thread_time(NODE_THREADS).saturating_sub(before);
    let count = latencies.len().max(1) as f64;
    Ok(Measured {
        per_second: count / elapsed.as_secs_f64(),
        p50_us: latencies.value_at_quantile(0.5) as f64 / 1_000.0,
        p99_us: latencies.value_at_quantile(0.99) as f64 / 1_000.0,
        node_us: node_time.as_secs_f64() * 1_000_000.0 / count,
    })
}

/// Latencies in nanoseconds.
async fn run_callers(
    address: SocketAddr,
    connections: usize,
    duration: Duration,
    way: Way,
) -> Result<Histogram<u64>> {
    let deadline = Instant::now() + duration;
    let tasks: Vec<_> = (0..connections)
        .map(|_| tokio::spawn(run_caller(address, deadline, way)))
        .collect();
    let mut all = Histogram::new(3)?;
    for task in tasks {
        all.add(task.await??)?;
    }
    Ok(all)
}

async fn run_caller(address: SocketAddr, deadline: Instant, way: Way) -> Result<Histogram<u64>> {
    let (client, connection) = connect(address).await?;
    if matches!(way, Way::Token) {
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
