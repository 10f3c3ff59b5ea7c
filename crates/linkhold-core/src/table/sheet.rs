//! The table as rows of text cells.

use std::collections::HashSet;

use super::check::Finding;
use super::column::Column;

/// A row of cells and its line number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SheetRow {
    /// Line in the file, from 1; the heading is on line 1 unless comments
    /// come before it.
    pub line: u64,
    /// Cells in the order of [`Column::ALL`].
    pub cells: Vec<String>,
}

impl SheetRow {
    /// Text of a cell.
    pub fn cell(&self, column: Column) -> &str {
        &self.cells[column.index()]
    }

    /// Key that identifies the row across edits: database, instance and hours.
    pub fn key(&self) -> (String, String, String) {
        (
            self.cell(Column::Database).to_owned(),
            self.cell(Column::Instance).to_owned(),
            self.cell(Column::Hours).to_owned(),
        )
    }
}

/// Rows of cells, read from CSV (RFC 4180).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sheet {
    /// Rows in file order.
    pub rows: Vec<SheetRow>,
}

impl Sheet {
    /// Parses CSV. Columns may appear in any order; lines that begin with `#` are
    /// comments. `Err` lists all findings about headings and row lengths.
    pub fn parse(text: &str) -> Result<Self, Vec<Finding>> {
        let mut reader = csv::ReaderBuilder::new()
            .comment(Some(b'#'))
            .flexible(true)
            .trim(csv::Trim::All)
            .from_reader(text.as_bytes());
        let headings = match reader.headers() {
            Ok(headings) => headings.clone(),
            Err(error) => return Err(vec![Finding::of_line(1, error.to_string())]),
        };
        let heading_line = headings.position().map_or(1, |position| position.line());
        let (columns, mut findings) = match_headings(&headings, heading_line);
        let mut rows = Vec::new();
        for record in reader.records() {
            match record {
                Ok(record) => rows.extend(read_row(&record, &columns, &mut findings)),
                Err(error) => {
                    let line = error.position().map_or(0, csv::Position::line);
                    findings.push(Finding::of_line(line, error.to_string()));
                }
            }
        }
        if findings.is_empty() {
            Ok(Self { rows })
        } else {
            Err(findings)
        }
    }

    /// Creates a sheet from cells that were not read from a file.
    pub fn from_cells(rows: Vec<Vec<String>>) -> Self {
        let rows = rows
            .into_iter()
            .map(|cells| SheetRow { line: 0, cells })
            .collect();
        Self { rows }
    }

    /// Whether each row has a cell for each column.
    pub fn is_well_formed(&self) -> bool {
        self.rows
            .iter()
            .all(|row| row.cells.len() == Column::ALL.len())
    }

    /// Writes the sheet as CSV with all columns in order.
    pub fn to_csv(&self) -> String {
        let mut writer = csv::Writer::from_writer(Vec::new());
        let headings = Column::ALL.map(Column::heading);
        writer
            .write_record(headings)
            .expect("writing to memory does not fail");
        for row in &self.rows {
            writer
                .write_record(&row.cells)
                .expect("writing to memory does not fail");
        }
        let bytes = writer
            .into_inner()
            .expect("writing to memory does not fail");
        String::from_utf8(bytes).expect("cells are UTF-8")
    }
}

fn match_headings(headings: &csv::StringRecord, line: u64) -> (Vec<Option<Column>>, Vec<Finding>) {
    let mut findings = Vec::new();
    let mut seen = HashSet::new();
    let columns: Vec<Option<Column>> = headings
        .iter()
        .map(|heading| {
            let column = Column::from_heading(heading);
            match column {
                None => findings.push(Finding::of_line(
                    line,
                    format!(
                        "unknown column `{heading}`; allowed: {}",
                        allowed_headings()
                    ),
                )),
                Some(known) if !seen.insert(known) => {
                    findings.push(Finding::of_line(
                        line,
                        format!("column `{heading}` stands twice"),
                    ));
                }
                Some(_) => {}
            }
            column
        })
        .collect();
    for missing in Column::ALL.iter().filter(|column| !seen.contains(column)) {
        findings.push(Finding::of_line(
            line,
            format!("column `{missing}` is missing"),
        ));
    }
    (columns, findings)
}

fn allowed_headings() -> String {
    Column::ALL.map(Column::heading).join(", ")
}

fn read_row(
    record: &csv::StringRecord,
    columns: &[Option<Column>],
    findings: &mut Vec<Finding>,
) -> Option<SheetRow> {
    let line = record.position().map_or(0, csv::Position::line);
    if record.len() != columns.len() {
        findings.push(Finding::of_line(
            line,
            format!(
                "{} cells where the heading has {}",
                record.len(),
                columns.len()
            ),
        ));
        return None;
    }
    let mut cells = vec![String::new(); Column::ALL.len()];
    for (cell, column) in record.iter().zip(columns) {
        if let Some(column) = column {
            cells[column.index()] = cell.to_owned();
        }
    }
    Some(SheetRow { line, cells })
}
