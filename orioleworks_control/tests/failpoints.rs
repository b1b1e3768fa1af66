//! Guards against orders that are lost by a crash between two steps of the log; needs the feature `failpoints`.

#![cfg(feature = "failpoints")]

mod support;

use std::{
    cell::Cell,
    fs,
    time::{Duration, Instant},
};

use rstest::rstest;
use support::{Cluster, TIMEOUT, block_on, put_profile};

const PANICKED: i32 = -1;
/// Longest time until a replica without a disk is a member again and reaches its failpoint.
const REACH_TIME: Duration = Duration::from_secs(20);

/// Guards against orders that are acknowledged before they are durable on a quorum: a follower crashes at each step.
#[rstest]
#[case::before_vote_sync("log.before_vote_sync=panic")]
#[case::after_vote_sync("log.after_vote_sync=panic")]
#[case::before_append_sync("log.before_append_sync=5*off->panic")]
#[case::after_append_sync("log.after_append_sync=5*off->panic")]
#[case::before_append_reply("log.before_append_reply=100*off->panic")]
#[case::before_commit("log.before_commit=5*off->panic")]
#[case::before_snapshot_rename("log.before_snapshot_rename=panic")]
#[case::after_snapshot_rename("log.after_snapshot_rename=panic")]
#[case::before_install_reply("log.before_install_reply=panic")]
fn crash_of_a_follower_loses_no_acknowledged_order(#[case] failpoints: &str) {
    block_on(async {
        let mut cluster = Cluster::start();
        let leader = cluster.leader().await;
        let victim = (leader + 1) % 3;
        cluster.kill(victim);
        fs::remove_dir_all(cluster.directory(victim)).unwrap();
        let client = cluster.client();
        let accepted = Cell::new(0);
        let propose = async |n: usize| {
            accepted.set(accepted.get() + 1);
            let reply =
                client.propose(format!("o-{n}"), put_profile(&format!("p-{n}"), Some(0)), TIMEOUT);
            assert_eq!(reply.await.unwrap().code, 0);
        };
        for n in 0..600 {
            propose(n).await;
        }
        cluster.spawn_with(victim, failpoints);
        // On an idle machine hundreds of orders take less time than the victim's way back into the cluster.
        let deadline = Instant::now() + REACH_TIME;
        let mut crashed = None;
        for n in 600.. {
            propose(n).await;
            crashed = cluster.try_exit_code(victim);
            if crashed.is_some() || Instant::now() > deadline {
                break;
            }
        }
        assert_eq!(crashed, Some(PANICKED), "{failpoints} was not reached");
        cluster.spawn(victim);
        for n in 1_000_000..1_000_010 {
            propose(n).await;
        }
        let revision = cluster.status(leader, true).await.unwrap().config.unwrap().revision;
        assert_eq!(revision, accepted.get(), "each acknowledged order is one change");
        let caught_up = |s: &orioleworks_proto::inner::StatusReply| {
            s.config.as_ref().unwrap().revision == revision
        };
        cluster.wait_for(victim, "caught up", caught_up).await;
    });
}

/// Guards against a membership change that stays incomplete after the leader crashes.
#[rstest]
fn crash_of_a_leader_before_a_promotion_is_repaired_by_the_next() {
    block_on(async {
        let mut cluster = Cluster::start();
        let leader = cluster.leader().await;
        let wiped = (leader + 1) % 3;
        (0..3).for_each(|i| cluster.kill(i));
        fs::remove_dir_all(cluster.directory(wiped)).unwrap();
        for i in 0..3 {
            cluster.spawn_with(i, if i == wiped { "" } else { "log.before_promote=panic" });
        }
        let crashed = loop {
            if let Some(i) = (0..3).find(|i| cluster.try_exit_code(*i).is_some()) {
                break i;
            }
            compio::time::sleep(Duration::from_millis(20)).await;
        };
        (0..3).filter(|i| *i != crashed && *i != wiped).for_each(|i| {
            cluster.kill(i);
            cluster.spawn(i);
        });
        cluster.spawn(crashed);
        let promoted = |s: &orioleworks_proto::inner::StatusReply| {
            let members = &s.membership.as_ref().unwrap().members;
            members.len() == 3 && members.iter().all(|m| !m.learner)
        };
        cluster.wait_for(wiped, "promoted", promoted).await;
    });
}
