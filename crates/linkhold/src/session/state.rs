//! What a session carries from one request to the next.

use std::collections::HashMap;
use std::sync::Arc;

use linkhold_core::classify::{Access, Classified};
use linkhold_core::position::Position;
use linkhold_wire::frontend::Parse;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

use crate::backend::SessionSettings;

/// A statement a caller has prepared.
#[derive(Debug)]
pub struct PreparedStatement {
    /// The message that prepares it.
    pub parse: Parse,
    /// What it is.
    pub classified: Arc<Classified>,
    /// Name it has on every back end connection: a hash of text and types, so
    /// that sessions share it.
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
    /// A majority fence for every read: nothing is known of the caller.
    Fence,
    /// The caller presents tokens, which say all there is to know.
    Token,
}

/// Session state that does not depend on a back end connection.
pub struct SessionState {
    /// Settings to be in force on any connection the session uses.
    pub settings: SessionSettings,
    /// Settings changed in the open transaction; kept only if it commits.
    pub transaction_settings: Vec<(String, Option<String>)>,
    /// Prepared statements by the caller's name; empty for the unnamed one.
    pub prepared: HashMap<String, Arc<PreparedStatement>>,
    /// How freshness is decided.
    pub freshness: Freshness,
    /// Highest position the session must not read below.
    pub floor: Position,
    /// Position of the last token sent to the caller.
    pub announced: Position,
    /// Access the caller has stated, in place of classification.
    pub stated_access: Option<Access>,
    /// The caller says that its reads may be sent again.
    pub repeatable: bool,
    /// Key of the next request.
    pub request_key: Option<String>,
    /// Last acknowledged write, for the pinning baseline.
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
            announced: Position::default(),
            stated_access: None,
            repeatable: false,
            request_key: None,
            last_write: None,
        }
    }

    /// Raises the floor to a position the session has seen.
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

    /// Keeps or drops the settings of a transaction that has ended.
    pub fn end_transaction(&mut self, committed: bool) {
        for (name, value) in std::mem::take(&mut self.transaction_settings) {
            if committed {
                self.change_setting(&name, value);
            }
        }
    }

    /// Returns to the state at the start, as `DISCARD ALL` does.
    pub fn discard(&mut self) {
        self.settings.clear();
        self.prepared.clear();
        self.stated_access = None;
        self.repeatable = false;
        self.request_key = None;
    }
}
