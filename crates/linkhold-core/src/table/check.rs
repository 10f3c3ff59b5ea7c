//! Validation of a table. Every finding is reported with its row and column.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::column::Column;
use super::hours::HourRange;
use super::sheet::{Sheet, SheetRow};
use super::topology::{BackendState, Database, HourlyWeight, Instance, Topology};

const MAX_NAME_LENGTH: usize = 63;
const MAX_WEIGHT: u32 = 1_000;
const MAX_SLOTS: u32 = 10_000;
const MAX_CONNECTIONS: u32 = 100_000;
const MAX_WAIT_MILLISECONDS: u32 = 60_000;
/// Name of the operators' console database, which no row may use.
pub const CONSOLE_DATABASE: &str = "linkhold";

/// A mistake in a table and its location.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Line in the file, from 1.
    pub line: u64,
    /// Column; `None` if the finding concerns the whole line.
    pub column: Option<Column>,
    /// The mistake and the allowed values.
    pub message: String,
}

impl Finding {
    /// A finding that concerns a whole line.
    pub fn of_line(line: u64, message: impl Into<String>) -> Self {
        Self {
            line,
            column: None,
            message: message.into(),
        }
    }

    /// A finding that concerns one cell.
    pub fn of_cell(line: u64, column: Column, message: impl Into<String>) -> Self {
        Self {
            line,
            column: Some(column),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.column {
            Some(column) => write!(
                formatter,
                "line {}, column {column}: {}",
                self.line, self.message
            ),
            None => write!(formatter, "line {}: {}", self.line, self.message),
        }
    }
}

/// Checks a sheet and builds its topology. `Err` lists all findings.
pub fn check(sheet: &Sheet) -> Result<Topology, Vec<Finding>> {
    let mut findings = Vec::new();
    let mut topology = Topology::default();
    for row in &sheet.rows {
        if let Some(parsed) = ParsedRow::read(row, &mut findings) {
            add_row(parsed, &mut topology, &mut findings);
        }
    }
    check_addresses(sheet, &mut findings);
    if findings.is_empty() {
        Ok(topology)
    } else {
        findings.sort();
        Err(findings)
    }
}

/// A row whose cells are all valid.
struct ParsedRow {
    line: u64,
    group: String,
    database: String,
    instance: Instance,
    read_wait: Duration,
    write_wait: Duration,
}

impl ParsedRow {
    fn read(row: &SheetRow, findings: &mut Vec<Finding>) -> Option<Self> {
        let before = findings.len();
        let mut cells = CellReader { row, findings };
        let group = cells.name(Column::Group);
        let database = cells.name(Column::Database);
        let name = cells.name(Column::Instance);
        let address = cells.parsed::<SocketAddr>(
            Column::Address,
            "expected an IP address and port, such as 127.0.0.1:5432",
        );
        let zone = cells.name(Column::Zone);
        let hours = cells.parsed::<HourRange>(
            Column::Hours,
            "expected `*` or a range such as 6-18, with hours from 0 to 24",
        );
        let weight = cells.number(Column::Weight, 0, MAX_WEIGHT);
        let slots = cells.number(Column::Slots, 1, MAX_SLOTS);
        let connection_limit = cells.number(Column::ConnectionLimit, 1, MAX_CONNECTIONS);
        let read_wait = cells.number(Column::ReadWait, 0, MAX_WAIT_MILLISECONDS);
        let write_wait = cells.number(Column::WriteWait, 0, MAX_WAIT_MILLISECONDS);
        let state = cells.state();
        if database == CONSOLE_DATABASE {
            cells.report(
                Column::Database,
                "this name is kept for the operators' console",
            );
        }
        if slots
            .zip(connection_limit)
            .is_some_and(|(slots, limit)| slots > limit)
        {
            cells.report(
                Column::Slots,
                "more slots than connection_limit allows connections",
            );
        }
        if findings.len() > before {
            return None;
        }
        Some(Self {
            line: row.line,
            group,
            database,
            instance: Instance {
                name,
                address: address?,
                zone,
                weights: vec![HourlyWeight {
                    hours: hours?,
                    weight: weight?,
                }],
                slots: slots?,
                connection_limit: connection_limit?,
                state: state?,
            },
            read_wait: Duration::from_millis(u64::from(read_wait?)),
            write_wait: Duration::from_millis(u64::from(write_wait?)),
        })
    }
}

/// Parses the cells of one row and collects findings.
struct CellReader<'a> {
    row: &'a SheetRow,
    findings: &'a mut Vec<Finding>,
}

impl CellReader<'_> {
    fn report(&mut self, column: Column, message: impl Into<String>) {
        self.findings
            .push(Finding::of_cell(self.row.line, column, message));
    }

    fn name(&mut self, column: Column) -> String {
        let text = self.row.cell(column).to_owned();
        let allowed =
            |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
        let valid = !text.is_empty() && text.len() <= MAX_NAME_LENGTH && text.chars().all(allowed);
        if !valid {
            self.report(
                column,
                format!("`{text}` is not a name: 1 to {MAX_NAME_LENGTH} of a-z A-Z 0-9 - _ ."),
            );
        }
        text
    }

    fn parsed<T: std::str::FromStr>(&mut self, column: Column, allowed: &str) -> Option<T> {
        let text = self.row.cell(column);
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let message = format!("`{text}`: {allowed}");
            self.report(column, message);
        }
        parsed
    }

    fn number(&mut self, column: Column, min: u32, max: u32) -> Option<u32> {
        let text = self.row.cell(column);
        let number = text
            .parse::<u32>()
            .ok()
            .filter(|number| (min..=max).contains(number));
        if number.is_none() {
            let message = format!("`{text}`: expected a whole number from {min} to {max}");
            self.report(column, message);
        }
        number
    }

    fn state(&mut self) -> Option<BackendState> {
        match self.row.cell(Column::State) {
            "active" => Some(BackendState::Active),
            "leaving" => Some(BackendState::Leaving),
            other => {
                let message = format!("`{other}`: expected active or leaving");
                self.report(Column::State, message);
                None
            }
        }
    }
}

/// Adds a row to the topology and compares it with the earlier rows.
fn add_row(row: ParsedRow, topology: &mut Topology, findings: &mut Vec<Finding>) {
    let database = topology
        .databases
        .entry(row.database.clone())
        .or_insert_with(|| Database {
            group: row.group.clone(),
            name: row.database.clone(),
            instances: Vec::new(),
            read_wait: row.read_wait,
            write_wait: row.write_wait,
        });
    let agreements = [
        (Column::Group, database.group == row.group),
        (Column::ReadWait, database.read_wait == row.read_wait),
        (Column::WriteWait, database.write_wait == row.write_wait),
    ];
    report_disagreements(&agreements, "rows of this database", row.line, findings);
    let known = database
        .instances
        .iter_mut()
        .find(|instance| instance.name == row.instance.name);
    match known {
        None => database.instances.push(row.instance),
        Some(known) => add_hours(known, &row.instance, row.line, findings),
    }
}

/// Adds the hours of another row of the same instance.
fn add_hours(known: &mut Instance, row: &Instance, line: u64, findings: &mut Vec<Finding>) {
    let agreements = [
        (Column::Address, known.address == row.address),
        (Column::Zone, known.zone == row.zone),
        (Column::Slots, known.slots == row.slots),
        (
            Column::ConnectionLimit,
            known.connection_limit == row.connection_limit,
        ),
        (Column::State, known.state == row.state),
    ];
    report_disagreements(&agreements, "rows of this instance", line, findings);
    let added = row.weights[0];
    let overlaps = known
        .weights
        .iter()
        .any(|entry| entry.hours.overlaps(added.hours));
    if overlaps {
        findings.push(Finding::of_cell(
            line,
            Column::Hours,
            format!("{} overlaps an earlier row of this instance", added.hours),
        ));
    }
    known.weights.push(added);
}

fn report_disagreements(
    agreements: &[(Column, bool)],
    scope: &str,
    line: u64,
    findings: &mut Vec<Finding>,
) {
    for (column, _) in agreements.iter().filter(|(_, agrees)| !agrees) {
        findings.push(Finding::of_cell(
            line,
            *column,
            format!("differs from earlier {scope}"),
        ));
    }
}

/// Reports instances that share an address.
fn check_addresses(sheet: &Sheet, findings: &mut Vec<Finding>) {
    let mut owners: BTreeMap<&str, (&str, &str)> = BTreeMap::new();
    for row in &sheet.rows {
        let owner = (row.cell(Column::Database), row.cell(Column::Instance));
        let address = row.cell(Column::Address);
        let first = *owners.entry(address).or_insert(owner);
        if first != owner {
            findings.push(Finding::of_cell(
                row.line,
                Column::Address,
                format!(
                    "{address} is already the address of {}/{}",
                    first.0, first.1
                ),
            ));
        }
    }
}
