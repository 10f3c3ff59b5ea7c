//! Transactions. They are opened with their first statement and stay on one
//! connection until they end.
//!
//! # Invariants
//!
//! * From the first statement to the end, the connection serves this transaction
//!   alone; it is given back only after the commit or rollback was answered.
//! * The commit is sent once. If the connection is lost before, nothing is kept; if
//!   it is lost afterwards, the outcome is unknown, unless nothing was written.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::outcome::{Failure, NotRun, Unknown};
use linkhold_core::position::Position;
use linkhold_core::service::configuration::Admitted;
use linkhold_core::service::evidence::Sample;
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::session::{Access, SessionState};
use linkhold_events::Event;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::pool::Lease;
use crate::ports::{BackendConnection, BackendErrorKind, BackendReply, Command, Platform};
use crate::request::attempt::{self, Answer, AttemptOutcome, HeldConnection, NotRunCause};
use crate::request::batch::Work;
use crate::request::principal::Principal;

/// How long an instance may take to roll back before the connection is closed.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// A transaction on a connection.
pub(crate) struct OpenTransaction<P: Platform> {
    /// The caller's admission when the transaction was opened.
    pub admitted: Admitted,
    held: HeldConnection<P>,
    wrote: bool,
}

/// A commit that succeeded.
pub(crate) struct Committed {
    pub reply: BackendReply,
    /// Position of the commit, if the transaction wrote.
    pub position: Option<Position>,
}

impl<P: Platform> OpenTransaction<P> {
    /// Takes over the connection on which the first statement was answered.
    pub fn new(admitted: Admitted, held: HeldConnection<P>, access: Access) -> Self {
        Self {
            admitted,
            held,
            wrote: access == Access::Write,
        }
    }

    /// Whether the instance and every node on the path to it are in the allowed regions.
    pub fn is_within(&self, gateway: &Gateway<P>, regions: &AllowedRegions) -> bool {
        self.held.is_within(gateway, regions)
    }

    /// Logs that the instance, or a node on the path to it, is now outside the allowed
    /// regions.
    pub fn log_outside_regions(&self, regions: &AllowedRegions) {
        Event::info("transaction_outside_regions")
            .field("instance", &self.held.instance().id)
            .field("zone", &self.held.instance().zone)
            .field("regions", regions)
            .log();
    }

    /// Runs another statement. On failure the transaction is over.
    pub async fn run(
        mut self,
        gateway: &Arc<Gateway<P>>,
        session: &SessionState,
        work: &Work,
        received_at: Instant,
    ) -> Result<(Self, BackendReply), Failure> {
        self.wrote |= work.access() == Access::Write;
        let answer_by = received_at + self.admitted.route.statement_timeout;
        let principal = principal(&self.admitted, session);
        let attempt = attempt::run_on_held(gateway, self.held, principal, work, answer_by).await;
        match attempt {
            AttemptOutcome::Answered(Answer { reply, held, .. }) => {
                self.held = held;
                Ok((self, reply))
            }
            AttemptOutcome::NotRun(NotRunCause::Refused(BackendErrorKind::Busy)) => {
                Err(Failure::NotRun(NotRun::Overloaded))
            }
            AttemptOutcome::NotRun(_) | AttemptOutcome::Lost | AttemptOutcome::TimedOut => {
                Err(Failure::NotRun(NotRun::TransactionAborted))
            }
        }
    }

    /// Commits. The outcome is unknown if no answer came and the transaction wrote.
    pub async fn commit(
        self,
        gateway: &Arc<Gateway<P>>,
        session: &SessionState,
        work: &Work,
        answer_by: Instant,
    ) -> Result<Committed, Failure> {
        let principal = principal(&self.admitted, session);
        let attempt = attempt::run_on_held(gateway, self.held, principal, work, answer_by).await;
        let answer = match attempt {
            AttemptOutcome::Answered(answer) => answer,
            AttemptOutcome::NotRun(_) => return Err(Failure::NotRun(NotRun::TransactionAborted)),
            AttemptOutcome::Lost => {
                return Err(lost_commit_failure(self.wrote, Unknown::ConnectionLost));
            }
            AttemptOutcome::TimedOut => {
                return Err(lost_commit_failure(self.wrote, Unknown::TimedOut));
            }
        };
        let succeeded = answer.reply.error().is_none();
        let position = answer.reply.position.filter(|_| self.wrote && succeeded);
        if let Some(position) = position {
            let sample = Sample {
                sent_at: answer.sent_at,
                position,
            };
            gateway.record_primary_proof(answer.held.instance(), sample);
        }
        answer.held.finish(answer.reply.status);
        Ok(Committed {
            reply: answer.reply,
            position,
        })
    }

    /// Rolls back in the background.
    pub fn abandon(self) {
        match self.held {
            HeldConnection::Own(lease) => {
                tokio::spawn(roll_back(lease));
            }
            HeldConnection::Lent(lent) => lent.release(),
        }
    }
}

fn principal<'a>(admitted: &'a Admitted, session: &'a SessionState) -> Principal<'a> {
    Principal {
        holder: &admitted.holder,
        values: &session.values,
        regions: &admitted.regions,
    }
}

/// Rolls back and gives the connection back; closes it if the rollback fails.
pub(crate) async fn roll_back<C: BackendConnection>(mut lease: Lease<C>) {
    let exchange = lease.pooled().connection.exchange(&[Command::Rollback]);
    if let Ok(Ok(replies)) = timeout(ROLLBACK_TIMEOUT, exchange).await {
        attempt::finish_lease(lease, replies[0].status);
    }
}

/// Gives back the connection of a statement that ran outside of a transaction.
pub(crate) fn finish_autocommit<P: Platform>(answer: Answer<P>) -> BackendReply {
    answer.held.finish(answer.reply.status);
    answer.reply
}

/// The failure to report when a commit was sent and no answer came.
fn lost_commit_failure(wrote: bool, unknown: Unknown) -> Failure {
    if wrote {
        Failure::Unknown(unknown)
    } else {
        Failure::NotRun(NotRun::TransactionAborted)
    }
}

/// Logs why a transaction ended before its commit.
pub(crate) fn log_aborted(database: &str, tenant: &str, reason: &'static str) {
    Event::info("transaction_aborted")
        .field("database", database)
        .field("tenant", tenant)
        .field("reason", reason)
        .log();
}
