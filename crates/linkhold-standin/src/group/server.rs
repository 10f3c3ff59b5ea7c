//! Accepts the connections of one instance and handles their startup.

use std::collections::HashMap;
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, Mutex};

use bytes::BytesMut;
use linkhold_wire::reply::{self, ErrorFields, SessionStatus};
use linkhold_wire::{FrameReader, WireError};
use pgwire::messages::startup::Startup;
use pgwire::messages::{
    DecodeContext, PgWireFrontendMessage, ProtocolVersion, SslNegotiationMetaMessage,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::session::Session;
use super::state::GroupShared;

const TOO_MANY_CONNECTIONS: &str = "53300";

/// Cancel keys of an instance's open connections, with the signals to cancel.
pub type CancelKeys = Arc<Mutex<HashMap<(i32, i32), Arc<Notify>>>>;

static NEXT_PROCESS: AtomicI32 = AtomicI32::new(1);

/// Serves one instance until its task is dropped.
pub async fn serve(shared: Arc<GroupShared>, instance: usize, listener: TcpListener) {
    let cancel_keys = CancelKeys::default();
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        let crashed = shared.instances()[instance].crashed;
        if crashed {
            continue;
        }
        connections.spawn(run_connection(
            shared.clone(),
            instance,
            stream,
            cancel_keys.clone(),
        ));
    }
}

async fn run_connection(
    shared: Arc<GroupShared>,
    instance: usize,
    stream: TcpStream,
    cancel_keys: CancelKeys,
) {
    let mut generation = shared.limits[instance].generation.subscribe();
    generation.mark_unchanged();
    tokio::select! {
        // A failed connection has no client that could receive the error.
        _ = serve_connection(shared.clone(), instance, stream, cancel_keys) => {}
        _ = generation.changed() => {}
    }
}

/// Counts an open connection until dropped.
struct ConnectionCount {
    shared: Arc<GroupShared>,
    instance: usize,
}

impl ConnectionCount {
    /// Counts the connection; also returns whether it is within the limit.
    fn take(shared: &Arc<GroupShared>, instance: usize) -> (Self, bool) {
        let limits = &shared.limits[instance];
        let open = limits.connections.fetch_add(1, Ordering::Relaxed) + 1;
        limits.most_connections.fetch_max(open, Ordering::Relaxed);
        let count = Self {
            shared: shared.clone(),
            instance,
        };
        (count, open <= shared.options.connection_limit)
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.shared.limits[self.instance]
            .connections
            .fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(
    shared: Arc<GroupShared>,
    instance: usize,
    mut stream: TcpStream,
    cancel_keys: CancelKeys,
) -> Result<(), WireError> {
    stream.set_nodelay(true)?;
    let mut reader = FrameReader::default();
    let Some(_startup) = read_startup(&mut stream, &mut reader, &cancel_keys).await? else {
        return Ok(());
    };
    let (_count, within_limit) = ConnectionCount::take(&shared, instance);
    tokio::time::sleep(shared.options.connect_time).await;
    let mut buffer = BytesMut::new();
    if !within_limit {
        let error = ErrorFields::fatal(TOO_MANY_CONNECTIONS, "sorry, too many clients already");
        reply::put_error(&mut buffer, &error);
        stream.write_all(&buffer).await?;
        return Ok(());
    }
    let process = NEXT_PROCESS.fetch_add(1, Ordering::Relaxed);
    let key = (process, process ^ 0x5a5a_5a5a);
    reply::put_authentication_ok(&mut buffer);
    reply::put_parameter_status(&mut buffer, "server_version", "16.0 (linkhold stand-in)");
    reply::put_parameter_status(&mut buffer, "client_encoding", "UTF8");
    reply::put_backend_key(&mut buffer, key.0, key.1);
    reply::put_ready(&mut buffer, SessionStatus::Idle);
    stream.write_all(&buffer).await?;
    let cancelled = Arc::new(Notify::new());
    let keys = || cancel_keys.lock().expect("no panic while held");
    keys().insert(key, cancelled.clone());
    let connection = u64::try_from(process).unwrap_or_default();
    let mut session = Session::new(shared, instance, connection, cancelled);
    let result = session.run(&mut stream, &mut reader).await;
    keys().remove(&key);
    result
}

/// Reads the first messages, which have no type byte; `None` after a cancel request.
async fn read_startup(
    stream: &mut TcpStream,
    reader: &mut FrameReader,
    cancel_keys: &CancelKeys,
) -> Result<Option<Startup>, WireError> {
    use tokio::io::AsyncReadExt;
    let mut context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
    loop {
        match PgWireFrontendMessage::decode(reader.raw(), &context) {
            Ok(Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None))) => {
                context.awaiting_frontend_ssl = false;
            }
            Ok(Some(PgWireFrontendMessage::SslNegotiation(_))) => {
                stream.write_all(b"N").await?;
            }
            Ok(Some(PgWireFrontendMessage::CancelRequest(request))) => {
                let secret = request.secret_key.as_i32().unwrap_or_default();
                let keys = cancel_keys.lock().expect("no panic while held");
                if let Some(cancelled) = keys.get(&(request.pid, secret)) {
                    cancelled.notify_waiters();
                }
                return Ok(None);
            }
            Ok(Some(PgWireFrontendMessage::Startup(startup))) => return Ok(Some(startup)),
            Ok(Some(_)) | Err(_) => return Err(WireError::Malformed("Startup")),
            Ok(None) => {
                if stream.read_buf(reader.raw()).await? == 0 {
                    return Err(WireError::Truncated);
                }
            }
        }
    }
}
