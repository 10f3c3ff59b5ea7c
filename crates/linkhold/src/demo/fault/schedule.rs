//! Schedules of the faults.

use std::time::Duration;

use linkhold_standin::platform::PlatformFaults;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::Fault;

const SLOW_STORE: Duration = Duration::from_millis(1_000);

/// Returns the schedule of two or three different faults at once.
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

/// An action at a fraction of the run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Step {
    /// Time, as a fraction of the run.
    pub at: f64,
    /// Action to perform.
    pub action: Action,
    /// Fault to which the step belongs.
    pub fault: Fault,
}

/// Action of a fault.
#[derive(Clone, Copy, Debug)]
pub(super) enum Action {
    CrashPrimaries,
    RestartInstances,
    IsolatePrimaries,
    HealInstances,
    DelayReplicas,
    CrashNode(usize),
    StartNode(usize),
    StopNode(usize),
    PauseNode(usize),
    ResumeNode(usize),
    Store(PlatformFaults),
    Edit,
    EditConcurrently,
    MarkLeaving,
    MarkActive,
    DelayAnswers,
    ResetAnswerDelay,
    Burst(bool),
}

impl Fault {
    /// Returns the steps of the fault.
    pub(super) fn schedule(self, random: &mut ChaCha8Rng, nodes: usize) -> Vec<Step> {
        let node = random.random_range(0..nodes);
        let step = |at: f64, action: Action| Step {
            at,
            action,
            fault: self,
        };
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
            Self::ReplicaFarBehind => vec![step(0.0, Action::DelayReplicas)],
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
                step(0.25, Action::EditConcurrently),
                step(0.50, Action::EditConcurrently),
                step(0.75, Action::EditConcurrently),
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
            Self::BackendLeaving => vec![
                step(0.20, Action::MarkLeaving),
                step(0.80, Action::MarkActive),
            ],
            Self::LateAnswers => vec![
                step(0.20, Action::DelayAnswers),
                step(0.45, Action::ResetAnswerDelay),
                step(0.60, Action::DelayAnswers),
                step(0.80, Action::ResetAnswerDelay),
            ],
            Self::FeedBurst => vec![
                step(0.30, Action::Burst(true)),
                step(0.70, Action::Burst(false)),
            ],
            Self::Mixed => mixed_schedule(random, nodes),
        }
    }
}
