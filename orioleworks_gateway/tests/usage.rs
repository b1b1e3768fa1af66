//! Usage reports of real gateways and stores to a recorder.

mod support;

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use support::{client, deployment::Deployment, routes, upstream::Upstream};

const ALPHA: &str = "first-key-of-alpha";
const BETA: &str = "key-of-beta";

/// A call as it arrived.
#[derive(Clone, Debug)]
struct Call {
    holder: String,
    token: u64,
    body: String,
}

impl Call {
    fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap()
    }

    fn window(&self) -> u64 {
        self.json()["window_number"].as_u64().unwrap()
    }
}

/// Records calls; every third one gets no response although it is executed.
#[derive(Clone, Default)]
struct Recorder {
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Recorder {
    fn start(&self) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let this = self.clone();
        // Ends with the test program.
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.respond(stream));
            }
        });
        address
    }

    fn respond(&self, mut stream: TcpStream) -> Option<()> {
        let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
        let (head, body) = loop {
            let len = stream.read(&mut buffer).ok().filter(|len| *len > 0)?;
            bytes.extend_from_slice(&buffer[..len]);
            let text = String::from_utf8(bytes.clone()).ok()?;
            let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
            let length: usize = header(head, "content-length")?.parse().ok()?;
            if body.len() >= length {
                break (head.to_owned(), body.to_owned());
            }
        };
        assert!(head.starts_with("POST /usage HTTP/1.1"), "{head}");
        let token = header(&head, "x-fencing-token")?.parse().ok()?;
        let holder = header(&head, "x-duty-holder")?;
        let mut calls = self.calls.lock().unwrap();
        calls.push(Call { holder, token, body });
        if !calls.len().is_multiple_of(3) {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok()?;
        }
        Some(())
    }

    fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap().clone()
    }

    /// Sum of all windows by tenant; panics if a window was reported with two contents.
    fn totals(&self) -> BTreeMap<String, u64> {
        let mut windows: BTreeMap<u64, String> = BTreeMap::new();
        for call in self.calls() {
            let known = windows.entry(call.window()).or_insert_with(|| call.body.clone());
            assert_eq!(*known, call.body, "two reports of one window");
        }
        let numbers: Vec<u64> = windows.keys().copied().collect();
        assert!(numbers.windows(2).all(|pair| pair[1] == pair[0] + 1), "a gap: {numbers:?}");
        let mut totals = BTreeMap::new();
        for body in windows.values() {
            let report: serde_json::Value = serde_json::from_str(body).unwrap();
            for (tenant, count) in report["counts"].as_object().unwrap() {
                *totals.entry(tenant.clone()).or_default() += count.as_u64().unwrap();
            }
        }
        totals
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
}

/// Guards against requests that are lost or counted twice when the leading store is killed, windows with two contents, and
/// tokens that fall.
#[test]
fn reports_add_up_to_the_requests_that_ran() {
    let recorder = Recorder::default();
    let address = recorder.start();
    let document = routes::document_with_tenants(1, &[ALPHA]).to_string();
    let duties = format!(
        r#""duties": {{ "address": "{address}", "enabled": ["usage_reporting", "scaling"], "calls_per_s": 50,
                        "report_window_s": 1, "usage_delay_s": 8 }},"#
    );
    let settings = (duties, r#""usage": { "window_s": 1 },"#.to_owned());
    let mut d = Deployment::start_with_settings(3, 2, &document, settings);
    let sheets =
        ["s-1", "s-2"].map(|id| Upstream::start(id, "sheets", None, d.control_addresses()));
    let mut ids: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    let mut send = |d: &Deployment, round: usize| {
        for (tenant, key, path) in [("alpha", ALPHA, "/lookup/1"), ("beta", BETA, "/confirm/1")] {
            let id = format!("{tenant}-{round}");
            let authorization = format!("Token {key}");
            let headers = [
                ("X-Attempt-Id", &*id),
                ("X-Deadline-Ms", "5000"),
                ("Authorization", &*authorization),
            ];
            client::call(&d.gateway_address(round % 2), "POST", path, &headers, "");
            ids.entry(tenant).or_default().push(id);
        }
        // A public route without a key, and a key that is not known, count for nobody.
        client::call(&d.gateway_address(0), "POST", "/confirm/1", &[("X-Attempt-Id", "free")], "");
        let wrong = [("X-Attempt-Id", "wrong"), ("Authorization", "Token wrong")];
        client::call(&d.gateway_address(0), "POST", "/lookup/1", &wrong, "");
    };
    for round in 0..30 {
        send(&d, round);
        thread::sleep(Duration::from_millis(100));
    }
    d.wait_until("windows are reported", || recorder.calls().len() > 2);
    let leader = d.leader().unwrap();
    d.stores[leader].as_ref().unwrap().signal(Signal::SIGKILL);
    d.stores[leader] = None;
    for round in 30..60 {
        send(&d, round);
        thread::sleep(Duration::from_millis(100));
    }
    d.start_store(leader, false);
    for round in 60..70 {
        send(&d, round);
    }
    // While no store confirms the keys, requests of the public route run without a tenant.
    let ran_for = |tenant: &str, id: &String| {
        let header = |sheet: &Upstream| sheet.header(id, "x-tenant");
        sheets
            .iter()
            .any(|sheet| !sheet.runs(id).is_empty() && header(sheet).as_deref() == Some(tenant))
    };
    let count = |(tenant, ids): (&&str, &Vec<String>)| {
        let ran = ids.iter().filter(|id| ran_for(tenant, id)).count() as u64;
        ((*tenant).to_owned(), ran)
    };
    let expected: BTreeMap<String, u64> = ids.iter().map(count).collect();
    assert!(expected.values().all(|count| *count > 50), "{expected:?}");
    // The last windows are closed 4.8 s after their end.
    let deadline = Instant::now() + Duration::from_secs(15);
    while recorder.totals() != expected && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(100));
    }
    // Nothing is added later.
    thread::sleep(Duration::from_secs(5));
    let decisions = d.decisions(&["event=usage", "event=duty"]);
    assert_eq!(recorder.totals(), expected, "{decisions}");
    let calls = recorder.calls();
    assert!(calls.windows(2).all(|pair| pair[0].token <= pair[1].token), "{calls:?}");
    assert!(calls.first().unwrap().token < calls.last().unwrap().token, "{calls:?}");
    for pair in calls.windows(2) {
        assert!(pair[0].token != pair[1].token || pair[0].holder == pair[1].holder, "{pair:?}");
    }
    for event in ["duty_taken", "usage_window_closed", "usage_reported", "usage_report_failed"] {
        assert!(!d.decisions(&[&format!("event={event}")]).is_empty(), "{event}");
    }
}
