//! A fleet of real nodes: membership, the distribution of the table, and the
//! connection limit.
//!
//! Guards against nodes that miss an edit while the store is down, deaths and stops
//! that some node does not detect, packets from outside that change the membership,
//! and a fleet that together exceeds an instance's connection limit.

mod common;

use std::net::UdpSocket;

use common::{NodeProcess, StandIn, connect, eventually, rows};

const NODES: usize = 8;
const PEER_KEY: &str = "an-example-peer-key";

/// Returns the peer settings of a node that joins through this seed.
fn peer_settings(listen: &str, seed: &str) -> String {
    format!("[peer]\nlisten = \"{listen}\"\nseeds = \"{seed}\"\nkey = \"{PEER_KEY}\"\n")
}

fn start_node(standin: &StandIn, number: usize, seed: &str) -> NodeProcess {
    let settings = peer_settings("127.0.0.1:0", seed);
    NodeProcess::start(standin, &format!("node-{number}"), &settings)
}

fn start_fleet(standin: &StandIn) -> Vec<NodeProcess> {
    let first = start_node(standin, 0, "");
    let seed = first.peer_address();
    let others = (1..NODES).map(|number| start_node(standin, number, &seed));
    std::iter::once(first).chain(others).collect()
}

/// Returns the address and state of each member, as listed by a node.
async fn members(node: &NodeProcess) -> Vec<(String, String)> {
    let console = connect(&node.address, "linkhold").await;
    let listed = rows(&console, "SHOW NODES").await.expect("is shown");
    listed
        .into_iter()
        .map(|row| (row[1].clone(), row[3].clone()))
        .collect()
}

async fn count_alive(node: &NodeProcess) -> usize {
    let members = members(node).await;
    members.iter().filter(|(_, state)| state == "alive").count()
}

async fn wait_until_all_alive(nodes: &[NodeProcess]) {
    for node in nodes {
        eventually("all members are alive", || async {
            count_alive(node).await == nodes.len()
        })
        .await;
    }
}

async fn version(node: &NodeProcess) -> u64 {
    let console = connect(&node.address, "linkhold").await;
    let table = rows(&console, "SHOW TABLE").await.expect("is shown");
    table
        .first()
        .map_or(0, |row| row[0].parse().expect("is a number"))
}

async fn wait_until_all_have(nodes: &[NodeProcess], wanted: u64) {
    for node in nodes {
        eventually("the version is in force", || async {
            version(node).await == wanted
        })
        .await;
    }
}

#[tokio::test]
async fn an_edit_reaches_all_nodes_though_the_store_goes_down() {
    let standin = StandIn::start(&["--connect-ms", "0"]);
    let first = standin.put_table(&standin.table(|_, _| {})).await;
    let mut nodes = start_fleet(&standin);
    wait_until_all_alive(&nodes).await;
    wait_until_all_have(&nodes, first).await;
    let edited = standin
        .put_table(&standin.table(|_, row| row.weight = 7))
        .await;
    // One of the table's readers has the edit from the store; then the store goes down.
    eventually("one node has read the edit", || async {
        for node in &nodes {
            if version(node).await == edited {
                return true;
            }
        }
        false
    })
    .await;
    standin.control("/platform?down=true").await;
    wait_until_all_have(&nodes, edited).await;
    // A node that starts while the store is down gets the edit from its peers.
    let mut stopped = nodes.pop().expect("there are eight");
    stopped.kill();
    drop(stopped);
    let seed = nodes[0].peer_address();
    let restarted = start_node(&standin, NODES - 1, &seed);
    nodes.push(restarted);
    wait_until_all_have(&nodes, edited).await;
    let client = connect(&nodes[NODES - 1].address, &standin.database).await;
    assert_eq!(rows(&client, "SELECT 1").await.expect("it serves"), [["1"]]);
}

#[tokio::test]
async fn a_death_and_a_departure_are_known_everywhere() {
    let standin = StandIn::start(&["--connect-ms", "0"]);
    standin.put_table(&standin.table(|_, _| {})).await;
    let mut nodes = start_fleet(&standin);
    wait_until_all_alive(&nodes).await;
    let mut killed = nodes.pop().expect("there are eight");
    let killed_address = killed.peer_address();
    killed.kill();
    let left = nodes.pop().expect("there are seven");
    let left_address = left.peer_address();
    left.signal("TERM");
    for node in &nodes {
        eventually("the death and the departure are detected", || async {
            let members = members(node).await;
            let state = |address: &String| {
                let found = members.iter().find(|(known, _)| known == address);
                found.map(|(_, state)| state.clone()).unwrap_or_default()
            };
            let departed = ["leaving", "suspect", "dead"].contains(&state(&left_address).as_str());
            state(&killed_address) == "dead" && departed
        })
        .await;
    }
    assert_eq!(count_alive(&nodes[0]).await, nodes.len());
}

#[tokio::test]
async fn foreign_and_malformed_packets_change_nothing() {
    let standin = StandIn::start(&["--connect-ms", "0"]);
    standin.put_table(&standin.table(|_, _| {})).await;
    let first = start_node(&standin, 0, "");
    let second = start_node(&standin, 1, &first.peer_address());
    let nodes = [first, second];
    wait_until_all_alive(&nodes).await;
    // A node with another key forms a separate fleet.
    let stranger_settings = peer_settings("127.0.0.1:0", &nodes[0].peer_address())
        .replace(PEER_KEY, "some-other-peer-key");
    let stranger = NodeProcess::start(&standin, "stranger", &stranger_settings);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("binds");
    for length in [0, 1, 17, 100, 1_400, 1_401, 9_000] {
        let garbage = vec![0x5a; length];
        socket
            .send_to(&garbage, nodes[0].peer_address())
            .expect("is sent");
    }
    let console = connect(&nodes[0].address, "linkhold").await;
    eventually("the malformed packets are counted", || async {
        let stats = rows(&console, "SHOW STATS").await.expect("is shown");
        let dropped = stats.iter().find(|row| row[0] == "peer_messages_dropped");
        dropped.is_some_and(|row| row[1].parse::<u64>().is_ok_and(|count| count >= 7))
    })
    .await;
    assert_eq!(count_alive(&nodes[0]).await, 2);
    assert_eq!(count_alive(&stranger).await, 1);
}

#[tokio::test]
async fn apply_can_wait_until_all_nodes_have_the_edit() {
    let standin = StandIn::start(&["--connect-ms", "0"]);
    standin.put_table(&standin.table(|_, _| {})).await;
    let first = start_node(&standin, 0, "");
    let second = start_node(&standin, 1, &first.peer_address());
    let nodes = [first, second];
    wait_until_all_alive(&nodes).await;
    let directory = tempfile::tempdir().expect("can be made");
    let path = directory.path().join("table.csv");
    let edited = format!("# version=1\n{}", standin.table(|_, row| row.weight = 3));
    std::fs::write(&path, edited).expect("is writable");
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_linkhold"));
    command
        .args(["table", "apply", "--wait", "--platform", standin.platform()])
        .args(["--node", &nodes[0].address])
        .arg(&path);
    let run = tokio::task::spawn_blocking(move || command.output().expect("it runs"));
    let output = run.await.expect("does not panic");
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("in_force=2 nodes=2"), "{text}");
    for node in &nodes {
        assert_eq!(version(node).await, 2);
    }
}

#[tokio::test]
async fn fixed_shares_keep_the_fleet_within_the_connection_limit() {
    const FLEET: usize = 4;
    const LIMIT: u32 = 12;
    const CALLERS: usize = 40;
    const REQUESTS: usize = 20;
    let standin = StandIn::start(&["--connect-ms", "1"]);
    let scarce = standin.table(|_, row| {
        row.slots = 8;
        row.connection_limit = LIMIT;
    });
    standin.put_table(&scarce).await;
    let settings = format!("[limits]\nfleet_size = {FLEET}\n");
    let nodes: Vec<NodeProcess> = (0..FLEET)
        .map(|number| NodeProcess::start(&standin, &format!("node-{number}"), &settings))
        .collect();
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let address = nodes[caller % FLEET].address.clone();
        let client = connect(&address, &standin.database).await;
        callers.push(tokio::spawn(async move {
            for request in 0..REQUESTS {
                let id = format!("{caller}-{request}");
                let statements = [
                    format!("INSERT INTO episodes VALUES ('{id}', 'title')"),
                    format!("SELECT title FROM episodes WHERE id = '{id}'"),
                ];
                for statement in statements {
                    if let Err(error) = client.batch_execute(&statement).await {
                        let database_error = error.as_db_error().expect("is an answer");
                        let detail = database_error.detail().unwrap_or_default();
                        assert!(detail.starts_with("outcome=not_run"), "{error}: {detail}");
                    }
                }
            }
        }));
    }
    for caller in callers {
        caller
            .await
            .expect("every statement is answered or refused as not run");
    }
    for report in standin.reports().await {
        let most = report["most_connections"].as_u64().expect("is a number");
        assert!(most <= u64::from(LIMIT), "{report}");
    }
}
