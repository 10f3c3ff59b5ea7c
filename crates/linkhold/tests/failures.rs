//! Tests real nodes under failures: failovers, killed and leaving nodes and back
//! ends, late answers, and the outcomes that callers get.

mod common;

use std::time::Duration;

use common::{NodeProcess, StandIn, WAIT_TIMEOUT, connect, eventually, rows};
use linkhold_standin::relay::{Link, Relay, RelayState};
use tokio_postgres::Client;

fn detail(error: &tokio_postgres::Error) -> String {
    let detail = error.as_db_error().and_then(|error| error.detail());
    detail.unwrap_or_default().to_owned()
}

fn insert(id: &str) -> String {
    format!("INSERT INTO episodes VALUES ('{id}', 'title')")
}

async fn count(client: &Client, id: &str) -> usize {
    let query = format!("SELECT id FROM episodes WHERE id = '{id}'");
    rows(client, &query).await.expect("is read").len()
}

async fn start(extra: &[&str]) -> (StandIn, NodeProcess, NodeProcess) {
    let mut arguments = vec!["--connect-ms", "0"];
    arguments.extend(extra);
    let standin = StandIn::start(&arguments);
    standin.put_table(&standin.table(|_, _| {})).await;
    let first = NodeProcess::start(&standin, "node-1", "");
    let second = NodeProcess::start(&standin, "node-2", "");
    (standin, first, second)
}

/// Crashes or isolates the primary; returns its index.
async fn act_on_primary(standin: &StandIn, action: &str) -> usize {
    let primary = standin.primary().await;
    let path = format!("/instances/{primary}/{action}");
    standin.control(&path).await;
    primary
}

/// Guards against writes that fail during a failover instead of waiting for the new
/// primary, and against acknowledged writes that are lost with the old one.
#[tokio::test]
async fn a_write_waits_for_the_new_primary_and_is_kept() {
    let (standin, first, second) = start(&[]).await;
    let writer = connect(&first.address, &standin.database).await;
    let reader = connect(&second.address, &standin.database).await;
    writer
        .batch_execute(&insert("before"))
        .await
        .expect("is acknowledged");
    let primary = act_on_primary(&standin, "crash").await;
    // The first write may fail on the broken connection; later writes wait.
    let _ = writer.batch_execute(&insert("meets the crash")).await;
    writer
        .batch_execute(&insert("after"))
        .await
        .expect("is acknowledged");
    assert_ne!(standin.primary().await, primary);
    assert_eq!(count(&reader, "before").await, 1);
    assert_eq!(count(&reader, "after").await, 1);
}

/// Guards against the acknowledgement of a write that only an isolated primary holds:
/// the write is lost once a majority elects another primary.
#[tokio::test]
async fn a_primary_cut_off_from_its_peers_acknowledges_nothing() {
    let (standin, first, _second) = start(&["--election-ms", "1000"]).await;
    let writer = connect(&first.address, &standin.database).await;
    writer
        .batch_execute(&insert("before"))
        .await
        .expect("is acknowledged");
    let primary = act_on_primary(&standin, "isolate").await;
    // The old primary still accepts the commit, but no majority ever holds it.
    let error = writer
        .batch_execute(&insert("lost"))
        .await
        .expect_err("is not acknowledged");
    assert_eq!(detail(&error), "outcome=unknown reason=primary_replaced");
    writer
        .batch_execute(&insert("after"))
        .await
        .expect("is acknowledged");
    standin.control(&format!("/instances/{primary}/heal")).await;
    assert_eq!(count(&writer, "lost").await, 0);
    assert_eq!(count(&writer, "after").await, 1);
}

/// Guards against a request that runs after it was reported as not run. The write
/// reaches an isolated primary, so its outcome is unknown, and the node records its
/// key as cancelled at the new primary.
#[tokio::test]
async fn an_unknown_outcome_is_resolved_by_its_request_key() {
    let (standin, first, second) = start(&["--election-ms", "1000"]).await;
    let writer = connect(&first.address, &standin.database).await;
    writer
        .batch_execute(&insert("before"))
        .await
        .expect("is acknowledged");
    let primary = act_on_primary(&standin, "isolate").await;
    writer
        .batch_execute("SET linkhold.request_key = 'key-1'")
        .await
        .expect("is set");
    let error = writer
        .batch_execute(&insert("keyed"))
        .await
        .expect_err("was lost");
    assert!(
        detail(&error).starts_with("outcome=not_run reason=key_cancelled"),
        "{}",
        detail(&error)
    );
    standin.control(&format!("/instances/{primary}/heal")).await;
    // The key is recorded as cancelled, so the request cannot run through any node.
    let other = connect(&second.address, &standin.database).await;
    other
        .batch_execute("SET linkhold.request_key = 'key-1'")
        .await
        .expect("is set");
    let error = other
        .batch_execute(&insert("keyed"))
        .await
        .expect_err("is refused");
    assert!(
        detail(&error).starts_with("outcome=not_run reason=key_cancelled"),
        "{}",
        detail(&error)
    );
    assert_eq!(count(&other, "keyed").await, 0);
}

/// Guards against a request that runs twice because a caller sends it through two
/// nodes at once.
#[tokio::test]
async fn a_request_sent_twice_with_one_key_runs_once() {
    let (standin, first, second) = start(&[]).await;
    let callers = [
        connect(&first.address, &standin.database).await,
        connect(&second.address, &standin.database).await,
    ];
    for number in 0..20 {
        let id = format!("episode-{number}");
        let send = async |client: &Client| {
            let set = format!("SET linkhold.request_key = '{id}'");
            client.batch_execute(&set).await.expect("is set");
            client.batch_execute(&insert(&id)).await
        };
        let results = tokio::join!(send(&callers[0]), send(&callers[1]));
        let outcomes: Vec<String> = [results.0, results.1]
            .iter()
            .map(|result| match result {
                Ok(()) => "acknowledged".to_owned(),
                Err(error) => detail(error),
            })
            .collect();
        let acknowledged = outcomes
            .iter()
            .filter(|text| *text == "acknowledged")
            .count();
        let completed = outcomes
            .iter()
            .filter(|text| text.starts_with("outcome=completed"))
            .count();
        assert_eq!((acknowledged, completed), (1, 1), "{outcomes:?}");
        assert_eq!(count(&callers[0], &id).await, 1);
    }
}

/// Guards against a part of a transaction that stays when its node is killed.
#[tokio::test]
async fn a_node_killed_in_a_transaction_leaves_nothing_of_it() {
    let (standin, mut first, second) = start(&[]).await;
    let writer = connect(&first.address, &standin.database).await;
    writer.batch_execute("BEGIN").await.expect("begins");
    writer.batch_execute(&insert("half")).await.expect("runs");
    first.kill();
    let survivor = connect(&second.address, &standin.database).await;
    survivor
        .batch_execute(&insert("whole"))
        .await
        .expect("is acknowledged");
    assert_eq!(count(&survivor, "half").await, 0);
    assert_eq!(count(&survivor, "whole").await, 1);
}

/// Guards against statements that run outside their transaction after it was lost with
/// the primary: they fail until the caller sends ROLLBACK.
#[tokio::test]
async fn a_lost_transaction_is_reported_as_not_run_until_rollback() {
    let (standin, first, _second) = start(&[]).await;
    let writer = connect(&first.address, &standin.database).await;
    writer.batch_execute("BEGIN").await.expect("begins");
    writer.batch_execute(&insert("lost")).await.expect("runs");
    act_on_primary(&standin, "crash").await;
    let error = writer
        .batch_execute(&insert("lost too"))
        .await
        .expect_err("is lost");
    assert!(
        detail(&error).starts_with("outcome=not_run"),
        "{}",
        detail(&error)
    );
    let error = writer
        .batch_execute("SELECT 1")
        .await
        .expect_err("is failed");
    assert_eq!(error.code().map(|code| code.code()), Some("25P02"));
    writer.batch_execute("ROLLBACK").await.expect("ends it");
    writer
        .batch_execute(&insert("next"))
        .await
        .expect("is acknowledged");
    assert_eq!(count(&writer, "lost").await, 0);
}

/// Guards against requests and transactions that a stopping node aborts although they
/// arrived before the signal.
#[tokio::test]
async fn a_graceful_stop_finishes_received_requests() {
    let (standin, first, second) = start(&[]).await;
    let idle = connect(&first.address, &standin.database).await;
    let busy = connect(&first.address, &standin.database).await;
    let in_transaction = connect(&first.address, &standin.database).await;
    in_transaction.batch_execute("BEGIN").await.expect("begins");
    in_transaction
        .batch_execute(&insert("a"))
        .await
        .expect("runs");
    let sleeping = tokio::spawn(async move { busy.batch_execute("SELECT pg_sleep(1)").await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    first.signal("TERM");
    eventually("the idle session ends", || async { idle.is_closed() }).await;
    in_transaction
        .batch_execute(&insert("b"))
        .await
        .expect("still runs");
    in_transaction
        .batch_execute("COMMIT")
        .await
        .expect("still commits");
    sleeping
        .await
        .expect("does not panic")
        .expect("is finished");
    let ended = tokio::task::spawn_blocking(move || first.wait());
    let (code, log) = tokio::time::timeout(WAIT_TIMEOUT, ended)
        .await
        .expect("the node ends")
        .expect("does not panic");
    assert_eq!(code, Some(0));
    assert!(
        log.contains("event=node_stopped node=node-1 drained=true"),
        "{log}"
    );
    let other = connect(&second.address, &standin.database).await;
    assert_eq!(count(&other, "a").await, 1);
    assert_eq!(count(&other, "b").await, 1);
}

/// Instances that ran the query, in order.
async fn instances_that_ran(standin: &StandIn, query: &str) -> Vec<u64> {
    let records = standin.records().await;
    records
        .iter()
        .filter(|record| record["text"] == query)
        .filter_map(|record| record["instance"].as_u64())
        .collect()
}

#[tokio::test]
async fn a_leaving_back_end_gets_no_new_work() {
    let (standin, first, _second) = start(&[]).await;
    let client = connect(&first.address, &standin.database).await;
    let leaving = standin.table(|index, row| {
        if index == 1 {
            row.state = "leaving".to_owned();
        }
    });
    let version = standin.put_table(&leaving).await.to_string();
    eventually("the edit is in force", || async {
        rows(&client, "SHOW linkhold.table_version")
            .await
            .expect("is shown")
            == [[version.clone()]]
    })
    .await;
    for _ in 0..50 {
        rows(&client, "SELECT 'after'").await.expect("is read");
    }
    assert_eq!(
        instances_that_ran(&standin, "SELECT 'after'").await,
        [2; 50]
    );
}

#[tokio::test]
async fn a_back_end_on_a_leaving_machine_gets_no_new_work() {
    const BATCH: usize = 50;
    let (standin, first, _second) = start(&[]).await;
    let client = connect(&first.address, &standin.database).await;
    standin.control("/machines/2/leaving").await;
    let mut round = 0;
    eventually("reads avoid the leaving machine", || {
        round += 1;
        let query = format!("SELECT 'round-{round}'");
        let (client, standin) = (&client, &standin);
        async move {
            for _ in 0..BATCH {
                rows(client, &query).await.expect("is read");
            }
            instances_that_ran(standin, &query).await == [1; BATCH]
        }
    })
    .await;
}

/// Guards against an answer that arrives after its request has timed out and is sent to
/// the next request on the same back end connection.
#[tokio::test]
async fn a_late_answer_reaches_no_other_request() {
    let standin = StandIn::start(&["--connect-ms", "0"]);
    standin.put_table(&standin.table(|_, _| {})).await;
    let settings = "[backend]\nprobe_timeout_ms = 300\nstatement_timeout_ms = 300\n";
    let node = NodeProcess::start(&standin, "node-1", settings);
    let clients = [
        connect(&node.address, &standin.database).await,
        connect(&node.address, &standin.database).await,
    ];
    rows(&clients[0], "SELECT 'warm'").await.expect("is read");
    for instance in 1..3 {
        standin
            .control(&format!(
                "/instances/{instance}/answer-delay?milliseconds=700"
            ))
            .await;
    }
    // A request may time out or be refused, but never gets another request's answer.
    for number in 0..6 {
        let text = format!("SELECT 'late-{number}'");
        if let Ok(found) = rows(&clients[number % 2], &text).await {
            assert_eq!(found, [[format!("late-{number}")]]);
        }
    }
    for instance in 1..3 {
        standin
            .control(&format!(
                "/instances/{instance}/answer-delay?milliseconds=0"
            ))
            .await;
    }
    eventually("reads are answered again", || async {
        rows(&clients[0], "SELECT 'again'").await.is_ok()
    })
    .await;
    for number in 0..30 {
        let text = format!("SELECT 'next-{number}'");
        let found = rows(&clients[number % 2], &text).await.expect("is read");
        assert_eq!(found, [[format!("next-{number}")]]);
    }
}

#[tokio::test]
async fn a_refusal_is_immediate_and_has_a_retry_time() {
    let standin = StandIn::start(&["--connect-ms", "0", "--election-ms", "60000"]);
    let table = standin.table(|_, row| row.write_wait = 300);
    standin.put_table(&table).await;
    let node = NodeProcess::start(&standin, "node-1", "");
    let client = connect(&node.address, &standin.database).await;
    rows(&client, "SELECT 1").await.expect("is read");
    standin.control("/instances/0/crash").await;
    let _ = client.batch_execute(&insert("meets the crash")).await;
    let error = client
        .batch_execute(&insert("refused"))
        .await
        .expect_err("there is no primary");
    let detail = detail(&error);
    assert_eq!(error.code().map(|code| code.code()), Some("LH001"));
    assert!(
        detail.starts_with("outcome=not_run reason=no_primary retry_after_ms="),
        "{detail}"
    );
    // Reads continue without a primary.
    assert_eq!(rows(&client, "SELECT 1").await.expect("is read"), [["1"]]);
}

/// Guards against reads that are sent to an instance that no longer answers while its
/// connections stay open.
#[tokio::test]
async fn reads_avoid_a_silent_back_end() {
    let standin = StandIn::start(&["--connect-ms", "0"]);
    let mut relays = Vec::new();
    for address in &standin.instances {
        let address = address.parse().expect("is an address");
        relays.push(
            Relay::start(address, RelayState::default())
                .await
                .expect("starts"),
        );
    }
    let relayed = standin.table(|index, row| row.address = relays[index].address().to_string());
    standin.put_table(&relayed).await;
    let settings = "[backend]\nprobe_timeout_ms = 200\nstatement_timeout_ms = 500\n";
    let node = NodeProcess::start(&standin, "node-1", settings);
    let client = connect(&node.address, &standin.database).await;
    client
        .batch_execute(&insert("first"))
        .await
        .expect("is acknowledged");
    relays[1].set_link(Link::BlackHole);
    eventually("reads avoid the silent back end", || async {
        let mut answered = true;
        for _ in 0..10 {
            answered &= rows(&client, "SELECT 1").await.is_ok();
        }
        answered
    })
    .await;
    client
        .batch_execute(&insert("second"))
        .await
        .expect("is acknowledged");
    relays[1].set_link(Link::Open);
    assert_eq!(count(&client, "second").await, 1);
}

#[tokio::test]
async fn expired_request_keys_are_removed_and_others_kept() {
    let standin = StandIn::start(&["--connect-ms", "0"]);
    standin.put_table(&standin.table(|_, _| {})).await;
    let settings = "[limits]\nkey_cleanup_interval_ms = 100\n";
    let node = NodeProcess::start(&standin, "node-1", settings);
    let client = connect(&node.address, &standin.database).await;
    let expired = linkhold_core::request_key::insert("expired", "completed", 1);
    client
        .batch_execute(&expired)
        .await
        .expect("is acknowledged");
    client
        .batch_execute("SET linkhold.request_key = 'recent'")
        .await
        .expect("is set");
    client
        .batch_execute(&insert("recent"))
        .await
        .expect("is acknowledged");
    let query = "SELECT request_key FROM linkhold_requests ORDER BY request_key";
    eventually("the expired key is removed", || async {
        rows(&client, query).await.expect("is read") == [["recent"]]
    })
    .await;
}

/// Guards against an idle transaction that holds the only slot without limit.
#[tokio::test]
async fn a_transaction_that_idles_gives_its_slot_back() {
    let standin = StandIn::start(&["--connect-ms", "0"]);
    let scarce = standin.table(|_, row| row.slots = 1);
    standin.put_table(&scarce).await;
    let settings = "[limits]\nidle_transaction_timeout_ms = 200\n";
    let node = NodeProcess::start(&standin, "node-1", settings);
    let idle = connect(&node.address, &standin.database).await;
    idle.batch_execute("BEGIN").await.expect("begins");
    idle.batch_execute(&insert("idle")).await.expect("runs");
    let other = connect(&node.address, &standin.database).await;
    other
        .batch_execute(&insert("other"))
        .await
        .expect("gets the only slot");
    eventually("the idle session ends", || async { idle.is_closed() }).await;
    assert_eq!(count(&other, "idle").await, 0);
}
