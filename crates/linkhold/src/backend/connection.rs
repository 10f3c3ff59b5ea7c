//! One connection to a back end instance.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures::FutureExt;
use linkhold_wire::frontend::put_query;
use linkhold_wire::reply::{ErrorFields, SessionStatus, complete_tag, read_data_row, ready_status};
use linkhold_wire::{Frame, FrameReader, WireError, kind};
use pgwire::messages::Message;
use pgwire::messages::cancel::CancelRequest;
use pgwire::messages::startup::{
    Authentication, BackendKeyData, ParameterStatus, SecretKey, Startup,
};
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Prepared statements kept on one connection; beyond this, the oldest is closed.
pub const MAX_PREPARED: usize = 256;

/// Why an operation on a back end failed.
#[derive(Debug, Error)]
pub enum BackendError {
    /// The connection failed or a message was malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The back end closed the connection.
    #[error("the back end closed the connection")]
    Closed,
    /// The back end did not answer in time.
    #[error("the back end did not answer in time")]
    TimedOut,
    /// The node's share of the connection limit is used up.
    #[error("the connection limit of this node is reached")]
    LimitReached,
    /// The back end refused with an error.
    #[error("{}: {}", .0.code, .0.message)]
    Refused(ErrorFields),
    /// The back end sent a message that the protocol does not allow here.
    #[error("unexpected {0} from the back end")]
    Protocol(&'static str),
}

impl From<std::io::Error> for BackendError {
    fn from(error: std::io::Error) -> Self {
        Self::Wire(error.into())
    }
}

/// Address and key of a cancel request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// Where to send it.
    pub address: SocketAddr,
    /// Process id of the back end.
    pub process: i32,
    /// Secret key of the back end.
    pub secret: i32,
}

impl CancelKey {
    /// Sends a cancel request. Ignores errors, because the protocol sends no answer
    /// in any case.
    pub async fn send(self) {
        let Ok(mut stream) = TcpStream::connect(self.address).await else {
            return;
        };
        let request = CancelRequest::new(self.process, SecretKey::I32(self.secret));
        let mut buffer = BytesMut::new();
        if request.encode(&mut buffer).is_ok() {
            let _ = stream.write_all(&buffer).await;
            // The back end closes the connection once it has read the request.
            let _ = tokio::io::AsyncReadExt::read_u8(&mut stream).await;
        }
    }
}

/// Settings that a session requires on its connection.
pub type SessionSettings = BTreeMap<String, String>;

/// A connection to a back end, after start-up.
pub struct BackendConnection {
    /// The socket.
    pub stream: TcpStream,
    /// Frames read from it.
    pub reader: FrameReader,
    /// For cancel requests.
    pub cancel_key: CancelKey,
    /// Parameters the back end reported at the start.
    pub parameters: Vec<(String, String)>,
    /// Names of statements prepared on the connection.
    pub prepared: HashSet<String>,
    /// The same names, oldest first.
    pub prepared_order: VecDeque<String>,
    /// Settings in force, or `None` if they are unknown.
    pub settings: Option<SessionSettings>,
    timeout: Duration,
}

/// Address, database and user of a connection.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address to dial.
    pub address: SocketAddr,
    /// Database name.
    pub database: Arc<str>,
    /// User name.
    pub user: Arc<str>,
}

impl BackendConnection {
    /// Connects and completes the start-up.
    pub async fn connect(target: &Target, timeout: Duration) -> Result<Self, BackendError> {
        let stream = TcpStream::connect(target.address).await?;
        stream.set_nodelay(true)?;
        let mut connection = Self {
            stream,
            reader: FrameReader::default(),
            cancel_key: CancelKey {
                address: target.address,
                process: 0,
                secret: 0,
            },
            parameters: Vec::new(),
            prepared: HashSet::new(),
            prepared_order: VecDeque::new(),
            settings: Some(SessionSettings::new()),
            timeout,
        };
        connection.send_startup(target).await?;
        connection.finish_startup().await?;
        Ok(connection)
    }

    async fn send_startup(&mut self, target: &Target) -> Result<(), BackendError> {
        let mut startup = Startup::new();
        startup.protocol_number_major = 3;
        startup.protocol_number_minor = 0;
        let parameters = [("user", &target.user), ("database", &target.database)];
        for (name, value) in parameters {
            startup
                .parameters
                .insert(name.to_owned(), value.to_string());
        }
        let mut buffer = BytesMut::new();
        startup
            .encode(&mut buffer)
            .map_err(|_| BackendError::Protocol("startup parameters"))?;
        self.stream.write_all(&buffer).await?;
        Ok(())
    }

    async fn finish_startup(&mut self) -> Result<(), BackendError> {
        loop {
            let frame = self.next_frame().await?;
            match frame.kind() {
                kind::AUTHENTICATION => {
                    let authentication: Authentication = frame.decode("Authentication")?;
                    if authentication != Authentication::Ok {
                        return Err(BackendError::Protocol("authentication request"));
                    }
                }
                kind::PARAMETER_STATUS => {
                    let status: ParameterStatus = frame.decode("ParameterStatus")?;
                    self.parameters.push((status.name, status.value));
                }
                kind::BACKEND_KEY_DATA => {
                    let key: BackendKeyData = frame.decode("BackendKeyData")?;
                    self.cancel_key.process = key.pid;
                    self.cancel_key.secret = key.secret_key.as_i32().unwrap_or_default();
                }
                kind::READY_FOR_QUERY => return Ok(()),
                kind::ERROR_RESPONSE => {
                    return Err(BackendError::Refused(ErrorFields::read(&frame)?));
                }
                kind::NOTICE_RESPONSE => {}
                _ => return Err(BackendError::Protocol("message during startup")),
            }
        }
    }

    /// Reads the next frame. Fails after the statement time-out.
    pub async fn next_frame(&mut self) -> Result<Frame, BackendError> {
        let next = self.reader.next(&mut self.stream);
        match tokio::time::timeout(self.timeout, next).await {
            Ok(Ok(Some(frame))) => Ok(frame),
            Ok(Ok(None)) => Err(BackendError::Closed),
            Ok(Err(error)) => Err(error.into()),
            Err(_) => Err(BackendError::TimedOut),
        }
    }

    /// Whether the connection is idle and open, as far as can be determined without
    /// waiting. Reads the socket only if it has become readable since the last read.
    pub fn is_reusable(&self) -> bool {
        if !self.reader.is_empty() {
            return false;
        }
        let nothing_to_read = self.stream.readable().now_or_never().is_none();
        if nothing_to_read {
            return true;
        }
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Runs a simple query and returns its complete result.
    pub async fn query_rows(&mut self, text: &str) -> Result<QueryResult, BackendError> {
        let mut buffer = BytesMut::new();
        put_query(&mut buffer, text);
        self.stream.write_all(&buffer).await?;
        let mut result = QueryResult::default();
        loop {
            let frame = self.next_frame().await?;
            match frame.kind() {
                kind::DATA_ROW => result.rows.push(read_data_row(&frame)?),
                kind::ERROR_RESPONSE => result.error = Some(ErrorFields::read(&frame)?),
                kind::COMMAND_COMPLETE => result.tag = Some(complete_tag(&frame)?),
                kind::READY_FOR_QUERY => {
                    result.status = Some(ready_status(&frame)?);
                    return Ok(result);
                }
                _ => {}
            }
        }
    }

    /// Runs a simple query. An error that the back end reports becomes
    /// [`BackendError::Refused`].
    pub async fn execute(&mut self, text: &str) -> Result<QueryResult, BackendError> {
        let result = self.query_rows(text).await?;
        match result.error {
            Some(error) => Err(BackendError::Refused(error)),
            None => Ok(result),
        }
    }

    /// Runs a simple query and returns the first value of its first row.
    pub async fn query_value(&mut self, text: &str) -> Result<String, BackendError> {
        let result = self.execute(text).await?;
        result
            .first_value()
            .ok_or(BackendError::Protocol("empty result"))
    }

    /// Sets the connection's settings to those of a session.
    pub async fn apply_settings(&mut self, wanted: &SessionSettings) -> Result<(), BackendError> {
        if self.settings.as_ref() == Some(wanted) {
            return Ok(());
        }
        self.settings = None;
        let mut script = "RESET ALL".to_owned();
        for (name, value) in wanted {
            let value = value.replace('\'', "''");
            script.push_str(&format!("; SET {name} = '{value}'"));
        }
        self.execute(&script).await?;
        self.settings = Some(wanted.clone());
        Ok(())
    }
}

/// Result of a simple query that the node runs itself.
#[derive(Debug, Default)]
pub struct QueryResult {
    /// Rows; `None` is null.
    pub rows: Vec<Vec<Option<Vec<u8>>>>,
    /// The error that the back end reported, if any.
    pub error: Option<ErrorFields>,
    /// Tag of the last completed statement.
    pub tag: Option<String>,
    /// Transaction status at the end.
    pub status: Option<SessionStatus>,
}

impl QueryResult {
    /// First value of the first row.
    pub fn first_value(&self) -> Option<String> {
        let value = self.rows.first()?.first()?.as_ref()?;
        Some(String::from_utf8_lossy(value).into_owned())
    }
}
