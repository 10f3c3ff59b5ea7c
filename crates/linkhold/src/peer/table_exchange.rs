//! Table requests between nodes, one on each TCP connection.

use std::net::SocketAddr;
use std::time::Duration;

use kameo::actor::ActorRef;
use linkhold_core::table_spread::{TableRequest, TableResponse};
use linkhold_peer::{MAX_TABLE_MESSAGE, PeerKey, TableMessage, decode_table, encode_table};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::table_actor::{PeerRequested, TableActor};

/// Longest time that an exchange may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest request, in bytes.
const MAX_REQUEST: usize = 256;
/// Requests served at once. More are dropped; their senders ask another node.
const MAX_SERVED: usize = 64;

/// Serves requests until its task is dropped.
pub async fn serve(listener: TcpListener, table_actor: ActorRef<TableActor>, key: PeerKey) {
    let mut exchanges = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while exchanges.try_join_next().is_some() {}
        if exchanges.len() >= MAX_SERVED {
            continue;
        }
        let serving = serve_one(stream, table_actor.clone(), key.clone());
        exchanges.spawn(async move {
            // The node that needs the table repeats a failed request.
            let _ = tokio::time::timeout(EXCHANGE_TIMEOUT, serving).await;
        });
    }
}

async fn serve_one(
    mut stream: TcpStream,
    table_actor: ActorRef<TableActor>,
    key: PeerKey,
) -> Option<()> {
    let bytes = read_message(&mut stream, MAX_REQUEST).await?;
    let Ok(TableMessage::Request(request)) = decode_table(&bytes, &key) else {
        return None;
    };
    let response = table_actor.ask(PeerRequested(request)).await.ok()?;
    let answer = encode_table(TableMessage::Response(response), &key);
    write_message(&mut stream, &answer).await
}

/// Requests a node's table; returns `None` if no usable answer arrives.
pub async fn fetch(
    from: SocketAddr,
    request: TableRequest,
    key: &PeerKey,
) -> Option<TableResponse> {
    let exchange = async {
        let mut stream = TcpStream::connect(from).await.ok()?;
        let bytes = encode_table(TableMessage::Request(request), key);
        write_message(&mut stream, &bytes).await?;
        let answer = read_message(&mut stream, MAX_TABLE_MESSAGE).await?;
        match decode_table(&answer, key) {
            Ok(TableMessage::Response(response)) => Some(response),
            _ => None,
        }
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .ok()?
}

async fn write_message(stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
    let length = u32::try_from(bytes.len()).ok()?;
    stream.write_u32(length).await.ok()?;
    stream.write_all(bytes).await.ok()
}

async fn read_message(stream: &mut TcpStream, max_length: usize) -> Option<Vec<u8>> {
    let length = usize::try_from(stream.read_u32().await.ok()?).ok()?;
    if length > max_length {
        return None;
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await.ok()?;
    Some(bytes)
}
