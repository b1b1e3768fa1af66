//! Stand-in plain service and judge: echoes content and records what it ran.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::runtime;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use orioleworks_daemon::{
    http::{self, Limits, Request, Response},
    shutdown::{InFlight, Shutdown},
};
use orioleworks_proto::codes::ResultCode;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    announce::{self, Announcement, Membership},
    fault::FaultSwitch,
    host, judge,
};

/// Settings of a service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Unique name.
    pub name: String,
    /// Kind of upstream.
    pub kind: String,
    /// Processing time of one request.
    pub work_time: Duration,
    /// Announced number of requests that can run concurrently.
    pub capacity: u32,
    /// Entries to announce to.
    pub entries: Vec<String>,
    /// Delay of the announced load figures.
    pub lag: Duration,
    /// Whether it responds with scores instead of echoes.
    pub judge: bool,
    /// Number of requests that are processed concurrently, while further ones wait; 0 for no limit.
    pub workers: usize,
    /// Number of running requests from which on further ones are refused as not run; 0 for no limit.
    pub refuse_over: usize,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            name: "service".into(),
            kind: "sheet-app".into(),
            work_time: Duration::from_millis(5),
            capacity: 64,
            entries: Vec::new(),
            lag: Duration::from_millis(400),
            judge: false,
            workers: 0,
            refuse_over: 0,
        }
    }
}

/// One request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Header `x-request-id`.
    pub request_id: String,
    /// Header `idempotency-key`; empty when absent.
    pub idempotency_key: String,
    /// XXH3 of the body as hexadecimal digits; identifies the content independently of the headers.
    pub content: String,
}

/// Response to `GET /ran`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RunRecords {
    /// All runs in order; a request that ran twice is listed twice.
    pub runs: Vec<Run>,
    /// Requests refused as not run.
    pub refused: Vec<Run>,
    /// Requests that started more than 3 s after a stop.
    pub late_starts: u64,
}

/// Response to `POST /call`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Echo {
    /// Body of the request.
    pub echo: String,
    /// Service that ran it.
    pub served_by: String,
    /// Number of the run at this service, so that two runs have different responses.
    pub run: u64,
}

/// Digest that identifies a body in the records.
pub fn content_digest(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

/// State of a running service.
#[derive(Debug)]
pub struct Service {
    /// Settings.
    pub config: ServiceConfig,
    /// Active faults.
    pub faults: FaultSwitch,
    /// Membership state.
    pub membership: Membership,
    running: InFlight,
    ran: RefCell<RunRecords>,
    previous: RefCell<(String, Bytes)>,
    /// Time at which each worker becomes free.
    free_at: RefCell<Vec<Instant>>,
}

impl Service {
    /// New service.
    pub fn new(config: ServiceConfig, faults: FaultSwitch) -> Rc<Self> {
        let free_at = RefCell::new(vec![Instant::now(); config.workers]);
        Rc::new(Self {
            free_at,
            config,
            faults,
            membership: Membership::default(),
            running: InFlight::default(),
            ran: RefCell::default(),
            previous: RefCell::default(),
        })
    }

    /// Assigns a request to the worker that is free first; returns the time until it completes, including the wait.
    fn reserve_worker(&self, work: Duration) -> Duration {
        let now = Instant::now();
        let mut free_at = self.free_at.borrow_mut();
        let Some(earliest) = free_at.iter_mut().min() else { return work };
        *earliest = (*earliest).max(now) + work;
        earliest.saturating_duration_since(now)
    }

    fn announcement(&self, address: &str) -> Announcement {
        let running = u32::try_from(self.running.count()).unwrap_or(u32::MAX);
        Announcement {
            name: self.config.name.clone(),
            kind: self.config.kind.clone(),
            address: address.to_owned(),
            capacity: self.config.capacity,
            running: running.min(self.config.capacity),
            queued: running.saturating_sub(self.config.capacity),
            ..Announcement::default()
        }
    }
}

/// Serves and announces until the shutdown has finished.
pub async fn serve(service: Rc<Service>, listener: compio::net::TcpListener, shutdown: Shutdown) {
    let address = listener.local_addr().map(|a| a.to_string()).unwrap_or_default();
    let token = CancellationToken::new();
    let _cancel_on_drop = token.clone().drop_guard();
    let announced = service.clone();
    runtime::spawn(announce::run(
        service.config.entries.clone(),
        service.membership.clone(),
        service.faults.clone(),
        service.config.lag,
        move || announced.announcement(&address),
        token,
    ))
    .detach();
    http::serve(listener, Limits::default(), shutdown, move |req| handle(service.clone(), req))
        .await;
}

async fn handle(service: Rc<Service>, req: Request) -> Response {
    let req = match host::handle_common(req, &service.faults, &service.membership).await {
        Ok(response) => return response,
        Err(req) => req,
    };
    match (req.method().as_str(), req.uri().path()) {
        ("POST", "/call") => call(&service, req).await,
        ("GET", "/ran") => {
            let mut ran = service.ran.borrow().clone();
            ran.late_starts = service.membership.late_starts();
            http::json(200, &ran)
        }
        (_, path) => http::error(ResultCode::UnknownPath, path, 0),
    }
}

async fn call(service: &Rc<Service>, req: Request) -> Response {
    let header = |name: &str| {
        let value = req.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (request_id, idempotency_key) = (header("x-request-id"), header("idempotency-key"));
    let body = match http::read_body(req.into_body(), &Limits::default()).await {
        Ok(body) => body,
        Err(code) => return http::error(code, "", 0),
    };
    let content = content_digest(&body);
    let run = Run { request_id, idempotency_key, content };
    let limit = service.config.refuse_over;
    let full = limit > 0 && service.running.count() >= limit;
    if full || service.faults.take(|f| &mut f.refuse) {
        service.ran.borrow_mut().refused.push(run);
        return host::refused_response();
    }
    service.membership.record_start();
    service.faults.crash_if_marked(&body);
    // A run continues when its caller closes the connection, as a booking would.
    let service = service.clone();
    let task = runtime::spawn(async move { work(&service, run, body).await });
    task.await.unwrap_or_else(|_| http::error(ResultCode::OutcomeUnknown, "", 0))
}

async fn work(service: &Service, run: Run, body: Bytes) -> Response {
    let guard = service.running.enter();
    let draw = xxh3_64(&body) % 1000;
    let request_id = run.request_id.clone();
    service.ran.borrow_mut().runs.push(run);
    let number = service.ran.borrow().runs.len() as u64;
    let work = service.faults.work_time(service.config.work_time, draw);
    compio::time::sleep(service.reserve_worker(work)).await;
    service.faults.wait_while_hanging(|| false).await;
    drop(guard);
    let own = (request_id, body);
    let previous = service.previous.replace(own.clone());
    let crossed = service.faults.take(|f| &mut f.cross);
    let (request_id, body) = if crossed { previous } else { own };
    let mut response = build_response(service, &body, number);
    // Identifies the request that the response belongs to, so that an entry can detect a crossed response.
    if let Ok(value) = ::http::HeaderValue::from_str(&request_id)
        && !request_id.is_empty()
    {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}

fn build_response(service: &Service, body: &[u8], run: u64) -> Response {
    // A plain service also scores: the fields of the body show whether it is a judge request.
    if service.config.judge || serde_json::from_slice::<judge::JudgeRequest>(body).is_ok() {
        return judge_response(body);
    }
    let echo = String::from_utf8_lossy(body).into_owned();
    let reply = Echo { echo, served_by: service.config.name.clone(), run };
    if service.faults.take(|f| &mut f.cut_answers) {
        return truncated_response(&reply);
    }
    http::json(200, &reply)
}

fn judge_response(body: &[u8]) -> Response {
    match serde_json::from_slice::<judge::JudgeRequest>(body) {
        Ok(req) => {
            http::json(200, &judge::JudgeResponse { score: judge::score(&req.prompt, &req.text) })
        }
        Err(e) => http::error(ResultCode::BadRequest, &e.to_string(), 0),
    }
}

/// Response whose body is shorter than its `content-length`.
fn truncated_response(reply: &Echo) -> Response {
    let bytes = serde_json::to_vec(reply).unwrap_or_default();
    let half = Bytes::copy_from_slice(&bytes[..bytes.len() / 2]);
    let frames = stream::iter([Ok::<_, std::io::Error>(Frame::data(half))]);
    let mut response = ::http::Response::new(StreamBody::new(frames).boxed_unsync());
    response.headers_mut().insert(::http::header::CONTENT_LENGTH, bytes.len().into());
    response
}
