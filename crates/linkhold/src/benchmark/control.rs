//! Cost of a node per database that it watches, without load, for capacity planning:
//! the slopes over the number of databases.

use std::time::{Duration, Instant};

use eyre::Result;
use linkhold_core::table::{Sheet, check};
use linkhold_standin::group::{Group, GroupOptions};

use super::process::{resident_bytes, thread_time};
use super::{BenchmarkOptions, NODE_THREADS, fast_group, runtime, settings_with, table_file};
use crate::metrics::Metrics;
use crate::node::Node;

const DATABASE_COUNTS: [usize; 3] = [5, 20, 80];
const SETTLE: Duration = Duration::from_secs(2);
/// Number of databases, of three instances each, in the table whose parsing is timed.
const LARGE_TABLE_DATABASES: usize = 2_500;
const INSTANCES: usize = 3;
const ROW_LIMITS: &str = "*,10,5,40,500,8000,active";

/// Measures the cost of watching databases and of parsing a large table.
pub fn run(options: &BenchmarkOptions) -> Result<()> {
    for databases in DATABASE_COUNTS {
        measure_watching(options, databases)?;
    }
    measure_large_table()
}

fn measure_watching(options: &BenchmarkOptions, databases: usize) -> Result<()> {
    let standins = runtime("standin", 2)?;
    let groups = standins.block_on(start_groups(databases))?;
    let csv = table_of(&groups);
    let table = table_file::TableFile::write(&csv)?;
    let settings = settings_with(&table)?;
    let nodes = runtime(NODE_THREADS, 1)?;
    let before = resident_bytes();
    let node = nodes.block_on(async {
        let node = Node::start(settings).await?;
        node.wait_for_table(1).await;
        tokio::time::sleep(SETTLE).await;
        Ok::<Node, eyre::Report>(node)
    })?;
    let memory = resident_bytes().saturating_sub(before);
    let probes_before = probes(&node.shared().metrics);
    let time_before = thread_time(NODE_THREADS);
    std::thread::sleep(options.duration);
    let time = thread_time(NODE_THREADS).saturating_sub(time_before);
    let sent = probes(&node.shared().metrics) - probes_before;
    println!(
        "bench=control databases={databases} probes_per_second={:.1} cpu_us_per_probe={:.1} \
         cpu_share={:.5} bytes_per_database={}",
        sent as f64 / options.duration.as_secs_f64(),
        time.as_secs_f64() * 1_000_000.0 / sent.max(1) as f64,
        time.as_secs_f64() / options.duration.as_secs_f64(),
        memory / databases as u64,
    );
    let _context = nodes.enter();
    drop(node);
    Ok(())
}

async fn start_groups(databases: usize) -> Result<Vec<Group>> {
    let mut groups = Vec::new();
    for database in 0..databases {
        let options = GroupOptions {
            name: format!("db-{database}"),
            ..fast_group()
        };
        groups.push(Group::start(options).await?);
    }
    Ok(groups)
}

fn table_of(groups: &[Group]) -> String {
    let mut csv = super::TABLE_HEADER.to_owned();
    for group in groups {
        for (index, address) in group.addresses().iter().enumerate() {
            let name = group.name();
            csv.push_str(&format!(
                "bench,{name},i{index},{address},zone-{index},{ROW_LIMITS}\n"
            ));
        }
    }
    csv
}

fn probes(metrics: &Metrics) -> u64 {
    metrics.probes.load(std::sync::atomic::Ordering::Relaxed)
}

/// Measures the parsing and checking of a table of the planned size.
fn measure_large_table() -> Result<()> {
    let mut csv = super::TABLE_HEADER.to_owned();
    for database in 0..LARGE_TABLE_DATABASES {
        for index in 0..INSTANCES {
            let (high, low) = (database / 250, database % 250);
            csv.push_str(&format!(
                "service,database-{database},instance-{index},127.{high}.{low}.{}:5432,zone-{index},{ROW_LIMITS}\n",
                index + 1
            ));
        }
    }
    let before = resident_bytes();
    let start = Instant::now();
    let sheet = Sheet::parse(&csv).map_err(|findings| eyre::eyre!("{findings:?}"))?;
    let topology = check(&sheet).map_err(|findings| eyre::eyre!("{findings:?}"))?;
    let elapsed = start.elapsed();
    println!(
        "bench=table rows={} csv_bytes={} parse_and_check_ms={:.1} resident_bytes={}",
        sheet.rows.len(),
        csv.len(),
        elapsed.as_secs_f64() * 1_000.0,
        resident_bytes().saturating_sub(before),
    );
    drop(topology);
    Ok(())
}
