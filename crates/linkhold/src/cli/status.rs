//! `linkhold status`: prints the listings that nodes report.

use clap::{ArgMatches, Command};
use eyre::{Result, eyre};
use tokio_postgres::{NoTls, SimpleQueryMessage};

use super::{EXIT_FINDINGS, EXIT_OK};
use crate::console;

const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// The subcommand.
pub fn command() -> Command {
    Command::new("status")
        .about("Print groups, pools and counters of nodes as key=value lines")
        .long_about(
            "Print groups, pools and counters of nodes as key=value lines. Exit status 1 if a node \
             does not answer or a database has no primary.",
        )
        .arg(super::nodes_argument())
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> Result<u8> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut code = EXIT_OK;
        for node in super::nodes_of(arguments) {
            match print_node(node).await {
                Ok(true) => {}
                Ok(false) => code = EXIT_FINDINGS,
                Err(error) => {
                    println!("node={node} error=\"{error}\"");
                    code = EXIT_FINDINGS;
                }
            }
        }
        Ok(code)
    })
}

/// Prints a node's listings; returns `false` if a database has no primary.
async fn print_node(node: &str) -> Result<bool> {
    let client = connect(node).await?;
    let mut has_primary_by_database = std::collections::BTreeMap::new();
    for listing in ["GROUPS", "POOLS", "STATS"] {
        for row in show(&client, listing).await? {
            let pairs: Vec<String> = row
                .iter()
                .map(|(name, value)| format!("{name}={value}"))
                .collect();
            println!(
                "node={node} listing={} {}",
                listing.to_lowercase(),
                pairs.join(" ")
            );
            if listing == "GROUPS" {
                let database = row[0].1.clone();
                let is_primary = row
                    .iter()
                    .any(|(name, value)| name == "role" && value == "primary");
                *has_primary_by_database.entry(database).or_insert(false) |= is_primary;
            }
        }
    }
    Ok(has_primary_by_database
        .values()
        .all(|has_primary| *has_primary))
}

/// Version of the table in force on a node; 0 if it has none.
pub async fn table_version(node: &str) -> Result<u64> {
    let client = connect(node).await?;
    let rows = show(&client, "TABLE").await?;
    let version = rows.first().map(|row| row[0].1.parse());
    Ok(version.transpose()?.unwrap_or(0))
}

/// Client addresses of the live members that a node knows, itself included.
pub async fn live_nodes(node: &str) -> Result<Vec<String>> {
    let client = connect(node).await?;
    let rows = show(&client, "NODES").await?;
    let value = |row: &[(String, String)], wanted: &str| {
        let found = row.iter().find(|(name, _)| name == wanted);
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    };
    Ok(rows
        .iter()
        .filter(|row| value(row, "state") == "alive")
        .map(|row| value(row, "client_address"))
        .collect())
}

async fn connect(node: &str) -> Result<tokio_postgres::Client> {
    let (host, port) = node
        .rsplit_once(':')
        .ok_or_else(|| eyre!("`{node}` is not an address and port"))?;
    let text = format!(
        "host={host} port={port} user=operator dbname={}",
        console::DATABASE
    );
    let connecting = tokio_postgres::connect(&text, NoTls);
    let (client, connection) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await??;
    tokio::spawn(connection);
    Ok(client)
}

async fn show(
    client: &tokio_postgres::Client,
    listing: &str,
) -> Result<Vec<Vec<(String, String)>>> {
    let messages = client.simple_query(&format!("SHOW {listing}")).await?;
    let rows = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(
            row.columns()
                .iter()
                .enumerate()
                .map(|(index, column)| {
                    let value = row.get(index).unwrap_or_default();
                    (column.name().to_owned(), value.to_owned())
                })
                .collect(),
        ),
        _ => None,
    });
    Ok(rows.collect())
}
