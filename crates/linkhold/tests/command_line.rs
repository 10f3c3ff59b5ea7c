//! The command line: findings, exit codes and edits of the table.
//!
//! Guards against settings and tables whose faults are reported one at a time or not
//! at all, lost or overwritten edits, and log values that forge a line or a key.

mod common;

use std::path::PathBuf;
use std::process::{Command, Output};

use linkhold::log_event::{Event, EventName};

use common::{HEADINGS, NodeProcess, StandIn, connect, eventually, rows};

fn linkhold(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_linkhold"))
        .args(arguments)
        .output()
        .expect("the program was built")
}

/// Runs the program without blocking the tasks of the test.
async fn linkhold_async(arguments: &[&str]) -> Output {
    let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    let run = move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        linkhold(&arguments)
    };
    tokio::task::spawn_blocking(run)
        .await
        .expect("does not panic")
}

fn file(directory: &tempfile::TempDir, name: &str, text: &str) -> PathBuf {
    let path = directory.path().join(name);
    std::fs::write(&path, text).expect("is writable");
    path
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_bad_settings_file_gets_one_report_with_every_finding() {
    let directory = tempfile::tempdir().expect("can be made");
    let settings = r#"
node = "node 1"
zone = "zone-a"
listen = "localhost:6432"
token_key = "short"
colour = "blue"

[table]
platform_url = "http://127.0.0.1:1"
file = "table.csv"

[limits]
fleet_size = 0
"#;
    let path = file(&directory, "node.toml", settings);
    let output = linkhold(&["proxy", "--settings", path.to_str().expect("is UTF-8")]);
    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty());
    insta::assert_snapshot!(text(&output.stderr));
}

#[test]
fn missing_settings_are_all_named() {
    let output = linkhold(&["proxy"]);
    assert_eq!(output.status.code(), Some(1));
    insta::assert_snapshot!(text(&output.stderr));
}

#[test]
fn flags_win_over_the_file() {
    let directory = tempfile::tempdir().expect("can be made");
    let settings = "node = \"node-1\"\nzone = \"z\"\nlisten = \"nonsense\"\ntoken_key = \"0123456789abcdef\"\n[table]\nfile = \"t.csv\"\n";
    let path = file(&directory, "node.toml", settings);
    let path = path.to_str().expect("is UTF-8");
    let arguments = [
        "proxy",
        "--check",
        "--settings",
        path,
        "--listen",
        "127.0.0.1:0",
    ];
    assert_eq!(linkhold(&arguments).status.code(), Some(0));
    assert_eq!(linkhold(&arguments[..4]).status.code(), Some(1));
}

#[test]
fn a_bad_table_gets_one_report_with_every_finding() {
    let directory = tempfile::tempdir().expect("can be made");
    let table = format!(
        "{HEADINGS}\n\
         g,catalog,a,127.0.0.1:1,z,*,10,5,40,100,1000,active\n\
         g,catalog,b,nowhere,z,6-30,10,5,40,100,1000,active\n\
         g,catalog,c,127.0.0.1:1,z,*,many,5,40,100,1000,asleep\n"
    );
    let path = file(&directory, "table.csv", &table);
    let output = linkhold(&["table", "check", path.to_str().expect("is UTF-8")]);
    assert_eq!(output.status.code(), Some(1));
    let report = text(&output.stdout).replace(&path.display().to_string(), "table.csv");
    insta::assert_snapshot!(report);
}

#[tokio::test]
async fn edits_of_different_cells_both_succeed_and_the_same_cell_conflicts() {
    let standin = StandIn::start(&[]);
    standin.put_table(&standin.table(|_, _| {})).await;
    let directory = tempfile::tempdir().expect("can be made");
    let shown = linkhold_async(&["table", "show", "--platform", standin.platform()]).await;
    let shown = text(&shown.stdout);
    assert!(shown.starts_with("# version=1\n"));
    let edit = |name: &str, from: &str, to: &str| {
        let edited = shown.replacen(from, to, 1);
        assert_ne!(edited, shown);
        file(&directory, name, &edited)
            .to_str()
            .expect("is UTF-8")
            .to_owned()
    };
    let platform = standin.platform();
    let weight = edit("weight.csv", ",*,10,", ",*,20,");
    let slots = edit("slots.csv", ",10,10,40,", ",10,9,40,");
    let other_weight = edit("other.csv", ",*,10,", ",*,30,");
    let first = linkhold_async(&["table", "apply", "--platform", platform, &weight]).await;
    assert!(text(&first.stdout).starts_with("version=2 "));
    // The answer is lost after the edit took effect; the program finds out by reading
    // the table back.
    standin.control("/platform?lose_edit_answers=1").await;
    let second = linkhold_async(&["table", "apply", "--platform", platform, &slots]).await;
    assert!(
        text(&second.stdout).starts_with("version=3 "),
        "{}",
        text(&second.stdout)
    );
    let third = linkhold_async(&["table", "apply", "--platform", platform, &other_weight]).await;
    assert_eq!(third.status.code(), Some(1));
    assert!(
        text(&third.stdout).contains("column weight"),
        "{}",
        text(&third.stdout)
    );
    let newest = linkhold_async(&["table", "show", "--platform", platform]).await;
    let newest = text(&newest.stdout);
    assert!(newest.contains(",*,20,9,40,"), "{newest}");
    let history = linkhold_async(&["table", "history", "--platform", platform]).await;
    assert_eq!(text(&history.stdout).lines().count(), 3);
}

#[tokio::test]
async fn status_shows_the_version_in_force() {
    let standin = StandIn::start(&[]);
    standin.put_table(&standin.table(|_, _| {})).await;
    let node = NodeProcess::start(&standin, "node-1", "");
    connect(&node.address, &standin.database).await;
    let status = [
        "table",
        "status",
        "--platform",
        standin.platform(),
        "--node",
        &node.address,
    ];
    let output = linkhold_async(&status).await;
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stdout));
    let edited = standin.table(|_, row| row.weight = 5);
    standin.put_table(&edited).await;
    eventually("the edit is in force", || async {
        linkhold_async(&status).await.status.code() == Some(0)
    })
    .await;
    let output = linkhold_async(&["status", "--node", &node.address]).await;
    assert_eq!(output.status.code(), Some(0));
    assert!(text(&output.stdout).contains("listing=groups database=catalog-1"));
    let without_node = linkhold_async(&["status", "--node", "127.0.0.1:1"]).await;
    assert_eq!(without_node.status.code(), Some(1));
}

#[tokio::test]
async fn hour_columns_change_routing_at_the_hour() {
    const SECONDS_PER_HOUR: u64 = 3_600;
    const HOURS_PER_DAY: u64 = 24;
    const READS: usize = 20;
    let standin = StandIn::start(&[]);
    let replicas_by_day = standin.table(|index, row| {
        row.hours = if index == 1 { "0-12" } else { "12-24" }.to_owned();
    });
    standin.put_table(&replicas_by_day).await;
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("is after 1970")
        .as_secs();
    let hour = now / SECONDS_PER_HOUR % HOURS_PER_DAY;
    // Simulated at 06:30 and 18:30, far from the change.
    for (simulated_hour, replica) in [(6, 1), (18, 2)] {
        let offset = (i64::try_from(simulated_hour * SECONDS_PER_HOUR).expect("is small"))
            - i64::try_from(hour * SECONDS_PER_HOUR).expect("is small");
        let settings = format!("hour_offset_seconds = {offset}");
        let node = NodeProcess::start(&standin, "node-1", &settings);
        let client = connect(&node.address, &standin.database).await;
        // A node that has just started reads at the primary until it has a status of
        // the replica, and never at the replica of the other half of the day.
        let first = format!("SELECT title FROM episodes WHERE id = 'first-{simulated_hour}'");
        eventually("the replica is known", || async {
            rows(&client, &first).await.expect("is read");
            instances_used(&standin, &first).await.contains(&replica)
        })
        .await;
        let other = 3 - replica;
        assert!(!instances_used(&standin, &first).await.contains(&other));
        let query = format!("SELECT title FROM episodes WHERE id = '{simulated_hour}'");
        for _ in 0..READS {
            rows(&client, &query).await.expect("is read");
        }
        let used = instances_used(&standin, &query).await;
        assert_eq!(used, vec![replica; READS], "at {simulated_hour}");
    }
}

/// Returns the instances that ran a query, in the order of execution.
async fn instances_used(standin: &StandIn, query: &str) -> Vec<u64> {
    let records = standin.records().await;
    let of_query = records.iter().filter(|record| record["text"] == query);
    of_query
        .filter_map(|record| record["instance"].as_u64())
        .collect()
}

#[test]
fn help_explains_each_command() {
    for command in ["proxy", "table", "status"] {
        let output = linkhold(&[command, "--help"]);
        assert_eq!(output.status.code(), Some(0));
        assert!(text(&output.stdout).contains("Usage: linkhold"));
    }
    assert_eq!(linkhold(&["nonsense"]).status.code(), Some(2));
}

#[test]
fn the_documentation_lists_every_event() {
    let documentation = include_str!("../../../docs/LOGS.md");
    let listed: Vec<&str> = documentation
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split('`').next())
        .collect();
    assert_eq!(listed, EventName::ALL.map(EventName::as_str));
}

#[test]
fn a_value_cannot_forge_a_line_or_a_key() {
    let forged = "x level=error\nevent=node_stopped \"quoted\" \\";
    let event = Event::info(EventName::ProtocolViolation).field("reason", forged);
    let line = event.line();
    assert!(!line.contains('\n'));
    assert!(
        line.ends_with(r#"reason="x level=error\u{a}event=node_stopped \"quoted\" \\""#),
        "{line}"
    );
}
