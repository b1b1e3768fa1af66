//! Numbers that upstreams, callers, trainers and operators state, and that no process may end by.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use serde_json::{Value, json};
use support::{
    client::{self, Response},
    deployment::Deployment,
    paths::Cut,
    routes::{self, MODEL},
    upstream::{RawResponse, Upstream, item_text},
};

/// The ends of the types in which numbers are read, and what is beyond them. A percentage taken of the second one in seconds
/// overflows.
const NUMBERS: [&str; 11] = [
    "0",
    "230584300921369396",
    "-1",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "18446744073709551615",
    "18446744073709551616",
    "1.7e308",
    "5e-324",
    "NaN",
];
/// What depends on a number in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Numbered {
    /// The response: without the number it is no response, or may not be sent for.
    Response,
    /// The text of an item, which counts only with its weight version and the IDs of its events.
    Text,
    /// Neither.
    Other,
}

/// A whole and signed response, as a stream of one event, with more header lines and more lines in its event.
fn response(headers: &str, fields: &str) -> RawResponse {
    let body = format!("{fields}data: whole\n\n");
    let len = body.len();
    let bytes = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {{id}}\r\nX-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n\
         {headers}Content-Length: {len}\r\n\r\n{body}"
    );
    RawResponse { bytes: bytes.leak(), endless: false }
}

/// Sends a request that may run more than once; the upstreams of `say` are engines.
fn ask(d: &Deployment, gateway: usize, route: &str, id: &str) -> Option<Response> {
    let headers = [("X-Attempt-Id", id), ("X-Deadline-Ms", "2000"), ("X-Model", MODEL)];
    let headers = if route == "say" { &headers[..] } else { &headers[..2] };
    client::call(&d.gateway_address(gateway), "GET", &format!("/{route}/a"), headers, "")
}

fn is_serving(d: &Deployment) -> bool {
    let served = |route| ask(d, 0, route, "served").is_some_and(|a| a.status == 200);
    served("lookup") && served("say")
}

fn set_raw(up: &Upstream, raw: RawResponse) {
    *up.behaviour.raw_response.lock().unwrap() = Some(raw);
}

fn assert_all_run(d: &Deployment, after: &str) {
    let processes = || d.stores.iter().chain(&d.gateways).flatten();
    let ended = processes().filter(|p| p.exit_code().is_some()).count();
    assert_eq!(ended, 0, "processes have ended after {after}\n{}", d.logs());
}

/// Listed results of a batch.
fn results(d: &Deployment, gateway: usize, id: &str) -> Vec<Value> {
    let response = d.send(gateway, "GET", &format!("/v1/lots/{id}?after=0"), "read", "");
    response.and_then(|r| r.json()["results"].as_array().cloned()).unwrap_or_default()
}

/// Guards against a process that ends at a number in a response, against a response that is lost although only a number about its
/// connection or its upstream cannot be used, and against a text that counts although its order or its weight version cannot be
/// read. The first gateway gets all responses through the second one.
#[rstest]
#[case::idle_time("Keep-Alive: timeout={n}\r\n", "id: 1\n", Numbered::Other)]
#[case::idle_requests("Keep-Alive: timeout=15, max={n}\r\n", "id: 1\n", Numbered::Other)]
#[case::limit("Server-Limit: {n}\r\n", "id: 1\n", Numbered::Response)]
#[case::weight_version("X-Weight-Versions: {n}\r\n", "id: 1\n", Numbered::Text)]
#[case::retry("Retry-After: {n}\r\nAge: {n}\r\n", "id: 1\nretry: {n}\n", Numbered::Other)]
#[case::event("", "id: {n}\n", Numbered::Text)]
#[case::event_version("", "x-weight-versions: {n}\nid: 1\n", Numbered::Text)]
#[case::length("Content-Length: {n}\r\n", "id: 1\n", Numbered::Response)]
fn a_number_in_a_response_ends_no_process(
    #[case] headers: &str,
    #[case] fields: &str,
    #[case] numbered: Numbered,
) {
    const ITEMS: usize = 4;
    let mut document = routes::document(1, 2000);
    document["routes"][routes::BATCH]["max_attempts"] = 50.into();
    document["routes"][routes::SCORE]["max_attempts"] = 50.into();
    let d = Deployment::start_with_paths(3, 2, &document.to_string());
    d.paths[0].set_cut(Some(Cut::Refuse));
    let start = |id: &str, service: &str| {
        let model = (service == "engines").then_some(MODEL);
        Upstream::start(id, service, model, d.control_addresses())
    };
    let (sheet, engine, _sound) =
        (start("bad-s", "sheets"), start("bad-e", "engines"), start("good-e", "engines"));
    d.wait_until("the upstreams serve", || is_serving(&d));
    for (i, number) in NUMBERS.iter().enumerate() {
        let raw = response(&headers.replace("{n}", number), &fields.replace("{n}", number));
        set_raw(&sheet, raw);
        set_raw(&engine, raw);
        let items: Vec<String> = (0..ITEMS).map(|n| format!("item-{i}-{n}")).collect();
        let (id, body) = (format!("b-{i}"), routes::submission(&items, 1, |id| id));
        d.wait_until("the batch is accepted", || {
            let accepted = d.send(1, "POST", &format!("/batch/{id}"), &id, &body);
            accepted.is_some_and(|a| a.status == 202)
        });
        for gateway in 0..2 {
            for n in 0..3 {
                let id = format!("lookup-{i}-{gateway}-{n}");
                let response = ask(&d, gateway, "lookup", &id).expect("a response");
                let whole = response.status == 200 && response.body.ends_with("data: whole\n\n");
                assert!(
                    whole || numbered == Numbered::Response,
                    "{number}: {response:?}\n{}",
                    d.logs()
                );
                ask(&d, gateway, "say", &format!("say-{i}-{gateway}-{n}"));
            }
        }
        d.wait_until("the batch completes", || results(&d, 1, &id).len() == ITEMS);
        for result in results(&d, 1, &id) {
            let item = result["id"].as_str().unwrap();
            let text = result["event_data"].as_str().unwrap();
            let counts = numbered != Numbered::Text || number.parse::<u64>().is_ok();
            let sound = text == item_text(item) || (text == "whole" && counts);
            assert!(sound, "{number}: {result}\n{}", d.logs());
        }
        assert_all_run(&d, number);
    }
    assert!(sheet.total_runs() > 0 && engine.total_runs() > 0, "they got requests");
}

/// Guards against an unusable idle time that no line names, and against a line for each response that states one.
#[test]
fn an_unusable_idle_time_is_logged_once_a_second() {
    const REQUESTS: usize = 60;
    let d = Deployment::start(3, 1, &routes::document(1, 2000).to_string());
    let sheet = Upstream::start("bad-s", "sheets", None, d.control_addresses());
    let served = |id: &str| ask(&d, 0, "lookup", id).is_some_and(|a| a.status == 200);
    d.wait_until("the upstream serves", || served("first"));
    set_raw(&sheet, response("Keep-Alive: timeout=9223372036854775807\r\n", "id: 1\n"));
    let began = Instant::now();
    for n in 0..REQUESTS {
        assert!(served(&format!("lookup-{n}")), "{}", d.logs());
    }
    let log = d.gateways[0].as_ref().unwrap().log();
    let lines: Vec<&str> = log.lines().filter(|l| l.contains("event=header_unusable")).collect();
    let most = usize::try_from(began.elapsed().as_secs()).unwrap() + 1;
    assert!((1..=most).contains(&lines.len()), "{lines:?}");
    for pair in ["upstream=bad-s", "field=idle_time", "value=9223372036854775807"] {
        assert!(lines[0].contains(pair), "{lines:?}");
    }
}

/// Paths of all numbers in a message.
fn number_paths(message: &Value, path: &str, found: &mut Vec<String>) {
    match message {
        Value::Number(_) => found.push(path.to_owned()),
        Value::Array(all) => all
            .iter()
            .enumerate()
            .for_each(|(i, value)| number_paths(value, &format!("{path}/{i}"), found)),
        Value::Object(all) => all
            .iter()
            .for_each(|(name, value)| number_paths(value, &format!("{path}/{name}"), found)),
        _ => {}
    }
}

/// The message once for each of its numbers and each extreme number in its place, with the path of the number.
fn with_extreme_numbers(message: &Value) -> Vec<(String, Value)> {
    let mut paths = Vec::new();
    number_paths(message, "", &mut paths);
    let numbers = NUMBERS.iter().filter_map(|n| serde_json::from_str::<Value>(n).ok());
    let mut all = Vec::new();
    for number in numbers {
        for path in &paths {
            let mut changed = message.clone();
            *changed.pointer_mut(path).unwrap() = number.clone();
            all.push((format!("{number} at {path}"), changed));
        }
    }
    all
}

/// A deployment with an upstream of each service.
fn serving_deployment() -> (Deployment, [Upstream; 2]) {
    let d = Deployment::start(3, 1, &routes::document(1, 2000).to_string());
    let sheet = Upstream::start("s-0", "sheets", None, d.control_addresses());
    let engine = Upstream::start("e-0", "engines", Some(MODEL), d.control_addresses());
    d.wait_until("the upstreams serve", || is_serving(&d));
    (d, [sheet, engine])
}

/// Guards against a process that ends at a number in an announcement, a call of a trainer, a batch or the headers of a caller.
#[test]
fn a_number_in_a_call_ends_no_process() {
    let (d, _upstreams) = serving_deployment();
    let announcement = json!({
        "service": "sheets", "address": "127.0.0.1:9", "zone": "z", "version": "v1", "slots": 8, "state": "ready",
        "cold_remaining_ms": 0, "models": [{"name": "odd", "version": 1}], "sequence": 1, "born": 1,
    });
    for (i, (at, body)) in with_extreme_numbers(&announcement).iter().enumerate() {
        for store in d.control_addresses() {
            let path = format!("/v1/Instances.Heartbeat/odd-{i}");
            client::call(&store, "POST", &path, &[], &body.to_string());
            let path = format!("/v1/Instances.Deregister/odd-{i}");
            client::call(&store, "POST", &path, &[], &body.to_string());
        }
        assert_all_run(&d, at);
    }
    for (at, body) in with_extreme_numbers(&json!({"model": "odd", "version": 2})) {
        for store in d.control_addresses() {
            client::call(&store, "POST", "/v1/version-put", &[], &body.to_string());
        }
        assert_all_run(&d, &at);
    }
    let items = ["x".to_owned(), "y".to_owned()];
    let submission: Value = serde_json::from_str(&routes::submission(&items, 1, |_| "g")).unwrap();
    for (i, (at, body)) in with_extreme_numbers(&submission).iter().enumerate() {
        let id = format!("odd-{i}");
        d.send(0, "POST", &format!("/batch/{id}"), &id, &body.to_string());
        for number in NUMBERS {
            let path = format!("/v1/lots/{id}?after={number}");
            client::call(&d.gateway_address(0), "GET", &path, &[("X-Wait-Ms", "1")], "");
        }
        d.send(0, "DELETE", &format!("/v1/lots/{id}"), &id, "");
        assert_all_run(&d, at);
    }
    for number in NUMBERS {
        let mut counted = submission.clone();
        counted["items"][0]["headers"] =
            json!({"X-Model": MODEL, "X-Token-Count": number, "X-Length-Hint": number});
        let id = format!("counted-{number}");
        d.send(0, "POST", &format!("/batch/{id}"), &id, &counted.to_string());
        for name in ["X-Deadline-Ms", "Last-Event-Id", "X-Token-Count", "X-Length-Hint"] {
            let headers = [("X-Attempt-Id", "odd"), (name, number), ("X-Model", MODEL)];
            for path in ["/lookup/a", "/say/a"] {
                client::call(&d.gateway_address(0), "GET", path, &headers, "");
            }
        }
        assert_all_run(&d, number);
    }
    d.wait_until("the upstreams serve", || is_serving(&d));
    assert_all_run(&d, "all calls");
}

/// Guards against a process that ends at a number in a route document, or does so at each start, because the document is in the
/// log.
#[test]
fn a_number_in_a_document_ends_no_process() {
    let (mut d, _upstreams) = serving_deployment();
    let mut sound = routes::document(1, 2000);
    // A changed version would keep all later documents from taking effect.
    sound.as_object_mut().unwrap().remove("version");
    let items = ["x".to_owned(), "y".to_owned()];
    let (mut version, mut accepted) = (1, 0);
    let restart = |d: &mut Deployment| {
        for store in 0..d.stores.len() {
            d.stores[store] = None;
            d.start_store(store, false);
        }
    };
    for (i, (at, mut document)) in with_extreme_numbers(&sound).into_iter().enumerate() {
        version += 1;
        document["version"] = version.into();
        if d.put_document(&document.to_string()) != 200 {
            continue;
        }
        // Gateways learn of a document within some milliseconds.
        thread::sleep(Duration::from_millis(10));
        let id = format!("odd-{i}");
        let body = routes::submission(&items, 1, |_| "g");
        for route in ["lookup", "say", "confirm"] {
            let headers = [("X-Attempt-Id", &*id), ("X-Deadline-Ms", "200"), ("X-Model", MODEL)];
            client::call(&d.gateway_address(0), "GET", &format!("/{route}/a"), &headers, "");
        }
        d.send(0, "POST", &format!("/batch/{id}"), &id, &body);
        assert_all_run(&d, &at);
        // Refused documents are not in the log, and do not count.
        accepted += 1;
        if accepted % 20 == 0 {
            restart(&mut d);
            d.wait_until("a document can be stored", || {
                d.put_document(&document.to_string()) == 200
            });
            assert_all_run(&d, &at);
        }
    }
    assert!(accepted >= 20, "{accepted} documents were accepted");
    // Every accepted document is in the log now.
    restart(&mut d);
    sound["version"] = (version + 1).into();
    d.wait_until("a document is stored", || d.put_document(&sound.to_string()) == 200);
    d.wait_until("the upstreams serve", || is_serving(&d));
    assert_all_run(&d, "all documents");
}
