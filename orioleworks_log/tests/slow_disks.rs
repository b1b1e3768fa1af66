//! What waits for a disk whose syncs are slow; needs the feature `failpoints`.

#![cfg(feature = "failpoints")]

mod support;

use std::time::{Duration, Instant};

use compio::time;
use fail::FailScenario;
use orioleworks_daemon::http;
use support::{command, leader, replica, run, settings, start};
use tokio_util::sync::CancellationToken;

/// Guards against a commit that takes two syncs in series: entries were durable, and not acknowledged until the mark was, too.
#[test]
fn an_entry_is_committed_before_its_mark_is_synced() {
    const MARK_SYNC_MS: u64 = 1000;
    let scenario = FailScenario::setup();
    run(async {
        let directory = tempfile::tempdir().unwrap();
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let replicas = [replica("a", &listener)];
        let token = CancellationToken::new();
        let settings = settings("a", directory.path(), &replicas);
        let logs = [start(settings, listener, Duration::ZERO, &token)];
        let (log, _) = leader(&logs).await;
        // The mark of the first entry of the term may still be written.
        log.propose("before", command(String::new())).await.unwrap();
        time::sleep(Duration::from_millis(500)).await;
        fail::cfg("log.before_mark_sync", &format!("sleep({MARK_SYNC_MS})")).unwrap();
        let started = Instant::now();
        log.propose("first", command(String::new())).await.unwrap();
        let first = started.elapsed();
        log.propose("second", command(String::new())).await.unwrap();
        let second = started.elapsed();
        token.cancel();
        let mark_sync = Duration::from_millis(MARK_SYNC_MS);
        assert!(first < mark_sync, "{first:?}");
        // The marks alternate between two places, so that the next entries wait for the mark.
        assert!(second >= mark_sync, "{second:?}");
    });
    scenario.teardown();
}
