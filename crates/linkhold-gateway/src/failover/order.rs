//! Orders a promotion.

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

use super::Trouble;
use super::diagnosis::Agreement;
use super::lease::{Claim, prepare_order, settle_order};
use crate::evidence::survey;
use crate::gateway::Gateway;
use crate::ports::{Platform, PromoteAnswer, PromoteOrder};

/// How long a successor may take to lead after the order was accepted.
const LEAD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often a successor is asked whether it leads, when nothing announces it.
const LEAD_QUESTION_INTERVAL: Duration = Duration::from_millis(400);

/// On what an order rests.
pub(super) struct Grounds {
    /// What is wrong with the primary.
    pub trouble: Trouble,
    /// The lease.
    pub claim: Claim,
    /// What the other nodes agreed to; `None` if the primary ended its term itself.
    pub agreement: Option<Agreement>,
}

impl Grounds {
    /// The last moment at which an order may be sent on these grounds.
    fn order_by(&self) -> Instant {
        let by_lease = self.claim.order_by();
        match &self.agreement {
            Some(agreement) => by_lease.min(agreement.asked_at + ORDER_WINDOW),
            None => by_lease,
        }
    }

    /// Nothing is ordered on these grounds.
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

    /// Tells whoever agreed that nothing of it comes any more.
    async fn release<P: Platform>(self, gateway: &Gateway<P>) {
        if let Some(agreement) = self.agreement {
            agreement.release(gateway).await;
        }
    }
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderEnd {
    /// It was not sent, or was refused.
    NotCarriedOut,
    /// It was taken, or may have been.
    MayBeCarriedOut,
}

/// Orders a promotion, and waits until the successor leads.
pub(super) async fn order<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    successor: &InstanceStatus,
    mut grounds: Grounds,
) -> OrderEnd {
    let Some(claim) = prepare_order(
        gateway,
        service,
        &grounds.claim,
        grounds.agreement.is_none(),
    )
    .await
    else {
        grounds.give_up(gateway, service, "lease_lost").await;
        return OrderEnd::NotCarriedOut;
    };
    grounds.claim = claim;
    let order_by = grounds.order_by();
    if Instant::now() >= order_by {
        grounds.give_up(gateway, service, "too_late").await;
        return OrderEnd::NotCarriedOut;
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
    // Others need not wait for it, nor this node if it orders another one.
    let ordered = grounds.claim.lease.clone();
    let settling = (is_settled && ordered.ordered_at.is_some())
        .then(|| tokio::spawn(settle_order(gateway.clone(), service.clone(), ordered)));
    let given_up = match answer {
        PromoteAnswer::Accepted | PromoteAnswer::Unknown => {
            await_lead(gateway, service, &successor.id).await;
            if answer == PromoteAnswer::Accepted && successor.role == Role::Primary {
                // It said that it led: nobody else is replaced, and those who agreed may use it.
                grounds.release(gateway).await;
            }
            return OrderEnd::MayBeCarriedOut;
        }
        PromoteAnswer::Refused => {
            // A newer token may have been seen: this one is not used without the
            // store again.
            gateway.leases.forget(service);
            "refused"
        }
        PromoteAnswer::Throttled => "throttled",
        PromoteAnswer::NotSent => "too_late",
    };
    grounds.give_up(gateway, service, given_up).await;
    if let Some(settling) = settling {
        // One that failed leaves the row as it was: the next claim waits for it.
        let _ = settling.await;
    }
    OrderEnd::NotCarriedOut
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
        .field("because", format_args!("{:?}", grounds.trouble))
        .field("lease_age_ms", age_ms(grounds.claim.asked_at))
        .field("agreed_ms_ago", agreed_ms_ago)
        .field("silent_former", silent_former)
        .field("answer", format_args!("{answer:?}"))
        .field("took_ms", started.elapsed().as_millis())
        .log();
}

/// Waits until the successor leads: it announces that, or says so when asked.
async fn await_lead<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    successor: &InstanceId,
) {
    let deadline = Instant::now() + LEAD_TIMEOUT;
    let mut changes = gateway.beliefs.subscribe();
    let mut ask_at = Instant::now() + LEAD_QUESTION_INTERVAL;
    while Instant::now() < deadline {
        changes.mark_unchanged();
        if gateway
            .beliefs
            .primary(service)
            .is_some_and(|primary| primary.id == *successor)
        {
            return;
        }
        if Instant::now() >= ask_at {
            ask_at = Instant::now() + LEAD_QUESTION_INTERVAL;
            let Some(instance) = gateway.beliefs.instance(successor) else {
                return;
            };
            let status = survey::status(gateway, &instance).await;
            if status.is_some_and(|status| status.role == Role::Primary) {
                gateway
                    .beliefs
                    .confirm_primary(successor, PrimarySource::Promoted);
                return;
            }
        }
        // Time passing is as good a reason to look again as a change.
        let _ = timeout_at(ask_at.min(deadline).into(), changes.changed()).await;
    }
}
