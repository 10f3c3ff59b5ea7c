//! Runs a database group and a platform as one process, for tests.
//!
//! Prints one line of `key=value` pairs with all addresses once every server
//! listens, then runs until it is terminated.

use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, Command, value_parser};
use eyre::Result;
use linkhold_standin::control::{self, StandIns};
use linkhold_standin::group::{Group, GroupOptions, LagProfile};
use linkhold_standin::platform::Platform;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("linkhold-standin")
        .about("Stand-ins for a database group and the platform")
        .arg(
            Arg::new("database")
                .long("database")
                .default_value("catalog-1")
                .help("Name of the database"),
        )
        .arg(
            Arg::new("schema")
                .long("schema")
                .action(clap::ArgAction::Append)
                .help("SQL statement that every instance runs at start; may be repeated"),
        )
        .arg(number("instances", "3", "Number of instances"))
        .arg(number(
            "slots",
            "10",
            "Statements that an instance runs concurrently",
        ))
        .arg(number(
            "connection-limit",
            "100",
            "Maximum number of connections to an instance",
        ))
        .arg(number(
            "connect-ms",
            "12",
            "Time to accept a connection, in milliseconds",
        ))
        .arg(number("lag-ms", "5", "Replication lag in milliseconds"))
        .arg(number(
            "election-ms",
            "300",
            "Time without a primary before an election, in milliseconds",
        ))
        .arg(number("seed", "1", "Seed of all random draws"))
}

#[tokio::main]
async fn main() -> Result<()> {
    let matches = command().get_matches();
    let number = |name: &str| -> u64 { *matches.get_one(name).expect("has a default") };
    let size = |name: &str| usize::try_from(number(name)).unwrap_or(usize::MAX);
    let options = GroupOptions {
        name: matches
            .get_one::<String>("database")
            .expect("has a default")
            .clone(),
        instances: size("instances"),
        slots: size("slots"),
        connection_limit: size("connection-limit"),
        connect_time: Duration::from_millis(number("connect-ms")),
        service_time: Duration::ZERO,
        lag: LagProfile::Fixed(Duration::from_millis(number("lag-ms"))),
        election_timeout: Duration::from_millis(number("election-ms")),
        seed: number("seed"),
        schema: matches
            .get_many::<String>("schema")
            .unwrap_or_default()
            .cloned()
            .collect(),
        record: true,
    };
    let standins = Arc::new(StandIns {
        group: Group::start(options).await?,
        platform: Platform::start(0).await?,
    });
    let (address, control) = control::bind(standins.clone(), 0).await?;
    let instances: Vec<String> = standins
        .group
        .addresses()
        .iter()
        .map(ToString::to_string)
        .collect();
    println!(
        "event=ready control={address} platform={} instances={}",
        standins.platform.url(),
        instances.join(",")
    );
    control.await?;
    Ok(())
}
