//! `linkhold demo`: runs the whole system in one process, under load and faults.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr};
use simplelog::LevelFilter;

use super::{EXIT_FINDINGS, EXIT_OK};
use crate::demo::{DemoOptions, Fault, Profile, run as run_demo};
use crate::log_event::start_logging;
use crate::settings::ReadPolicy;

const PROFILES: [Profile; 2] = [Profile::SadaaWaves, Profile::HeatNetwork];
const POLICIES: [(&str, ReadPolicy); 3] = [
    ("fence", ReadPolicy::Fence),
    ("pin-after-write", ReadPolicy::PinAfterWrite),
    ("primary-only", ReadPolicy::PrimaryOnly),
];

/// The subcommand.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("demo")
        .about("Run the whole system in one process, under load and faults, and judge it")
        .long_about(
            "Run nodes, database groups and a platform in one process, with callers that roam \
             between nodes. Afterwards compare what callers were told with what the databases \
             hold. The last line is the result as key=value pairs; exit status 1 means that \
             violations were found. The baselines pin-after-write and primary-only are there for \
             comparison and may violate what the fence policy guarantees.",
        )
        .arg(
            Arg::new("profile")
                .long("profile")
                .default_value("sadaa-waves")
                .value_parser(PROFILES.map(Profile::name))
                .help("Whose sizes and load"),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .default_value("primary-crash")
                .value_parser(Fault::ALL.map(Fault::name))
                .help("What breaks"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .default_value("fence")
                .value_parser(POLICIES.map(|(name, _)| name))
                .help("How nodes route reads"),
        )
        .arg(number("seconds", "10", "How long callers run"))
        .arg(number("seed", "1", "Seed for callers, lag and faults"))
        .arg(number("nodes", "3", "Number of nodes"))
        .arg(number(
            "probe-interval-ms",
            "1000",
            "Time between status queries that no request asks for",
        ))
        .arg(
            Arg::new("tokens")
                .long("tokens")
                .action(clap::ArgAction::SetTrue)
                .help("Callers carry session tokens from node to node"),
        )
        .arg(
            Arg::new("only-duplicates")
                .long("only-duplicates")
                .action(clap::ArgAction::SetTrue)
                .help("Every write is one keyed request sent through two nodes at once"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .action(clap::ArgAction::SetTrue)
                .help("Log the nodes' events to standard error"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Write the result to a file as JSON"),
        )
}

fn options_of(arguments: &ArgMatches) -> DemoOptions {
    let number = |name: &str| -> u64 { *arguments.get_one(name).expect("has a default") };
    let word = |name: &str| -> &str { arguments.get_one::<String>(name).expect("has a default") };
    let profile = PROFILES
        .into_iter()
        .find(|profile| profile.name() == word("profile"));
    let policy = POLICIES
        .into_iter()
        .find(|(name, _)| *name == word("policy"));
    DemoOptions {
        profile: profile.expect("clap checks the value"),
        duration: Duration::from_secs(number("seconds").max(1)),
        seed: number("seed"),
        nodes: usize::try_from(number("nodes")).unwrap_or(1).max(1),
        policy: policy.expect("clap checks the value").1,
        fault: Fault::from_name(word("fault")).expect("clap checks the value"),
        probe_interval: Duration::from_millis(number("probe-interval-ms").max(1)),
        tokens: arguments.get_flag("tokens"),
        only_duplicates: arguments.get_flag("only-duplicates"),
    }
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> Result<u8> {
    if arguments.get_flag("log") {
        start_logging(LevelFilter::Info);
    }
    let options = options_of(arguments);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let report = runtime.block_on(run_demo(&options))?;
    for violation in &report.violation_details {
        println!("violation: {violation}");
    }
    if let Some(path) = arguments.get_one::<PathBuf>("json") {
        let text = serde_json::to_string_pretty(&report)?;
        std::fs::write(path, text).wrap_err_with(|| format!("cannot write {}", path.display()))?;
    }
    println!("{}", report.line());
    Ok(if report.violations == 0 {
        EXIT_OK
    } else {
        EXIT_FINDINGS
    })
}
