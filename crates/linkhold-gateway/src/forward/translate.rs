//! Conversion of statements and replies to and from messages between nodes.

use bytes::Bytes;
use linkhold_core::position::{Position, Term};
use linkhold_core::service::eligibility::Ineligible;
use linkhold_core::service::session::{Access, Prepared, SessionValues, TransactionStatus};
use linkhold_core::tenancy::ConnectionHolder;
use linkhold_peer::{
    ForwardErrorKind, ForwardFrame, ForwardIneligible, ForwardPosition, ForwardReply,
    ForwardResult, ForwardStatus, ForwardWork,
};
use minicbor::bytes::ByteVec;

use crate::ports::{BackendErrorKind, BackendOutcome, BackendReply};
use crate::request::batch::{TransactionFrame, Work};

fn to_wire(bytes: &Bytes) -> ByteVec {
    bytes.to_vec().into()
}

fn from_wire(bytes: &ByteVec) -> Bytes {
    Bytes::copy_from_slice(bytes)
}

fn access(writes: bool) -> Access {
    if writes { Access::Write } else { Access::Read }
}

/// The tenant whose connection a statement needs; `None` for a connection of no tenant.
pub(super) fn tenant(holder: &ConnectionHolder) -> Option<String> {
    holder.tenant().map(ToString::to_string)
}

pub(super) fn holder_from(tenant: Option<&str>) -> ConnectionHolder {
    match tenant {
        Some(tenant) => ConnectionHolder::Tenant(tenant.into()),
        None => ConnectionHolder::NoTenant,
    }
}

pub(super) fn ineligible(reason: Ineligible) -> ForwardIneligible {
    match reason {
        Ineligible::OutsideRegions => ForwardIneligible::OutsideRegions,
        Ineligible::Evacuated => ForwardIneligible::Evacuated,
    }
}

pub(super) fn ineligible_from(reason: ForwardIneligible) -> Ineligible {
    match reason {
        ForwardIneligible::OutsideRegions => Ineligible::OutsideRegions,
        ForwardIneligible::Evacuated => Ineligible::Evacuated,
    }
}

pub(super) fn values(values: &SessionValues) -> Vec<(ByteVec, ByteVec)> {
    let pairs = values.iter();
    pairs
        .map(|(name, value)| (to_wire(name), to_wire(value)))
        .collect()
}

pub(super) fn values_from(values: &[(ByteVec, ByteVec)]) -> SessionValues {
    let pairs = values.iter();
    pairs
        .map(|(name, value)| (from_wire(name), from_wire(value)))
        .collect()
}

pub(super) fn work(work: &Work) -> ForwardWork {
    match work {
        Work::Text { id, text, access } => ForwardWork::Text {
            id: to_wire(id),
            text: to_wire(text),
            writes: *access == Access::Write,
        },
        Work::Prepared {
            id,
            prepared,
            arguments,
        } => ForwardWork::Prepared {
            id: to_wire(id),
            shape: to_wire(&prepared.shape),
            writes: prepared.access == Access::Write,
            arguments: to_wire(arguments),
        },
        Work::Commit { id, text } => ForwardWork::Commit {
            id: to_wire(id),
            text: to_wire(text),
        },
    }
}

pub(super) fn work_from(work: &ForwardWork) -> Work {
    match work {
        ForwardWork::Text { id, text, writes } => Work::Text {
            id: from_wire(id),
            text: from_wire(text),
            access: access(*writes),
        },
        ForwardWork::Prepared {
            id,
            shape,
            writes,
            arguments,
        } => Work::Prepared {
            id: from_wire(id),
            prepared: Prepared {
                access: access(*writes),
                shape: from_wire(shape),
            },
            arguments: from_wire(arguments),
        },
        ForwardWork::Commit { id, text } => Work::Commit {
            id: from_wire(id),
            text: from_wire(text),
        },
    }
}

pub(super) fn position(position: Position) -> ForwardPosition {
    ForwardPosition {
        term: position.term.0,
        index: position.index,
    }
}

pub(super) fn position_from(position: ForwardPosition) -> Position {
    Position {
        term: Term(position.term),
        index: position.index,
    }
}

pub(super) fn frame(frame: TransactionFrame) -> ForwardFrame {
    match frame {
        // The owner knows the transaction by the connection that it lent.
        TransactionFrame::InTransaction => ForwardFrame::Bare { fence: None },
        TransactionFrame::Autocommit { fence } => ForwardFrame::Bare {
            fence: fence.map(position),
        },
        TransactionFrame::Begin { read_only, fence } => ForwardFrame::Opening {
            read_only,
            fence: fence.map(position),
        },
        TransactionFrame::ProvingPrimary => ForwardFrame::ProvingPrimary,
    }
}

pub(super) fn frame_from(frame: ForwardFrame) -> TransactionFrame {
    match frame {
        ForwardFrame::Bare { fence } => TransactionFrame::Autocommit {
            fence: fence.map(position_from),
        },
        ForwardFrame::Opening { read_only, fence } => TransactionFrame::Begin {
            read_only,
            fence: fence.map(position_from),
        },
        ForwardFrame::ProvingPrimary => TransactionFrame::ProvingPrimary,
    }
}

pub(super) fn error(kind: BackendErrorKind) -> ForwardErrorKind {
    match kind {
        BackendErrorKind::Busy => ForwardErrorKind::Busy,
        BackendErrorKind::Lagging => ForwardErrorKind::Lagging,
        BackendErrorKind::ReadOnly => ForwardErrorKind::ReadOnly,
        BackendErrorKind::WrongInstance => ForwardErrorKind::WrongInstance,
        BackendErrorKind::TooManyConnections => ForwardErrorKind::TooManyConnections,
        BackendErrorKind::UnknownPrepared => ForwardErrorKind::UnknownPrepared,
        BackendErrorKind::Aborted => ForwardErrorKind::Aborted,
        BackendErrorKind::Ran => ForwardErrorKind::Ran,
    }
}

pub(super) fn error_from(kind: ForwardErrorKind) -> BackendErrorKind {
    match kind {
        ForwardErrorKind::Busy => BackendErrorKind::Busy,
        ForwardErrorKind::Lagging => BackendErrorKind::Lagging,
        ForwardErrorKind::ReadOnly => BackendErrorKind::ReadOnly,
        ForwardErrorKind::WrongInstance => BackendErrorKind::WrongInstance,
        ForwardErrorKind::TooManyConnections => BackendErrorKind::TooManyConnections,
        ForwardErrorKind::UnknownPrepared => BackendErrorKind::UnknownPrepared,
        ForwardErrorKind::Aborted => BackendErrorKind::Aborted,
        ForwardErrorKind::Ran => BackendErrorKind::Ran,
    }
}

pub(super) fn reply(reply: &BackendReply) -> ForwardReply {
    ForwardReply {
        rows: reply.rows.iter().map(to_wire).collect(),
        result: match &reply.outcome {
            BackendOutcome::Completed(signature) => ForwardResult::Completed(to_wire(signature)),
            BackendOutcome::Error { kind, message } => {
                ForwardResult::Error(error(*kind), to_wire(message))
            }
        },
        status: match reply.status {
            TransactionStatus::Idle => ForwardStatus::Idle,
            TransactionStatus::Open => ForwardStatus::Open,
            TransactionStatus::Failed => ForwardStatus::Failed,
        },
        position: reply.position.map(position),
    }
}

pub(super) fn reply_from(reply: ForwardReply) -> BackendReply {
    BackendReply {
        rows: reply.rows.iter().map(from_wire).collect(),
        outcome: match &reply.result {
            ForwardResult::Completed(signature) => BackendOutcome::Completed(from_wire(signature)),
            ForwardResult::Error(kind, message) => BackendOutcome::Error {
                kind: error_from(*kind),
                message: from_wire(message),
            },
        },
        status: match reply.status {
            ForwardStatus::Idle => TransactionStatus::Idle,
            ForwardStatus::Open => TransactionStatus::Open,
            ForwardStatus::Failed => TransactionStatus::Failed,
        },
        position: reply.position.map(position_from),
    }
}
