//! Tests of services whose upstreams run two versions of their software, whose streams do not fit together.

mod support;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    io::{Read, Write},
    net::TcpStream,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rstest::rstest;
use support::{
    deployment::Deployment,
    routes::{self, MODEL},
    upstream::{EVENTS, RESTART_TIME, Upstream, event_data},
};

/// Event after which a stand-in breaks off a stream.
const BREAK_AFTER: u64 = 4;
/// Longest time to refuse a stream that cannot go on: "at once", with some room for a busy machine.
const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// Starts engines of two software versions in turn.
fn start_engines(d: &Deployment, n: usize) -> Vec<Upstream> {
    let start = |i| {
        let (id, software) = (format!("e-{i}"), format!("v{}", i % 2 + 1));
        Upstream::start_engine(&id, MODEL, d.control_addresses(), &software)
    };
    (0..n).map(start).collect()
}

/// Part of a stream that reached a caller.
#[derive(Debug, Default)]
struct Part {
    status: u16,
    head: String,
    events: Vec<(u64, String)>,
}

/// Requests a stream, from the beginning or after what an earlier attempt brought, and reads it to its end.
fn read_stream(address: &str, id: &str, resume: Option<(&str, u64)>) -> Part {
    let Ok(mut stream) = TcpStream::connect(address) else { return Part::default() };
    let resumed = resume.map_or(String::new(), |(first, after)| {
        format!("Resumes: {first}\r\nLast-Event-Id: {after}\r\n")
    });
    let head = format!(
        "POST /say/{id} HTTP/1.1\r\nHost: test.example\r\nConnection: close\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: \
         4000\r\nX-Model: {MODEL}\r\n{resumed}Content-Length: 0\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return Part::default();
    }
    read_part(stream)
}

/// Reads the response to a request for a stream.
fn read_part(mut stream: TcpStream) -> Part {
    const TIMEOUT: Duration = Duration::from_secs(5);
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    // A broken stream ends with an error; what came before it counts.
    while let Ok(n @ 1..) = stream.read(&mut buf) {
        bytes.extend_from_slice(&buf[..n]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut lines = body.lines();
    let mut events = Vec::new();
    while let Some(line) = lines.next() {
        if let Some(id) = line.strip_prefix("id: ")
            && let Some(data) = lines.next().and_then(|line| line.strip_prefix("data: "))
        {
            events.push((id.parse().unwrap(), data.to_owned()));
        }
    }
    Part { status, head: head.to_ascii_lowercase(), events }
}

fn software_versions(texts: impl IntoIterator<Item = impl AsRef<str>>) -> BTreeSet<String> {
    let version = |text: &str| text.rsplit(" by ").next().unwrap_or_default().to_owned();
    texts.into_iter().map(|text| version(text.as_ref())).collect()
}

fn break_next_streams(engines: &[Upstream], after: u64) {
    for engine in engines {
        engine.behaviour.break_after.store(after, Ordering::Relaxed);
    }
}

/// Requests a stream that breaks off, and returns the part that came.
fn broken_stream(d: &Deployment, engines: &[Upstream], gateway: usize, id: &str) -> Part {
    break_next_streams(engines, BREAK_AFTER);
    let part = read_stream(&d.gateway_address(gateway), id, None);
    break_next_streams(engines, 0);
    part
}

fn wait_for_engines(d: &Deployment, engines: &[Upstream]) {
    d.wait_until("every gateway knows the engines", || {
        let known = |g: usize| {
            let part = read_stream(&d.gateway_address(g), &format!("warm-{g}"), None);
            part.status == 200
        };
        (0..d.gateways.len()).all(known) && engines.iter().all(|e| e.total_runs() > 0)
    });
}

/// Guards against items whose text comes from two software versions, and against items that wait for a version of which no
/// engine is left.
#[test]
fn an_item_is_generated_by_one_software_version() {
    const ITEMS: usize = 60;
    let d = Deployment::start(3, 1, &routes::document(1, 2000).to_string());
    let engines = start_engines(&d, 4);
    let items: Vec<String> = (0..ITEMS).map(|i| format!("item-{i}")).collect();
    let body = routes::submission(&items, 1, |id| id);
    d.wait_until("the engines are known and the batch is accepted", || {
        engines.iter().all(|e| d.stores.iter().flatten().any(|s| s.log().contains(&e.id)))
            && d.send(0, "POST", "/batch/b", "b", &body).is_some_and(|a| a.status == 202)
    });
    for round in 0..3 {
        thread::sleep(Duration::from_millis(150));
        for engine in engines.iter().skip(round % 2).step_by(2) {
            // All engines of one version end, and are back after a while.
            engine.crash();
        }
        thread::sleep(RESTART_TIME);
    }
    let results = || {
        let response = d.send(0, "GET", "/v1/lots/b?after=0", "read", "");
        response.and_then(|r| r.json()["results"].as_array().cloned()).unwrap_or_default()
    };
    d.wait_until("the batch completes", || results().len() == ITEMS);
    let mut mixed = Vec::new();
    for result in results() {
        let text = result["event_data"].as_str().unwrap().to_owned();
        let id = result["id"].as_str().unwrap().to_owned();
        assert_eq!(text.lines().count() as u64, EVENTS, "{result}");
        let versions = software_versions(text.lines());
        if versions.len() > 1 {
            mixed.push((id, versions));
        }
    }
    assert!(mixed.is_empty(), "{} of {ITEMS} texts are mixed: {mixed:?}", mixed.len());
}

/// Guards against streams that are taken up again through another gateway at an upstream of another software version, and
/// against streams that do not go on although their version is served.
#[test]
fn a_resumed_stream_goes_on_at_the_version_that_began_it() {
    const STREAMS: usize = 24;
    let mut d = Deployment::start(3, 3, &routes::document(1, 5000).to_string());
    let engines = start_engines(&d, 4);
    wait_for_engines(&d, &engines);
    let (mut mixed, mut resumed) = (Vec::new(), 0);
    for n in 0..STREAMS {
        let (first, second) = (format!("stream-{n}"), format!("resumed-{n}"));
        let begun = broken_stream(&d, &engines, n % 3, &first);
        assert_eq!(begun.status, 200, "{begun:?}\n{}", d.logs());
        let Some((last, _)) = begun.events.last().cloned() else { continue };
        // In every third case the gateway that began the stream ends.
        let killed = n % 9 == 4;
        if killed {
            d.gateways[n % 3] = None;
        }
        let rest = read_stream(&d.gateway_address((n + 1) % 3), &second, Some((&first, last)));
        if killed {
            d.start_gateway(n % 3);
            d.wait_until("the gateway is ready", || d.is_ready(n % 3));
        }
        if rest.status != 200 {
            assert_eq!(rest.status, 503, "{rest:?}");
            continue;
        }
        let ids: Vec<u64> = begun.events.iter().chain(&rest.events).map(|(id, _)| *id).collect();
        assert_eq!(ids, (1..=EVENTS).collect::<Vec<u64>>(), "{first}");
        let parts = begun.events.iter().chain(&rest.events).map(|(_, data)| data);
        let versions = software_versions(parts);
        if versions.len() > 1 {
            mixed.push((first, versions));
        }
        resumed += 1;
    }
    assert!(mixed.is_empty(), "{} of {STREAMS} streams are mixed: {mixed:?}", mixed.len());
    assert!(resumed * 10 >= STREAMS * 9, "{resumed} of {STREAMS} streams went on\n{}", d.logs());
}

/// Guards against a guess where nobody knows the version that began a stream, or where no upstream of it is left, and against
/// a caller that waits for the refusal.
#[test]
fn a_stream_that_cannot_go_on_is_refused_at_once_and_not_run() {
    let d = Deployment::start(3, 2, &routes::document(1, 5000).to_string());
    let engines = start_engines(&d, 2);
    wait_for_engines(&d, &engines);
    let check = |first: &str, id: &str| {
        let started = Instant::now();
        let rest = read_stream(&d.gateway_address(1), id, Some((first, BREAK_AFTER)));
        assert_eq!(rest.status, 503, "{rest:?}\n{}", d.logs());
        assert!(rest.head.contains("retry-after"), "{}", rest.head);
        assert!(started.elapsed() < REFUSAL_TIME, "{:?}", started.elapsed());
        assert!(engines.iter().all(|e| e.runs(id).is_empty()), "{id} has run");
    };
    check("never-heard-of", "resumed-0");
    let begun = broken_stream(&d, &engines, 0, "first");
    let version = software_versions(begun.events.iter().map(|(_, data)| data));
    let began = |e: &&Upstream| version.contains(&*e.behaviour.software.lock().unwrap());
    let began = engines.iter().find(began).unwrap();
    began.behaviour.leaving.store(true, Ordering::Relaxed);
    d.wait_until("the engine that began the stream leaves", || {
        d.stores.iter().flatten().any(|s| {
            let log = s.log();
            let mut lines = log.lines();
            lines.any(|l| l.contains(&began.id) && l.contains("leaving=true"))
        })
    });
    thread::sleep(Duration::from_millis(300));
    check("first", "resumed-1");
    assert!(begun.events.iter().all(|(id, data)| data.starts_with(&event_data("first", *id))));
}

/// What is lost between the beginning of a stream and its taking up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// All gateways and the store that the beginning gateway followed.
    GatewaysAndFollowedStore,
    /// All gateways and all stores.
    Everything,
}

/// What becomes of the upstreams that began the stream.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Old {
    /// They serve on.
    Serves,
    /// They announce that they leave, and end.
    Leaves,
    /// They start again under their IDs with the newer software.
    IsReplaced,
}

/// Index of the store that a gateway follows.
fn followed_store(d: &Deployment, gateway: usize) -> usize {
    let log = d.gateways[gateway].as_ref().unwrap().log();
    let last = log.lines().rfind(|l| l.contains("event=store_followed"));
    let is_at = |i: &usize| {
        let address = format!("peer={}:", support::deployment::loopback_ip(1, *i));
        last.is_some_and(|l| l.contains(&address))
    };
    (0..d.stores.len()).find(is_at).expect("the gateway follows a store")
}

/// Guards against texts of two versions that are joined because the beginning of a stream was forgotten, and against refusing
/// to go on at a version that still serves.
#[rstest]
#[case::old_serves(Loss::GatewaysAndFollowedStore, Old::Serves, &[200])]
#[case::old_leaves(Loss::GatewaysAndFollowedStore, Old::Leaves, &[503])]
#[case::old_is_replaced(Loss::GatewaysAndFollowedStore, Old::IsReplaced, &[503])]
#[case::everything_lost_and_old_serves(Loss::Everything, Old::Serves, &[200, 503])]
#[case::everything_lost_and_old_leaves(Loss::Everything, Old::Leaves, &[503])]
#[case::everything_lost_and_old_is_replaced(Loss::Everything, Old::IsReplaced, &[503])]
fn a_stream_is_not_joined_after_its_beginning_is_forgotten(
    #[case] loss: Loss,
    #[case] old: Old,
    #[case] expected: &[u16],
) {
    /// Time in which a store passes on what a gateway recorded.
    const SPREAD_TIME: Duration = Duration::from_millis(100);
    let mut d = Deployment::start(3, 2, &routes::document(1, 5000).to_string());
    let engines = start_engines(&d, 4);
    wait_for_engines(&d, &engines);
    let begun = broken_stream(&d, &engines, 0, "first");
    let (last, _) = begun.events.last().cloned().expect("the stream has begun");
    let version = software_versions(begun.events.iter().map(|(_, data)| data));
    thread::sleep(SPREAD_TIME);
    let followed = followed_store(&d, 0);
    let began = |e: &&Upstream| version.contains(&*e.behaviour.software.lock().unwrap());
    let began: Vec<&Upstream> = engines.iter().filter(began).collect();
    match old {
        Old::Serves => {}
        Old::Leaves => {
            for engine in &began {
                engine.behaviour.leaving.store(true, Ordering::Relaxed);
            }
            let left = |e: &Upstream| {
                let line = |l: &str| l.contains(&e.id) && l.contains("leaving=true");
                d.stores.iter().flatten().any(|s| s.log().lines().any(line))
            };
            d.wait_until("the old engines leave", || began.iter().all(|e| left(e)));
            for engine in &began {
                engine.behaviour.announces.store(false, Ordering::Relaxed);
            }
        }
        Old::IsReplaced => {
            let newer = engines.iter().find(|e| !began.iter().any(|b| b.id == e.id)).unwrap();
            let newer = newer.behaviour.software.lock().unwrap().clone();
            for engine in &began {
                engine.behaviour.announces.store(false, Ordering::Relaxed);
                newer.clone_into(&mut engine.behaviour.software.lock().unwrap());
                engine.crash();
            }
        }
    }
    d.gateways.iter_mut().for_each(|gateway| *gateway = None);
    let lost: Vec<usize> = match loss {
        Loss::GatewaysAndFollowedStore => vec![followed],
        Loss::Everything => (0..d.stores.len()).collect(),
    };
    lost.iter().for_each(|i| d.stores[*i] = None);
    if old == Old::IsReplaced {
        thread::sleep(RESTART_TIME);
        for engine in &began {
            engine.behaviour.announces.store(true, Ordering::Relaxed);
        }
    }
    lost.iter().for_each(|i| d.start_store(*i, false));
    (0..2).for_each(|i| d.start_gateway(i));
    (0..2).for_each(|i| d.wait_until("a gateway is ready", || d.is_ready(i)));
    d.wait_until("streams are served", || {
        (0..2)
            .all(|g| read_stream(&d.gateway_address(g), &format!("fresh-{g}"), None).status == 200)
    });
    let rest = read_stream(&d.gateway_address(1), "resumed", Some(("first", last)));
    assert!(expected.contains(&rest.status), "{rest:?}\n{}", d.logs());
    if rest.status == 200 {
        let ids: Vec<u64> = begun.events.iter().chain(&rest.events).map(|(id, _)| *id).collect();
        assert_eq!(ids, (1..=EVENTS).collect::<Vec<u64>>());
        let parts = begun.events.iter().chain(&rest.events).map(|(_, data)| data);
        assert_eq!(software_versions(parts), version, "the text is joined from two versions");
    } else {
        assert!(engines.iter().all(|e| e.runs("resumed").is_empty()), "a refused stream ran");
    }
}

/// Starts a deployment whose gateways do not all follow the same store. The store that a gateway prefers follows from its name
/// and the stores' ports, which are others at each start.
fn start_spread() -> Deployment {
    const GATEWAYS: usize = 6;
    const MAX_STARTS: usize = 5;
    for _ in 0..MAX_STARTS {
        let mut d = Deployment::start(3, GATEWAYS, &routes::document(1, 5000).to_string());
        // The first ones all follow the store that led first; a restart spreads them.
        for i in 0..GATEWAYS {
            d.gateways[i] = None;
            d.start_gateway(i);
            d.wait_until("the gateway is ready", || d.is_ready(i));
        }
        let followed: BTreeSet<usize> = (0..GATEWAYS).map(|g| followed_store(&d, g)).collect();
        if followed.len() > 1 {
            return d;
        }
    }
    panic!("all gateways followed the same store at each of {MAX_STARTS} starts");
}

/// Process that does not hear of a new software version.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Paused {
    /// The store that a gateway follows.
    Store,
    /// The gateway.
    Gateway,
}

/// Guards against a stream that goes on at the only version that a gateway knows: the gateway, or the store that it follows,
/// stood still while upstreams of another version joined and began the stream through another gateway.
#[rstest]
#[case::store_and_named_attempt(Paused::Store, true)]
#[case::store_and_unnamed_attempt(Paused::Store, false)]
#[case::gateway_and_named_attempt(Paused::Gateway, true)]
#[case::gateway_and_unnamed_attempt(Paused::Gateway, false)]
fn a_stream_is_not_joined_through_a_gateway_that_missed_a_version(
    #[case] paused: Paused,
    #[case] named: bool,
) {
    let d = start_spread();
    let start = |id, software| Upstream::start_engine(id, MODEL, d.control_addresses(), software);
    let old = vec![start("e-0", "v1"), start("e-1", "v1")];
    wait_for_engines(&d, &old);
    let leader = d.leader().expect("a store leads");
    let followed = |g: usize| followed_store(&d, g);
    let stale =
        (0..d.gateways.len()).find(|g| followed(*g) != leader).expect("a gateway follows another");
    let store = followed(stale);
    let current =
        (0..d.gateways.len()).find(|g| followed(*g) != store).expect("gateways are spread");
    let signal = |signal| match paused {
        Paused::Store => d.stores[store].as_ref().unwrap().signal(signal),
        Paused::Gateway => d.gateways[stale].as_ref().unwrap().signal(signal),
    };
    let refuse = |refuses: bool| {
        old.iter().for_each(|e| e.behaviour.refuses.store(refuses, Ordering::Relaxed));
    };
    signal(Signal::SIGSTOP);
    let mut stores = d.control_addresses();
    stores.remove(store);
    let new = Upstream::start_engine("e-2", MODEL, stores, "v2");
    new.behaviour.break_after.store(BREAK_AFTER, Ordering::Relaxed);
    refuse(true);
    // Refusals take a millisecond each, so that a number of attempts would end before the gateway knows the new engine.
    let begun = RefCell::new((String::new(), Part::default()));
    let attempts = Cell::new(0);
    d.wait_until("the new engine begins a stream", || {
        let first = format!("first-{}", attempts.replace(attempts.get() + 1));
        let part = read_stream(&d.gateway_address(current), &first, None);
        let has_begun = !part.events.is_empty();
        *begun.borrow_mut() = (first, part);
        has_begun
    });
    let (first, begun) = begun.into_inner();
    new.behaviour.break_after.store(0, Ordering::Relaxed);
    refuse(false);
    let (last, _) = begun.events.last().cloned().unwrap();
    let take_up = |id: &str| {
        let mut head = format!(
            "POST /say/{id} HTTP/1.1\r\nHost: test.example\r\nConnection: close\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: \
             4000\r\nX-Model: {MODEL}\r\nLast-Event-Id: {last}\r\nContent-Length: 0\r\n"
        );
        if named {
            head += &format!("Resumes: {first}\r\n");
        }
        let mut stream = TcpStream::connect(d.gateway_address(stale)).unwrap();
        stream.write_all(format!("{head}\r\n").as_bytes()).unwrap();
        stream
    };
    let waiting = take_up("resumed");
    if paused == Paused::Gateway {
        signal(Signal::SIGCONT);
    }
    let check = |rest: &Part| {
        assert!([200, 503].contains(&rest.status), "{rest:?}\n{}", d.logs());
        let parts = begun.events.iter().chain(&rest.events).map(|(_, data)| data);
        assert_eq!(software_versions(parts), BTreeSet::from(["v2".to_owned()]), "{rest:?}");
    };
    check(&read_part(waiting));
    if paused == Paused::Store {
        signal(Signal::SIGCONT);
    }
    if named {
        d.wait_until("the stream goes on", || {
            let rest = read_part(take_up("resumed-later"));
            check(&rest);
            rest.status == 200
        });
    }
}
