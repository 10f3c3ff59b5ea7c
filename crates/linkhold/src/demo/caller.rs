//! A caller that roams between nodes and writes down what it sees.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

use super::history::{CallerId, History};
use super::world::NodeAddresses;

/// Longest wait of a caller for an answer; far beyond every bound of a node.
const PATIENCE: Duration = Duration::from_secs(60);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);
/// SQLSTATE with which a leaving node ends an idle session.
const STOPPING: &str = "LH005";

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Rows as text.
    Rows(Vec<Vec<String>>),
    /// Not run; come back after this time.
    NotRun(Duration),
    /// Completed before, under its key.
    AlreadyCompleted,
    /// Not known.
    Unknown,
    /// The connection broke without an answer.
    Cut,
    /// Another error of the database.
    Refused(String),
}

/// A connection to a node.
struct Link {
    client: Client,
    /// SQLSTATE with which the node ended the connection.
    ended_with: Arc<Mutex<Option<String>>>,
}

/// A caller with a connection to each node it has used.
pub struct Caller {
    /// Who.
    pub id: CallerId,
    /// Index of its database.
    pub database: usize,
    /// Its own randomness.
    pub random: ChaCha8Rng,
    /// Where it writes down what it sees.
    pub history: History,
    database_name: String,
    addresses: NodeAddresses,
    links: Vec<Option<Link>>,
    /// The newest token, if its sessions present tokens.
    token: Option<String>,
}

impl Caller {
    /// A caller without connections.
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
            links: (0..nodes).map(|_| None).collect(),
            token: with_tokens.then(String::new),
        }
    }

    /// Up to `count` different nodes that are up, at random.
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

    /// One node that is up; waits for one.
    pub async fn pick_node(&mut self) -> usize {
        loop {
            if let Some(node) = self.pick_nodes(1).pop() {
                return node;
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    /// A number to be echoed by an answer.
    pub fn nonce(&mut self) -> String {
        format!("{:016x}", self.random.random::<u64>())
    }

    /// Makes sure there is a usable connection; `false` if the node cannot be
    /// reached now.
    pub async fn ensure_connected(&mut self, node: usize) -> bool {
        let usable = self.links[node]
            .as_ref()
            .is_some_and(|link| !link.client.is_closed());
        if usable {
            return true;
        }
        self.links[node] = self.connect(node).await;
        if self.links[node].is_none() {
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
        self.links[node].is_some()
    }

    async fn connect(&self, node: usize) -> Option<Link> {
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
        let noted = ended_with.clone();
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                let code = error.code().map(|code| code.code().to_owned());
                *noted.lock().expect("no panic while held") = code;
            }
        });
        Some(Link { client, ended_with })
    }

    /// Runs a query on a connected node.
    pub async fn ask(&self, node: usize, query: &str) -> Answer {
        let Some(link) = &self.links[node] else {
            return Answer::NotRun(RECONNECT_PAUSE);
        };
        match tokio::time::timeout(PATIENCE, link.client.simple_query(query)).await {
            Ok(Ok(messages)) => Answer::Rows(rows_of(&messages)),
            Ok(Err(error)) => answer_of_error(&error, link).await,
            Err(_) => Answer::Cut,
        }
    }

    /// Presents the caller's token to a node before a read.
    pub async fn present_token(&self, node: usize) -> bool {
        match &self.token {
            None => true,
            Some(token) => {
                let set = format!("SET linkhold.token = '{token}'");
                matches!(self.ask(node, &set).await, Answer::Rows(_))
            }
        }
    }

    /// Takes the token of the node that acknowledged a write.
    pub async fn take_token(&mut self, node: usize) {
        if self.token.is_none() {
            return;
        }
        if let Answer::Rows(rows) = self.ask(node, "SHOW linkhold.token").await {
            self.token = rows.into_iter().flatten().next();
        }
    }
}

fn rows_of(messages: &[SimpleQueryMessage]) -> Vec<Vec<String>> {
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

async fn answer_of_error(error: &tokio_postgres::Error, link: &Link) -> Answer {
    let Some(database_error) = error.as_db_error() else {
        return answer_of_broken_link(link).await;
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

/// The connection has ended. If the node's last word was that it leaves, the
/// request came after it and was not run.
async fn answer_of_broken_link(link: &Link) -> Answer {
    const NOTE_PAUSE: Duration = Duration::from_millis(20);
    tokio::time::sleep(NOTE_PAUSE).await;
    let ended_with = link.ended_with.lock().expect("no panic while held").clone();
    if ended_with.as_deref() == Some(STOPPING) {
        Answer::NotRun(Duration::ZERO)
    } else {
        Answer::Cut
    }
}
