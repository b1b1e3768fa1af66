//! Replacement of voters that were lost for good.

mod support;

use std::time::Duration;

use compio::{net::TcpListener, runtime, time};
use orioleworks_daemon::http;
use orioleworks_log::{Log, Settings};
use support::{Calls, command, leader, replica, run, settings, start};
use tokio_util::sync::CancellationToken;

const VOTERS: usize = 3;
/// Interval of the proposals: shorter than any round trip to the learner.
const PROPOSAL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which the learner holds back entries. It is slower than the voters but never far behind.
const LEARNER_DELAY: Duration = Duration::from_millis(50);

/// Guards against a voter without a disk that stays a voter for as long as there is load: the leader compared what the learner
/// had synced with what had been committed since, and the next losses left no quorum.
#[test]
fn a_lost_voter_is_replaced_under_constant_load() {
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
                let log = proposing.clone();
                runtime::spawn(async move { log.propose("", command(String::new())).await })
                    .detach();
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
