//! Elections among many replicas whose disks are slow.

mod support;

use std::time::Duration;
#[cfg(feature = "failpoints")]
use std::{path::Path, thread, time::Instant};

use compio::{runtime, time};
#[cfg(feature = "failpoints")]
use fail::FailScenario;
use orioleworks_daemon::{http, rpc};
use orioleworks_log::{Log, Settings};
use orioleworks_proto::inner::{self, frame::Body};
#[cfg(feature = "failpoints")]
use rstest::rstest;
use support::{Calls, leader, machine, replica, run, settings, start};
use tokio_util::sync::CancellationToken;

/// Term of the candidates that ask a replica for its support.
const TERM: u64 = 5;

async fn asks(log: &Log, candidate_id: u64, pre_vote: bool) -> bool {
    let vote = inner::Vote { term: TERM, candidate_id, pre_vote, ..inner::Vote::default() };
    is_granted(log, vote).await
}

async fn is_granted(log: &Log, vote: inner::Vote) -> bool {
    match log.handle(Body::Vote(vote)).await {
        Some(Body::VoteReply(reply)) => reply.granted,
        other => panic!("no reply to a vote: {other:?}"),
    }
}

/// Guards against several candidates in one term while the first one syncs its vote, against support that a candidate keeps after it
/// has ended, and against one with a short log that keeps out the only one that can win.
#[test]
fn a_replica_supports_one_candidate_at_a_time_and_no_longer_than_it_asks() {
    const FIRST: u64 = 1;
    const SECOND: u64 = 2;
    run(async {
        let directory = tempfile::tempdir().unwrap();
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let replicas = [replica("a", &listener)];
        let token = CancellationToken::new();
        let settings = Settings { bootstrap: false, ..settings("a", directory.path(), &replicas) };
        let (heartbeat, reserved) = (settings.heartbeat, settings.election_min);
        let (log, _) = start(settings, listener, Duration::ZERO, &token);
        let asks_until_after = async |time: Duration| {
            for _ in 0..time.as_millis() / heartbeat.as_millis() {
                assert!(asks(&log, FIRST, true).await, "the first candidate asks again");
                assert!(!asks(&log, SECOND, true).await, "another candidate");
                time::sleep(heartbeat).await;
            }
        };
        asks_until_after(reserved * 2).await;
        assert!(asks(&log, FIRST, false).await, "the vote itself");
        asks_until_after(reserved * 2).await;
        time::sleep(reserved + heartbeat).await;
        let later = inner::Vote {
            term: TERM + 1,
            candidate_id: SECOND,
            pre_vote: true,
            ..inner::Vote::default()
        };
        assert!(is_granted(&log, later).await, "the support has ended");
        let longer = inner::Vote { candidate_id: FIRST, last_term: 1, last_index: 1, ..later };
        assert!(
            !is_granted(&log, inner::Vote { candidate_id: FIRST, ..later }).await,
            "as long a log"
        );
        assert!(is_granted(&log, longer).await, "a longer log");
        token.cancel();
    });
}

/// Guards against elections without an end: a candidate gave up as soon as one voter had refused and four times its own sync had passed,
/// although the votes that would win were still being synced.
#[test]
fn an_election_goes_on_after_a_refusal_while_enough_votes_are_being_synced() {
    const VOTE_TIME: Duration = Duration::from_secs(3);
    const REFUSING: usize = 4;
    run(async {
        let directories: Vec<_> = (0..5).map(|_| tempfile::tempdir().unwrap()).collect();
        let mut listeners = Vec::new();
        for _ in &directories {
            listeners.push(http::bind("127.0.0.1:0").await.unwrap());
        }
        let names = ["a", "b", "c", "d", "e"];
        let replicas: Vec<_> = names.iter().zip(&listeners).map(|(n, l)| replica(n, l)).collect();
        let (token, mut logs) = (CancellationToken::new(), Vec::new());
        for (i, listener) in listeners.into_iter().enumerate() {
            let mut settings = settings(names[i], directories[i].path(), &replicas);
            if i == REFUSING {
                // It must not campaign itself: nobody would refuse it.
                (settings.election_min, settings.election_max) = (RECOVERY * 2, RECOVERY * 3);
            }
            let log = Log::open(settings, machine(&Calls::default()), token.clone()).unwrap();
            let handling = log.clone();
            let handler = move |body: Body| {
                let log = handling.clone();
                async move {
                    match body {
                        Body::Status(_) => Some(Body::StatusReply(log.status())),
                        Body::Vote(vote) if !vote.pre_vote && i == REFUSING => {
                            Some(Body::VoteReply(inner::VoteReply::default()))
                        }
                        Body::Vote(vote) if !vote.pre_vote => {
                            time::sleep(VOTE_TIME).await;
                            log.handle(Body::Vote(vote)).await
                        }
                        body => log.handle(body).await,
                    }
                }
            };
            runtime::spawn(rpc::serve(listener, token.clone(), handler)).detach();
            log.start();
            logs.push((log, Calls::default()));
        }
        let elected = time::timeout(RECOVERY, leader(&logs)).await;
        token.cancel();
        assert!(elected.is_ok(), "no leader within {RECOVERY:?}");
    });
}

/// Replicas that are all voters.
#[cfg(feature = "failpoints")]
const VOTERS: usize = 9;
/// The shortest `recovery_s` of the platform.
const RECOVERY: Duration = Duration::from_secs(12);

/// Guards against elections without an end after a restart of all replicas: voters stood for election while others synced their votes,
/// and waited 4 s for the others, however long these take to sync.
#[cfg(feature = "failpoints")]
#[rstest]
#[case::seven_and_one_second(7, 1000)]
#[case::seven_and_four_seconds(7, 4000)]
#[case::five_and_two_seconds(5, 2000)]
fn a_leader_is_elected_after_a_restart_of_all_although_votes_take_long_to_sync(
    #[case] restarted: usize,
    #[case] mean_ms: u64,
) {
    let scenario = FailScenario::setup();
    run(async {
        let directories: Vec<_> = (0..VOTERS).map(|_| tempfile::tempdir().unwrap()).collect();
        let mut listeners = Vec::new();
        for _ in 0..VOTERS {
            listeners.push(http::bind("127.0.0.1:0").await.unwrap());
        }
        let names: Vec<String> = (0..VOTERS).map(|i| format!("r{i}")).collect();
        let replicas: Vec<_> = names.iter().zip(&listeners).map(|(n, l)| replica(n, l)).collect();
        let settings = |i: usize, directory: &Path| Settings {
            // No replica is replaced.
            replace_after: None,
            ..settings(&names[i], directory, &replicas)
        };
        let token = CancellationToken::new();
        let logs: Vec<(Log, Calls)> = listeners
            .into_iter()
            .enumerate()
            .map(|(i, l)| start(settings(i, directories[i].path()), l, Duration::ZERO, &token))
            .collect();
        let (log, _) = leader(&logs).await;
        while log.status().commit_index < log.status().last_index {
            time::sleep(Duration::from_millis(20)).await;
        }
        token.cancel();
        time::sleep(Duration::from_millis(500)).await;

        fail::cfg_callback("log.before_vote_sync", move || {
            thread::sleep(Duration::from_millis(rand::random_range(
                mean_ms / 2..=mean_ms + mean_ms / 2,
            )));
        })
        .unwrap();
        let (token, mut logs) = (CancellationToken::new(), Vec::new());
        for i in 0..restarted {
            // The tasks of the stopped replica may still have its directory locked.
            let directory = tempfile::tempdir().unwrap().keep();
            for file in std::fs::read_dir(directories[i].path()).unwrap() {
                let file = file.unwrap();
                std::fs::copy(file.path(), directory.join(file.file_name())).unwrap();
            }
            let listener = http::bind(&replicas[i].address).await.unwrap();
            logs.push(start(settings(i, &directory), listener, Duration::ZERO, &token));
        }
        let started = Instant::now();
        let elected = time::timeout(RECOVERY, leader(&logs)).await;
        println!(
            "{restarted}, mean {mean_ms} ms: leader {} after {:?}",
            elected.is_ok(),
            started.elapsed()
        );
        token.cancel();
        assert!(elected.is_ok(), "no leader within {RECOVERY:?}");
    });
    scenario.teardown();
}
