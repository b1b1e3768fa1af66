//! Memory of a replica while it writes and reads its log file.

mod support;

use std::{
    fs,
    os::unix::fs::MetadataExt,
    path::Path,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use compio::time;
use futures_util::future;
use orioleworks_daemon::http;
use orioleworks_log::journal::{Journal, LOG_FILE};
use orioleworks_proto::inner;
use support::{command, leader, replica, run, settings, start};
use tokio_util::sync::CancellationToken;

const ENTRY_BYTES: usize = 100 * 1000;
const ENTRIES: usize = 240;
/// Size of all entries.
const LOG_BYTES: usize = ENTRY_BYTES * ENTRIES;
/// Room for the parts of a log file that are in memory at a time, and for the noise of the allocator.
const PART_BYTES: usize = 6 * 1000 * 1000;

/// Lets one test at a time use memory.
fn alone() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A figure of `/proc/self/status` in bytes.
fn status(name: &str) -> usize {
    let text = fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find(|line| line.starts_with(name)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 1024
}

/// Resident memory, from which the peak is counted from now on.
fn reset_peak() -> usize {
    fs::write("/proc/self/clear_refs", "5").unwrap();
    status("VmRSS")
}

/// Growth of the resident memory to its peak.
fn peak_growth(before: usize) -> usize {
    status("VmHWM").saturating_sub(before)
}

fn inode(path: &Path) -> u64 {
    fs::metadata(path).unwrap().ino()
}

/// Guards against copies of the whole log in memory when it is cut behind a snapshot.
#[test]
fn replacing_the_log_file_takes_memory_for_a_part_of_it() {
    let _alone = alone();
    run(async {
        let directory = tempfile::tempdir().unwrap();
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let replicas = [replica("a", &listener)];
        let token = CancellationToken::new();
        let mut settings = settings("a", directory.path(), &replicas);
        (settings.snapshot_entries, settings.tail_entries) = (ENTRIES as u64, ENTRIES as u64 - 10);
        let logs = [start(settings, listener, Duration::ZERO, &token)];
        let (log, calls) = leader(&logs).await;
        let path = directory.path().join(LOG_FILE);
        let written = inode(&path);
        let mut before = 0;
        while calls.snapshots.get() == 0 {
            before = reset_peak();
            log.propose("", command("x".repeat(ENTRY_BYTES))).await.unwrap();
            time::sleep(Duration::from_millis(2)).await;
        }
        // The replacement of the log file is another file.
        while inode(&path) == written {
            time::sleep(Duration::from_millis(5)).await;
        }
        let growth = peak_growth(before);
        token.cancel();
        assert!(log.entry_bytes() > LOG_BYTES - 20 * ENTRY_BYTES, "{}", log.entry_bytes());
        assert!(growth < PART_BYTES, "{growth} B for a log of {LOG_BYTES} B");
    });
}

/// Guards against one write of all entries that have collected while the disk was slow.
#[test]
fn a_backlog_of_entries_is_written_in_parts() {
    let _alone = alone();
    run(async {
        let directory = tempfile::tempdir().unwrap();
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let replicas = [replica("a", &listener)];
        let token = CancellationToken::new();
        let settings = settings("a", directory.path(), &replicas);
        let logs = [start(settings, listener, Duration::ZERO, &token)];
        let (log, _) = leader(&logs).await;
        let content = "x".repeat(ENTRY_BYTES);
        let commands: Vec<_> = (0..ENTRIES).map(|_| command(content.clone())).collect();
        let before = reset_peak();
        // All of them are proposed before the first one is written.
        let proposals = commands.into_iter().map(|c| log.propose_until_decided("", c));
        let decided = future::join_all(proposals).await;
        let growth = peak_growth(before);
        token.cancel();
        assert!(decided.iter().all(Result::is_ok));
        assert!(growth < PART_BYTES, "{growth} B for a log of {LOG_BYTES} B");
        let (_, loaded) = Journal::open(directory.path()).unwrap();
        assert!(loaded.entries.len() >= ENTRIES);
    });
}

/// Guards against a start with the log twice in memory, as bytes of the file and as entries.
#[test]
fn opening_the_log_reads_a_record_at_a_time() {
    let _alone = alone();
    let directory = tempfile::tempdir().unwrap();
    let (mut journal, _) = Journal::open(directory.path()).unwrap();
    for index in 1..=ENTRIES as u64 {
        let command = Some(command("x".repeat(ENTRY_BYTES)));
        let entry = inner::LogEntry { index, term: 1, command, ..Default::default() };
        journal.append(&[entry]).unwrap();
    }
    let before = reset_peak();
    let (_, loaded) = Journal::open(directory.path()).unwrap();
    let growth = peak_growth(before);
    assert_eq!(loaded.entries.len(), ENTRIES);
    assert!(growth < LOG_BYTES + PART_BYTES, "{growth} B for a log of {LOG_BYTES} B");
}
