//! Tests of complete deployments with stand-ins that speak the platform's protocol.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rstest::rstest;
use support::{
    client,
    deployment::{self, Deployment},
    routes::{self, MODEL},
    upstream::{EVENT_GAP, EVENTS, OtherResponse, Upstream, item_text},
};

fn document(version: u64, timeout_ms: u64) -> String {
    routes::document(version, timeout_ms).to_string()
}

fn engines(d: &Deployment, count: usize) -> Vec<Upstream> {
    let start =
        |i| Upstream::start(&format!("e-{i}"), "engines", Some(MODEL), d.control_addresses());
    (0..count).map(start).collect()
}

fn item_ids(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|i| format!("{prefix}-{i}")).collect()
}

/// Results of a batch by position, read through all gateways in turn until they are complete.
fn read_all(d: &Deployment, id: &str, count: usize) -> BTreeMap<u64, serde_json::Value> {
    let mut results = BTreeMap::new();
    let until = Instant::now() + Duration::from_secs(25);
    while results.len() < count {
        assert!(Instant::now() < until, "{} of {count} results\n{}", results.len(), d.logs());
        let gateway = results.len() % d.gateways.len();
        let path = format!("/v1/lots/{id}?after={}", results.len());
        let headers = [("X-Wait-Ms", "500")];
        let Some(response) = client::call(&d.gateway_address(gateway), "GET", &path, &headers, "")
        else {
            continue;
        };
        if response.status != 200 {
            assert_eq!(response.status, 503, "a batch that exists: {}", response.body);
            thread::sleep(Duration::from_millis(50));
            continue;
        }
        for result in response.json()["results"].as_array().cloned().unwrap_or_default() {
            results.insert(results.len() as u64, result);
        }
    }
    results
}

fn submit(d: &Deployment, gateway: usize, id: &str, items: &[String], min_version: u64) {
    let body = routes::submission(items, min_version, |_| "g1");
    d.wait_until("the batch is accepted", || {
        d.send(gateway, "POST", &format!("/batch/{id}"), id, &body).is_some_and(|a| a.status == 202)
    });
}

fn check_results(results: &BTreeMap<u64, serde_json::Value>, items: &[String]) {
    let mut listed: Vec<&str> = results.values().filter_map(|r| r["id"].as_str()).collect();
    listed.sort_unstable();
    let mut expected: Vec<&str> = items.iter().map(String::as_str).collect();
    expected.sort_unstable();
    assert_eq!(listed, expected, "each item is listed once");
    for result in results.values() {
        let id = result["id"].as_str().unwrap();
        assert_eq!(result["state"], "completed", "{result}");
        assert_eq!(result["event_data"].as_str().unwrap(), item_text(id));
    }
}

/// Guards against gateways that cannot start, because two listeners of parallel tests got the same port.
#[test]
fn deployments_get_distinct_ports() {
    const PORTS: usize = 1000;
    let ports: BTreeSet<u16> = (0..PORTS).map(|_| deployment::free_port()).collect();
    assert_eq!(ports.len(), PORTS);
}

/// Guards against a lookup that waits until its deadline because its upstream is silent.
#[test]
fn a_lookup_gets_a_response_in_time_although_one_upstream_is_silent() {
    let d = Deployment::start(3, 2, &document(1, 2000));
    let silent = Upstream::start("s-0", "sheets", None, d.control_addresses());
    let healthy = Upstream::start("s-1", "sheets", None, d.control_addresses());
    silent.behaviour.silent.store(true, Ordering::Relaxed);
    d.wait_until("both upstreams were tried", || {
        for n in 0..4 {
            let id = format!("warm-{}-{n}", silent.total_runs());
            d.send(n % 2, "GET", "/lookup/a", &id, "");
        }
        silent.total_runs() > 0 && healthy.total_runs() > 0
    });
    for n in 0..20 {
        let id = format!("lookup-{n}");
        let started = Instant::now();
        let response = d.send(n % 2, "GET", "/lookup/a", &id, "").expect("a response");
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, format!("answer to {id}").as_str())
        );
        assert!(started.elapsed() < Duration::from_millis(400), "took {:?}", started.elapsed());
    }
}

/// Guards against an answer of another caller: an upstream sends answers a second time, on connections that are in use again.
#[test]
fn a_late_copy_of_an_answer_reaches_no_other_caller() {
    const CALLERS: usize = 4;
    const CALLS: usize = 30;
    const COPIES: u64 = 10;
    let d = Deployment::start(3, 2, &document(1, 2000));
    let upstreams =
        ["s-0", "s-1"].map(|id| Upstream::start(id, "sheets", None, d.control_addresses()));
    d.wait_until("the upstreams are known", || {
        (0..8).for_each(|n| drop(d.send(n % 2, "GET", "/lookup/a", &format!("warm-{n}"), "")));
        upstreams.iter().all(|up| up.total_runs() > 0)
    });
    for up in &upstreams {
        up.behaviour.late_copies.store(COPIES, Ordering::Relaxed);
    }
    let callers = (0..CALLERS).map(|caller| {
        let address = d.gateway_address(caller % 2);
        thread::spawn(move || {
            let call = |n: usize| {
                let id = format!("call-{caller}-{n}");
                let headers = [("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "2000")];
                let response = client::call(&address, "GET", "/lookup/a", &headers, "");
                let response = response.expect("a response");
                if response.status == 200 {
                    assert_eq!(response.body, format!("answer to {id}"));
                }
                usize::from(response.status == 200)
            };
            (0..CALLS).map(call).sum::<usize>()
        })
    });
    let callers: Vec<_> = callers.collect();
    let served: usize = callers.into_iter().map(|caller| caller.join().unwrap()).sum();
    let left = upstreams.each_ref().map(|up| up.behaviour.late_copies.load(Ordering::Relaxed));
    assert!(left.iter().sum::<u64>() < 2 * COPIES, "no copy was sent: {left:?}");
    assert!(served + 2 * COPIES as usize >= CALLERS * CALLS, "{served} are served\n{}", d.logs());
}

/// Guards against a request that runs twice or is reported as not run: an upstream sends a refusal a second time, late, and
/// it is taken for the refusal of the next request on its connection.
#[test]
fn a_late_copy_of_a_refusal_is_not_the_refusal_of_the_next_request() {
    const ROUNDS: usize = 12;
    let d = Deployment::start(3, 1, &document(1, 2000));
    let upstreams =
        ["s-0", "s-1"].map(|id| Upstream::start(id, "sheets", None, d.control_addresses()));
    d.wait_until("the upstreams are known", || {
        (0..8).for_each(|n| drop(d.send(0, "GET", "/lookup/a", &format!("warm-{n}"), "")));
        upstreams.iter().all(|up| up.total_runs() > 0)
    });
    let refuse = |refuses| {
        for up in &upstreams {
            up.behaviour.refuses.store(refuses, Ordering::Relaxed);
        }
    };
    let (mut copies_sent, mut served) = (0, 0);
    for n in 0..ROUNDS {
        refuse(true);
        let refused = d.send(0, "POST", "/confirm/a", &format!("refused-{n}"), "").unwrap();
        assert_eq!(refused.status, 503, "{refused:?}\n{}", d.logs());
        refuse(false);
        for up in &upstreams {
            up.behaviour.late_copies.store(1, Ordering::Relaxed);
        }
        let id = format!("once-{n}");
        let response = d.send(0, "POST", "/confirm/a", &id, "").expect("a response");
        for up in &upstreams {
            let left = up.behaviour.late_copies.swap(0, Ordering::Relaxed);
            copies_sent += 1 - left;
        }
        // What an upstream accepted has run by then.
        thread::sleep(Duration::from_millis(50));
        let runs: usize = upstreams.iter().map(|up| up.runs(&id).len()).sum();
        assert!(runs <= 1, "{id} ran {runs} times\n{}", d.logs());
        assert!(runs == 0 || response.status != 503, "{id} ran and was refused\n{}", d.logs());
        let next = d.send(0, "POST", "/confirm/a", &format!("next-{n}"), "").unwrap();
        served += usize::from(next.status == 200);
    }
    assert!(copies_sent > 0, "no copy was sent");
    assert_eq!(served, ROUNDS, "a request after a copy is not served\n{}", d.logs());
}

/// Guards against processes that end by a malformed announcement or stop to follow the others, and against taking one for an
/// upstream.
#[test]
fn malformed_announcements_do_no_harm() {
    const SOUND: &str = r#"{"service":"sheets","address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,"state":"ready","sequence":1,"born":1}"#;
    let d = Deployment::start(3, 2, &document(1, 2000));
    let _upstream = Upstream::start("s-0", "sheets", None, d.control_addresses());
    let is_served = |id: &str| {
        (0..2).all(|g| d.send(g, "GET", "/lookup/a", id, "").is_some_and(|a| a.status == 200))
    };
    d.wait_until("the upstream is known", || is_served("warm"));
    let odd = [
        SOUND.replace("\"born\":1", &format!("\"born\":{}1", "[".repeat(100_000))),
        SOUND.replace("\"slots\":8", &format!("\"slots\":{}", "9".repeat(400))),
        SOUND.replace("\"sequence\":1", "\"sequence\":1e999"),
        SOUND.replace("127.0.0.1:9", "127.0.0.1:65536"),
        SOUND.replace("127.0.0.1:9", "127.0.0.1:0"),
        SOUND.replace("127.0.0.1:9", "0.0.0.0:9"),
        SOUND.replace("\"slots\":8", "\"slots\":0"),
        SOUND.replace("\"born\":1", "\"born\":18446744073709551615"),
        SOUND.replace("sheets", &"s".repeat(200_000)),
        "\u{0}\u{1}".into(),
    ];
    for (n, body) in odd.iter().enumerate() {
        for store in d.control_addresses() {
            for call in ["Heartbeat", "Deregister"] {
                let id = if call == "Heartbeat" { format!("odd-{n}") } else { "s-0".into() };
                let path = format!("/v1/Instances.{call}/{id}");
                let response = client::call(&store, "POST", &path, &[], body);
                // A deregistration of another start than the known one changes nothing.
                let accepted = response.is_none_or(|r| r.status == 200);
                assert!(call == "Deregister" || !accepted, "{body:.200}");
            }
        }
        assert!(is_served(&format!("served-{n}")), "after {body:.200}\n{}", d.logs());
    }
    let processes = || d.stores.iter().chain(&d.gateways).flatten();
    assert!(processes().all(|p| p.exit_code().is_none()), "a process has ended\n{}", d.logs());
    assert!(!processes().any(|p| p.log().contains("upstream=odd-")), "{}", d.logs());
}

/// Guards against a request that runs twice, and against reporting "not run" for one that may have run.
#[test]
fn a_request_that_may_run_once_is_not_repeated_after_a_failure() {
    let d = Deployment::start(3, 1, &document(1, 600));
    let upstream = Upstream::start("s-0", "sheets", None, d.control_addresses());
    let other = Upstream::start("s-1", "sheets", None, d.control_addresses());
    d.wait_until("the upstreams are known", || {
        d.send(0, "POST", "/confirm/a", "first", "").is_some_and(|a| a.status == 200)
    });
    for silent in [&upstream, &other] {
        silent.behaviour.silent.store(true, Ordering::Relaxed);
    }
    let response = d.send(0, "POST", "/confirm/a", "once", "").expect("a response");
    assert_eq!(response.status, 504, "an unknown outcome must be reported as such");
    assert_eq!(upstream.runs("once").len() + other.runs("once").len(), 1);
    for full in [&upstream, &other] {
        full.behaviour.silent.store(false, Ordering::Relaxed);
        full.behaviour.refuses.store(true, Ordering::Relaxed);
    }
    let response = d.send(0, "POST", "/confirm/a", "refused", "").expect("a response");
    assert_eq!(response.status, 503, "{}", response.body);
    assert!(response.head.contains("retry-after"), "{}", response.head);
    assert_eq!(upstream.runs("refused").len() + other.runs("refused").len(), 0);
}

/// Guards against lost, duplicated or reordered results of a batch, and against refusing a repeated submission.
#[test]
fn a_batch_is_complete_and_reads_the_same_at_every_gateway() {
    let d = Deployment::start(3, 2, &document(1, 2000));
    let _engines = engines(&d, 3);
    let items = item_ids("item", 30);
    submit(&d, 0, "b1", &items, 1);
    submit(&d, 1, "b1", &items, 1);
    let results = read_all(&d, "b1", items.len());
    check_results(&results, &items);
    for gateway in 0..2 {
        let response = d.send(gateway, "GET", "/v1/lots/b1?after=7", "read", "").unwrap();
        let json = response.json();
        assert_eq!(json["total"], 30);
        assert_eq!(json["next_token"], 30);
        assert_eq!(json["results"][0], results[&7]);
    }
    assert_eq!(d.send(0, "GET", "/v1/lots/none?after=0", "read", "").unwrap().status, 404);
    assert_eq!(d.send(0, "DELETE", "/v1/lots/b1", "end", "").unwrap().status, 200);
    assert_eq!(d.send(1, "DELETE", "/v1/lots/b1", "end", "").unwrap().status, 200);
}

/// Guards against items that restart, or a text with a gap, when an engine aborts its stream.
#[test]
fn a_broken_stream_resumes_after_its_last_event() {
    let d = Deployment::start(3, 1, &document(1, 2000));
    let engines = engines(&d, 2);
    for engine in &engines {
        engine.behaviour.break_after.store(4, Ordering::Relaxed);
    }
    let items = item_ids("item", 4);
    submit(&d, 0, "b1", &items, 1);
    check_results(&read_all(&d, "b1", items.len()), &items);
    let resumed = items.iter().flat_map(|id| engines.iter().flat_map(|e| e.runs(id)));
    assert!(resumed.flatten().any(|after| after == 4), "no run resumed after event 4");
}

/// Guards against a text that holds an error, or that is listed as complete too early: an engine breaks off a stream, and the
/// next one answers with something else than its rest.
#[rstest]
#[case::failure("500 Internal Server Error", "text/plain", "the engine failed")]
#[case::bad_gateway("502 Bad Gateway", "text/html", "<h1>bad gateway</h1>")]
#[case::page("200 OK", "text/html", "<h1>maintenance</h1>")]
#[case::empty_page("200 OK", "text/html", "")]
#[case::events_of_another_type("200 OK", "text/plain", "id: 5\ndata: other\n\n")]
fn an_item_does_not_end_with_another_response(
    #[case] status: &'static str,
    #[case] content_type: &'static str,
    #[case] body: &'static str,
) {
    let d = Deployment::start(3, 1, &document(1, 2000));
    let engines = engines(&d, 2);
    for engine in &engines {
        engine.behaviour.break_after.store(4, Ordering::Relaxed);
        let other = OtherResponse { status, content_type, body };
        *engine.behaviour.resumed_response.lock().unwrap() = Some(other);
        engine.behaviour.resumed_responses.store(1, Ordering::Relaxed);
    }
    let items = item_ids("item", 4);
    submit(&d, 0, "b1", &items, 1);
    check_results(&read_all(&d, "b1", items.len()), &items);
    let left = |e: &Upstream| e.behaviour.resumed_responses.load(Ordering::Relaxed);
    assert!(engines.iter().any(|e| left(e) == 0), "no run that resumed got another response");
}

/// Guards against an error inside a caller's stream, and against one that ends as complete: an engine breaks it off, and the
/// engine at which it is taken up fails.
#[rstest]
#[case::failure("500 Internal Server Error", "text/plain", 500)]
#[case::page("200 OK", "text/html", 502)]
fn a_callers_stream_does_not_end_with_an_error(
    #[case] status: &'static str,
    #[case] content_type: &'static str,
    #[case] expected: u16,
) {
    let d = Deployment::start(3, 1, &document(1, 2000));
    let engines = engines(&d, 2);
    let send = |id: &str, resumed: &[(&str, &str)]| {
        let mut headers = vec![("X-Attempt-Id", id), ("X-Deadline-Ms", "4000"), ("X-Model", MODEL)];
        headers.extend(resumed);
        client::call(&d.gateway_address(0), "POST", "/say/a", &headers, "")
    };
    d.wait_until("the engines are known", || {
        send("warm", &[]).is_some_and(|a| a.status == 200)
            && engines.iter().all(|e| e.total_runs() > 0)
    });
    let other = OtherResponse { status, content_type, body: "the engine failed" };
    for engine in &engines {
        engine.behaviour.break_after.store(4, Ordering::Relaxed);
        *engine.behaviour.resumed_response.lock().unwrap() = Some(other);
        engine.behaviour.resumed_responses.store(9, Ordering::Relaxed);
    }
    let broken = send("broken", &[]).unwrap();
    assert!(broken.body.contains("broken event 4\n"), "{}", broken.body);
    assert!(!broken.body.contains("failed") && !broken.body.contains("HTTP/"), "{}", broken.body);
    assert!(!broken.body.ends_with("\r\n0\r\n\r\n"), "it looks complete: {}", broken.body);
    let resumed = [("Resumes", "broken"), ("Last-Event-Id", "4")];
    let refused = send("resumed", &resumed).unwrap();
    assert_eq!(refused.status, expected, "{refused:?}");
    assert!(!refused.head.contains("event-stream"), "{}", refused.head);
}

/// Guards against the loss of an accepted batch, a listed position or generated text when the leader crashes.
#[test]
fn a_batch_survives_a_crash_of_the_leader() {
    let mut d = Deployment::start(3, 2, &document(1, 2000));
    let _engines = engines(&d, 3);
    let items = item_ids("item", 60);
    submit(&d, 0, "b1", &items, 1);
    thread::sleep(EVENT_GAP * u32::try_from(EVENTS).unwrap() * 2);
    let before = d.send(0, "GET", "/v1/lots/b1?after=0", "read", "").unwrap().json();
    let leader = d.leader().unwrap();
    d.stores[leader] = None;
    let results = read_all(&d, "b1", items.len());
    check_results(&results, &items);
    for (at, result) in before["results"].as_array().unwrap().iter().enumerate() {
        assert_eq!(*result, results[&(at as u64)], "position {at} changed");
    }
    d.start_store(leader, false);
}

/// Guards against a read that is reported as an order of unknown outcome when the stores are slow to reply.
#[test]
fn a_read_without_a_reply_is_refused_and_may_be_repeated() {
    let d = Deployment::start(3, 1, &document(1, 2000));
    let items = item_ids("item", 2);
    submit(&d, 0, "b1", &items, 1);
    let paused = |signal| d.stores.iter().flatten().for_each(|store| store.signal(signal));
    paused(Signal::SIGSTOP);
    for path in ["/v1/lots/b1?after=0", "/v1/items/b1?id=item-0"] {
        let response = d.send(0, "GET", path, "read", "").expect("a response");
        assert_eq!(response.status, 503, "{path}: {}", response.body);
        assert!(response.head.contains("retry-after"), "{path}: {}", response.head);
    }
    paused(Signal::SIGCONT);
    let _engines = engines(&d, 1);
    check_results(&read_all(&d, "b1", items.len()), &items);
}

/// Guards against lost batches when one store loses its disk, and another one right after the first is repaired.
#[test]
fn a_wiped_store_is_repaired_before_the_next_one_is_lost() {
    let mut d = Deployment::start(3, 1, &document(1, 2000));
    let _engines = engines(&d, 2);
    let items = item_ids("item", 16);
    submit(&d, 0, "b1", &items, 1);
    let results = read_all(&d, "b1", items.len());
    for lost in [0, 1] {
        d.stores[lost] = None;
        d.wipe_store(lost);
        d.start_store(lost, false);
        let name = format!("store-{lost}/");
        d.wait_until("the store votes again", || {
            let logs = d.stores.iter().flatten().map(support::deployment::Process::log);
            let promoted = |log: String| {
                log.lines().any(|l| l.contains("step=learner_promoted") && l.contains(&name))
            };
            logs.into_iter().any(promoted)
        });
    }
    assert_eq!(read_all(&d, "b1", items.len()), results);
}

/// A deployment with one gateway and one plain service, which has answered request `first`.
fn start_with_service(timeout_ms: u64) -> (Deployment, Upstream) {
    let d = Deployment::start(3, 1, &document(1, timeout_ms));
    let upstream = Upstream::start("s-0", "sheets", None, d.control_addresses());
    d.wait_until("the upstream is known", || {
        d.send(0, "GET", "/lookup/a", "first", "").is_some_and(|a| a.status == 200)
    });
    (d, upstream)
}

/// Guards against a stopped gateway that aborts requests or stays ready for callers.
#[test]
fn a_stopped_gateway_finishes_its_requests_and_exits() {
    let (mut d, upstream) = start_with_service(2000);
    d.gateways[0].as_ref().unwrap().signal(Signal::SIGTERM);
    thread::sleep(Duration::from_millis(300));
    assert!(!d.is_ready(0), "a stopped gateway must not count as ready");
    let response =
        d.send(0, "GET", "/lookup/a", "late", "").expect("new connections are still served");
    assert_eq!(response.status, 200);
    assert!(response.head.contains("connection: close"), "{}", response.head);
    assert_eq!(d.gateways[0].as_mut().unwrap().wait(Duration::from_secs(8)), Some(0));
    assert_eq!(upstream.runs("late").len(), 1);
}

/// Guards against a stopped gateway that cuts off a request without an answer because its upstream takes longer than the stop.
#[test]
fn a_stopped_gateway_answers_what_it_cannot_finish() {
    let (mut d, upstream) = start_with_service(20_000);
    upstream.behaviour.silent.store(true, Ordering::Relaxed);
    let address = d.gateway_address(0);
    let unfinished = ["/lookup/a", "/confirm/a"].map(|path| {
        let (address, id) = (address.clone(), format!("unfinished{}", path.replace('/', "-")));
        thread::spawn(move || {
            let headers = [("X-Attempt-Id", id.as_str()), ("X-Deadline-Ms", "20000")];
            let method = if path == "/lookup/a" { "GET" } else { "POST" };
            client::call(&address, method, path, &headers, "")
        })
    });
    d.wait_until("the requests are sent", || upstream.total_runs() >= 3);
    d.gateways[0].as_ref().unwrap().signal(Signal::SIGTERM);
    for request in unfinished {
        let response = request.join().unwrap().expect("an answer");
        assert_eq!(response.status, 504, "{}", response.body);
        assert!(response.body.contains(r#""not_run":false"#), "{}", response.body);
        assert!(response.head.contains("connection: close"), "{}", response.head);
    }
    assert_eq!(d.gateways[0].as_mut().unwrap().wait(Duration::from_secs(8)), Some(0));
    let log = d.gateways[0].as_ref().unwrap().log();
    assert_eq!(log.matches("event=answered_at_stop").count(), 2, "{log}");
}

/// Guards against a second stop signal that waits for requests in progress instead of ending the process.
#[test]
fn a_second_signal_ends_a_gateway_with_a_request_in_progress() {
    /// Time for which new connections are accepted after the first signal, and some for the exit.
    const EXIT_TIME: Duration = Duration::from_millis(4500);
    let (mut d, upstream) = start_with_service(20_000);
    upstream.behaviour.silent.store(true, Ordering::Relaxed);
    let address = d.gateway_address(0);
    let unfinished = thread::spawn(move || {
        let headers = [("X-Attempt-Id", "unfinished"), ("X-Deadline-Ms", "20000")];
        client::call(&address, "GET", "/lookup/a", &headers, "")
    });
    d.wait_until("the request is sent", || !upstream.runs("unfinished").is_empty());
    for _ in 0..2 {
        d.gateways[0].as_ref().unwrap().signal(Signal::SIGTERM);
        thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(d.gateways[0].as_mut().unwrap().wait(EXIT_TIME), Some(0));
    drop(unfinished.join().unwrap());
}

/// Guards against requests to an upstream that has announced that it is draining.
#[test]
fn a_leaving_upstream_gets_no_new_request() {
    let d = Deployment::start(3, 2, &document(1, 2000));
    let leaving = Upstream::start("s-0", "sheets", None, d.control_addresses());
    let staying = Upstream::start("s-1", "sheets", None, d.control_addresses());
    d.wait_until("both serve", || {
        d.send(0, "GET", "/lookup/a", &format!("w-{}", staying.total_runs()), "");
        leaving.total_runs() + staying.total_runs() > 2
    });
    leaving.behaviour.leaving.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(1000));
    let before = leaving.total_runs();
    for n in 0..20 {
        assert_eq!(d.send(n % 2, "GET", "/lookup/a", &format!("l-{n}"), "").unwrap().status, 200);
    }
    assert_eq!(leaving.total_runs(), before);
}

/// Guards against a route document that reverts, is applied although it is invalid, or takes effect late.
#[test]
fn the_highest_document_is_in_force_and_invalid_ones_are_refused() {
    let d = Deployment::start(3, 2, &document(5, 2000));
    assert_eq!(d.put_document(&document(4, 900)), 200, "an older version is acknowledged");
    assert_eq!(
        d.put_document(&document(5, 900)),
        200,
        "another document of the same version is acknowledged"
    );
    assert_eq!(d.put_document(&document(6, 0)), 400);
    assert_eq!(d.put_document("{\"version\": 7"), 400);
    let stored =
        client::call(&d.control_address(1), "GET", "/v1/Configuration.Read", &[], "").unwrap();
    assert_eq!(stored.body, document(5, 2000));
    assert_eq!(d.put_document(&document(8, 1500)), 200);
    let started = Instant::now();
    d.wait_until("the new document is in force at both gateways", || {
        d.gateways.iter().flatten().all(|g| g.log().contains("event=routes_in_force version=8"))
    });
    assert!(started.elapsed() < Duration::from_secs(2), "took {:?}", started.elapsed());
}

/// Guards against samples of weights that the batch does not allow, and against orders without a fencing token or an
/// expected number of orders.
#[test]
fn a_step_runs_on_the_weights_that_it_allows() {
    let d = Deployment::start(3, 1, &document(1, 2000));
    let engines = engines(&d, 2);
    d.wait_until("the engines run", || {
        let id = format!("warm-{}", engines[0].total_runs() + engines[1].total_runs());
        submit(&d, 0, &id, &item_ids(&id, 1), 1);
        read_all(&d, &id, 1).len() == 1
    });
    for version in [2, 3] {
        let body = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        let accepted =
            client::call(&d.control_address(0), "POST", "/v1/version-put", &[], &body).unwrap();
        assert_eq!(accepted.status, 200);
    }
    let items = item_ids("new", 6);
    submit(&d, 0, "b2", &items, 3);
    let results = read_all(&d, "b2", items.len());
    check_results(&results, &items);
    for result in results.values() {
        assert_eq!(result["versions"], serde_json::json!([3]), "{result}");
    }
    for order in engines.iter().flat_map(Upstream::orders) {
        assert!(order["fencing_token"].as_u64().unwrap() > 0, "{order}");
        assert!(order["expected"].is_u64(), "{order}");
    }
}

/// Guards against a process that is terminated by a repeated SIGTERM instead of shutting down (soak, seed 217).
#[test]
fn a_gateway_shuts_down_after_repeated_sigterm() {
    let mut d = Deployment::start(3, 1, &document(1, 2000));
    for _ in 0..20 {
        d.gateways[0].as_ref().unwrap().signal(Signal::SIGTERM);
        thread::sleep(Duration::from_millis(3));
    }
    assert_eq!(d.gateways[0].as_mut().unwrap().wait(Duration::from_secs(8)), Some(0));
}

/// Guards against the loss of accepted batches and documents when all processes crash at the same time.
#[test]
fn accepted_data_survives_a_crash_of_all_processes() {
    let mut d = Deployment::start(3, 2, &document(1, 2000));
    let _engines = engines(&d, 3);
    let items = item_ids("item", 40);
    submit(&d, 0, "b1", &items, 1);
    assert_eq!(d.put_document(&document(3, 1500)), 200);
    thread::sleep(EVENT_GAP * 6);
    d.stores.iter_mut().chain(&mut d.gateways).for_each(|process| *process = None);
    (0..3).for_each(|i| d.start_store(i, false));
    (0..2).for_each(|i| d.start_gateway(i));
    d.wait_until("the gateways are ready again", || (0..2).all(|i| d.is_ready(i)));
    check_results(&read_all(&d, "b1", items.len()), &items);
    let stored =
        client::call(&d.control_address(0), "GET", "/v1/Configuration.Read", &[], "").unwrap();
    assert_eq!(stored.body, document(3, 1500));
}

/// Guards against orders of two holders: a leader that resumes after SIGSTOP must not send orders under its old term
/// after its successor has sent one.
#[test]
fn a_resumed_leader_sends_no_order_under_its_old_term() {
    let d = Deployment::start(3, 1, &document(1, 2000));
    let engines = engines(&d, 2);
    let publish_version = |version: u64, frozen: Option<usize>| {
        let body = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        let accepted = |control: &String| {
            client::call(control, "POST", "/v1/version-put", &[], &body)
                .is_some_and(|a| a.status == 200)
        };
        let running: Vec<String> =
            (0..3).filter(|i| Some(*i) != frozen).map(|i| d.control_address(i)).collect();
        d.wait_until("a store accepts the version", || running.iter().any(accepted));
        d.wait_until("an engine has it", || engines.iter().any(|e| e.version(MODEL) == version));
    };
    publish_version(2, None);
    let frozen = d.leader().unwrap();
    d.stores[frozen].as_ref().unwrap().signal(Signal::SIGSTOP);
    d.wait_until("another store leads", || d.leader() != Some(frozen));
    publish_version(3, Some(frozen));
    d.stores[frozen].as_ref().unwrap().signal(Signal::SIGCONT);
    publish_version(4, None);
    for engine in &engines {
        let tokens: Vec<u64> =
            engine.orders().iter().map(|o| o["fencing_token"].as_u64().unwrap()).collect();
        assert!(tokens.is_sorted(), "{tokens:?}");
    }
    let all = engines.iter().flat_map(Upstream::orders);
    let holders: std::collections::BTreeSet<u64> =
        all.map(|o| o["fencing_token"].as_u64().unwrap()).collect();
    assert!(holders.len() > 1, "both leaders sent orders: {holders:?}");
}

/// Guards against a stream that is not forwarded, loses events, or looks complete although it was aborted.
#[test]
fn a_stream_is_forwarded_and_a_broken_one_never_looks_complete() {
    let d = Deployment::start(3, 1, &document(1, 2000));
    let engines = engines(&d, 1);
    let send = |id: &str| {
        let headers = [("X-Attempt-Id", id), ("X-Deadline-Ms", "4000"), ("X-Model", MODEL)];
        client::call(&d.gateway_address(0), "POST", "/say/a", &headers, "")
    };
    d.wait_until("the engine is known", || send("warm").is_some_and(|a| a.status == 200));
    let complete = send("whole").unwrap();
    for event in 1..=EVENTS {
        assert!(complete.body.contains(&format!("whole event {event}\n")), "{}", complete.body);
    }
    let end = "\r\n0\r\n\r\n";
    assert!(complete.body.ends_with(end), "{:?}", complete.body);
    engines[0].behaviour.break_after.store(4, Ordering::Relaxed);
    let broken = send("broken").unwrap();
    assert!(broken.body.contains("broken event 4\n"), "{}", broken.body);
    assert!(!broken.body.ends_with(end), "an aborted stream ends with its connection");
}
