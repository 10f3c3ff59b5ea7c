//! One exchange with a back end: sends a unit and forwards the answer.

use bytes::BytesMut;
use linkhold_wire::frontend::put_sync;
use linkhold_wire::reply::{ErrorFields, SessionStatus, complete_tag, ready_status};
use linkhold_wire::{Frame, WireError, kind};
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::plan::{Disposition, PreparedNames, ReplyPlan};
use crate::backend::{BackendConnection, BackendError};

/// Answer bytes gathered before they are sent to the caller. Together with the
/// read buffer this bounds the memory that a streamed result takes in the node.
const FLUSH_THRESHOLD: usize = 32 * 1024;
/// Initial capacity of an answer's buffer, in bytes.
const SMALL_ANSWER: usize = 512;
/// Answer bytes of a write that are held back. Beyond this, rows that come before
/// the first completion are streamed.
const HOLD_THRESHOLD: usize = 256 * 1024;
/// Most answer bytes held back in all cases; more fail the exchange.
const MAX_HELD_BYTES: usize = 16 * 1024 * 1024;

/// When the answer is sent to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerPolicy {
    /// As it arrives.
    Stream,
    /// Once the commit is confirmed.
    Hold,
}

/// Why an exchange failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The back end failed after the unit had been sent.
    #[error(transparent)]
    Backend(#[from] BackendError),
    /// The caller's connection failed.
    #[error("the caller's connection failed: {0}")]
    Caller(std::io::Error),
}

/// How an exchange ended.
#[derive(Debug)]
pub struct Exchange {
    /// Transaction status, or `None` after a Flush.
    pub status: Option<SessionStatus>,
    /// Answer not yet sent, without ReadyForQuery.
    pub pending: BytesMut,
    /// The error the back end reported, if any.
    pub error: Option<ErrorFields>,
    /// Tag of the last completed statement.
    pub last_tag: Option<String>,
    /// Whether a statement completed as `COMMIT`.
    pub saw_commit: bool,
    /// Whether the connection's record of prepared statements is wrong, so that
    /// the connection must be closed.
    pub statements_out_of_sync: bool,
}

/// Runs one unit on a connection.
pub struct ExchangeRun<'a> {
    /// The back end.
    pub connection: &'a mut BackendConnection,
    /// The caller's socket.
    pub caller: &'a mut TcpStream,
    /// When the answer is sent to the caller.
    pub policy: AnswerPolicy,
    /// Whether part of the answer has been sent to the caller. Also valid after a
    /// failure.
    pub sent_to_caller: bool,
    /// Bytes to send to the back end, and how to handle the replies.
    pub plan: ReplyPlan,
}

impl ExchangeRun<'_> {
    /// Sends the unit and handles replies until the unit is answered.
    pub async fn run(&mut self) -> Result<Exchange, ExchangeError> {
        let mut exchange = Exchange {
            status: None,
            pending: BytesMut::with_capacity(SMALL_ANSWER),
            error: None,
            last_tag: None,
            saw_commit: false,
            statements_out_of_sync: false,
        };
        let request = std::mem::take(&mut self.plan.request);
        let mut sent = 0;
        loop {
            self.plan.put_synthesized(&mut exchange.pending);
            let all_answered = exchange.error.is_none() && self.plan.is_flushed();
            if all_answered && sent == request.len() {
                break;
            }
            let Some(frame) = self.next_frame(&request, &mut sent, &mut exchange).await? else {
                continue;
            };
            if frame.kind() == kind::READY_FOR_QUERY {
                exchange.status = Some(ready_status(&frame).map_err(BackendError::from)?);
                break;
            }
            let failed_flush = frame.kind() == kind::ERROR_RESPONSE && self.plan.ends_with_flush();
            self.handle(&frame, &mut exchange)?;
            if failed_flush {
                self.end_failed_flush().await?;
            }
        }
        exchange.statements_out_of_sync = self.plan.statements_out_of_sync();
        Ok(exchange)
    }

    /// Sends a Sync. After an error the back end skips messages up to a Sync, so
    /// the node sends its own at once to learn the transaction status, and skips
    /// the caller's.
    async fn end_failed_flush(&mut self) -> Result<(), ExchangeError> {
        let mut sync = BytesMut::new();
        put_sync(&mut sync);
        let written = self.connection.stream.write_all(&sync).await;
        written.map_err(BackendError::from)?;
        Ok(())
    }

    /// Reads the next reply. Meanwhile sends the rest of the request, and forwards
    /// gathered answers before waiting. Returns `None` after part of the request
    /// was sent.
    async fn next_frame(
        &mut self,
        request: &[u8],
        sent: &mut usize,
        exchange: &mut Exchange,
    ) -> Result<Option<Frame>, ExchangeError> {
        if let Some(frame) = self
            .connection
            .reader
            .buffered()
            .map_err(BackendError::from)?
        {
            if exchange.pending.len() > FLUSH_THRESHOLD {
                self.forward_pending(exchange).await?;
            }
            return Ok(Some(frame));
        }
        self.forward_pending(exchange).await?;
        if *sent == request.len() {
            return Ok(Some(self.connection.next_frame().await?));
        }
        let BackendConnection { stream, reader, .. } = &mut *self.connection;
        let (mut read_half, mut write_half) = stream.split();
        tokio::select! {
            biased;
            written = write_half.write(&request[*sent..]) => {
                *sent += written.map_err(BackendError::from)?;
                Ok(None)
            }
            frame = reader.next(&mut read_half) => {
                frame.map_err(BackendError::from)?.map(Some).ok_or(ExchangeError::Backend(BackendError::Closed))
            }
        }
    }

    fn handle(&mut self, frame: &Frame, exchange: &mut Exchange) -> Result<(), ExchangeError> {
        let kind_byte = frame.kind();
        if kind::COPY_RESPONSES.contains(&kind_byte) {
            return Err(BackendError::Protocol("COPY response").into());
        }
        let mut names = PreparedNames {
            names: &mut self.connection.prepared,
            order: &mut self.connection.prepared_order,
        };
        let disposition = self.plan.on_reply(kind_byte, &mut names);
        match kind_byte {
            kind::ERROR_RESPONSE => {
                exchange.error = Some(ErrorFields::read(frame).map_err(BackendError::from)?);
            }
            kind::COMMAND_COMPLETE if disposition == Disposition::Forward => {
                let tag = complete_tag(frame).map_err(BackendError::from)?;
                exchange.saw_commit |= tag == "COMMIT";
                exchange.last_tag = Some(tag);
            }
            _ => {}
        }
        // Notifications belong to a session that used LISTEN, which is refused.
        let for_caller = kind_byte != kind::NOTIFICATION_RESPONSE
            && kind_byte != kind::PARAMETER_STATUS
            && disposition == Disposition::Forward;
        if for_caller {
            exchange.pending.extend_from_slice(frame.bytes());
        }
        if exchange.pending.len() > MAX_HELD_BYTES {
            return Err(BackendError::Wire(WireError::Length(exchange.pending.len())).into());
        }
        Ok(())
    }

    /// Sends gathered answer bytes to the caller, if the policy allows it.
    async fn forward_pending(&mut self, exchange: &mut Exchange) -> Result<(), ExchangeError> {
        let may_forward = match self.policy {
            AnswerPolicy::Stream => !exchange.pending.is_empty(),
            AnswerPolicy::Hold => {
                exchange.last_tag.is_none() && exchange.pending.len() > HOLD_THRESHOLD
            }
        };
        if may_forward {
            self.sent_to_caller = true;
            let bytes = exchange.pending.split();
            self.caller
                .write_all(&bytes)
                .await
                .map_err(ExchangeError::Caller)?;
        }
        Ok(())
    }
}
