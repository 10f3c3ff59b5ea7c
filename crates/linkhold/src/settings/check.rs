//! Parses and checks settings.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use linkhold_core::group_view::CommitPromise;

use super::reader::{Finding, Overrides, Reader};
use super::{Detection, PeerSettings, ReadPolicy, Settings, TableSource};

const DEFAULT_STATUS_QUERY: &str = "SHOW linkhold.status";
const MIN_TOKEN_KEY_LENGTH: usize = 16;
const MAX_MILLISECONDS: i64 = 600_000;
const MAX_FLEET_SIZE: i64 = 10_000;
const MAX_CLIENT_CONNECTIONS: i64 = 1_000_000;
const SECONDS_PER_DAY: i64 = 86_400;
const ADDRESS_MAP: &str = "address_map.";

/// Parses and checks a settings file; flags override its keys. Fails with every
/// finding.
pub fn parse(text: &str, overrides: &Overrides) -> Result<Settings, Vec<Finding>> {
    let mut reader = Reader::new(text, overrides);
    let settings = Settings {
        node: name(&mut reader, "node"),
        zone: name(&mut reader, "zone"),
        listen: listen_address(&mut reader),
        peer: peer_settings(&mut reader),
        table: table_source(&mut reader),
        table_poll: milliseconds(&mut reader, "table.poll_ms", 500, 10),
        token_key: token_key(&mut reader),
        backend_user: reader.text_or("backend.user", "linkhold"),
        status_query: reader.text_or("backend.status_query", DEFAULT_STATUS_QUERY),
        probe_timeout: milliseconds(&mut reader, "backend.probe_timeout_ms", 500, 1),
        probe_interval: milliseconds(&mut reader, "backend.probe_interval_ms", 1_000, 10),
        connect_timeout: milliseconds(&mut reader, "backend.connect_timeout_ms", 2_000, 1),
        statement_timeout: milliseconds(&mut reader, "backend.statement_timeout_ms", 30_000, 10),
        fleet_size: small_number(&mut reader, "limits.fleet_size", 1, 1, MAX_FLEET_SIZE),
        write_reserve_percent: small_number(&mut reader, "limits.write_reserve_percent", 20, 0, 90),
        client_connections: small_number(
            &mut reader,
            "limits.client_connections",
            20_000,
            1,
            MAX_CLIENT_CONNECTIONS,
        ),
        idle_transaction_timeout: milliseconds(
            &mut reader,
            "limits.idle_transaction_timeout_ms",
            60_000,
            10,
        ),
        key_cleanup_interval: milliseconds(
            &mut reader,
            "limits.key_cleanup_interval_ms",
            600_000,
            100,
        ),
        drain_timeout: milliseconds(&mut reader, "limits.drain_timeout_ms", 30_000, 0),
        commit_promise: reader.choice(
            "backend.commit_promise",
            &[
                ("primary", CommitPromise::PrimaryOnly),
                ("majority", CommitPromise::Majority),
            ],
        ),
        share_rounds: true,
        detection: Detection::default(),
        read_policy: reader.choice(
            "read_policy",
            &[
                ("fence", ReadPolicy::Fence),
                ("pin-after-write", ReadPolicy::PinAfterWrite),
                ("primary-only", ReadPolicy::PrimaryOnly),
            ],
        ),
        hour_offset: reader.number_or("hour_offset_seconds", 0, -SECONDS_PER_DAY, SECONDS_PER_DAY),
        address_map: address_map(&mut reader),
    };
    let timeouts_agree = settings.probe_timeout <= settings.statement_timeout;
    if !timeouts_agree {
        let line = reader.line_of_key("backend.probe_timeout_ms");
        reader.report(
            line,
            "backend.probe_timeout_ms",
            "must not be longer than backend.statement_timeout_ms",
        );
    }
    let findings = reader.finish(&[ADDRESS_MAP]);
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(findings)
    }
}

fn name(reader: &mut Reader, key: &'static str) -> String {
    let text = reader.text(key);
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    let well_formed = !text.is_empty() && text.chars().all(allowed);
    if reader.has(key) && !well_formed {
        let line = reader.line_of_key(key);
        reader.report(line, key, "expected a name of a-z A-Z 0-9 - _ .");
    }
    text
}

fn listen_address(reader: &mut Reader) -> SocketAddr {
    const KEY: &str = "listen";
    let unspecified = SocketAddr::from(([127, 0, 0, 1], 0));
    let text = reader.text(KEY);
    if !reader.has(KEY) {
        return unspecified;
    }
    reader.address(KEY, &text).unwrap_or(unspecified)
}

/// Reads the `peer` section; returns `None` without `peer.listen`.
fn peer_settings(reader: &mut Reader) -> Option<PeerSettings> {
    let listen = reader.optional_text("peer.listen");
    let seeds = reader.text_or("peer.seeds", "");
    let key = reader.optional_text("peer.key");
    let Some(listen) = listen else {
        for unused_key in ["peer.seeds", "peer.key"] {
            if reader.has(unused_key) {
                let line = reader.line_of_key(unused_key);
                reader.report(line, unused_key, "has no effect without peer.listen");
            }
        }
        return None;
    };
    let address = reader.address("peer.listen", &listen);
    let seeds = seeds
        .split(',')
        .map(str::trim)
        .filter(|seed| !seed.is_empty())
        .filter_map(|seed| reader.address("peer.seeds", seed))
        .collect();
    let key = key.unwrap_or_default();
    if key.len() < MIN_TOKEN_KEY_LENGTH {
        let line = reader.line_of_key("peer.key");
        let message = format!("expected at least {MIN_TOKEN_KEY_LENGTH} characters");
        reader.report(line, "peer.key", message);
    }
    Some(PeerSettings {
        listen: address?,
        seeds,
        key,
    })
}

fn table_source(reader: &mut Reader) -> TableSource {
    let url = reader.optional_text("table.platform_url");
    let name = reader.text_or("table.name", "linkhold");
    let file = reader.optional_text("table.file");
    match (url, file) {
        (Some(_), Some(_)) => {
            let line = reader.line_of_key("table.file");
            reader.report(
                line,
                "table.file",
                "contradicts table.platform_url; give one of them",
            );
        }
        (None, None) => reader.report(0, "table", "give table.platform_url or table.file"),
        (Some(url), None) => {
            if !url.starts_with("http://") {
                let line = reader.line_of_key("table.platform_url");
                reader.report(
                    line,
                    "table.platform_url",
                    "expected a URL that begins with http://",
                );
            }
            return TableSource::Platform { url, name };
        }
        (None, Some(file)) => return TableSource::File(PathBuf::from(file)),
    }
    TableSource::File(PathBuf::new())
}

fn token_key(reader: &mut Reader) -> String {
    const KEY: &str = "token_key";
    let key = reader.text(KEY);
    if reader.has(KEY) && key.len() < MIN_TOKEN_KEY_LENGTH {
        let line = reader.line_of_key(KEY);
        let message = format!("expected at least {MIN_TOKEN_KEY_LENGTH} characters");
        reader.report(line, KEY, message);
    }
    key
}

fn milliseconds(reader: &mut Reader, key: &'static str, default: i64, least: i64) -> Duration {
    let number = reader.number_or(key, default, least, MAX_MILLISECONDS);
    Duration::from_millis(number.unsigned_abs())
}

fn small_number(
    reader: &mut Reader,
    key: &'static str,
    default: i64,
    least: i64,
    most: i64,
) -> u32 {
    let number = reader.number_or(key, default, least, most);
    u32::try_from(number).unwrap_or_default()
}

fn address_map(reader: &mut Reader) -> HashMap<SocketAddr, SocketAddr> {
    let mut map = HashMap::new();
    for (line, from, to) in reader.section(ADDRESS_MAP) {
        match (from.parse(), to.parse()) {
            (Ok(from), Ok(to)) => {
                map.insert(from, to);
            }
            _ => {
                let key = format!("{ADDRESS_MAP}{from}");
                reader.report(line, &key, "expected an IP address and port on both sides");
            }
        }
    }
    map
}
