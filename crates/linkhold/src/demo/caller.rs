//! A caller that sends requests through varying nodes and records the answers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

use super::history::{CallerId, History};
use super::world::NodeAddresses;

/// Maximum wait of a caller for an answer; far above every time limit of a node.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);
/// SQLSTATE with which a leaving node ends an idle session.
const STOPPING: &str = "LH005";

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Rows as text.
    Rows(Vec<Vec<String>>),
    /// Not run; the caller may retry after this time.
    NotRun(Duration),
    /// Already completed under its key.
    AlreadyCompleted,
    /// Outcome unknown.
    Unknown,
    /// The connection broke, or the wait timed out, without an answer.
    Cut,
    /// Another error, as SQLSTATE and message.
    Refused(String),
}

/// A connection to a node.
struct NodeConnection {
    client: Client,
    /// SQLSTATE with which the node closed the connection.
    ended_with: Arc<Mutex<Option<String>>>,
}

/// A caller with a connection to each node that it has used.
pub struct Caller {
    /// ID of the caller.
    pub id: CallerId,
    /// Index of the caller's database.
    pub database: usize,
    /// The caller's random number generator.
    pub random: ChaCha8Rng,
    /// History to which the caller records its requests.
    pub history: History,
    database_name: String,
    addresses: NodeAddresses,
    connections: Vec<Option<NodeConnection>>,
    /// The newest token; `None` if the caller presents no tokens.
    token: Option<String>,
}

impl Caller {
    /// Creates a caller without connections.
    pub fn new(
        id: CallerId,
        database: (usize, String),
        addresses: NodeAddresses,
        random: ChaCha8Rng,
        history: History,
        with_tokens: bool,
    ) -> Self {
        let nodes = addresses.lock().expect("no panic while held").len();
        Self {
            id,
            database: database.0,
            random,
            history,
            database_name: database.1,
            addresses,
            connections: (0..nodes).map(|_| None).collect(),
            token: with_tokens.then(String::new),
        }
    }

    /// Picks up to `count` different running nodes at random.
    pub fn pick_nodes(&mut self, count: usize) -> Vec<usize> {
        let up: Vec<usize> = {
            let addresses = self.addresses.lock().expect("no panic while held");
            (0..addresses.len())
                .filter(|node| addresses[*node].is_some())
                .collect()
        };
        up.choose_multiple(&mut self.random, count)
            .copied()
            .collect()
    }

    /// Picks a running node at random; waits until there is one.
    pub async fn pick_node(&mut self) -> usize {
        loop {
            if let Some(node) = self.pick_nodes(1).pop() {
                return node;
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    /// Draws a nonce, which the answer must repeat.
    pub fn nonce(&mut self) -> String {
        format!("{:016x}", self.random.random::<u64>())
    }

    /// Connects to a node unless connected; `false` if the node is unreachable.
    pub async fn ensure_connected(&mut self, node: usize) -> bool {
        let usable = self.connections[node]
            .as_ref()
            .is_some_and(|connection| !connection.client.is_closed());
        if usable {
            return true;
        }
        self.connections[node] = self.connect(node).await;
        if self.connections[node].is_none() {
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
        self.connections[node].is_some()
    }

    async fn connect(&self, node: usize) -> Option<NodeConnection> {
        let address = self.addresses.lock().expect("no panic while held")[node]?;
        let text = format!(
            "host={} port={} user=demo dbname={}",
            address.ip(),
            address.port(),
            self.database_name
        );
        let connecting = tokio_postgres::connect(&text, NoTls);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let (client, connection) = connected.ok()?.ok()?;
        let ended_with = Arc::new(Mutex::new(None));
        let code_cell = ended_with.clone();
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                let code = error.code().map(|code| code.code().to_owned());
                *code_cell.lock().expect("no panic while held") = code;
            }
        });
        Some(NodeConnection { client, ended_with })
    }

    /// Runs a query on a connected node.
    pub async fn run_query(&self, node: usize, query: &str) -> Answer {
        let Some(connection) = &self.connections[node] else {
            return Answer::NotRun(RECONNECT_PAUSE);
        };
        match tokio::time::timeout(ANSWER_TIMEOUT, connection.client.simple_query(query)).await {
            Ok(Ok(messages)) => Answer::Rows(text_rows(&messages)),
            Ok(Err(error)) => answer_from_error(&error, connection).await,
            Err(_) => Answer::Cut,
        }
    }

    /// Presents the caller's token to a node before a read.
    pub async fn present_token(&self, node: usize) -> bool {
        match &self.token {
            None => true,
            Some(token) => {
                let set = format!("SET linkhold.token = '{token}'");
                matches!(self.run_query(node, &set).await, Answer::Rows(_))
            }
        }
    }

    /// Fetches the session's token from the node that acknowledged a write.
    pub async fn fetch_token(&mut self, node: usize) {
        if self.token.is_none() {
            return;
        }
        if let Answer::Rows(rows) = self.run_query(node, "SHOW linkhold.token").await {
            self.token = rows.into_iter().flatten().next();
        }
    }
}

fn text_rows(messages: &[SimpleQueryMessage]) -> Vec<Vec<String>> {
    messages
        .iter()
        .filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => Some(
                (0..row.len())
                    .map(|column| row.get(column).unwrap_or_default().to_owned())
                    .collect(),
            ),
            _ => None,
        })
        .collect()
}

async fn answer_from_error(error: &tokio_postgres::Error, connection: &NodeConnection) -> Answer {
    let Some(database_error) = error.as_db_error() else {
        return answer_after_disconnect(connection).await;
    };
    let detail = database_error.detail().unwrap_or_default();
    let field = |name: &str| {
        detail
            .split(' ')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    };
    match field("outcome") {
        Some("not_run") => {
            let milliseconds = field("retry_after_ms").and_then(|text| text.parse().ok());
            Answer::NotRun(Duration::from_millis(milliseconds.unwrap_or(0)))
        }
        Some("completed") => Answer::AlreadyCompleted,
        Some("unknown") => Answer::Unknown,
        _ => Answer::Refused(format!(
            "{}: {}",
            database_error.code().code(),
            database_error.message()
        )),
    }
}

/// Returns the answer to a request on a broken connection. If the node announced its
/// stop as it closed the connection, the request came later and was not run.
async fn answer_after_disconnect(connection: &NodeConnection) -> Answer {
    const NOTE_PAUSE: Duration = Duration::from_millis(20);
    tokio::time::sleep(NOTE_PAUSE).await;
    let ended_with = connection
        .ended_with
        .lock()
        .expect("no panic while held")
        .clone();
    if ended_with.as_deref() == Some(STOPPING) {
        Answer::NotRun(Duration::ZERO)
    } else {
        Answer::Cut
    }
}
