//! One caller's session: reads its statements, runs them, answers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use linkhold_core::outcome::{Failure, NotRun};
use linkhold_core::service::configuration::Route;
use linkhold_core::service::session::{Access, SessionState, TransactionStatus};
use linkhold_events::Event;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout_at};

use crate::batch::Work;
use crate::gateway::Gateway;
use crate::lifecycle::Stage;
use crate::marks::SessionMarks;
use crate::ports::{
    CallerConnection, CallerError, CallerReply, CallerRequest, Platform, Rejection, Startup,
    Statement,
};
use crate::statement::{self, Opening, Unit, is_success};
use crate::transaction::{OpenTransaction, finish_alone, log_aborted};

/// The transaction of a session.
enum Transaction<P: Platform> {
    /// None.
    None,
    /// Announced by the caller; nothing was sent to an instance yet.
    Announced {
        route: Arc<Route>,
        read_only: bool,
        received_at: Instant,
    },
    /// On a connection.
    Open(OpenTransaction<P>),
    /// Over, but the caller has not ended it.
    Failed,
    /// Ended by the node; the caller has not been told.
    EndedUnseen,
}

/// A session and its caller.
struct Session<P: Platform, C> {
    gateway: Arc<Gateway<P>>,
    caller: C,
    startup: Startup,
    state: SessionState,
    transaction: Transaction<P>,
    marks: SessionMarks,
    stage: watch::Receiver<Stage>,
    activity: Activity,
}

/// How long a session is left open after its caller did something that is
/// usually followed by a request.
const SETTLE_TIME: Duration = Duration::from_millis(400);
/// The same for a session in which nothing was asked yet.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(1_000);

/// How long a session that opens waits for the node's first configuration.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(80);

/// What the caller did last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// It opened the session.
    Opened(Instant),
    /// It asked for something that prepares an operation.
    Preparing(Instant),
    /// An operation was answered.
    OperationDone,
}

impl Activity {
    /// From when on the session may be closed between requests.
    fn may_close_at(self) -> Option<Instant> {
        match self {
            Self::Opened(at) => Some(at + FIRST_REQUEST_TIME),
            Self::Preparing(at) => Some(at + SETTLE_TIME),
            Self::OperationDone => None,
        }
    }
}

/// Serves a caller until either side ends the session.
pub async fn serve<P: Platform, C: CallerConnection>(
    gateway: Arc<Gateway<P>>,
    mut caller: C,
    stage: watch::Receiver<Stage>,
) {
    gateway.metrics.sessions_opened.add();
    let metrics_holder = gateway.clone();
    if let Ok(Some(startup)) = caller.startup().await {
        let session = Session {
            marks: SessionMarks::new(Instant::now()),
            gateway,
            caller,
            startup,
            state: SessionState::default(),
            transaction: Transaction::None,
            stage,
            activity: Activity::Opened(Instant::now()),
        };
        session.run().await;
    }
    metrics_holder.metrics.sessions_closed.add();
}

/// When a session is closed by the node's stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closing {
    No,
    At(Instant),
    Now,
}

async fn sleep_until_some(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

/// What a session waits for.
enum Wake {
    Request(Result<Option<CallerRequest>, CallerError>),
    IdleTooLong,
    StageChanged,
    Close,
}

impl<P: Platform, C: CallerConnection> Session<P, C> {
    async fn run(mut self) {
        self.wait_for_configuration().await;
        if let Err(failure) = self.admit() {
            self.log_refusal(&Bytes::from_static(b"-"), failure, self.marks.opened_at);
            let _ = self.caller.refuse(failure).await;
            return;
        }
        if self.caller.accept().await.is_err() {
            return;
        }
        if let Err(error) = self.converse().await {
            Event::info("session_broken")
                .field("database", &self.startup.database)
                .field("user", &self.startup.user)
                .field("error", error)
                .log();
        }
        if let Transaction::Open(open) = self.transaction {
            open.abandon();
        }
    }

    /// A node that has just started learns the configuration within
    /// milliseconds if it can at all.
    async fn wait_for_configuration(&self) {
        let deadline = self.marks.opened_at + CONFIGURATION_WAIT;
        let mut changes = self.gateway.beliefs.subscribe();
        while !self.gateway.beliefs.can_serve() {
            changes.mark_unchanged();
            if timeout_at(deadline.into(), changes.changed())
                .await
                .is_err()
            {
                return;
            }
        }
    }

    fn admit(&self) -> Result<(), Failure> {
        match self.gateway.beliefs.configuration() {
            None => Err(Failure::NotRun(NotRun::NotConfigured)),
            Some(configuration) => match configuration.route(&self.startup.database) {
                Some(_) => Ok(()),
                None => Err(Failure::NotRun(NotRun::UnknownDatabase)),
            },
        }
    }

    async fn converse(&mut self) -> Result<(), CallerError> {
        loop {
            match self.wait().await {
                Wake::Request(Ok(Some(request))) => self.answer(request).await?,
                Wake::Request(Ok(None)) => return Ok(()),
                Wake::Request(Err(error)) => return Err(error),
                Wake::IdleTooLong => self.end_transaction("idle_too_long"),
                Wake::StageChanged => {}
                Wake::Close => return Ok(()),
            }
        }
    }

    async fn wait(&mut self) -> Wake {
        let closing = self.closing();
        if closing == Closing::Now && !self.caller.has_pending_input() {
            return Wake::Close;
        }
        let idle_end = self.idle_end();
        let close_at = match closing {
            Closing::At(at) => Some(at),
            Closing::No | Closing::Now => None,
        };
        tokio::select! {
            biased;
            request = self.caller.request() => Wake::Request(request),
            _ = self.stage.changed() => Wake::StageChanged,
            // The next round closes the session, unless something has come.
            () = sleep_until_some(close_at) => Wake::StageChanged,
            () = sleep_until_some(idle_end) => Wake::IdleTooLong,
        }
    }

    /// When the open transaction will have been idle for too long.
    fn idle_end(&self) -> Option<Instant> {
        let Transaction::Open(_) = self.transaction else {
            return None;
        };
        let limit = self
            .gateway
            .beliefs
            .configuration()?
            .transaction_idle_timeout?;
        Some(Instant::now() + limit)
    }

    /// When the node's stop ends this session, as things stand.
    fn closing(&mut self) -> Closing {
        let stage = *self.stage.borrow_and_update();
        match stage {
            Stage::Serving => Closing::No,
            Stage::ClosingIdle | Stage::Refusing
                if !matches!(self.transaction, Transaction::None) =>
            {
                Closing::No
            }
            Stage::ClosingIdle | Stage::Refusing => match self.activity.may_close_at() {
                Some(at) if at > Instant::now() => Closing::At(at),
                _ => Closing::Now,
            },
            Stage::ClosingAll => {
                if !matches!(self.transaction, Transaction::None) {
                    log_aborted(&self.startup.database, &self.startup.user, "node_stops");
                }
                Closing::Now
            }
        }
    }

    fn end_transaction(&mut self, reason: &'static str) {
        log_aborted(&self.startup.database, &self.startup.user, reason);
        self.gateway.metrics.transactions_aborted.add();
        let ended = std::mem::replace(&mut self.transaction, Transaction::EndedUnseen);
        if let Transaction::Open(open) = ended {
            open.abandon();
        }
    }

    async fn answer(&mut self, request: CallerRequest) -> Result<(), CallerError> {
        let received_at = Instant::now();
        let reply = self.handle(&request, received_at).await;
        match &reply {
            CallerReply::Failed(failure) => self.log_refusal(&request.id, *failure, received_at),
            CallerReply::Relayed(reply) if !is_success(reply) => {
                self.gateway.metrics.failed.add();
                Event::info("statement_failed")
                    .field("request", String::from_utf8_lossy(&request.id))
                    .field("database", &self.startup.database)
                    .field("error", format_args!("{:?}", reply.outcome))
                    .log();
            }
            _ => {}
        }
        self.activity = match &request.statement {
            Statement::Set { .. } | Statement::Prepare { .. } | Statement::Deallocate { .. } => {
                Activity::Preparing(Instant::now())
            }
            _ => Activity::OperationDone,
        };
        let status = self.status();
        self.caller.reply(&reply, status).await
    }

    fn log_refusal(&self, request: &Bytes, failure: Failure, received_at: Instant) {
        let metrics = &self.gateway.metrics;
        match failure {
            Failure::NotRun(_) => metrics.refused.add(),
            Failure::Unknown(_) | Failure::AlreadyCompleted => metrics.unknown.add(),
        }
        let beliefs = &self.gateway.beliefs;
        let configuration = beliefs.configuration();
        let route = configuration
            .as_ref()
            .and_then(|configuration| configuration.route(&self.startup.database));
        let service = route.map_or("none", |route| &*route.service);
        let primary = beliefs.primary(service);
        let evidence_age = beliefs
            .latest_evidence(service)
            .map_or(-1, |sent_at| sent_at.elapsed().as_millis() as i64);
        Event::warn("request_failed")
            .field("request", String::from_utf8_lossy(request))
            .field("database", &self.startup.database)
            .field("user", &self.startup.user)
            .field("outcome", failure)
            .field("service", service)
            .field(
                "configuration",
                configuration.as_ref().map_or(0, |it| it.version),
            )
            .field("primary", primary.as_ref().map_or("none", |it| &it.id.0))
            .field("evidence_age_ms", evidence_age)
            .field("took_ms", received_at.elapsed().as_millis())
            .log();
    }

    fn status(&self) -> TransactionStatus {
        match self.transaction {
            Transaction::None => TransactionStatus::Idle,
            Transaction::Announced { .. } | Transaction::Open(_) => TransactionStatus::Open,
            Transaction::Failed | Transaction::EndedUnseen => TransactionStatus::Failed,
        }
    }

    async fn handle(&mut self, request: &CallerRequest, received_at: Instant) -> CallerReply {
        if let Some(reply) = self.handle_failed(&request.statement) {
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

    /// Answers in a transaction that is over: only its end is accepted.
    fn handle_failed(&mut self, statement: &Statement) -> Option<CallerReply> {
        let unseen = match self.transaction {
            Transaction::Failed => false,
            Transaction::EndedUnseen => true,
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
            _ if unseen => aborted,
            _ => CallerReply::Rejected(Rejection::Malformed),
        })
    }

    /// Refuses a statement for what it is; an open transaction fails with it.
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
        match self.route() {
            Ok(route) => {
                self.transaction = Transaction::Announced {
                    route,
                    read_only,
                    received_at,
                };
                CallerReply::Acknowledged
            }
            Err(failure) => CallerReply::Failed(failure),
        }
    }

    fn route(&self) -> Result<Arc<Route>, Failure> {
        let configuration = self
            .gateway
            .beliefs
            .configuration()
            .ok_or(Failure::NotRun(NotRun::NotConfigured))?;
        configuration
            .route(&self.startup.database)
            .cloned()
            .ok_or(Failure::NotRun(NotRun::UnknownDatabase))
    }

    async fn run_work(&mut self, work: Work, received_at: Instant) -> CallerReply {
        let result = match std::mem::replace(&mut self.transaction, Transaction::None) {
            Transaction::Open(open) => self.run_inside(open, &work, received_at).await,
            Transaction::Announced {
                route,
                read_only,
                received_at: begun_at,
            } => {
                self.run_first(route, read_only, begun_at, &work, received_at)
                    .await
            }
            _ => self.run_alone(&work, received_at).await,
        };
        match result {
            Ok(reply) => {
                self.count(&work, received_at, &reply);
                CallerReply::Relayed(reply)
            }
            Err(failure) => CallerReply::Failed(failure),
        }
    }

    fn count(&self, work: &Work, received_at: Instant, reply: &crate::ports::BackendReply) {
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

    async fn run_alone(
        &mut self,
        work: &Work,
        received_at: Instant,
    ) -> Result<crate::ports::BackendReply, Failure> {
        let route = self.route()?;
        let unit = Unit {
            route: &route,
            session: &self.state,
            received_at,
        };
        let opening = Opening::Alone;
        let answer = statement::run(&self.gateway, &unit, &mut self.marks, work, opening).await?;
        let reply = finish_alone(answer);
        if work.access() == Access::Write
            && is_success(&reply)
            && let Some(position) = reply.position
        {
            self.marks.committed(&route.service, position);
        }
        Ok(reply)
    }

    /// Runs the first statement of a transaction, which opens it.
    async fn run_first(
        &mut self,
        route: Arc<Route>,
        read_only: bool,
        begun_at: Instant,
        work: &Work,
        received_at: Instant,
    ) -> Result<crate::ports::BackendReply, Failure> {
        self.transaction = Transaction::Failed;
        // Freshness counts from the transaction's start, time limits from its
        // first statement: the caller may have paused in between.
        let unit = Unit {
            route: &route,
            session: &self.state,
            received_at: received_at.max(begun_at),
        };
        let opening = if read_only {
            Opening::ReadOnlyTransaction
        } else {
            Opening::Transaction
        };
        let answer = statement::run(&self.gateway, &unit, &mut self.marks, work, opening).await?;
        let reply = answer.reply.clone();
        let open = OpenTransaction::new(route, answer.lease, work.access());
        self.keep_open(open, &reply);
        Ok(reply)
    }

    async fn run_inside(
        &mut self,
        open: OpenTransaction<P>,
        work: &Work,
        received_at: Instant,
    ) -> Result<crate::ports::BackendReply, Failure> {
        self.transaction = Transaction::Failed;
        let (open, reply) = open
            .run(&self.gateway, &self.state, work, received_at)
            .await?;
        self.keep_open(open, &reply);
        Ok(reply)
    }

    fn keep_open(&mut self, open: OpenTransaction<P>, reply: &crate::ports::BackendReply) {
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
            Transaction::Announced {
                route, read_only, ..
            } => {
                self.commit_empty(route, read_only, &work, received_at)
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
    ) -> Result<crate::ports::BackendReply, Failure> {
        let service = open.route.service.clone();
        let answer_by = received_at + open.route.statement_timeout;
        let committed = open
            .commit(&self.gateway, &self.state, work, answer_by)
            .await?;
        if let Some(position) = committed.position {
            self.marks.committed(&service, position);
        }
        Ok(committed.reply)
    }

    /// A transaction without statements: its commit still needs an instance.
    async fn commit_empty(
        &mut self,
        route: Arc<Route>,
        read_only: bool,
        work: &Work,
        received_at: Instant,
    ) -> Result<crate::ports::BackendReply, Failure> {
        let unit = Unit {
            route: &route,
            session: &self.state,
            received_at,
        };
        let opening = if read_only {
            Opening::ReadOnlyTransaction
        } else {
            Opening::Transaction
        };
        let answer = statement::run(&self.gateway, &unit, &mut self.marks, work, opening).await?;
        Ok(finish_alone(answer))
    }

    async fn roll_back(&mut self) -> CallerReply {
        match std::mem::replace(&mut self.transaction, Transaction::None) {
            Transaction::Open(open) => {
                open.abandon();
                CallerReply::Acknowledged
            }
            Transaction::Announced { .. } => CallerReply::Acknowledged,
            _ => CallerReply::Rejected(Rejection::Malformed),
        }
    }
}
