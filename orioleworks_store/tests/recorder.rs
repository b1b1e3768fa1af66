//! Commits of what items bring, on a log of one replica.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use compio::{net::TcpListener, runtime, time};
use orioleworks_log::{Log, Replica, Restoration, Settings, StateMachine};
use orioleworks_proto::inner::{self, command::Kind};
use orioleworks_store::{recorder::Recorder, records};
use tokio_util::sync::CancellationToken;

/// A state machine that keeps the IDs of the results of each entry.
fn machine(entries: &Rc<RefCell<Vec<Vec<String>>>>) -> StateMachine {
    let entries = entries.clone();
    StateMachine {
        apply: Box::new(move |entry| {
            let command = entry.command.as_ref().and_then(|command| command.kind.as_ref());
            if let Some(Kind::RecordResults(record)) = command {
                let ids = record.results.iter().map(|result| result.id.clone());
                entries.borrow_mut().push(ids.collect());
            }
            inner::ProposeReply::default()
        }),
        snapshot: Box::new(|| Box::new(std::iter::empty())),
        restore: Box::new(|| Restoration::new(|_| Ok(()), |()| Ok(()))),
        sightings: Box::new(|_| (Vec::new(), 0)),
        merge_sightings: Box::new(|_, _| ()),
    }
}

/// Guards against a log entry of its own for each result, which costs all stores more than the item, and against results that are
/// lost, doubled or out of order while they share entries.
#[test]
fn results_that_come_closely_share_entries() {
    const RESULTS: usize = 100;
    const GAP: Duration = Duration::from_millis(2);
    /// Time between commits.
    const INTERVAL: Duration = Duration::from_millis(20);
    runtime::Runtime::new().unwrap().block_on(async {
        let directory = tempfile::tempdir().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let replica = Replica { name: "store-0".into(), address: address.clone() };
        let settings = Settings {
            replicas: vec![replica],
            bootstrap: true,
            ..Settings::new("store-0", &address, directory.path())
        };
        let (entries, token) = (Rc::default(), CancellationToken::new());
        let log = Log::open(settings, machine(&entries), token.clone()).unwrap();
        log.start();
        while log.ready_to_propose().await.is_err() {
            time::sleep(Duration::from_millis(20)).await;
        }
        let recorder = Recorder::new(log);
        recorder.begin_term(1);
        runtime::spawn(recorder.clone().run(token.clone())).detach();
        let started = std::time::Instant::now();
        for n in 0..RESULTS {
            let key = ("batch".into(), format!("item-{n}").into());
            let text = Bytes::from_static(b"text");
            recorder.add(|all| records::add_result(all, &key, Some((text, vec![1]))));
            time::sleep(GAP).await;
        }
        let took = started.elapsed();
        let count = || entries.borrow().iter().map(Vec::len).sum::<usize>();
        while count() < RESULTS {
            assert!(started.elapsed() < Duration::from_secs(10), "{} are committed", count());
            time::sleep(GAP).await;
        }
        let entries = entries.borrow();
        let expected: Vec<String> = (0..RESULTS).map(|n| format!("item-{n}")).collect();
        assert_eq!(entries.concat(), expected);
        let bound = took.as_millis() / INTERVAL.as_millis() + 2;
        assert!(entries.len() as u128 <= bound, "{} entries in {took:?}", entries.len());
        token.cancel();
    });
}
