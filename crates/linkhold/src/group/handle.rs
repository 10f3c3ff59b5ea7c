//! Handle of one database: what the path of a statement needs.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use kameo::actor::{ActorRef, Spawn};
use linkhold_core::group_view::{ConfirmedPrimary, GroupView, InstanceIndex, ProbeTag};
use linkhold_core::position::Position;
use linkhold_core::routing::{Candidate, ReadScope, choose_for_read};
use linkhold_core::table::{BackendState, Database, Instance};
use tokio::sync::{Mutex, MutexGuard, Notify, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::instance::InstanceHandle;
use super::probe::{ProbeLoop, run_probe_loop};
use super::view_actor::{ProbeFailed, ViewActor};
use crate::machine_list::LeavingMachines;
use crate::metrics::Metrics;
use crate::settings::{Detection, Settings};

/// Pause between rounds of probes while a request waits for a change.
const POLL_PAUSE: Duration = Duration::from_millis(3);
const SECONDS_PER_HOUR: u64 = 3_600;
const HOURS_PER_DAY: u64 = 24;

/// The counter that probe tags are drawn from, and what is asked of it.
///
/// A request notes the counter when it arrives and demands a probe that is
/// sent later. All requests that arrive before a probe is sent share it.
#[derive(Debug, Default)]
pub struct ProbeDemand {
    counter: AtomicU64,
    demanded: AtomicU64,
    wake: Notify,
}

impl ProbeDemand {
    /// The counter now: answers with a greater tag were asked later.
    pub fn now(&self) -> ProbeTag {
        ProbeTag(self.counter.load(Ordering::SeqCst))
    }

    /// Draws the tag of a probe about to be sent.
    pub fn draw(&self) -> ProbeTag {
        ProbeTag(self.counter.fetch_add(1, Ordering::SeqCst) + 1)
    }

    /// Asks every instance for an answer with a tag greater than `after`.
    pub fn demand_after(&self, after: ProbeTag) {
        let before = self.demanded.fetch_max(after.0 + 1, Ordering::SeqCst);
        if before <= after.0 {
            self.wake.notify_waiters();
        }
    }

    /// Returns once an answer newer than `last` is demanded.
    pub async fn wait_for_demand(&self, last: ProbeTag) {
        loop {
            let woken = self.wake.notified();
            tokio::pin!(woken);
            woken.as_mut().enable();
            if self.demanded.load(Ordering::SeqCst) > last.0 {
                return;
            }
            woken.await;
        }
    }
}

/// A database with its instances and its view.
pub struct GroupHandle {
    /// Row of the database; replaced when the table changes limits.
    pub row: ArcSwap<Database>,
    /// Instances, in table order.
    pub instances: Vec<Arc<InstanceHandle>>,
    zone: String,
    hour_offset: i64,
    detection: Detection,
    leaving_machines: LeavingMachines,
    view: watch::Receiver<Arc<GroupView>>,
    demand: Arc<ProbeDemand>,
    actor: ActorRef<ViewActor>,
    unshared_round: Mutex<()>,
    _probes: JoinSet<()>,
}

impl GroupHandle {
    /// Starts the view's owner and a probe loop for each instance.
    pub fn start(
        row: Database,
        instances: Vec<Arc<InstanceHandle>>,
        settings: &Arc<Settings>,
        metrics: &Arc<Metrics>,
        leaving_machines: LeavingMachines,
    ) -> Self {
        let initial = Arc::new(GroupView::new(instances.len()));
        let (published, view) = watch::channel(initial);
        let names = instances
            .iter()
            .map(|instance| instance.name.clone())
            .collect();
        let demand = Arc::new(ProbeDemand::default());
        let actor = ViewActor::spawn(ViewActor::new(
            row.name.clone(),
            names,
            published,
            demand.clone(),
        ));
        let mut probes = JoinSet::new();
        for (index, instance) in instances.iter().enumerate() {
            probes.spawn(run_probe_loop(ProbeLoop {
                index,
                instance: instance.clone(),
                demand: demand.clone(),
                actor: actor.clone(),
                settings: settings.clone(),
                metrics: metrics.clone(),
            }));
        }
        Self {
            row: ArcSwap::from_pointee(row),
            instances,
            zone: settings.zone.clone(),
            hour_offset: settings.hour_offset,
            detection: settings.detection,
            leaving_machines,
            view,
            demand,
            actor,
            unshared_round: Mutex::default(),
            _probes: probes,
        }
    }

    /// The newest view.
    pub fn view(&self) -> Arc<GroupView> {
        self.view.borrow().clone()
    }

    /// The probe counter now.
    pub fn now(&self) -> ProbeTag {
        self.demand.now()
    }

    /// Tells that an instance failed a request, so that the view is renewed
    /// at once and not at the next poll.
    pub async fn suspect(&self, instance: InstanceIndex) {
        if self.detection == Detection::PollOnly {
            return;
        }
        // The owner is gone only when the handle is being dropped.
        let _ = self.actor.tell(ProbeFailed { instance }).await;
        self.demand.demand_after(self.demand.now());
    }

    /// Waits for a primary that `check` accepts, as [`GroupHandle::wait_for`].
    pub async fn wait_for_primary(
        &self,
        since: ProbeTag,
        deadline: Instant,
        mut check: impl FnMut(&GroupView) -> Option<ConfirmedPrimary>,
    ) -> Option<ConfirmedPrimary> {
        if self.detection == Detection::OnDemand {
            return self.wait_for(since, deadline, check).await;
        }
        let mut view = self.view.clone();
        let polled = view.wait_for(|view| check(view).is_some());
        let found = tokio::time::timeout_at(deadline, polled).await.ok()?.ok()?;
        found.primary()
    }

    /// Waits until `check` finds what it looks for in a view, or the deadline.
    /// Answers newer than `since` are demanded at once, and again after each
    /// short pause for as long as the wait goes on.
    pub async fn wait_for<T>(
        &self,
        since: ProbeTag,
        deadline: Instant,
        mut check: impl FnMut(&GroupView) -> Option<T>,
    ) -> Option<T> {
        let mut view = self.view.clone();
        if let Some(found) = check(&view.borrow_and_update()) {
            return Some(found);
        }
        self.demand.demand_after(since);
        let mut next_poll = Instant::now() + POLL_PAUSE;
        loop {
            tokio::select! {
                changed = view.changed() => {
                    changed.ok()?;
                    if let Some(found) = check(&view.borrow_and_update()) {
                        return Some(found);
                    }
                }
                () = tokio::time::sleep_until(next_poll.min(deadline)) => {
                    if Instant::now() >= deadline {
                        return None;
                    }
                    self.demand.demand_after(self.demand.now());
                    next_poll = Instant::now() + POLL_PAUSE;
                }
            }
        }
    }

    /// Keeps other requests from sharing the next round; only to measure what
    /// sharing saves.
    pub async fn own_round(&self) -> MutexGuard<'_, ()> {
        self.unshared_round.lock().await
    }

    /// A confirmed primary that takes new work.
    pub fn usable_primary(&self, view: &GroupView) -> Option<ConfirmedPrimary> {
        view.primary()
            .filter(|primary| self.accepts_work(primary.instance))
    }

    /// Whether the table and the platform let new work go to the instance.
    pub fn accepts_work(&self, instance: InstanceIndex) -> bool {
        self.lets_work_go_to(&self.row.load().instances[instance])
    }

    fn lets_work_go_to(&self, instance: &Instance) -> bool {
        instance.state == BackendState::Active
            && !self.leaving_machines.load().contains(&instance.address)
    }

    /// Picks an instance for a read.
    pub fn choose(
        &self,
        view: &GroupView,
        required: Position,
        scope: ReadScope,
    ) -> Option<InstanceIndex> {
        choose_for_read(view, &self.candidates(), required, scope, &mut rand::rng())
    }

    /// Whether any replica could serve a read once it has caught up.
    pub fn has_usable_replica(&self, view: &GroupView) -> bool {
        let nothing_required = Position::default();
        choose_for_read(
            view,
            &self.candidates(),
            nothing_required,
            ReadScope::Replicas,
            &mut rand::rng(),
        )
        .is_some()
    }

    fn candidates(&self) -> Vec<Candidate> {
        let row = self.row.load();
        let hour = self.hour();
        row.instances
            .iter()
            .zip(&self.instances)
            .enumerate()
            .map(|(index, (instance, handle))| Candidate {
                instance: index,
                weight: instance.weight_at(hour),
                local_zone: instance.zone == self.zone,
                accepts_work: self.lets_work_go_to(instance),
                has_room: handle.has_room_for_read(),
            })
            .collect()
    }

    /// Hour of the day in UTC, with the offset for rehearsals.
    fn hour(&self) -> u8 {
        let seconds = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_secs());
        let shifted = seconds.saturating_add_signed(self.hour_offset);
        let hour = shifted / SECONDS_PER_HOUR % HOURS_PER_DAY;
        u8::try_from(hour).unwrap_or_default()
    }
}
