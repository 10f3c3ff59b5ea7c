//! One caller's session: reads statements, runs them and sends the answers.

mod activity;
mod operations;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use linkhold_core::outcome::{Failure, NotRun};
use linkhold_core::service::configuration::Admitted;
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::session::{SessionState, TransactionStatus};
use linkhold_events::Event;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout_at};

use crate::gateway::Gateway;
use crate::lifecycle::ShutdownStage;
use crate::ports::{
    CallerConnection, CallerError, CallerReply, CallerRequest, Platform, Startup, Statement,
};
use crate::request::session_positions::SessionPositions;
use crate::request::statement::is_success;
use crate::request::transaction::{OpenTransaction, log_aborted};
use activity::Activity;

/// The state of a session's transaction.
enum Transaction<P: Platform> {
    /// No transaction.
    None,
    /// Begun by the caller; nothing was sent to an instance yet.
    Begun {
        admitted: Admitted,
        read_only: bool,
        received_at: Instant,
    },
    /// Open on a connection.
    Open(OpenTransaction<P>),
    /// Failed, but not yet ended by the caller.
    Failed,
    /// Aborted by the node, which has not reported it to the caller yet.
    AbortedUnreported,
}

/// A session and its caller.
struct Session<P: Platform, C> {
    gateway: Arc<Gateway<P>>,
    caller: C,
    startup: Startup,
    state: SessionState,
    transaction: Transaction<P>,
    positions: SessionPositions,
    stage: watch::Receiver<ShutdownStage>,
    activity: Activity,
}

/// How long a new session waits for the node's first configuration.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(80);

/// Serves a caller until either side ends the session.
pub async fn serve<P: Platform, C: CallerConnection>(
    gateway: Arc<Gateway<P>>,
    mut caller: C,
    stage: watch::Receiver<ShutdownStage>,
) {
    gateway.metrics.sessions_opened.add();
    let metrics_holder = gateway.clone();
    if let Ok(Some(startup)) = caller.startup().await {
        let session = Session {
            positions: SessionPositions::new(Instant::now()),
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

/// When a shutdown closes a session.
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

/// Why a session stops waiting.
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
            self.log_refusal(&Bytes::from_static(b"-"), failure, self.positions.opened_at);
            let _ = self.caller.refuse(failure).await;
            return;
        }
        if self.caller.accept().await.is_err() {
            return;
        }
        if let Err(error) = self.serve_requests().await {
            Event::info("session_broken")
                .field("database", &self.startup.database)
                .field("tenant", self.tenant())
                .field("error", error)
                .log();
        }
        if let Transaction::Open(open) = self.transaction {
            open.abandon();
        }
    }

    /// Waits for the first configuration. A node that has just started reads it within
    /// milliseconds if the store can be reached.
    async fn wait_for_configuration(&self) {
        let deadline = self.positions.opened_at + CONFIGURATION_WAIT;
        let mut changes = self.gateway.cluster.subscribe();
        while !self.gateway.cluster.can_serve() {
            changes.mark_unchanged();
            if timeout_at(deadline.into(), changes.changed())
                .await
                .is_err()
            {
                return;
            }
        }
    }

    /// Admits the caller by the configuration in force.
    fn admit(&self) -> Result<Admitted, Failure> {
        let configuration = self.gateway.cluster.configuration();
        let configuration = configuration.ok_or(Failure::NotRun(NotRun::NotConfigured))?;
        configuration
            .admit(&self.startup.database, self.startup.credential.as_ref())
            .map_err(Failure::NotRun)
    }

    /// The caller's current tenant, for log lines.
    fn tenant(&self) -> String {
        let configuration = self.gateway.cluster.configuration();
        let tenancy = configuration.as_ref().and_then(|it| it.tenancy.as_ref());
        let credential = self.startup.credential.as_ref();
        let tenant = tenancy.and_then(|it| it.tenant_of(credential?));
        tenant.map_or("none".to_owned(), ToString::to_string)
    }

    /// The regions in which the caller's requests may run now, for log lines.
    fn regions(&self) -> AllowedRegions {
        let configuration = self.gateway.cluster.configuration();
        let regions = configuration.and_then(|configuration| {
            let route = configuration.route(&self.startup.database)?;
            let holder = configuration.holder(route, self.startup.credential.as_ref());
            Some(configuration.regions(route, &holder.ok()?))
        });
        regions.unwrap_or_default()
    }

    async fn serve_requests(&mut self) -> Result<(), CallerError> {
        loop {
            match self.wait().await {
                Wake::Request(Ok(Some(request))) => self.answer_request(request).await?,
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
            // The next round closes the session unless input has arrived.
            () = sleep_until_some(close_at) => Wake::StageChanged,
            () = sleep_until_some(idle_end) => Wake::IdleTooLong,
        }
    }

    /// When the open transaction reaches the idle limit; `None` without a limit or an open
    /// transaction.
    fn idle_end(&self) -> Option<Instant> {
        let Transaction::Open(_) = self.transaction else {
            return None;
        };
        let limit = self
            .gateway
            .cluster
            .configuration()?
            .transaction_idle_timeout?;
        Some(Instant::now() + limit)
    }

    /// When the shutdown closes this session at its current stage.
    fn closing(&mut self) -> Closing {
        let stage = *self.stage.borrow_and_update();
        let is_in_transaction = !matches!(self.transaction, Transaction::None);
        match stage {
            ShutdownStage::Serving => Closing::No,
            ShutdownStage::ClosingAll if is_in_transaction => {
                log_aborted(&self.startup.database, &self.tenant(), "node_stops");
                Closing::Now
            }
            ShutdownStage::ClosingIdle | ShutdownStage::Refusing if is_in_transaction => {
                Closing::No
            }
            // At any stage, a caller that is preparing an operation may finish it.
            ShutdownStage::ClosingIdle | ShutdownStage::Refusing | ShutdownStage::ClosingAll => {
                match self.activity.may_close_at() {
                    Some(at) if at > Instant::now() => Closing::At(at),
                    _ => Closing::Now,
                }
            }
        }
    }

    fn end_transaction(&mut self, reason: &'static str) {
        log_aborted(&self.startup.database, &self.tenant(), reason);
        self.gateway.metrics.transactions_aborted.add();
        let ended = std::mem::replace(&mut self.transaction, Transaction::AbortedUnreported);
        if let Transaction::Open(open) = ended {
            open.abandon();
        }
    }

    async fn answer_request(&mut self, request: CallerRequest) -> Result<(), CallerError> {
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
        let cluster = &self.gateway.cluster;
        let configuration = cluster.configuration();
        let route = configuration
            .as_ref()
            .and_then(|configuration| configuration.route(&self.startup.database));
        let service = route.map_or("none", |route| &*route.service);
        let primary = cluster.primary(service);
        let evidence_age = cluster
            .latest_evidence(service)
            .map_or(-1, |sent_at| sent_at.elapsed().as_millis() as i64);
        Event::warn("request_failed")
            .field("request", String::from_utf8_lossy(request))
            .field("database", &self.startup.database)
            .field("tenant", self.tenant())
            .field("outcome", failure)
            .field("service", service)
            .field(
                "configuration",
                configuration.as_ref().map_or(0, |it| it.version),
            )
            .field("regions", self.regions())
            .field("primary", primary.as_ref().map_or("none", |it| &it.id.0))
            .field("evidence_age_ms", evidence_age)
            .field("took_ms", received_at.elapsed().as_millis())
            .log();
    }

    fn status(&self) -> TransactionStatus {
        match self.transaction {
            Transaction::None => TransactionStatus::Idle,
            Transaction::Begun { .. } | Transaction::Open(_) => TransactionStatus::Open,
            Transaction::Failed | Transaction::AbortedUnreported => TransactionStatus::Failed,
        }
    }
}
