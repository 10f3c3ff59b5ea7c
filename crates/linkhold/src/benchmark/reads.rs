//! Fraction of reads that replicas serve: fences, tokens and the two baselines, under
//! the same load and lag, with one replica of each database far behind.

use eyre::Result;

use super::BenchmarkOptions;
use crate::demo::{DemoOptions, Fault, Profile, run as run_demo};
use crate::settings::ReadPolicy;

const NODES: usize = 3;
const SEED: u64 = 1;
const PROBE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);

/// Read policy, and whether callers present tokens.
const VARIANTS: [(ReadPolicy, bool); 4] = [
    (ReadPolicy::Fence, false),
    (ReadPolicy::Fence, true),
    (ReadPolicy::PinAfterWrite, false),
    (ReadPolicy::PrimaryOnly, false),
];

/// Runs the first user's load with each variant.
pub fn run(options: &BenchmarkOptions) -> Result<()> {
    let runtime = super::runtime("reads", num_workers())?;
    for (policy, tokens) in VARIANTS {
        let report = runtime.block_on(run_demo(&DemoOptions {
            profile: Profile::SadaaWaves,
            duration: options.duration,
            seed: SEED,
            nodes: NODES,
            policy,
            fault: Fault::ReplicaFarBehind,
            probe_interval: PROBE_INTERVAL,
            tokens,
            only_duplicates: false,
        }))?;
        println!("bench=reads tokens={tokens} {}", report.line());
    }
    Ok(())
}

fn num_workers() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}
