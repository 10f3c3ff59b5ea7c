//! Runs a fleet simulation and prints the cost of its control work as one line.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;
use linkhold_core::membership::MembershipSettings;
use linkhold_fleet::{FleetOptions, NetworkOptions, Simulation};

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    let run = Command::new("run")
        .about("Simulate a fleet and print the cost of its control work")
        .arg(number("nodes", "200", "Number of nodes"))
        .arg(number(
            "databases",
            "200",
            "Databases in the table, with three instances each",
        ))
        .arg(number("seconds", "60", "Simulated time in seconds"))
        .arg(number(
            "seed",
            "1",
            "Seed; the same seed gives the same counts and times",
        ))
        .arg(number("edits", "5", "Number of edits of the table"))
        .arg(number("deaths", "3", "Number of nodes that die"))
        .arg(number("loss-per-mille", "1", "Lost datagrams per thousand"));
    Command::new("linkhold-fleet")
        .about("Fleet simulation: the control logic of many nodes on a simulated network and clock")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(run)
}

fn options_of(arguments: &ArgMatches) -> FleetOptions {
    let number = |name: &str| -> u64 { *arguments.get_one(name).expect("has a default") };
    let size = |name: &str| usize::try_from(number(name)).unwrap_or(usize::MAX);
    FleetOptions {
        nodes: size("nodes").max(1),
        databases: size("databases").max(1),
        duration: Duration::from_secs(number("seconds").max(1)),
        seed: number("seed"),
        network: NetworkOptions {
            loss: number("loss-per-mille") as f64 / 1_000.0,
            ..NetworkOptions::default()
        },
        membership: MembershipSettings::default(),
        start_converged: true,
        edits: size("edits"),
        deaths: size("deaths"),
        mutation: None,
    }
}

/// Resident memory of the process in bytes (proc(5): `statm`).
fn resident_bytes() -> u64 {
    const PAGE: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok());
    pages.unwrap_or(0) * PAGE
}

fn main() -> Result<()> {
    let matches = command().get_matches();
    let Some(("run", arguments)) = matches.subcommand() else {
        unreachable!("clap requires a known subcommand");
    };
    let options = options_of(arguments);
    let nodes = options.nodes as u64;
    let before = resident_bytes();
    let mut simulation = Simulation::new(options);
    simulation.run();
    let resident = resident_bytes().saturating_sub(before) / nodes;
    println!("{}", simulation.report().line(resident));
    Ok(())
}
