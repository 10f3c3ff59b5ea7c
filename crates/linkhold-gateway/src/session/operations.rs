//! How a session handles each statement.

use std::time::Instant;

use linkhold_core::outcome::{Failure, NotRun};
use linkhold_core::service::configuration::{Admitted, Route};
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::session::{Access, TransactionStatus};
use linkhold_core::service::waiting;
use linkhold_core::tenancy::ConnectionHolder;

use super::{Session, Transaction};
use crate::admission;
use crate::ports::{
    BackendReply, CallerConnection, CallerReply, CallerRequest, Platform, Rejection, Statement,
};
use crate::request::attempt::Answer;
use crate::request::batch::Work;
use crate::request::statement::{self, StatementContext, TransactionMode, is_success};
use crate::request::transaction::{OpenTransaction, finish_autocommit};

impl<P: Platform, C: CallerConnection> Session<P, C> {
    /// Runs a statement and returns the reply to its caller.
    pub(super) async fn handle(
        &mut self,
        request: &CallerRequest,
        received_at: Instant,
    ) -> CallerReply {
        if let Some(reply) = self.handle_in_failed_transaction(&request.statement) {
            return reply;
        }
        match &request.statement {
            Statement::Begin { read_only } => self.begin(*read_only, received_at),
            Statement::Commit => self.commit(request, received_at).await,
            Statement::Rollback => self.roll_back().await,
            Statement::Set { name, value } => {
                self.state.values.insert(name.clone(), value.clone());
                CallerReply::Acknowledged
            }
            Statement::Prepare { name, prepared } => {
                self.state.prepared.insert(name.clone(), prepared.clone());
                CallerReply::Acknowledged
            }
            Statement::Deallocate { name } => match self.state.prepared.remove(name) {
                Some(_) => CallerReply::Acknowledged,
                None => self.reject(Rejection::UnknownPrepared),
            },
            Statement::Run(access) => {
                let work = Work::Text {
                    id: request.id.clone(),
                    text: request.text.clone(),
                    access: *access,
                };
                self.run_work(work, received_at).await
            }
            Statement::Execute { name, arguments } => {
                let Some(prepared) = self.state.prepared.get(name) else {
                    return self.reject(Rejection::UnknownPrepared);
                };
                let work = Work::Prepared {
                    id: request.id.clone(),
                    prepared: prepared.clone(),
                    arguments: arguments.clone(),
                };
                self.run_work(work, received_at).await
            }
            Statement::Malformed => self.reject(Rejection::Malformed),
        }
    }

    /// Answers a statement in a failed or aborted transaction, where only commit and
    /// rollback are accepted; `None` in other transaction states.
    fn handle_in_failed_transaction(&mut self, statement: &Statement) -> Option<CallerReply> {
        let is_unreported = match self.transaction {
            Transaction::Failed => false,
            Transaction::AbortedUnreported => true,
            _ => return None,
        };
        let aborted = CallerReply::Failed(Failure::NotRun(NotRun::TransactionAborted));
        self.transaction = Transaction::Failed;
        Some(match statement {
            Statement::Rollback => {
                self.transaction = Transaction::None;
                CallerReply::Acknowledged
            }
            Statement::Commit => {
                self.transaction = Transaction::None;
                aborted
            }
            _ if is_unreported => aborted,
            _ => CallerReply::Rejected(Rejection::Malformed),
        })
    }

    /// Rejects an invalid statement and fails the open transaction.
    fn reject(&mut self, rejection: Rejection) -> CallerReply {
        self.fail_transaction();
        CallerReply::Rejected(rejection)
    }

    fn fail_transaction(&mut self) {
        match std::mem::replace(&mut self.transaction, Transaction::None) {
            Transaction::None => {}
            Transaction::Open(open) => {
                open.abandon();
                self.transaction = Transaction::Failed;
            }
            _ => self.transaction = Transaction::Failed,
        }
    }

    fn begin(&mut self, read_only: bool, received_at: Instant) -> CallerReply {
        if !matches!(self.transaction, Transaction::None) {
            return self.reject(Rejection::Malformed);
        }
        match self.admit() {
            Ok(admitted) => {
                self.transaction = Transaction::Begun {
                    admitted,
                    read_only,
                    received_at,
                };
                CallerReply::Acknowledged
            }
            Err(failure) => CallerReply::Failed(failure),
        }
    }

    async fn run_work(&mut self, work: Work, received_at: Instant) -> CallerReply {
        let result = match std::mem::replace(&mut self.transaction, Transaction::None) {
            Transaction::Open(open) => self.run_in_transaction(open, &work, received_at).await,
            Transaction::Begun {
                admitted,
                read_only,
                received_at: begun_at,
            } => {
                self.run_first_statement(admitted, read_only, begun_at, &work, received_at)
                    .await
            }
            _ => self.run_autocommit(&work, received_at).await,
        };
        match result {
            Ok(reply) => {
                self.count(&work, received_at, &reply);
                CallerReply::Relayed(reply)
            }
            Err(failure) => CallerReply::Failed(failure),
        }
    }

    fn count(&self, work: &Work, received_at: Instant, reply: &BackendReply) {
        if !is_success(reply) {
            return;
        }
        let metrics = &self.gateway.metrics;
        match work {
            Work::Commit { .. } => {
                metrics.writes_completed.add();
                metrics.write_latency.record(received_at.elapsed());
            }
            _ if work.access() == Access::Write => {
                metrics.writes_completed.add();
                metrics.write_latency.record(received_at.elapsed());
            }
            _ => {
                metrics.reads_completed.add();
                metrics.read_latency.record(received_at.elapsed());
            }
        }
    }

    async fn run_autocommit(
        &mut self,
        work: &Work,
        received_at: Instant,
    ) -> Result<BackendReply, Failure> {
        let Admitted {
            route,
            holder,
            regions,
        } = self.admit()?;
        self.take_from_budget(&route, &holder, received_at).await?;
        let context = StatementContext {
            route: &route,
            holder: &holder,
            regions: &regions,
            session: &self.state,
            received_at,
        };
        let mode = TransactionMode::Autocommit;
        let ran = statement::run(&self.gateway, &context, &mut self.positions, work, mode).await;
        let answer = self.return_unused_budget(&holder, ran)?;
        let reply = finish_autocommit(answer);
        if work.access() == Access::Write
            && is_success(&reply)
            && let Some(position) = reply.position
        {
            self.positions.record_commit(&route.service, position);
        }
        Ok(reply)
    }

    /// Runs the first statement of a transaction, which opens the transaction.
    async fn run_first_statement(
        &mut self,
        admitted: Admitted,
        read_only: bool,
        begun_at: Instant,
        work: &Work,
        received_at: Instant,
    ) -> Result<BackendReply, Failure> {
        self.transaction = Transaction::Failed;
        // Freshness counts from the transaction's start, time limits from its
        // first statement: the caller may have paused in between.
        self.take_from_budget(&admitted.route, &admitted.holder, received_at)
            .await?;
        let context = StatementContext {
            route: &admitted.route,
            holder: &admitted.holder,
            regions: &admitted.regions,
            session: &self.state,
            received_at: received_at.max(begun_at),
        };
        let mode = if read_only {
            TransactionMode::ReadOnly
        } else {
            TransactionMode::ReadWrite
        };
        let ran = statement::run(&self.gateway, &context, &mut self.positions, work, mode).await;
        let answer = self.return_unused_budget(&admitted.holder, ran)?;
        let reply = answer.reply.clone();
        let open = OpenTransaction::new(admitted, answer.held, work.access());
        self.keep_open(open, &reply);
        Ok(reply)
    }

    /// Takes one operation from the tenant's budget. Waits for it only for the part of the
    /// latency objective that may be spent on waiting, so that a refusal is sent in time.
    async fn take_from_budget(
        &self,
        route: &Route,
        holder: &ConnectionHolder,
        received_at: Instant,
    ) -> Result<(), Failure> {
        let deadline = received_at + waiting::max_wait(route.latency_objective);
        admission::admit(&self.gateway, holder, deadline)
            .await
            .map_err(Failure::NotRun)
    }

    /// Returns an operation to the tenant's budget if it certainly did not run.
    fn return_unused_budget(
        &self,
        holder: &ConnectionHolder,
        ran: Result<Answer<P>, Failure>,
    ) -> Result<Answer<P>, Failure> {
        let did_not_run = matches!(&ran, Err(Failure::NotRun(reason)) if !reason.may_have_run());
        if did_not_run {
            admission::return_operation(&self.gateway, holder);
        }
        ran
    }

    /// Checks an open transaction against the configuration in force. Rolls it back if the
    /// caller is no longer the tenant that opened it or may no longer use its instance.
    fn check_admission(&self, mut open: OpenTransaction<P>) -> Result<OpenTransaction<P>, Failure> {
        match self.current_regions(&open) {
            Ok(regions) if open.is_within(&self.gateway, &regions) => {
                open.admitted.regions = regions;
                Ok(open)
            }
            Ok(regions) => {
                open.log_outside_regions(&regions);
                open.abandon();
                Err(Failure::NotRun(NotRun::TransactionAborted))
            }
            Err(reason) => {
                open.abandon();
                Err(Failure::NotRun(reason))
            }
        }
    }

    /// The regions in which an open transaction may continue by the configuration in
    /// force. If its database has moved to another service meanwhile, the transaction
    /// continues on its instance.
    fn current_regions(&self, open: &OpenTransaction<P>) -> Result<AllowedRegions, NotRun> {
        let configuration = self.gateway.cluster.configuration();
        let configuration = configuration.ok_or(NotRun::NotConfigured)?;
        let opened = &open.admitted;
        let holder = configuration.holder(&opened.route, self.startup.credential.as_ref())?;
        if holder != opened.holder {
            return Err(NotRun::UnknownCredential);
        }
        let route = configuration.route(&self.startup.database);
        Ok(configuration.regions(route.unwrap_or(&opened.route), &holder))
    }

    async fn run_in_transaction(
        &mut self,
        open: OpenTransaction<P>,
        work: &Work,
        received_at: Instant,
    ) -> Result<BackendReply, Failure> {
        self.transaction = Transaction::Failed;
        let open = self.check_admission(open)?;
        let (open, reply) = open
            .run(&self.gateway, &self.state, work, received_at)
            .await?;
        self.keep_open(open, &reply);
        Ok(reply)
    }

    fn keep_open(&mut self, open: OpenTransaction<P>, reply: &BackendReply) {
        if reply.status == TransactionStatus::Open {
            self.transaction = Transaction::Open(open);
        } else {
            open.abandon();
        }
    }

    async fn commit(&mut self, request: &CallerRequest, received_at: Instant) -> CallerReply {
        let work = Work::Commit {
            id: request.id.clone(),
            text: request.text.clone(),
        };
        let result = match std::mem::replace(&mut self.transaction, Transaction::None) {
            Transaction::Open(open) => self.commit_open(open, &work, received_at).await,
            Transaction::Begun {
                admitted,
                read_only,
                ..
            } => {
                self.commit_empty(admitted, read_only, &work, received_at)
                    .await
            }
            _ => return CallerReply::Rejected(Rejection::Malformed),
        };
        match result {
            Ok(reply) => {
                self.count(&work, received_at, &reply);
                CallerReply::Relayed(reply)
            }
            Err(failure) => CallerReply::Failed(failure),
        }
    }

    async fn commit_open(
        &mut self,
        open: OpenTransaction<P>,
        work: &Work,
        received_at: Instant,
    ) -> Result<BackendReply, Failure> {
        let open = self.check_admission(open)?;
        let service = open.admitted.route.service.clone();
        let answer_by = received_at + open.admitted.route.statement_timeout;
        let committed = open
            .commit(&self.gateway, &self.state, work, answer_by)
            .await?;
        if let Some(position) = committed.position {
            self.positions.record_commit(&service, position);
        }
        Ok(committed.reply)
    }

    /// Commits a transaction without statements, which still needs an instance.
    async fn commit_empty(
        &mut self,
        admitted: Admitted,
        read_only: bool,
        work: &Work,
        received_at: Instant,
    ) -> Result<BackendReply, Failure> {
        self.take_from_budget(&admitted.route, &admitted.holder, received_at)
            .await?;
        let context = StatementContext {
            route: &admitted.route,
            holder: &admitted.holder,
            regions: &admitted.regions,
            session: &self.state,
            received_at,
        };
        let mode = if read_only {
            TransactionMode::ReadOnly
        } else {
            TransactionMode::ReadWrite
        };
        let ran = statement::run(&self.gateway, &context, &mut self.positions, work, mode).await;
        let answer = self.return_unused_budget(&admitted.holder, ran)?;
        Ok(finish_autocommit(answer))
    }

    async fn roll_back(&mut self) -> CallerReply {
        match std::mem::replace(&mut self.transaction, Transaction::None) {
            Transaction::Open(open) => {
                open.abandon();
                CallerReply::Acknowledged
            }
            Transaction::Begun { .. } => CallerReply::Acknowledged,
            _ => CallerReply::Rejected(Rejection::Malformed),
        }
    }
}
