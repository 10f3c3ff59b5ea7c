//! A caller's session.
//!
//! [`run_session`] reads units of work ([`unit`]), answers some itself
//! ([`local`]) and runs the others on a leased back end connection
//! ([`lease`], [`exchange`]). Only [`request`] and [`write`] decide which failure
//! is reported to the caller.

mod cancel;
mod exchange;
mod lease;
mod local;
mod plan;
mod request;
mod startup;
mod state;
mod unit;
mod write;

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use linkhold_core::outcome::{Failure, NotRun};
use linkhold_wire::reply::{self, ErrorFields, SessionStatus};
use linkhold_wire::{FrameReader, WireError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

pub use cancel::{CancelHandle, CancelRegistry};
use lease::Lease;
use startup::{StartupOutcome, open_session};
use state::SessionState;
use unit::{Unit, UnitEnd, read_unit};

use crate::console;
use crate::log_event::{Event, EventName};
use crate::metrics::count;
use crate::node::NodeShared;

/// SQLSTATE "protocol violation".
const PROTOCOL_VIOLATION: &str = "08P01";
/// SQLSTATE "idle in transaction session timeout".
const IDLE_IN_TRANSACTION: &str = "25P03";
/// SQLSTATE "feature not supported".
const FEATURE_NOT_SUPPORTED: &str = "0A000";
/// How long a node waits for a caller to close the connection after the final
/// message.
const CLOSE_WAIT: Duration = Duration::from_secs(1);

/// A lease that a session keeps between units, for an open transaction or batch.
struct HeldLease {
    lease: Lease,
    /// Whether an explicit transaction is open, as opposed to a batch that
    /// continues after a Flush.
    in_transaction: bool,
    /// Transaction status last reported by the back end.
    status: SessionStatus,
}

/// One caller's session.
struct Session {
    node: Arc<NodeShared>,
    stream: TcpStream,
    reader: FrameReader,
    output: BytesMut,
    database: Arc<str>,
    state: SessionState,
    held: Option<HeldLease>,
    /// Whether messages are ignored up to the next Sync, after an error in a
    /// batch.
    skip_until_sync: bool,
    /// Whether the transaction was lost with its connection and the caller has
    /// not ended it yet.
    lost_transaction: bool,
    cancel: Arc<CancelHandle>,
    leaving: watch::Receiver<bool>,
}

/// Why a session stopped waiting for input.
enum Input {
    Ready,
    Closed,
    Leave,
    IdleTooLong,
}

/// Serves one client connection to its end.
pub async fn run_session(node: Arc<NodeShared>, mut stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut reader = FrameReader::default();
    let outcome = Box::pin(open_session(&node, &mut stream, &mut reader)).await;
    let opened = match outcome {
        Ok(StartupOutcome::Session(opened)) => opened,
        Ok(StartupOutcome::Done) => return,
        Err(error) => {
            reject(&node, &mut stream, &error).await;
            return;
        }
    };
    if opened.is_console {
        console::run(&node, &mut stream, &mut reader).await;
        return;
    }
    let mut session = Session {
        stream,
        reader,
        output: BytesMut::new(),
        database: opened.database,
        state: opened.state,
        held: None,
        skip_until_sync: false,
        lost_transaction: false,
        cancel: opened.cancel,
        leaving: node.leaving.subscribe(),
        node,
    };
    if let Err(error) = session.run().await {
        let node = session.node.clone();
        reject(&node, &mut session.stream, &error).await;
    }
}

/// Reports a protocol violation to the caller and in the log. An I/O error is
/// dropped, because the caller can no longer be reached.
async fn reject(node: &NodeShared, stream: &mut TcpStream, error: &WireError) {
    if matches!(error, WireError::Io(_)) {
        return;
    }
    Event::warn(EventName::ProtocolViolation)
        .field("node", &node.settings.node)
        .field("reason", error)
        .log();
    let fields = ErrorFields::fatal(PROTOCOL_VIOLATION, error.to_string());
    let mut output = BytesMut::new();
    reply::put_error(&mut output, &fields);
    send_final_message(stream, &output).await;
}

/// Sends a final message and waits up to [`CLOSE_WAIT`] for the caller to close,
/// so that a TCP reset does not discard the message.
async fn send_final_message(stream: &mut TcpStream, output: &[u8]) {
    if stream.write_all(output).await.is_err() || stream.shutdown().await.is_err() {
        return;
    }
    let mut scratch = [0; 1024];
    let drain =
        async { while matches!(stream.read(&mut scratch).await, Ok(count) if count > 0) {} };
    let _ = tokio::time::timeout(CLOSE_WAIT, drain).await;
}

impl Session {
    async fn run(&mut self) -> Result<(), WireError> {
        loop {
            if self.reader.is_empty() {
                self.reader.release_memory();
                match self.wait_for_input().await {
                    Input::Ready => {}
                    Input::Closed => return Ok(()),
                    Input::Leave => {
                        self.leave().await;
                        return Ok(());
                    }
                    Input::IdleTooLong => {
                        self.end_idle_transaction().await;
                        return Ok(());
                    }
                }
            }
            // Boxed so that an idle session does not hold the memory of this future.
            let continues = Box::pin(self.serve_next_unit()).await?;
            if !continues {
                return Ok(());
            }
        }
    }

    /// Waits for bytes from the caller. When the node leaves, a session ends
    /// here: between requests, outside a transaction and after everything
    /// received has been answered.
    async fn wait_for_input(&mut self) -> Input {
        let idle_limit = self.node.settings.idle_transaction_timeout;
        let holds_slot = self.held.is_some();
        let leaving = &mut self.leaving;
        let may_end = self.held.is_none() && !self.lost_transaction;
        let node_leaves = async {
            if !may_end || leaving.wait_for(|leaving| *leaving).await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        tokio::select! {
            biased;
            ready = self.stream.readable() => match ready {
                Ok(()) => Input::Ready,
                Err(_) => Input::Closed,
            },
            () = tokio::time::sleep(idle_limit), if holds_slot => Input::IdleTooLong,
            () = node_leaves => match self.stream.try_read_buf(self.reader.raw()) {
                Ok(0) => Input::Closed,
                Ok(_) => Input::Ready,
                Err(_) => Input::Leave,
            },
        }
    }

    /// Ends a session that holds a slot without sending anything. The back end
    /// rolls the transaction back when its connection closes.
    async fn end_idle_transaction(&mut self) {
        self.held = None;
        let fields = ErrorFields::fatal(
            IDLE_IN_TRANSACTION,
            "the transaction was idle for too long and was rolled back",
        )
        .with_detail("outcome=not_run reason=idle_in_transaction");
        reply::put_error(&mut self.output, &fields);
        let output = self.output.split();
        send_final_message(&mut self.stream, &output).await;
    }

    /// Ends the session because the node leaves.
    async fn leave(&mut self) {
        let failure = Failure::NotRun(NotRun::Stopping);
        let fields = ErrorFields::fatal(failure.sqlstate(), "the node is leaving; connect again")
            .with_detail(failure.detail(0.0));
        reply::put_error(&mut self.output, &fields);
        let output = self.output.split();
        send_final_message(&mut self.stream, &output).await;
    }

    /// Reads and serves one unit. Returns `false` when the session has ended.
    async fn serve_next_unit(&mut self) -> Result<bool, WireError> {
        let unit = read_unit(
            &mut self.reader,
            &mut self.stream,
            &mut self.state,
            &self.node.cache,
        )
        .await?;
        let Some(unit) = unit else {
            return Ok(false);
        };
        match unit {
            Unit::Terminate => return Ok(false),
            Unit::Unexpected => return Err(WireError::Malformed("frontend")),
            unit => self.serve(&unit).await?,
        }
        self.flush().await?;
        Ok(true)
    }

    async fn serve(&mut self, unit: &Unit) -> Result<(), WireError> {
        if self.skip_until_sync {
            if ends_with_sync(unit) {
                self.skip_until_sync = false;
                self.put_ready();
            }
            return Ok(());
        }
        if let Some(feature) = unit.unsupported() {
            let message = format!(
                "{} cannot be used through pooled connections; the statement was not run",
                feature.feature()
            );
            let fields = ErrorFields::error(FEATURE_NOT_SUPPORTED, message)
                .with_detail("outcome=not_run reason=unsupported");
            self.put_failure(unit, &fields);
            return Ok(());
        }
        if self.answer_locally(unit) {
            return Ok(());
        }
        if self.lost_transaction {
            self.answer_in_lost_transaction(unit);
            return Ok(());
        }
        self.run_unit(unit).await
    }

    /// Transaction status to report to the caller.
    fn status(&self) -> SessionStatus {
        match &self.held {
            Some(held) if held.in_transaction => held.status,
            _ if self.lost_transaction => SessionStatus::Error,
            _ => SessionStatus::Idle,
        }
    }

    fn put_ready(&mut self) {
        let status = self.status();
        reply::put_ready(&mut self.output, status);
    }

    /// Ends a unit with an error.
    fn put_failure(&mut self, unit: &Unit, fields: &ErrorFields) {
        reply::put_error(&mut self.output, fields);
        self.end_unit(unit);
    }

    /// Ends a unit whose answer is already in the output. A unit that ends with
    /// Flush gets here only on an error, so messages are skipped up to the
    /// caller's Sync.
    fn end_unit(&mut self, unit: &Unit) {
        if ends_with_sync(unit) {
            self.put_ready();
        } else {
            self.skip_until_sync = true;
        }
    }

    async fn flush(&mut self) -> Result<(), WireError> {
        if !self.output.is_empty() {
            let output = std::mem::take(&mut self.output);
            self.stream.write_all(&output).await?;
        }
        Ok(())
    }

    fn count_failure(&self, failure: Failure) {
        self.node.metrics.count_failure(failure);
        if let Failure::Unknown(reason) = failure {
            Event::warn(EventName::UnknownOutcome)
                .field("database", &self.database)
                .field("reason", reason.reason())
                .log();
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.node.cancels.remove(&self.cancel);
    }
}

fn ends_with_sync(unit: &Unit) -> bool {
    !matches!(
        unit,
        Unit::Extended {
            end: UnitEnd::Flush,
            ..
        }
    )
}

/// Counts an open client connection until it is dropped.
pub struct OpenConnection(Arc<NodeShared>);

impl OpenConnection {
    /// Counts an accepted connection.
    pub fn new(node: Arc<NodeShared>) -> Self {
        count(&node.metrics.connections_accepted);
        count(&node.metrics.connections_open);
        Self(node)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0
            .metrics
            .connections_open
            .fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }
}
