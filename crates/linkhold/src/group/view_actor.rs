//! Actor that owns a group's view: records probe results, publishes snapshots and
//! logs every change.

use std::sync::Arc;

use kameo::Actor;
use kameo::message::{Context, Message};
use linkhold_core::group_view::{GroupView, InstanceIndex, InstanceStatus, ProbeTag, ViewChange};
use tokio::sync::watch;

use super::handle::ProbeDemand;
use crate::log_event::{Event, EventName};

/// Actor that owns one [`GroupView`].
#[derive(Actor)]
pub struct ViewActor {
    database: String,
    instance_names: Vec<String>,
    view: GroupView,
    published: watch::Sender<Arc<GroupView>>,
    demand: Arc<ProbeDemand>,
}

/// An instance answered a probe.
pub struct ProbeAnswered {
    /// Which instance.
    pub instance: InstanceIndex,
    /// Tag issued when the probe was sent.
    pub tag: ProbeTag,
    /// Status that the instance reported.
    pub status: InstanceStatus,
}

/// An instance did not answer a probe, or failed a request.
pub struct ProbeFailed {
    /// Which instance.
    pub instance: InstanceIndex,
}

impl ViewActor {
    /// An actor for a group whose instances have not answered yet.
    pub fn new(
        database: String,
        instance_names: Vec<String>,
        published: watch::Sender<Arc<GroupView>>,
        demand: Arc<ProbeDemand>,
    ) -> Self {
        let view = GroupView::new(instance_names.len());
        Self {
            database,
            instance_names,
            view,
            published,
            demand,
        }
    }

    fn publish(&self, changes: &[ViewChange]) {
        for change in changes {
            self.log(change);
            // A newer term in any answer may mean a new primary: probe all at once.
            if matches!(change, ViewChange::Term(_)) {
                self.demand.demand_after(self.demand.current_tag());
            }
        }
        self.published.send_replace(Arc::new(self.view.clone()));
    }

    fn log(&self, change: &ViewChange) {
        match change {
            ViewChange::Primary(Some(primary)) => Event::info(EventName::PrimaryChanged)
                .field("database", &self.database)
                .field("instance", &self.instance_names[primary.instance])
                .field("term", primary.term)
                .log(),
            ViewChange::Primary(None) => Event::warn(EventName::PrimaryChanged)
                .field("database", &self.database)
                .field("instance", "none")
                .log(),
            ViewChange::Term(term) => Event::info(EventName::TermChanged)
                .field("database", &self.database)
                .field("term", term)
                .log(),
            ViewChange::Reachable(instance, reachable) => {
                Event::info(EventName::InstanceReachable)
                    .field("database", &self.database)
                    .field("instance", &self.instance_names[*instance])
                    .field("reachable", reachable)
                    .log();
            }
        }
    }
}

impl Message<ProbeAnswered> for ViewActor {
    type Reply = ();

    async fn handle(&mut self, message: ProbeAnswered, _: &mut Context<Self, Self::Reply>) {
        let changes = self
            .view
            .record(message.instance, message.tag, message.status);
        self.publish(&changes);
    }
}

impl Message<ProbeFailed> for ViewActor {
    type Reply = ();

    async fn handle(&mut self, message: ProbeFailed, _: &mut Context<Self, Self::Reply>) {
        let changes = self.view.record_failure(message.instance);
        if !changes.is_empty() {
            self.publish(&changes);
        }
    }
}
