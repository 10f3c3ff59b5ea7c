//! StartupOutcome of a session: encryption requests, cancel requests, start-up
//! parameters.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::BytesMut;
use linkhold_core::outcome::{Failure, NotRun};
use linkhold_wire::reply::{self, ErrorFields, SessionStatus};
use linkhold_wire::{FrameReader, WireError};
use pgwire::messages::startup::Startup;
use pgwire::messages::{
    DecodeContext, PgWireFrontendMessage, ProtocolVersion, SslNegotiationMetaMessage,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::cancel::CancelHandle;
use super::local::apply_linkhold_setting;
use super::{PROTOCOL_VIOLATION, SessionState, send_final_message};
use crate::backend::SessionSettings;
use crate::console;
use crate::node::NodeShared;

/// Longest start-up message, as in PostgreSQL.
const MAX_STARTUP_LENGTH: usize = 10_000;
const REFUSE_ENCRYPTION: &[u8] = b"N";
/// Prefix of linkhold's own settings.
const OWN_PREFIX: &str = "linkhold.";
/// Parameters that name the user and the database, or need handling of their own;
/// all others are settings.
const IDENTITY_PARAMETERS: [&str; 4] = ["user", "database", "replication", "options"];
const INVALID_AUTHORIZATION: &str = "28000";

/// Result of the start-up of a connection.
pub enum StartupOutcome {
    /// A session is open.
    Session(OpenedSession),
    /// The connection was a cancel request, was refused or was closed; it needs
    /// no further handling.
    Done,
}

/// An opened session.
pub struct OpenedSession {
    /// The database.
    pub database: Arc<str>,
    /// Settings and tokens from the start-up parameters.
    pub state: SessionState,
    /// State for cancel requests.
    pub cancel: Arc<CancelHandle>,
    /// Whether the session is for the operators' console and not for a database.
    pub is_console: bool,
}

/// Reads the first messages of a connection and answers them.
pub async fn open_session(
    node: &NodeShared,
    stream: &mut TcpStream,
    reader: &mut FrameReader,
) -> Result<StartupOutcome, WireError> {
    let startup = match read_first_message(node, stream, reader).await? {
        Some(startup) => startup,
        None => return Ok(StartupOutcome::Done),
    };
    match check_startup(node, &startup) {
        Ok((database, state)) => {
            let is_console = &*database == console::DATABASE;
            let cancel = node.cancels.register();
            let startup_reply = startup_reply(node, &database, &startup, &cancel);
            stream.write_all(&startup_reply).await?;
            Ok(StartupOutcome::Session(OpenedSession {
                database,
                state,
                cancel,
                is_console,
            }))
        }
        Err(fields) => {
            let mut output = BytesMut::new();
            reply::put_error(&mut output, &fields);
            send_final_message(stream, &output).await;
            Ok(StartupOutcome::Done)
        }
    }
}

async fn read_first_message(
    node: &NodeShared,
    stream: &mut TcpStream,
    reader: &mut FrameReader,
) -> Result<Option<Startup>, WireError> {
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    loop {
        if !is_first_message_valid(reader.raw()) {
            return Err(WireError::Malformed("start-up"));
        }
        match PgWireFrontendMessage::decode(reader.raw(), &context) {
            Ok(Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None))) => {
                context.awaiting_frontend_ssl = false;
            }
            Ok(Some(PgWireFrontendMessage::SslNegotiation(_))) => {
                stream.write_all(REFUSE_ENCRYPTION).await?;
            }
            Ok(Some(PgWireFrontendMessage::CancelRequest(request))) => {
                let secret = request.secret_key.as_i32().unwrap_or_default();
                node.cancels.cancel((request.pid, secret)).await;
                return Ok(None);
            }
            Ok(Some(PgWireFrontendMessage::Startup(startup))) => return Ok(Some(startup)),
            Ok(Some(_)) | Err(_) => return Err(WireError::Malformed("start-up")),
            Ok(None) => {
                if stream.read_buf(reader.raw()).await? == 0 {
                    return Ok(None);
                }
            }
        }
    }
}

/// Whether the length field is valid and the message, once complete, ends with the
/// zero byte that the protocol requires. The library's decoder assumes both
/// without a check.
fn is_first_message_valid(buffer: &BytesMut) -> bool {
    const MIN_STARTUP_LENGTH: usize = 8;
    const CANCEL_LENGTH: usize = 16;
    let Some(length) = buffer.first_chunk::<4>() else {
        return true;
    };
    let length = u32::from_be_bytes(*length) as usize;
    if !(MIN_STARTUP_LENGTH..=MAX_STARTUP_LENGTH).contains(&length) {
        return false;
    }
    if buffer.len() < length || length == MIN_STARTUP_LENGTH {
        return true;
    }
    let is_cancel = buffer[4..8] == 80_877_102_u32.to_be_bytes();
    if is_cancel {
        return length >= CANCEL_LENGTH;
    }
    buffer[length - 1] == 0
}

/// Checks the start-up parameters and builds the session's state.
fn check_startup(
    node: &NodeShared,
    startup: &Startup,
) -> Result<(Arc<str>, SessionState), ErrorFields> {
    const SUPPORTED_MAJOR: u16 = 3;
    if startup.protocol_number_major != SUPPORTED_MAJOR {
        return Err(ErrorFields::fatal(
            PROTOCOL_VIOLATION,
            "only protocol version 3 is supported",
        ));
    }
    let parameters = &startup.parameters;
    let Some(user) = parameters.get("user") else {
        return Err(ErrorFields::fatal(
            INVALID_AUTHORIZATION,
            "no user name given",
        ));
    };
    if parameters.contains_key("replication") {
        return Err(ErrorFields::fatal(
            super::FEATURE_NOT_SUPPORTED,
            "replication connections are not proxied",
        ));
    }
    let database: Arc<str> = parameters.get("database").unwrap_or(user).as_str().into();
    let open = node.metrics.connections_open.load(Ordering::Relaxed);
    if open > u64::from(node.settings.client_connections) {
        return Err(refusal(NotRun::Overloaded));
    }
    let leaving = *node.leaving.borrow();
    if leaving {
        return Err(refusal(NotRun::Stopping));
    }
    if &*database != console::DATABASE && node.directory.get(&database).is_none() {
        let reason = match node.table.load().version {
            0 => NotRun::NoPrimary,
            _ => NotRun::UnknownDatabase,
        };
        return Err(refusal(reason));
    }
    let mut state = SessionState::new(SessionSettings::new());
    for (name, value) in requested_settings(parameters) {
        if name.starts_with(OWN_PREFIX) {
            apply_linkhold_setting(node, &database, &mut state, &name, Some(&value))?;
        } else {
            state.change_setting(&name, Some(value));
        }
    }
    Ok((database, state))
}

fn refusal(reason: NotRun) -> ErrorFields {
    let failure = Failure::NotRun(reason);
    ErrorFields::fatal(failure.sqlstate(), failure.to_string())
        .with_detail(failure.detail(rand::random()))
}

/// Settings from parameters and from `options` of the form `-c name=value`.
fn requested_settings(parameters: &BTreeMap<String, String>) -> Vec<(String, String)> {
    let is_valid_name = |name: &str| {
        name.chars()
            .all(|character| character.is_ascii_alphanumeric() || "._".contains(character))
    };
    let mut settings: Vec<(String, String)> = parameters
        .iter()
        .filter(|(name, _)| !IDENTITY_PARAMETERS.contains(&name.as_str()))
        .filter(|(name, _)| is_valid_name(name))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.clone()))
        .collect();
    let options = parameters.get("options").map_or("", String::as_str);
    let words = options
        .split_whitespace()
        .flat_map(|word| word.strip_prefix("-c").or(word.strip_prefix("--")))
        .chain(
            options
                .split_whitespace()
                .filter(|word| !word.starts_with('-')),
        );
    for word in words {
        if let Some((name, value)) = word.split_once('=')
            && is_valid_name(name)
        {
            settings.push((name.to_ascii_lowercase(), value.to_owned()));
        }
    }
    settings
}

fn startup_reply(
    node: &NodeShared,
    database: &str,
    startup: &Startup,
    cancel: &CancelHandle,
) -> BytesMut {
    let mut output = BytesMut::new();
    reply::put_authentication_ok(&mut output);
    let encoding = startup
        .parameters
        .get("client_encoding")
        .map_or("UTF8", String::as_str);
    let parameters = [
        ("server_version", node.server_version(database)),
        ("server_encoding", "UTF8".to_owned()),
        ("client_encoding", encoding.to_owned()),
        ("DateStyle", "ISO, MDY".to_owned()),
        ("TimeZone", "UTC".to_owned()),
        ("integer_datetimes", "on".to_owned()),
        ("standard_conforming_strings", "on".to_owned()),
        ("linkhold.node", node.settings.node.clone()),
    ];
    for (name, value) in &parameters {
        reply::put_parameter_status(&mut output, name, value);
    }
    let (process, secret) = cancel.key();
    reply::put_backend_key(&mut output, process, secret);
    reply::put_ready(&mut output, SessionStatus::Idle);
    output
}
