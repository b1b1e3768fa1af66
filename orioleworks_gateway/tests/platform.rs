//! Tests of complete deployments with stand-ins that speak the platform's protocol.

mod support;

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use nix::sys::signal::Signal;
use support::{
    client,
    deployment::Deployment,
    routes::{self, MODEL},
    upstream::{EVENT_GAP, EVENTS, Upstream, text_of},
};

fn document(version: u64, timeout_ms: u64) -> String {
    routes::document(version, timeout_ms).to_string()
}

fn engines(d: &Deployment, count: usize) -> Vec<Upstream> {
    let start = |i| Upstream::start(&format!("e-{i}"), "engines", Some(MODEL), d.controls());
    (0..count).map(start).collect()
}

fn submission(items: &[String], min_version: u64) -> String {
    let item = |id: &String| {
        serde_json::json!({
            "id": id, "path": format!("/batch/{id}"), "body": STANDARD.encode(format!("body of {id}")),
            "headers": {"X-Model": MODEL, "X-Token-Count": "100,900", "X-Length-Hint": "500"},
            "tokens": 1000, "group": "g1",
        })
    };
    let items: Vec<serde_json::Value> = items.iter().map(item).collect();
    serde_json::json!({"step": 1, "model": MODEL, "min_version": min_version, "group_count": 1, "items": items})
        .to_string()
}

fn ids(prefix: &str, count: usize) -> Vec<String> {
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
        let Some(answer) = client::call(&d.gateway(gateway), "GET", &path, &headers, "") else {
            continue;
        };
        if answer.status != 200 {
            assert_eq!(answer.status, 503, "a batch that exists: {}", answer.body);
            thread::sleep(Duration::from_millis(50));
            continue;
        }
        for result in answer.json()["results"].as_array().cloned().unwrap_or_default() {
            results.insert(results.len() as u64, result);
        }
    }
    results
}

fn submit(d: &Deployment, gateway: usize, id: &str, items: &[String], min_version: u64) {
    let body = submission(items, min_version);
    d.until("the batch is accepted", || {
        d.ask(gateway, "POST", &format!("/batch/{id}"), id, &body).is_some_and(|a| a.status == 202)
    });
}

fn check(results: &BTreeMap<u64, serde_json::Value>, items: &[String]) {
    let mut listed: Vec<&str> = results.values().filter_map(|r| r["id"].as_str()).collect();
    listed.sort_unstable();
    let mut expected: Vec<&str> = items.iter().map(String::as_str).collect();
    expected.sort_unstable();
    assert_eq!(listed, expected, "each item is listed once");
    for result in results.values() {
        let id = result["id"].as_str().unwrap();
        assert_eq!(result["state"], "completed", "{result}");
        assert_eq!(result["event_data"].as_str().unwrap(), text_of(id));
    }
}

/// Guards against a lookup that waits until its deadline because its upstream is silent.
#[test]
fn a_lookup_is_answered_in_time_although_one_upstream_is_silent() {
    let d = Deployment::start(3, 2, &document(1, 2000));
    let silent = Upstream::start("s-0", "sheets", None, d.controls());
    let sound = Upstream::start("s-1", "sheets", None, d.controls());
    silent.behaviour.silent.store(true, std::sync::atomic::Ordering::Relaxed);
    d.until("both upstreams were tried", || {
        for n in 0..4 {
            let id = format!("warm-{}-{n}", silent.all_runs());
            d.ask(n % 2, "GET", "/lookup/a", &id, "");
        }
        silent.all_runs() > 0 && sound.all_runs() > 0
    });
    for n in 0..20 {
        let id = format!("lookup-{n}");
        let started = Instant::now();
        let answer = d.ask(n % 2, "GET", "/lookup/a", &id, "").expect("an answer");
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, format!("answer to {id}").as_str())
        );
        assert!(started.elapsed() < Duration::from_millis(400), "took {:?}", started.elapsed());
    }
}

/// Guards against a request that runs twice, and against reporting "not run" for one that may have run.
#[test]
fn a_request_that_may_run_once_is_not_repeated_after_a_failure() {
    let d = Deployment::start(3, 1, &document(1, 600));
    let upstream = Upstream::start("s-0", "sheets", None, d.controls());
    let other = Upstream::start("s-1", "sheets", None, d.controls());
    d.until("the upstreams are known", || {
        d.ask(0, "POST", "/confirm/a", "first", "").is_some_and(|a| a.status == 200)
    });
    for silent in [&upstream, &other] {
        silent.behaviour.silent.store(true, std::sync::atomic::Ordering::Relaxed);
    }
    let answer = d.ask(0, "POST", "/confirm/a", "once", "").expect("an answer");
    assert_eq!(answer.status, 504, "an unknown outcome must be reported as such");
    assert_eq!(upstream.runs("once").len() + other.runs("once").len(), 1);
    for full in [&upstream, &other] {
        full.behaviour.silent.store(false, std::sync::atomic::Ordering::Relaxed);
        full.behaviour.refuses.store(true, std::sync::atomic::Ordering::Relaxed);
    }
    let answer = d.ask(0, "POST", "/confirm/a", "refused", "").expect("an answer");
    assert_eq!(answer.status, 503, "{}", answer.body);
    assert!(answer.head.contains("retry-after"), "{}", answer.head);
    assert_eq!(upstream.runs("refused").len() + other.runs("refused").len(), 0);
}

/// Guards against lost, duplicated or reordered results of a batch, and against refusing a repeated submission.
#[test]
fn a_batch_is_whole_and_reads_the_same_at_every_gateway() {
    let d = Deployment::start(3, 2, &document(1, 2000));
    let _engines = engines(&d, 3);
    let items = ids("item", 30);
    submit(&d, 0, "b1", &items, 1);
    submit(&d, 1, "b1", &items, 1);
    let results = read_all(&d, "b1", items.len());
    check(&results, &items);
    for gateway in 0..2 {
        let answer = d.ask(gateway, "GET", "/v1/lots/b1?after=7", "read", "").unwrap();
        let json = answer.json();
        assert_eq!(json["total"], 30);
        assert_eq!(json["next_token"], 30);
        assert_eq!(json["results"][0], results[&7]);
    }
    assert_eq!(d.ask(0, "GET", "/v1/lots/none?after=0", "read", "").unwrap().status, 404);
    assert_eq!(d.ask(0, "DELETE", "/v1/lots/b1", "end", "").unwrap().status, 200);
    assert_eq!(d.ask(1, "DELETE", "/v1/lots/b1", "end", "").unwrap().status, 200);
}

/// Guards against items that restart, or a text with a gap, when an engine aborts its stream.
#[test]
fn a_broken_stream_goes_on_after_its_last_event() {
    let d = Deployment::start(3, 1, &document(1, 2000));
    let engines = engines(&d, 2);
    for engine in &engines {
        engine.behaviour.break_after.store(4, std::sync::atomic::Ordering::Relaxed);
    }
    let items = ids("item", 4);
    submit(&d, 0, "b1", &items, 1);
    check(&read_all(&d, "b1", items.len()), &items);
    let resumed = items.iter().flat_map(|id| engines.iter().flat_map(|e| e.runs(id)));
    assert!(resumed.flatten().any(|after| after == 4), "no run resumed after event 4");
}

/// Guards against the loss of an accepted batch, a listed position or generated text when the leader crashes.
#[test]
fn a_batch_outlives_the_leader() {
    let mut d = Deployment::start(3, 2, &document(1, 2000));
    let _engines = engines(&d, 3);
    let items = ids("item", 60);
    submit(&d, 0, "b1", &items, 1);
    thread::sleep(EVENT_GAP * u32::try_from(EVENTS).unwrap() * 2);
    let before = d.ask(0, "GET", "/v1/lots/b1?after=0", "read", "").unwrap().json();
    let leader = d.leader().unwrap();
    d.stores[leader] = None;
    let results = read_all(&d, "b1", items.len());
    check(&results, &items);
    for (at, result) in before["results"].as_array().unwrap().iter().enumerate() {
        assert_eq!(*result, results[&(at as u64)], "position {at} changed");
    }
    d.start_store(leader, false);
}

/// Guards against lost batches when one store loses its disk, and another one right after the first is repaired.
#[test]
fn a_wiped_store_is_repaired_before_the_next_one_is_lost() {
    let mut d = Deployment::start(3, 1, &document(1, 2000));
    let _engines = engines(&d, 2);
    let items = ids("item", 16);
    submit(&d, 0, "b1", &items, 1);
    let results = read_all(&d, "b1", items.len());
    for lost in [0, 1] {
        d.stores[lost] = None;
        d.wipe_store(lost);
        d.start_store(lost, false);
        let name = format!("store-{lost}/");
        d.until("the store votes again", || {
            let logs = d.stores.iter().flatten().map(support::deployment::Process::log);
            let promoted = |log: String| {
                log.lines().any(|l| l.contains("step=learner_promoted") && l.contains(&name))
            };
            logs.into_iter().any(promoted)
        });
    }
    assert_eq!(read_all(&d, "b1", items.len()), results);
}

/// Guards against a stopped gateway that aborts requests or stays ready for callers.
#[test]
fn a_stopped_gateway_finishes_its_requests_and_exits() {
    let mut d = Deployment::start(3, 1, &document(1, 2000));
    let upstream = Upstream::start("s-0", "sheets", None, d.controls());
    d.until("the upstream is known", || {
        d.ask(0, "GET", "/lookup/a", "first", "").is_some_and(|a| a.status == 200)
    });
    d.gateways[0].as_ref().unwrap().signal(Signal::SIGTERM);
    thread::sleep(Duration::from_millis(300));
    assert!(!d.is_ready(0), "a stopped gateway must not count as ready");
    let answer =
        d.ask(0, "GET", "/lookup/a", "late", "").expect("new connections are still served");
    assert_eq!(answer.status, 200);
    assert!(answer.head.contains("connection: close"), "{}", answer.head);
    assert_eq!(d.gateways[0].as_mut().unwrap().wait(Duration::from_secs(8)), Some(0));
    assert_eq!(upstream.runs("late").len(), 1);
}

/// Guards against requests to an upstream that has announced that it is draining.
#[test]
fn a_leaving_upstream_gets_no_new_request() {
    let d = Deployment::start(3, 2, &document(1, 2000));
    let leaving = Upstream::start("s-0", "sheets", None, d.controls());
    let staying = Upstream::start("s-1", "sheets", None, d.controls());
    d.until("both serve", || {
        d.ask(0, "GET", "/lookup/a", &format!("w-{}", staying.all_runs()), "");
        leaving.all_runs() + staying.all_runs() > 2
    });
    leaving.behaviour.leaving.store(true, std::sync::atomic::Ordering::Relaxed);
    thread::sleep(Duration::from_millis(1000));
    let before = leaving.all_runs();
    for n in 0..20 {
        assert_eq!(d.ask(n % 2, "GET", "/lookup/a", &format!("l-{n}"), "").unwrap().status, 200);
    }
    assert_eq!(leaving.all_runs(), before);
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
    let stored = client::call(&d.control(1), "GET", "/v1/Configuration.Read", &[], "").unwrap();
    assert_eq!(stored.body, document(5, 2000));
    assert_eq!(d.put_document(&document(8, 1500)), 200);
    let started = Instant::now();
    d.until("the new document is in force at both gateways", || {
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
    d.until("the engines run", || {
        let id = format!("warm-{}", engines[0].all_runs() + engines[1].all_runs());
        submit(&d, 0, &id, &ids(&id, 1), 1);
        read_all(&d, &id, 1).len() == 1
    });
    for version in [2, 3] {
        let body = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        let named = client::call(&d.control(0), "POST", "/v1/version-put", &[], &body).unwrap();
        assert_eq!(named.status, 200);
    }
    let items = ids("new", 6);
    submit(&d, 0, "b2", &items, 3);
    let results = read_all(&d, "b2", items.len());
    check(&results, &items);
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
fn a_gateway_that_is_told_to_stop_again_and_again_ends_by_itself() {
    let mut d = Deployment::start(3, 1, &document(1, 2000));
    for _ in 0..20 {
        d.gateways[0].as_ref().unwrap().signal(Signal::SIGTERM);
        thread::sleep(Duration::from_millis(3));
    }
    assert_eq!(d.gateways[0].as_mut().unwrap().wait(Duration::from_secs(8)), Some(0));
}

/// Guards against the loss of accepted batches and documents when all processes crash at the same time.
#[test]
fn what_was_accepted_outlives_the_end_of_all_processes() {
    let mut d = Deployment::start(3, 2, &document(1, 2000));
    let _engines = engines(&d, 3);
    let items = ids("item", 40);
    submit(&d, 0, "b1", &items, 1);
    assert_eq!(d.put_document(&document(3, 1500)), 200);
    thread::sleep(EVENT_GAP * 6);
    d.stores.iter_mut().chain(&mut d.gateways).for_each(|process| *process = None);
    (0..3).for_each(|i| d.start_store(i, false));
    (0..2).for_each(|i| d.start_gateway(i));
    d.until("the gateways are ready again", || (0..2).all(|i| d.is_ready(i)));
    check(&read_all(&d, "b1", items.len()), &items);
    let stored = client::call(&d.control(0), "GET", "/v1/Configuration.Read", &[], "").unwrap();
    assert_eq!(stored.body, document(3, 1500));
}

/// Guards against orders of two holders: a leader that resumes after SIGSTOP must not send orders under its old term
/// after its successor has sent one.
#[test]
fn a_leader_that_wakes_orders_nothing_under_its_old_term() {
    let d = Deployment::start(3, 1, &document(1, 2000));
    let engines = engines(&d, 2);
    let name = |version: u64, frozen: Option<usize>| {
        let body = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        let named = |control: &String| {
            client::call(control, "POST", "/v1/version-put", &[], &body)
                .is_some_and(|a| a.status == 200)
        };
        let awake: Vec<String> =
            (0..3).filter(|i| Some(*i) != frozen).map(|i| d.control(i)).collect();
        d.until("a version is named", || awake.iter().any(named));
        d.until("an engine has it", || engines.iter().any(|e| e.version(MODEL) == version));
    };
    name(2, None);
    let frozen = d.leader().unwrap();
    d.stores[frozen].as_ref().unwrap().signal(Signal::SIGSTOP);
    d.until("another store leads", || d.leader() != Some(frozen));
    name(3, Some(frozen));
    d.stores[frozen].as_ref().unwrap().signal(Signal::SIGCONT);
    name(4, None);
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
fn a_stream_is_passed_on_and_a_broken_one_never_looks_whole() {
    let d = Deployment::start(3, 1, &document(1, 2000));
    let engines = engines(&d, 1);
    let ask = |id: &str| {
        let headers = [("X-Attempt-Id", id), ("X-Deadline-Ms", "4000"), ("X-Model", MODEL)];
        client::call(&d.gateway(0), "POST", "/say/a", &headers, "")
    };
    d.until("the engine is known", || ask("warm").is_some_and(|a| a.status == 200));
    let whole = ask("whole").unwrap();
    for event in 1..=EVENTS {
        assert!(whole.body.contains(&format!("whole event {event}\n")), "{}", whole.body);
    }
    let end = "\r\n0\r\n\r\n";
    assert!(whole.body.ends_with(end), "{:?}", whole.body);
    engines[0].behaviour.break_after.store(4, std::sync::atomic::Ordering::Relaxed);
    let broken = ask("broken").unwrap();
    assert!(broken.body.contains("broken event 4\n"), "{}", broken.body);
    assert!(!broken.body.ends_with(end), "an aborted stream ends with its connection");
}
