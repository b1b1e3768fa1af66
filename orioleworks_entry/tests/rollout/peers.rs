//! Digests and forwards between entries.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use orioleworks_daemon::{http, rpc};
use orioleworks_entry::{
    dispatch::Job,
    forward::{self, Server},
    peers::{Peer, Peers},
};
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, frame::Body},
};
use rstest::rstest;
use tokio_util::sync::CancellationToken;

use crate::fakes::{block_on, completed, configuration, profile, refused};

fn job(name: &str) -> Job {
    Job {
        request_id: "attempt".into(),
        profile: Rc::new(inner::Profile { name: name.into(), ..profile() }),
        body: "body".into(),
        content_type: "text/plain".into(),
        deadline: Instant::now() + Duration::from_millis(500),
        prefix: None,
        lowest_version: 3,
        avoid: Vec::new(),
        idempotency_key: None,
        owed: false,
        local_only: false,
        cancel: CancellationToken::new(),
    }
}

fn digest(incarnation: u64, upstreams: u32, highest_version: u64) -> inner::Digest {
    let entry = inner::EntryIdentity { name: "b".into(), incarnation, ..Default::default() };
    let kind = "scorer-llm".into();
    let load = inner::KindLoad { kind, upstreams, highest_version, ..Default::default() };
    let suspect = inner::Suspect { fingerprint: "f".into(), ..Default::default() };
    inner::Digest {
        entry: Some(entry),
        revision: 1,
        kinds: vec![load],
        suspects: vec![suspect],
        ..Default::default()
    }
}

/// A peer `b` that runs in this process. Counts the jobs that it has run.
struct ServedPeer {
    address: String,
    executions: Rc<Cell<u32>>,
}

async fn serve_peer(pause: Duration, result: Option<ResultCode>) -> ServedPeer {
    let listener = http::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let executions = Rc::new(Cell::new(0));
    let count = executions.clone();
    let run = move |job: Job| {
        assert!(job.local_only);
        count.set(count.get() + 1);
        Box::pin(async move {
            compio::time::sleep(pause).await;
            result.map_or(Ok(completed("done", 4, 7)), |code| Err(refused(code)))
        }) as futures_util::future::LocalBoxFuture<'static, _>
    };
    let peers = Peers::new("sicilia-b", [], |_| ());
    let server = Server { peers, configuration: configuration(profile(), 1), run: Rc::new(run) };
    server.configuration.set_ready();
    let serve = rpc::serve(listener, CancellationToken::new(), move |body| {
        let server = server.clone();
        async move { server.handle(body).await }
    });
    compio::runtime::spawn(serve).detach();
    ServedPeer { address, executions }
}

fn peers(domain: &str, address: &str, suspects: &Rc<RefCell<usize>>) -> Peers {
    let peer = Peer { name: "b".into(), failure_domain: domain.into(), address: address.into() };
    let suspects = suspects.clone();
    Peers::new("sicilia-a", [peer], move |new| *suspects.borrow_mut() += new.len())
}

/// Guards against an outcome that is reported wrongly, and against a job that runs at a peer more than once.
#[rstest]
#[case::completed(0, None, "scorer", None, 1)]
#[case::refused_as_not_run(
    0,
    Some(ResultCode::NoUpstream),
    "scorer",
    Some(ResultCode::NoUpstream),
    1
)]
#[case::profile_unknown_at_the_peer(0, None, "other", Some(ResultCode::UnknownProfile), 0)]
#[case::too_slow(2000, None, "scorer", Some(ResultCode::DeadlineExceeded), 1)]
fn forward_reports_the_outcome(
    #[case] pause_ms: u64,
    #[case] result: Option<ResultCode>,
    #[case] profile: &str,
    #[case] expected: Option<ResultCode>,
    #[case] expected_executions: u32,
) {
    block_on(async {
        let served = serve_peer(Duration::from_millis(pause_ms), result).await;
        let peers = peers("sicilia-b", &served.address, &Rc::default());
        peers.receive(digest(1, 1, 4));
        match forward::forward(&peers, job(profile)).await {
            Ok(done) => {
                assert_eq!((expected, done.status, &done.body[..]), (None, 200, &b"done"[..]));
                assert_eq!(done.spans, [inner::Span { version: 4, tokens: 7 }]);
            }
            Err(refused) => assert_eq!(Some(refused.code), expected),
        }
        assert_eq!(served.executions.get(), expected_executions);
    });
}

/// Guards against a forward that is reported as not run, or sent again, although the peer may have run it.
#[rstest]
fn connection_that_breaks_after_sending_leaves_the_outcome_unknown() {
    block_on(async {
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let peers = peers("sicilia-b", &listener.local_addr().unwrap().to_string(), &Rc::default());
        peers.receive(digest(1, 1, 4));
        let connections = Rc::new(Cell::new(0));
        let count = connections.clone();
        compio::runtime::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                count.set(count.get() + 1);
                // The connection is closed without a response, after the request was sent.
                compio::time::sleep(Duration::from_millis(100)).await;
                drop(stream);
            }
        })
        .detach();
        let refused = forward::forward(&peers, job("scorer")).await.unwrap_err();
        assert_eq!((refused.code, connections.get()), (ResultCode::OutcomeUnknown, 1));
    });
}

/// Guards against forwards to peers that cannot run the job, and against accepting late digests of an earlier
/// incarnation.
#[rstest]
#[case::own_domain("sicilia-a", digest(2, 1, 4))]
#[case::no_upstream("sicilia-b", digest(2, 0, 4))]
#[case::weights_too_old("sicilia-b", digest(2, 1, 2))]
fn unsuitable_peers_get_no_forward(#[case] domain: &str, #[case] newest: inner::Digest) {
    block_on(async {
        let served = serve_peer(Duration::ZERO, None).await;
        let suspects = Rc::default();
        let peers = peers(domain, &served.address, &suspects);
        let code = forward::forward(&peers, job("scorer")).await.unwrap_err().code;
        assert_eq!(code, ResultCode::NoUpstream, "no digest has arrived");
        peers.receive(newest);
        peers.receive(digest(1, 1, 4));
        let code = forward::forward(&peers, job("scorer")).await.unwrap_err().code;
        assert_eq!((code, served.executions.get()), (ResultCode::NoUpstream, 0));
        let own = usize::from(domain == "sicilia-a");
        assert_eq!((peers.live_in_domain(), *suspects.borrow()), (1 + own, own));
    });
}

/// Guards against digests that are not received, peers that stay live without them, and a restarted peer that gets no
/// configuration.
#[rstest]
fn digests_make_a_peer_live_until_three_seconds_after_the_last() {
    block_on(async {
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let receiving = peers("sicilia-b", "127.0.0.1:1", &Rc::default());
        let run = Rc::new(|_: Job| -> futures_util::future::LocalBoxFuture<'static, _> {
            Box::pin(async { Err(refused(ResultCode::NoUpstream)) })
        });
        let configuration = configuration(profile(), 1);
        configuration.set_ready();
        let server = Server { peers: receiving.clone(), configuration, run };
        let handler = move |body| {
            let server = server.clone();
            async move { server.handle(body).await }
        };
        compio::runtime::spawn(rpc::serve(listener, CancellationToken::new(), handler)).detach();
        let sending = peers("sicilia-a", &address, &Rc::default());
        let token = CancellationToken::new();
        sending.start(Rc::new(|| digest(1, 1, 4)), &token);
        compio::time::sleep(Duration::from_millis(1500)).await;
        assert_eq!(receiving.candidates("scorer-llm", 4).len(), 1);
        token.cancel();
        compio::time::sleep(Duration::from_millis(3200)).await;
        assert!(receiving.candidates("scorer-llm", 4).is_empty());
        let client = rpc::Client::new(address.as_str());
        let fetch = Body::FetchConfig(inner::FetchConfig {});
        let reply = client.call(fetch, Duration::from_secs(1)).await.unwrap();
        let Body::FetchConfigReply(reply) = reply else { panic!("unexpected {reply:?}") };
        assert_eq!(reply.config.unwrap().revision, 1);
    });
}

/// Guards against forwards to a peer behind a partition that block a step until their deadline.
#[rstest]
fn forwards_to_an_unresponsive_peer_fail_before_their_deadline() {
    block_on(async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address: Rc<str> = listener.local_addr().unwrap().to_string().into();
        let peer = Peer { name: "b".into(), failure_domain: "other".into(), address };
        let peers = Peers::new("own", [peer], |_| ());
        peers.receive(digest(1, 1, 3));
        let token = CancellationToken::new();
        peers.start(Rc::new(inner::Digest::default), &token);
        let started = Instant::now();
        let job = Job { deadline: started + Duration::from_secs(20), ..job("scorer") };
        let refused = forward::forward(&peers, job).await.unwrap_err();
        token.cancel();
        assert_eq!(refused.code, ResultCode::OutcomeUnknown);
        assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
        drop(listener);
    });
}

/// Guards against an entry that receives digests from too few entries of another domain to forward there, and against a
/// full mesh.
#[rstest]
fn every_entry_receives_digests_from_two_of_each_other_domain_and_all_of_its_own() {
    let sizes = [("sicilia-a", 1_usize), ("sicilia-b", 2), ("sicilia-c", 7), ("sicilia-d", 40)];
    let all: Vec<(String, &str, usize)> = sizes
        .iter()
        .flat_map(|(domain, size)| {
            (0..*size).map(move |at| (format!("{domain}-{at:02}"), *domain, *size))
        })
        .collect();
    let mut sender_counts = std::collections::HashMap::new();
    for (own, domain, _) in &all {
        let others = all.iter().filter(|(name, ..)| name != own).map(|(name, domain, _)| Peer {
            name: name.as_str().into(),
            failure_domain: (*domain).into(),
            address: "127.0.0.1:1".into(),
        });
        let peers = Peers::new(*domain, others, |_| ());
        for receiver in peers.receivers(own) {
            *sender_counts.entry((receiver.name.to_string(), *domain)).or_insert(0) += 1;
        }
    }
    for (name, own, _) in &all {
        for (domain, size) in sizes {
            let expected = if domain == *own { size - 1 } else { size.min(2) };
            let count = sender_counts.get(&(name.clone(), domain)).copied().unwrap_or(0);
            assert_eq!(count, expected, "digests that {name} receives from {domain}");
        }
    }
}

/// Guards against a restarted peer that stays without a complete digest, and against a change that is not sent because
/// the peer holds the previous digest.
#[rstest]
#[case::keeps("sicilia-b", false)]
#[case::restarts("sicilia-b", true)]
#[case::own_domain("sicilia-a", false)]
fn unchanged_digests_are_short_and_refer_to_what_the_peer_holds(
    #[case] domain: &str,
    #[case] restarts: bool,
) {
    block_on(async {
        let listener = http::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let own = domain == "sicilia-a";
        let receiver = |domain: &str| peers(domain, "127.0.0.1:1", &Rc::default());
        let receiving = Rc::new(RefCell::new(receiver("sicilia-b")));
        let received = Rc::new(RefCell::new(Vec::new()));
        let (shared, recorded) = (receiving.clone(), received.clone());
        let handler = move |body| {
            let Body::Digest(digest) = body else { panic!("unexpected {body:?}") };
            recorded.borrow_mut().push((
                digest.unchanged,
                digest.kinds.first().map_or(0, |kind| kind.highest_version),
                digest.suspects.len(),
            ));
            let holds = shared.borrow().receive(digest);
            async move { Some(Body::DigestReply(inner::DigestReply { revision: 1, holds })) }
        };
        compio::runtime::spawn(rpc::serve(listener, CancellationToken::new(), handler)).detach();
        let sending = peers(domain, &address, &Rc::default());
        let version = Rc::new(Cell::new(4));
        let (token, current) = (CancellationToken::new(), version.clone());
        sending.start(Rc::new(move || digest(1, 1, current.get())), &token);
        compio::time::sleep(Duration::from_millis(1500)).await;
        if restarts {
            *receiving.borrow_mut() = receiver("sicilia-b");
        }
        version.set(if restarts { 4 } else { 5 });
        sending.push();
        compio::time::sleep(Duration::from_millis(300)).await;
        token.cancel();
        // Peers of the own domain do not need load updates; other domains adopt suspects with two crashes.
        let complete = |version| (false, version, 1);
        let short = (true, 0, 0);
        let expected = match (own, restarts) {
            (true, _) => vec![complete(4), short, short],
            (false, true) => vec![complete(4), short, short, complete(4)],
            (false, false) => vec![complete(4), short, complete(5)],
        };
        assert_eq!(*received.borrow(), expected);
        let newest = if own || restarts { 4 } else { 5 };
        assert_eq!(receiving.borrow().candidates("scorer-llm", newest).len(), 1);
    });
}
