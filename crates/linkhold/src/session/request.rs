//! Running of units on back ends, and what is said when something fails.
//!
//! # Invariants
//!
//! * [`Failure::NotRun`] is said only if no byte of the unit was sent, if the
//!   back end refused it as not being the primary, if the request's
//!   transaction was never told to commit, or if its key has been cancelled.
//! * The completion of a write is passed on only after its commit has been
//!   confirmed (see [`super::write`]).
//! * A unit that has been sent is sent again only if the back end proved that
//!   it did not run, or if it is a read that the caller marked repeatable and
//!   no byte of its answer has been passed on.

use std::sync::Arc;

use linkhold_core::classify::{Access, StatementKind};
use linkhold_core::group_view::InstanceIndex;
use linkhold_core::outcome::{Failure, NotRun, Unknown};
use linkhold_wire::WireError;
use linkhold_wire::reply::{self, ErrorFields, SessionStatus};
use tokio::time::Instant;

use super::exchange::{AnswerPolicy, Exchange, ExchangeError, ExchangeRun};
use super::lease::{Lease, LeaseFinder};
use super::plan::ReplyPlan;
use super::unit::Unit;
use super::write::Committed;
use super::{Held, Session};
use crate::backend::BackendError;
use crate::group::GroupHandle;
use crate::metrics::count;

const TOKEN_PARAMETER: &str = "linkhold.token";

/// What an exchange came to.
pub(super) enum Ran {
    Answered(Exchange),
    /// The back end failed after the unit had been sent.
    BackendFailed {
        /// Part of the answer has reached the caller.
        sent_to_caller: bool,
        /// Why its outcome is not known.
        reason: Unknown,
    },
}

impl Session {
    /// Runs a unit on the held lease, or on a new one.
    pub(super) async fn run_unit(&mut self, unit: &Unit) -> Result<(), WireError> {
        if let Some(held) = self.held.take() {
            return self.run_on_held(unit, held).await;
        }
        let access = self.state.stated_access.unwrap_or(unit.access());
        let begins_read_only = matches!(
            unit.single_statement(),
            Some(StatementKind::Begin { read_only: true })
        );
        match access {
            Access::Read => self.run_read(unit).await,
            Access::Write if begins_read_only => self.run_read(unit).await,
            Access::Write => self.run_write(unit).await,
        }
    }

    fn group(&self) -> Result<Arc<GroupHandle>, NotRun> {
        self.node
            .directory
            .get(&self.database)
            .ok_or(NotRun::UnknownDatabase)
    }

    /// Finds a lease, unless the caller cancels first.
    pub(super) async fn find_lease(
        &self,
        access: Access,
        in_transaction: bool,
        avoid: Option<InstanceIndex>,
    ) -> Result<Lease, NotRun> {
        let group = self.group()?;
        let finder = LeaseFinder {
            group: &group,
            state: &self.state,
            policy: self.node.settings.read_policy,
        };
        let find = async {
            match access {
                Access::Read => finder.for_read(avoid).await,
                Access::Write if in_transaction => finder.for_transaction().await,
                Access::Write => finder.for_write().await,
            }
        };
        tokio::select! {
            lease = find => lease,
            () = self.cancel.cancelled_while_waiting() => Err(NotRun::Cancelled),
        }
    }

    pub(super) async fn exchange(
        &mut self,
        unit: &Unit,
        lease: &mut Lease,
        policy: AnswerPolicy,
    ) -> Result<Ran, WireError> {
        let connection = lease.connection();
        self.cancel.enter(connection.cancel_key);
        let plan = match unit {
            Unit::Simple { frame, .. } => ReplyPlan::simple(frame.bytes()),
            Unit::Extended { messages, end } => ReplyPlan::extended(messages, *end, connection),
            Unit::Terminate | Unit::Unexpected => ReplyPlan::default(),
        };
        let mut run = ExchangeRun {
            connection,
            caller: &mut self.stream,
            policy,
            sent_to_caller: false,
            plan,
        };
        let result = run.run().await;
        let sent_to_caller = run.sent_to_caller;
        lease.cancelled |= self.cancel.leave();
        match result {
            Ok(exchange) => {
                lease.cancelled |= exchange.lost_track;
                Ok(Ran::Answered(exchange))
            }
            Err(ExchangeError::Caller(error)) => Err(error.into()),
            Err(ExchangeError::Backend(error)) => {
                lease.group.suspect(lease.instance).await;
                let reason = match error {
                    BackendError::TimedOut => Unknown::TimedOut,
                    _ => Unknown::ConnectionLost,
                };
                Ok(Ran::BackendFailed {
                    sent_to_caller,
                    reason,
                })
            }
        }
    }

    async fn run_read(&mut self, unit: &Unit) -> Result<(), WireError> {
        let mut avoid = None;
        loop {
            let arrived = Instant::now();
            let mut lease = match self.find_lease(Access::Read, false, avoid).await {
                Ok(lease) => {
                    self.node.metrics.read_wait.record(arrived.elapsed());
                    lease
                }
                Err(reason) => {
                    self.fail(unit, Failure::NotRun(reason));
                    return Ok(());
                }
            };
            match self
                .exchange(unit, &mut lease, AnswerPolicy::Stream)
                .await?
            {
                Ran::Answered(exchange) => {
                    self.count_read(&lease, unit);
                    self.note_settings(unit, &mut lease, &exchange);
                    self.state.raise_floor(lease.required);
                    self.settle(unit, lease, exchange);
                    return Ok(());
                }
                Ran::BackendFailed {
                    sent_to_caller,
                    reason,
                } => {
                    let may_repeat = self.state.repeatable
                        && !sent_to_caller
                        && avoid.is_none()
                        && self.node.retry_budget.try_spend();
                    if !may_repeat {
                        self.fail(unit, Failure::Unknown(reason));
                        return Ok(());
                    }
                    count(&self.node.metrics.retries);
                    avoid = Some(lease.instance);
                }
            }
        }
    }

    fn count_read(&self, lease: &Lease, unit: &Unit) {
        if !unit.executes() {
            return;
        }
        self.node.retry_budget.earn();
        let counter = if lease.on_primary {
            &self.node.metrics.reads_primary
        } else {
            &self.node.metrics.reads_replica
        };
        count(counter);
    }

    async fn run_on_held(&mut self, unit: &Unit, mut held: Held) -> Result<(), WireError> {
        let may_commit = unit.may_commit() && held.lease.term.is_some();
        let ends_batch = !held.in_transaction && held.lease.term.is_some();
        let policy = if may_commit || ends_batch {
            AnswerPolicy::Hold
        } else {
            AnswerPolicy::Stream
        };
        match self.exchange(unit, &mut held.lease, policy).await? {
            Ran::Answered(exchange) => {
                self.note_transaction_settings(unit, &mut held, &exchange);
                self.finish_on_held(unit, held, exchange).await;
            }
            Ran::BackendFailed { reason, .. } => {
                let key = held.lease.request_key.take();
                held.lease.close();
                self.state.end_transaction(false);
                if !may_commit && held.in_transaction {
                    self.lost_transaction = true;
                    self.fail(unit, Failure::NotRun(NotRun::BackendUnavailable));
                    return Ok(());
                }
                let failure = match key {
                    Some(key) => self.resolve(&key, reason).await,
                    None => Failure::Unknown(reason),
                };
                self.fail(unit, failure);
            }
        }
        Ok(())
    }

    async fn finish_on_held(&mut self, unit: &Unit, mut held: Held, exchange: Exchange) {
        if exchange.status != Some(SessionStatus::Idle) {
            let Held {
                lease,
                in_transaction,
                status,
            } = held;
            self.settle_as(unit, lease, exchange, in_transaction, status);
            return;
        }
        let committed = if held.in_transaction {
            exchange.saw_commit
        } else {
            exchange.error.is_none()
        };
        self.state.end_transaction(committed);
        let key = held.lease.request_key.take();
        let commit = Committed::on(&held.lease);
        let must_confirm = committed && commit.is_write();
        if must_confirm {
            held.lease.finish();
            self.acknowledge(unit, &commit, exchange, key.as_deref())
                .await;
        } else {
            self.state.raise_floor(held.lease.required);
            self.settle(unit, held.lease, exchange);
        }
    }

    /// Passes an answer on that needs no confirmation.
    pub(super) fn settle(&mut self, unit: &Unit, lease: Lease, exchange: Exchange) {
        self.settle_as(unit, lease, exchange, false, SessionStatus::Idle);
    }

    fn settle_as(
        &mut self,
        unit: &Unit,
        lease: Lease,
        exchange: Exchange,
        in_transaction: bool,
        status: SessionStatus,
    ) {
        self.put_answer(exchange.pending);
        match exchange.status {
            Some(SessionStatus::Idle) => {
                lease.finish();
                self.put_token();
                self.end_unit(unit);
            }
            Some(status) => {
                self.hold(lease, true, status);
                self.end_unit(unit);
            }
            // A Flush: the batch goes on.
            None => self.hold(lease, in_transaction, status),
        }
    }

    /// Adds an answer to the output, without a copy if there is nothing yet.
    pub(super) fn put_answer(&mut self, answer: bytes::BytesMut) {
        if self.output.is_empty() {
            self.output = answer;
        } else {
            self.output.extend_from_slice(&answer);
        }
    }

    pub(super) fn hold(&mut self, lease: Lease, in_transaction: bool, status: SessionStatus) {
        self.held = Some(Held {
            lease,
            in_transaction,
            status,
        });
    }

    /// Sends the session's token if it has moved.
    pub(super) fn put_token(&mut self) {
        if self.state.announced == self.state.floor {
            return;
        }
        self.state.announced = self.state.floor;
        let token = self.node.token_key.issue(&self.database, self.state.floor);
        reply::put_parameter_status(&mut self.output, TOKEN_PARAMETER, &token);
    }

    /// Ends a unit that did not complete: the final answer, at once, with the
    /// time to come back.
    pub(super) fn fail(&mut self, unit: &Unit, failure: Failure) {
        self.count_failure(failure);
        let fields = ErrorFields::error(failure.sqlstate(), failure.to_string())
            .with_detail(failure.detail(rand::random()));
        self.put_failure(unit, &fields);
    }

    /// Records a setting changed outside a transaction.
    fn note_settings(&mut self, unit: &Unit, lease: &mut Lease, exchange: &Exchange) {
        let Some((name, value)) = changed_setting(unit, exchange) else {
            return;
        };
        match name {
            Some(name) => self.state.change_setting(&name, value),
            None => self.state.settings.clear(),
        }
        lease.connection().settings = None;
    }

    /// Records a setting changed in a transaction, to be kept if it commits.
    fn note_transaction_settings(&mut self, unit: &Unit, held: &mut Held, exchange: &Exchange) {
        let Some((name, value)) = changed_setting(unit, exchange) else {
            return;
        };
        if let Some(name) = name {
            self.state.transaction_settings.push((name, value));
        }
        held.lease.connection().settings = None;
    }
}

/// Name and new value of a setting that the unit has changed; no name for
/// all settings, no value for a reset.
fn changed_setting(unit: &Unit, exchange: &Exchange) -> Option<(Option<String>, Option<String>)> {
    if exchange.error.is_some() || !unit.executes() {
        return None;
    }
    match unit.single_statement()? {
        StatementKind::Set {
            name,
            value,
            local: false,
        } => Some((Some(name.clone()), Some(value.clone()))),
        StatementKind::Reset { name } => Some((name.clone(), None)),
        _ => None,
    }
}
