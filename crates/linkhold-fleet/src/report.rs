//! Summary of a simulated run.

use std::time::Duration;

use linkhold_core::membership::MemberState;

use crate::node::node_id;
use crate::simulation::Simulation;

/// Results of a run. Counts and simulated times depend only on the seed;
/// processor time is measured.
#[derive(Clone, Debug)]
pub struct FleetReport {
    /// Number of nodes.
    pub nodes: usize,
    /// Mean bytes per second that a node sent, headers included.
    pub bytes_per_second: f64,
    /// Bytes per second of the node that sent the most.
    pub most_bytes_per_second: f64,
    /// Mean messages per second that a node sent.
    pub messages_per_second: f64,
    /// Mean fraction of a core that a node used.
    pub cpu_share: f64,
    /// Times from an edit until a node had it in force, sorted.
    pub in_force: Vec<Duration>,
    /// Number of live nodes that do not have the newest accepted edit in force.
    pub edits_missing: usize,
    /// Times from a death until a live node considered the node dead, sorted.
    pub detection: Vec<Duration>,
    /// Pairs of a death and a live node that never detected it.
    pub deaths_missed: usize,
    /// Times a node considered a node dead that did not die in the run.
    pub false_deaths: usize,
    /// Times a node suspected a node that did not die in the run. Suspicions caused
    /// by a pause or partition count too.
    pub false_suspicions: usize,
    /// Times a node's table version went down.
    pub version_regressions: usize,
}

impl FleetReport {
    /// Summarizes a simulation.
    pub fn new(simulation: &Simulation) -> Self {
        let seconds = simulation.now.as_secs_f64();
        let count = simulation.nodes.len() as f64;
        let total = |value: fn(&crate::node::ResourceUsage) -> f64| -> f64 {
            simulation.nodes.iter().map(|node| value(&node.usage)).sum()
        };
        let most = simulation
            .nodes
            .iter()
            .map(|node| node.usage.bytes)
            .max()
            .unwrap_or(0);
        let (detection, deaths_missed) = detection(simulation);
        let mut in_force: Vec<Duration> =
            simulation.in_force.iter().map(|(_, time)| *time).collect();
        in_force.sort_unstable();
        Self {
            nodes: simulation.nodes.len(),
            bytes_per_second: total(|usage| usage.bytes as f64) / count / seconds,
            most_bytes_per_second: most as f64 / seconds,
            messages_per_second: total(|usage| usage.messages as f64) / count / seconds,
            cpu_share: total(|usage| usage.cpu_time.as_secs_f64()) / count / seconds,
            in_force,
            edits_missing: edits_missing(simulation),
            detection,
            deaths_missed,
            false_deaths: count_false_changes(simulation, MemberState::Dead),
            false_suspicions: count_false_changes(simulation, MemberState::Suspect),
            version_regressions: simulation.version_regressions,
        }
    }

    /// Formats the report as one line of key=value pairs.
    pub fn line(&self, resident_per_node: u64) -> String {
        let milliseconds = |times: &[Duration], quantile: f64| {
            let index = (times.len() as f64 * quantile) as usize;
            let time = times.get(index.min(times.len().saturating_sub(1)));
            time.map_or(0.0, |time| time.as_secs_f64() * 1_000.0)
        };
        format!(
            "nodes={} control_bytes_per_second_per_node={:.0} control_bytes_per_second_most={:.0} \
             control_messages_per_second_per_node={:.2} control_cpu_share={:.6} \
             control_resident_bytes_per_node={resident_per_node} table_in_force_ms_p50={:.0} \
             table_in_force_ms_p99={:.0} edits_missing={} detection_ms_p50={:.0} \
             detection_ms_p99={:.0} detection_ms_max={:.0} deaths_missed={} false_suspicions={} \
             false_deaths={} version_regressions={}",
            self.nodes,
            self.bytes_per_second,
            self.most_bytes_per_second,
            self.messages_per_second,
            self.cpu_share,
            milliseconds(&self.in_force, 0.5),
            milliseconds(&self.in_force, 0.99),
            self.edits_missing,
            milliseconds(&self.detection, 0.5),
            milliseconds(&self.detection, 0.99),
            milliseconds(&self.detection, 1.0),
            self.deaths_missed,
            self.false_suspicions,
            self.false_deaths,
            self.version_regressions,
        )
    }
}

/// Returns, for each death and each live node, the time until the node considered
/// the other dead, and the number of deaths not detected.
fn detection(simulation: &Simulation) -> (Vec<Duration>, usize) {
    let mut times = Vec::new();
    let mut missed = 0;
    for (dead, died_at) in &simulation.deaths {
        for node in simulation.nodes.iter().filter(|node| node.is_up) {
            let detected = node.changes.iter().find(|(at, change)| {
                at >= died_at && change.node == node_id(*dead) && change.state == MemberState::Dead
            });
            match detected {
                Some((at, _)) => times.push(*at - *died_at),
                None => missed += 1,
            }
        }
    }
    times.sort_unstable();
    (times, missed)
}

fn edits_missing(simulation: &Simulation) -> usize {
    let newest = simulation.edits.iter().map(|(version, _)| *version).max();
    let Some(newest) = newest else {
        return 0;
    };
    let live = simulation.nodes.iter().filter(|node| node.is_up);
    live.filter(|node| node.spread.version() < newest).count()
}

/// Counts changes to `state` of nodes that never died.
fn count_false_changes(simulation: &Simulation, state: MemberState) -> usize {
    let dead: Vec<_> = simulation
        .deaths
        .iter()
        .map(|(index, _)| node_id(*index))
        .collect();
    simulation
        .nodes
        .iter()
        .flat_map(|node| &node.changes)
        .filter(|(_, change)| change.state == state && !dead.contains(&change.node))
        .count()
}
