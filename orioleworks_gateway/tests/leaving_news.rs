//! Tests of the time in which the gateways learn of an upstream that announces that it leaves, whichever store it told.

mod support;

use std::{
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rstest::rstest;
use support::{client, deployment::Deployment, routes, upstream::Upstream};

/// Longest time from the acknowledgement of an announcement until no gateway sends requests; a caller may have sent its
/// request just before it, and the platform allows 2 s.
const NEWS_LIMIT: Duration = Duration::from_millis(1500);
/// Time after which the platform sends an announcement to the next store.
const CALL_LIMIT: Duration = Duration::from_millis(1000);
/// Status of an announcement that is not taken.
const NOT_TAKEN: u16 = 503;

/// Starts an upstream that announces itself until every gateway has sent it a request, and then no more.
fn start_known_upstream(d: &Deployment) -> Upstream {
    let up = Upstream::start("sheets-0", "sheets", None, d.control_addresses());
    d.wait_until("each gateway knows the upstream", || {
        let served =
            |g| d.send(g, "GET", "/lookup/warm", "warm", "").is_some_and(|a| a.status == 200);
        (0..d.gateways.len()).all(served)
    });
    up.behaviour.announces.store(false, Ordering::Relaxed);
    // An announcement may be under way.
    thread::sleep(Duration::from_millis(200));
    up
}

/// Announces to one store that an upstream leaves. Returns the status, 0 without a response within the platform's time.
fn announce_leaving(d: &Deployment, store: usize, up: &Upstream) -> u16 {
    let heartbeat = serde_json::json!({
        "service": "sheets", "address": up.address, "zone": "zone-a", "slots": 8, "state": "draining",
        "cold_remaining_ms": 0, "models": [], "sequence": 100_000, "born": up.born(),
    });
    let path = format!("/v1/Instances.Heartbeat/{}", up.id);
    let started = Instant::now();
    let response =
        client::call(&d.control_address(store), "POST", &path, &[], &heartbeat.to_string());
    let took = started.elapsed();
    println!("the announcement took {took:?}");
    let in_time = took < CALL_LIMIT;
    response.filter(|_| in_time).map_or(0, |response| response.status)
}

/// Time until every gateway has logged that an upstream leaves; `None` if that takes far too long.
fn time_until_known(d: &Deployment, up: &Upstream) -> Option<Duration> {
    const LONGEST: Duration = Duration::from_secs(6);
    let started = Instant::now();
    let knows = |log: String| {
        log.lines().any(|l| l.contains("event=upstream_leaving") && l.contains(&up.id))
    };
    while started.elapsed() < LONGEST {
        if d.gateways.iter().flatten().all(|gateway| knows(gateway.log())) {
            return Some(started.elapsed());
        }
        thread::sleep(Duration::from_millis(5));
    }
    None
}

fn check_news(d: &Deployment, up: &Upstream) {
    let took = time_until_known(d, up);
    println!("all gateways know after {took:?}");
    assert!(took.is_some_and(|took| took < NEWS_LIMIT), "{took:?}\n{}", d.logs());
    // Gateways that have just started wait for upstreams.
    thread::sleep(Duration::from_secs(3));
    let runs = up.total_runs();
    for g in 0..d.gateways.len() {
        let response = d.send(g, "GET", "/lookup/probe", "probe", "").unwrap();
        assert_eq!(response.status, NOT_TAKEN, "{response:?}");
    }
    assert_eq!(up.total_runs(), runs, "requests reached it\n{}", d.logs());
}

/// Guards against a store whose acknowledgement is all that anyone hears of an announcement, because its replies to the other
/// stores do not arrive.
#[test]
fn an_announcement_to_a_store_whose_replies_are_held_reaches_all_gateways() {
    let d = Deployment::start_with(3, 3, &routes::document(1, 2000).to_string(), true);
    let up = start_known_upstream(&d);
    d.store_proxies[1].faults.hold_replies.store(true, Ordering::Relaxed);
    assert_eq!(announce_leaving(&d, 1, &up), 200, "{}", d.logs());
    check_news(&d, &up);
}

/// Guards against an announcement that ends with the store that acknowledged it. A fourth store does not vote.
#[rstest]
#[case::voter(3, 1)]
#[case::learner(4, 3)]
fn an_announcement_outlasts_the_store_that_acknowledged_it(
    #[case] stores: usize,
    #[case] told: usize,
) {
    let d = Deployment::start(stores, 3, &routes::document(1, 2000).to_string());
    d.wait_until("all stores are members", || {
        d.stores[told].as_ref().unwrap().log().contains("event=leader_followed")
    });
    let up = start_known_upstream(&d);
    assert_eq!(announce_leaving(&d, told, &up), 200, "{}", d.logs());
    d.stores[told].as_ref().unwrap().signal(Signal::SIGSTOP);
    check_news(&d, &up);
}

/// Guards against an announcement that is acknowledged by a store that the others do not watch, because it was retired.
#[test]
fn an_announcement_to_a_retired_store_reaches_all_gateways() {
    let d = Deployment::start(4, 3, &routes::document(1, 2000).to_string());
    let retired = (0..4).find(|i| Some(*i) != d.leader()).unwrap();
    let name = format!("store-{retired}");
    let call = |method: &str, path: &str| {
        let stores = d.control_addresses().into_iter().enumerate().filter(|(i, _)| *i != retired);
        let mut responses = stores
            .filter_map(|(_, s)| client::call(&s, method, &format!("{path}/{name}"), &[], "{}"));
        responses.find(|r| r.status == 200)
    };
    d.wait_until("the retirement begins", || call("POST", "/v1/Retire.Begin").is_some());
    d.wait_until("the retirement is complete", || {
        call("GET", "/v1/Retire.Read").is_some_and(|r| r.body.contains("completed"))
    });
    let up = start_known_upstream(&d);
    thread::sleep(Duration::from_secs(1));
    assert_eq!(announce_leaving(&d, retired, &up), 200, "{}", d.logs());
    check_news(&d, &up);
}

/// Guards against an acknowledgement by a store that cannot pass the announcement on, and against one that takes it to be
/// passed on later.
#[test]
fn an_announcement_is_taken_only_with_a_majority_of_stores() {
    let d = Deployment::start(3, 3, &routes::document(1, 2000).to_string());
    let up = start_known_upstream(&d);
    for store in [1, 2] {
        d.stores[store].as_ref().unwrap().signal(Signal::SIGSTOP);
    }
    assert_eq!(announce_leaving(&d, 0, &up), NOT_TAKEN, "{}", d.logs());
    d.stores[1].as_ref().unwrap().signal(Signal::SIGCONT);
    d.wait_until("it is taken", || announce_leaving(&d, 0, &up) == 200);
    check_news(&d, &up);
}

/// Guards against gateways that learn too late because the store that they followed does not answer any more.
#[test]
fn gateways_of_a_store_that_does_not_answer_learn_in_time() {
    let d = Deployment::start(3, 6, &routes::document(1, 2000).to_string());
    let up = start_known_upstream(&d);
    let leader = d.leader().unwrap();
    let stopped = (0..3).find(|i| *i != leader).unwrap();
    d.stores[stopped].as_ref().unwrap().signal(Signal::SIGSTOP);
    assert_eq!(announce_leaving(&d, leader, &up), 200, "{}", d.logs());
    check_news(&d, &up);
}
