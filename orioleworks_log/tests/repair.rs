//! Replacement of voters that were lost for good.

mod support;

use std::{cell::Cell, rc::Rc, time::Duration};

use compio::{net::TcpListener, runtime, time};
use orioleworks_daemon::{http, rpc};
use orioleworks_log::{Log, Settings};
use orioleworks_proto::inner::frame::Body;
use rstest::rstest;
use support::{Calls, command, leader, machine, replica, run, settings, start};
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
        let proposing = log.clone();
        runtime::spawn(async move {
            loop {
                let (log, content) = (proposing.clone(), "x".repeat(entry_bytes));
                runtime::spawn(async move { log.propose("", command(content)).await }).detach();
                time::sleep(PROPOSAL_INTERVAL).await;
            }
        })
        .detach();
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
        let (installing, most) = (Rc::new(Cell::new(0_usize)), Rc::new(Cell::new(0_usize)));
        for (name, directory) in names.iter().zip(&directories).skip(1) {
            let listener = http::bind("127.0.0.1:0").await.unwrap();
            replicas.push(replica(name, &listener));
            let settings = bounded(settings(name, directory.path(), &replicas));
            let settings = Settings { bootstrap: false, ..settings };
            let learner = Log::open(settings, machine(&Calls::default()), token.clone()).unwrap();
            let (handling, installing, most) = (learner.clone(), installing.clone(), most.clone());
            let handle = move |body: Body| {
                let (log, installing, most) = (handling.clone(), installing.clone(), most.clone());
                async move {
                    let is_install = matches!(body, Body::Install(_));
                    if is_install {
                        installing.set(installing.get() + 1);
                        most.set(most.get().max(installing.get()));
                        time::sleep(INSTALL_TIME).await;
                    }
                    let reply = log.handle(body).await;
                    installing.set(installing.get() - usize::from(is_install));
                    reply
                }
            };
            runtime::spawn(rpc::serve(listener, token.clone(), handle)).detach();
            learner.start();
        }
        wait_for_voters(log, &names).await;
        token.cancel();
        assert_eq!(most.get(), 1, "learners that were sent a snapshot at the same time");
    });
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
