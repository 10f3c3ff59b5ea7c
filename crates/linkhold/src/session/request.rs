//! Running of units on back ends, and what is said when something fails.
//!
//! # Invariants
//!
//! * [`Failure::NotRun`] is said only if no byte of the unit was sent, if the
//!   back end refused it as not being the primary, if the request's
//!   transaction was never told to commit, or if its key has been cancelled.
//! * The completion of a write is passed on only after its commit has been
//!   confirmed ([`Session::confirm`]).
//! * A unit that has been sent is sent again only if it is a read that the
//!   caller marked repeatable and no byte of its answer has been passed on.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use linkhold_core::classify::{Access, StatementKind};
use linkhold_core::group_view::{Confirmation, InstanceIndex, PendingCommit};
use linkhold_core::outcome::{Failure, NotRun, Unknown};
use linkhold_core::position::{Position, Term};
use linkhold_core::request_key;
use linkhold_wire::WireError;
use linkhold_wire::reply::{self, ErrorFields, SessionStatus};
use tokio::time::Instant;

use super::exchange::{AnswerPolicy, Exchange, ExchangeError, ExchangeRun};
use super::lease::{Lease, LeaseFinder};
use super::local::LocalAnswer;
use super::plan::ReplyPlan;
use super::unit::Unit;
use super::{FEATURE_NOT_SUPPORTED, Held, Session, ends_with_sync};
use crate::backend::BackendError;
use crate::group::GroupHandle;
use crate::metrics::count;

/// SQLSTATE with which a back end that is not primary refuses a write; it
/// proves that the statement did not run.
const READ_ONLY_TRANSACTION: &str = "25006";
/// SQLSTATE of a unique violation: the request key is known.
const UNIQUE_VIOLATION: &str = "23505";
const TOKEN_PARAMETER: &str = "linkhold.token";

/// A commit that returned and is to be confirmed.
#[derive(Clone)]
struct Committed {
    group: Arc<GroupHandle>,
    instance: InstanceIndex,
    term: Option<Term>,
}

impl Committed {
    fn on(lease: &Lease) -> Self {
        Self {
            group: lease.group.clone(),
            instance: lease.instance,
            term: lease.term,
        }
    }
}

/// What an exchange came to.
enum Ran {
    Answered(Exchange),
    BackendFailed { sent_to_caller: bool },
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
    async fn find_lease(
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

    async fn exchange(
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
            Err(ExchangeError::Backend(_)) => {
                lease.group.suspect(lease.instance).await;
                Ok(Ran::BackendFailed { sent_to_caller })
            }
        }
    }

    async fn run_read(&mut self, unit: &Unit) -> Result<(), WireError> {
        let mut avoid = None;
        loop {
            let mut lease = match self.find_lease(Access::Read, false, avoid).await {
                Ok(lease) => lease,
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
                Ran::BackendFailed { sent_to_caller } => {
                    let may_repeat = self.state.repeatable
                        && !sent_to_caller
                        && avoid.is_none()
                        && self.node.retry_budget.try_spend();
                    if !may_repeat {
                        self.fail(unit, Failure::Unknown(Unknown::ConnectionLost));
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

    async fn run_write(&mut self, unit: &Unit) -> Result<(), WireError> {
        // The key belongs to this request, whatever becomes of it.
        let key = unit
            .executes()
            .then(|| self.state.request_key.take())
            .flatten();
        let mut lease = match self.find_lease(Access::Write, unit.begins(), None).await {
            Ok(lease) => lease,
            Err(reason) => {
                self.fail(unit, Failure::NotRun(reason));
                return Ok(());
            }
        };
        if !unit.executes() {
            return self.run_preparation(unit, lease).await;
        }
        if let Some(key) = key {
            return self.run_keyed(unit, lease, key).await;
        }
        match self.exchange(unit, &mut lease, AnswerPolicy::Hold).await? {
            Ran::Answered(exchange) => self.finish_write(unit, lease, exchange).await,
            Ran::BackendFailed { .. } => {
                self.fail(unit, Failure::Unknown(Unknown::ConnectionLost));
                Ok(())
            }
        }
    }

    /// A unit that only prepares or describes: nothing to confirm.
    async fn run_preparation(&mut self, unit: &Unit, mut lease: Lease) -> Result<(), WireError> {
        match self
            .exchange(unit, &mut lease, AnswerPolicy::Stream)
            .await?
        {
            Ran::Answered(exchange) => self.settle(unit, lease, exchange),
            Ran::BackendFailed { .. } => {
                self.fail(unit, Failure::NotRun(NotRun::BackendUnavailable));
            }
        }
        Ok(())
    }

    /// Ends a unit outside an explicit transaction whose answer was held.
    async fn finish_write(
        &mut self,
        unit: &Unit,
        lease: Lease,
        exchange: Exchange,
    ) -> Result<(), WireError> {
        if exchange.status != Some(SessionStatus::Idle) {
            self.settle(unit, lease, exchange);
            return Ok(());
        }
        let refused_as_replica = exchange
            .error
            .as_ref()
            .is_some_and(|error| error.code == READ_ONLY_TRANSACTION);
        if refused_as_replica && !exchange.saw_commit {
            lease.group.suspect(lease.instance).await;
            lease.finish();
            self.fail(unit, Failure::NotRun(NotRun::NoPrimary));
            return Ok(());
        }
        let committed = exchange.error.is_none() || exchange.saw_commit;
        let commit = Committed::on(&lease);
        if !committed {
            self.settle(unit, lease, exchange);
            return Ok(());
        }
        lease.finish();
        self.acknowledge(unit, &commit, exchange, None).await;
        Ok(())
    }

    /// Confirms a commit, then passes its held answer on; or says what can be
    /// said instead.
    async fn acknowledge(
        &mut self,
        unit: &Unit,
        commit: &Committed,
        exchange: Exchange,
        key: Option<&str>,
    ) {
        match self.confirm(commit).await {
            Ok(position) => {
                count(&self.node.metrics.writes);
                self.state.raise_floor(position);
                self.state.last_write = Some(Instant::now());
                self.output.extend_from_slice(&exchange.pending);
                self.put_token();
                self.put_ready();
            }
            Err(reason) => {
                let failure = match key {
                    Some(key) => self.resolve(key, reason).await,
                    None => Failure::Unknown(reason),
                };
                self.fail(unit, failure);
            }
        }
    }

    /// Waits until a majority follows the commit's term and holds it.
    async fn confirm(&self, commit: &Committed) -> Result<Position, Unknown> {
        let Some(term) = commit.term else {
            return Ok(self.state.floor);
        };
        let group = &commit.group;
        let _round_of_its_own = match self.node.settings.share_rounds {
            true => None,
            false => Some(group.own_round().await),
        };
        let promise = self.node.settings.commit_promise;
        let mut pending = PendingCommit {
            instance: commit.instance,
            term,
            returned_at: group.now(),
            target: None,
        };
        let deadline = Instant::now() + group.row.load().write_wait;
        let since = pending.returned_at;
        let verdict = group
            .wait_for(since, deadline, |view| {
                match view.confirm(&mut pending, promise) {
                    Confirmation::Confirmed(position) => Some(Ok(position)),
                    Confirmation::Replaced => Some(Err(Unknown::PrimaryReplaced)),
                    Confirmation::Pending => None,
                }
            })
            .await;
        verdict.unwrap_or(Err(Unknown::NotConfirmed))
    }

    /// Runs a unit with a request key: the key is recorded in the unit's own
    /// transaction, so that it runs at most once whichever node it comes by.
    async fn run_keyed(
        &mut self,
        unit: &Unit,
        mut lease: Lease,
        key: String,
    ) -> Result<(), WireError> {
        if !ends_with_sync(unit) {
            lease.finish();
            self.put_failure(unit, &keyed_flush_refused());
            return Ok(());
        }
        let opens_transaction =
            matches!(unit.single_statement(), Some(StatementKind::Begin { .. }));
        let insert = request_key::insert(&key, request_key::OUTCOME_COMPLETED, unix_seconds());
        let begin = match unit {
            Unit::Simple { text, .. } if opens_transaction => text,
            _ => "BEGIN",
        };
        if let Err(error) = lease.connection().execute(begin).await {
            return self.fail_before_commit(unit, lease, &error).await;
        }
        match lease.connection().execute(&insert).await {
            Ok(_) => {}
            Err(BackendError::Refused(error)) if error.code == UNIQUE_VIOLATION => {
                let failure = self.look_up_key(&mut lease, &key).await;
                lease.finish();
                self.fail(unit, failure);
                return Ok(());
            }
            Err(error) => return self.fail_before_commit(unit, lease, &error).await,
        }
        if opens_transaction {
            lease.request_key = Some(key);
            self.hold(lease, true, SessionStatus::Transaction);
            self.put_local_answer(unit, &LocalAnswer::tagged("BEGIN"));
            return Ok(());
        }
        match self.exchange(unit, &mut lease, AnswerPolicy::Hold).await? {
            Ran::Answered(exchange) => self.commit_keyed(unit, lease, exchange, &key).await,
            // Without a COMMIT the back end rolls back.
            Ran::BackendFailed { .. } => {
                self.fail(unit, Failure::NotRun(NotRun::BackendUnavailable));
                Ok(())
            }
        }
    }

    async fn commit_keyed(
        &mut self,
        unit: &Unit,
        mut lease: Lease,
        exchange: Exchange,
        key: &str,
    ) -> Result<(), WireError> {
        if exchange.status != Some(SessionStatus::Transaction) {
            // The unit failed; its error is the answer.
            let rolled_back = lease.connection().execute("ROLLBACK").await.is_ok();
            let refused_as_replica = exchange
                .error
                .as_ref()
                .is_some_and(|error| error.code == READ_ONLY_TRANSACTION);
            if rolled_back {
                lease.finish();
            }
            if refused_as_replica {
                self.fail(unit, Failure::NotRun(NotRun::NoPrimary));
            } else {
                self.output.extend_from_slice(&exchange.pending);
                self.end_failed_unit(unit);
            }
            return Ok(());
        }
        let commit = Committed::on(&lease);
        match lease.connection().execute("COMMIT").await {
            Ok(_) => {
                lease.finish();
                self.acknowledge(unit, &commit, exchange, Some(key)).await;
            }
            Err(BackendError::Refused(error)) => {
                lease.close();
                self.put_failure(unit, &error);
            }
            Err(_) => {
                lease.group.suspect(lease.instance).await;
                lease.close();
                let failure = self.resolve(key, Unknown::ConnectionLost).await;
                self.fail(unit, failure);
            }
        }
        Ok(())
    }

    /// Fails a unit whose transaction was never told to commit.
    async fn fail_before_commit(
        &mut self,
        unit: &Unit,
        lease: Lease,
        error: &BackendError,
    ) -> Result<(), WireError> {
        lease.group.suspect(lease.instance).await;
        lease.close();
        let refused_as_replica =
            matches!(error, BackendError::Refused(error) if error.code == READ_ONLY_TRANSACTION);
        match error {
            BackendError::Refused(fields) if !refused_as_replica => {
                let fields = fields.clone();
                self.put_failure(unit, &fields);
            }
            _ if refused_as_replica => self.fail(unit, Failure::NotRun(NotRun::NoPrimary)),
            _ => self.fail(unit, Failure::NotRun(NotRun::BackendUnavailable)),
        }
        Ok(())
    }

    /// The key is already recorded: tells what happened to it, once a
    /// majority confirms that the record stays.
    async fn look_up_key(&self, lease: &mut Lease, key: &str) -> Failure {
        let query = request_key::select_outcome(key);
        let outcome = async {
            lease.connection().execute("ROLLBACK").await?;
            lease.connection().query_value(&query).await
        };
        let Ok(outcome) = outcome.await else {
            lease.cancelled = true;
            return Failure::Unknown(Unknown::ConnectionLost);
        };
        match self.confirm(&Committed::on(lease)).await {
            Ok(_) => recorded_outcome(&outcome),
            Err(reason) => Failure::Unknown(reason),
        }
    }

    /// Finds out what became of a keyed request whose outcome is unknown, by
    /// recording its key as cancelled at the confirmed primary.
    async fn resolve(&self, key: &str, unknown: Unknown) -> Failure {
        let Ok(mut lease) = self.find_lease(Access::Write, true, None).await else {
            return Failure::Unknown(unknown);
        };
        let cancel = request_key::insert(key, request_key::OUTCOME_CANCELLED, unix_seconds());
        let commit = Committed::on(&lease);
        match lease.connection().execute(&cancel).await {
            Ok(_) => {
                lease.finish();
                match self.confirm(&commit).await {
                    Ok(_) => Failure::NotRun(NotRun::KeyCancelled),
                    Err(_) => Failure::Unknown(unknown),
                }
            }
            Err(BackendError::Refused(error)) if error.code == UNIQUE_VIOLATION => {
                let query = request_key::select_outcome(key);
                let outcome = lease.connection().query_value(&query).await;
                match (outcome, self.confirm(&commit).await) {
                    (Ok(outcome), Ok(_)) => recorded_outcome(&outcome),
                    _ => Failure::Unknown(unknown),
                }
            }
            Err(_) => Failure::Unknown(unknown),
        }
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
            Ran::BackendFailed { .. } => {
                let key = held.lease.request_key.take();
                held.lease.close();
                self.state.end_transaction(false);
                if !may_commit && held.in_transaction {
                    self.lost_transaction = true;
                    self.fail(unit, Failure::NotRun(NotRun::BackendUnavailable));
                    return Ok(());
                }
                let failure = match key {
                    Some(key) => self.resolve(&key, Unknown::ConnectionLost).await,
                    None => Failure::Unknown(Unknown::ConnectionLost),
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
        let must_confirm = committed && commit.term.is_some();
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
    fn settle(&mut self, unit: &Unit, lease: Lease, exchange: Exchange) {
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
        self.output.extend_from_slice(&exchange.pending);
        match exchange.status {
            Some(SessionStatus::Idle) => {
                lease.finish();
                self.put_token();
                self.end_answered_unit(unit);
            }
            Some(status) => {
                self.hold(lease, true, status);
                self.end_answered_unit(unit);
            }
            // A Flush: the batch goes on.
            None => self.hold(lease, in_transaction, status),
        }
    }

    /// Ends a unit whose answer ended with ReadyForQuery. After a Flush that
    /// happens only on an error, and the caller's Sync is yet to come.
    fn end_answered_unit(&mut self, unit: &Unit) {
        self.end_failed_unit(unit);
    }

    fn hold(&mut self, lease: Lease, in_transaction: bool, status: SessionStatus) {
        self.held = Some(Held {
            lease,
            in_transaction,
            status,
        });
    }

    /// Sends the session's token if it has moved.
    fn put_token(&mut self) {
        if self.state.announced == self.state.floor {
            return;
        }
        self.state.announced = self.state.floor;
        let token = self.node.token_key.issue(&self.database, self.state.floor);
        reply::put_parameter_status(&mut self.output, TOKEN_PARAMETER, &token);
    }

    /// Ends a unit that did not complete: the final answer, at once, with the
    /// time to come back.
    fn fail(&mut self, unit: &Unit, failure: Failure) {
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

fn keyed_flush_refused() -> ErrorFields {
    ErrorFields::error(
        FEATURE_NOT_SUPPORTED,
        "a request with a key must end with Sync; it was not run",
    )
    .with_detail("outcome=not_run reason=unsupported")
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

fn recorded_outcome(outcome: &str) -> Failure {
    if outcome == request_key::OUTCOME_COMPLETED {
        Failure::AlreadyCompleted
    } else {
        Failure::NotRun(NotRun::KeyCancelled)
    }
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs())
}
