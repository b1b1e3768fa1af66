//! Guards against elections that never end; needs the feature `failpoints`.

#![cfg(feature = "failpoints")]

mod support;

use std::time::{Duration, Instant};

use compio::time::sleep;
use nix::sys::signal::Signal;
use orioleworks_daemon::rpc;
use orioleworks_proto::inner::{self, frame::Body};
use rstest::rstest;
use support::{Cluster, TIMEOUT, block_on, put_profile};

/// Guards against candidates that end each other's elections because a vote takes longer to sync than an election timeout.
#[rstest]
#[case(300)]
#[case(600)]
#[case(1500)]
fn a_leader_is_elected_although_votes_take_long_to_sync(#[case] sync_ms: u64) {
    const LONGEST: Duration = Duration::from_secs(8);
    block_on(async {
        let mut cluster = Cluster::start();
        let client = cluster.client();
        client.propose("before", put_profile("before", Some(0)), TIMEOUT).await.unwrap();
        for i in 0..3 {
            cluster.kill(i);
            cluster.spawn_with(i, &format!("log.before_vote_sync=sleep({sync_ms})"));
        }
        let started = Instant::now();
        let reply = client.propose("after", put_profile("after", Some(0)), LONGEST).await;
        let outputs = (0..3).map(|i| cluster.output(i));
        let elections: usize = outputs.map(|log| log.matches("election_started").count()).sum();
        let took = started.elapsed();
        assert_eq!(reply.map(|reply| reply.code), Ok(0), "{elections} elections in {took:?}");
    });
}

/// Guards against the loss of an accepted order: a voter acknowledged an entry of the old term while it recorded its vote for a
/// candidate that lacks the entry.
#[test]
fn a_voter_does_not_both_acknowledge_an_entry_and_vote_for_a_candidate_without_it() {
    const SYNC_MS: u64 = 1500;
    block_on(async {
        let mut cluster = Cluster::start();
        cluster.client().propose("first", put_profile("first", Some(0)), TIMEOUT).await.unwrap();
        let leader = cluster.leader().await;
        let (voter, candidate) = ((leader + 1) % 3, (leader + 2) % 3);
        cluster.kill(voter);
        cluster.spawn_with(voter, &format!("log.before_vote_sync=sleep({SYNC_MS})"));
        let last = cluster.status(leader, true).await.unwrap().last_index;
        cluster.wait_for(voter, "caught up", |s| s.last_index == last).await;
        let [from, voting, to] = [leader, voter, candidate].map(|i| cluster.status(i, false));
        let (from, voting, to) = (from.await.unwrap(), voting.await.unwrap(), to.await.unwrap());
        for i in [leader, candidate] {
            cluster.signal(i, Signal::SIGSTOP);
        }
        // The voter must have missed its leader for the shortest election timeout.
        sleep(Duration::from_millis(450)).await;
        let client = rpc::Client::new(cluster.addresses[voter].as_str());
        let vote = inner::Vote {
            term: from.term + 1,
            candidate_id: to.member_id,
            last_index: last,
            last_term: from.term,
            target_id: voting.member_id,
            ..inner::Vote::default()
        };
        let voting_client = client.clone();
        let voted = compio::runtime::spawn(async move {
            voting_client.call(Body::Vote(vote), Duration::from_secs(5)).await
        });
        sleep(Duration::from_millis(SYNC_MS / 3)).await;
        let entry = inner::LogEntry {
            index: last + 1,
            term: from.term,
            command: Some(put_profile("late", Some(0))),
            ..inner::LogEntry::default()
        };
        let append = inner::Append {
            term: from.term,
            leader_id: from.member_id,
            prev_index: last,
            prev_term: from.term,
            entries: vec![entry],
            target_id: voting.member_id,
            ..inner::Append::default()
        };
        let appended = client.call(Body::Append(append), Duration::from_secs(5)).await;
        let acknowledged = matches!(appended, Ok(Body::AppendReply(reply)) if reply.success);
        let granted = matches!(voted.await, Ok(Ok(Body::VoteReply(reply))) if reply.granted);
        assert!(acknowledged || granted, "neither shows anything");
        assert!(!(acknowledged && granted), "acknowledged and granted");
        for i in [leader, candidate] {
            cluster.signal(i, Signal::SIGCONT);
        }
    });
}
