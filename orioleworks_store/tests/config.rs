//! Settings of the log that follow from those of a store.

use orioleworks_settings::parse;
use orioleworks_store::config::Config;
use rstest::rstest;

const MB: usize = 1024 * 1024;

/// Settings of a store with a memory limit.
fn settings(memory_mb: usize) -> Config {
    let text = format!(
        r#"{{
            "instance": {{ "name": "s-1", "failure_domain": "d-1" }},
            "listen": {{ "control": "127.0.0.1:7000", "inner_port": 7001 }},
            "cluster": {{ "seeds": ["127.0.0.1:7000"] }},
            "data": {{ "directory": "/nowhere" }},
            "limits": {{ "memory_mb": {memory_mb} }}
        }}"#
    );
    parse("store.json", &text).unwrap()
}

/// Guards against a log that takes as much memory as ever where a store has little, until the platform kills it.
#[rstest]
#[case::least(32, 4 * MB)]
#[case::small(64, 64 * MB / 10)]
#[case::usual(140, 14 * MB)]
#[case::large(1024, 24 * MB)]
fn the_log_takes_a_share_of_the_memory_limit(#[case] memory_mb: usize, #[case] most: usize) {
    let log = settings(memory_mb).log_settings();
    let total = log.snapshot_bytes + log.tail_bytes;
    assert!(total <= most, "{total} B of {memory_mb} MB");
    assert!(total >= most - most / 20, "{total} B of {memory_mb} MB are less than useful");
}

/// Guards against a learner that needs one snapshot after the other: while it received one, the next one was taken, and only a part of
/// the entries between them was kept.
#[rstest]
#[case::least(32)]
#[case::usual(140)]
#[case::large(1024)]
fn the_log_keeps_what_follows_a_snapshot_until_a_learner_has_it(#[case] memory_mb: usize) {
    let log = settings(memory_mb).log_settings();
    assert!(log.catch_up_bytes >= 2 * log.snapshot_bytes, "{} B are kept", log.catch_up_bytes);
    assert!(log.catch_up_bytes <= memory_mb * MB / 8, "{} B are kept", log.catch_up_bytes);
}
