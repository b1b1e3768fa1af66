//! Guards against an example that is refused, and against wrong exit codes.

use std::{fs, path::Path, process::Command};

use orioleworks_proto::codes::exit;
use rstest::rstest;

fn run(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_orioleworks-control"))
        .args(args)
        .output()
        .expect("the program starts");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).expect("UTF-8"))
}

fn example() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/control.jsonc");
    fs::read_to_string(path).expect("the example exists")
}

/// Guards against an example that the program refuses.
#[rstest]
fn example_is_valid() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/control.jsonc");
    let (code, text) = run(&["--config", path.to_str().unwrap(), "--check"]);
    assert_eq!(code, Some(exit::OK), "{text}");
}

/// Guards against a wrong value that is accepted, or that is refused without its line and accepted range.
#[rstest]
#[case::heartbeat("\"heartbeat_ms\": 50", "\"heartbeat_ms\": 5", "10..=1000 ms")]
#[case::election("\"election_timeout_min_ms\": 300", "\"election_timeout_min_ms\": 100", "200..=")]
#[case::own_name(
    "\"name\": \"control-a\",\n    \"f",
    "\"name\": \"x\",\n    \"f",
    "with this instance"
)]
#[case::unknown_key("\"snapshot_entries\"", "\"snapshots\"", "snapshots")]
fn wrong_setting_is_refused(#[case] old: &str, #[case] new: &str, #[case] accepted: &str) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("control.jsonc");
    let modified = example().replacen(old, new, 1);
    assert_ne!(modified, example());
    fs::write(&path, modified).unwrap();
    let (code, text) = run(&["--config", path.to_str().unwrap(), "--check"]);
    assert_eq!(code, Some(exit::SETTINGS), "{text}");
    assert!(text.contains("control.jsonc:") && text.contains(accepted), "{text}");
}

/// Guards against options that do not work without a settings file.
#[rstest]
fn version_and_help_need_no_settings() {
    assert_eq!(run(&["--version"]).0, Some(exit::OK));
    let (code, text) = run(&["--help"]);
    assert!(code == Some(exit::OK) && text.contains("--config"), "{text}");
}
