//! Replicas whose disks are full for a while, one after another.

mod support;

use std::{
    fs, io,
    os::unix::fs::symlink,
    path::Path,
    time::{Duration, Instant},
};

use compio::time;
use orioleworks_daemon::http;
use orioleworks_log::Log;
use rstest::rstest;
use support::{command, replica, run, settings, start};
use tokio_util::sync::CancellationToken;

/// Files that a replica writes before it renames them. As links to a device that is always full, their writes fail as on a
/// full disk, and the link stays behind as a partial file would.
const TEMPORARY_FILES: [&str; 4] = ["log.tmp", "vote.tmp", "snapshot.tmp", "snapshot.received"];
/// Time for which a disk is full: several elections and many retries.
const FULL_TIME: Duration = Duration::from_millis(1500);
/// Time in which a change is committed once all disks have room: two elections and the retry of a write.
const COMMIT_TIME: Duration = Duration::from_secs(4);

fn fill(directory: &Path, files: &[&str]) {
    for name in files {
        let path = directory.join(name);
        match fs::remove_file(&path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => panic!("{name}: {e}"),
            Ok(()) | Err(_) => symlink("/dev/full", &path).unwrap(),
        }
    }
}

fn free(directory: &Path) {
    for name in TEMPORARY_FILES {
        let path = directory.join(name);
        if path.is_symlink() {
            fs::remove_file(path).unwrap();
        }
    }
}

/// Proposes to whoever leads until a change is committed; false if that takes longer than `limit`.
async fn commits(logs: &[Log], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if let Some(log) = logs.iter().find(|log| log.is_leader()) {
            let proposal = log.propose("", command("x".repeat(10_000)));
            if matches!(time::timeout(limit, proposal).await, Ok(Ok(_))) {
                return true;
            }
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Guards against changes that stay refused after the last of several full disks has room again.
#[rstest]
#[case::all_files(&TEMPORARY_FILES)]
#[case::votes(&["vote.tmp"])]
#[case::the_log(&["log.tmp"])]
#[case::snapshots(&["snapshot.tmp", "snapshot.received"])]
fn changes_are_committed_after_disks_were_full_in_turn(#[case] files: &[&str]) {
    run(async {
        let directories = [(); 3].map(|()| tempfile::tempdir().unwrap());
        let mut listeners = Vec::new();
        for _ in 0..3 {
            listeners.push(http::bind("127.0.0.1:0").await.unwrap());
        }
        let names = ["a", "b", "c"];
        let replicas: Vec<_> = names.iter().zip(&listeners).map(|(n, l)| replica(n, l)).collect();
        let token = CancellationToken::new();
        let mut logs = Vec::new();
        for ((name, listener), directory) in names.iter().zip(listeners).zip(&directories) {
            let mut settings = settings(name, directory.path(), &replicas);
            settings.retry_writes = true;
            (settings.snapshot_entries, settings.tail_entries) = (20, 5);
            logs.push(start(settings, listener, Duration::ZERO, &token).0);
        }
        assert!(commits(&logs, COMMIT_TIME).await, "before any fault");
        for turn in 0..6 {
            // The leader first, because only a replica that writes notices its disk.
            let leader = logs.iter().position(Log::is_leader);
            let at = leader.filter(|_| turn % 2 == 0).unwrap_or(turn % 3);
            fill(directories[at].path(), files);
            let until = Instant::now() + FULL_TIME;
            while Instant::now() < until {
                commits(&logs, Duration::from_millis(200)).await;
            }
            free(directories[at].path());
            assert!(commits(&logs, COMMIT_TIME).await, "after the disk of {} was full", names[at]);
        }
        for _ in 0..40 {
            assert!(commits(&logs, COMMIT_TIME).await);
        }
        time::sleep(COMMIT_TIME).await;
        let status: Vec<_> = logs.iter().map(Log::status).collect();
        for (log, status) in logs.iter().zip(&status) {
            assert_eq!(log.failure(), None);
            assert_eq!(status.commit_index, logs[0].status().commit_index, "{status:?}");
        }
        token.cancel();
    });
}
