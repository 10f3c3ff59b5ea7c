//! Tests the PostgreSQL protocol with real clients and a real node process.

mod common;

use std::time::Duration;

use common::{NodeProcess, StandIn, WAIT_TIMEOUT, connect, connect_with, eventually, rows};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_postgres::NoTls;
use tokio_postgres::error::SqlState;
use tokio_postgres::types::Type;

async fn start() -> (StandIn, NodeProcess) {
    start_with("").await
}

async fn start_with(settings: &str) -> (StandIn, NodeProcess) {
    let standin = StandIn::start(&["--connect-ms", "0"]);
    standin.put_table(&standin.table(|_, _| {})).await;
    let node = NodeProcess::start(&standin, "node-1", settings);
    (standin, node)
}

fn code(error: &tokio_postgres::Error) -> String {
    error
        .code()
        .map(|code| code.code().to_owned())
        .unwrap_or_default()
}

fn detail(error: &tokio_postgres::Error) -> String {
    let detail = error.as_db_error().and_then(|error| error.detail());
    detail.unwrap_or_default().to_owned()
}

#[tokio::test]
async fn extended_queries_with_parameters() {
    let (standin, node) = start().await;
    let client = connect(&node.address, &standin.database).await;
    let insert = client
        .prepare_typed(
            "INSERT INTO episodes VALUES ($1, $2)",
            &[Type::TEXT, Type::TEXT],
        )
        .await
        .expect("is prepared");
    for number in 0..10 {
        let changed = client
            .execute(&insert, &[&number.to_string(), &format!("title {number}")])
            .await
            .expect("runs");
        assert_eq!(changed, 1);
    }
    let select = client
        .prepare("SELECT title FROM episodes WHERE id = $1")
        .await
        .expect("is prepared");
    for number in 0..10 {
        let row = client
            .query_one(&select, &[&number.to_string()])
            .await
            .expect("is found");
        assert_eq!(row.get::<_, String>(0), format!("title {number}"));
    }
}

/// Guards against statements that are missing when a session gets another back end
/// connection from the pool than the one that prepared them.
#[tokio::test]
async fn prepared_statements_survive_a_change_of_connection() {
    let (standin, node) = start().await;
    let mut clients = Vec::new();
    for _ in 0..20 {
        let client = connect(&node.address, &standin.database).await;
        let statement = client
            .prepare("SELECT $1 || 'x'")
            .await
            .expect("is prepared");
        clients.push((client, statement));
    }
    for round in 0..5 {
        let queries = clients
            .iter()
            .enumerate()
            .map(|(index, (client, statement))| async move {
                let text = format!("{round}-{index}-");
                let row = client.query_one(statement, &[&text]).await.expect("runs");
                assert_eq!(row.get::<_, String>(0), format!("{text}x"));
            });
        futures::future::join_all(queries).await;
    }
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let (standin, node) = start().await;
    let client = connect(&node.address, &standin.database).await;
    let statement = client
        .prepare("SELECT $1 || ''")
        .await
        .expect("is prepared");
    let queries = (0..200).map(|number| {
        let (client, statement) = (&client, &statement);
        async move {
            let text = number.to_string();
            let row = client.query_one(statement, &[&text]).await.expect("runs");
            assert_eq!(row.get::<_, String>(0), text);
        }
    });
    futures::future::join_all(queries).await;
}

#[tokio::test]
async fn transactions_commit_and_roll_back() {
    let (standin, node) = start().await;
    let mut client = connect(&node.address, &standin.database).await;
    let transaction = client.transaction().await.expect("begins");
    transaction
        .batch_execute("INSERT INTO episodes VALUES ('kept', 'a')")
        .await
        .expect("runs");
    transaction.commit().await.expect("commits");
    let transaction = client.transaction().await.expect("begins");
    transaction
        .batch_execute("INSERT INTO episodes VALUES ('dropped', 'b')")
        .await
        .expect("runs");
    transaction.rollback().await.expect("rolls back");
    let found = rows(&client, "SELECT id FROM episodes")
        .await
        .expect("is read");
    assert_eq!(found, [["kept"]]);
}

#[tokio::test]
async fn an_error_in_a_transaction_fails_it_until_rollback() {
    let (standin, node) = start().await;
    let client = connect(&node.address, &standin.database).await;
    client.batch_execute("BEGIN").await.expect("begins");
    let error = client
        .batch_execute("SELECT * FROM missing")
        .await
        .expect_err("fails");
    assert_eq!(error.code(), Some(&SqlState::UNDEFINED_TABLE));
    let error = client.batch_execute("SELECT 1").await.expect_err("fails");
    assert_eq!(error.code(), Some(&SqlState::IN_FAILED_SQL_TRANSACTION));
    client.batch_execute("ROLLBACK").await.expect("rolls back");
    assert_eq!(rows(&client, "SELECT 1").await.expect("runs"), [["1"]]);
}

#[tokio::test]
async fn copy_and_session_features_are_refused_and_not_run() {
    let (standin, node) = start().await;
    let client = connect(&node.address, &standin.database).await;
    let refused = [
        "COPY episodes FROM STDIN",
        "COPY episodes TO STDOUT",
        "LISTEN news",
        "CREATE TEMPORARY TABLE scratch (x TEXT)",
        "SELECT pg_advisory_lock(1)",
        "SELECT set_config('work_mem', '1', false)",
        "SET work_mem = '1'; SELECT 1",
    ];
    for statement in refused {
        let error = client
            .batch_execute(statement)
            .await
            .expect_err("is refused");
        assert_eq!(code(&error), "0A000", "{statement}");
        assert!(detail(&error).starts_with("outcome=not_run"), "{statement}");
    }
    assert_eq!(
        rows(&client, "SELECT 1").await.expect("still usable"),
        [["1"]]
    );
}

/// Guards against a cancel request that ends a statement of another session.
#[tokio::test]
async fn a_cancel_request_reaches_only_its_own_query() {
    let (standin, node) = start().await;
    let sleeper = connect(&node.address, &standin.database).await;
    let other = connect(&node.address, &standin.database).await;
    let token = sleeper.cancel_token();
    let sleeping = tokio::spawn(async move {
        let result = sleeper.batch_execute("SELECT pg_sleep(20)").await;
        (sleeper, result)
    });
    let undisturbed = tokio::spawn(async move { other.batch_execute("SELECT pg_sleep(1)").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    token.cancel_query(NoTls).await.expect("is sent");
    let (sleeper, result) = tokio::time::timeout(WAIT_TIMEOUT, sleeping)
        .await
        .expect("ends early")
        .expect("does not panic");
    assert_eq!(code(&result.expect_err("was cancelled")), "57014");
    undisturbed
        .await
        .expect("does not panic")
        .expect("is not cancelled");
    assert_eq!(
        rows(&sleeper, "SELECT 1").await.expect("still usable"),
        [["1"]]
    );
}

/// Guards against settings that are lost with a change of the back end connection,
/// that leak to the next session on it, or that survive a rollback.
#[tokio::test]
async fn settings_follow_their_session_and_reach_no_other() {
    let (standin, node) = start().await;
    let first = connect(&node.address, &standin.database).await;
    let second = connect_with(&node.address, &standin.database, "-c search_path=second").await;
    first
        .batch_execute("SET search_path = 'first'")
        .await
        .expect("is set");
    for _ in 0..10 {
        let own = rows(&first, "SHOW search_path").await.expect("is shown");
        assert_eq!(own, [["first"]]);
        let other = rows(&second, "SHOW search_path").await.expect("is shown");
        assert_eq!(other, [["second"]]);
    }
    first.batch_execute("BEGIN; ").await.expect("begins");
    first
        .batch_execute("SET search_path = 'undone'")
        .await
        .expect("is set");
    first.batch_execute("ROLLBACK").await.expect("rolls back");
    let after = rows(&first, "SHOW search_path").await.expect("is shown");
    assert_eq!(after, [["first"]]);
    first
        .batch_execute("RESET search_path")
        .await
        .expect("is reset");
    let after = rows(&first, "SHOW search_path").await.expect("is shown");
    assert_eq!(after, [[""]]);
}

#[tokio::test]
async fn tokens_are_checked() {
    let (standin, node) = start().await;
    let client = connect(&node.address, &standin.database).await;
    client
        .batch_execute("INSERT INTO episodes VALUES ('1', 'a')")
        .await
        .expect("runs");
    let token = rows(&client, "SHOW linkhold.token")
        .await
        .expect("is shown")[0][0]
        .clone();
    let roaming = connect_with(
        &node.address,
        &standin.database,
        &format!("-c linkhold.token={token}"),
    )
    .await;
    let found = rows(&roaming, "SELECT id FROM episodes")
        .await
        .expect("is read");
    assert_eq!(found, [["1"]]);
    let forged = token.replace(&token[20..24], "ffff");
    for bad in [forged.as_str(), "nonsense"] {
        let error = roaming
            .batch_execute(&format!("SET linkhold.token = '{bad}'"))
            .await
            .expect_err("is refused");
        assert_eq!(code(&error), "22023");
        assert!(detail(&error).contains("reason=bad_token"));
    }
}

/// Guards against a node that buffers a streamed result in memory.
#[tokio::test]
async fn a_big_result_does_not_grow_the_node() {
    const ROWS: usize = 200_000;
    const LARGEST_GROWTH_KB: u64 = 6_000;
    let (standin, node) = start().await;
    let client = connect(&node.address, &standin.database).await;
    rows(&client, "SELECT 1").await.expect("runs");
    let before = peak_memory_kb(node.process_id());
    let query = format!(
        "WITH RECURSIVE c(x) AS (SELECT 1 UNION ALL SELECT x + 1 FROM c WHERE x < {ROWS}) \
         SELECT x, hex(zeroblob(512)) FROM c"
    );
    let stream = client
        .query_raw::<_, &str, _>(&query, [])
        .await
        .expect("runs");
    let mut stream = std::pin::pin!(stream);
    let mut count = 0;
    let mut bytes = 0;
    while let Some(row) = futures::StreamExt::next(&mut stream).await {
        let row = row.expect("arrives whole");
        bytes += row.get::<_, &str>(1).len();
        count += 1;
    }
    assert_eq!(count, ROWS);
    assert!(bytes >= 200_000_000, "{bytes}");
    let growth = peak_memory_kb(node.process_id()) - before;
    assert!(growth < LARGEST_GROWTH_KB, "the node grew by {growth} kB");
}

fn peak_memory_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM:"))
        .expect("is listed");
    line.split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok())
        .expect("is a number")
}

/// Opens a session on a raw socket and returns the socket after ReadyForQuery.
async fn raw_session(node: &NodeProcess, database: &str) -> TcpStream {
    let mut stream = TcpStream::connect(&node.address).await.expect("connects");
    let mut body = 196_608_u32.to_be_bytes().to_vec();
    body.extend_from_slice(format!("user\0test\0database\0{database}\0\0").as_bytes());
    let length = u32::try_from(body.len() + 4).expect("is small");
    stream
        .write_all(&length.to_be_bytes())
        .await
        .expect("is sent");
    stream.write_all(&body).await.expect("is sent");
    loop {
        let (kind, _) = read_message(&mut stream).await.expect("is answered");
        if kind == b'Z' {
            return stream;
        }
    }
}

async fn read_message(stream: &mut TcpStream) -> std::io::Result<(u8, Vec<u8>)> {
    let kind = stream.read_u8().await?;
    let length = stream.read_u32().await? as usize;
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body).await?;
    Ok((kind, body))
}

/// Next message that is not a change of the session's token.
async fn read_reply(stream: &mut TcpStream) -> u8 {
    const PARAMETER_STATUS: u8 = b'S';
    loop {
        let (kind, _) = read_message(stream).await.expect("is answered");
        if kind != PARAMETER_STATUS {
            return kind;
        }
    }
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(
        &u32::try_from(body.len() + 4)
            .expect("is small")
            .to_be_bytes(),
    );
    bytes.extend_from_slice(body);
    bytes
}

/// Guards against malformed messages that crash the node or disturb other sessions.
#[tokio::test]
async fn broken_frames_end_their_connection_and_nothing_else() {
    let (standin, node) = start().await;
    // The node has its table once a session can be opened.
    connect(&node.address, &standin.database).await;
    let broken = [
        message(b'Q', b"SELECT 'a\0b'\0"),
        message(b'Q', b"SELECT 1"),
        message(b'Q', b"SELECT '\xff'\0"),
        message(b'P', b"name\0SELECT 1\0\0\x09"),
        message(b'B', b"\0\0\0\0\0\x01\0\0\0\x7fshort"),
        message(b'D', b"X\0"),
        message(b'E', b"portal"),
        message(b'!', b""),
        vec![b'Q', 0, 0, 0, 1],
        vec![b'Q', 0x7f, 0xff, 0xff, 0xff, 0, 0],
    ];
    for bytes in broken {
        let mut stream = raw_session(&node, &standin.database).await;
        stream.write_all(&bytes).await.expect("is sent");
        let (kind, body) = read_message(&mut stream).await.expect("is answered");
        assert_eq!(kind, b'E', "{bytes:?}");
        let text = String::from_utf8_lossy(&body);
        assert!(
            text.contains("FATAL") && text.contains("08P01"),
            "{bytes:?}: {text}"
        );
        assert!(
            read_message(&mut stream).await.is_err(),
            "the connection ends"
        );
    }
    let mut garbage = TcpStream::connect(&node.address).await.expect("connects");
    garbage
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .await
        .expect("is sent");
    let (kind, _) = read_message(&mut garbage).await.expect("is answered");
    assert_eq!(kind, b'E');
    let client = connect(&node.address, &standin.database).await;
    assert_eq!(
        rows(&client, "SELECT 1")
            .await
            .expect("the node still runs"),
        [["1"]]
    );
}

#[tokio::test]
async fn a_flush_is_answered_before_the_sync() {
    let (standin, node) = start().await;
    connect(&node.address, &standin.database).await;
    let mut stream = raw_session(&node, &standin.database).await;
    let mut batch = message(b'P', b"s\0SELECT 'flushed'\0\0\0");
    batch.extend(message(b'D', b"Ss\0"));
    batch.extend(message(b'H', b""));
    stream.write_all(&batch).await.expect("is sent");
    for expected in [b'1', b't', b'T'] {
        assert_eq!(
            char::from(read_reply(&mut stream).await),
            char::from(expected)
        );
    }
    let mut batch = message(b'B', b"\0s\0\0\0\0\0\0\0");
    batch.extend(message(b'E', b"\0\0\0\0\0"));
    batch.extend(message(b'S', b""));
    stream.write_all(&batch).await.expect("is sent");
    for expected in [b'2', b'D', b'C', b'Z'] {
        assert_eq!(
            char::from(read_reply(&mut stream).await),
            char::from(expected)
        );
    }
    // After an error in a flushed batch, messages are skipped up to the Sync.
    let mut batch = message(b'P', b"\0SELECT * FROM missing\0\0\0");
    batch.extend(message(b'H', b""));
    batch.extend(message(b'B', b"\0\0\0\0\0\0\0\0"));
    batch.extend(message(b'S', b""));
    batch.extend(message(b'Q', b"SELECT 2\0"));
    stream.write_all(&batch).await.expect("is sent");
    for expected in [b'E', b'Z', b'T', b'D', b'C', b'Z'] {
        assert_eq!(
            char::from(read_reply(&mut stream).await),
            char::from(expected)
        );
    }
}

#[tokio::test]
async fn the_console_shows_pools_groups_table_and_stats() {
    let (standin, node) = start().await;
    connect(&node.address, &standin.database).await;
    let console = connect(&node.address, "linkhold").await;
    let groups = rows(&console, "SHOW GROUPS").await.expect("is shown");
    assert_eq!(groups.len(), 3);
    assert_eq!(groups[0][..2], ["catalog-1", "db0"]);
    assert_eq!(
        rows(&console, "show pools;").await.expect("is shown").len(),
        3
    );
    let table = rows(&console, "SHOW TABLE").await.expect("is shown");
    assert_eq!(table[0][0], "1");
    let stats = rows(&console, "SHOW STATS").await.expect("is shown");
    assert!(stats.iter().any(|row| row[0] == "reads_replica"));
    let error = rows(&console, "SHOW NONSENSE")
        .await
        .expect_err("is refused");
    let message = error.as_db_error().expect("is an answer").message();
    assert!(message.contains("SHOW POOLS"), "{message}");
}

#[tokio::test]
async fn an_unknown_database_is_refused_with_a_retry_time() {
    let (standin, node) = start().await;
    connect(&node.address, &standin.database).await;
    let (host, port) = node.address.split_once(':').expect("is host:port");
    let text = format!("host={host} port={port} user=test dbname=nowhere");
    let Err(error) = tokio_postgres::connect(&text, NoTls).await else {
        panic!("an unknown database was accepted");
    };
    assert_eq!(code(&error), "3D000");
    assert!(
        detail(&error).contains("retry_after_ms="),
        "{}",
        detail(&error)
    );
}

#[tokio::test]
async fn callers_get_the_version_of_the_back_end() {
    let (standin, node) = start().await;
    connect(&node.address, &standin.database).await;
    let (host, port) = node.address.split_once(':').expect("is host:port");
    let text = format!(
        "host={host} port={port} user=test dbname={}",
        standin.database
    );
    eventually("the version is known", || async {
        let (_client, connection) = tokio_postgres::connect(&text, NoTls)
            .await
            .expect("connects");
        connection.parameter("server_version") == Some("16.0 (linkhold stand-in)")
    })
    .await;
}
