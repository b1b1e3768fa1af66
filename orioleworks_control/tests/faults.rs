//! Guards against orders that are lost, applied twice or restored after they were dropped, when several faults follow
//! each other.

mod support;

use std::{
    cell::{Cell, RefCell},
    io::{Read, Write},
    net::TcpStream,
    rc::Rc,
    time::Duration,
};

use compio::time::sleep;
use nix::sys::signal::Signal;
use orioleworks_proto::inner::{self, ClaimState, command::Kind, frame::Body};
use rstest::rstest;
use support::{Cluster, TIMEOUT, block_on, put_profile};

fn names(status: &inner::StatusReply) -> Vec<String> {
    let profiles = &status.config.as_ref().unwrap().profiles;
    profiles.iter().map(|versioned| versioned.profile.as_ref().unwrap().name.clone()).collect()
}

/// Guards against uncommitted entries of a lost leader that remain in its log beside the entries of its successor.
#[rstest]
fn unconfirmed_entries_of_a_lost_leader_are_cut() {
    block_on(async {
        let mut cluster = Cluster::start();
        let leader = cluster.leader().await;
        let client = cluster.client();
        client.propose("first", put_profile("first", Some(0)), TIMEOUT).await.unwrap();
        let others: Vec<usize> = (0..3).filter(|i| *i != leader).collect();
        others.iter().for_each(|i| cluster.kill(*i));
        let isolated = orioleworks_daemon::rpc::Client::new(cluster.addresses[leader].as_str());
        for n in 0..3 {
            let (order_id, name) = (format!("lone-{n}"), format!("lone-{n}"));
            let propose = inner::Propose { order_id, command: Some(put_profile(&name, None)) };
            let isolated = isolated.clone();
            compio::runtime::spawn(
                async move { isolated.call(Body::Propose(propose), TIMEOUT).await },
            )
            .detach();
        }
        sleep(Duration::from_millis(150)).await;
        cluster.kill(leader);
        others.iter().for_each(|i| cluster.spawn(*i));
        for n in 0..5 {
            let name = format!("new-{n}");
            let reply = client.propose(&name, put_profile(&name, Some(0)), TIMEOUT).await.unwrap();
            assert_eq!(reply.code, 0);
        }
        cluster.spawn(leader);
        let expected = ["first", "new-0", "new-1", "new-2", "new-3", "new-4"];
        cluster.wait_for(leader, "equal to the others", |s| names(s) == expected).await;
        assert!(cluster.output(leader).contains("event=log_conflict_cut"));
    });
}

/// Guards against a state larger than one message that never reaches a replica that lags behind.
#[rstest]
fn large_state_is_installed_in_parts() {
    block_on(async {
        let mut cluster = Cluster::start();
        let leader = cluster.leader().await;
        let lagging = (leader + 1) % 3;
        cluster.kill(lagging);
        let client = cluster.client();
        let issued_ms = orioleworks_daemon::clock::unix_ms();
        let claim = |n: usize, attempt: String| inner::Claim {
            key: format!("key-{n}"),
            profile: "gate-slot".into(),
            fingerprint: "f".into(),
            issued_ms,
            entry: "entry-a1".into(),
            entry_incarnation: 1,
            attempt_id: attempt,
            ..inner::Claim::default()
        };
        let propose = async |order: String, kind: Kind| {
            let command = inner::Command { expected_revision: None, kind: Some(kind) };
            client.propose(order, command, TIMEOUT).await.unwrap()
        };
        let response = |n: usize| vec![n as u8; 900_000];
        for n in 0..3 {
            let claimed = propose(format!("c-{n}"), Kind::Claim(claim(n, format!("a-{n}")))).await;
            assert_eq!(claimed.code, 0, "{}", claimed.message);
            let finish = inner::FinishClaim {
                key: format!("key-{n}"),
                attempt_id: format!("a-{n}"),
                state: ClaimState::Finished.into(),
                http_status: 200,
                answer: response(n),
                content_type: "text/plain".into(),
            };
            assert_eq!(propose(format!("f-{n}"), Kind::FinishClaim(finish)).await.code, 0);
        }
        for n in 0..900 {
            propose(format!("s-{n}"), Kind::StopUpstream(format!("upstream-{n}"))).await;
        }
        cluster.spawn(lagging);
        let caught_up = |s: &inner::StatusReply| s.config.as_ref().unwrap().revision == 900;
        cluster.wait_for(lagging, "caught up", caught_up).await;
        assert!(cluster.output(lagging).contains("event=snapshot_installed"));
        cluster.kill(leader);
        for n in 0..3 {
            let repeat = propose(format!("r-{n}"), Kind::Claim(claim(n, format!("b-{n}")))).await;
            let held = repeat.claim.unwrap();
            assert!(held.state() == ClaimState::Finished && held.answer == response(n));
        }
    });
}

fn get(address: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

/// Guards against a replica without a quorum that reports itself ready to a load balancer, and against missing metrics.
#[rstest]
fn ready_needs_a_leader_and_metrics_show_the_log() {
    block_on(async {
        let mut cluster = Cluster::start();
        let leader = cluster.leader().await;
        cluster.client().propose("first", put_profile("first", Some(0)), TIMEOUT).await.unwrap();
        sleep(Duration::from_millis(700)).await;
        let http = cluster.http[leader].clone();
        assert!(get(&http, "/live").starts_with("HTTP/1.1 200"));
        assert!(get(&http, "/ready").starts_with("HTTP/1.1 200"));
        let metrics = get(&http, "/metrics");
        for name in [
            "orioleworks_log_term",
            "orioleworks_log_leader 1",
            "orioleworks_log_commit_index",
            "orioleworks_log_fsync_seconds",
            "orioleworks_control_revision 1",
            "orioleworks_control_proposals_total",
        ] {
            assert!(metrics.contains(name), "{name} is missing in {metrics}");
        }
        (0..3).filter(|i| *i != leader).for_each(|i| cluster.kill(i));
        sleep(Duration::from_millis(1500)).await;
        assert!(get(&http, "/live").starts_with("HTTP/1.1 200"));
        assert!(get(&http, "/ready").starts_with("HTTP/1.1 503"));
    });
}

/// Guards against a permanent loss of the quorum when a replica loses its disk again during its repair.
#[rstest]
fn disk_lost_again_during_the_repair_stops_nothing() {
    block_on(async {
        let mut cluster = Cluster::start();
        let leader = cluster.leader().await;
        let wiped = (leader + 1) % 3;
        let client = cluster.client();
        for round in 0..12 {
            cluster.kill(wiped);
            std::fs::remove_dir_all(cluster.directory(wiped)).unwrap();
            let name = format!("down-{round}");
            let reply = client.propose(&name, put_profile(&name, Some(0)), TIMEOUT).await.unwrap();
            assert_eq!(reply.code, 0);
            cluster.spawn(wiped);
            // The name is released after 600 ms, so these times lie before, during and after the repair.
            sleep(Duration::from_millis(550 + 60 * round)).await;
        }
        let index = cluster.status(leader, true).await.unwrap().commit_index;
        let repaired = |s: &inner::StatusReply| {
            let members = &s.membership.as_ref().unwrap().members;
            s.commit_index >= index && members.len() == 3 && members.iter().all(|m| !m.learner)
        };
        cluster.wait_for(wiped, "repaired", repaired).await;
    });
}

/// Guards against a returning replica that deposes a working leader.
#[rstest]
fn returning_replica_does_not_depose_the_leader() {
    block_on(async {
        let cluster = Cluster::start();
        let leader = cluster.leader().await;
        let term = cluster.status(leader, true).await.unwrap().term;
        let paused = (leader + 1) % 3;
        cluster.signal(paused, Signal::SIGSTOP);
        sleep(Duration::from_millis(1500)).await;
        cluster.signal(paused, Signal::SIGCONT);
        sleep(Duration::from_millis(1500)).await;
        let status = cluster.status(leader, true).await.unwrap();
        assert_eq!((status.code, status.term, status.is_leader), (0, term, true));
    });
}

/// Guards against faults that follow each other faster than the replicas recover; the seed fixes their order.
#[rstest]
#[case(11)]
#[case(12)]
fn kills_and_pauses_under_load_lose_no_acknowledged_order(#[case] seed: u64) {
    block_on(async {
        let mut cluster = Cluster::start();
        cluster.leader().await;
        let accepted = Rc::new(RefCell::new(Vec::new()));
        let done = Rc::new(Cell::new(false));
        let tasks: Vec<_> = (0..4)
            .map(|task| {
                let (client, accepted, done) = (cluster.client(), accepted.clone(), done.clone());
                compio::runtime::spawn(async move {
                    let mut n = 0;
                    while !done.get() {
                        let name = format!("p-{task}-{n}");
                        let reply =
                            client.propose(&name, put_profile(&name, Some(0)), TIMEOUT).await;
                        assert_eq!(reply.unwrap().code, 0, "{name}");
                        accepted.borrow_mut().push(name);
                        n += 1;
                        sleep(Duration::from_millis(5)).await;
                    }
                })
            })
            .collect();
        let mut random = seed;
        for _ in 0..8 {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let victim = (random >> 33) as usize % 3;
            let pause = Duration::from_millis(200 + (random >> 40) % 700);
            if (random >> 36).is_multiple_of(2) {
                cluster.kill(victim);
                sleep(pause).await;
                cluster.spawn(victim);
            } else {
                cluster.signal(victim, Signal::SIGSTOP);
                sleep(pause).await;
                cluster.signal(victim, Signal::SIGCONT);
            }
            sleep(pause / 2).await;
        }
        done.set(true);
        for task in tasks {
            task.await.unwrap();
        }
        let accepted = accepted.take();
        assert!(accepted.len() > 100, "only {} orders were accepted", accepted.len());
        let leader = cluster.leader().await;
        let revision = accepted.len() as u64;
        for i in 0..3 {
            // The revision equals the number of acknowledged orders, so that none was applied twice.
            let has_every_order =
                |s: &inner::StatusReply| s.config.as_ref().unwrap().revision == revision;
            let status = cluster.wait_for(i, "holds every order", has_every_order).await;
            let held = names(&status);
            assert!(accepted.iter().all(|name| held.contains(name)), "replica {i} of {leader}");
        }
    });
}
