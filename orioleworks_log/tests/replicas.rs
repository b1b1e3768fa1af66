//! Replicas of a log in one process: proposals to a slow quorum, and snapshots of large entries.

use std::{
    cell::{Cell, RefCell},
    path::Path,
    rc::Rc,
    time::Duration,
};

use compio::{net::TcpListener, runtime, time};
use orioleworks_daemon::{http, rpc};
use orioleworks_log::{Log, ProposeError, Replica, Restoration, Settings, StateMachine};
use orioleworks_proto::inner::{self, command::Kind, frame::Body};
use tokio_util::sync::CancellationToken;

/// Time for which a follower holds back entries while it answers heartbeats: longer than a proposer waits.
const DELAY: Duration = Duration::from_millis(2000);

/// What the state machine of a replica was called for; clones share it.
#[derive(Clone, Default)]
struct Calls {
    /// Order IDs of the applied entries.
    applied: Rc<RefCell<Vec<String>>>,
    /// Number of snapshots.
    snapshots: Rc<Cell<usize>>,
}

fn machine(calls: &Calls) -> StateMachine {
    let Calls { applied, snapshots } = calls.clone();
    StateMachine {
        apply: Box::new(move |entry| {
            applied.borrow_mut().push(entry.order_id.clone());
            inner::ProposeReply::default()
        }),
        snapshot: Box::new(move || {
            snapshots.set(snapshots.get() + 1);
            Box::new(std::iter::empty())
        }),
        restore: Box::new(|| Restoration::new(|_| Ok(()), |()| Ok(()))),
        sightings: Box::new(|_| (Vec::new(), 0)),
        merge_sightings: Box::new(|_, _| ()),
    }
}

/// Starts a replica that holds back entries for a time.
fn start(
    settings: Settings,
    listener: TcpListener,
    delay: Duration,
    token: &CancellationToken,
) -> (Log, Calls) {
    let calls = Calls::default();
    let log = Log::open(settings, machine(&calls), token.clone()).unwrap();
    let handling = log.clone();
    let handler = move |body: Body| {
        let log = handling.clone();
        async move {
            if matches!(&body, Body::Append(append) if !append.entries.is_empty()) {
                time::sleep(delay).await;
            }
            match body {
                Body::Status(_) => Some(Body::StatusReply(log.status())),
                body => log.handle(body).await,
            }
        }
    };
    runtime::spawn(rpc::serve(listener, token.clone(), handler)).detach();
    log.start();
    (log, calls)
}

fn settings(name: &str, directory: &Path, replicas: &[Replica]) -> Settings {
    let address = &replicas.iter().find(|replica| replica.name == name).unwrap().address;
    Settings {
        replicas: replicas.to_vec(),
        bootstrap: true,
        ..Settings::new(name, address, directory)
    }
}

fn replica(name: &str, listener: &TcpListener) -> Replica {
    Replica { name: name.into(), address: listener.local_addr().unwrap().to_string() }
}

/// The replica that leads and accepts proposals.
async fn leader(replicas: &[(Log, Calls)]) -> &(Log, Calls) {
    loop {
        for replica in replicas {
            if replica.0.is_leader() && replica.0.ready_to_propose().await.is_ok() {
                return replica;
            }
        }
        time::sleep(Duration::from_millis(20)).await;
    }
}

/// A command that the log hands to the state machine.
fn command(content: String) -> inner::Command {
    inner::Command { expected_revision: None, kind: Some(Kind::RetireStore(content)) }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = runtime::Runtime::new().unwrap();
    let ended = runtime.block_on(async { time::timeout(Duration::from_secs(30), test).await });
    ended.expect("the test exceeds 30 s");
}

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
