//! Orders the promotion of a successor and follows it up.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::position::Position;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::directory::PrimarySource;
use linkhold_core::service::failover::{InstanceStatus, ORDER_TIMEOUT};
use linkhold_core::service::instance::{InstanceId, Role};
use linkhold_core::service::withholding::ORDER_WINDOW;
use linkhold_events::Event;
use tokio::time::{timeout, timeout_at};

use super::FailoverReason;
use super::diagnosis::Agreement;
use super::lease::{Claim, claim, prepare_order, settle_order};
use super::service_survey::has_current_term;
use crate::evidence::survey;
use crate::gateway::Gateway;
use crate::ports::{Platform, PromoteAnswer, PromoteOrder};

/// Time that a successor may take to become primary after it was ordered.
const PROMOTION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often a successor is asked for its status while it does not announce its new
/// role.
const STATUS_INTERVAL: Duration = Duration::from_millis(400);

/// The claim and the agreement that an order is based on.
pub(super) struct Grounds {
    /// Why the primary is replaced.
    pub reason: FailoverReason,
    /// The claimed lease.
    pub claim: Claim,
    /// Agreement of the other nodes; `None` if the primary ended its term itself.
    pub agreement: Option<Agreement>,
}

impl Grounds {
    /// The latest moment to send an order on these grounds.
    pub fn order_by(&self) -> Instant {
        let by_lease = self.claim.order_by();
        match &self.agreement {
            Some(agreement) => by_lease.min(agreement.asked_at + ORDER_WINDOW),
            None => by_lease,
        }
    }

    /// The same grounds under a lease for this successor. If that is not the one for
    /// which the lease was claimed, the lease is claimed again. Gives up and returns
    /// `None` if another node may have claimed it in between.
    pub async fn claim_for<P: Platform>(
        mut self,
        gateway: &Gateway<P>,
        service: &ServiceName,
        successor: &InstanceId,
    ) -> Option<Self> {
        let claimed = &self.claim.lease;
        if claimed.may_promote(successor) {
            return Some(self);
        }
        let next = claim(gateway, service, successor).await;
        let Some(next) = next.filter(|next| next.lease.directly_follows(claimed)) else {
            self.give_up(gateway, service, "lease_lost").await;
            return None;
        };
        Event::info("successor_changed")
            .field("service", service)
            .field("from", claimed.successor.as_ref().map_or("", |it| &it.0))
            .field("to", successor)
            .field("token", next.lease.token)
            .log();
        self.claim = next;
        Some(self)
    }

    /// Logs why nothing is ordered on these grounds, and releases the nodes that
    /// agreed.
    pub async fn give_up<P: Platform>(
        self,
        gateway: &Gateway<P>,
        service: &ServiceName,
        reason: &'static str,
    ) {
        Event::info("order_given_up")
            .field("service", service)
            .field("reason", reason)
            .log();
        self.release(gateway).await;
    }

    /// Releases the nodes that agreed: no order takes effect any more.
    async fn release<P: Platform>(self, gateway: &Gateway<P>) {
        if let Some(agreement) = self.agreement {
            agreement.release(gateway).await;
        }
    }
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderOutcome {
    /// It was not sent, or was refused.
    NotCarriedOut,
    /// It was accepted, or may have been.
    MayBeCarriedOut,
}

/// Orders a promotion and waits until the successor is primary.
pub(super) async fn order<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    successor: &InstanceStatus,
    mut grounds: Grounds,
) -> OrderOutcome {
    let Some(claim) = prepare_order(
        gateway,
        service,
        &grounds.claim,
        grounds.agreement.is_none(),
    )
    .await
    else {
        grounds.give_up(gateway, service, "lease_lost").await;
        return OrderOutcome::NotCarriedOut;
    };
    grounds.claim = claim;
    // The lease's row may tell a term that was proved after the successor was chosen.
    if !has_current_term(gateway, service, successor) {
        grounds.give_up(gateway, service, "newer_term").await;
        return OrderOutcome::NotCarriedOut;
    }
    let order_by = grounds.order_by();
    if Instant::now() >= order_by {
        grounds.give_up(gateway, service, "too_late").await;
        return OrderOutcome::NotCarriedOut;
    }
    let lease = &grounds.claim.lease;
    let order = PromoteOrder {
        service: service.to_string(),
        successor: successor.id.clone(),
        holder: lease.holder.clone(),
        token: lease.token,
        send_by: order_by,
    };
    gateway.metrics.promotions.add();
    gateway.leases.record_order(service, order.token);
    let started = Instant::now();
    let answer = timeout(ORDER_TIMEOUT, gateway.platform.promote(&order))
        .await
        .unwrap_or(PromoteAnswer::Unknown);
    log_order(&order, successor.received, &grounds, answer, started);
    let is_settled = answer != PromoteAnswer::Unknown
        && gateway.leases.record_order_answer(service, order.token);
    // Once the order is settled, neither other nodes nor a later order of this node
    // have to wait for it.
    let ordered = grounds.claim.lease.clone();
    let settling = (is_settled && ordered.ordered_at.is_some())
        .then(|| tokio::spawn(settle_order(gateway.clone(), service.clone(), ordered)));
    let given_up = match answer {
        PromoteAnswer::Accepted | PromoteAnswer::Unknown => {
            await_promotion(gateway, service, &successor.id).await;
            if answer == PromoteAnswer::Accepted && successor.role == Role::Primary {
                // The successor already had the role: no other primary is replaced, and
                // the nodes that agreed may use it.
                grounds.release(gateway).await;
            }
            return OrderOutcome::MayBeCarriedOut;
        }
        PromoteAnswer::Refused => {
            // The authority may have seen a newer token: this one is not used without
            // the store again.
            gateway.leases.forget(service);
            "refused"
        }
        PromoteAnswer::Throttled => "throttled",
        PromoteAnswer::NotSent => "too_late",
    };
    grounds.give_up(gateway, service, given_up).await;
    if let Some(settling) = settling {
        // If this failed, the row still notes the order, and the next claim waits for
        // it.
        let _ = settling.await;
    }
    OrderOutcome::NotCarriedOut
}

fn log_order(
    order: &PromoteOrder,
    received: Position,
    grounds: &Grounds,
    answer: PromoteAnswer,
    started: Instant,
) {
    let agreement = grounds.agreement.as_ref();
    let silent_former = agreement.map_or(0, |agreement| agreement.silent_former);
    let agreed_ms_ago = agreement.map_or_else(
        || "handed_over".to_owned(),
        |agreement| (started - agreement.asked_at).as_millis().to_string(),
    );
    let age_ms = |moment: Instant| started.saturating_duration_since(moment).as_millis();
    Event::info("promotion_ordered")
        .field("service", &order.service)
        .field("successor", &order.successor)
        .field("token", order.token)
        .field("received", received)
        .field("because", format_args!("{:?}", grounds.reason))
        .field("lease_age_ms", age_ms(grounds.claim.asked_at))
        .field("agreed_ms_ago", agreed_ms_ago)
        .field("silent_former", silent_former)
        .field("answer", format_args!("{answer:?}"))
        .field("took_ms", started.elapsed().as_millis())
        .log();
}

/// Waits until the successor is primary: it announces the role, or reports it when
/// asked.
async fn await_promotion<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    successor: &InstanceId,
) {
    let deadline = Instant::now() + PROMOTION_TIMEOUT;
    let mut changes = gateway.cluster.subscribe();
    let mut ask_at = Instant::now() + STATUS_INTERVAL;
    while Instant::now() < deadline {
        changes.mark_unchanged();
        if gateway
            .cluster
            .primary(service)
            .is_some_and(|primary| primary.id == *successor)
        {
            return;
        }
        if Instant::now() >= ask_at {
            ask_at = Instant::now() + STATUS_INTERVAL;
            let Some(instance) = gateway.cluster.instance(successor) else {
                return;
            };
            let status = survey::status(gateway, &instance).await;
            if status.is_some_and(|status| status.role == Role::Primary) {
                gateway
                    .cluster
                    .confirm_primary(successor, PrimarySource::Promoted);
                return;
            }
        }
        // Checks again after a change or a timeout alike.
        let _ = timeout_at(ask_at.min(deadline).into(), changes.changed()).await;
    }
}
