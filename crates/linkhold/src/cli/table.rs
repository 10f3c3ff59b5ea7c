//! `linkhold table`: checks, shows and edits the table.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr, bail};
use linkhold_core::table::{Finding, Sheet, check};
use rand::Rng;

use super::{EXIT_FINDINGS, EXIT_OK};
use crate::platform::PlatformClient;
use crate::table_editor::{Edit, EditOutcome};

/// Longest wait until an edit is in force on all nodes.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
const WAIT_PAUSE: Duration = Duration::from_millis(100);
/// Start of the comment that `table show` writes and `table apply` reads.
const VERSION_COMMENT: &str = "# version=";

/// The subcommand.
pub fn command() -> Command {
    let file = Arg::new("file")
        .required(true)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("CSV file");
    Command::new("table")
        .about("Check, show and edit the table")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Report every finding of a table file; exit status 1 if there are any")
                .arg(file.clone()),
        )
        .subcommand(
            with_platform(Command::new("show"))
                .about("Print the newest version as CSV, with its version in a comment")
                .arg(
                    Arg::new("version")
                        .long("version")
                        .value_parser(value_parser!(u64))
                        .help("Print this version instead"),
                ),
        )
        .subcommand(
            with_platform(Command::new("apply"))
                .about("Store an edited table")
                .long_about(
                    "Store an edited table. The file should come from `table show`: its version \
                     comment names the version the edit was made from. If the table has moved on \
                     since, the edit's changes are applied on top, unless another edit changed \
                     the same cells; such conflicts are printed and nothing is stored (exit \
                     status 1). A lost answer is resolved by reading back.",
                )
                .arg(file)
                .arg(
                    Arg::new("base")
                        .long("base")
                        .value_parser(value_parser!(u64))
                        .help("Version the edit was made from, if the file has no comment"),
                )
                .arg(
                    Arg::new("author")
                        .long("author")
                        .default_value("operator")
                        .help("Name recorded with the edit"),
                )
                .arg(
                    Arg::new("wait")
                        .long("wait")
                        .action(clap::ArgAction::SetTrue)
                        .requires("node")
                        .help("Wait until all nodes that --node knows of have the edit in force"),
                )
                .arg(super::nodes_argument()),
        )
        .subcommand(with_platform(Command::new("history")).about("Print all versions, one a line"))
        .subcommand(
            with_platform(Command::new("status"))
                .about("Print the stored version and the version in force on nodes")
                .arg(super::nodes_argument()),
        )
}

fn with_platform(command: Command) -> Command {
    command
        .arg(
            Arg::new("platform")
                .long("platform")
                .required(true)
                .value_name("URL")
                .help("Base URL of the platform's table service"),
        )
        .arg(
            Arg::new("name")
                .long("name")
                .default_value("linkhold")
                .help("Name of the table"),
        )
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> Result<u8> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    match arguments.subcommand() {
        Some(("check", arguments)) => check_file(file_of(arguments)),
        Some(("show", arguments)) => runtime.block_on(show(arguments)),
        Some(("apply", arguments)) => runtime.block_on(apply(arguments)),
        Some(("history", arguments)) => runtime.block_on(history(arguments)),
        Some(("status", arguments)) => runtime.block_on(status(arguments)),
        _ => unreachable!("clap demands a known subcommand"),
    }
}

fn file_of(arguments: &ArgMatches) -> &Path {
    arguments.get_one::<PathBuf>("file").expect("is required")
}

fn client_of(arguments: &ArgMatches) -> PlatformClient {
    let url = arguments
        .get_one::<String>("platform")
        .expect("is required");
    let name = arguments.get_one::<String>("name").expect("has a default");
    PlatformClient::new(url, name)
}

fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
}

fn parse_and_check(text: &str) -> Result<Sheet, Vec<Finding>> {
    let sheet = Sheet::parse(text)?;
    check(&sheet)?;
    Ok(sheet)
}

fn print_findings(path: &Path, findings: &[Finding]) -> u8 {
    for finding in findings {
        println!("{}: {finding}", path.display());
    }
    println!("findings={}", findings.len());
    EXIT_FINDINGS
}

fn check_file(path: &Path) -> Result<u8> {
    match parse_and_check(&read_file(path)?) {
        Ok(sheet) => {
            println!("findings=0 rows={}", sheet.rows.len());
            Ok(EXIT_OK)
        }
        Err(findings) => Ok(print_findings(path, &findings)),
    }
}

async fn show(arguments: &ArgMatches) -> Result<u8> {
    let client = client_of(arguments);
    let table = match arguments.get_one::<u64>("version") {
        Some(version) => client.read_version(*version).await?,
        None => client.read().await?,
    };
    println!("{VERSION_COMMENT}{}", table.version);
    print!("{}", table.body);
    Ok(EXIT_OK)
}

async fn history(arguments: &ArgMatches) -> Result<u8> {
    for entry in client_of(arguments).history().await? {
        println!(
            "version={} author={} edit_id={}",
            entry.version, entry.author, entry.edit_id
        );
    }
    Ok(EXIT_OK)
}

async fn status(arguments: &ArgMatches) -> Result<u8> {
    let stored = client_of(arguments).read().await?.version;
    println!("stored_version={stored}");
    let mut all_in_force = true;
    for node in super::nodes_of(arguments) {
        let version = super::status::table_version(node).await;
        let in_force = version.as_ref().is_ok_and(|version| *version == stored);
        all_in_force &= in_force;
        match version {
            Ok(version) => println!("node={node} version={version} in_force={in_force}"),
            Err(error) => println!("node={node} error=\"{error}\""),
        }
    }
    Ok(if all_in_force { EXIT_OK } else { EXIT_FINDINGS })
}

async fn apply(arguments: &ArgMatches) -> Result<u8> {
    let path = file_of(arguments);
    let text = read_file(path)?;
    let edited = match parse_and_check(&text) {
        Ok(sheet) => sheet,
        Err(findings) => return Ok(print_findings(path, &findings)),
    };
    let base_version = match arguments.get_one::<u64>("base").copied().or(base_of(&text)) {
        Some(version) => version,
        None => bail!(
            "{} has no `{VERSION_COMMENT}N` line; edit the output of `table show` or give --base",
            path.display()
        ),
    };
    let edit = Edit {
        base_version,
        edited,
        author: arguments
            .get_one::<String>("author")
            .expect("has a default")
            .clone(),
        edit_id: format!("{:016x}", rand::rng().random::<u64>()),
    };
    let outcome = edit.store(&client_of(arguments)).await;
    let code = report_outcome(&edit, &outcome)?;
    match outcome {
        EditOutcome::Stored(version) if arguments.get_flag("wait") => {
            let nodes: Vec<&String> = super::nodes_of(arguments).collect();
            wait_in_force(version, &nodes).await
        }
        _ => Ok(code),
    }
}

/// Waits until the given nodes and every live node that they know have the version
/// in force.
async fn wait_in_force(version: u64, nodes: &[&String]) -> Result<u8> {
    let start = Instant::now();
    loop {
        let mut fleet = BTreeSet::new();
        for node in nodes {
            fleet.insert((*node).clone());
            fleet.extend(super::status::live_nodes(node).await.unwrap_or_default());
        }
        let mut in_force = 0;
        for node in &fleet {
            let found = super::status::table_version(node).await;
            in_force += usize::from(found.is_ok_and(|found| found >= version));
        }
        let all = in_force == fleet.len();
        if all || start.elapsed() > WAIT_LIMIT {
            println!("in_force={in_force} nodes={}", fleet.len());
            return Ok(if all { EXIT_OK } else { EXIT_FINDINGS });
        }
        tokio::time::sleep(WAIT_PAUSE).await;
    }
}

fn report_outcome(edit: &Edit, outcome: &EditOutcome) -> Result<u8> {
    match outcome {
        EditOutcome::Stored(version) => {
            println!("version={version} edit_id={}", edit.edit_id);
            Ok(EXIT_OK)
        }
        EditOutcome::Conflicts { version, conflicts } => {
            for conflict in conflicts {
                println!("conflict with version {version}: {conflict}");
            }
            println!("conflicts={}", conflicts.len());
            Ok(EXIT_FINDINGS)
        }
        EditOutcome::Findings { version, findings } => {
            for finding in findings {
                println!("together with version {version}: {finding}");
            }
            println!("findings={}", findings.len());
            Ok(EXIT_FINDINGS)
        }
        EditOutcome::Unknown(reason) => bail!(
            "edit {} may or may not be stored ({reason}); look for it in `table history`",
            edit.edit_id
        ),
    }
}

/// Version in the comment that `table show` writes; `None` without a comment.
fn base_of(text: &str) -> Option<u64> {
    let line = text
        .lines()
        .find(|line| line.starts_with(VERSION_COMMENT))?;
    line[VERSION_COMMENT.len()..].trim().parse().ok()
}
