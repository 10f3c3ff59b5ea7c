//! Encoding of log positions.

use linkhold_core::position::{Position, Term};
use minicbor::{Decode, Encode};

#[derive(Encode, Decode)]
pub(super) struct WirePosition {
    #[n(0)]
    term: u64,
    #[n(1)]
    index: u64,
}

pub(super) fn position_to_wire(position: Position) -> WirePosition {
    WirePosition {
        term: position.term.0,
        index: position.index,
    }
}

pub(super) fn position_from_wire(wire: WirePosition) -> Position {
    Position {
        term: Term(wire.term),
        index: wire.index,
    }
}
