//! Panics end the process, and its log tells where they came from.

use std::{process::Command, time::Duration};

use orioleworks_daemon::logging;

/// Overflows.
fn scale(seconds: u64) -> Duration {
    Duration::from_secs(seconds) * 80
}

/// Set in the process that panics.
const VARIABLE: &str = "ORIOLEWORKS_TEST_PANIC";

/// Guards against a process that ends without a line that names its own code: an overflow of a time is reported at a line of the
/// standard library, which several causes share.
#[test]
fn the_log_names_the_code_that_panicked() {
    const NAME: &str = "the_log_names_the_code_that_panicked";
    if std::env::var_os(VARIABLE).is_some() {
        logging::start_daemon("info");
        logging::abort_on_panic();
        scale(u64::MAX);
    }
    let output = Command::new(std::env::current_exe().unwrap())
        .args([NAME, "--exact", "--nocapture"])
        .env(VARIABLE, "1")
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(!output.status.success(), "{text}");
    let line = text.lines().find(|line| line.contains("event=process_aborted")).unwrap_or_default();
    assert!(line.contains("overflow when multiplying duration"), "{text}");
    assert!(line.contains("scale at ") && line.contains("panics.rs"), "{text}");
}
