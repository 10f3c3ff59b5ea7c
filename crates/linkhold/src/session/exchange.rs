//! One exchange with a back end: sends a unit and passes the answer on.

use bytes::BytesMut;
use linkhold_wire::frontend::put_sync;
use linkhold_wire::reply::{ErrorFields, SessionStatus, complete_tag, ready_status};
use linkhold_wire::{Frame, WireError, kind};
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::plan::{Disposition, PreparedNames, ReplyPlan};
use crate::backend::{BackendConnection, BackendError};

/// Answer bytes gathered before they are sent to the caller. Together with
/// the read buffer this bounds what a streamed result takes in the node.
const FLUSH_THRESHOLD: usize = 32 * 1024;
/// Room made for an answer at first.
const SMALL_ANSWER: usize = 512;
/// Answer bytes of a write that are held back; beyond this, rows that come
/// before the first completion are streamed.
const HOLD_THRESHOLD: usize = 256 * 1024;
/// Most answer bytes held back at all.
const MAX_HELD: usize = 16 * 1024 * 1024;

/// What is done with the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerPolicy {
    /// Passed on as it comes.
    Stream,
    /// Held back until the commit is confirmed.
    Hold,
}

/// Why an exchange failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The back end failed after the unit had been sent.
    #[error(transparent)]
    Backend(#[from] BackendError),
    /// The caller's connection failed.
    #[error("the caller is gone: {0}")]
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
    /// A statement completed as `COMMIT`.
    pub saw_commit: bool,
    /// The connection's record of statements is no longer right.
    pub lost_track: bool,
}

/// Runs one unit on a connection. `sent_to_caller` tells, also after a
/// failure, whether part of the answer has reached the caller.
pub struct ExchangeRun<'a> {
    /// The back end.
    pub connection: &'a mut BackendConnection,
    /// The caller's socket.
    pub caller: &'a mut TcpStream,
    /// What is done with the answer.
    pub policy: AnswerPolicy,
    /// Whether part of the answer has been sent.
    pub sent_to_caller: bool,
    /// What the caller gets.
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
            lost_track: false,
        };
        let request = std::mem::take(&mut self.plan.request);
        let mut sent = 0;
        loop {
            self.plan.put_due(&mut exchange.pending);
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
        exchange.lost_track = self.plan.lost_track();
        Ok(exchange)
    }

    /// After an error the back end skips messages up to a Sync. The node sends
    /// it now, to learn the transaction status, and skips the caller's.
    async fn end_failed_flush(&mut self) -> Result<(), ExchangeError> {
        let mut sync = BytesMut::new();
        put_sync(&mut sync);
        let written = self.connection.stream.write_all(&sync).await;
        written.map_err(BackendError::from)?;
        Ok(())
    }

    /// Next reply. Sends what is left of the request meanwhile, and passes
    /// gathered answers on before waiting. `None` after progress in sending.
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
                self.pass_on(exchange).await?;
            }
            return Ok(Some(frame));
        }
        self.pass_on(exchange).await?;
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
        if exchange.pending.len() > MAX_HELD {
            return Err(BackendError::Wire(WireError::Length(exchange.pending.len())).into());
        }
        Ok(())
    }

    /// Sends gathered answer bytes, as far as the policy lets them go.
    async fn pass_on(&mut self, exchange: &mut Exchange) -> Result<(), ExchangeError> {
        let may_go = match self.policy {
            AnswerPolicy::Stream => !exchange.pending.is_empty(),
            AnswerPolicy::Hold => {
                exchange.last_tag.is_none() && exchange.pending.len() > HOLD_THRESHOLD
            }
        };
        if may_go {
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
