//! `linkhold bench`: measures a load with a node and the same load without one.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;

use super::EXIT_OK;
use crate::benchmark::{BenchmarkOptions, PARTS, run as run_benchmark};

/// The subcommand.
pub fn command() -> Command {
    Command::new("bench")
        .about("Measure statements, writes, idle connections, failovers and replica reads")
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("PART")
                .action(clap::ArgAction::Append)
                .value_parser(PARTS)
                .help("Run this part; may be repeated. Without it all parts run"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("3")
                .value_parser(value_parser!(u64))
                .help("Length of each measurement"),
        )
        .arg(
            Arg::new("idle-connections")
                .long("idle-connections")
                .default_value("5000")
                .value_parser(value_parser!(u64))
                .help("Idle client connections to open"),
        )
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> Result<u8> {
    let number = |name: &str| -> u64 { *arguments.get_one(name).expect("has a default") };
    let parts: Vec<String> = match arguments.get_many::<String>("only") {
        Some(parts) => parts.cloned().collect(),
        None => PARTS.map(str::to_owned).to_vec(),
    };
    run_benchmark(&BenchmarkOptions {
        parts,
        duration: Duration::from_secs(number("seconds").max(1)),
        idle_connections: usize::try_from(number("idle-connections"))?,
    })?;
    Ok(EXIT_OK)
}
