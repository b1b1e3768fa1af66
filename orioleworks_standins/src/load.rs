//! Open-loop load generator: requests are sent at random times, independent of the responses.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use compio::{runtime, time};
use displaydoc::Display;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use orioleworks_daemon::{clock, http::ErrorBody, shutdown::InFlight};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    client::{Client, ClientError, CompleteResponse},
    load_report::{
        CallerView, CompletionCall, Content, LoadReport, check_completion, check_echo, reconcile,
    },
    service::{RunRecords, content_digest},
};

/// Longest wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest delay of a repeat after its request, in milliseconds.
const REPEAT_DELAY_MS: u64 = 300;

/// Largest number of tokens of a completion.
const MAX_TOKENS: u64 = 32;

/// One profile in the mix.
#[derive(Clone, Debug, PartialEq)]
pub struct MixItem {
    /// Profile.
    pub profile: String,
    /// Class under which the latency is reported.
    pub class: String,
    /// Weight in the mix.
    pub weight: f64,
    /// Kind of the requests.
    pub kind: CallKind,
}

/// Kind of the requests of a profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Idempotent request to a plain service.
    Plain,
    /// Request with an idempotency key; a plain service may run it at most once.
    Once,
    /// Completion by an engine.
    Engine,
}

/// a mix item is `profile:class:weight`, optionally with `:once` or `:engine` after it, not `{0}`
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct MixError(String);

impl std::error::Error for MixError {}

impl std::str::FromStr for MixItem {
    type Err = MixError;

    fn from_str(text: &str) -> Result<Self, MixError> {
        let invalid = || MixError(text.into());
        let parts: Vec<&str> = text.split(':').collect();
        let (profile, class, weight, kind) = match *parts.as_slice() {
            [profile, class, weight] => (profile, class, weight, CallKind::Plain),
            [profile, class, weight, "once"] => (profile, class, weight, CallKind::Once),
            [profile, class, weight, "engine"] => (profile, class, weight, CallKind::Engine),
            _ => return Err(invalid()),
        };
        let weight: f64 = weight.parse().map_err(|_| invalid())?;
        if !weight.is_finite() || weight <= 0.0 {
            return Err(invalid());
        }
        Ok(Self { profile: profile.into(), class: class.into(), weight, kind })
    }
}

/// Targets, mix and rate of the load.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Entries, IP and port; requests go to them in round-robin order.
    pub entries: Vec<String>,
    /// Plain services; at the end, their records of runs are compared with the responses.
    pub services: Vec<String>,
    /// Mix of profiles.
    pub mix: Vec<MixItem>,
    /// Requests per second.
    pub rate: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// Share of requests with a key that are repeated with the same key.
    pub repeats: f64,
    /// Seed of the load and of the texts that the engines generate.
    pub seed: u64,
}

#[derive(Clone)]
struct Call {
    url_path: String,
    class: String,
    kind: CallKind,
    key: Option<String>,
    body: Bytes,
    due: Instant,
}

struct Generator {
    seed: u64,
    client: Client,
    entries: Vec<String>,
    next_entry: Cell<usize>,
    report: RefCell<LoadReport>,
    seen: RefCell<HashMap<String, CallerView>>,
    latency: RefCell<IndexMap<String, Histogram<u64>>>,
    in_flight: InFlight,
}

/// Runs the load, waits for the responses and compares them with the records of the services.
///
/// # Errors
///
/// Returns why the HTTP client cannot be set up.
pub async fn run(cfg: &LoadConfig) -> Result<LoadReport, ClientError> {
    let generator = Rc::new(Generator {
        seed: cfg.seed,
        client: Client::new()?,
        entries: cfg.entries.clone(),
        next_entry: Cell::new(0),
        report: RefCell::default(),
        seen: RefCell::default(),
        latency: RefCell::default(),
        in_flight: InFlight::default(),
    });
    generate(cfg, &generator).await;
    generator.in_flight.wait_idle().await;
    let mut report = generator.report.borrow().clone();
    report.latency =
        generator.latency.borrow().iter().map(|(class, h)| (class.clone(), h.into())).collect();
    let (ran, unread) = read_records(&generator.client, &cfg.services).await;
    report.unread_services = unread;
    reconcile(&mut report, &generator.seen.borrow(), &ran);
    Ok(report)
}

async fn generate(cfg: &LoadConfig, generator: &Rc<Generator>) {
    let mut rng = StdRng::seed_from_u64(cfg.seed);
    let start = Instant::now();
    let mut offset = Duration::ZERO;
    let mut number = 0_u64;
    while cfg.rate > 0.0 && !cfg.mix.is_empty() {
        let interval = -(1.0 - rng.random::<f64>()).ln() / cfg.rate;
        offset += Duration::from_secs_f64(interval);
        if offset >= cfg.duration {
            return;
        }
        time::sleep_until(start + offset).await;
        number += 1;
        let item = pick_item(&cfg.mix, rng.random::<f64>());
        let content = request_body(item.kind, cfg.seed, number, rng.random_range(0..1_000_000));
        let once = item.kind == CallKind::Once;
        let key = once.then(|| format!("{}-{:016x}", clock::unix_ms(), rng.random::<u64>()));
        let call = Call {
            url_path: format!("/v1/call/{}", item.profile),
            class: item.class.clone(),
            key,
            kind: item.kind,
            body: content.into(),
            due: start + offset,
        };
        generator.report.borrow_mut().requests += 1;
        if call.key.is_some() && rng.random_bool(cfg.repeats.clamp(0.0, 1.0)) {
            let delay = Duration::from_millis(rng.random_range(0..REPEAT_DELAY_MS));
            generator.report.borrow_mut().repeats += 1;
            spawn_call(generator, Call { due: call.due + delay, ..call.clone() });
        }
        spawn_call(generator, call);
    }
}

/// Body of a request; its number makes it unique within the run.
fn request_body(kind: CallKind, seed: u64, number: u64, lot: u32) -> String {
    let id = format!("{seed}-{number}");
    let body = match kind {
        CallKind::Engine => {
            serde_json::json!(CompletionCall { prompt: id, max_tokens: MAX_TOKENS })
        }
        CallKind::Plain | CallKind::Once => serde_json::json!({"id": id, "lot": lot}),
    };
    body.to_string()
}

fn pick_item(mix: &[MixItem], draw: f64) -> &MixItem {
    let total: f64 = mix.iter().map(|item| item.weight).sum();
    let mut remaining = draw * total;
    for item in mix {
        remaining -= item.weight;
        if remaining < 0.0 {
            return item;
        }
    }
    &mix[mix.len() - 1]
}

fn spawn_call(generator: &Rc<Generator>, call: Call) {
    let generator = generator.clone();
    let guard = generator.in_flight.enter();
    runtime::spawn(async move {
        time::sleep_until(call.due).await;
        let response = generator.send(&call).await;
        generator.record(&call, response);
        drop(guard);
    })
    .detach();
}

impl Generator {
    async fn send(&self, call: &Call) -> Result<CompleteResponse, ClientError> {
        let index = self.next_entry.replace(self.next_entry.get() + 1);
        let entry = self.entries.get(index % self.entries.len().max(1)).map_or("", String::as_str);
        let url = format!("http://{entry}{}", call.url_path);
        let mut headers = vec![("content-type", "application/json")];
        if let Some(key) = &call.key {
            headers.push(("idempotency-key", key));
        }
        self.client
            .send(http::Method::POST, &url, &headers, call.body.clone(), RESPONSE_TIMEOUT)
            .await
    }

    fn record(&self, call: &Call, response: Result<CompleteResponse, ClientError>) {
        let mut report = self.report.borrow_mut();
        let mut seen = self.seen.borrow_mut();
        let seen = seen.entry(content_digest(&call.body)).or_default();
        seen.once = call.key.is_some();
        seen.responses += 1;
        let code = match response {
            Ok(response) if response.status == 200 => {
                self.record_latency(call);
                let content = match call.kind {
                    CallKind::Engine => check_completion(&call.body, &response.body, self.seed),
                    CallKind::Plain | CallKind::Once => check_echo(&call.body, &response.body),
                };
                record_success(&mut report, seen, content, &response.body);
                "ok".to_owned()
            }
            Ok(response) => match serde_json::from_slice::<ErrorBody>(&response.body) {
                Ok(error) => {
                    seen.not_run += u32::from(error.not_run);
                    error.name
                }
                Err(_) => format!("status_{}", response.status),
            },
            Err(ClientError::Timeout) => {
                report.unanswered += 1;
                "timeout".to_owned()
            }
            Err(_) => {
                report.unanswered += 1;
                "connection".to_owned()
            }
        };
        *report.codes.entry(code).or_default() += 1;
    }

    fn record_latency(&self, call: &Call) {
        const MAX_US: u64 = 600_000_000;
        let us = u64::try_from(call.due.elapsed().as_micros()).unwrap_or(MAX_US);
        let mut latency = self.latency.borrow_mut();
        if !latency.contains_key(&call.class)
            && let Ok(histogram) = Histogram::new_with_bounds(1, MAX_US, 3)
        {
            latency.insert(call.class.clone(), histogram);
        }
        if let Some(histogram) = latency.get_mut(&call.class) {
            histogram.saturating_record(us.clamp(1, MAX_US));
        }
    }
}

fn record_success(
    report: &mut LoadReport,
    seen: &mut CallerView,
    content: Content,
    response: &[u8],
) {
    match content {
        Content::Complete => report.whole += 1,
        Content::Crossed => report.crossed += 1,
        Content::Broken => report.broken += 1,
        Content::Mislabelled => report.mislabelled += 1,
    }
    if seen.once {
        let first = seen.first_success.get_or_insert_with(|| response.to_vec());
        report.repeats_differ += u64::from(first != response);
    }
}

/// Returns the records of the services, and the number of services whose records cannot be read.
async fn read_records(client: &Client, services: &[String]) -> (Vec<RunRecords>, u64) {
    const RECORDS_TIMEOUT: Duration = Duration::from_secs(5);
    let (mut records, mut unread) = (Vec::new(), 0);
    for service in services {
        let response = client.get(&format!("http://{service}/ran"), RECORDS_TIMEOUT).await;
        match response.and_then(|response| response.json::<RunRecords>()) {
            Ok(ran) => records.push(ran),
            Err(_) => unread += 1,
        }
    }
    (records, unread)
}
