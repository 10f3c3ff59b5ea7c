//! Writes: acknowledgement, request keys, and unknown outcomes.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use linkhold_core::classify::{Access, StatementKind};
use linkhold_core::group_view::{Confirmation, InstanceIndex, PendingCommit};
use linkhold_core::outcome::{Failure, NotRun, Unknown};
use linkhold_core::position::{Position, Term};
use linkhold_core::request_key;
use linkhold_wire::WireError;
use linkhold_wire::reply::{ErrorFields, SessionStatus};
use tokio::time::Instant;

use super::exchange::{AnswerPolicy, Exchange};
use super::lease::Lease;
use super::local::LocalAnswer;
use super::request::ExchangeOutcome;
use super::unit::Unit;
use super::{FEATURE_NOT_SUPPORTED, Session, ends_with_sync};
use crate::backend::BackendError;
use crate::group::GroupHandle;
use crate::metrics::count;

/// SQLSTATE with which a back end that is not primary refuses a write; it
/// proves that the statement did not run.
const READ_ONLY_TRANSACTION: &str = "25006";
/// SQLSTATE of a unique violation: the request key is already recorded.
const UNIQUE_VIOLATION: &str = "23505";

/// A commit that has returned and is not yet confirmed.
#[derive(Clone)]
pub(super) struct UnconfirmedCommit {
    group: Arc<GroupHandle>,
    instance: InstanceIndex,
    term: Option<Term>,
}

impl UnconfirmedCommit {
    /// The last commit that returned on this lease.
    pub(super) fn of(lease: &Lease) -> Self {
        Self {
            group: lease.group.clone(),
            instance: lease.instance,
            term: lease.term,
        }
    }

    /// Whether the lease was a write lease.
    pub(super) fn is_write(&self) -> bool {
        self.term.is_some()
    }
}

/// How an attempt of a write ended.
enum Attempt {
    /// The answer is in the output.
    Answered,
    /// The back end proved that nothing ran: it is not the primary. The unit may
    /// be sent to the primary.
    RefusedAsReplica,
}

impl Session {
    /// Runs a unit that may write. Waits until there is a primary.
    pub(super) async fn run_write(&mut self, unit: &Unit) -> Result<(), WireError> {
        // The key belongs to this request alone, whether or not it completes.
        let key = unit
            .executes()
            .then(|| self.state.request_key.take())
            .flatten();
        if key.is_some() && !ends_with_sync(unit) {
            self.put_failure(unit, &keyed_flush_refused());
            return Ok(());
        }
        let retry_until = Instant::now() + self.write_wait();
        let mut needs_new_confirmation = unit.begins();
        loop {
            let lease = match self
                .find_lease(Access::Write, needs_new_confirmation, None)
                .await
            {
                Ok(lease) => lease,
                Err(reason) => {
                    self.fail_unit(unit, Failure::NotRun(reason));
                    return Ok(());
                }
            };
            let attempt = match &key {
                _ if !unit.executes() => self.try_preparation(unit, lease).await?,
                Some(key) => self.try_keyed(unit, lease, key).await?,
                None => self.try_unkeyed(unit, lease).await?,
            };
            match attempt {
                Attempt::Answered => return Ok(()),
                Attempt::RefusedAsReplica if Instant::now() < retry_until => {
                    needs_new_confirmation = true;
                }
                Attempt::RefusedAsReplica => {
                    self.fail_unit(unit, Failure::NotRun(NotRun::NoPrimary));
                    return Ok(());
                }
            }
        }
    }

    fn write_wait(&self) -> std::time::Duration {
        let group = self.node.directory.get(&self.database);
        group.map_or_else(Default::default, |group| group.row.load().write_wait)
    }

    /// Runs a unit that only prepares or describes, so that no commit needs
    /// confirmation.
    async fn try_preparation(
        &mut self,
        unit: &Unit,
        mut lease: Lease,
    ) -> Result<Attempt, WireError> {
        match self
            .exchange(unit, &mut lease, AnswerPolicy::Stream)
            .await?
        {
            ExchangeOutcome::Answered(exchange) => self.forward_answer(unit, lease, exchange),
            ExchangeOutcome::BackendFailed { .. } => {
                self.fail_unit(unit, Failure::NotRun(NotRun::BackendUnavailable));
            }
        }
        Ok(Attempt::Answered)
    }

    async fn try_unkeyed(&mut self, unit: &Unit, mut lease: Lease) -> Result<Attempt, WireError> {
        let exchange = match self.exchange(unit, &mut lease, AnswerPolicy::Hold).await? {
            ExchangeOutcome::Answered(exchange) => exchange,
            ExchangeOutcome::BackendFailed { reason, .. } => {
                self.fail_unit(unit, Failure::Unknown(reason));
                return Ok(Attempt::Answered);
            }
        };
        let ended = exchange.status == Some(SessionStatus::Idle);
        if ended && refused_as_replica(&exchange) {
            lease.group.suspect(lease.instance).await;
            lease.finish();
            return Ok(Attempt::RefusedAsReplica);
        }
        let committed = ended && (exchange.error.is_none() || exchange.saw_commit);
        if !committed {
            self.forward_answer(unit, lease, exchange);
            return Ok(Attempt::Answered);
        }
        let commit = UnconfirmedCommit::of(&lease);
        lease.finish();
        self.acknowledge(unit, &commit, exchange, None).await;
        Ok(Attempt::Answered)
    }

    /// Runs a unit with a request key. The key is recorded in the unit's own
    /// transaction, so that it runs at most once, through whichever nodes it is
    /// sent.
    async fn try_keyed(
        &mut self,
        unit: &Unit,
        mut lease: Lease,
        key: &str,
    ) -> Result<Attempt, WireError> {
        let opens_transaction =
            matches!(unit.single_statement(), Some(StatementKind::Begin { .. }));
        let begin = match unit {
            Unit::Simple { text, .. } if opens_transaction => text,
            _ => "BEGIN",
        };
        let insert = request_key::insert(key, request_key::OUTCOME_COMPLETED, unix_seconds());
        let recorded = async {
            lease.connection().execute(begin).await?;
            lease.connection().execute(&insert).await
        };
        match recorded.await {
            Ok(_) => {}
            Err(BackendError::Refused(error)) if error.code == UNIQUE_VIOLATION => {
                let failure = self.read_recorded_outcome(&mut lease, key).await;
                lease.finish();
                self.fail_unit(unit, failure);
                return Ok(Attempt::Answered);
            }
            Err(error) => return Ok(self.fail_before_commit(unit, lease, &error).await),
        }
        if opens_transaction {
            lease.request_key = Some(key.to_owned());
            self.hold(lease, true, SessionStatus::Transaction);
            self.put_local_answer(unit, &LocalAnswer::tagged("BEGIN"));
            return Ok(Attempt::Answered);
        }
        match self.exchange(unit, &mut lease, AnswerPolicy::Hold).await? {
            ExchangeOutcome::Answered(exchange) => {
                Ok(self.commit_keyed(unit, lease, exchange, key).await)
            }
            // Without a COMMIT the back end rolls back.
            ExchangeOutcome::BackendFailed { .. } => {
                self.fail_unit(unit, Failure::NotRun(NotRun::BackendUnavailable));
                Ok(Attempt::Answered)
            }
        }
    }

    async fn commit_keyed(
        &mut self,
        unit: &Unit,
        mut lease: Lease,
        exchange: Exchange,
        key: &str,
    ) -> Attempt {
        if exchange.status != Some(SessionStatus::Transaction) {
            return self.roll_back_keyed(unit, lease, exchange).await;
        }
        let commit = UnconfirmedCommit::of(&lease);
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
                let failure = self.resolve_unknown(key, Unknown::ConnectionLost).await;
                self.fail_unit(unit, failure);
            }
        }
        Attempt::Answered
    }

    /// Rolls back a unit that failed in its transaction; its error is the answer.
    async fn roll_back_keyed(
        &mut self,
        unit: &Unit,
        mut lease: Lease,
        exchange: Exchange,
    ) -> Attempt {
        let refused = refused_as_replica(&exchange);
        if refused {
            lease.group.suspect(lease.instance).await;
        }
        if lease.connection().execute("ROLLBACK").await.is_ok() {
            lease.finish();
        }
        if refused {
            return Attempt::RefusedAsReplica;
        }
        self.put_answer(exchange.pending);
        self.end_unit(unit);
        Attempt::Answered
    }

    /// Ends a unit for whose transaction no COMMIT was sent.
    async fn fail_before_commit(
        &mut self,
        unit: &Unit,
        lease: Lease,
        error: &BackendError,
    ) -> Attempt {
        lease.group.suspect(lease.instance).await;
        lease.close();
        match error {
            BackendError::Refused(fields) if fields.code == READ_ONLY_TRANSACTION => {
                return Attempt::RefusedAsReplica;
            }
            BackendError::Refused(fields) => self.put_failure(unit, fields),
            _ => self.fail_unit(unit, Failure::NotRun(NotRun::BackendUnavailable)),
        }
        Attempt::Answered
    }

    /// Confirms a commit, then forwards its held answer. If the commit cannot be
    /// confirmed, reports an unknown outcome, or the outcome recorded for the key.
    pub(super) async fn acknowledge(
        &mut self,
        unit: &Unit,
        commit: &UnconfirmedCommit,
        exchange: Exchange,
        key: Option<&str>,
    ) {
        match self.confirm(commit).await {
            Ok(position) => {
                count(&self.node.metrics.writes);
                self.state.raise_floor(position);
                self.state.last_write = Some(Instant::now());
                self.put_answer(exchange.pending);
                self.put_token();
                self.put_ready();
            }
            Err(reason) => {
                let failure = match key {
                    Some(key) => self.resolve_unknown(key, reason).await,
                    None => Failure::Unknown(reason),
                };
                self.fail_unit(unit, failure);
            }
        }
    }

    /// Waits until a majority follows the commit's term and holds the commit, and
    /// returns its position.
    async fn confirm(&self, commit: &UnconfirmedCommit) -> Result<Position, Unknown> {
        let Some(term) = commit.term else {
            return Ok(self.state.floor);
        };
        let group = &commit.group;
        let _unshared_round = match self.node.settings.share_rounds {
            true => None,
            false => Some(group.lock_unshared_round().await),
        };
        let promise = self.node.settings.commit_promise;
        let mut pending = PendingCommit {
            instance: commit.instance,
            term,
            returned_at: group.current_tag(),
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

    /// Reads the recorded outcome of a key, once a majority confirms that the
    /// record stays.
    async fn read_recorded_outcome(&self, lease: &mut Lease, key: &str) -> Failure {
        let query = request_key::select_outcome(key);
        let outcome = async {
            lease.connection().execute("ROLLBACK").await?;
            lease.connection().query_value(&query).await
        };
        let Ok(outcome) = outcome.await else {
            lease.must_close = true;
            return Failure::Unknown(Unknown::ConnectionLost);
        };
        match self.confirm(&UnconfirmedCommit::of(lease)).await {
            Ok(_) => recorded_outcome(&outcome),
            Err(reason) => Failure::Unknown(reason),
        }
    }

    /// Resolves the unknown outcome of a keyed request by recording its key as
    /// cancelled at the confirmed primary. If the key is recorded already, reports
    /// the recorded outcome.
    pub(super) async fn resolve_unknown(&self, key: &str, unknown: Unknown) -> Failure {
        let Ok(mut lease) = self.find_lease(Access::Write, true, None).await else {
            return Failure::Unknown(unknown);
        };
        let cancel = request_key::insert(key, request_key::OUTCOME_CANCELLED, unix_seconds());
        let commit = UnconfirmedCommit::of(&lease);
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
}

/// Whether the only error of an exchange proves that nothing ran.
fn refused_as_replica(exchange: &Exchange) -> bool {
    let refused = exchange
        .error
        .as_ref()
        .is_some_and(|error| error.code == READ_ONLY_TRANSACTION);
    refused && !exchange.saw_commit
}

fn keyed_flush_refused() -> ErrorFields {
    ErrorFields::error(
        FEATURE_NOT_SUPPORTED,
        "a request with a key must end with Sync; it was not run",
    )
    .with_detail("outcome=not_run reason=unsupported")
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
