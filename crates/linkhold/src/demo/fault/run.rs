//! Runs the schedule of a fault on the system under test.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use linkhold_core::table::{Column, Sheet};
use linkhold_standin::platform::PlatformFaults;
use linkhold_standin::relay::Link;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Fault;
use super::schedule::{Action, Step};
use crate::demo::DemoOptions;
use crate::demo::history::{History, LeavingEvent, PrimaryLossEvent, VersionEvent};
use crate::demo::world::{FAR_BEHIND_LAG, World};
use crate::table_editor::{Edit, EditOutcome};

/// Interval at which the schedule and the nodes' table versions are checked.
const TICK: Duration = Duration::from_millis(20);
/// Maximum wait for an accepted edit to be in force on a node.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);
/// Answer delay of the slow instance; longer than the nodes' statement timeout, so
/// that answers come after the node has given up.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(2_500);

/// A run of a fault's schedule.
pub struct FaultRun {
    steps: Vec<Step>,
    faults: Vec<Fault>,
    duration: Duration,
    random: ChaCha8Rng,
    leaving: Option<(usize, usize)>,
    edits: u32,
}

impl FaultRun {
    /// Prepares the schedule of the chosen fault, plus one edit of the table.
    pub fn new(options: &DemoOptions) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(options.seed);
        let mut steps = options.fault.schedule(&mut random, options.nodes);
        let mut faults: Vec<Fault> = steps.iter().map(|step| step.fault).collect();
        faults.sort_unstable();
        faults.dedup();
        steps.push(Step {
            at: 0.15,
            action: Action::Edit,
            fault: Fault::None,
        });
        steps.sort_by(|first, second| first.at.total_cmp(&second.at));
        Self {
            steps,
            faults,
            duration: options.duration,
            random,
            leaving: None,
            edits: 0,
        }
    }

    /// Returns the names of the faults in the schedule, joined by `+`.
    pub fn names(&self) -> String {
        let names: Vec<&str> = self.faults.iter().map(|fault| fault.name()).collect();
        names.join("+")
    }

    /// Runs the schedule to the end of the run.
    pub async fn run(&mut self, world: &mut World, history: &History) -> Result<()> {
        let stops_nodes = self
            .steps
            .iter()
            .any(|step| matches!(step.action, Action::StopNode(_)));
        let breaks_nodes = self
            .steps
            .iter()
            .any(|step| matches!(step.action, Action::CrashNode(_) | Action::PauseNode(_)));
        history.record(|events| events.cuts_forbidden = stops_nodes && !breaks_nodes);
        let mut steps = std::mem::take(&mut self.steps).into_iter().peekable();
        while history.now() < self.duration {
            let done = history.now().as_secs_f64() / self.duration.as_secs_f64();
            if let Some(step) = steps.next_if(|step| step.at <= done) {
                self.perform(step.action, world, history).await?;
                continue;
            }
            record_versions(world, history);
            tokio::time::sleep(TICK).await;
        }
        Ok(())
    }

    /// Ends every fault that may still be active.
    pub async fn undo_all(&mut self, world: &mut World) -> Result<()> {
        for group in &world.groups {
            for instance in 0..group.addresses().len() {
                group.restart(instance);
                group.heal(instance);
                group.set_answer_delay(instance, Duration::ZERO);
            }
        }
        world.platform.set_faults(PlatformFaults::default());
        Ok(())
    }

    /// Waits until the running nodes have the newest accepted table in force, and
    /// records the versions they have then.
    pub async fn record_final_versions(&self, world: &World, history: &History) {
        let accepted = history.newest_accepted_edit();
        for (node, running) in world.nodes.iter().enumerate() {
            let Some(running) = running else {
                continue;
            };
            let in_force = running.wait_for_table(accepted);
            // The checker reports a node that never has the version in force.
            let _ = tokio::time::timeout(IN_FORCE_TIMEOUT, in_force).await;
            let version = running.shared().table.load().version;
            history.record(|events| events.final_versions.push(VersionEvent { node, version }));
        }
    }

    async fn perform(
        &mut self,
        action: Action,
        world: &mut World,
        history: &History,
    ) -> Result<()> {
        match action {
            Action::CrashPrimaries => self.fail_primaries(world, history, PrimaryFault::Crash),
            Action::IsolatePrimaries => self.fail_primaries(world, history, PrimaryFault::Isolate),
            Action::RestartInstances => {
                for_each_instance(world, |group, instance| group.restart(instance));
            }
            Action::HealInstances => {
                for_each_instance(world, |group, instance| group.heal(instance));
            }
            Action::DelayReplicas => {
                for group in &world.groups {
                    let replica = replica_after_primary(group);
                    group.set_lag(replica, FAR_BEHIND_LAG);
                }
            }
            Action::CrashNode(node) => world.crash_node(node),
            Action::StartNode(node) => {
                if world.nodes[node].is_none() {
                    world.start_node(node).await?;
                }
            }
            Action::StopNode(node) => world.stop_node(node).await,
            Action::PauseNode(node) => set_links(world, node, Link::BlackHole),
            Action::ResumeNode(node) => set_links(world, node, Link::Open),
            Action::Store(faults) => world.platform.set_faults(faults),
            Action::Edit => self.edit_weight(world, history).await?,
            Action::EditConcurrently => self.edit_concurrently(world, history).await?,
            Action::MarkLeaving => self.mark_leaving(world, history).await?,
            Action::MarkActive => self.mark_active(world, history).await?,
            Action::DelayAnswers => {
                for group in &world.groups {
                    let instance = self.random.random_range(0..group.addresses().len());
                    group.set_answer_delay(instance, LATE_ANSWER_DELAY);
                }
            }
            Action::ResetAnswerDelay => for_each_instance(world, |group, instance| {
                group.set_answer_delay(instance, Duration::ZERO);
            }),
            Action::Burst(on) => history.burst().store(on, Ordering::Relaxed),
        }
        Ok(())
    }

    fn fail_primaries(&self, world: &World, history: &History, fault: PrimaryFault) {
        for (database, group) in world.groups.iter().enumerate() {
            let Some(primary) = group.primary() else {
                continue;
            };
            match fault {
                PrimaryFault::Crash => group.crash(primary),
                PrimaryFault::Isolate => group.isolate(primary),
            }
            let event = PrimaryLossEvent {
                at: history.now(),
                database,
            };
            history.record(|events| events.primary_faults.push(event));
        }
    }

    /// Changes one weight and waits until the change is in force on all nodes.
    async fn edit_weight(&mut self, world: &World, history: &History) -> Result<()> {
        self.edits += 1;
        let weight = (10 + self.edits % 5).to_string();
        let edit = self
            .prepare(world, |sheet| set_cell(sheet, 0, Column::Weight, &weight))
            .await?;
        let outcome = edit.store(&world.table_client()).await;
        record_accepted_edit(&outcome, world, history).await
    }

    /// Makes two operators change different cells of the same version at once.
    async fn edit_concurrently(&mut self, world: &World, history: &History) -> Result<()> {
        self.edits += 1;
        let weight = (20 + self.edits).to_string();
        let slots = (4 + self.edits % 2).to_string();
        let first = self
            .prepare(world, |sheet| set_cell(sheet, 1, Column::Weight, &weight))
            .await?;
        let second = self
            .prepare(world, |sheet| set_cell(sheet, 1, Column::Slots, &slots))
            .await?;
        let client = world.table_client();
        let outcomes = tokio::join!(first.store(&client), second.store(&client));
        record_accepted_edit(&outcomes.0, world, history).await?;
        record_accepted_edit(&outcomes.1, world, history).await?;
        let sheet = Sheet::parse(&client.read().await?.body).unwrap_or_default();
        for (column, wanted) in [(Column::Weight, &weight), (Column::Slots, &slots)] {
            let found = sheet.rows.get(1).map_or("", |row| row.cell(column));
            if found != wanted {
                let lost = format!("{column} is `{found}`, accepted was `{wanted}`");
                history.record(|events| events.lost_edits.push(lost));
            }
        }
        Ok(())
    }

    async fn mark_leaving(&mut self, world: &World, history: &History) -> Result<()> {
        let database = self.random.random_range(0..world.groups.len());
        let group = &world.groups[database];
        let instance = replica_after_primary(group);
        let row = database * world.sizes.instances + instance;
        let edit = self
            .prepare(world, |sheet| {
                set_cell(sheet, row, Column::State, "leaving")
            })
            .await?;
        let outcome = edit.store(&world.table_client()).await;
        let event = LeavingEvent {
            at: Instant::now(),
            until: None,
            database,
            instance,
        };
        self.leaving = Some((database, instance));
        history.record(|events| events.leaving.push(event));
        record_accepted_edit(&outcome, world, history).await
    }

    async fn mark_active(&mut self, world: &World, history: &History) -> Result<()> {
        let Some((database, instance)) = self.leaving.take() else {
            return Ok(());
        };
        history.record(|events| {
            if let Some(event) = events.leaving.last_mut() {
                event.until = Some(Instant::now());
            }
        });
        let row = database * world.sizes.instances + instance;
        let edit = self
            .prepare(world, |sheet| set_cell(sheet, row, Column::State, "active"))
            .await?;
        let outcome = edit.store(&world.table_client()).await;
        record_accepted_edit(&outcome, world, history).await
    }

    /// Prepares an edit of the newest version; repeats the read while the store is
    /// down.
    async fn prepare(&mut self, world: &World, change: impl Fn(&mut Sheet)) -> Result<Edit> {
        const READ_ATTEMPTS: usize = 100;
        const READ_PAUSE: Duration = Duration::from_millis(100);
        let client = world.table_client();
        for _ in 0..READ_ATTEMPTS {
            if let Ok(table) = client.read().await {
                let mut edited = Sheet::parse(&table.body)
                    .map_err(|findings| eyre!("the stored table is invalid: {findings:?}"))?;
                change(&mut edited);
                return Ok(Edit {
                    base_version: table.version,
                    edited,
                    author: "demo".to_owned(),
                    edit_id: format!("{:016x}", self.random.random::<u64>()),
                });
            }
            tokio::time::sleep(READ_PAUSE).await;
        }
        Err(eyre!("the store stayed down"))
    }
}

#[derive(Clone, Copy)]
enum PrimaryFault {
    Crash,
    Isolate,
}

fn set_cell(sheet: &mut Sheet, row: usize, column: Column, value: &str) {
    sheet.rows[row].cells[column.index()] = value.to_owned();
}

fn replica_after_primary(group: &linkhold_standin::group::Group) -> usize {
    let primary = group.primary().unwrap_or(0);
    (primary + 1) % group.addresses().len()
}

fn for_each_instance(world: &World, perform: impl Fn(&linkhold_standin::group::Group, usize)) {
    for group in &world.groups {
        for instance in 0..group.addresses().len() {
            perform(group, instance);
        }
    }
}

fn set_links(world: &World, node: usize, link: Link) {
    for relay in world.relays[node].iter().flatten() {
        relay.set_link(link);
    }
}

/// Records an accepted edit and the time until it is in force on all running nodes.
/// An edit with an unknown outcome does not count as accepted.
async fn record_accepted_edit(
    outcome: &EditOutcome,
    world: &World,
    history: &History,
) -> Result<()> {
    let version = match outcome {
        EditOutcome::Stored(version) => *version,
        EditOutcome::Unknown(_) => return Ok(()),
        other => return Err(eyre!("an edit was refused: {other:?}")),
    };
    history.record(|events| events.accepted_edits.push(version));
    let start = Instant::now();
    for node in world.nodes.iter().flatten() {
        let in_force = node.wait_for_table(version);
        // The checker reports a node that never has the version in force.
        let _ = tokio::time::timeout(IN_FORCE_TIMEOUT, in_force).await;
    }
    let elapsed = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    history.record(|events| events.edit_in_force_ms.push(elapsed));
    record_versions(world, history);
    Ok(())
}

fn record_versions(world: &World, history: &History) {
    for (node, running) in world.nodes.iter().enumerate() {
        if let Some(running) = running {
            let version = running.shared().table.load().version;
            history.record(|events| events.versions.push(VersionEvent { node, version }));
        }
    }
}
