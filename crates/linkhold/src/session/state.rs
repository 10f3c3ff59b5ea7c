//! State that a session keeps from one request to the next.

use std::collections::HashMap;
use std::sync::Arc;

use linkhold_core::classify::{Access, Classified};
use linkhold_core::position::Position;
use linkhold_wire::frontend::Parse;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::backend::SessionSettings;

/// A statement that a caller has prepared.
#[derive(Debug)]
pub struct PreparedStatement {
    /// The message that prepares it.
    pub parse: Parse,
    /// Its classification.
    pub classified: Arc<Classified>,
    /// Its name on every back end connection: a hash of text and parameter types,
    /// so that sessions share it.
    pub backend_name: String,
}

impl PreparedStatement {
    /// A statement with the name derived from its text and types.
    pub fn new(parse: Parse, classified: Arc<Classified>) -> Self {
        let mut hash = Xxh3::new();
        hash.update(parse.query.as_bytes());
        hash.update(&[0]);
        hash.update(&parse.parameter_types);
        let backend_name = format!("lh_{:032x}", hash.digest128());
        Self {
            parse,
            classified,
            backend_name,
        }
    }
}

/// How the freshness of reads is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// By a majority fence for every read, for callers that present no token.
    Fence,
    /// By the tokens that the caller presents, without a fence.
    Token,
}

/// Session state that does not depend on a back end connection.
pub struct SessionState {
    /// Settings to apply to any connection that the session uses.
    pub settings: SessionSettings,
    /// Settings changed in the open transaction; kept only if it commits.
    pub transaction_settings: Vec<(String, Option<String>)>,
    /// Prepared statements by the caller's name; the unnamed one has the empty name.
    pub prepared: HashMap<String, Arc<PreparedStatement>>,
    /// How freshness is decided.
    pub freshness: Freshness,
    /// Lowest position that the session's reads must reflect.
    pub floor: Position,
    /// Position of the last token sent to the caller.
    pub sent_floor: Position,
    /// Access that the caller has declared; it overrides the classification.
    pub declared_access: Option<Access>,
    /// Whether the caller has declared that its reads may be sent again.
    pub repeatable: bool,
    /// Key of the next request.
    pub request_key: Option<String>,
    /// When the last write was acknowledged, for the pinning baseline.
    pub last_write: Option<Instant>,
}

impl SessionState {
    /// State at the start of a session.
    pub fn new(settings: SessionSettings) -> Self {
        Self {
            settings,
            transaction_settings: Vec::new(),
            prepared: HashMap::new(),
            freshness: Freshness::Fence,
            floor: Position::default(),
            sent_floor: Position::default(),
            declared_access: None,
            repeatable: false,
            request_key: None,
            last_write: None,
        }
    }

    /// Raises the floor to a position that the session has observed.
    pub fn raise_floor(&mut self, position: Position) {
        self.floor = self.floor.max(position);
    }

    /// Records a setting; `None` removes it.
    pub fn change_setting(&mut self, name: &str, value: Option<String>) {
        match value {
            Some(value) => {
                self.settings.insert(name.to_owned(), value);
            }
            None => {
                self.settings.remove(name);
            }
        }
    }

    /// Applies the settings of a committed transaction, or drops those of one
    /// rolled back.
    pub fn end_transaction(&mut self, committed: bool) {
        for (name, value) in std::mem::take(&mut self.transaction_settings) {
            if committed {
                self.change_setting(&name, value);
            }
        }
    }

    /// Resets the state as `DISCARD ALL` does.
    pub fn discard(&mut self) {
        self.settings.clear();
        self.prepared.clear();
        self.declared_access = None;
        self.repeatable = false;
        self.request_key = None;
    }
}
