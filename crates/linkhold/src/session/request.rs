//! Runs units on back ends and decides what to report when one fails.
//!
//! # Invariants
//!
//! * [`Failure::NotRun`] is reported only if no byte of the unit was sent, if the
//!   back end refused it because it is not the primary, if no COMMIT was sent for
//!   the request's transaction, or if its key has been cancelled.
//! * The completion of a write is forwarded only after its commit has been
//!   confirmed (see [`super::write`]).
//! * A unit that has been sent is sent again only if the back end proved that
//!   it did not run, or if it is a read that the caller marked repeatable and
//!   no byte of its answer has been forwarded.

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
use super::write::UnconfirmedCommit;
use super::{HeldLease, Session};
use crate::backend::BackendError;
use crate::group::GroupHandle;
use crate::metrics::count;

const TOKEN_PARAMETER: &str = "linkhold.token";

/// How an exchange with a back end ended.
pub(super) enum ExchangeOutcome {
    Answered(Exchange),
    /// The back end failed after the unit had been sent.
    BackendFailed {
        /// Whether part of the answer has been sent to the caller.
        sent_to_caller: bool,
        /// Why the outcome is unknown.
        reason: Unknown,
    },
}

impl Session {
    /// Runs a unit on the held lease, or on a new one.
    pub(super) async fn run_unit(&mut self, unit: &Unit) -> Result<(), WireError> {
        if let Some(held) = self.held.take() {
            return self.run_on_held(unit, held).await;
        }
        let access = self.state.declared_access.unwrap_or(unit.access());
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

    /// Finds a lease; fails with [`NotRun::Cancelled`] if the caller cancels first.
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
    ) -> Result<ExchangeOutcome, WireError> {
        let connection = lease.connection();
        self.cancel.start_statement(connection.cancel_key);
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
        lease.must_close |= self.cancel.end_statement();
        match result {
            Ok(exchange) => {
                lease.must_close |= exchange.statements_out_of_sync;
                Ok(ExchangeOutcome::Answered(exchange))
            }
            Err(ExchangeError::Caller(error)) => Err(error.into()),
            Err(ExchangeError::Backend(error)) => {
                lease.group.suspect(lease.instance).await;
                let reason = match error {
                    BackendError::TimedOut => Unknown::TimedOut,
                    _ => Unknown::ConnectionLost,
                };
                Ok(ExchangeOutcome::BackendFailed {
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
                    self.fail_unit(unit, Failure::NotRun(reason));
                    return Ok(());
                }
            };
            match self
                .exchange(unit, &mut lease, AnswerPolicy::Stream)
                .await?
            {
                ExchangeOutcome::Answered(exchange) => {
                    self.count_read(&lease, unit);
                    self.record_setting(unit, &mut lease, &exchange);
                    self.state.raise_floor(lease.required);
                    self.forward_answer(unit, lease, exchange);
                    return Ok(());
                }
                ExchangeOutcome::BackendFailed {
                    sent_to_caller,
                    reason,
                } => {
                    let may_repeat = self.state.repeatable
                        && !sent_to_caller
                        && avoid.is_none()
                        && self.node.retry_budget.try_spend();
                    if !may_repeat {
                        self.fail_unit(unit, Failure::Unknown(reason));
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

    async fn run_on_held(&mut self, unit: &Unit, mut held: HeldLease) -> Result<(), WireError> {
        let may_commit = unit.may_commit() && held.lease.term.is_some();
        let ends_batch = !held.in_transaction && held.lease.term.is_some();
        let policy = if may_commit || ends_batch {
            AnswerPolicy::Hold
        } else {
            AnswerPolicy::Stream
        };
        match self.exchange(unit, &mut held.lease, policy).await? {
            ExchangeOutcome::Answered(exchange) => {
                self.record_transaction_setting(unit, &mut held, &exchange);
                self.finish_on_held(unit, held, exchange).await;
            }
            ExchangeOutcome::BackendFailed { reason, .. } => {
                let key = held.lease.request_key.take();
                held.lease.close();
                self.state.end_transaction(false);
                if !may_commit && held.in_transaction {
                    self.lost_transaction = true;
                    self.fail_unit(unit, Failure::NotRun(NotRun::BackendUnavailable));
                    return Ok(());
                }
                let failure = match key {
                    Some(key) => self.resolve_unknown(&key, reason).await,
                    None => Failure::Unknown(reason),
                };
                self.fail_unit(unit, failure);
            }
        }
        Ok(())
    }

    async fn finish_on_held(&mut self, unit: &Unit, mut held: HeldLease, exchange: Exchange) {
        if exchange.status != Some(SessionStatus::Idle) {
            let HeldLease {
                lease,
                in_transaction,
                status,
            } = held;
            self.forward_answer_in(unit, lease, exchange, in_transaction, status);
            return;
        }
        let committed = if held.in_transaction {
            exchange.saw_commit
        } else {
            exchange.error.is_none()
        };
        self.state.end_transaction(committed);
        let key = held.lease.request_key.take();
        let commit = UnconfirmedCommit::of(&held.lease);
        let must_confirm = committed && commit.is_write();
        if must_confirm {
            held.lease.finish();
            self.acknowledge(unit, &commit, exchange, key.as_deref())
                .await;
        } else {
            self.state.raise_floor(held.lease.required);
            self.forward_answer(unit, held.lease, exchange);
        }
    }

    /// Forwards an answer that needs no confirmation.
    pub(super) fn forward_answer(&mut self, unit: &Unit, lease: Lease, exchange: Exchange) {
        self.forward_answer_in(unit, lease, exchange, false, SessionStatus::Idle);
    }

    fn forward_answer_in(
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
            // After a Flush the batch continues.
            None => self.hold(lease, in_transaction, status),
        }
    }

    /// Appends an answer to the output, without a copy if the output is empty.
    pub(super) fn put_answer(&mut self, answer: bytes::BytesMut) {
        if self.output.is_empty() {
            self.output = answer;
        } else {
            self.output.extend_from_slice(&answer);
        }
    }

    pub(super) fn hold(&mut self, lease: Lease, in_transaction: bool, status: SessionStatus) {
        self.held = Some(HeldLease {
            lease,
            in_transaction,
            status,
        });
    }

    /// Sends the session's token if its position has changed.
    pub(super) fn put_token(&mut self) {
        if self.state.sent_floor == self.state.floor {
            return;
        }
        self.state.sent_floor = self.state.floor;
        let token = self.node.token_key.issue(&self.database, self.state.floor);
        reply::put_parameter_status(&mut self.output, TOKEN_PARAMETER, &token);
    }

    /// Ends a unit that did not complete: reports the failure at once, with the time
    /// after which to retry if there is one.
    pub(super) fn fail_unit(&mut self, unit: &Unit, failure: Failure) {
        self.count_failure(failure);
        let fields = ErrorFields::error(failure.sqlstate(), failure.to_string())
            .with_detail(failure.detail(rand::random()));
        self.put_failure(unit, &fields);
    }

    /// Records a setting changed outside a transaction.
    fn record_setting(&mut self, unit: &Unit, lease: &mut Lease, exchange: &Exchange) {
        let Some((name, value)) = changed_setting(unit, exchange) else {
            return;
        };
        match name {
            Some(name) => self.state.change_setting(&name, value),
            None => self.state.settings.clear(),
        }
        lease.connection().settings = None;
    }

    /// Records a setting changed in a transaction; it is kept if it commits.
    fn record_transaction_setting(
        &mut self,
        unit: &Unit,
        held: &mut HeldLease,
        exchange: &Exchange,
    ) {
        let Some((name, value)) = changed_setting(unit, exchange) else {
            return;
        };
        if let Some(name) = name {
            self.state.transaction_settings.push((name, value));
        }
        held.lease.connection().settings = None;
    }
}

/// Name and new value of a setting that the unit has changed. The name is `None`
/// for all settings, the value is `None` for a reset. Returns `None` if no setting
/// has changed.
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
