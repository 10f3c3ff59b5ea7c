//! The demo and experiment: a whole system in one process, under load and
//! faults, judged by a checker.
//!
//! [`world`] starts stand-ins and nodes, [`load`] runs callers, [`fault`]
//! breaks things on a schedule, [`history`] is what callers saw, [`checker`]
//! compares it with what the databases hold, and [`report`] sums it up.

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

/// What to run.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Whose sizes and load.
    pub profile: Profile,
    /// How long callers run.
    pub duration: Duration,
    /// Seed for callers, lag and faults.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// How nodes route reads.
    pub policy: ReadPolicy,
    /// What breaks.
    pub fault: Fault,
    /// Time between status queries without demand; a node that relied on
    /// polling alone would notice a failover only by it.
    pub probe_interval: Duration,
    /// Whether each caller's sessions present tokens.
    pub tokens: bool,
    /// Whether every write is one request sent through two nodes at once.
    pub only_duplicates: bool,
}

/// Runs the demo and judges it.
pub async fn run(options: &DemoOptions) -> Result<Report> {
    let mut world = World::start(options).await?;
    let history = History::new();
    world.started = history.start();
    let load = Load::start(&world, options, &history);
    let mut faults = FaultRun::new(options);
    faults.run(&mut world, &history).await?;
    load.stop().await;
    faults.undo_all(&mut world).await?;
    faults.note_final_versions(&world, &history).await;
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
