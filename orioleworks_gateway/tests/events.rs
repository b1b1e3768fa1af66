//! Compares the table of log events in the operators' page with the code.

use std::{
    fs,
    path::{Path, PathBuf},
};

const PACKAGES: [&str; 5] = [
    "orioleworks_gateway",
    "orioleworks_store",
    "orioleworks_fleet",
    "orioleworks_log",
    "orioleworks_daemon",
];

fn sources(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            found.push(path);
        }
    }
}

/// Names in `event!(level, "name"` calls; comments are skipped.
fn events(text: &str) -> Vec<String> {
    let code: String = text.lines().filter(|l| !l.trim_start().starts_with("//")).collect();
    let calls = code.split("event!(").skip(1);
    calls.filter_map(|call| call.split('"').nth(1).map(str::to_owned)).collect()
}

/// Guards against log events that are missing in the operators' page.
#[test]
fn every_event_is_in_the_operators_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).unwrap();
    let mut files = Vec::new();
    for package in PACKAGES {
        sources(&root.join(package).join("src"), &mut files);
    }
    let mut missing = Vec::new();
    for file in files {
        for event in events(&fs::read_to_string(&file).unwrap()) {
            if !event.starts_with('$') && !page.contains(&format!("`{event}`")) {
                missing.push(format!("{event} in {}", file.display()));
            }
        }
    }
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}
