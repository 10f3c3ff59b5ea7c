//! Forwarding of statements to the owners of connections.
//!
//! Where few nodes own the connections to an instance
//! ([`linkhold_core::service::owners`]), every other node has an owner make the whole
//! attempt: take a connection, apply the session's state to it, run the statement. The
//! owner runs the same code ([`crate::request::attempt`]) as for its own callers and
//! reports how the attempt ended. The node that the caller is connected to decides what
//! is retried and what the caller is answered.
//!
//! # Invariants
//!
//! * An owner runs a statement at most once and retries nothing. Another owner is asked
//!   only if the statement did not run, reads, or opens a transaction, which the lost
//!   owner can never commit.
//! * A statement that was handed to a stream which broke before an answer came counts
//!   as sent to the instance; one that was not handed over yet certainly did not run.
//! * A lent connection serves only the transaction that opened it. It is given back
//!   when the transaction has ended, the asking node releases it, its stream ends, or
//!   no statement comes for longer than a transaction may be idle.
//! * Time limits are passed on as the time that is left, so clocks need not agree.

pub(crate) mod link;
mod owner;
mod translate;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::evidence::Sample;
use linkhold_core::service::instance::Instance;
use linkhold_core::service::session::{Access, SessionValues};
use linkhold_events::Event;
use linkhold_peer::{ForwardMessage, ForwardOutcome, ForwardStatement, milliseconds};

use crate::gateway::Gateway;
use crate::owners::{InstanceOwners, PermittedOwners};
use crate::ports::{BackendErrorKind, Platform};
use crate::request::attempt::{Answer, AttemptLimits, AttemptOutcome, HeldConnection, NotRunCause};
use crate::request::batch::{TransactionFrame, Work};
use crate::request::exchange::InFlight;
use crate::request::principal::Principal;

use link::{CallFailure, Link};
pub(crate) use owner::serve;

/// How long an owner may take to answer a question for evidence.
const EVIDENCE_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection that an owner holds for a transaction of this node.
pub(crate) struct LentConnection {
    link: Arc<Link>,
    /// Number of the statement that opened the transaction; `None` once the
    /// connection is given back.
    number: Option<u64>,
    instance: Arc<Instance>,
}

impl LentConnection {
    /// The instance it is connected to.
    pub fn instance(&self) -> &Arc<Instance> {
        &self.instance
    }

    /// Address of the node that holds it.
    pub fn owner(&self) -> SocketAddr {
        self.link.owner()
    }

    /// Gives the connection back; its open transaction is rolled back.
    pub fn release(mut self) {
        self.give_back(false);
    }

    fn give_back(&mut self, close: bool) {
        if let Some(number) = self.number.take() {
            self.link.send(ForwardMessage::Release { number, close });
        }
    }
}

impl Drop for LentConnection {
    fn drop(&mut self) {
        self.give_back(true);
    }
}

/// Sends one of `owners` a statement that is a transaction of its own or opens one;
/// `None` if no owner takes it, in which case it did not run.
pub(crate) async fn run<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    owners: &PermittedOwners,
    instance: &Arc<Instance>,
    principal: Principal<'_>,
    work: &Work,
    frame: TransactionFrame,
    bounds: AttemptLimits,
) -> Option<AttemptOutcome<P>> {
    let mut candidates: Vec<SocketAddr> = owners.addresses().to_vec();
    let mut retry_after: Option<Duration> = None;
    loop {
        if Instant::now() >= bounds.answer_by {
            return Some(AttemptOutcome::NotRun(NotRunCause::NoConnection));
        }
        let Some(owner) = gateway.forwarding.choose(&candidates) else {
            // Every owner that may send to the cold instance has used up its allowance.
            let cause = NotRunCause::WarmingUp(retry_after?);
            return Some(AttemptOutcome::NotRun(cause));
        };
        let link = gateway.forwarding.link(owner, gateway.fleet.key()?);
        let statement = ForwardStatement {
            number: rand::random(),
            transaction: None,
            instance: instance.id.0.to_string(),
            values: translate::values(principal.values),
            work: translate::work(work),
            frame: translate::frame(frame),
            is_read: bounds.urgency.is_read,
            priority: bounds.urgency.priority,
            connection_within_ms: milliseconds_until(bounds.connection_by),
            answer_within_ms: milliseconds_until(bounds.answer_by),
            tenant: translate::tenant(principal.holder),
            regions: principal.regions.to_list(),
        };
        gateway.metrics.forwarded.add();
        let call = Call {
            gateway,
            link: &link,
            instance,
            work,
        };
        // A lost owner cannot make a read or an open transaction take effect.
        let is_repeatable =
            work.access() == Access::Read || matches!(frame, TransactionFrame::Begin { .. });
        match call.run(statement, bounds.answer_by, is_repeatable).await {
            // Another owner may know that the instance is warm, or have allowance left.
            CallEnd::AttemptOutcome(AttemptOutcome::NotRun(NotRunCause::WarmingUp(after))) => {
                retry_after = Some(retry_after.map_or(after, |earliest| earliest.min(after)));
                candidates.retain(|other| *other != owner);
            }
            CallEnd::AttemptOutcome(attempt) => return Some(attempt),
            CallEnd::NotTaken(why) => gateway.forwarding.suspend(owner, why),
        }
    }
}

/// Runs a statement in the open transaction of a lent connection.
pub(crate) async fn run_in_transaction<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    mut lent: LentConnection,
    principal: Principal<'_>,
    work: &Work,
    answer_by: Instant,
) -> AttemptOutcome<P> {
    let opened_by = lent.number.take();
    let statement = ForwardStatement {
        number: rand::random(),
        transaction: opened_by,
        instance: lent.instance.id.0.to_string(),
        values: translate::values(principal.values),
        work: translate::work(work),
        frame: translate::frame(TransactionFrame::InTransaction),
        is_read: false,
        priority: 0,
        connection_within_ms: 0,
        answer_within_ms: milliseconds_until(answer_by),
        // The lent connection already belongs to the tenant.
        tenant: None,
        regions: principal.regions.to_list(),
    };
    let call = Call {
        gateway,
        link: &lent.link,
        instance: &lent.instance,
        work,
    };
    match call.run(statement, answer_by, false).await {
        CallEnd::AttemptOutcome(attempt) => attempt,
        // The owner lost the connection, which rolls its transaction back.
        CallEnd::NotTaken(_) => AttemptOutcome::NotRun(NotRunCause::Unreachable),
    }
}

/// A call to an owner for one statement.
struct Call<'a, P: Platform> {
    gateway: &'a Arc<Gateway<P>>,
    link: &'a Arc<Link>,
    instance: &'a Arc<Instance>,
    work: &'a Work,
}

/// How a call ended.
enum CallEnd<P: Platform> {
    AttemptOutcome(AttemptOutcome<P>),
    /// The owner did not take the statement, or is lost and cannot make it take effect.
    /// Holds the reason that is logged.
    NotTaken(&'static str),
}

impl<P: Platform> Call<'_, P> {
    /// Sends the owner the statement to run. If `is_repeatable`, gives up when the owner
    /// is silent.
    async fn run(
        &self,
        statement: ForwardStatement,
        answer_by: Instant,
        is_repeatable: bool,
    ) -> CallEnd<P> {
        // When dropped, has the owner release whatever it still holds for this call.
        let mut lent = LentConnection {
            link: self.link.clone(),
            number: Some(statement.transaction.unwrap_or(statement.number)),
            instance: self.instance.clone(),
        };
        let sent_at = Instant::now();
        let in_flight = InFlight::start(self.gateway, self.instance);
        let outcome = self.link.call(statement, answer_by, is_repeatable).await;
        drop(in_flight);
        self.log_failure(&outcome, sent_at);
        match outcome {
            Ok(outcome) => self.handle_outcome(outcome, lent, sent_at),
            // If the owner is alive, dropping `lent` releases what it holds for the
            // transaction.
            Err(CallFailure::NotSent) => CallEnd::NotTaken("unreachable"),
            Err(CallFailure::Broken) => {
                lent.number = None;
                CallEnd::AttemptOutcome(AttemptOutcome::Lost)
            }
            Err(CallFailure::OwnerSilent) if is_repeatable => CallEnd::NotTaken("silent"),
            Err(CallFailure::OwnerSilent) => {
                let owner = self.link.owner();
                self.gateway.forwarding.suspend(owner, "silent");
                CallEnd::AttemptOutcome(AttemptOutcome::TimedOut)
            }
            Err(CallFailure::NoAnswer) => {
                self.gateway.statement_timed_out(self.instance, sent_at);
                CallEnd::AttemptOutcome(AttemptOutcome::TimedOut)
            }
        }
    }

    /// Logs a statement to which the owner returned no answer of the instance.
    fn log_failure(&self, outcome: &Result<ForwardOutcome, CallFailure>, sent_at: Instant) {
        if matches!(outcome, Ok(ForwardOutcome::Answered { .. })) {
            return;
        }
        Event::info("forwarded_statement_failed")
            .field("request", String::from_utf8_lossy(self.work.id()))
            .field("instance", &self.instance.id)
            .field("owner", self.link.owner())
            .field("outcome", format_args!("{outcome:?}"))
            .field("took_ms", sent_at.elapsed().as_millis())
            .log();
    }

    fn handle_outcome(
        &self,
        outcome: ForwardOutcome,
        mut lent: LentConnection,
        sent_at: Instant,
    ) -> CallEnd<P> {
        let gateway = self.gateway;
        let is_lent = matches!(outcome, ForwardOutcome::Answered { is_lent: true, .. });
        if !is_lent {
            lent.number = None;
        }
        CallEnd::AttemptOutcome(match outcome {
            ForwardOutcome::Answered { reply, begin, .. } => {
                let reply = translate::reply_from(reply);
                let took = sent_at.elapsed();
                gateway.record_instance_answer(&self.instance.id, took, reply.position);
                AttemptOutcome::Answered(Answer {
                    reply,
                    begin: begin.map(|begin| (sent_at, translate::reply_from(begin))),
                    held: HeldConnection::Lent(lent),
                    sent_at,
                })
            }
            ForwardOutcome::NotOwner => return CallEnd::NotTaken("not_owner"),
            ForwardOutcome::NoConnection => AttemptOutcome::NotRun(NotRunCause::NoConnection),
            ForwardOutcome::Unreachable => {
                gateway.connection_lost(self.instance);
                AttemptOutcome::NotRun(NotRunCause::Unreachable)
            }
            ForwardOutcome::Refused(kind) => {
                let kind: BackendErrorKind = translate::error_from(kind);
                gateway.note_refusal(self.instance, kind);
                AttemptOutcome::NotRun(NotRunCause::Refused(kind))
            }
            ForwardOutcome::Ineligible(reason) => {
                let reason = translate::ineligible_from(reason);
                AttemptOutcome::NotRun(NotRunCause::Ineligible(reason))
            }
            ForwardOutcome::WarmingUp(after_ms) => {
                let after = Duration::from_millis(after_ms);
                AttemptOutcome::NotRun(NotRunCause::WarmingUp(after))
            }
            ForwardOutcome::Lost => {
                gateway.connection_lost(self.instance);
                AttemptOutcome::Lost
            }
            ForwardOutcome::TimedOut => {
                gateway.statement_timed_out(self.instance, sent_at);
                AttemptOutcome::TimedOut
            }
        })
    }
}

/// Asks an owner of a primary's connections for evidence of the log's position that
/// covers `moment`; `None` if no owner can be asked or it has none.
pub(crate) async fn ask_evidence<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    owners: &InstanceOwners,
    primary: &Instance,
    moment: Instant,
) -> Option<Sample> {
    let owner = gateway.forwarding.choose(&owners.others())?;
    let link = gateway.forwarding.link(owner, gateway.fleet.key()?);
    let asked_at = Instant::now();
    let max_age = asked_at.saturating_duration_since(moment);
    let answer = link
        .ask_evidence(primary, max_age, EVIDENCE_TIMEOUT)
        .await?;
    Some(Sample {
        sent_at: asked_at.checked_sub(answer.age)?,
        position: answer.position?,
    })
}

/// Whole milliseconds left until a moment, rounded down.
fn milliseconds_until(moment: Instant) -> u64 {
    milliseconds(moment.saturating_duration_since(Instant::now()))
}

/// The session values that came with a statement.
fn session_values(statement: &ForwardStatement) -> SessionValues {
    translate::values_from(&statement.values)
}
