//! Faults, each with a name and a schedule.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use linkhold_core::table::{Column, Sheet};
use linkhold_standin::platform::PlatformFaults;
use linkhold_standin::relay::Link;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::DemoOptions;
use super::history::{FaultEvent, History, LeavingEvent, VersionEvent};
use super::world::{FAR_BEHIND, World};
use crate::table_editor::{Edit, EditOutcome};

/// How often the schedule and the nodes' table versions are looked at.
const TICK: Duration = Duration::from_millis(20);
/// Answer delay of the slow instance; longer than the nodes' statement
/// time-out, so that answers come after the node has given up.
const LATE_ANSWER: Duration = Duration::from_millis(2_500);
const SLOW_STORE: Duration = Duration::from_millis(1_000);

/// What breaks in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A primary crashes, and later comes back.
    PrimaryCrash,
    /// A primary is cut off from its peers and goes on accepting work.
    PrimaryPartition,
    /// One replica of each database stays far behind.
    ReplicaFarBehind,
    /// A node dies with transactions open.
    NodeCrash,
    /// The platform's store is down.
    StoreDown,
    /// The answer to an edit is lost after it took effect.
    StoreLostAnswer,
    /// The platform's store is slow.
    StoreSlow,
    /// A node is paused: nothing passes between it and the databases.
    PausedHolder,
    /// Two operators edit at once.
    ConcurrentEdits,
    /// Nodes are stopped and started again in order, one after the other.
    NodeStop,
    /// A back end leaves.
    BackendLeaving,
    /// An instance answers after the node has given up.
    LateAnswers,
    /// A burst of feed reads.
    FeedBurst,
    /// Two or three of the others, chosen by the seed.
    Mixed,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 15] = [
        Self::None,
        Self::PrimaryCrash,
        Self::PrimaryPartition,
        Self::ReplicaFarBehind,
        Self::NodeCrash,
        Self::StoreDown,
        Self::StoreLostAnswer,
        Self::StoreSlow,
        Self::PausedHolder,
        Self::ConcurrentEdits,
        Self::NodeStop,
        Self::BackendLeaving,
        Self::LateAnswers,
        Self::FeedBurst,
        Self::Mixed,
    ];

    /// Name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::PrimaryCrash => "primary-crash",
            Self::PrimaryPartition => "primary-partition",
            Self::ReplicaFarBehind => "replica-far-behind",
            Self::NodeCrash => "node-crash",
            Self::StoreDown => "store-down",
            Self::StoreLostAnswer => "store-lost-answer",
            Self::StoreSlow => "store-slow",
            Self::PausedHolder => "paused-holder",
            Self::ConcurrentEdits => "concurrent-edits",
            Self::NodeStop => "node-stop",
            Self::BackendLeaving => "backend-leaving",
            Self::LateAnswers => "late-answers",
            Self::FeedBurst => "feed-burst",
            Self::Mixed => "mixed",
        }
    }

    /// The fault with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }

    /// What it does, at which fraction of the run.
    fn schedule(self, random: &mut ChaCha8Rng, nodes: usize) -> Vec<Step> {
        let node = random.random_range(0..nodes);
        let step = |at: f64, action: Action| Step { at, action };
        match self {
            Self::None => Vec::new(),
            Self::PrimaryCrash => vec![
                step(0.20, Action::CrashPrimaries),
                step(0.50, Action::RestartInstances),
                step(0.65, Action::CrashPrimaries),
                step(0.85, Action::RestartInstances),
            ],
            Self::PrimaryPartition => vec![
                step(0.20, Action::IsolatePrimaries),
                step(0.50, Action::HealInstances),
                step(0.65, Action::IsolatePrimaries),
                step(0.85, Action::HealInstances),
            ],
            Self::ReplicaFarBehind => vec![step(0.0, Action::FallBehind)],
            Self::NodeCrash => vec![
                step(0.25, Action::CrashNode(node)),
                step(0.45, Action::StartNode(node)),
                step(0.65, Action::CrashNode((node + 1) % nodes)),
                step(0.80, Action::StartNode((node + 1) % nodes)),
            ],
            Self::StoreDown => vec![
                step(
                    0.20,
                    Action::Store(PlatformFaults {
                        down: true,
                        ..PlatformFaults::default()
                    }),
                ),
                step(0.70, Action::Store(PlatformFaults::default())),
                step(0.75, Action::Edit),
            ],
            Self::StoreLostAnswer => vec![
                step(
                    0.30,
                    Action::Store(PlatformFaults {
                        lose_edit_answers: 1,
                        ..PlatformFaults::default()
                    }),
                ),
                step(0.31, Action::Edit),
                step(
                    0.60,
                    Action::Store(PlatformFaults {
                        lose_edit_answers: 2,
                        ..PlatformFaults::default()
                    }),
                ),
                step(0.61, Action::Edit),
            ],
            Self::StoreSlow => vec![
                step(
                    0.20,
                    Action::Store(PlatformFaults {
                        delay: SLOW_STORE,
                        ..PlatformFaults::default()
                    }),
                ),
                step(0.30, Action::Edit),
                step(0.80, Action::Store(PlatformFaults::default())),
            ],
            Self::PausedHolder => vec![
                step(0.25, Action::PauseNode(node)),
                step(0.45, Action::ResumeNode(node)),
                step(0.60, Action::PauseNode((node + 1) % nodes)),
                step(0.75, Action::ResumeNode((node + 1) % nodes)),
            ],
            Self::ConcurrentEdits => vec![
                step(0.25, Action::EditTwice),
                step(0.50, Action::EditTwice),
                step(0.75, Action::EditTwice),
            ],
            Self::NodeStop => (0..nodes)
                .flat_map(|node| {
                    let at = 0.10 + 0.80 * node as f64 / nodes as f64;
                    let back = at + 0.40 / nodes as f64;
                    [
                        step(at, Action::StopNode(node)),
                        step(back, Action::StartNode(node)),
                    ]
                })
                .collect(),
            Self::BackendLeaving => vec![step(0.20, Action::Leave), step(0.80, Action::ComeBack)],
            Self::LateAnswers => vec![
                step(0.20, Action::AnswerLate),
                step(0.45, Action::AnswerInTime),
                step(0.60, Action::AnswerLate),
                step(0.80, Action::AnswerInTime),
            ],
            Self::FeedBurst => vec![
                step(0.30, Action::Burst(true)),
                step(0.70, Action::Burst(false)),
            ],
            Self::Mixed => mixed_schedule(random, nodes),
        }
    }
}

/// Two or three different faults at once.
fn mixed_schedule(random: &mut ChaCha8Rng, nodes: usize) -> Vec<Step> {
    let single: Vec<Fault> = Fault::ALL
        .into_iter()
        .filter(|fault| !matches!(fault, Fault::None | Fault::Mixed))
        .collect();
    let count = random.random_range(2..=3);
    let chosen: Vec<Fault> = single.choose_multiple(random, count).copied().collect();
    let mut steps: Vec<Step> = chosen
        .iter()
        .flat_map(|fault| fault.schedule(random, nodes))
        .collect();
    steps.sort_by(|first, second| first.at.total_cmp(&second.at));
    steps
}

#[derive(Clone, Copy, Debug)]
struct Step {
    at: f64,
    action: Action,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    CrashPrimaries,
    RestartInstances,
    IsolatePrimaries,
    HealInstances,
    FallBehind,
    CrashNode(usize),
    StartNode(usize),
    StopNode(usize),
    PauseNode(usize),
    ResumeNode(usize),
    Store(PlatformFaults),
    Edit,
    EditTwice,
    Leave,
    ComeBack,
    AnswerLate,
    AnswerInTime,
    Burst(bool),
}

/// Runs a fault's schedule.
pub struct FaultRun {
    steps: Vec<Step>,
    duration: Duration,
    random: ChaCha8Rng,
    leaving: Option<(usize, usize)>,
    edits: u32,
}

impl FaultRun {
    /// The schedule of the chosen fault. Every run has one edit of the table.
    pub fn new(options: &DemoOptions) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(options.seed);
        let mut steps = options.fault.schedule(&mut random, options.nodes);
        steps.push(Step {
            at: 0.15,
            action: Action::Edit,
        });
        steps.sort_by(|first, second| first.at.total_cmp(&second.at));
        Self {
            steps,
            duration: options.duration,
            random,
            leaving: None,
            edits: 0,
        }
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
        history.record(|events| events.no_cut_allowed = stops_nodes && !breaks_nodes);
        let mut steps = std::mem::take(&mut self.steps).into_iter().peekable();
        while history.now() < self.duration {
            let done = history.now().as_secs_f64() / self.duration.as_secs_f64();
            if let Some(step) = steps.next_if(|step| step.at <= done) {
                self.act(step.action, world, history).await?;
                continue;
            }
            note_versions(world, history);
            tokio::time::sleep(TICK).await;
        }
        Ok(())
    }

    /// Ends every fault that may still last.
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

    async fn act(&mut self, action: Action, world: &mut World, history: &History) -> Result<()> {
        match action {
            Action::CrashPrimaries => self.take_primaries(world, history, Taking::Crash),
            Action::IsolatePrimaries => self.take_primaries(world, history, Taking::Isolate),
            Action::RestartInstances => {
                for_each_instance(world, |group, instance| group.restart(instance));
            }
            Action::HealInstances => {
                for_each_instance(world, |group, instance| group.heal(instance));
            }
            Action::FallBehind => {
                for group in &world.groups {
                    let replica = a_replica(group);
                    group.set_lag(replica, FAR_BEHIND);
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
            Action::EditTwice => self.edit_twice(world, history).await?,
            Action::Leave => self.leave(world, history).await?,
            Action::ComeBack => self.come_back(world, history).await?,
            Action::AnswerLate => {
                for group in &world.groups {
                    let instance = self.random.random_range(0..group.addresses().len());
                    group.set_answer_delay(instance, LATE_ANSWER);
                }
            }
            Action::AnswerInTime => for_each_instance(world, |group, instance| {
                group.set_answer_delay(instance, Duration::ZERO);
            }),
            Action::Burst(on) => history.burst().store(on, Ordering::Relaxed),
        }
        Ok(())
    }

    fn take_primaries(&self, world: &World, history: &History, taking: Taking) {
        for (database, group) in world.groups.iter().enumerate() {
            let Some(primary) = group.primary() else {
                continue;
            };
            match taking {
                Taking::Crash => group.crash(primary),
                Taking::Isolate => group.isolate(primary),
            }
            let event = FaultEvent {
                at: history.now(),
                database,
            };
            history.record(|events| events.primary_faults.push(event));
        }
    }

    /// Changes one weight and waits until it is in force on all nodes.
    async fn edit_weight(&mut self, world: &World, history: &History) -> Result<()> {
        self.edits += 1;
        let weight = (10 + self.edits % 5).to_string();
        let edit = self
            .prepare(world, |sheet| set_cell(sheet, 0, Column::Weight, &weight))
            .await?;
        let outcome = edit.store(&world.table_client()).await;
        accepted(&outcome, world, history).await
    }

    /// Two operators work from the same version and change different cells.
    async fn edit_twice(&mut self, world: &World, history: &History) -> Result<()> {
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
        accepted(&outcomes.0, world, history).await?;
        accepted(&outcomes.1, world, history).await?;
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

    async fn leave(&mut self, world: &World, history: &History) -> Result<()> {
        let database = self.random.random_range(0..world.groups.len());
        let group = &world.groups[database];
        let instance = a_replica(group);
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
        accepted(&outcome, world, history).await
    }

    async fn come_back(&mut self, world: &World, history: &History) -> Result<()> {
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
        accepted(&outcome, world, history).await
    }

    /// An edit of the newest version. Reads again while the store is down.
    async fn prepare(&mut self, world: &World, change: impl Fn(&mut Sheet)) -> Result<Edit> {
        const READ_ATTEMPTS: usize = 100;
        const READ_PAUSE: Duration = Duration::from_millis(100);
        let client = world.table_client();
        for _ in 0..READ_ATTEMPTS {
            if let Ok(table) = client.read().await {
                let mut edited = Sheet::parse(&table.body)
                    .map_err(|findings| eyre!("the stored table has findings: {findings:?}"))?;
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
enum Taking {
    Crash,
    Isolate,
}

fn set_cell(sheet: &mut Sheet, row: usize, column: Column, value: &str) {
    sheet.rows[row].cells[column.index()] = value.to_owned();
}

fn a_replica(group: &linkhold_standin::group::Group) -> usize {
    let primary = group.primary().unwrap_or(0);
    (primary + 1) % group.addresses().len()
}

fn for_each_instance(world: &World, act: impl Fn(&linkhold_standin::group::Group, usize)) {
    for group in &world.groups {
        for instance in 0..group.addresses().len() {
            act(group, instance);
        }
    }
}

fn set_links(world: &World, node: usize, link: Link) {
    for relay in world.relays[node].iter().flatten() {
        relay.set_link(link);
    }
}

/// Records an accepted edit and how long it took to be in force on all nodes
/// that are up. An edit without a clear answer is not accepted.
async fn accepted(outcome: &EditOutcome, world: &World, history: &History) -> Result<()> {
    const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);
    let version = match outcome {
        EditOutcome::Stored(version) => *version,
        EditOutcome::Unknown(_) => return Ok(()),
        other => return Err(eyre!("an edit was refused: {other:?}")),
    };
    history.record(|events| events.accepted_edits.push(version));
    let start = Instant::now();
    for node in world.nodes.iter().flatten() {
        let in_force = node.wait_for_table(version);
        // A node that never gets there is found by the checker.
        let _ = tokio::time::timeout(IN_FORCE_TIMEOUT, in_force).await;
    }
    let elapsed = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    history.record(|events| events.edit_in_force_ms.push(elapsed));
    note_versions(world, history);
    Ok(())
}

fn note_versions(world: &World, history: &History) {
    for (node, running) in world.nodes.iter().enumerate() {
        if let Some(running) = running {
            let version = running.shared().table.load().version;
            history.record(|events| events.versions.push(VersionEvent { node, version }));
        }
    }
}
