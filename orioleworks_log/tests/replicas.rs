//! Replicas of a log in one process: proposals to a slow quorum, and snapshots of large entries.

mod support;

use std::{cell::Cell, fs, path::Path, time::Duration};

use compio::time;
use futures_util::future;
use orioleworks_daemon::http;
use orioleworks_log::{
    Log, ProposeError, Settings,
    journal::{Journal, LOG_FILE, Loaded, SYNCED_FILE},
};
use orioleworks_proto::inner::{self, frame::Body};
use support::{command, leader, replica, run, settings, start};
use tokio_util::sync::CancellationToken;

/// Time for which a follower holds back entries while it answers heartbeats: longer than a proposer waits.
const DELAY: Duration = Duration::from_millis(2000);

/// Guards against a proposer that proposes the same again and again, because the first copy takes long to commit.
#[test]
fn a_proposal_that_waits_for_a_slow_quorum_is_decided_once() {
    run(async {
        let directories = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
        let a = http::bind("127.0.0.1:0").await.unwrap();
        let b = http::bind("127.0.0.1:0").await.unwrap();
        let replicas = [replica("a", &a), replica("b", &b)];
        let token = CancellationToken::new();
        let settings = |name, i: usize| settings(name, directories[i].path(), &replicas);
        let logs =
            [start(settings("a", 0), a, DELAY, &token), start(settings("b", 1), b, DELAY, &token)];
        let (log, calls) = leader(&logs).await;
        let impatient = log.propose("impatient", command(String::new())).await;
        assert_eq!(impatient, Err(ProposeError::Unconfirmed));
        let patient = log.propose_until_decided("patient", command(String::new())).await;
        assert!(patient.is_ok(), "{patient:?}");
        let count = calls.applied.borrow().iter().filter(|id| *id == "patient").count();
        assert_eq!(count, 1);
        token.cancel();
    });
}

/// Guards against a snapshot for each entry, because the entries that are kept behind a snapshot are larger than the
/// threshold of the next one.
#[test]
fn large_entries_behind_a_snapshot_do_not_cause_the_next_one() {
    const ENTRY_BYTES: usize = 1000;
    const ENTRIES: usize = 60;
    const THRESHOLD: usize = 10 * ENTRY_BYTES;
    run(async {
        let directory = tempfile::tempdir().unwrap();
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let replicas = [replica("a", &listener)];
        let token = CancellationToken::new();
        let mut settings = settings("a", directory.path(), &replicas);
        settings.snapshot_bytes = THRESHOLD;
        let logs = [start(settings, listener, Duration::ZERO, &token)];
        let (log, calls) = leader(&logs).await;
        for i in 0..ENTRIES {
            let content = "x".repeat(ENTRY_BYTES);
            log.propose(&i.to_string(), command(content)).await.unwrap();
            // Lets the task that takes snapshots run.
            time::sleep(Duration::from_millis(20)).await;
        }
        let (taken, due) = (calls.snapshots.get(), ENTRIES * ENTRY_BYTES / THRESHOLD);
        assert!(taken <= due + 1, "{taken} snapshots where {due} are due");
        token.cancel();
    });
}

/// Guards against a snapshot of the whole state for each applied entry while more than the threshold waits for a quorum.
#[test]
fn entries_that_wait_for_a_slow_quorum_do_not_cause_snapshots() {
    const ENTRIES: usize = 60;
    const THRESHOLD: usize = 10 * LARGE_ENTRY_BYTES;
    const SLOW: Duration = Duration::from_millis(50);
    run(async {
        let directories = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
        let a = http::bind("127.0.0.1:0").await.unwrap();
        let b = http::bind("127.0.0.1:0").await.unwrap();
        let replicas = [replica("a", &a), replica("b", &b)];
        let token = CancellationToken::new();
        let settings = |name, i: usize| Settings {
            snapshot_bytes: THRESHOLD,
            ..settings(name, directories[i].path(), &replicas)
        };
        let logs =
            [start(settings("a", 0), a, SLOW, &token), start(settings("b", 1), b, SLOW, &token)];
        let (log, calls) = leader(&logs).await;
        let content = "x".repeat(LARGE_ENTRY_BYTES);
        let proposals =
            (0..ENTRIES).map(|_| log.propose_until_decided("", command(content.clone())));
        let decided = future::join_all(proposals).await;
        assert!(decided.iter().all(Result::is_ok));
        let (taken, due) = (calls.snapshots.get(), ENTRIES * LARGE_ENTRY_BYTES / THRESHOLD);
        assert!(taken <= due + 1, "{taken} snapshots where {due} are due");
        token.cancel();
    });
}

/// Guards against a log that holds as much behind a snapshot as may collect until the next one.
#[test]
fn the_log_in_memory_keeps_to_the_sum_of_its_bounds() {
    const THRESHOLD: usize = 10 * LARGE_ENTRY_BYTES;
    const TAIL: usize = 3 * LARGE_ENTRY_BYTES;
    run(async {
        let directory = tempfile::tempdir().unwrap();
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let replicas = [replica("a", &listener)];
        let token = CancellationToken::new();
        let mut settings = settings("a", directory.path(), &replicas);
        (settings.snapshot_bytes, settings.tail_bytes) = (THRESHOLD, TAIL);
        let logs = [start(settings, listener, Duration::ZERO, &token)];
        let (log, _) = leader(&logs).await;
        let mut largest = 0;
        for _ in 0..60 {
            log.propose("", command("x".repeat(LARGE_ENTRY_BYTES))).await.unwrap();
            largest = largest.max(log.entry_bytes());
            // Lets the task that takes snapshots run.
            time::sleep(Duration::from_millis(20)).await;
        }
        token.cancel();
        // The entry that reaches the threshold is the last one before the snapshot.
        let bound = THRESHOLD + TAIL + 2 * LARGE_ENTRY_BYTES;
        assert!(largest <= bound, "{largest} B where {bound} B are the bound");
    });
}

/// Entries of a leader from an index on; their content names index and term.
fn entries(term: u64, first: u64, count: u64) -> Vec<inner::LogEntry> {
    let content = |index| format!("{index}/{term}/{}", "x".repeat(LARGE_ENTRY_BYTES));
    let entry = |index| inner::LogEntry {
        index,
        term,
        command: Some(command(content(index))),
        ..Default::default()
    };
    (first..first + count).map(entry).collect()
}

const LARGE_ENTRY_BYTES: usize = 100 * 1000;

/// Reads the log as it would be read after a crash now.
fn read_copy(directory: &Path) -> Loaded {
    let copy = tempfile::tempdir().unwrap();
    // The synced mark must not be newer than the log that it describes.
    for name in [SYNCED_FILE, LOG_FILE] {
        fs::copy(directory.join(name), copy.path().join(name)).unwrap();
    }
    let (_, loaded) = Journal::open(copy.path()).unwrap();
    loaded
}

/// Sends entries to a follower and, if it says that it has synced them, checks them on its disk.
async fn append_and_check(
    log: &Log,
    directory: &Path,
    prev: (u64, u64),
    entries: Vec<inner::LogEntry>,
) -> bool {
    let (term, last) = entries.last().map(|entry| (entry.term, entry.index)).unwrap();
    let append = inner::Append {
        term,
        leader_id: term,
        prev_index: prev.0,
        prev_term: prev.1,
        target_id: log.status().member_id,
        entries: entries.clone(),
        ..Default::default()
    };
    let Some(Body::AppendReply(reply)) = log.handle(Body::Append(append)).await else {
        panic!("no reply to an append")
    };
    if reply.success && reply.match_index >= last {
        let loaded = read_copy(directory);
        let kept = loaded.entries.into_iter().filter(|entry| entry.index > prev.0);
        assert!(kept.take(entries.len()).eq(entries), "term {term} is not on disk");
    }
    reply.success
}

/// Guards against a replacement of the log file that confirms entries it does not contain, because it copies the log in parts
/// and entries are replaced between them.
#[test]
fn entries_cut_while_the_log_file_is_replaced_are_never_confirmed() {
    const COUNT: u64 = 60;
    const KEPT: u64 = 5;
    const TERMS: u64 = 25;
    run(async {
        let directory = tempfile::tempdir().unwrap();
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let replicas = [replica("a", &listener), replica("b", &listener)];
        let token = CancellationToken::new();
        let mut settings = settings("a", directory.path(), &replicas);
        settings.bootstrap = false;
        let (log, _) = start(settings, listener, Duration::ZERO, &token);
        let path = directory.path();
        assert!(append_and_check(&log, path, (0, 0), entries(1, 1, COUNT)).await);
        let (confirmed, ended) = (Cell::new(0_u64), Cell::new(0_u64));
        let leaders = (2..=TERMS).map(|term| {
            let (log, confirmed, ended) = (&log, &confirmed, &ended);
            async move {
                // Each leader comes while the log file is replaced for an earlier one, at another point of it.
                time::sleep(Duration::from_millis((2..=term).map(|term| 5 + term * 7 % 31).sum()))
                    .await;
                let sent = entries(term, KEPT + 1, COUNT - KEPT);
                if append_and_check(log, path, (KEPT, 1), sent).await {
                    confirmed.set(term);
                }
                ended.set(ended.get() + 1);
            }
        });
        let crashes = async {
            while ended.get() < TERMS - 1 {
                let entries = read_copy(path).entries;
                let later = &entries[KEPT as usize..];
                let is_of_one = later.iter().all(|entry| entry.term == later[0].term);
                assert!(is_of_one, "entries of several leaders");
                time::sleep(Duration::from_millis(10)).await;
            }
        };
        future::join(future::join_all(leaders), crashes).await;
        assert_eq!(confirmed.get(), TERMS);
        let mut last = entries(1, 1, KEPT);
        last.extend(entries(TERMS, KEPT + 1, COUNT - KEPT));
        assert!(read_copy(path).entries == last, "the log differs from that of the last leader");
        token.cancel();
    });
}

/// Guards against acknowledged entries that are lost or reordered when they arrive while the log file is replaced.
#[test]
fn entries_added_while_the_log_file_is_replaced_are_kept_in_order() {
    const PROPOSALS: usize = 300;
    const AT_A_TIME: usize = 10;
    run(async {
        let directory = tempfile::tempdir().unwrap();
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let replicas = [replica("a", &listener)];
        let token = CancellationToken::new();
        let mut settings = settings("a", directory.path(), &replicas);
        (settings.snapshot_entries, settings.tail_entries) = (30, 60);
        let logs = [start(settings, listener, Duration::ZERO, &token)];
        let (log, calls) = leader(&logs).await;
        let content = "x".repeat(LARGE_ENTRY_BYTES);
        let proposers = (0..AT_A_TIME).map(|proposer| {
            let content = &content;
            async move {
                for i in (proposer..PROPOSALS).step_by(AT_A_TIME) {
                    let decided = log.propose(&i.to_string(), command(content.clone())).await;
                    assert!(decided.is_ok(), "{decided:?}");
                }
            }
        });
        future::join_all(proposers).await;
        token.cancel();
        let snapshots = calls.snapshots.get();
        assert!(snapshots >= 5, "{snapshots} snapshots");
        let applied = calls.applied.borrow();
        assert_eq!(applied.len(), PROPOSALS);
        let (_, loaded) = Journal::open(directory.path()).unwrap();
        let mut kept: Vec<_> = loaded.entries.into_iter().map(|entry| entry.order_id).collect();
        kept.retain(|id| !id.is_empty());
        assert!(applied.ends_with(&kept) && kept.len() >= 30, "{} entries are kept", kept.len());
    });
}
