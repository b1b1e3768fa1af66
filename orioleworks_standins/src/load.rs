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
    client::{Answer, Client, ClientError},
    load_report::{
        CompletionCall, Content, LoadReport, Seen, check_completion, check_echo, reconcile,
    },
    service::{Ran, content_name},
};

/// Longest wait for a response.
const TIMEOUT: Duration = Duration::from_secs(15);
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
        let bad = || MixError(text.into());
        let parts: Vec<&str> = text.split(':').collect();
        let (profile, class, weight, kind) = match *parts.as_slice() {
            [profile, class, weight] => (profile, class, weight, CallKind::Plain),
            [profile, class, weight, "once"] => (profile, class, weight, CallKind::Once),
            [profile, class, weight, "engine"] => (profile, class, weight, CallKind::Engine),
            _ => return Err(bad()),
        };
        let weight: f64 = weight.parse().map_err(|_| bad())?;
        if !weight.is_finite() || weight <= 0.0 {
            return Err(bad());
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
    seen: RefCell<HashMap<String, Seen>>,
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
    generator.in_flight.idle().await;
    let mut report = generator.report.borrow().clone();
    report.latency =
        generator.latency.borrow().iter().map(|(class, h)| (class.clone(), h.into())).collect();
    let (ran, unread) = records(&generator.client, &cfg.services).await;
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
        let gap = -(1.0 - rng.random::<f64>()).ln() / cfg.rate;
        offset += Duration::from_secs_f64(gap);
        if offset >= cfg.duration {
            return;
        }
        time::sleep_until(start + offset).await;
        number += 1;
        let item = pick(&cfg.mix, rng.random::<f64>());
        let content = content(item.kind, cfg.seed, number, rng.random_range(0..1_000_000));
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
            spawn(generator, Call { due: call.due + delay, ..call.clone() });
        }
        spawn(generator, call);
    }
}

/// Body of a request; its number makes it unique within the run.
fn content(kind: CallKind, seed: u64, number: u64, lot: u32) -> String {
    let id = format!("{seed}-{number}");
    let body = match kind {
        CallKind::Engine => {
            serde_json::json!(CompletionCall { prompt: id, max_tokens: MAX_TOKENS })
        }
        CallKind::Plain | CallKind::Once => serde_json::json!({"id": id, "lot": lot}),
    };
    body.to_string()
}

fn pick(mix: &[MixItem], draw: f64) -> &MixItem {
    let total: f64 = mix.iter().map(|item| item.weight).sum();
    let mut left = draw * total;
    for item in mix {
        left -= item.weight;
        if left < 0.0 {
            return item;
        }
    }
    &mix[mix.len() - 1]
}

fn spawn(generator: &Rc<Generator>, call: Call) {
    let generator = generator.clone();
    let guard = generator.in_flight.enter();
    runtime::spawn(async move {
        time::sleep_until(call.due).await;
        let answer = generator.send(&call).await;
        generator.record(&call, answer);
        drop(guard);
    })
    .detach();
}

impl Generator {
    async fn send(&self, call: &Call) -> Result<Answer, ClientError> {
        let at = self.next_entry.replace(self.next_entry.get() + 1);
        let entry = self.entries.get(at % self.entries.len().max(1)).map_or("", String::as_str);
        let url = format!("http://{entry}{}", call.url_path);
        let mut headers = vec![("content-type", "application/json")];
        if let Some(key) = &call.key {
            headers.push(("idempotency-key", key));
        }
        self.client.send(http::Method::POST, &url, &headers, call.body.clone(), TIMEOUT).await
    }

    fn record(&self, call: &Call, answer: Result<Answer, ClientError>) {
        let mut report = self.report.borrow_mut();
        let mut seen = self.seen.borrow_mut();
        let seen = seen.entry(content_name(&call.body)).or_default();
        seen.once = call.key.is_some();
        seen.answers += 1;
        let code = match answer {
            Ok(answer) if answer.status == 200 => {
                self.record_latency(call);
                let content = match call.kind {
                    CallKind::Engine => check_completion(&call.body, &answer.body, self.seed),
                    CallKind::Plain | CallKind::Once => check_echo(&call.body, &answer.body),
                };
                record_success(&mut report, seen, content, &answer.body);
                "ok".to_owned()
            }
            Ok(answer) => match serde_json::from_slice::<ErrorBody>(&answer.body) {
                Ok(error) => {
                    seen.not_run += u32::from(error.not_run);
                    error.name
                }
                Err(_) => format!("status_{}", answer.status),
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

fn record_success(report: &mut LoadReport, seen: &mut Seen, content: Content, answer: &[u8]) {
    match content {
        Content::Whole => report.whole += 1,
        Content::Crossed => report.crossed += 1,
        Content::Broken => report.broken += 1,
        Content::Mislabelled => report.mislabelled += 1,
    }
    if seen.once {
        let first = seen.first_success.get_or_insert_with(|| answer.to_vec());
        report.repeats_differ += u64::from(first != answer);
    }
}

/// Returns the records of the services, and the number of services whose records cannot be read.
async fn records(client: &Client, services: &[String]) -> (Vec<Ran>, u64) {
    const RECORDS_TIMEOUT: Duration = Duration::from_secs(5);
    let (mut records, mut unread) = (Vec::new(), 0);
    for service in services {
        let answer = client.get(&format!("http://{service}/ran"), RECORDS_TIMEOUT).await;
        match answer.and_then(|answer| answer.json::<Ran>()) {
            Ok(ran) => records.push(ran),
            Err(_) => unread += 1,
        }
    }
    (records, unread)
}
