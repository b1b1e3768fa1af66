//! Guards against documentation of the result codes that no longer matches the code.

use std::collections::BTreeSet;

use orioleworks_proto::codes::{ALL, exit};

const PAGE: &str = include_str!("../../docs/result-codes.md");
const CODES: &str = include_str!("../src/codes.rs");

/// Cells of the table rows with this many columns, without the heading.
fn rows(columns: usize) -> Vec<Vec<&'static str>> {
    let cells = |line: &'static str| line.trim_matches('|').split(" | ").map(str::trim).collect();
    let is_row = |row: &Vec<&str>| row.len() == columns && row[0].parse::<u32>().is_ok();
    PAGE.lines().filter(|line| line.starts_with("| ")).map(cells).filter(is_row).collect()
}

#[test]
fn every_code_is_on_the_page_as_it_is_in_the_code() {
    let rows = rows(6);
    assert_eq!(rows.len(), ALL.len());
    for (row, code) in rows.iter().zip(ALL) {
        let not_run = if code.not_run() { "yes" } else { "no" };
        let expected = [
            code.number().to_string(),
            format!("`{}`", code.name()),
            code.http_status().to_string(),
            not_run.to_owned(),
            code.to_string(),
        ];
        assert_eq!(row[..5], expected);
        assert!(
            ["now", "after", "never", "nothing", "idempotent"]
                .iter()
                .any(|w| row[5].starts_with(w)),
            "{}: `{}` does not say when to repeat",
            row[1],
            row[5]
        );
    }
}

#[test]
fn the_list_of_codes_has_every_code_once() {
    let declared = CODES.lines().filter(|line| line.starts_with("    ") && line.ends_with(','));
    let declared = declared.filter(|line| line.contains(" = ")).count();
    let numbers: BTreeSet<u32> = ALL.iter().map(|code| code.number()).collect();
    assert_eq!(ALL.len(), declared);
    assert_eq!(ALL.len(), numbers.len());
}

#[test]
fn every_exit_code_is_on_the_page() {
    let known = [
        ("OK", exit::OK),
        ("FAILED", exit::FAILED),
        ("SETTINGS", exit::SETTINGS),
        ("LISTEN", exit::LISTEN),
        ("DATA", exit::DATA),
        ("REFUSED", exit::REFUSED),
        ("NOT_IN_FORCE", exit::NOT_IN_FORCE),
    ];
    let rows = rows(3);
    assert_eq!(rows.len(), CODES.matches("pub const").count() - 1, "a code is missing here");
    assert_eq!(rows.len(), known.len());
    for (row, (name, number)) in rows.iter().zip(known) {
        assert_eq!(row[..2], [number.to_string(), format!("`{name}`")]);
    }
}
