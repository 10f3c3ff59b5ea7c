//! Starts nodes and stand-ins as processes.

#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use serde_json::json;
use tokio_postgres::{Client, NoTls};

/// Longest wait for a condition; generous, because only failing tests reach it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
pub const TOKEN_KEY: &str = "an-example-token-key";
pub const HEADINGS: &str = "group,database,instance,address,zone,hours,weight,slots,connection_limit,read_wait_ms,write_wait_ms,state";

/// A child process that prints `key=value` pairs when it is ready.
struct ReadyProcess {
    child: Child,
    pairs: HashMap<String, String>,
    reader: BufReader<std::process::ChildStdout>,
    /// Log lines printed before the ready line.
    early_log: String,
}

impl ReadyProcess {
    fn start(mut command: Command) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program was built");
        let mut reader = BufReader::new(child.stdout.take().expect("is piped"));
        let mut early_log = String::new();
        let mut line = String::new();
        reader.read_line(&mut line).expect("a line is printed");
        while line.starts_with("time=") {
            early_log.push_str(&line);
            line.clear();
            reader.read_line(&mut line).expect("a line is printed");
        }
        let pairs: HashMap<String, String> = line
            .split_whitespace()
            .filter_map(|word| word.split_once('='))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        if pairs.is_empty() {
            let mut errors = String::new();
            let _ = child
                .stderr
                .take()
                .expect("is piped")
                .read_to_string(&mut errors);
            panic!("no ready line; standard error: {errors}");
        }
        Self {
            child,
            pairs,
            reader,
            early_log,
        }
    }
}

impl Drop for ReadyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A stand-in process with a database group and a platform.
pub struct StandIn {
    process: ReadyProcess,
    client: reqwest::Client,
    pub instances: Vec<String>,
    pub database: String,
}

impl StandIn {
    pub fn start(extra: &[&str]) -> Self {
        let node = PathBuf::from(env!("CARGO_BIN_EXE_linkhold"));
        let mut command = Command::new(node.with_file_name("linkhold-standin"));
        command
            .args([
                "--schema",
                "CREATE TABLE episodes (id TEXT PRIMARY KEY, title TEXT NOT NULL)",
                "--schema",
                &linkhold_core::request_key::create_table(),
            ])
            .args(extra);
        let process = ReadyProcess::start(command);
        let instances = process.pairs["instances"]
            .split(',')
            .map(str::to_owned)
            .collect();
        Self {
            process,
            client: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("builds"),
            instances,
            database: "catalog-1".to_owned(),
        }
    }

    pub fn platform(&self) -> &str {
        &self.process.pairs["platform"]
    }

    /// Posts a request to the control interface.
    pub async fn control(&self, path: &str) {
        let url = format!("http://{}{path}", self.process.pairs["control"]);
        let response = self.client.post(url).send().await.expect("it answers");
        assert!(
            response.status().is_success(),
            "{path}: {}",
            response.status()
        );
    }

    pub async fn reports(&self) -> Vec<serde_json::Value> {
        let url = format!("http://{}/reports", self.process.pairs["control"]);
        let response = self.client.get(url).send().await.expect("it answers");
        response.json().await.expect("is JSON")
    }

    /// Statements that the instances have run, in order.
    pub async fn records(&self) -> Vec<serde_json::Value> {
        let url = format!("http://{}/records", self.process.pairs["control"]);
        let response = self.client.get(url).send().await.expect("it answers");
        response.json().await.expect("is JSON")
    }

    pub async fn primary(&self) -> usize {
        let reports = self.reports().await;
        (0..reports.len())
            .filter(|index| {
                reports[*index]["is_primary"] == true && reports[*index]["crashed"] == false
            })
            .max_by_key(|index| reports[*index]["current_term"].as_u64())
            .expect("there is a primary")
    }

    /// A table with one row for each instance, changed by `edit`.
    pub fn table(&self, edit: impl Fn(usize, &mut TableRow)) -> String {
        let mut csv = HEADINGS.to_owned();
        for (index, address) in self.instances.iter().enumerate() {
            let mut row = TableRow::new(&self.database, index, address);
            edit(index, &mut row);
            csv.push('\n');
            csv.push_str(&row.line());
        }
        csv.push('\n');
        csv
    }

    /// Stores a table version; returns its number.
    pub async fn put_table(&self, csv: &str) -> u64 {
        let url = format!("{}/tables/linkhold", self.platform());
        let current: serde_json::Value = self
            .client
            .get(&url)
            .send()
            .await
            .expect("it answers")
            .json()
            .await
            .expect("is JSON");
        let version = current["version"].as_u64().expect("is a number");
        let edit = json!({
            "expected_version": version,
            "edit_id": format!("test-{}", version + 1),
            "author": "test",
            "body": csv,
        });
        let response = self
            .client
            .put(&url)
            .json(&edit)
            .send()
            .await
            .expect("it answers");
        assert!(response.status().is_success());
        version + 1
    }
}

/// One row of the table.
pub struct TableRow {
    pub database: String,
    pub instance: String,
    pub address: String,
    pub zone: String,
    pub hours: String,
    pub weight: u32,
    pub slots: u32,
    pub connection_limit: u32,
    pub read_wait: u32,
    pub write_wait: u32,
    pub state: String,
}

impl TableRow {
    fn new(database: &str, index: usize, address: &str) -> Self {
        Self {
            database: database.to_owned(),
            instance: format!("db{index}"),
            address: address.to_owned(),
            zone: format!("zone-{index}"),
            hours: "*".to_owned(),
            weight: 10,
            slots: 10,
            connection_limit: 40,
            read_wait: 1_000,
            write_wait: 10_000,
            state: "active".to_owned(),
        }
    }

    fn line(&self) -> String {
        format!(
            "catalog-db,{},{},{},{},{},{},{},{},{},{},{}",
            self.database,
            self.instance,
            self.address,
            self.zone,
            self.hours,
            self.weight,
            self.slots,
            self.connection_limit,
            self.read_wait,
            self.write_wait,
            self.state
        )
    }
}

/// A node process.
pub struct NodeProcess {
    process: ReadyProcess,
    pub address: String,
}

impl NodeProcess {
    /// Starts a node in front of a stand-in; `extra` is appended to its settings.
    pub fn start(standin: &StandIn, name: &str, extra: &str) -> Self {
        let settings = format!(
            "node = \"{name}\"\nzone = \"zone-0\"\nlisten = \"127.0.0.1:0\"\ntoken_key = \"{TOKEN_KEY}\"\ntable.platform_url = \"{}\"\ntable.poll_ms = 50\n{extra}\n",
            standin.platform()
        );
        Self::start_with(&settings)
    }

    /// Starts a node with a complete settings file.
    pub fn start_with(settings: &str) -> Self {
        let directory = tempfile::tempdir().expect("a directory can be made");
        let path = directory.path().join("node.toml");
        std::fs::write(&path, settings).expect("is writable");
        let mut command = Command::new(env!("CARGO_BIN_EXE_linkhold"));
        command.args(["proxy", "--settings"]).arg(&path);
        let process = ReadyProcess::start(command);
        let address = process.pairs["listen"].clone();
        Self { process, address }
    }

    pub fn peer_address(&self) -> String {
        self.process.pairs["peer"].clone()
    }

    pub fn process_id(&self) -> u32 {
        self.process.child.id()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.process_id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success());
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.process.child.kill().expect("it runs");
    }

    /// Waits for the process to end and returns its exit code and log.
    pub fn wait(mut self) -> (Option<i32>, String) {
        let status = self.process.child.wait().expect("it ends");
        let mut log = self.process.early_log.clone();
        let rest = self.process.reader.read_to_string(&mut log);
        rest.expect("is text");
        let mut stderr = self.process.child.stderr.take().expect("is piped");
        stderr.read_to_string(&mut log).expect("is text");
        (status.code(), log)
    }
}

/// Connects; retries until the node has its table.
pub async fn connect(address: &str, database: &str) -> Client {
    connect_with(address, database, "").await
}

/// Connects with `options`; retries until the node has its table.
pub async fn connect_with(address: &str, database: &str, options: &str) -> Client {
    let (host, port) = address.split_once(':').expect("is host:port");
    let text = format!("host={host} port={port} user=test dbname={database} options='{options}'");
    let deadline = std::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        match tokio_postgres::connect(&text, NoTls).await {
            Ok((client, connection)) => {
                tokio::spawn(connection);
                return client;
            }
            Err(error) => {
                assert!(std::time::Instant::now() < deadline, "{error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Rows of a simple query as text.
pub async fn rows(client: &Client, query: &str) -> Result<Vec<Vec<String>>, tokio_postgres::Error> {
    let messages = client.simple_query(query).await?;
    Ok(messages
        .iter()
        .filter_map(|message| match message {
            tokio_postgres::SimpleQueryMessage::Row(row) => Some(
                (0..row.len())
                    .map(|column| row.get(column).unwrap_or_default().to_owned())
                    .collect(),
            ),
            _ => None,
        })
        .collect())
}

/// Waits until a condition holds.
pub async fn eventually<F, Fut>(what: &str, mut condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let deadline = std::time::Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(
            std::time::Instant::now() < deadline,
            "never happened: {what}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
