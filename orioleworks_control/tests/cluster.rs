//! Guards against orders that are lost or applied twice when control replicas fail.

mod support;

use std::{cell::RefCell, fs, rc::Rc, time::Duration};

use compio::time::sleep;
use nix::sys::signal::Signal;
use orioleworks_proto::{
    codes::{ResultCode, exit},
    inner::{self, command::Kind, frame::Body},
};
use rstest::rstest;
use support::{Cluster, SHORT_TIMEOUT, TIMEOUT, block_on, put_profile};

/// Proposes orders one after the other and returns the names of those that were acknowledged.
async fn propose_many(cluster: &Cluster, prefix: &str, count: usize) -> Vec<String> {
    let client = cluster.client();
    let mut accepted = Vec::new();
    for n in 0..count {
        let name = format!("{prefix}-{n}");
        let reply = client.propose(&name, put_profile(&name, Some(0)), TIMEOUT).await.unwrap();
        assert_eq!(reply.code, 0, "{}", reply.message);
        accepted.push(name);
    }
    accepted
}

async fn profile_names(cluster: &Cluster) -> Vec<String> {
    let leader = cluster.leader().await;
    let status = cluster.status(leader, true).await.unwrap();
    let profiles = status.config.unwrap().profiles.into_iter();
    profiles.map(|versioned| versioned.profile.unwrap().name).collect()
}

async fn assert_holds(cluster: &Cluster, accepted: &[String]) {
    let held = profile_names(cluster).await;
    let lost: Vec<_> = accepted.iter().filter(|name| !held.contains(name)).collect();
    assert!(lost.is_empty(), "acknowledged orders lost: {lost:?}");
}

/// Guards against a bootstrap without an election, and against acknowledged orders that are lost with a killed leader.
#[rstest]
fn killed_leader_loses_no_acknowledged_order() {
    block_on(async {
        let mut cluster = Cluster::start();
        let leader = cluster.leader().await;
        let accepted = Rc::new(RefCell::new(Vec::new()));
        let tasks: Vec<_> = (0..8)
            .map(|task| {
                let (client, accepted) = (cluster.client(), accepted.clone());
                compio::runtime::spawn(async move {
                    for n in 0..40 {
                        let name = format!("p-{task}-{n}");
                        let reply =
                            client.propose(&name, put_profile(&name, Some(0)), TIMEOUT).await;
                        assert_eq!(reply.unwrap().code, 0);
                        accepted.borrow_mut().push(name);
                    }
                })
            })
            .collect();
        while accepted.borrow().len() < 60 {
            sleep(Duration::from_millis(1)).await;
        }
        cluster.kill(leader);
        for task in tasks {
            task.await.unwrap();
        }
        let accepted = accepted.take();
        assert_eq!(accepted.len(), 320);
        assert_holds(&cluster, &accepted).await;
    });
}

/// Guards against a wiped replica that votes under its old identity, which loses acknowledged orders.
#[rstest]
fn wiped_replica_gets_a_new_identity_and_counts_again() {
    block_on(async {
        let mut cluster = Cluster::start();
        let leader = cluster.leader().await;
        let mut accepted = propose_many(&cluster, "before", 20).await;
        let wiped = (leader + 1) % 3;
        let old_id = cluster.status(wiped, false).await.unwrap().member_id;
        cluster.kill(wiped);
        fs::remove_dir_all(cluster.directory(wiped)).unwrap();
        cluster.spawn(wiped);
        let status = cluster
            .wait_for(leader, "the old identity is removed", |status| {
                let members = &status.membership.as_ref().unwrap().members;
                members.len() == 3 && members.iter().all(|m| !m.learner && m.member_id != old_id)
            })
            .await;
        let index = status.commit_index;
        cluster.wait_for(wiped, "the new identity has the log", |s| s.commit_index >= index).await;
        // In the other order, every quorum would need the repaired replica until the old identity is removed.
        let output = cluster.output(leader);
        let removed = output.find("step=lost_identity_removed");
        assert!(removed.is_some() && removed < output.find("step=learner_promoted"), "{output}");
        accepted.extend(propose_many(&cluster, "after", 20).await);
        let other = 3 - leader - wiped;
        cluster.kill(other);
        accepted.extend(propose_many(&cluster, "two", 20).await);
        cluster.spawn(other);
        cluster.kill(leader);
        accepted.extend(propose_many(&cluster, "three", 5).await);
        assert_holds(&cluster, &accepted).await;
    });
}

/// Guards against a replica that never catches up because the log no longer holds the entries that it needs.
#[rstest]
fn replica_that_missed_1500_changes_catches_up_by_snapshot() {
    block_on(async {
        let mut cluster = Cluster::start();
        let leader = cluster.leader().await;
        let lagging = (leader + 1) % 3;
        cluster.kill(lagging);
        let client = cluster.client();
        let tasks: Vec<_> = (0..15)
            .map(|task| {
                let client = client.clone();
                compio::runtime::spawn(async move {
                    for n in 0..100 {
                        let id = format!("o-{task}-{n}");
                        let name = format!("p-{task}");
                        let reply = client.propose(&id, put_profile(&name, None), TIMEOUT).await;
                        assert_eq!(reply.unwrap().code, 0);
                    }
                })
            })
            .collect();
        for task in tasks {
            task.await.unwrap();
        }
        cluster.spawn(lagging);
        let caught_up = |s: &inner::StatusReply| s.config.as_ref().unwrap().revision == 1500;
        cluster.wait_for(lagging, "caught up", caught_up).await;
        assert!(cluster.output(lagging).contains("event=snapshot_installed"));
        // It also restarts from the installed snapshot.
        cluster.kill(lagging);
        cluster.spawn(lagging);
        cluster.wait_for(lagging, "caught up after a restart", caught_up).await;
    });
}

/// Guards against two operators who both believe that their order won.
#[rstest]
fn of_two_orders_with_equal_revisions_exactly_one_wins() {
    block_on(async {
        let cluster = Cluster::start();
        cluster.leader().await;
        let (one, two) = (cluster.client(), cluster.client());
        for round in 0..20 {
            let name = format!("p-{round}");
            let (id_one, id_two) = (format!("one-{round}"), format!("two-{round}"));
            let (a, b) = futures_util::join!(
                one.propose(id_one, put_profile(&name, Some(0)), TIMEOUT),
                two.propose(id_two, put_profile(&name, Some(0)), TIMEOUT),
            );
            let (a, b) = (a.unwrap(), b.unwrap());
            let conflict = ResultCode::Conflict.number();
            let mut codes = [a.code, b.code];
            codes.sort_unstable();
            assert_eq!(codes, [0, conflict], "{a:?} {b:?}");
            assert_eq!(a.revision, b.revision, "the loser learns the winner's revision");
        }
    });
}

/// Guards against an order that is applied twice when the operator resends it after a lost reply.
#[rstest]
fn resent_order_gets_the_first_result_after_failover_and_restart() {
    block_on(async {
        let mut cluster = Cluster::start();
        let leader = cluster.leader().await;
        let client = cluster.client();
        let first = client.propose("order-1", put_profile("p", Some(0)), TIMEOUT).await.unwrap();
        propose_many(&cluster, "more", 5).await;
        cluster.kill(leader);
        let again = client.propose("order-1", put_profile("p", Some(0)), TIMEOUT).await.unwrap();
        assert_eq!(again, first);
        cluster.spawn(leader);
        cluster.leader().await;
        (0..3).for_each(|i| cluster.kill(i));
        (0..3).for_each(|i| cluster.spawn(i));
        let again =
            cluster.client().propose("order-1", put_profile("p", Some(0)), TIMEOUT).await.unwrap();
        assert_eq!(again, first);
    });
}

/// Guards against a paused leader that acknowledges orders or serves reads under its old term when it resumes.
#[rstest]
fn paused_leader_acknowledges_nothing_under_its_old_term() {
    block_on(async {
        let cluster = Cluster::start();
        let leader = cluster.leader().await;
        let client = cluster.client();
        client.propose("first", put_profile("p", Some(0)), TIMEOUT).await.unwrap();
        let old_term = cluster.status(leader, true).await.unwrap().term;
        cluster.signal(leader, Signal::SIGSTOP);
        // These requests wait in the socket of the paused leader.
        let old = orioleworks_daemon::rpc::Client::new(cluster.addresses[leader].as_str());
        let propose = inner::Propose {
            order_id: "stale".into(),
            command: Some(put_profile("stale", Some(0))),
        };
        let stale = old.clone();
        let stale =
            compio::runtime::spawn(
                async move { stale.call(Body::Propose(propose), TIMEOUT).await },
            );
        let read = old.clone();
        let read = compio::runtime::spawn(async move {
            read.call(Body::Status(inner::Status { current: true }), TIMEOUT).await
        });
        let accepted = propose_many(&cluster, "new", 10).await;
        cluster.signal(leader, Signal::SIGCONT);
        let Ok(Body::ProposeReply(reply)) = stale.await.unwrap() else { panic!("no reply") };
        assert_ne!(reply.code, 0, "acknowledged under an old term");
        let Ok(Body::StatusReply(reply)) = read.await.unwrap() else { panic!("no reply") };
        assert!(
            reply.code != 0 || reply.term > old_term,
            "a stale state was returned as the current one"
        );
        assert_holds(&cluster, &accepted).await;
        cluster.wait_for(leader, "follows the new term", |s| s.term > old_term).await;
    });
}

/// Guards against the use of a damaged log, and against a refusal without the repair command.
#[rstest]
fn damaged_log_is_refused_with_the_repair_command() {
    block_on(async {
        let mut cluster = Cluster::start();
        let leader = cluster.leader().await;
        let accepted = propose_many(&cluster, "p", 20).await;
        let damaged = (leader + 1) % 3;
        cluster.kill(damaged);
        let directory = cluster.directory(damaged);
        let mut bytes = fs::read(directory.join("log")).unwrap();
        let middle = bytes.len() / 2;
        bytes[middle] ^= 0x40;
        fs::write(directory.join("log"), bytes).unwrap();
        cluster.spawn(damaged);
        assert_eq!(cluster.exit_code(damaged).await, exit::DATA);
        let output = cluster.output(damaged);
        let repair = format!("mv {0} {0}.damaged", directory.display());
        assert!(output.contains(&repair) && output.contains("damaged at offset"), "{output}");
        fs::rename(&directory, directory.with_extension("damaged")).unwrap();
        cluster.spawn(damaged);
        cluster
            .wait_for(damaged, "joined", |s| s.membership.as_ref().unwrap().members.len() == 3)
            .await;
        assert_holds(&cluster, &accepted).await;
    });
}

/// Guards against a graceful shutdown of the leader that leaves the cluster without a leader for an election timeout.
#[rstest]
fn leader_transfers_leadership_on_sigterm() {
    block_on(async {
        let mut cluster = Cluster::start();
        let leader = cluster.leader().await;
        let accepted = propose_many(&cluster, "p", 5).await;
        cluster.signal(leader, Signal::SIGTERM);
        assert_eq!(cluster.exit_code(leader).await, exit::OK);
        let output = cluster.output(leader);
        assert!(output.contains("event=leadership_handed_over"), "{output}");
        assert!(output.contains("done=true"), "{output}");
        assert_holds(&cluster, &accepted).await;
    });
}

/// Guards against changes that reach entries late, and against entries that are known to one replica only.
#[rstest]
fn watch_wakes_on_commit_and_replicas_share_sightings() {
    block_on(async {
        let cluster = Cluster::start();
        let leader = cluster.leader().await;
        let replica = (leader + 1) % 3;
        let follower = orioleworks_daemon::rpc::Client::new(cluster.addresses[replica].as_str());
        let entry = inner::EntryIdentity {
            name: "entry-a1".into(),
            incarnation: 7,
            ..inner::EntryIdentity::default()
        };
        let watch_for = |applied_revision, wait_ms| {
            let entry = Some(entry.clone());
            Body::Watch(inner::Watch { entry, applied_revision, wait_ms, ..Default::default() })
        };
        let watch = |applied_revision| watch_for(applied_revision, 1000);
        // A follower refuses watches until it has learned the commit index from the leader.
        let started = std::time::Instant::now();
        while !matches!(follower.call(watch_for(0, 0), TIMEOUT).await, Ok(Body::WatchReply(r)) if r.code == 0)
        {
            assert!(started.elapsed() < TIMEOUT, "the follower is not current");
            sleep(Duration::from_millis(20)).await;
        }
        let pending_watch = follower.call(watch(0), TIMEOUT);
        let proposing = async {
            sleep(Duration::from_millis(200)).await;
            cluster.client().propose("order", put_profile("p", None), TIMEOUT).await.unwrap();
            std::time::Instant::now()
        };
        let receiving = async {
            let reply = pending_watch.await;
            (reply, std::time::Instant::now())
        };
        let ((reply, received_at), accepted_at) = futures_util::join!(receiving, proposing);
        let Ok(Body::WatchReply(reply)) = reply else { panic!("{reply:?}") };
        assert_eq!((reply.code, reply.revision, reply.changes.len()), (0, 1, 1));
        assert!(received_at.saturating_duration_since(accepted_at) < SHORT_TIMEOUT);
        follower.call(watch(1), TIMEOUT).await.unwrap();
        let knows = |status: &inner::StatusReply| {
            status.entries.iter().any(|e| {
                e.entry.as_ref().is_some_and(|e| e.name == "entry-a1") && e.applied_revision == 1
            })
        };
        for i in 0..3 {
            cluster.wait_for(i, "the sighting is shared", knows).await;
        }
    });
}

fn claim(attempt: &str) -> inner::Command {
    let issued_ms = orioleworks_daemon::clock::unix_ms();
    let claim = inner::Claim {
        key: "key".into(),
        profile: "gate-slot".into(),
        fingerprint: "f".into(),
        issued_ms,
        entry: "entry-a1".into(),
        entry_incarnation: 7,
        attempt_id: attempt.into(),
        gone_attempt_id: "one".into(),
    };
    inner::Command { expected_revision: None, kind: Some(Kind::Claim(claim)) }
}

/// Guards against a repeat that gets "unknown" while its entry is live, or "in progress" after the entry terminated.
#[rstest]
fn claim_of_a_terminated_entry_is_unknown_to_a_repeat() {
    block_on(async {
        let cluster = Cluster::start();
        let leader = cluster.leader().await;
        let client = cluster.client();
        let follower = &client.replicas()[(leader + 1) % 3];
        let entry = |incarnation| inner::EntryIdentity {
            name: "entry-a1".into(),
            incarnation,
            ..inner::EntryIdentity::default()
        };
        let watch = |incarnation| {
            let entry = Some(entry(incarnation));
            follower.call(
                Body::Watch(inner::Watch { entry, wait_ms: 500, ..Default::default() }),
                TIMEOUT,
            )
        };
        let propose = async |attempt: &str| {
            client.propose(attempt, claim(attempt), TIMEOUT).await.unwrap().code
        };
        watch(7).await.unwrap();
        assert_eq!(propose("one").await, 0);
        for n in 0..8 {
            watch(7).await.unwrap();
            // The leader ignores the `gone_attempt_id` that the proposer sets.
            assert_eq!(propose(&format!("live-{n}")).await, ResultCode::InProgress.number());
        }
        watch(8).await.unwrap();
        sleep(SHORT_TIMEOUT).await;
        assert_eq!(propose("restarted").await, ResultCode::OutcomeUnknown.number());
    });
}

/// Guards against a list of entries that is sent in every reply, that stays stale after a change, or that an entry of
/// an older version does not get.
#[rstest]
fn list_of_entries_is_sent_only_if_its_hash_differs() {
    block_on(async {
        let cluster = Cluster::start();
        cluster.leader().await;
        let client = orioleworks_daemon::rpc::Client::new(cluster.addresses[0].as_str());
        let watch = async |name: &str, domain: &str, incarnation, entries_hash| {
            let (name, domain) = (name.to_owned(), domain.to_owned());
            let entry =
                Some(inner::EntryIdentity { name, domain, incarnation, ..Default::default() });
            let watch = inner::Watch { entry, entries_hash, ..Default::default() };
            let reply = client.call(Body::Watch(watch), TIMEOUT).await;
            let Ok(Body::WatchReply(reply)) = reply else { panic!("{reply:?}") };
            let names: Vec<String> = reply.entries.into_iter().map(|e| e.name).collect();
            (names, reply.entries_hash)
        };
        let all = ["entry-a1", "entry-a2", "entry-b1"];
        watch("entry-a1", "a", 7, Some(0)).await;
        watch("entry-b1", "b", 7, Some(0)).await;
        let (names, hash) = watch("entry-a2", "a", 7, Some(0)).await;
        assert_eq!(names, all[..2]);
        assert_eq!(watch("entry-a2", "a", 7, hash).await, (Vec::new(), hash), "the list is held");
        let (names, restarted) = watch("entry-a1", "a", 8, hash).await;
        assert_eq!(names, all[..2]);
        assert_ne!(restarted, hash, "a restarted entry is another one");
        let (names, none) = watch("entry-b1", "b", 7, None).await;
        assert_eq!((names, none), (all.map(String::from).to_vec(), None), "no hash is named");
        sleep(Duration::from_millis(3100)).await;
        let (names, _) = watch("entry-a2", "a", 7, restarted).await;
        assert_eq!(names, ["entry-a2"], "the silent entry is not live");
    });
}

/// Guards against orders that followers apply only with the next heartbeat.
#[rstest]
fn committed_order_reaches_followers_before_the_next_heartbeat() {
    block_on(async {
        let extra_settings =
            r#","heartbeat_ms":800,"election_timeout_min_ms":3200,"election_timeout_max_ms":4800"#;
        let cluster = Cluster::start_with(extra_settings);
        let leader = cluster.leader().await;
        let client = cluster.client();
        for n in 0..6 {
            let name = format!("p-{n}");
            let reply = client.propose(&name, put_profile(&name, Some(0)), TIMEOUT).await.unwrap();
            sleep(Duration::from_millis(150)).await;
            for follower in (0..3).filter(|i| *i != leader) {
                let status = cluster.status(follower, false).await.unwrap();
                assert_eq!(status.config.unwrap().revision, reply.revision, "order {n}");
            }
        }
    });
}

/// Guards against a follower that returns its own, possibly stale, configuration to a request for the current one.
#[rstest]
fn follower_sends_no_configuration_as_the_current_one() {
    block_on(async {
        let cluster = Cluster::start();
        let leader = cluster.leader().await;
        let reply = cluster.client().propose("one", put_profile("p", None), TIMEOUT).await.unwrap();
        assert_eq!(reply.code, 0);
        let follower = (leader + 1) % 3;
        let current = cluster.status(follower, true).await.unwrap();
        assert_eq!((current.code, current.config), (ResultCode::NotLeader.number(), None));
        assert!(!current.leader_address.is_empty());
        let holds = |status: &inner::StatusReply| {
            status.config.as_ref().is_some_and(|config| config.revision == 1)
        };
        cluster.wait_for(follower, "its own state", holds).await;
    });
}

/// Guards against requests for a held lease that fill the log, and against refusals after the lease has expired.
#[rstest]
fn held_lease_is_refused_without_a_log_entry_until_it_ends() {
    block_on(async {
        let cluster = Cluster::start();
        let leader = cluster.leader().await;
        let client = cluster.client();
        let acquire = async |entry: &str, number: u32| {
            let (domain, entry) = ("sicilia-a".to_owned(), entry.to_owned());
            let order = format!("{entry}-{number}");
            let lease = inner::AcquireOrderLease { domain, entry, entry_incarnation: 7 };
            let kind = Some(Kind::AcquireOrderLease(lease));
            let command = inner::Command { expected_revision: None, kind };
            client.propose(order, command, TIMEOUT).await.unwrap()
        };
        assert_eq!(acquire("entry-a1", 0).await.epoch, 1);
        let before = cluster.status(leader, true).await.unwrap().last_index;
        for number in 0..20 {
            let reply = acquire("entry-a2", number).await;
            assert_eq!((reply.code, &*reply.holder), (ResultCode::LeaseHeld.number(), "entry-a1"));
        }
        assert_eq!(cluster.status(leader, true).await.unwrap().last_index, before);
        assert_eq!(acquire("entry-a1", 1).await.epoch, 1, "the holder renews");
        sleep(Duration::from_millis(3100)).await;
        assert_eq!(acquire("entry-a2", 20).await.epoch, 2, "the lease has ended");
    });
}
