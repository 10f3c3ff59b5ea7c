//! Merging of concurrent edits.
//!
//! An operator edits a copy of some version. If the table has changed since, the
//! edit's cell changes are applied to the current version. Changes to different
//! cells both succeed; changes of the same cell to different values are a conflict,
//! which is reported and not applied.

use std::collections::BTreeMap;

use super::column::Column;
use super::sheet::{Sheet, SheetRow};

type RowKey = (String, String, String);

/// Two edits that contradict each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Database, instance and hours of the row.
    pub row: RowKey,
    /// Column; `None` if one of the edits removed or added the whole row.
    pub column: Option<Column>,
    /// Value that the edit sets.
    pub wanted: String,
    /// Value in the current table.
    pub current: String,
}

impl std::fmt::Display for Conflict {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (database, instance, hours) = &self.row;
        write!(formatter, "row {database}/{instance}/{hours}")?;
        if let Some(column) = self.column {
            write!(formatter, ", column {column}")?;
        }
        write!(
            formatter,
            ": this edit wants `{}`, the current table has `{}`",
            self.wanted, self.current
        )
    }
}

const REMOVED: &str = "(row removed)";
const ADDED: &str = "(row added)";
const CHANGED: &str = "(row changed)";

/// Applies the changes from `base` to `edited` on top of `current`.
pub fn rebase(base: &Sheet, edited: &Sheet, current: &Sheet) -> Result<Sheet, Vec<Conflict>> {
    let base_rows = by_key(base);
    let edited_rows = by_key(edited);
    let mut merged = current.clone();
    let mut conflicts = Vec::new();
    for (key, base_row) in &base_rows {
        match edited_rows.get(key) {
            Some(edited_row) => {
                change_cells(&mut merged, base_row, edited_row, &mut conflicts);
            }
            None => remove_row(&mut merged, base_row, &mut conflicts),
        }
    }
    for row in &edited.rows {
        if !base_rows.contains_key(&row.key()) {
            add_row(&mut merged, row, &mut conflicts);
        }
    }
    if conflicts.is_empty() {
        Ok(merged)
    } else {
        Err(conflicts)
    }
}

fn by_key(sheet: &Sheet) -> BTreeMap<RowKey, &SheetRow> {
    sheet.rows.iter().map(|row| (row.key(), row)).collect()
}

fn change_cells(
    merged: &mut Sheet,
    base: &SheetRow,
    edited: &SheetRow,
    conflicts: &mut Vec<Conflict>,
) {
    let changed: Vec<Column> = Column::ALL
        .into_iter()
        .filter(|column| base.cell(*column) != edited.cell(*column))
        .collect();
    if changed.is_empty() {
        return;
    }
    let Some(row) = find(merged, base) else {
        conflicts.push(Conflict {
            row: base.key(),
            column: None,
            wanted: CHANGED.to_owned(),
            current: REMOVED.to_owned(),
        });
        return;
    };
    for column in changed {
        let current = row.cell(column);
        let wanted = edited.cell(column);
        let is_mergeable = current == base.cell(column) || current == wanted;
        if is_mergeable {
            row.cells[column.index()] = wanted.to_owned();
        } else {
            conflicts.push(Conflict {
                row: base.key(),
                column: Some(column),
                wanted: wanted.to_owned(),
                current: current.to_owned(),
            });
        }
    }
}

fn remove_row(merged: &mut Sheet, base: &SheetRow, conflicts: &mut Vec<Conflict>) {
    let Some(row) = find(merged, base) else {
        return;
    };
    if row.cells != base.cells {
        conflicts.push(Conflict {
            row: base.key(),
            column: None,
            wanted: REMOVED.to_owned(),
            current: CHANGED.to_owned(),
        });
        return;
    }
    merged.rows.retain(|row| row.key() != base.key());
}

fn add_row(merged: &mut Sheet, added: &SheetRow, conflicts: &mut Vec<Conflict>) {
    match find(merged, added) {
        None => merged.rows.push(added.clone()),
        Some(row) if row.cells == added.cells => {}
        Some(_) => conflicts.push(Conflict {
            row: added.key(),
            column: None,
            wanted: ADDED.to_owned(),
            current: ADDED.to_owned(),
        }),
    }
}

fn find<'a>(sheet: &'a mut Sheet, wanted: &SheetRow) -> Option<&'a mut SheetRow> {
    let key = wanted.key();
    sheet.rows.iter_mut().find(|row| row.key() == key)
}
