//! The demo and experiment: a whole system in one process, under load and
//! faults, verified by a checker.
//!
//! [`world`] starts stand-ins and nodes, [`load`] runs callers, [`fault`]
//! injects faults on a schedule, [`history`] records what callers observe,
//! [`checker`] compares the history with the contents of the databases, and
//! [`report`] summarizes the run.

mod caller;
pub mod checker;
mod fault;
pub mod history;
mod load;
mod profile;
mod report;
mod world;

use std::time::Duration;

use eyre::Result;

pub use fault::Fault;
pub use profile::Profile;
pub use report::Report;

use crate::settings::ReadPolicy;
use fault::FaultRun;
use history::History;
use load::Load;
use world::World;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Profile that sets sizes and load.
    pub profile: Profile,
    /// Time for which callers run.
    pub duration: Duration,
    /// Seed of callers, lag and faults.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Read policy of the nodes.
    pub policy: ReadPolicy,
    /// Fault to inject.
    pub fault: Fault,
    /// Time between status queries that no request asks for. A node that relied on
    /// polling alone would detect a failover only at this interval.
    pub probe_interval: Duration,
    /// Whether callers present session tokens.
    pub tokens: bool,
    /// Whether every write is a keyed request sent through two nodes at once.
    pub only_duplicates: bool,
}

/// Runs the demo and checks the result.
pub async fn run(options: &DemoOptions) -> Result<Report> {
    let mut world = World::start(options).await?;
    let history = History::new();
    world.started = history.start();
    let load = Load::start(&world, options, &history);
    let mut faults = FaultRun::new(options);
    faults.run(&mut world, &history).await?;
    load.stop().await;
    faults.undo_all(&mut world).await?;
    faults.record_final_versions(&world, &history).await;
    let truth = world.settle().await?;
    let events = history.take();
    let violations = checker::check(&events, &truth);
    Ok(Report::new(
        options,
        faults.names(),
        &world,
        &events,
        &truth,
        violations,
    ))
}
