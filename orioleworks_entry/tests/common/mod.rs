//! Fakes of control and upstreams for the tests of the entry.
#![allow(dead_code, reason = "each test file uses a part of the fakes")]

pub mod control;

use std::{
    cell::RefCell,
    fs,
    future::Future,
    path::Path,
    process::{Child, Command},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use compio::{net::TcpListener, runtime, time};
use orioleworks_daemon::{clock, http, rpc, shutdown::Shutdown};
use orioleworks_entry::{app::Entry, config::Config, policies::Policies};
use orioleworks_proto::inner;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use control::FakeControl;

/// A process that is killed at the end of the test.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

impl Process {
    /// Starts the binary with the control of `env`, these limits and two free ports; returns the process and its base URL once it
    /// is ready.
    pub async fn start(
        env: &TestEnv,
        directory: &Path,
        limits: serde_json::Value,
    ) -> (Self, String) {
        let (http, inner) = (closed_address().await, closed_address().await);
        let control = env.entry.cfg.control.replicas[0].address;
        let cfg = json!({
            "instance": {"name": "entry-a2", "failure_domain": "sicilia-a"},
            "listen": {"http": http, "inner": inner},
            "control": {"replicas": [{"address": control, "failure_domain": "sicilia-a"}]},
            "limits": limits,
        });
        let file = directory.join("entry.jsonc");
        fs::write(&file, cfg.to_string()).unwrap();
        let binary = env!("CARGO_BIN_EXE_orioleworks-entry");
        let process = Self(Command::new(binary).arg("--config").arg(file).spawn().unwrap());
        let url = format!("http://{http}");
        for _ in 0..300 {
            if let Ok(ready) = env.client.get(format!("{url}/ready")).unwrap().send().await
                && ready.status() == 200
            {
                return (process, url);
            }
            time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the process was not ready after 300 checks");
    }
}

pub fn block_on<T>(f: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new().unwrap().block_on(f)
}

pub fn profile(name: &str, kind: &str) -> inner::Profile {
    inner::Profile {
        name: name.into(),
        upstream_kind: kind.into(),
        class: inner::Class::Lookup.into(),
        idempotent: true,
        deadline_ms: 5000,
        share: 1,
        ..Default::default()
    }
}

pub fn booking() -> inner::Profile {
    let class = inner::Class::Booking.into();
    inner::Profile { idempotent: false, class, ..profile("gate-slot", "booking-portal") }
}

pub fn scorer() -> inner::Profile {
    let class = inner::Class::Rollout.into();
    inner::Profile { engine: true, class, ..profile("scorer", "scorer-llm") }
}

/// How a fake upstream responds to a request.
#[derive(Clone, Debug)]
pub enum UpstreamMode {
    /// Responds with its name and the request body.
    Echo,
    /// As `Echo`, after a delay.
    Slow(Duration),
    /// Refuses with 503 and `x-not-run`.
    NotRun,
    /// As `Echo`, with the request ID of another request.
    WrongRequestId,
    /// Responds to an engine request with this event stream.
    Stream(&'static str),
    /// Stops and closes all connections without a response when the body contains this text; otherwise as `Echo`.
    CrashOn(&'static str),
}

pub struct FakeUpstream {
    pub name: &'static str,
    pub address: String,
    /// Bodies of all received requests.
    pub received: Rc<RefCell<Vec<String>>>,
    pub process: Shutdown,
    /// Cancelling it stops the announcements.
    pub announcing: CancellationToken,
}

impl FakeUpstream {
    pub fn has_crashed(&self) -> bool {
        self.process.stop.is_cancelled()
    }
}

async fn handle_request(
    name: &'static str,
    mode: UpstreamMode,
    received: Rc<RefCell<Vec<String>>>,
    process: Shutdown,
    req: http::Request,
) -> http::Response {
    let id = req.headers().get("x-request-id").cloned();
    let body = http::read_body(req.into_body(), &http::Limits::default()).await.unwrap();
    let text = String::from_utf8_lossy(&body).into_owned();
    received.borrow_mut().push(text.clone());
    let echo = || http::full_response(200, "text/plain", Bytes::from(format!("{name}:{text}")));
    let mut response = match mode {
        UpstreamMode::Echo | UpstreamMode::WrongRequestId => echo(),
        UpstreamMode::Slow(delay) => {
            time::sleep(delay).await;
            echo()
        }
        UpstreamMode::NotRun => {
            let mut response = http::full_response(503, "text/plain", "busy");
            response.headers_mut().insert("x-not-run", "true".parse().unwrap());
            response
        }
        UpstreamMode::Stream(events) => http::full_response(200, "text/event-stream", events),
        UpstreamMode::CrashOn(poison) if text.contains(poison) => {
            process.drain.cancel();
            process.stop.cancel();
            std::future::pending().await
        }
        UpstreamMode::CrashOn(_) => echo(),
    };
    let id = if matches!(mode, UpstreamMode::WrongRequestId) { "other".parse().ok() } else { id };
    if let Some(id) = id {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

/// An entry with its fake control.
pub struct TestEnv {
    pub entry: Rc<Entry>,
    pub control: FakeControl,
    pub url: String,
    pub client: cyper::Client,
    pub shutdown: Shutdown,
}

pub struct CallResponse {
    pub status: u16,
    pub body: String,
    pub headers: ::http::HeaderMap,
}

impl CallResponse {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// Name of the result code, and whether the response states that the request did not run.
    pub fn refusal(&self) -> (String, bool) {
        let json = self.json();
        (json["name"].as_str().unwrap().into(), json["not_run"].as_bool().unwrap())
    }
}

impl TestEnv {
    pub async fn start(profiles: Vec<inner::Profile>) -> Self {
        Self::start_with_data(profiles, "").await
    }

    pub async fn start_with_data(profiles: Vec<inner::Profile>, data: &str) -> Self {
        Self::start_with_policies(profiles, data, Policies::default()).await
    }

    pub async fn start_with_policies(
        profiles: Vec<inner::Profile>,
        data: &str,
        policies: Policies,
    ) -> Self {
        let control = FakeControl::default();
        let profiles = profiles.into_iter();
        let profiles =
            profiles.map(|p| inner::VersionedProfile { revision: 1, profile: Some(p) }).collect();
        *control.config.borrow_mut() =
            inner::Config { revision: 1, profiles, ..Default::default() };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let handler = {
            let control = control.clone();
            move |body| control.clone().handle(body)
        };
        runtime::spawn(rpc::serve(listener, CancellationToken::new(), handler)).detach();
        let mut text = json!({
            "instance": {"name": "entry-a1", "failure_domain": "sicilia-a"},
            "listen": {"http": "127.0.0.1:0", "inner": "127.0.0.1:0"},
            "control": {"replicas": [{"address": address, "failure_domain": "sicilia-a"}]},
            "limits": {"drain_grace_ms": 100, "body_bytes": 4096},
        });
        if !data.is_empty() {
            text["data"] = json!({"directory": data});
        }
        let cfg: Config = orioleworks_settings::parse("test", &text.to_string()).unwrap();
        let shutdown = Shutdown::default();
        let entry = Entry::bind(cfg, policies, shutdown.clone(), String::new);
        let entry = entry.await.unwrap();
        let url = format!("http://{}", entry.cfg.listen.http);
        let served = entry.clone();
        runtime::spawn(async move { served.serve().await }).detach();
        while !entry.configuration.is_ready() {
            time::sleep(Duration::from_millis(5)).await;
        }
        let client = cyper::Client::builder().no_proxy().build().unwrap();
        Self { entry, control, url, client, shutdown }
    }

    pub async fn post(&self, path: &str, headers: &[(&str, &str)], body: &str) -> CallResponse {
        post(&self.client, format!("{}{path}", self.url), headers, body).await
    }

    pub async fn call(&self, profile: &str, body: &str) -> CallResponse {
        self.post(&format!("/v1/call/{profile}"), &[], body).await
    }

    pub async fn book(&self, key: &str, body: &str) -> CallResponse {
        self.post("/v1/call/gate-slot", &[("idempotency-key", key)], body).await
    }

    /// Starts an upstream that announces itself.
    pub async fn upstream(
        &self,
        name: &'static str,
        kind: &str,
        mode: UpstreamMode,
    ) -> FakeUpstream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let process = Shutdown::default();
        let received = Rc::new(RefCell::new(Vec::new()));
        let (handler_received, handler_process) = (received.clone(), process.clone());
        let handler = move |req| {
            let (received, process) = (handler_received.clone(), handler_process.clone());
            handle_request(name, mode.clone(), received, process, req)
        };
        let limits = http::Limits::default();
        runtime::spawn(http::serve(listener, limits, process.clone(), handler)).detach();
        let announcing = self.announce(name, kind, &address, 1).await;
        FakeUpstream { name, address, received, process, announcing }
    }

    /// Announces an upstream until the token is cancelled or its address refuses connections.
    pub async fn announce(
        &self,
        name: &str,
        kind: &str,
        address: &str,
        incarnation: u64,
    ) -> CancellationToken {
        let body = json!({"name": name, "incarnation": incarnation, "kind": kind,
            "address": address, "engine": kind.ends_with("-llm"), "model": "m", "weight_version": 3, "capacity": 8});
        let (url, body) = (format!("{}/v1/announce", self.url), body.to_string());
        let response = post(&self.client, url.clone(), &[], &body).await;
        assert_eq!(response.status, 200, "{}", response.body);
        let token = CancellationToken::new();
        let (client, stopped) = (self.client.clone(), token.clone());
        let address = address.to_owned();
        runtime::spawn(async move {
            loop {
                time::sleep(Duration::from_millis(500)).await;
                let alive = compio::net::TcpStream::connect(&*address).await.is_ok();
                if stopped.is_cancelled() || !alive {
                    return;
                }
                post(&client, url.clone(), &[], &body).await;
            }
        })
        .detach();
        token
    }
}

pub async fn post(
    client: &cyper::Client,
    url: String,
    headers: &[(&str, &str)],
    body: &str,
) -> CallResponse {
    let mut request = client.post(url).unwrap();
    for (name, value) in headers {
        request = request.header(*name, *value).unwrap();
    }
    let response = request.body(body.to_owned()).send().await.unwrap();
    let (status, headers) = (response.status().as_u16(), response.headers().clone());
    CallResponse { status, headers, body: response.text().await.unwrap() }
}

/// An upstream that reads the head of a request and closes the connection without a response. Returns its address and
/// the number of requests.
pub async fn breaking_upstream() -> (String, Rc<RefCell<u32>>) {
    use compio::io::AsyncRead;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let requests = Rc::new(RefCell::new(0));
    let counted = requests.clone();
    runtime::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counted = counted.clone();
            runtime::spawn(async move {
                let compio::BufResult(read, _) = stream.read(vec![0; 4096]).await;
                if read.is_ok_and(|n| n > 0) {
                    *counted.borrow_mut() += 1;
                }
            })
            .detach();
        }
    })
    .detach();
    (address, requests)
}

/// Returns an address on which nothing listens.
pub async fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Returns an idempotency key that is issued now.
pub fn idempotency_key(random: &str) -> String {
    format!("{}-{random}", clock::unix_ms())
}
