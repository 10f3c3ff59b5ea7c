//! Differences between versions of a table.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::Xxh3;

use super::sheet::{Sheet, SheetRow};

type RowKey = (String, String, String);

/// Changes that turn one sheet into another, regardless of the order of rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Keys of removed rows.
    pub removed: Vec<RowKey>,
    /// Cells of rows that were added or changed.
    pub changed: Vec<Vec<String>>,
}

impl Delta {
    /// The difference from `before` to `after`.
    pub fn between(before: &Sheet, after: &Sheet) -> Self {
        let known: BTreeMap<RowKey, &SheetRow> =
            before.rows.iter().map(|row| (row.key(), row)).collect();
        let kept: BTreeSet<RowKey> = after.rows.iter().map(SheetRow::key).collect();
        let removed = known
            .keys()
            .filter(|key| !kept.contains(*key))
            .cloned()
            .collect();
        let changed = after
            .rows
            .iter()
            .filter(|row| {
                known
                    .get(&row.key())
                    .is_none_or(|old| old.cells != row.cells)
            })
            .map(|row| row.cells.clone())
            .collect();
        Self { removed, changed }
    }

    /// The sheet `before` with the changes applied.
    pub fn apply(&self, before: &Sheet) -> Sheet {
        let mut rows = before.rows.clone();
        rows.retain(|row| !self.removed.contains(&row.key()));
        for cells in &self.changed {
            let row = SheetRow {
                line: 0,
                cells: cells.clone(),
            };
            match rows.iter_mut().find(|known| known.key() == row.key()) {
                Some(known) => *known = row,
                None => rows.push(row),
            }
        }
        Sheet { rows }
    }
}

impl Sheet {
    /// Digest of all cells, independent of the order of rows (XXH3, 64 bits). It
    /// detects damaged or different copies, but does not protect against forgery.
    pub fn digest(&self) -> u64 {
        let mut rows: Vec<&Vec<String>> = self.rows.iter().map(|row| &row.cells).collect();
        rows.sort_unstable();
        let mut hash = Xxh3::new();
        for cell in rows.into_iter().flatten() {
            hash.update(cell.as_bytes());
            hash.update(&[0]);
        }
        hash.digest()
    }
}
