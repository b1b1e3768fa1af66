//! Settings of the log that follow from those of a store.

use orioleworks_settings::parse;
use orioleworks_store::config::Config;
use rstest::rstest;

const MB: usize = 1024 * 1024;

/// Guards against a log that takes as much memory as ever where a store has little, until the platform kills it.
#[rstest]
#[case::least(32, 4 * MB)]
#[case::small(64, 64 * MB / 10)]
#[case::usual(140, 14 * MB)]
#[case::large(1024, 24 * MB)]
fn the_log_takes_a_share_of_the_memory_limit(#[case] memory_mb: usize, #[case] most: usize) {
    let text = format!(
        r#"{{
            "instance": {{ "name": "s-1", "failure_domain": "d-1" }},
            "listen": {{ "control": "127.0.0.1:7000", "inner_port": 7001 }},
            "cluster": {{ "seeds": ["127.0.0.1:7000"] }},
            "data": {{ "directory": "/nowhere" }},
            "limits": {{ "memory_mb": {memory_mb} }}
        }}"#
    );
    let cfg: Config = parse("store.json", &text).unwrap();
    let log = cfg.log_settings();
    let total = log.snapshot_bytes + log.tail_bytes;
    assert!(total <= most, "{total} B of {memory_mb} MB");
    assert!(total >= most - most / 20, "{total} B of {memory_mb} MB are less than useful");
}
