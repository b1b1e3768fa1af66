//! Keys and tenants: whose request it is, what upstreams see, and revocations that reach every gateway in time.

mod support;

use std::{
    fs,
    os::unix::fs::PermissionsExt,
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use support::{
    client::{self, Response},
    deployment::{Deployment, REVOCATION_BOUND_MS},
    routes::{self, MODEL},
    upstream::Upstream,
};

const ALPHA: &str = "first-key-of-alpha";
const ALPHA_2: &str = "second-key-of-alpha";
const BETA: &str = "key-of-beta";

fn start() -> (Deployment, Upstream, Upstream) {
    let document = routes::document_with_tenants(1, &[ALPHA, ALPHA_2]).to_string();
    let d = Deployment::start(3, 1, &document);
    let sheet = Upstream::start("s-1", "sheets", None, d.control_addresses());
    let engine = Upstream::start("e-1", "engines", Some(MODEL), d.control_addresses());
    d.wait_until("requests of alpha are served", || {
        status(&send(&d, "POST", "/lookup/0", "warm-up", Some(ALPHA), "")) == 200
    });
    (d, sheet, engine)
}

fn send(
    d: &Deployment,
    method: &str,
    path: &str,
    id: &str,
    key: Option<&str>,
    body: &str,
) -> Option<Response> {
    send_to(&d.gateway_address(0), method, path, id, key, body)
}

/// Sends a request that claims to be of another tenant.
fn send_to(
    address: &str,
    method: &str,
    path: &str,
    id: &str,
    key: Option<&str>,
    body: &str,
) -> Option<Response> {
    let authorization = key.map(|key| format!("Token {key}"));
    let mut headers = vec![("X-Attempt-Id", id), ("X-Deadline-Ms", "5000"), ("X-Tenant", "gamma")];
    headers.extend(authorization.as_deref().map(|value| ("Authorization", value)));
    client::call(address, method, path, &headers, body)
}

fn status(response: &Option<Response>) -> u16 {
    response.as_ref().map_or(0, |response| response.status)
}

/// Guards against keys that reach an upstream or a log, tenants that callers claim, and batches that other tenants see.
#[test]
fn a_key_decides_whose_request_it_is() {
    let (d, sheet, engine) = start();
    let lookup = |id: &str, key| status(&send(&d, "POST", "/lookup/1", id, key, ""));
    assert_eq!(lookup("r-1", Some(ALPHA_2)), 200);
    assert_eq!(sheet.header("r-1", "x-tenant").as_deref(), Some("alpha"));
    assert_eq!(sheet.header("r-1", "authorization"), None);
    assert_eq!(lookup("r-2", Some("guessed")), 401);
    let refused = send(&d, "POST", "/lookup/1", "r-3", None, "").unwrap();
    assert_eq!(refused.status, 401);
    assert!(refused.head.contains("www-authenticate: token"), "{}", refused.head);
    assert_eq!(status(&send(&d, "POST", "/confirm/1", "r-4", None, "")), 200, "a public route");
    assert_eq!(sheet.header("r-4", "x-tenant"), None);
    assert_eq!(status(&send(&d, "POST", "/confirm/1", "r-5", Some(BETA), "")), 200);
    assert_eq!(sheet.header("r-5", "x-tenant").as_deref(), Some("beta"));
    assert_eq!(sheet.header("r-5", "authorization"), None);
    for id in ["r-2", "r-3"] {
        assert!(sheet.runs(id).is_empty(), "{id} ran");
    }

    let items = ["i-1".to_owned(), "i-2".to_owned()];
    let mut batch: serde_json::Value =
        serde_json::from_str(&routes::submission(&items, 1, |_| "g1")).unwrap();
    batch["items"][0]["headers"]["authorization"] = format!("Token {ALPHA}").into();
    batch["items"][0]["headers"]["X-TENANT"] = "gamma".into();
    let submit = |key| status(&send(&d, "POST", "/batch/b", "b", key, &batch.to_string()));
    assert_eq!(submit(None), 401);
    assert_eq!(submit(Some(ALPHA)), 202);
    assert_eq!(submit(Some(ALPHA_2)), 202, "the same batch again");
    assert_eq!(submit(Some(BETA)), 409, "a batch of another tenant");
    let call = |method, path: &str, key| status(&send(&d, method, path, "c", key, ""));
    for (method, path) in
        [("GET", "/v1/lots/b"), ("GET", "/v1/items/b?id=i-1"), ("DELETE", "/v1/lots/b")]
    {
        assert_eq!(call(method, path, Some(BETA)), 404, "{method} {path}");
        assert_eq!(call(method, path, Some("guessed")), 401, "{method} {path}");
        assert_eq!(call(method, path, None), 401, "{method} {path}");
    }
    // The batch outlives the key with which it was submitted.
    assert_eq!(d.put_document(&routes::document_with_tenants(2, &[ALPHA_2]).to_string()), 200);
    d.wait_until("all results are listed", || {
        let read = send(&d, "GET", "/v1/lots/b?after=0", "c", Some(ALPHA_2), "").unwrap();
        read.json()["results"].as_array().is_some_and(|results| results.len() == items.len())
    });
    for item in &items {
        assert_eq!(engine.header(item, "x-tenant").as_deref(), Some("alpha"), "{item}");
        assert_eq!(engine.header(item, "authorization"), None, "{item}");
    }
    assert_eq!(call("DELETE", "/v1/lots/b", Some(ALPHA_2)), 200);

    for file in d.log_files() {
        let log = fs::read_to_string(&file).unwrap();
        assert!([ALPHA, ALPHA_2, BETA].iter().all(|key| !log.contains(key)), "{}", file.display());
    }
    for file in fs::read_dir(d.store_data(0)).unwrap().map(Result::unwrap) {
        let holds_key = fs::read(file.path())
            .is_ok_and(|bytes| bytes.windows(BETA.len()).any(|window| window == BETA.as_bytes()));
        let mode = file.metadata().unwrap().permissions().mode();
        assert!(!holds_key || mode & 0o077 == 0, "{} has mode {mode:o}", file.path().display());
    }
}

/// Guards against a revoked key that a gateway still accepts because it was paused when the key was taken away, or because it
/// hears no store.
#[test]
fn a_revoked_key_runs_nothing_after_the_bound() {
    let (d, sheet, _engine) = start();
    let gateway = d.gateways[0].as_ref().unwrap();
    gateway.signal(Signal::SIGSTOP);
    // The store replies to the gateway's last question before the key is revoked.
    thread::sleep(Duration::from_millis(700));
    assert_eq!(d.put_document(&routes::document_with_tenants(2, &[ALPHA_2]).to_string()), 200);
    let acknowledged = Instant::now();
    let bound = Duration::from_millis(REVOCATION_BOUND_MS);
    thread::sleep(bound);
    for store in d.stores.iter().flatten() {
        store.signal(Signal::SIGSTOP);
    }
    // The connections are made while the gateway is paused, so that it finds the requests when it goes on.
    let late: Vec<_> = thread::scope(|scope| {
        let address = d.gateway_address(0);
        let send_late = move |address: String, i: usize| {
            send_to(&address, "POST", "/lookup/1", &format!("late-{i}"), Some(ALPHA), "")
        };
        let spawn = |i| {
            let address = address.clone();
            scope.spawn(move || send_late(address, i))
        };
        let sent: Vec<_> = (0..4).map(spawn).collect();
        thread::sleep(Duration::from_millis(100));
        gateway.signal(Signal::SIGCONT);
        sent.into_iter().map(|thread| status(&thread.join().unwrap())).collect()
    });
    assert!(acknowledged.elapsed() > bound);
    assert_eq!(late, [503; 4], "{}", d.logs());
    assert_eq!(status(&send(&d, "POST", "/confirm/1", "open", None, "")), 200, "a public route");
    for store in d.stores.iter().flatten() {
        store.signal(Signal::SIGCONT);
    }
    d.wait_until("the other key is served again", || {
        status(&send(&d, "POST", "/lookup/1", "again", Some(ALPHA_2), "")) == 200
    });
    assert_eq!(status(&send(&d, "POST", "/lookup/1", "late-5", Some(ALPHA), "")), 401);
    assert!((0..6).all(|i| sheet.runs(&format!("late-{i}")).is_empty()));
}
