//! Replacement of voters that were lost for good.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use compio::{net::TcpListener, runtime, time};
use orioleworks_daemon::{http, rpc};
use orioleworks_log::{Log, Settings};
use orioleworks_proto::inner::frame::Body;
use rstest::rstest;
use support::{Calls, command, leader, machine, replica, run, settings, start, start_with};
use tokio_util::sync::CancellationToken;

const VOTERS: usize = 3;
/// Interval of the proposals: shorter than any round trip to the learner.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which the learner holds back entries. It is slower than the voters but never far behind.
const LEARNER_DELAY: Duration = Duration::from_millis(50);

/// Guards against a voter without a disk that stays a voter for as long as there is load, so that the next losses leave no quorum:
/// the leader compared what the learner had synced with what had been committed since, or sent it less in a round trip than was
/// committed during it.
#[rstest]
#[case::small_entries(0)]
#[case::more_than_6_mb_a_second(32 * 1024)]
#[case::more_than_12_mb_a_second(64 * 1024)]
fn a_lost_voter_is_replaced_under_constant_load(#[case] entry_bytes: usize) {
    run(async {
        let directories: Vec<_> = (0..=VOTERS).map(|_| tempfile::tempdir().unwrap()).collect();
        let mut listeners = Vec::new();
        for _ in 0..=VOTERS {
            listeners.push(http::bind("127.0.0.1:0").await.unwrap());
        }
        let names = ["a", "b", "c", "learner"];
        let replicas: Vec<_> = names.iter().zip(&listeners).map(|(n, l)| replica(n, l)).collect();
        let tokens: Vec<_> = names.iter().map(|_| CancellationToken::new()).collect();
        let start_one = |(i, listener): (usize, TcpListener)| {
            let is_learner = i == VOTERS;
            let settings = Settings {
                bootstrap: !is_learner,
                max_voters: VOTERS,
                replace_after: Some(Duration::from_secs(1)),
                // A snapshot of the state machine is empty here and would bring the learner up to date.
                snapshot_entries: u64::MAX,
                ..settings(names[i], directories[i].path(), &replicas)
            };
            let delay = if is_learner { LEARNER_DELAY } else { Duration::ZERO };
            start(settings, listener, delay, &tokens[i])
        };
        let logs: Vec<(Log, Calls)> = listeners.into_iter().enumerate().map(start_one).collect();
        let (log, _) = leader(&logs).await;
        wait_for_voters(log, &names[..VOTERS]).await;
        propose_constantly(log, "x".repeat(entry_bytes));
        let lost = (0..VOTERS).find(|i| !logs[*i].0.is_leader()).unwrap();
        tokens[lost].cancel();
        let remaining: Vec<&str> = (0..=VOTERS).filter(|i| *i != lost).map(|i| names[i]).collect();
        wait_for_voters(log, &remaining).await;
        tokens.iter().for_each(CancellationToken::cancel);
    });
}

/// Guards against a leader under load that sends its snapshot to all learners at once: they share what it can send, and when they
/// have the snapshot, the log has gone on without what follows it.
#[test]
fn a_snapshot_is_sent_to_one_learner_at_a_time() {
    const LEARNERS: usize = 4;
    const INSTALL_TIME: Duration = Duration::from_millis(200);
    run(async {
        let names = ["a", "l1", "l2", "l3", "l4"];
        let directories: Vec<_> = names.iter().map(|_| tempfile::tempdir().unwrap()).collect();
        let token = CancellationToken::new();
        let first = http::bind("127.0.0.1:0").await.unwrap();
        let mut replicas = vec![replica("a", &first)];
        let bounded = |settings: Settings| Settings {
            max_voters: 1 + LEARNERS,
            snapshot_entries: 10,
            tail_entries: 1,
            ..settings
        };
        let alone = bounded(settings("a", directories[0].path(), &replicas));
        let logs = [start(alone, first, Duration::ZERO, &token)];
        let (log, calls) = leader(&logs).await;
        for _ in 0..30 {
            log.propose("", command(String::new())).await.unwrap();
        }
        while calls.snapshots.get() == 0 {
            time::sleep(Duration::from_millis(10)).await;
        }
        let installing = Installing::default();
        for (name, directory) in names.iter().zip(&directories).skip(1) {
            let listener = http::bind("127.0.0.1:0").await.unwrap();
            replicas.push(replica(name, &listener));
            let settings = bounded(settings(name, directory.path(), &replicas));
            let settings = Settings { bootstrap: false, ..settings };
            start_slow(settings, listener, INSTALL_TIME, &token, &installing);
        }
        wait_for_voters(log, &names).await;
        token.cancel();
        assert_eq!(installing.most.get(), 1, "learners that were sent a snapshot at the same time");
    });
}

/// Guards against a learner that needs one snapshot after the other: while it received one, the leader took the next and dropped
/// the entries between them.
#[test]
fn a_learner_catches_up_although_its_snapshot_takes_longer_than_the_time_between_two() {
    const INSTALL_TIME: Duration = Duration::from_millis(500);
    run(async {
        let directories = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
        let token = CancellationToken::new();
        let first = http::bind("127.0.0.1:0").await.unwrap();
        let second = http::bind("127.0.0.1:0").await.unwrap();
        let replicas = [replica("a", &first), replica("b", &second)];
        let bounded = |i: usize| Settings {
            snapshot_entries: 10,
            tail_entries: 1,
            catch_up_bytes: 1024 * 1024,
            bootstrap: i == 0,
            // The first replica founds the cluster without waiting for the second one.
            ..settings(["a", "b"][i], directories[i].path(), &replicas[..=i])
        };
        let logs = [start(bounded(0), first, Duration::ZERO, &token)];
        let (log, calls) = leader(&logs).await;
        propose_constantly(log, String::new());
        while calls.snapshots.get() < 2 {
            time::sleep(Duration::from_millis(10)).await;
        }
        start_slow(bounded(1), second, INSTALL_TIME, &token, &Installing::default());
        wait_for_voters(log, &["a", "b"]).await;
        token.cancel();
    });
}

/// Guards against a new leader under load that sends entries or snapshots to every learner of a large deployment, although they have
/// received theirs from the one before.
#[test]
fn a_new_leader_sends_nothing_to_learners_that_are_not_needed() {
    run(async {
        let names = ["a", "b", "c", "l1", "l2"];
        let directories: Vec<_> = names.iter().map(|_| tempfile::tempdir().unwrap()).collect();
        let token = CancellationToken::new();
        let mut listeners = Vec::new();
        for _ in names {
            listeners.push(http::bind("127.0.0.1:0").await.unwrap());
        }
        let replicas: Vec<_> = names.iter().zip(&listeners).map(|(n, l)| replica(n, l)).collect();
        // Highest index that each replica has acknowledged since the change of the leader.
        let acknowledged: Vec<Rc<Cell<u64>>> = names.iter().map(|_| Rc::default()).collect();
        let start_one = |(i, listener): (usize, TcpListener)| {
            let settings = Settings {
                bootstrap: i < VOTERS,
                max_voters: VOTERS,
                ..settings(names[i], directories[i].path(), &replicas)
            };
            let highest = acknowledged[i].clone();
            let note = move |reply: Body| {
                if let Body::AppendReply(reply) = &reply {
                    highest.set(highest.get().max(reply.match_index));
                }
                reply
            };
            start_with(settings, listener, Duration::ZERO, &token, note)
        };
        let logs: Vec<(Log, Calls)> = listeners.into_iter().enumerate().map(start_one).collect();
        let (old, _) = leader(&logs).await;
        old.propose("", command(String::new())).await.unwrap();
        while acknowledged[VOTERS..].iter().any(|highest| highest.get() == 0) {
            time::sleep(Duration::from_millis(20)).await;
        }
        old.transfer_leadership().await;
        acknowledged.iter().for_each(|highest| highest.set(0));
        let (new, _) = leader(&logs).await;
        new.propose("", command(String::new())).await.unwrap();
        time::sleep(Duration::from_secs(1)).await;
        token.cancel();
        let highest: Vec<u64> = acknowledged.iter().map(|highest| highest.get()).collect();
        assert_eq!(highest[VOTERS..], [0, 0], "{highest:?}");
    });
}

/// Replicas that are receiving a part of a snapshot; clones share it.
#[derive(Clone, Default)]
struct Installing {
    now: Rc<Cell<usize>>,
    most: Rc<Cell<usize>>,
}

impl Installing {
    fn begin(&self) {
        self.now.set(self.now.get() + 1);
        self.most.set(self.most.get().max(self.now.get()));
    }

    fn end(&self) {
        self.now.set(self.now.get() - 1);
    }
}

/// Starts a replica that takes a time for each part of a snapshot.
fn start_slow(
    settings: Settings,
    listener: TcpListener,
    install_time: Duration,
    token: &CancellationToken,
    installing: &Installing,
) {
    let log = Log::open(settings, machine(&Calls::default()), token.clone()).unwrap();
    let (handling, installing) = (log.clone(), installing.clone());
    let handle = move |body: Body| {
        let (log, installing) = (handling.clone(), installing.clone());
        async move {
            let is_install = matches!(body, Body::Install(_));
            if is_install {
                installing.begin();
                time::sleep(install_time).await;
            }
            let reply = log.handle(body).await;
            if is_install {
                installing.end();
            }
            reply
        }
    };
    runtime::spawn(rpc::serve(listener, token.clone(), handle)).detach();
    log.start();
}

/// Proposes entries until the test ends.
fn propose_constantly(log: &Log, content: String) {
    let log = log.clone();
    let propose = async move {
        loop {
            let (log, content) = (log.clone(), content.clone());
            runtime::spawn(async move { log.propose("", command(content)).await }).detach();
            time::sleep(PROPOSAL_INTERVAL).await;
        }
    };
    runtime::spawn(propose).detach();
}

/// Waits until exactly these replicas vote.
async fn wait_for_voters(log: &Log, expected: &[&str]) {
    loop {
        let members = log.membership().members;
        let mut voters: Vec<&str> =
            members.iter().filter(|m| !m.learner).map(|m| &*m.name).collect();
        voters.sort_unstable();
        if voters == expected && log.membership_committed() {
            return;
        }
        time::sleep(Duration::from_millis(20)).await;
    }
}
