//! Replicas of a log in one process.

#![allow(dead_code)]

use std::{
    cell::{Cell, RefCell},
    path::Path,
    rc::Rc,
    time::Duration,
};

use compio::{net::TcpListener, runtime, time};
use orioleworks_daemon::rpc;
use orioleworks_log::{Log, Replica, Restoration, Settings, StateMachine};
use orioleworks_proto::inner::{self, command::Kind, frame::Body};
use tokio_util::sync::CancellationToken;

/// What the state machine of a replica was called for; clones share it.
#[derive(Clone, Default)]
pub struct Calls {
    /// Order IDs of the applied entries.
    pub applied: Rc<RefCell<Vec<String>>>,
    /// Number of snapshots.
    pub snapshots: Rc<Cell<usize>>,
}

/// A state machine that records its calls.
pub fn machine(calls: &Calls) -> StateMachine {
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
pub fn start(
    settings: Settings,
    listener: TcpListener,
    delay: Duration,
    token: &CancellationToken,
) -> (Log, Calls) {
    start_with(settings, listener, delay, token, |reply| reply)
}

/// Like [`start`]; `change` is applied to each reply.
pub fn start_with(
    settings: Settings,
    listener: TcpListener,
    delay: Duration,
    token: &CancellationToken,
    change: impl Fn(Body) -> Body + Clone + 'static,
) -> (Log, Calls) {
    let calls = Calls::default();
    let log = Log::open(settings, machine(&calls), token.clone()).unwrap();
    let handling = log.clone();
    let handler = move |body: Body| {
        let (log, change) = (handling.clone(), change.clone());
        async move {
            if matches!(&body, Body::Append(append) if !append.entries.is_empty()) {
                time::sleep(delay).await;
            }
            let reply = match body {
                Body::Status(_) => Some(Body::StatusReply(log.status())),
                body => log.handle(body).await,
            };
            reply.map(change)
        }
    };
    runtime::spawn(rpc::serve(listener, token.clone(), handler)).detach();
    log.start();
    (log, calls)
}

/// Settings of one of the replicas.
pub fn settings(name: &str, directory: &Path, replicas: &[Replica]) -> Settings {
    let address = &replicas.iter().find(|replica| replica.name == name).unwrap().address;
    Settings {
        replicas: replicas.to_vec(),
        bootstrap: true,
        ..Settings::new(name, address, directory)
    }
}

/// Replica behind a listener.
pub fn replica(name: &str, listener: &TcpListener) -> Replica {
    Replica { name: name.into(), address: listener.local_addr().unwrap().to_string() }
}

/// The replica that leads and accepts proposals.
pub async fn leader(replicas: &[(Log, Calls)]) -> &(Log, Calls) {
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
pub fn command(content: String) -> inner::Command {
    inner::Command { expected_revision: None, kind: Some(Kind::RetireStore(content)) }
}

/// Runs a test for at most 30 s.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = runtime::Runtime::new().unwrap();
    let ended = runtime.block_on(async { time::timeout(Duration::from_secs(30), test).await });
    ended.expect("the test exceeds 30 s");
}
