//! The command line.

mod bench;
mod demo;
mod proxy;
mod status;
mod table;

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};

/// The command succeeded.
pub const EXIT_OK: u8 = 0;
/// The command ran and found something wrong: findings, conflicts, violations.
pub const EXIT_FINDINGS: u8 = 1;
/// The command could not run: bad flags, no answer, an address in use.
pub const EXIT_FAILED: u8 = 2;

fn command() -> Command {
    Command::new("linkhold")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Database proxy with session consistency")
        .after_help("Exit status: 0 done, 1 findings or violations, 2 could not run.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo::command())
        .subcommand(bench::command())
        .subcommand(proxy::command())
        .subcommand(table::command())
        .subcommand(status::command())
}

/// Parses the command line and runs the command.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand() {
        Some(("demo", arguments)) => demo::run(arguments),
        Some(("bench", arguments)) => bench::run(arguments),
        Some(("proxy", arguments)) => proxy::run(arguments),
        Some(("table", arguments)) => table::run(arguments),
        Some(("status", arguments)) => status::run(arguments),
        _ => unreachable!("clap demands a known subcommand"),
    };
    match result {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Argument that takes addresses of nodes.
fn nodes_argument() -> Arg {
    Arg::new("node")
        .long("node")
        .value_name("ADDRESS")
        .action(clap::ArgAction::Append)
        .help("IP address and port of a node; may be repeated")
}

fn nodes_of(arguments: &ArgMatches) -> impl Iterator<Item = &String> {
    arguments.get_many::<String>("node").unwrap_or_default()
}
