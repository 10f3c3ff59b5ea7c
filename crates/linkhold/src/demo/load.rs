//! Load of a run: writing and reading callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::DemoOptions;
use super::caller::{Answer, Caller};
use super::checker::TRANSACTION_MARK;
use super::history::{CallerId, History, ReadEvent, ReadOutcome, WriteEvent, WriteOutcome};
use super::world::{NUMBER_ROWS, World};

/// Number of extra readers per database that run only during a burst.
const BURST_READERS: usize = 40;

/// Running callers.
pub struct Load {
    stopping: watch::Sender<bool>,
    burst: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

/// Kind of a write.
#[derive(Clone, Copy)]
enum WriteKind {
    Single,
    Keyed,
    Transaction,
    DuplicatedKeyed,
}

impl WriteKind {
    fn pick(random: &mut impl Rng) -> Self {
        match random.random_range(0..100) {
            0..55 => Self::Single,
            55..70 => Self::Keyed,
            70..85 => Self::Transaction,
            _ => Self::DuplicatedKeyed,
        }
    }
}

impl Load {
    /// Starts all callers.
    pub fn start(world: &World, options: &DemoOptions, history: &History) -> Self {
        let (stopping, stopped) = watch::channel(false);
        let burst = history.burst();
        let mut tasks = JoinSet::new();
        let mut next_id: CallerId = 1;
        let mut new_caller = |database: usize| {
            let id = next_id;
            next_id += 1;
            let mut random = ChaCha8Rng::seed_from_u64(options.seed);
            random.set_stream(u64::from(id));
            Caller::new(
                id,
                (database, world.database_name(database).to_owned()),
                world.addresses.clone(),
                random,
                history.clone(),
                options.tokens,
            )
        };
        let sizes = &world.sizes;
        for database in 0..sizes.databases {
            for _ in 0..sizes.writers {
                let caller = new_caller(database);
                tasks.spawn(run_writer(
                    caller,
                    sizes.writer_pause,
                    options.only_duplicates,
                    stopped.clone(),
                ));
            }
            for _ in 0..sizes.readers {
                let caller = new_caller(database);
                let always = Arc::new(AtomicBool::new(true));
                tasks.spawn(run_reader(
                    caller,
                    sizes.reader_pause,
                    always,
                    stopped.clone(),
                ));
            }
            for _ in 0..BURST_READERS {
                let caller = new_caller(database);
                tasks.spawn(run_reader(
                    caller,
                    Duration::ZERO,
                    burst.clone(),
                    stopped.clone(),
                ));
            }
        }
        Self {
            stopping,
            burst,
            tasks,
        }
    }

    /// Stops all callers after their current requests.
    pub async fn stop(mut self) {
        self.burst.store(false, Ordering::Relaxed);
        self.stopping.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn run_writer(
    mut caller: Caller,
    pause: Duration,
    only_duplicates: bool,
    stopped: watch::Receiver<bool>,
) {
    let mut sequence = 0;
    while !*stopped.borrow() {
        sequence += 1;
        let kind = if only_duplicates {
            WriteKind::DuplicatedKeyed
        } else {
            WriteKind::pick(&mut caller.random)
        };
        let wait = match kind {
            WriteKind::Single => write_single(&mut caller, sequence, false).await,
            WriteKind::Keyed => write_single(&mut caller, sequence, true).await,
            WriteKind::Transaction => write_transaction(&mut caller, sequence).await,
            WriteKind::DuplicatedKeyed => write_duplicated(&mut caller, sequence).await,
        };
        tokio::time::sleep(jittered(&mut caller, pause).max(wait)).await;
        read_own_writes(&mut caller).await;
        let pause = jittered(&mut caller, pause);
        tokio::time::sleep(pause).await;
    }
}

fn jittered(caller: &mut Caller, pause: Duration) -> Duration {
    pause.mul_f64(caller.random.random_range(0.5..1.5))
}

fn insert(caller: &Caller, id: &str, sequence: u64) -> String {
    format!(
        "INSERT INTO publications (id, caller, sequence) VALUES ('{id}', {}, {sequence})",
        caller.id
    )
}

fn write_outcome(answer: &Answer) -> WriteOutcome {
    match answer {
        Answer::Rows(_) => WriteOutcome::Acknowledged,
        Answer::NotRun(_) | Answer::Refused(_) => WriteOutcome::NotRun,
        Answer::AlreadyCompleted => WriteOutcome::AlreadyCompleted,
        Answer::Unknown => WriteOutcome::Unknown,
        Answer::Cut => WriteOutcome::Cut,
    }
}

/// Returns the time after which the answer asks the caller to retry.
fn retry_delay(answer: &Answer) -> Duration {
    match answer {
        Answer::NotRun(wait) => *wait,
        _ => Duration::ZERO,
    }
}

fn record_write(
    caller: &Caller,
    ids: Vec<String>,
    sequence: u64,
    started: Duration,
    outcome: WriteOutcome,
) {
    let event = WriteEvent {
        caller: caller.id,
        database: caller.database,
        ids,
        sequence,
        started,
        finished: caller.history.now(),
        outcome,
    };
    caller.history.record(|events| events.writes.push(event));
}

async fn write_single(caller: &mut Caller, sequence: u64, keyed: bool) -> Duration {
    let node = caller.pick_node().await;
    if !caller.ensure_connected(node).await {
        return Duration::ZERO;
    }
    let id = format!("{}-{sequence}", caller.id);
    if keyed && !set_key(caller, node, &id).await {
        return Duration::ZERO;
    }
    let query = insert(caller, &id, sequence);
    let started = caller.history.now();
    let answer = caller.run_query(node, &query).await;
    record_write(caller, vec![id], sequence, started, write_outcome(&answer));
    if matches!(answer, Answer::Rows(_)) {
        caller.fetch_token(node).await;
    }
    retry_delay(&answer)
}

async fn set_key(caller: &Caller, node: usize, key: &str) -> bool {
    let set = format!("SET linkhold.request_key = '{key}'");
    matches!(caller.run_query(node, &set).await, Answer::Rows(_))
}

/// Sends the same keyed request through two nodes at once.
async fn write_duplicated(caller: &mut Caller, sequence: u64) -> Duration {
    let nodes = caller.pick_nodes(2);
    let [first, second] = nodes.as_slice() else {
        return write_single(caller, sequence, true).await;
    };
    let (first, second) = (*first, *second);
    if !caller.ensure_connected(first).await || !caller.ensure_connected(second).await {
        return Duration::ZERO;
    }
    let id = format!("{}-{sequence}", caller.id);
    let query = insert(caller, &id, sequence);
    let send = |node: usize| {
        let (caller, id, query) = (&*caller, &id, &query);
        async move {
            if !set_key(caller, node, id).await {
                return None;
            }
            let started = caller.history.now();
            let answer = caller.run_query(node, query).await;
            record_write(
                caller,
                vec![id.clone()],
                sequence,
                started,
                write_outcome(&answer),
            );
            Some(answer)
        }
    };
    let answers = tokio::join!(send(first), send(second));
    for (node, answer) in [(first, &answers.0), (second, &answers.1)] {
        if matches!(answer, Some(Answer::Rows(_))) {
            caller.fetch_token(node).await;
        }
    }
    let waits = [answers.0, answers.1];
    waits
        .iter()
        .flatten()
        .map(retry_delay)
        .max()
        .unwrap_or_default()
}

/// Writes two rows in one transaction and reads the first row in between.
async fn write_transaction(caller: &mut Caller, sequence: u64) -> Duration {
    let node = caller.pick_node().await;
    if !caller.ensure_connected(node).await {
        return Duration::ZERO;
    }
    let ids = [
        format!("{}-{sequence}-a", caller.id),
        format!("{}-{sequence}-b", caller.id),
    ];
    let mark = format!("{TRANSACTION_MARK}{}-{sequence} */", caller.id);
    let statements = [
        "BEGIN".to_owned(),
        format!("{} {mark}", insert(caller, &ids[0], sequence)),
        format!(
            "SELECT sequence FROM publications WHERE id = '{}' {mark}",
            ids[0]
        ),
        format!("{} {mark}", insert(caller, &ids[1], sequence)),
    ];
    let started = caller.history.now();
    for (index, statement) in statements.iter().enumerate() {
        let answer = caller.run_query(node, statement).await;
        if !matches!(answer, Answer::Rows(_)) {
            // No COMMIT was sent, so no row may be applied.
            let outcome = match write_outcome(&answer) {
                WriteOutcome::Cut => WriteOutcome::Cut,
                _ => WriteOutcome::NotRun,
            };
            record_write(caller, ids.to_vec(), sequence, started, outcome);
            if index > 0 {
                caller.run_query(node, "ROLLBACK").await;
            }
            return retry_delay(&answer);
        }
    }
    let answer = caller.run_query(node, "COMMIT").await;
    record_write(
        caller,
        ids.to_vec(),
        sequence,
        started,
        write_outcome(&answer),
    );
    if matches!(answer, Answer::Rows(_)) {
        caller.fetch_token(node).await;
    }
    retry_delay(&answer)
}

async fn read_own_writes(caller: &mut Caller) {
    let query = format!(
        "max(sequence) FROM publications WHERE caller = {}",
        caller.id
    );
    read(caller, &query, 1).await;
}

/// Reads through a random node. The first column of the query is the nonce.
async fn read(caller: &mut Caller, query: &str, expected_rows: usize) -> Duration {
    let node = caller.pick_node().await;
    if !caller.ensure_connected(node).await || !caller.present_token(node).await {
        return Duration::ZERO;
    }
    let nonce = caller.nonce();
    let query = format!("SELECT '{nonce}' AS nonce, {query}");
    let started = caller.history.now();
    let answer = caller.run_query(node, &query).await;
    let outcome = match &answer {
        Answer::Rows(rows) => ReadOutcome::Answered {
            nonce: rows.first().map_or_else(String::new, |row| row[0].clone()),
            sequence: rows
                .iter()
                .filter_map(|row| row[1].parse().ok())
                .max()
                .unwrap_or(0),
            rows: rows.len(),
        },
        Answer::NotRun(_) => ReadOutcome::NotRun,
        Answer::Cut => ReadOutcome::Cut,
        _ => ReadOutcome::Failed,
    };
    let event = ReadEvent {
        caller: caller.id,
        database: caller.database,
        started,
        finished: caller.history.now(),
        nonce,
        expected_rows,
        outcome,
    };
    caller.history.record(|events| events.reads.push(event));
    retry_delay(&answer)
}

async fn run_reader(
    mut caller: Caller,
    pause: Duration,
    active: Arc<AtomicBool>,
    stopped: watch::Receiver<bool>,
) {
    const IDLE: Duration = Duration::from_millis(50);
    while !*stopped.borrow() {
        if !active.load(Ordering::Relaxed) {
            tokio::time::sleep(IDLE).await;
            continue;
        }
        let wait = read(&mut caller, "number FROM numbers", NUMBER_ROWS).await;
        let pause = jittered(&mut caller, pause);
        tokio::time::sleep(pause.max(wait)).await;
    }
}
