//! `linkhold proxy`: runs a node.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr};
use simplelog::LevelFilter;
use tokio::signal::unix::{SignalKind, signal};

use super::{EXIT_FINDINGS, EXIT_OK};
use crate::node::Node;
use crate::settings::{Overrides, parse};

/// Settings keys that can be given as flags, with their help texts.
const KEY_FLAGS: [(&str, &str); 5] = [
    ("node", "Name of the node, unique in the fleet"),
    ("zone", "Zone the node stands in"),
    ("listen", "IP address and port callers connect to"),
    (
        "table.platform_url",
        "Base URL of the platform's table service",
    ),
    ("table.file", "CSV file to use in place of the platform"),
];

/// The subcommand.
pub fn command() -> Command {
    let mut command = Command::new("proxy")
        .about("Run a node")
        .long_about(
            "Run a node until SIGTERM or SIGINT. Prints one line `event=ready listen=...` once it \
             accepts sessions. On the signal it leaves in order: sessions end between requests. \
             Exit status 1 means that the settings have findings, all of which are printed.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Settings file in TOML; flags win over it"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(clap::ArgAction::SetTrue)
                .help("Check the settings and exit"),
        );
    for (key, help) in KEY_FLAGS {
        command = command.arg(
            Arg::new(key)
                .long(flag_name(key))
                .value_name("VALUE")
                .help(help),
        );
    }
    command
}

fn flag_name(key: &'static str) -> String {
    key.replace(['.', '_'], "-")
}

/// Longest time to wait for the last log lines to be written.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> Result<u8> {
    let text = match arguments.get_one::<PathBuf>("settings") {
        Some(path) => std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?,
        None => String::new(),
    };
    let overrides: Overrides = KEY_FLAGS
        .iter()
        .filter_map(|(key, _)| {
            let value = arguments.get_one::<String>(key)?;
            Some(((*key).to_owned(), value.clone()))
        })
        .collect();
    let settings = match parse(&text, &overrides) {
        Ok(settings) => settings,
        Err(findings) => {
            for finding in &findings {
                eprintln!("settings: {finding}");
            }
            eprintln!("settings: {} findings; nothing was started", findings.len());
            return Ok(EXIT_FINDINGS);
        }
    };
    if arguments.get_flag("check") {
        return Ok(EXIT_OK);
    }
    linkhold_events::start_logging(LevelFilter::Info);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let node = Node::start(settings).await?;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let peer = node
            .peer_address()
            .map(|address| format!(" peer={address}"));
        println!(
            "event=ready listen={}{}",
            node.address(),
            peer.unwrap_or_default()
        );
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        node.stop().await;
        linkhold_events::queue::flush(LOG_FLUSH_TIME);
        Ok(EXIT_OK)
    })
}
