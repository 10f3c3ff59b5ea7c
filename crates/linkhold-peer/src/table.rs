//! Encoding of table requests and answers.

use linkhold_core::table::Delta;
use linkhold_core::table_spread::{TableRequest, TableResponse};
use minicbor::{Decode, Encode};

use crate::{MAX_TABLE_MESSAGE, PeerError, PeerKey};

/// A message about the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableMessage {
    /// Asks for a newer version.
    Request(TableRequest),
    /// Answers a request.
    Response(TableResponse),
}

#[derive(Encode, Decode)]
struct WireDelta {
    #[n(0)]
    removed: Vec<(String, String, String)>,
    #[n(1)]
    changed: Vec<Vec<String>>,
}

#[derive(Encode, Decode)]
enum WireTable {
    #[n(0)]
    Request(#[n(0)] u64),
    #[n(1)]
    NothingNewer,
    #[n(2)]
    Deltas(#[n(0)] u64, #[n(1)] Vec<WireDelta>, #[n(2)] u64),
    #[n(3)]
    Whole(#[n(0)] u64, #[n(1)] Vec<Vec<String>>, #[n(2)] u64),
}

/// Encodes a message, without its length prefix.
pub fn encode_table(message: TableMessage, key: &PeerKey) -> Vec<u8> {
    let wire = match message {
        TableMessage::Request(request) => WireTable::Request(request.have),
        TableMessage::Response(TableResponse::NothingNewer) => WireTable::NothingNewer,
        TableMessage::Response(TableResponse::Deltas {
            from,
            deltas,
            digest,
        }) => {
            let deltas = deltas
                .into_iter()
                .map(|delta| WireDelta {
                    removed: delta.removed,
                    changed: delta.changed,
                })
                .collect();
            WireTable::Deltas(from, deltas, digest)
        }
        TableMessage::Response(TableResponse::Whole {
            version,
            rows,
            digest,
        }) => WireTable::Whole(version, rows, digest),
    };
    let body = minicbor::to_vec(&wire).expect("encoding to memory does not fail");
    key.seal(&body)
}

/// Checks and decodes a message.
pub fn decode_table(bytes: &[u8], key: &PeerKey) -> Result<TableMessage, PeerError> {
    let body = key.open(bytes, MAX_TABLE_MESSAGE)?;
    let wire: WireTable = minicbor::decode(body).map_err(|_| PeerError::Malformed)?;
    Ok(match wire {
        WireTable::Request(have) => TableMessage::Request(TableRequest { have }),
        WireTable::NothingNewer => TableMessage::Response(TableResponse::NothingNewer),
        WireTable::Deltas(from, deltas, digest) => {
            let deltas = deltas
                .into_iter()
                .map(|delta| Delta {
                    removed: delta.removed,
                    changed: delta.changed,
                })
                .collect();
            TableMessage::Response(TableResponse::Deltas {
                from,
                deltas,
                digest,
            })
        }
        WireTable::Whole(version, rows, digest) => TableMessage::Response(TableResponse::Whole {
            version,
            rows,
            digest,
        }),
    })
}
