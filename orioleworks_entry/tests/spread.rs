//! Samples that run in other failure domains.

mod common;

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use common::{TestEnv, UpstreamMode, block_on, scorer};
use orioleworks_daemon::{http, rpc};
use orioleworks_entry::{
    dispatch::Job,
    peers::{Peer, Peers},
    runs_spread::{self, Spread},
};
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, frame::Body},
};
use rstest::rstest;
use tokio_util::sync::CancellationToken;

const STREAM: &str =
    "data: {\"choices\":[{\"text\":\"a\"}],\"weight_version\":3,\"tokens\":1}\n\ndata: [DONE]\n\n";

fn sample(prefix: Option<u64>) -> Job {
    Job {
        request_id: "r".into(),
        profile: Rc::new(scorer()),
        body: r#"{"prompt": "p", "max_tokens": 4}"#.into(),
        content_type: "application/json".into(),
        deadline: Instant::now() + Duration::from_millis(1000),
        prefix,
        lowest_version: 0,
        avoid: Vec::new(),
        idempotency_key: None,
        owed: false,
        local_only: false,
        cancel: CancellationToken::new(),
    }
}

/// Samples that the peer can run at the same time.
const PEER_CAPACITY: u64 = 8;

/// Starts a peer in another failure domain that replies to every forward with a code. Returns the known peers and the
/// number of forwards.
async fn start_peer(code: ResultCode) -> (Peers, Rc<Cell<u32>>) {
    let listener = http::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let forwards = Rc::new(Cell::new(0));
    let count = forwards.clone();
    let handler = move |_| {
        count.set(count.get() + 1);
        let upstream = "peer-engine".into();
        let reply = inner::ForwardReply { code: code.number(), upstream, ..Default::default() };
        async move { Some(Body::ForwardReply(reply)) }
    };
    compio::runtime::spawn(rpc::serve(listener, CancellationToken::new(), handler)).detach();
    let failure_domain = "sicilia-b".into();
    let known = Peer { name: "b".into(), failure_domain, address: address.into() };
    let peers = Peers::new("sicilia-a", [known], |_| ());
    let entry = inner::EntryIdentity { name: "b".into(), ..Default::default() };
    let kind = "scorer-llm".into();
    let load = inner::KindLoad {
        kind,
        upstreams: 1,
        capacity: PEER_CAPACITY as u32,
        ..Default::default()
    };
    peers.receive(inner::Digest { entry: Some(entry), kinds: vec![load], ..Default::default() });
    (peers, forwards)
}

/// Guards against a permanent loss of peer capacity when a sample is cancelled while it waits or just after it was
/// assigned.
#[rstest]
fn cancelled_samples_release_peer_capacity() {
    block_on(async {
        let env = TestEnv::start(vec![]).await;
        let (peers, forwards) = start_peer(ResultCode::Ok).await;
        let run = runs_spread::job_runner(Spread::new(env.entry.dispatcher.clone(), peers));
        let start = |n: u64| {
            let body = format!(r#"{{"prompt": "{n}", "max_tokens": 4}}"#);
            run(Job { body: body.into(), ..sample(Some(n)) })
        };
        for round in 0..PEER_CAPACITY {
            let mut running: Vec<_> = (0..PEER_CAPACITY).map(|n| start(round * 100 + n)).collect();
            let mut next = start(round * 100 + PEER_CAPACITY);
            for sample in running.iter_mut().chain([&mut next]) {
                assert!(futures_util::poll!(sample).is_pending());
            }
            // The capacity of the first sample goes to the waiting one, which is cancelled before it is polled again.
            drop(running.remove(0));
            drop(next);
        }
        assert!(
            run(sample(Some(7))).await.is_ok(),
            "the peer has no capacity after the cancellations"
        );
        assert!(forwards.get() >= 1);
    });
}

/// Guards against samples that leave a domain with free capacity, stay in one without, or are lost when a peer refuses
/// them, and against judge calls that are sent to other domains.
#[rstest]
#[case::local_capacity(true, ResultCode::Ok, Some(7), Ok("e-1"), 0)]
#[case::no_local_engine(false, ResultCode::Ok, Some(7), Ok("peer-engine"), 1)]
#[case::peer_refuses(false, ResultCode::Overloaded, Some(7), Err(ResultCode::NoUpstream), 1)]
#[case::outcome_unknown(
    false,
    ResultCode::OutcomeUnknown,
    Some(7),
    Err(ResultCode::OutcomeUnknown),
    1
)]
#[case::quarantined(false, ResultCode::Quarantined, Some(7), Err(ResultCode::Quarantined), 1)]
#[case::no_sample(false, ResultCode::Ok, None, Err(ResultCode::NoUpstream), 0)]
fn sample_runs_where_capacity_is_free(
    #[case] local: bool,
    #[case] code: ResultCode,
    #[case] prefix: Option<u64>,
    #[case] expected: Result<&str, ResultCode>,
    #[case] forwarded: u32,
) {
    block_on(async {
        let env = TestEnv::start(vec![]).await;
        if local {
            env.upstream("e-1", "scorer-llm", UpstreamMode::Stream(STREAM)).await;
        }
        let (peers, forwards) = start_peer(code).await;
        let run = runs_spread::job_runner(Spread::new(env.entry.dispatcher.clone(), peers));
        let result = run(sample(prefix)).await;
        let result = result.map(|done| done.upstream).map_err(|refused| refused.code);
        assert_eq!(result.as_deref().map_err(|code| *code), expected);
        assert_eq!(forwards.get(), forwarded);
    });
}
