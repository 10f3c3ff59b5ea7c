//! The table: findings, hours and rebase. Guards against mistakes that are not reported
//! with their row and column, and against concurrent edits that lose a change.

use linkhold_core::table::rebase::rebase;
use linkhold_core::table::{Finding, HourRange, Sheet, Topology, check};
use proptest::prelude::*;

const HEADINGS: &str = "group,database,instance,address,zone,hours,weight,slots,connection_limit,read_wait_ms,write_wait_ms,state";

fn sheet(rows: &[&str]) -> Sheet {
    let text = format!("{HEADINGS}\n{}\n", rows.join("\n"));
    Sheet::parse(&text).expect("is well formed")
}

fn checked(rows: &[&str]) -> Result<Topology, Vec<Finding>> {
    check(&sheet(rows))
}

fn report(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn every_mistake_is_reported_with_its_row_and_column() {
    let findings = checked(&[
        "g,catalog,a,127.0.0.1:1,z,*,10,5,40,100,1000,active",
        "g,catalog,b,localhost:2,z,6-25,ten,5,40,100,1000,active",
        "g,catalog,c,127.0.0.1:1,z,*,10,50,40,200,1000,gone",
        "g,linkhold,d,127.0.0.1:4,two words,*,10,5,0,100,1000,leaving",
    ])
    .expect_err("has mistakes");
    insta::assert_snapshot!(report(&findings));
}

#[test]
fn mistakes_of_shape_are_reported_together() {
    let findings = Sheet::parse("group,database,colour,group\n1,2\n").expect_err("has mistakes");
    insta::assert_snapshot!(report(&findings));
}

#[test]
fn rows_of_one_instance_give_its_weight_by_hour() {
    let topology = checked(&[
        "g,catalog,a,127.0.0.1:1,z,6-18,10,5,40,100,1000,active",
        "g,catalog,a,127.0.0.1:1,z,18-22,3,5,40,100,1000,active",
        "g,catalog,b,127.0.0.1:2,z,22-6,7,5,40,100,1000,active",
    ])
    .expect("is right");
    let instances = &topology.databases["catalog"].instances;
    let weights = |hour| [instances[0].weight_at(hour), instances[1].weight_at(hour)];
    assert_eq!(weights(6), [10, 0]);
    assert_eq!(weights(17), [10, 0]);
    assert_eq!(weights(18), [3, 0]);
    assert_eq!(weights(22), [0, 7]);
    assert_eq!(weights(3), [0, 7]);
}

#[test]
fn overlapping_hours_and_disagreeing_rows_are_findings() {
    let findings = checked(&[
        "g,catalog,a,127.0.0.1:1,z,6-18,10,5,40,100,1000,active",
        "g,catalog,a,127.0.0.1:1,y,17-20,3,6,40,100,1000,active",
    ])
    .expect_err("has mistakes");
    insta::assert_snapshot!(report(&findings));
}

#[test]
fn hour_ranges_are_read_and_written() {
    for text in ["*", "6-18", "22-4", "0-1", "23-24"] {
        let range: HourRange = text.parse().expect("is a range");
        assert_eq!(range.to_string(), text);
    }
    for text in ["", "6", "6-6", "24-1", "1-25", "a-b", "-1-3"] {
        assert!(text.parse::<HourRange>().is_err(), "{text}");
    }
}

const BASE: [&str; 2] = [
    "g,catalog,a,127.0.0.1:1,z,*,10,5,40,100,1000,active",
    "g,catalog,b,127.0.0.1:2,z,*,10,5,40,100,1000,active",
];

#[test]
fn edits_of_different_cells_both_succeed() {
    let base = sheet(&BASE);
    let first = sheet(&[&BASE[0].replace(",10,", ",20,"), BASE[1]]);
    let second = sheet(&[
        &BASE[0].replace(",5,", ",6,"),
        &BASE[1].replace("active", "leaving"),
    ]);
    let merged = rebase(&base, &second, &first).expect("no conflict");
    let wanted = sheet(&[
        &BASE[0].replace(",10,5,", ",20,6,"),
        &BASE[1].replace("active", "leaving"),
    ]);
    assert_eq!(merged, wanted);
}

#[test]
fn edits_of_the_same_cell_are_a_reported_conflict() {
    let base = sheet(&BASE);
    let first = sheet(&[&BASE[0].replace(",10,", ",20,"), BASE[1]]);
    let second = sheet(&[&BASE[0].replace(",10,", ",30,"), BASE[1]]);
    let conflicts = rebase(&base, &second, &first).expect_err("conflict");
    let text: Vec<String> = conflicts.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(text.join("\n"));
}

#[test]
fn removing_a_row_another_edit_changed_is_a_conflict() {
    let base = sheet(&BASE);
    let first = sheet(&[BASE[0], &BASE[1].replace("active", "leaving")]);
    let second = sheet(&[BASE[0]]);
    assert_eq!(
        rebase(&base, &second, &first).expect_err("conflict").len(),
        1
    );
    assert_eq!(rebase(&base, &second, &base).expect("no conflict"), second);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// After two edits, each changed cell has a value that one of the edits gave it. A
    /// conflict is reported exactly if both edits give the same cell different values.
    #[test]
    fn two_edits_never_lose_a_change(
        first in proptest::collection::vec((0..2_usize, 6..11_usize, 1..5_u32), 0..4),
        second in proptest::collection::vec((0..2_usize, 6..11_usize, 1..5_u32), 0..4),
    ) {
        let base = sheet(&BASE);
        let edit = |changes: &[(usize, usize, u32)]| {
            let mut edited = base.clone();
            for (row, column, value) in changes {
                edited.rows[*row].cells[*column] = value.to_string();
            }
            edited
        };
        let (current, edited) = (edit(&first), edit(&second));
        let differs = |a: &Sheet, b: &Sheet, row: usize, column: usize| {
            a.rows[row].cells[column] != b.rows[row].cells[column]
        };
        let conflicting = (0..2).any(|row| (0..12).any(|column| {
            differs(&base, &current, row, column)
                && differs(&base, &edited, row, column)
                && differs(&current, &edited, row, column)
        }));
        match rebase(&base, &edited, &current) {
            Err(_) => prop_assert!(conflicting),
            Ok(merged) => {
                prop_assert!(!conflicting);
                for row in 0..2 {
                    for column in 0..12 {
                        let wanted = if differs(&base, &edited, row, column) { &edited } else { &current };
                        prop_assert!(!differs(&merged, wanted, row, column));
                    }
                }
            }
        }
    }
}
