//! Handle of one database, through which sessions run statements.

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

/// The counter that issues probe tags, and the newest tag that requests demand.
///
/// A request reads the counter when it arrives and demands a probe that is sent
/// later. All requests that arrive before a probe is sent share that probe.
#[derive(Debug, Default)]
pub struct ProbeDemand {
    counter: AtomicU64,
    demanded: AtomicU64,
    wake: Notify,
}

impl ProbeDemand {
    /// The newest tag issued. A probe with a greater tag is sent after this call.
    pub fn current_tag(&self) -> ProbeTag {
        ProbeTag(self.counter.load(Ordering::SeqCst))
    }

    /// Issues the tag of a probe that is about to be sent.
    pub fn next_tag(&self) -> ProbeTag {
        ProbeTag(self.counter.fetch_add(1, Ordering::SeqCst) + 1)
    }

    /// Demands from every instance an answer with a tag greater than `after`.
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
    /// Row of the database; replaced when the table changes limits or states.
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
    /// Starts the actor that owns the view, and a probe loop for each instance.
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

    /// The newest probe tag issued.
    pub fn current_tag(&self) -> ProbeTag {
        self.demand.current_tag()
    }

    /// Reports that an instance failed a request, so that the view is refreshed at
    /// once and not at the next poll.
    pub async fn suspect(&self, instance: InstanceIndex) {
        if self.detection == Detection::PollOnly {
            return;
        }
        // The actor stops only when the handle is dropped.
        let _ = self.actor.tell(ProbeFailed { instance }).await;
        self.demand.demand_after(self.demand.current_tag());
    }

    /// Waits for a primary that `check` accepts, as [`GroupHandle::wait_for`] does.
    /// Demands no answers if detection is [`Detection::PollOnly`].
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

    /// Waits until `check` returns a value for a view; returns `None` at the
    /// deadline. Demands answers newer than `since` at once, and new answers after
    /// each `POLL_PAUSE` of the wait.
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
                    self.demand.demand_after(self.demand.current_tag());
                    next_poll = Instant::now() + POLL_PAUSE;
                }
            }
        }
    }

    /// Locks out other requests, so that each uses a round of probes of its own.
    /// Serves only to measure what sharing rounds saves.
    pub async fn lock_unshared_round(&self) -> MutexGuard<'_, ()> {
        self.unshared_round.lock().await
    }

    /// The confirmed primary, if it accepts new work.
    pub fn usable_primary(&self, view: &GroupView) -> Option<ConfirmedPrimary> {
        view.primary()
            .filter(|primary| self.accepts_work(primary.instance))
    }

    /// Whether neither the table nor the platform's machine list marks the instance
    /// as leaving.
    pub fn accepts_work(&self, instance: InstanceIndex) -> bool {
        self.is_accepting_work(&self.row.load().instances[instance])
    }

    fn is_accepting_work(&self, instance: &Instance) -> bool {
        instance.state == BackendState::Active
            && !self.leaving_machines.load().contains(&instance.address)
    }

    /// Chooses an instance for a read; `None` if no instance can serve it now.
    pub fn choose(
        &self,
        view: &GroupView,
        required: Position,
        scope: ReadScope,
    ) -> Option<InstanceIndex> {
        choose_for_read(view, &self.candidates(), required, scope, &mut rand::rng())
    }

    /// Whether any replica could serve a read once the replica has caught up.
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
                accepts_work: self.is_accepting_work(instance),
                has_room: handle.has_room_for_read(),
            })
            .collect()
    }

    /// Hour of the day in UTC, shifted by the offset for rehearsing a table.
    fn hour(&self) -> u8 {
        let seconds = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_secs());
        let shifted = seconds.saturating_add_signed(self.hour_offset);
        let hour = shifted / SECONDS_PER_HOUR % HOURS_PER_DAY;
        u8::try_from(hour).unwrap_or_default()
    }
}
