//! A leader whose followers take longer than a proposer waits.

use std::{cell::RefCell, path::Path, rc::Rc, time::Duration};

use compio::{net::TcpListener, runtime, time};
use orioleworks_daemon::{http, rpc};
use orioleworks_log::{Log, ProposeError, Replica, Settings, StateMachine};
use orioleworks_proto::inner::{self, command::Kind, frame::Body};
use tokio_util::sync::CancellationToken;

/// Time for which a follower holds back entries while it answers heartbeats: longer than a proposer waits.
const DELAY: Duration = Duration::from_millis(2000);

fn machine(applied: &Rc<RefCell<Vec<String>>>) -> StateMachine {
    let applied = applied.clone();
    StateMachine {
        apply: Box::new(move |entry| {
            applied.borrow_mut().push(entry.order_id.clone());
            inner::ProposeReply::default()
        }),
        snapshot: Box::new(|| Box::new(std::iter::empty())),
        restore: Box::new(|_| Ok(())),
        sightings: Box::new(|_| (Vec::new(), 0)),
        merge_sightings: Box::new(|_, _| ()),
    }
}

/// Starts a replica that holds back entries for a time.
fn start(
    name: &str,
    directory: &Path,
    replicas: &[Replica],
    listener: TcpListener,
    delay: Duration,
    token: &CancellationToken,
) -> (Log, Rc<RefCell<Vec<String>>>) {
    let address = listener.local_addr().unwrap().to_string();
    let mut settings = Settings::new(name, &address, directory);
    settings.replicas = replicas.to_vec();
    settings.bootstrap = true;
    let applied = Rc::default();
    let log = Log::open(settings, machine(&applied), token.clone()).unwrap();
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
    (log, applied)
}

/// Guards against a proposer that proposes the same again and again, because the first copy takes long to commit.
#[test]
fn a_proposal_that_waits_for_a_slow_quorum_is_decided_once() {
    let command =
        || inner::Command { expected_revision: None, kind: Some(Kind::RetireStore(String::new())) };
    let test = async {
        let directories = [tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap()];
        let (a, b) = (http::bind("127.0.0.1:0").await, http::bind("127.0.0.1:0").await);
        let (a, b) = (a.unwrap(), b.unwrap());
        let replica = |name: &str, listener: &TcpListener| Replica {
            name: name.into(),
            address: listener.local_addr().unwrap().to_string(),
        };
        let replicas = [replica("a", &a), replica("b", &b)];
        let token = CancellationToken::new();
        let start = |name, i: usize, listener| {
            start(name, directories[i].path(), &replicas, listener, DELAY, &token)
        };
        let logs = [start("a", 0, a), start("b", 1, b)];
        let leader = loop {
            if let Some(found) = logs.iter().find(|(log, _)| log.is_leader()) {
                break found;
            }
            time::sleep(Duration::from_millis(20)).await;
        };
        let (log, applied) = leader;
        while log.ready_to_propose().await.is_err() {
            time::sleep(Duration::from_millis(20)).await;
        }
        let impatient = log.propose("impatient", command()).await;
        assert_eq!(impatient, Err(ProposeError::Unconfirmed));
        let patient = log.propose_until_decided("patient", command()).await;
        assert!(patient.is_ok(), "{patient:?}");
        let count = applied.borrow().iter().filter(|id| *id == "patient").count();
        assert_eq!(count, 1);
        token.cancel();
    };
    let runtime = runtime::Runtime::new().unwrap();
    let ended = runtime.block_on(async { time::timeout(Duration::from_secs(30), test).await });
    ended.expect("the test exceeds 30 s");
}
