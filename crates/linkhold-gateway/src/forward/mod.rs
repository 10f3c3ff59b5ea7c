//! Statements that owners of connections run for other nodes.
//!
//! Where few nodes own the connections to an instance
//! ([`linkhold_core::service::owners`]), a node that is none of them has an
//! owner make the whole try: take a connection, bring it to the session's state,
//! run the statement. The owner runs the same code ([`crate::request::attempt`]) as for
//! its own callers and tells how the try ended; what is tried again, and what a
//! caller is told, is decided by the node that the caller is connected to.
//!
//! # Invariants
//!
//! * An owner runs a statement at most once and tries nothing again. Another
//!   owner is asked only if the statement ran nowhere, reads, or opens a
//!   transaction, which the lost owner can never commit.
//! * What was handed to a stream that broke before an answer came is taken to
//!   have been sent to the instance; what was not handed over yet certainly ran
//!   nowhere.
//! * A lent connection serves the transaction that opened it alone. It goes back
//!   when the transaction has ended, the asking node gives it up, its stream
//!   ends, or nothing is asked for longer than a transaction may rest.
//! * Time limits are handed on as what is left of them, so clocks need not agree.

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

/// How long an owner may take to tell evidence.
const EVIDENCE_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection that an owner holds for a transaction of this node.
pub(crate) struct LentConnection {
    link: Arc<Link>,
    /// Number of the statement that opened the transaction; `None` once it is
    /// given back.
    number: Option<u64>,
    instance: Arc<Instance>,
}

impl LentConnection {
    /// The instance it leads to.
    pub fn instance(&self) -> &Arc<Instance> {
        &self.instance
    }

    /// The node that holds it.
    pub fn owner(&self) -> SocketAddr {
        self.link.owner()
    }

    /// Gives it back; what is open on it is rolled back.
    pub fn release(mut self) {
        self.give_back(false);
    }

    fn give_back(&mut self, close: bool) {
        if let Some(number) = self.number.take() {
            self.link.tell(ForwardMessage::Release { number, close });
        }
    }
}

impl Drop for LentConnection {
    fn drop(&mut self) {
        self.give_back(true);
    }
}

/// Has one of `owners` run a statement that stands alone or opens a transaction;
/// `None` if no owner takes it, in which case nothing of it ran.
pub(crate) async fn run<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    owners: &PermittedOwners,
    instance: &Arc<Instance>,
    principal: Principal<'_>,
    work: &Work,
    frame: TransactionFrame,
    bounds: AttemptLimits,
) -> Option<AttemptOutcome<P>> {
    let mut left: Vec<SocketAddr> = owners.addresses().to_vec();
    let mut held_off: Option<Duration> = None;
    loop {
        if Instant::now() >= bounds.answer_by {
            return Some(AttemptOutcome::NotRun(NotRunCause::NoConnection));
        }
        let Some(owner) = gateway.forwarding.choose(&left) else {
            // None of those who may send to it has room for now.
            let cause = NotRunCause::WarmingUp(held_off?);
            return Some(AttemptOutcome::NotRun(cause));
        };
        let link = gateway.forwarding.link(owner, gateway.fleet.key()?);
        let statement = ForwardStatement {
            number: rand::random(),
            lent: None,
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
        // Nothing of these can be kept by an owner that is lost.
        let repeatable =
            work.access() == Access::Read || matches!(frame, TransactionFrame::Begin { .. });
        match call.run(statement, bounds.answer_by, repeatable).await {
            // Another owner may know that the instance is warm, or have room.
            Ended::AttemptOutcome(AttemptOutcome::NotRun(NotRunCause::WarmingUp(after))) => {
                held_off = Some(held_off.map_or(after, |least| least.min(after)));
                left.retain(|other| *other != owner);
            }
            Ended::AttemptOutcome(attempt) => return Some(attempt),
            Ended::NotTaken(why) => gateway.forwarding.pass_over(owner, why),
        }
    }
}

/// Runs a statement in the transaction of a lent connection.
pub(crate) async fn run_on<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    mut lent: LentConnection,
    principal: Principal<'_>,
    work: &Work,
    answer_by: Instant,
) -> AttemptOutcome<P> {
    let opened_by = lent.number.take();
    let statement = ForwardStatement {
        number: rand::random(),
        lent: opened_by,
        instance: lent.instance.id.0.to_string(),
        values: translate::values(principal.values),
        work: translate::work(work),
        frame: translate::frame(TransactionFrame::InTransaction),
        is_read: false,
        priority: 0,
        connection_within_ms: 0,
        answer_within_ms: milliseconds_until(answer_by),
        // The lent connection is its tenant's already.
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
        Ended::AttemptOutcome(attempt) => attempt,
        // The owner lost the connection, which undoes what was open on it.
        Ended::NotTaken(_) => AttemptOutcome::NotRun(NotRunCause::Unreachable),
    }
}

/// One statement with an owner.
struct Call<'a, P: Platform> {
    gateway: &'a Arc<Gateway<P>>,
    link: &'a Arc<Link>,
    instance: &'a Arc<Instance>,
    work: &'a Work,
}

/// How a call ended.
enum Ended<P: Platform> {
    AttemptOutcome(AttemptOutcome<P>),
    /// The owner did not take it, or is lost and can keep nothing of it.
    NotTaken(&'static str),
}

impl<P: Platform> Call<'_, P> {
    /// Has it run. One that is `repeatable` is given up if the owner is silent.
    async fn run(
        &self,
        statement: ForwardStatement,
        answer_by: Instant,
        repeatable: bool,
    ) -> Ended<P> {
        // Whatever becomes of this call, the owner is told to let go of what
        // it still holds for it.
        let mut lent = LentConnection {
            link: self.link.clone(),
            number: Some(statement.lent.unwrap_or(statement.number)),
            instance: self.instance.clone(),
        };
        let sent_at = Instant::now();
        let in_flight = InFlight::start(self.gateway, self.instance);
        let outcome = self.link.call(statement, answer_by, repeatable).await;
        drop(in_flight);
        self.log_failure(&outcome, sent_at);
        match outcome {
            Ok(outcome) => self.judge(outcome, lent, sent_at),
            // What the owner holds for the transaction, if it lives, goes back.
            Err(CallFailure::NotSent) => Ended::NotTaken("unreachable"),
            Err(CallFailure::Broken) => {
                lent.number = None;
                Ended::AttemptOutcome(AttemptOutcome::Lost)
            }
            Err(CallFailure::OwnerSilent) if repeatable => Ended::NotTaken("silent"),
            Err(CallFailure::OwnerSilent) => {
                let owner = self.link.owner();
                self.gateway.forwarding.pass_over(owner, "silent");
                Ended::AttemptOutcome(AttemptOutcome::TimedOut)
            }
            Err(CallFailure::NoAnswer) => {
                self.gateway.instance_silent(self.instance, sent_at);
                Ended::AttemptOutcome(AttemptOutcome::TimedOut)
            }
        }
    }

    /// Logs a statement that its owner did not have answered.
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

    fn judge(
        &self,
        outcome: ForwardOutcome,
        mut lent: LentConnection,
        sent_at: Instant,
    ) -> Ended<P> {
        let gateway = self.gateway;
        let is_lent = matches!(outcome, ForwardOutcome::Answered { is_lent: true, .. });
        if !is_lent {
            lent.number = None;
        }
        Ended::AttemptOutcome(match outcome {
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
            ForwardOutcome::NotOwner => return Ended::NotTaken("not_owner"),
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
                gateway.instance_silent(self.instance, sent_at);
                AttemptOutcome::TimedOut
            }
        })
    }
}

/// Asks an owner of a primary's connections for evidence of it that covers `moment`;
/// `None` if none tells any.
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

/// Values of a session as they were handed over.
fn session_values(statement: &ForwardStatement) -> SessionValues {
    translate::values_from(&statement.values)
}
