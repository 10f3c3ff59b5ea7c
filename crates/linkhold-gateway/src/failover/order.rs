//! Orders a promotion.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::position::Position;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::directory::PrimarySource;
use linkhold_core::service::failover::InstanceStatus;
use linkhold_core::service::instance::{InstanceId, Role};
use linkhold_events::Event;
use tokio::time::{timeout, timeout_at};

use super::Trouble;
use super::diagnosis::Agreement;
use super::lease::Claim;
use crate::gateway::Gateway;
use crate::ports::{Platform, PromoteAnswer, PromoteOrder};
use crate::survey;

/// How long an order to promote may take to be answered.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2_500);
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
    /// What the other nodes agreed to.
    pub agreement: Agreement,
}

/// Orders a promotion, and waits until the successor leads.
pub(super) async fn order<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    successor: &InstanceStatus,
    grounds: &Grounds,
) {
    let lease = &grounds.claim.lease;
    let order = PromoteOrder {
        service: service.to_string(),
        successor: successor.id.clone(),
        holder: lease.holder.clone(),
        token: lease.token,
    };
    gateway.metrics.promotions.add();
    let started = Instant::now();
    let answer = timeout(ORDER_TIMEOUT, gateway.platform.promote(&order))
        .await
        .unwrap_or(PromoteAnswer::Unknown);
    log_order(&order, successor.received, grounds, answer, started);
    if answer == PromoteAnswer::Refused {
        // A newer token may have been seen: this one is not used without the
        // store again.
        gateway.leases.lost(service);
    }
    if matches!(answer, PromoteAnswer::Accepted | PromoteAnswer::Unknown) {
        await_lead(gateway, service, &successor.id).await;
    }
}

fn log_order(
    order: &PromoteOrder,
    received: Position,
    grounds: &Grounds,
    answer: PromoteAnswer,
    started: Instant,
) {
    let age_ms = |moment: Instant| started.saturating_duration_since(moment).as_millis();
    Event::info("promotion_ordered")
        .field("service", &order.service)
        .field("successor", &order.successor)
        .field("token", order.token)
        .field("received", received)
        .field("because", format_args!("{:?}", grounds.trouble))
        .field("lease_age_ms", age_ms(grounds.claim.asked_at))
        .field("agreed_ms_ago", age_ms(grounds.agreement.asked_at))
        .field("silent_former", grounds.agreement.silent_former)
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
