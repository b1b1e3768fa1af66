//! Stand-in of the infrastructure API: records the calls of duty holders, misbehaves as tests demand, and lists violations.
//!
//! See `docs/design/tenants-usage-and-bounds.md`, section 1.2.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, VecDeque},
    future,
    rc::Rc,
    time::{Duration, Instant},
};

use displaydoc::Display;
use futures_channel::oneshot;
use indexmap::IndexMap;
use orioleworks_daemon::{
    http::{self, Limits, Request, Response},
    shutdown::Shutdown,
};
use orioleworks_platform::{
    DecodeError,
    infrastructure::{self as codec, DecodedCall},
};
use orioleworks_proto::codes::ResultCode;
use serde::{Deserialize, Serialize};

/// Time over which the rate of calls is limited.
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// How the infrastructure behaves; `POST /modes` replaces all of it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Modes {
    /// Time in milliseconds from the arrival of a call to its execution.
    pub delay_ms: u64,
    /// Calls are executed and get no response.
    pub silent: bool,
    /// Number of the next calls that are executed late and get no response. Newer calls are executed before them.
    pub late_calls: u32,
    /// Time in milliseconds from the arrival of a late call to its execution.
    pub late_by_ms: u64,
    /// A call whose token is lower than one seen before gets 409 and is not accepted.
    pub checks_tokens: bool,
    /// Calls within a second from which on further ones get 429; 0 for no limit.
    pub calls_per_second: usize,
    /// Calls get no response, and are neither recorded nor executed.
    pub down: bool,
}

/// A call that arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Time of arrival in milliseconds since the stand-in was started.
    pub arrived_ms: u64,
    /// Time of execution in milliseconds since the stand-in was started; `None` until then.
    pub executed_ms: Option<u64>,
    /// Name of the holder.
    pub holder: String,
    /// Fencing token.
    pub token: u64,
    /// Number of the window.
    pub window: u64,
    /// Requests by the name of the tenant.
    pub counts: IndexMap<String, u64>,
    /// Status that the call led to, whether or not it was sent; 200 for an accepted call, `None` until it is known.
    pub status: Option<u16>,
}

/// Something that must never occur.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// two different reports of window {0} were accepted
    DifferentReports(u64),
    /// token {0} after a higher one
    FallingToken(u64),
    /// holder {0} came back within the lease after another one
    ReturningHolder(String),
    /// two holders with token {0}
    SharedToken(u64),
}

/// Violations in calls in the order of their arrival. A call for which `is_exempt` holds, because its sender was resumed or
/// reached again shortly before, is left out of the order of tokens and holders.
pub fn violations(
    calls: &[Call],
    lease: Duration,
    is_exempt: impl Fn(&Call) -> bool,
) -> Vec<Violation> {
    let mut found = Vec::new();
    let (mut reports, mut holders) = (HashMap::new(), HashMap::new());
    for call in calls {
        if call.status == Some(200)
            && *reports.entry(call.window).or_insert(&call.counts) != &call.counts
        {
            found.push(Violation::DifferentReports(call.window));
        }
        if *holders.entry(call.token).or_insert(&call.holder) != &call.holder {
            found.push(Violation::SharedToken(call.token));
        }
    }
    let ordered: Vec<&Call> = calls.iter().filter(|call| !is_exempt(call)).collect();
    for (i, call) in ordered.iter().enumerate() {
        let earlier = &ordered[..i];
        if earlier.iter().any(|other| other.token > call.token) {
            found.push(Violation::FallingToken(call.token));
        }
        let others = earlier.iter().rev().take_while(|other| other.holder != call.holder).count();
        let previous = earlier.len().checked_sub(others + 1).map(|i| earlier[i]);
        let is_within_lease = |previous: &Call| {
            Duration::from_millis(call.arrived_ms.saturating_sub(previous.arrived_ms)) <= lease
        };
        if others > 0 && previous.is_some_and(is_within_lease) {
            found.push(Violation::ReturningHolder(call.holder.clone()));
        }
    }
    found
}

/// State of a running stand-in.
#[derive(Debug)]
pub struct Infrastructure {
    modes: RefCell<Modes>,
    started: Instant,
    calls: RefCell<Vec<Call>>,
    highest_token: Cell<u64>,
    /// Arrivals within the last second that were not refused by their rate.
    admitted: RefCell<VecDeque<Instant>>,
}

impl Infrastructure {
    /// New infrastructure.
    pub fn new(modes: Modes) -> Rc<Self> {
        Rc::new(Self {
            modes: RefCell::new(modes),
            started: Instant::now(),
            calls: RefCell::default(),
            highest_token: Cell::default(),
            admitted: RefCell::default(),
        })
    }

    /// Replaces the modes. Calls that have arrived go on in the modes of their arrival.
    pub fn set_modes(&self, modes: Modes) {
        *self.modes.borrow_mut() = modes;
    }

    /// All calls in the order of their arrival.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.borrow().clone()
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn admit(&self, limit: usize) -> bool {
        let mut admitted = self.admitted.borrow_mut();
        while admitted.front().is_some_and(|arrival| arrival.elapsed() >= RATE_PERIOD) {
            admitted.pop_front();
        }
        let is_admitted = limit == 0 || admitted.len() < limit;
        if is_admitted {
            admitted.push_back(Instant::now());
        }
        is_admitted
    }

    /// Records a call and returns its index.
    fn record(&self, call: DecodedCall) -> usize {
        let DecodedCall { holder, token, usage } = call;
        let (window, counts) = (usage.window, usage.counts);
        let arrived_ms = self.now_ms();
        let mut calls = self.calls.borrow_mut();
        calls.push(Call { arrived_ms, holder, token, window, counts, ..Call::default() });
        calls.len() - 1
    }

    /// Executes a call and returns its status.
    fn execute(&self, index: usize, checks_tokens: bool) -> u16 {
        let now_ms = self.now_ms();
        let call = &mut self.calls.borrow_mut()[index];
        let highest = self.highest_token.get();
        self.highest_token.set(highest.max(call.token));
        let status = if checks_tokens && call.token < highest { 409 } else { 200 };
        (call.executed_ms, call.status) = (Some(now_ms), Some(status));
        status
    }
}

/// Serves until the shutdown has finished.
pub async fn serve(
    infrastructure: Rc<Infrastructure>,
    listener: compio::net::TcpListener,
    shutdown: Shutdown,
) {
    let handler = move |req| handle(infrastructure.clone(), req);
    http::serve(listener, Limits::default(), shutdown, handler).await;
}

async fn handle(infrastructure: Rc<Infrastructure>, req: Request) -> Response {
    let (parts, body) = req.into_parts();
    let body = match http::read_body(body, &Limits::default()).await {
        Ok(body) => body,
        Err(code) => return http::error(code, "", 0),
    };
    match (parts.method.as_str(), parts.uri.path()) {
        ("GET", "/calls") => http::json(200, &infrastructure.calls()),
        ("POST", "/modes") => match serde_json::from_slice::<Modes>(&body) {
            Ok(modes) => {
                infrastructure.set_modes(modes.clone());
                http::json(200, &modes)
            }
            Err(e) => http::error(ResultCode::BadRequest, &e.to_string(), 0),
        },
        (_, path) => match codec::decode_call(&parts.method, path, &parts.headers, &body) {
            Ok(call) => answer(infrastructure, call).await,
            Err(DecodeError::UnknownCall) => http::error(ResultCode::UnknownPath, path, 0),
            Err(e) => http::error(ResultCode::BadRequest, &e.to_string(), 0),
        },
    }
}

async fn answer(infrastructure: Rc<Infrastructure>, call: DecodedCall) -> Response {
    let modes = infrastructure.modes.borrow().clone();
    if modes.down {
        return future::pending().await;
    }
    let index = infrastructure.record(call);
    if !infrastructure.admit(modes.calls_per_second) {
        infrastructure.calls.borrow_mut()[index].status = Some(429);
        return status_response(429);
    }
    let is_late = modes.late_calls > 0;
    if is_late {
        infrastructure.modes.borrow_mut().late_calls -= 1;
    }
    let delay_ms = if is_late { modes.late_by_ms } else { modes.delay_ms };
    // A call is executed also after its caller has given up on it.
    let (tx, rx) = oneshot::channel();
    compio::runtime::spawn(async move {
        compio::time::sleep(Duration::from_millis(delay_ms)).await;
        let _ = tx.send(infrastructure.execute(index, modes.checks_tokens));
    })
    .detach();
    if is_late || modes.silent {
        return future::pending().await;
    }
    match rx.await {
        Ok(status) => status_response(status),
        Err(_) => http::error(ResultCode::OutcomeUnknown, "", 0),
    }
}

fn status_response(status: u16) -> Response {
    http::full_response(status, "application/json", "{}")
}
