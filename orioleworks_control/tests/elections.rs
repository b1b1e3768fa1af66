//! Guards against elections that never end; needs the feature `failpoints`.

#![cfg(feature = "failpoints")]

mod support;

use std::time::{Duration, Instant};

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
