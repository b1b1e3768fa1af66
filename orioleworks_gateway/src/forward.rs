//! Forwards a request to upstreams, with more than one attempt where the request may safely be repeated.
//!
//! Handles crashed, silent, slow and full upstreams. An idempotent request gets a parallel second attempt once half of
//! its latency objective has passed. A request that certainly did not run is sent to the next upstream. A failed
//! request that may have run is repeated only if it is idempotent. See `docs/platform.md`.

use std::{
    cell::OnceCell,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::runtime;
use futures_channel::mpsc;
use futures_util::{FutureExt, SinkExt, StreamExt, select};
use http::{header, request, response};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use orioleworks_daemon::{clock, event, fingerprint, http as server};
use orioleworks_fleet::pool::Exchange;
use orioleworks_platform::caller;
use orioleworks_proto::codes::ResultCode;
use orioleworks_routing::{
    crashes::{Admission, Observation},
    fleet::Upstream,
    outlier::Key,
    permits::Permit,
    routes::Route,
};
use tokio_util::sync::CancellationToken;

use crate::{
    attempt::{self, Attempt, AttemptEnd},
    callers::{Refusal, RequestContext},
    carrier::Carrier,
    crashes,
    permits::Demand,
    streams, telemetry, usage,
    view::View,
};

/// Share of the latency objective after which a second attempt starts, in percent: late enough that few healthy
/// requests get one, early enough for the second attempt to meet the objective.
const SECOND_ATTEMPT_PERCENT: u32 = 50;
/// Share of the latency objective until which a request may wait for a permit of a limited upstream, in percent. Longer
/// waits would make requests late without serving more of them.
const PERMIT_WAIT_PERCENT: u32 = 50;
/// Longest time for which a response is passed on to a caller that states no deadline.
const MAX_STREAM_TIME: Duration = Duration::from_secs(600);
/// Number of upstreams that may refuse a request before its caller gets the refusal.
const MAX_REFUSALS: usize = 4;
/// Retry advice when upstreams are full: about the duration of a few requests.
const FULL_RETRY: Duration = Duration::from_millis(100);
/// Retry advice when there is no upstream; a replica that is starting announces itself by then.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(500);
/// Interval at which a repeat of a suspect checks whether the run in progress has ended.
const RUN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Number of stream chunks buffered for a slow caller; a chunk has up to 64 KB.
const STREAM_QUEUE_CHUNKS: usize = 2;

/// A caller's request as it is sent to upstreams.
#[derive(Debug)]
pub struct Content {
    /// Host of the route.
    pub host: String,
    /// Head as received.
    pub head: request::Parts,
    /// Complete body.
    pub body: Bytes,
    /// Computed only if needed, because bodies may be large.
    fingerprint: OnceCell<Rc<str>>,
}

impl Content {
    /// Creates the content of a request.
    pub fn new(host: String, head: request::Parts, body: Bytes) -> Self {
        Self { host, head, body, fingerprint: OnceCell::new() }
    }

    /// Path and query of the request.
    pub fn path_and_query(&self) -> &str {
        self.head.uri.path_and_query().map_or("/", |p| p.as_str())
    }

    /// Fingerprint, which is the same for every attempt and every repeat of the caller.
    pub fn fingerprint(&self) -> &Rc<str> {
        self.fingerprint.get_or_init(|| {
            let method = self.head.method.as_str();
            fingerprint::of_request(&self.host, method, self.path_and_query(), &self.body)
        })
    }
}

/// Whether an attempt has started.
enum Start {
    Started,
    /// No upstream is left to try.
    NoUpstream,
    /// All that are left name limits; one may take a request after this time.
    RateLimited(Duration),
}

/// Upstream whose response is passed on.
struct EndedBy {
    upstream: Rc<Upstream>,
    key: Key,
}

struct EndedAttempt {
    upstream: Rc<Upstream>,
    key: Key,
    end: AttemptEnd,
}

/// State of a request that is being forwarded.
struct ForwardedRequest<'a> {
    view: &'a View,
    route: &'a Rc<Route>,
    service: Rc<str>,
    /// Software version that began the stream, if the request takes one up again.
    software: Option<Rc<str>>,
    content: Rc<Content>,
    context: &'a RequestContext,
    deadline: Instant,
    /// Time at which it began to be forwarded.
    started: Duration,
    tried: Vec<Key>,
    /// Attempts that ran or may have run, plus those in flight.
    runs: u32,
    in_flight: Vec<Key>,
    refusals: usize,
    /// Whether other gateways were told of a run that has not ended yet.
    runs_as_suspect: bool,
    /// Count of the request, if it is counted.
    usage: Option<Rc<usage::Request>>,
    tx: mpsc::UnboundedSender<EndedAttempt>,
    cancel: CancellationToken,
}

/// Forwards a request and returns the upstream's response.
///
/// # Errors
///
/// Returns why there is no response, and whether the request may have run.
pub async fn forward(
    view: &View,
    route: &Rc<Route>,
    content: Content,
    context: &RequestContext,
) -> Result<server::Response, Refusal> {
    let (tx, mut rx) = mpsc::unbounded();
    let cancel = CancellationToken::new();
    // This future is dropped when the caller disconnects; the guard then cancels all attempts.
    let guard = cancel.clone().drop_guard();
    let resumed = caller::resumed_stream(&content.head.headers).filter(|_| route.streaming);
    let origin = match &resumed {
        Some(stream) => Some(streams::origin(view, route, stream).await?),
        None => None,
    };
    let (service, software) = match origin {
        Some(origin) => (origin.service, Some(origin.software)),
        None => (route.pick(&mut rand::rng()).cloned().unwrap_or_default(), None),
    };
    let deadline = context.deadline_within(route.timeout);
    let mut forwarded = ForwardedRequest {
        view,
        route,
        service,
        software,
        content: Rc::new(content),
        context,
        deadline,
        started: clock::since_boot(),
        tried: Vec::new(),
        runs: 0,
        in_flight: Vec::new(),
        refusals: 0,
        runs_as_suspect: false,
        usage: view.usage.start(context.tenant.as_ref().map(|tenant| &tenant.name)),
        tx,
        cancel,
    };
    view.wait_for_upstream(&forwarded.service, context.setup_deadline()).await;
    let result = forwarded.run(&mut rx).await;
    if result.is_ok() {
        // Lets a slower parallel attempt complete, so that its connection can be reused.
        guard.disarm();
    }
    result
}

impl ForwardedRequest<'_> {
    async fn run(
        &mut self,
        rx: &mut mpsc::UnboundedReceiver<EndedAttempt>,
    ) -> Result<server::Response, Refusal> {
        self.wait_for_admission().await?;
        match self.start().await {
            Start::Started => {}
            Start::NoUpstream => {
                let software = self.software.as_deref().unwrap_or("any");
                let detail = format!("service {} software {software}", self.service);
                return Err(Refusal::new(ResultCode::NoUpstream, detail, NO_UPSTREAM_RETRY));
            }
            Start::RateLimited(wait) => return Err(self.limit_refusal(wait)),
        }
        let mut failure: Option<(response::Parts, Bytes)> = None;
        let mut held: Option<(Box<Exchange>, Bytes, EndedBy)> = None;
        let mut reason;
        loop {
            let now = Instant::now();
            let second_attempt_at =
                self.context.arrived + self.route.latency_objective * SECOND_ATTEMPT_PERCENT / 100;
            // Two attempts at the same time could crash two upstreams.
            let hedge = self.may_repeat()
                && self.in_flight.len() == 1
                && second_attempt_at < self.deadline
                && self.admission() == Admission::Unrestricted;
            let wake = if hedge { second_attempt_at } else { self.deadline };
            let mut timer =
                std::pin::pin!(compio::time::sleep(wake.saturating_duration_since(now)).fuse());
            let attempt = select! { attempt = rx.next() => attempt, () = timer => None };
            let Some(attempt) = attempt else {
                if Instant::now() >= self.deadline {
                    let refusal = self.deadline_refusal();
                    let in_flight = std::mem::take(&mut self.in_flight);
                    // The silence may have been this gateway's own fault.
                    if !self.view.path.was_lost_since(self.started) {
                        for key in in_flight {
                            self.record_crash(&key, Observation::Silence);
                        }
                    }
                    return Err(refusal);
                }
                if self.view.try_retry(&self.route.name) && self.start_unlimited(self.carrier()) {
                    event!(
                        debug,
                        "second_attempt",
                        request = self.context.id,
                        after_ms = self.context.arrived.elapsed().as_millis()
                    );
                } else {
                    // No second attempt is possible. Makes `may_repeat` false, so that the loop waits for the first
                    // attempt only.
                    self.runs = self.route.max_attempts;
                }
                continue;
            };
            self.in_flight.retain(|key| *key != attempt.key);
            match attempt.end {
                AttemptEnd::Stream(exchange) => {
                    // The task that streams the response ends the run.
                    self.runs_as_suspect = false;
                    self.log_response(&attempt.upstream.id);
                    let by = EndedBy { upstream: attempt.upstream, key: attempt.key };
                    return Ok(self.stream(*exchange, Bytes::new(), by));
                }
                AttemptEnd::Large(exchange, start) => {
                    let by =
                        EndedBy { upstream: attempt.upstream.clone(), key: attempt.key.clone() };
                    // Without a declared length the response may be one without end. If another upstream sends as much,
                    // it is only large.
                    let another = !self.in_flight.is_empty() || self.may_repeat();
                    if exchange.declared_length().is_some() || held.is_some() || !another {
                        self.log_response(&by.upstream.id);
                        return Ok(self.stream(*exchange, start, by));
                    }
                    reason = "the response has no end so far".into();
                    held = Some((exchange, start, by));
                }
                AttemptEnd::Complete(head, body) if !head.status.is_server_error() => {
                    if let Some((.., by)) = held {
                        // The whole response shows that the other one has no end.
                        let now = clock::since_boot();
                        self.view.outliers.borrow_mut().record_failure(&by.key, now);
                    }
                    self.view.crashes.record_completion(&self.content, &self.context.id);
                    self.view.record_success(&self.route.name);
                    self.log_response(&attempt.upstream.id);
                    return Ok(complete_response(head, body));
                }
                AttemptEnd::Complete(head, body) => {
                    self.view.crashes.record_completion(&self.content, &self.context.id);
                    reason = format!("status {}", head.status.as_u16());
                    failure = Some((head, body));
                }
                AttemptEnd::NotRun(why) => {
                    self.runs -= 1;
                    self.refusals += 1;
                    reason = why;
                }
                AttemptEnd::Unknown(why) => reason = why,
                AttemptEnd::NoResponse(observation, why) => {
                    self.record_crash(&attempt.key, observation);
                    reason = why;
                }
            }
            event!(
                info,
                "attempt_failed",
                request = self.context.id,
                upstream = attempt.upstream.id,
                reason = reason,
                content = fingerprint::logged(self.content.fingerprint()),
                attempt = self.tried.len(),
                ms = self.context.arrived.elapsed().as_millis(),
            );
            if !self.in_flight.is_empty() {
                continue;
            }
            let not_run = self.runs == 0;
            if not_run && failure.is_none() && held.is_none() && self.cannot_send() {
                let detail = "neither this gateway nor another one reaches the upstreams";
                return Err(Refusal::new(ResultCode::NoUpstream, detail, NO_UPSTREAM_RETRY));
            }
            let retry = if not_run {
                self.refusals < MAX_REFUSALS
            } else {
                self.may_repeat() && self.view.try_retry(&self.route.name)
            };
            if retry && self.is_admitted_again().await {
                match self.start().await {
                    Start::Started => continue,
                    Start::RateLimited(wait) if not_run && failure.is_none() => {
                        return Err(self.limit_refusal(wait));
                    }
                    Start::NoUpstream | Start::RateLimited(_) => {}
                }
            }
            if let Some((exchange, start, by)) = held {
                self.log_response(&by.upstream.id);
                return Ok(self.stream(*exchange, start, by));
            }
            return match failure {
                Some((head, body)) => {
                    event!(
                        info,
                        "request_failed",
                        request = self.context.id,
                        route = self.route.name,
                        reason = reason,
                        attempts = self.tried.len(),
                        ms = self.context.arrived.elapsed().as_millis(),
                    );
                    Ok(complete_response(head, body))
                }
                None if not_run => {
                    Err(Refusal::new(ResultCode::RefusedByUpstream, reason, FULL_RETRY))
                }
                None => Err(Refusal::new(ResultCode::OutcomeUnknown, reason, Duration::ZERO)),
            };
        }
    }

    fn log_response(&self, upstream: &str) {
        let took = self.context.arrived.elapsed();
        telemetry::log_response(self.route, &self.context.id, upstream, self.tried.len(), took);
    }

    fn deadline_refusal(&self) -> Refusal {
        let tried: Vec<&str> = self.tried.iter().map(|(id, _)| &**id).collect();
        let detail = format!("{} in flight at {}", self.in_flight.len(), tried.join(" "));
        Refusal::new(ResultCode::DeadlineExceeded, detail, Duration::ZERO)
    }

    fn admission(&self) -> Admission {
        self.view.crashes.admission(&self.content)
    }

    /// Waits until it is known whether the request crashes upstreams, and refuses one that does.
    async fn wait_for_admission(&mut self) -> Result<(), Refusal> {
        let mut waits = false;
        loop {
            match self.admission() {
                Admission::Unrestricted => return Ok(()),
                Admission::Suspect => {
                    self.begin_run().await;
                    return Ok(());
                }
                Admission::AfterRun(until) => {
                    if !std::mem::replace(&mut waits, true) {
                        event!(
                            info,
                            "suspect_waits",
                            request = self.context.id,
                            content = fingerprint::logged(self.content.fingerprint()),
                            until_ms = until.saturating_sub(clock::since_boot()).as_millis(),
                        );
                    }
                    if Instant::now() + RUN_CHECK_INTERVAL >= self.deadline {
                        return Err(self.quarantine_refusal(until));
                    }
                    compio::time::sleep(RUN_CHECK_INTERVAL).await;
                }
                Admission::Quarantined(retry_at) => return Err(self.quarantine_refusal(retry_at)),
                Admission::NotBefore(at) => {
                    let wait = at.saturating_sub(clock::since_boot());
                    if Instant::now() + wait >= self.deadline {
                        return Err(self.quarantine_refusal(at));
                    }
                    compio::time::sleep(wait).await;
                }
            }
        }
    }

    /// Whether another attempt may start after one that failed. Waits for a run of the same suspect elsewhere, but not for
    /// the decision on its crashes.
    async fn is_admitted_again(&mut self) -> bool {
        match self.admission() {
            Admission::Unrestricted => true,
            // The run of this request goes on at another upstream.
            Admission::AfterRun(_) if self.runs_as_suspect => true,
            Admission::Suspect | Admission::AfterRun(_) => self.wait_for_admission().await.is_ok(),
            Admission::NotBefore(_) | Admission::Quarantined(_) => false,
        }
    }

    async fn begin_run(&mut self) {
        self.runs_as_suspect = true;
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        crashes::begin_run(self.view, &self.content, clock::since_boot() + remaining).await;
    }

    fn end_run(&mut self) {
        if std::mem::take(&mut self.runs_as_suspect) {
            self.view.crashes.record_run_end(&self.content);
        }
    }

    fn record_crash(&mut self, upstream: &Key, observation: Observation) {
        self.view.crashes.record(&self.content, &self.context.id, upstream, observation);
        if !self.in_flight.is_empty() {
            // A parallel attempt still runs what is a suspect now.
            self.runs_as_suspect = true;
            let remaining = self.deadline.saturating_duration_since(Instant::now());
            self.view.crashes.record_run(&self.content, clock::since_boot() + remaining);
        }
    }

    fn quarantine_refusal(&self, retry_at: Duration) -> Refusal {
        let detail = format!("content {}", fingerprint::logged(self.content.fingerprint()));
        let retry_after = retry_at.saturating_sub(clock::since_boot());
        Refusal::new(ResultCode::Quarantined, detail, retry_after)
    }

    fn may_repeat(&self) -> bool {
        self.route.idempotent && self.runs < self.route.max_attempts
    }

    /// Starts an attempt at the best upstream that has not been tried and takes a request in time.
    async fn start(&mut self) -> Start {
        let mut excluded = self.tried.clone();
        let mut next_free: Option<Duration> = None;
        let software = self.software.clone();
        let mut unrecorded: Vec<Rc<str>> = Vec::new();
        while let Some(upstream) = self.view.choose(&self.service, software.as_deref(), &excluded) {
            let key: Key = (upstream.id.clone(), upstream.incarnation);
            if self.begins_stream() {
                if unrecorded.contains(&upstream.software) {
                    excluded.push(key);
                    continue;
                }
                if !streams::may_begin(self.view, &upstream).await {
                    unrecorded.push(upstream.software.clone());
                    continue;
                }
            }
            let Some(rate) = self.view.limit(&key) else {
                self.send_to(upstream);
                return Start::Started;
            };
            let demand = Demand {
                priority: self.context.priority(self.route),
                max_wait: self.longest_permit_wait(&excluded),
            };
            match self.view.permits.acquire(self.view, &key, rate, demand).await {
                Permit::After(wait) => {
                    if !wait.is_zero() {
                        compio::time::sleep(wait).await;
                    }
                    if self.view.leaves(&key) {
                        excluded.push(key);
                        continue;
                    }
                    self.send_to(upstream);
                    return Start::Started;
                }
                Permit::Denied(wait) => {
                    next_free = Some(next_free.map_or(wait, |known| known.min(wait)));
                    excluded.push(key);
                }
            }
        }
        next_free.map_or(Start::NoUpstream, Start::RateLimited)
    }

    /// Starts a parallel attempt; it takes no permit, because limited upstreams are short of them. Returns false if no
    /// upstream without a limit is left.
    fn start_unlimited(&mut self, carrier: Carrier) -> bool {
        let software = self.software.as_deref();
        let upstream = self.view.choose_unlimited(&self.service, software, &self.tried);
        let is_recorded = |up: &Upstream| streams::is_recorded(self.view, &streams::origin_at(up));
        let upstream = upstream.filter(|up| !self.begins_stream() || is_recorded(up));
        upstream.map(|upstream| self.send_by(upstream, carrier)).is_some()
    }

    /// Whether the request begins a stream that can be taken up later.
    fn begins_stream(&self) -> bool {
        self.route.streaming && self.route.resumable && self.software.is_none()
    }

    fn longest_permit_wait(&self, excluded: &[Key]) -> Duration {
        let software = self.software.as_deref();
        if self.view.choose_unlimited(&self.service, software, excluded).is_some() {
            return Duration::ZERO;
        }
        let until = self.context.arrived + self.route.latency_objective * PERMIT_WAIT_PERCENT / 100;
        until.min(self.deadline).saturating_duration_since(Instant::now())
    }

    fn limit_refusal(&self, wait: Duration) -> Refusal {
        let detail = format!("service {}", self.service);
        Refusal::new(ResultCode::RateLimited, detail, wait)
    }

    /// The way on which a parallel attempt begins: through another gateway, if nothing was heard since this request came. The
    /// path may be lost, and a slow upstream costs only that hop.
    fn carrier(&self) -> Carrier {
        if self.view.path.heard_since(self.started) { Carrier::Direct } else { Carrier::Relay }
    }

    /// Whether this gateway has lost its path and no other one sends requests for it.
    fn cannot_send(&self) -> bool {
        let helpers = self.view.helpers.borrow();
        self.view.path.is_lost() && !helpers.any_available(clock::since_boot())
    }

    fn send_to(&mut self, upstream: Rc<Upstream>) {
        self.send_by(upstream, Carrier::Direct);
    }

    fn send_by(&mut self, upstream: Rc<Upstream>, carrier: Carrier) {
        let key: Key = (upstream.id.clone(), upstream.incarnation);
        self.tried.push(key.clone());
        self.runs += 1;
        self.in_flight.push(key.clone());
        let attempt = Attempt {
            view: self.view.clone(),
            route: self.route.name.clone(),
            streaming: self.route.streaming,
            content: self.content.clone(),
            deadline: self.deadline,
            upstream,
            key,
            carrier,
            number: self.tried.len(),
            usage: self.usage.clone(),
        };
        let (tx, cancel) = (self.tx.clone(), self.cancel.clone());
        runtime::spawn(async move {
            let (upstream, key) = (attempt.upstream.clone(), attempt.key.clone());
            let (view, usage, number) =
                (attempt.view.clone(), attempt.usage.clone(), attempt.number);
            view.outliers.borrow_mut().record_sent(&key);
            let (route, started) = (attempt.route.clone(), Instant::now());
            let mut sending = Box::pin(attempt.send().fuse());
            let mut cancelled = std::pin::pin!(cancel.cancelled().fuse());
            let end = select! { end = sending => Some(end), () = cancelled => None };
            if let Some(usage) = &usage {
                // A cancelled attempt may have run if it was sent.
                usage.record_end(number, !matches!(end, Some(AttemptEnd::NotRun(_))));
            }
            telemetry::record_attempt(&route, attempt::outcome(end.as_ref()), started.elapsed());
            match end {
                // Sending fails if the caller already has its response.
                Some(end) => drop(tx.unbounded_send(EndedAttempt { upstream, key, end })),
                None => view.outliers.borrow_mut().record_dropped(&key),
            }
        })
        .detach();
    }

    /// Streams a response that begins with `start` to the caller. An error of the upstream and the end of the caller's time
    /// abort the caller's connection.
    fn stream(&self, mut exchange: Exchange, start: Bytes, by: EndedBy) -> server::Response {
        let EndedBy { upstream, key } = by;
        let (mut tx, rx) = mpsc::channel::<Result<Frame<Bytes>, io::Error>>(STREAM_QUEUE_CHUNKS);
        let head = attempt::response_head(&exchange.head);
        let (view, route, id) = (self.view.clone(), self.route.clone(), self.context.id.clone());
        let content = self.content.clone();
        let origin = streams::origin_at(&upstream);
        let begins = self.begins_stream();
        let until = self.context.deadline.unwrap_or(self.context.arrived + MAX_STREAM_TIME);
        runtime::spawn(async move {
            if begins && !streams::record(&view, &id, origin).await {
                event!(info, "stream_cut", request = id, upstream = key.0);
                let cut = io::Error::other("no majority of the stores knows the software version");
                // Sending fails if the caller has left.
                drop(tx.send(Err(cut)).await);
                return;
            }
            let mut observation = Observation::BrokenAtStart;
            if !start.is_empty() {
                observation = Observation::BrokenMidway;
                if tx.send(Ok(Frame::data(start))).await.is_err() {
                    return;
                }
            }
            loop {
                let left = until.saturating_duration_since(Instant::now());
                let Ok(next) = compio::time::timeout(left, exchange.next()).await else {
                    event!(info, "stream_cut", request = id, upstream = key.0);
                    let cut = io::Error::other("the caller's time has passed");
                    // Sending fails if the caller has left.
                    drop(tx.send(Err(cut)).await);
                    return;
                };
                let part = match next {
                    Ok(Some(part)) => {
                        if observation == Observation::BrokenAtStart {
                            view.crashes.record_run_end(&content);
                        }
                        observation = Observation::BrokenMidway;
                        Ok(Frame::data(part))
                    }
                    Ok(None) => {
                        view.record_success(&route.name);
                        view.crashes.record_completion(&content, &id);
                        exchange.return_to_pool();
                        return;
                    }
                    Err(e) => Err(io::Error::other(e.to_string())),
                };
                let broken = part.is_err();
                if broken {
                    event!(info, "stream_broken", request = id, upstream = key.0);
                    view.outliers.borrow_mut().record_failure(&key, clock::since_boot());
                    view.crashes.record(&content, &id, &key, observation);
                }
                if tx.send(part).await.is_err() || broken {
                    return;
                }
            }
        })
        .detach();
        http::Response::from_parts(head, StreamBody::new(rx).boxed_unsync())
    }
}

impl Drop for ForwardedRequest<'_> {
    fn drop(&mut self) {
        self.end_run();
    }
}

fn complete_response(mut head: response::Parts, body: Bytes) -> server::Response {
    // The length is taken from the buffered body, because an upstream may mark the end of a response by closing the
    // connection instead of sending a length.
    head.headers.remove(header::CONTENT_LENGTH);
    let body = Full::new(body).map_err(|never| match never {});
    http::Response::from_parts(head, body.boxed_unsync())
}
