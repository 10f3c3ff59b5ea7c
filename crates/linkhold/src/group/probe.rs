//! Probes one instance over a dedicated connection.

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use linkhold_core::group_view::{InstanceIndex, InstanceStatus, ProbeTag, Role};
use linkhold_core::position::{Position, Term};

use super::handle::ProbeDemand;
use super::instance::InstanceHandle;
use super::view_actor::{ProbeAnswered, ProbeFailed, ViewActor};
use crate::backend::{BackendConnection, BackendError};
use crate::metrics::{Metrics, count};
use crate::settings::Settings;

/// First pause after a failed probe; doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(5);
const MAX_PAUSE: Duration = Duration::from_millis(100);
/// Idle connections kept to each instance, so that the first write to a new primary
/// does not wait for a connection.
const WARM_CONNECTIONS: usize = 1;

/// Context of a probe loop.
pub struct ProbeLoop {
    /// Index in the view.
    pub index: InstanceIndex,
    /// The instance.
    pub instance: Arc<InstanceHandle>,
    /// Demand for probes.
    pub demand: Arc<ProbeDemand>,
    /// Actor that owns the view.
    pub actor: ActorRef<ViewActor>,
    /// Time-outs and the status query.
    pub settings: Arc<Settings>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// Probes on demand, and at the probe interval if there is no demand, until the
/// actor that owns the view has stopped.
pub async fn run_probe_loop(probe_loop: ProbeLoop) {
    let mut connection = None;
    let mut last = ProbeTag::default();
    let mut pause = MIN_PAUSE;
    loop {
        let tag = probe_loop.demand.next_tag();
        count(&probe_loop.metrics.probes);
        let delivered = match probe_loop.probe(&mut connection).await {
            Ok(status) => {
                pause = MIN_PAUSE;
                last = tag;
                probe_loop.report_answer(tag, status).await
            }
            Err(_) => {
                connection = None;
                let delivered = probe_loop.report_failure().await;
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
                if delivered {
                    continue;
                }
                false
            }
        };
        if !delivered {
            return;
        }
        let interval = probe_loop.settings.probe_interval;
        let demand = probe_loop.demand.wait_for_demand(last);
        if tokio::time::timeout(interval, demand).await.is_err() {
            probe_loop.instance.pool.keep_warm(WARM_CONNECTIONS);
        }
    }
}

impl ProbeLoop {
    async fn probe(
        &self,
        connection: &mut Option<BackendConnection>,
    ) -> Result<InstanceStatus, BackendError> {
        let timeout = self.settings.probe_timeout;
        let ask = async {
            if connection.is_none() {
                *connection = Some(self.instance.pool.connect_for_probe().await?);
            }
            let open = connection.as_mut().expect("was just connected");
            open.query_value(&self.settings.status_query).await
        };
        let answer = tokio::time::timeout(timeout, ask)
            .await
            .map_err(|_| BackendError::TimedOut)??;
        parse_status(&answer).ok_or(BackendError::Protocol("status answer"))
    }

    async fn report_answer(&self, tag: ProbeTag, status: InstanceStatus) -> bool {
        let message = ProbeAnswered {
            instance: self.index,
            tag,
            status,
        };
        self.actor.tell(message).await.is_ok()
    }

    async fn report_failure(&self) -> bool {
        let message = ProbeFailed {
            instance: self.index,
        };
        self.actor.tell(message).await.is_ok()
    }
}

/// Parses `current_term log_term log_index role`.
fn parse_status(answer: &str) -> Option<InstanceStatus> {
    let mut words = answer.split_whitespace();
    let mut number = || words.next()?.parse::<u64>().ok();
    let current_term = Term(number()?);
    let position = Position::new(number()?, number()?);
    let role = match words.next()? {
        "primary" => Role::Primary,
        "replica" => Role::Replica,
        _ => return None,
    };
    Some(InstanceStatus {
        current_term,
        position,
        role,
    })
}
