//! The operators' console: a database named `linkhold` that answers `SHOW`
//! commands over the simple query protocol.

use std::sync::Arc;

use bytes::BytesMut;
use linkhold_core::table::Column;
use linkhold_wire::frontend::query_text;
use linkhold_wire::reply::{self, ErrorFields, ResultColumn, SessionStatus};
use linkhold_wire::{Frame, FrameReader, WireError, kind};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::group::GroupHandle;
use crate::node::NodeShared;
use crate::peer::state_name;

/// Name of the console's database.
pub const DATABASE: &str = "linkhold";

const SYNTAX_ERROR: &str = "42601";
const FEATURE_NOT_SUPPORTED: &str = "0A000";
const HELP: &str = "commands: SHOW POOLS, SHOW GROUPS, SHOW TABLE, SHOW NODES, SHOW STATS, SHOW VERSION, SHOW HELP";

/// Result of a `SHOW` command.
struct Listing {
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

/// Serves a console session to its end.
pub async fn run(node: &Arc<NodeShared>, stream: &mut TcpStream, reader: &mut FrameReader) {
    // Errors are ignored: the operator's connection has failed.
    let _ = serve_session(node, stream, reader).await;
}

async fn serve_session(
    node: &Arc<NodeShared>,
    stream: &mut TcpStream,
    reader: &mut FrameReader,
) -> Result<(), WireError> {
    let mut skip_until_sync = false;
    while let Some(frame) = reader.next(stream).await? {
        let mut output = BytesMut::new();
        match frame.kind() {
            kind::TERMINATE => return Ok(()),
            kind::QUERY => answer_query(node, &frame, &mut output)?,
            kind::SYNC => {
                skip_until_sync = false;
                reply::put_ready(&mut output, SessionStatus::Idle);
            }
            _ if skip_until_sync => {}
            _ => {
                skip_until_sync = true;
                let fields = ErrorFields::error(
                    FEATURE_NOT_SUPPORTED,
                    "the console takes simple queries only",
                );
                reply::put_error(&mut output, &fields);
            }
        }
        stream.write_all(&output).await?;
    }
    Ok(())
}

fn answer_query(node: &NodeShared, frame: &Frame, output: &mut BytesMut) -> Result<(), WireError> {
    let text = query_text(frame)?;
    match listing(node, &text) {
        Some(listing) => put_listing(output, &listing),
        None => {
            let fields = ErrorFields::error(SYNTAX_ERROR, HELP);
            reply::put_error(output, &fields);
        }
    }
    reply::put_ready(output, SessionStatus::Idle);
    Ok(())
}

fn put_listing(output: &mut BytesMut, listing: &Listing) {
    let columns: Vec<ResultColumn> = listing
        .columns
        .iter()
        .map(|name| ResultColumn::text(name))
        .collect();
    reply::put_row_description(output, &columns);
    for row in &listing.rows {
        let values: Vec<&str> = row.iter().map(String::as_str).collect();
        reply::put_text_row(output, &values);
    }
    reply::put_complete(output, "SHOW");
}

fn listing(node: &NodeShared, text: &str) -> Option<Listing> {
    let words: Vec<String> = text
        .trim()
        .trim_end_matches(';')
        .split_whitespace()
        .map(str::to_ascii_uppercase)
        .collect();
    let [show, what] = words.as_slice() else {
        return None;
    };
    if show != "SHOW" {
        return None;
    }
    match what.as_str() {
        "POOLS" => Some(pools(node)),
        "GROUPS" => Some(groups(node)),
        "TABLE" => Some(table(node)),
        "NODES" => Some(nodes(node)),
        "STATS" => Some(stats(node)),
        "VERSION" => Some(Listing {
            columns: vec!["version"],
            rows: vec![vec![format!("linkhold {}", env!("CARGO_PKG_VERSION"))]],
        }),
        "HELP" => Some(Listing {
            columns: vec!["help"],
            rows: vec![vec![HELP.to_owned()]],
        }),
        _ => None,
    }
}

fn pools(node: &NodeShared) -> Listing {
    let mut rows = Vec::new();
    for (name, group) in node.directory.snapshot().iter() {
        for instance in &group.instances {
            let (in_use, waiting) = instance.usage();
            rows.push(vec![
                name.clone(),
                instance.name.clone(),
                instance.pool.address().to_string(),
                instance.pool.in_use_count().to_string(),
                instance.pool.idle_count().to_string(),
                instance.pool.limit().to_string(),
                in_use.to_string(),
                waiting.to_string(),
            ]);
        }
    }
    Listing {
        columns: vec![
            "database",
            "instance",
            "address",
            "connections_lent",
            "connections_idle",
            "connection_limit",
            "slots_in_use",
            "waiting",
        ],
        rows,
    }
}

fn groups(node: &NodeShared) -> Listing {
    let mut rows = Vec::new();
    for (name, group) in node.directory.snapshot().iter() {
        for index in 0..group.instances.len() {
            rows.push(group_row(name, group, index));
        }
    }
    Listing {
        columns: vec![
            "database",
            "instance",
            "role",
            "current_term",
            "position",
            "reachable",
            "state",
        ],
        rows,
    }
}

fn group_row(name: &str, group: &GroupHandle, index: usize) -> Vec<String> {
    let view = group.view();
    let is_primary = view
        .primary()
        .is_some_and(|primary| primary.instance == index);
    let answer = view.answer(index);
    let term = answer.map_or_else(String::new, |answer| answer.status.current_term.to_string());
    let position = answer.map_or_else(String::new, |answer| answer.status.position.to_string());
    let state = if group.accepts_work(index) {
        "active"
    } else {
        "leaving"
    };
    vec![
        name.to_owned(),
        group.instances[index].name.clone(),
        if is_primary { "primary" } else { "replica" }.to_owned(),
        term,
        position,
        view.is_reachable(index).to_string(),
        state.to_owned(),
    ]
}

fn table(node: &NodeShared) -> Listing {
    let table = node.table.load();
    let mut columns = vec!["version"];
    columns.extend(Column::ALL.map(Column::heading));
    let rows = table
        .sheet
        .rows
        .iter()
        .map(|row| {
            let mut cells = vec![table.version.to_string()];
            cells.extend(row.cells.iter().cloned());
            cells
        })
        .collect();
    Listing { columns, rows }
}

fn nodes(node: &NodeShared) -> Listing {
    let rows = node
        .members
        .load()
        .iter()
        .map(|member| {
            vec![
                member.node.to_string(),
                member.address.to_string(),
                member.client_address.to_string(),
                state_name(member.state).to_owned(),
                member.incarnation.to_string(),
            ]
        })
        .collect();
    Listing {
        columns: vec![
            "node",
            "peer_address",
            "client_address",
            "state",
            "incarnation",
        ],
        rows,
    }
}

fn stats(node: &NodeShared) -> Listing {
    let rows = node
        .metrics
        .snapshot()
        .into_iter()
        .map(|(name, value)| vec![name, value.to_string()])
        .collect();
    Listing {
        columns: vec!["name", "value"],
        rows,
    }
}
