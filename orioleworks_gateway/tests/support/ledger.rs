//! Load of callers, trainers and operators, and a record of the guarantees given to them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    client::{self, Response},
    routes::{self, BATCH, CONFIRM, MODEL},
    upstream::{Upstream, item_text, signature},
};

const ITEMS: usize = 12;
/// Deadline of a lookup.
const LOOKUP_DEADLINE: Duration = Duration::from_millis(1500);
/// Time beyond the deadline within which the response must arrive; covers a busy machine.
const LOOKUP_SLACK: Duration = Duration::from_millis(700);
/// Time after a signal to a gateway, or its start, during which its responses may be late.
const DISTURBANCE_TIME: Duration = Duration::from_millis(2500);

/// Routes whose batches are retained longer than the faults of a soak test last.
pub fn document(version: u64) -> String {
    let mut document = routes::document(version, 2000);
    document["routes"][CONFIRM]["timeout_ms"] = 1000.into();
    document["routes"][BATCH]["max_attempts"] = 50.into();
    document["routes"][BATCH]["retention_s"] = 110.0.into();
    document.to_string()
}

#[derive(Default)]
struct Batch {
    id: String,
    items: Vec<String>,
    min_version: u64,
    /// First result read at each position.
    results: BTreeMap<u64, serde_json::Value>,
    done: bool,
}

/// Record of requests, responses and violated guarantees; runs the load until [`Self::finish`].
pub struct Ledger {
    gateways: Vec<String>,
    controls: Vec<String>,
    last_disturbance: Vec<Mutex<Instant>>,
    stopped: AtomicBool,
    violations: Mutex<Vec<String>>,
    single_runs: Mutex<Vec<(String, Option<u16>)>>,
    batches: Mutex<Vec<Batch>>,
    published_version: AtomicU64,
    stored_version: AtomicU64,
    lookups: AtomicU64,
    tasks: Mutex<Vec<thread::JoinHandle<()>>>,
}

impl Ledger {
    /// Starts callers, a trainer, and an operator.
    pub fn start(seed: u64, gateways: Vec<String>, controls: Vec<String>) -> Arc<Self> {
        let ledger = Arc::new(Self {
            last_disturbance: gateways.iter().map(|_| Mutex::new(Instant::now())).collect(),
            gateways,
            controls,
            stopped: AtomicBool::default(),
            violations: Mutex::default(),
            single_runs: Mutex::default(),
            batches: Mutex::default(),
            published_version: AtomicU64::new(1),
            stored_version: AtomicU64::new(1),
            lookups: AtomicU64::default(),
            tasks: Mutex::default(),
        });
        let tasks: [fn(&Self, &mut StdRng); 5] = [
            Self::look_up,
            Self::confirm,
            Self::submit_batch,
            Self::read_random_batch,
            Self::update_document,
        ];
        for (i, task) in tasks.into_iter().enumerate() {
            let working = ledger.clone();
            let mut rng = StdRng::seed_from_u64(seed * 100 + i as u64);
            let handle = thread::spawn(move || {
                while !working.stopped.load(Ordering::Relaxed) {
                    task(&working, &mut rng);
                }
            });
            ledger.tasks.lock().unwrap().push(handle);
        }
        ledger
    }

    /// Records that a gateway gets a signal or is started.
    pub fn record_disturbance(&self, gateway: usize) {
        *self.last_disturbance[gateway].lock().unwrap() = Instant::now();
    }

    pub fn violation(&self, description: String) {
        eprintln!("violation: {description}");
        self.violations.lock().unwrap().push(description);
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().unwrap().clone()
    }

    /// Number of accepted batches, and version of the newest acknowledged document.
    pub fn accepted(&self) -> (usize, u64) {
        (self.batches.lock().unwrap().len(), self.stored_version.load(Ordering::Relaxed))
    }

    fn send(
        &self,
        gateway: usize,
        method: &str,
        path: &str,
        id: &str,
        body: &str,
    ) -> Option<Response> {
        let ms = LOOKUP_DEADLINE.as_millis().to_string();
        let headers = [("X-Attempt-Id", id), ("X-Deadline-Ms", &*ms)];
        client::call(&self.gateways[gateway], method, path, &headers, body)
    }

    fn look_up(&self, rng: &mut StdRng) {
        let gateway = rng.random_range(0..self.gateways.len());
        let id = format!("l-{:016x}", rng.random::<u64>());
        let started = Instant::now();
        let response = self.send(gateway, "GET", "/lookup/a", &id, "");
        let undisturbed_since = *self.last_disturbance[gateway].lock().unwrap() + DISTURBANCE_TIME;
        if let Some(response) = response {
            let took = started.elapsed();
            if took > LOOKUP_DEADLINE + LOOKUP_SLACK && started > undisturbed_since {
                self.violation(format!("lookup {id} took {took:?}, status {}", response.status));
            }
            if response.status == 200 {
                self.lookups.fetch_add(1, Ordering::Relaxed);
                if response.body != format!("answer to {id}") {
                    self.violation(format!("lookup {id} got {}", response.body));
                }
            }
        }
        thread::sleep(Duration::from_millis(25));
    }

    fn confirm(&self, rng: &mut StdRng) {
        let gateway = rng.random_range(0..self.gateways.len());
        let id = format!("c-{:016x}", rng.random::<u64>());
        let response = self.send(gateway, "POST", "/confirm/a", &id, "");
        self.single_runs.lock().unwrap().push((id, response.map(|a| a.status)));
        thread::sleep(Duration::from_millis(40));
    }

    /// Submits a batch until it is accepted.
    fn submit_batch(&self, rng: &mut StdRng) {
        let id = format!("b-{:016x}", rng.random::<u64>());
        let items: Vec<String> = (0..ITEMS).map(|i| format!("{id}-{i}")).collect();
        let min_version = self.published_version.load(Ordering::Relaxed).saturating_sub(1).max(1);
        let body = submission(&items, min_version);
        while !self.stopped.load(Ordering::Relaxed) {
            let gateway = rng.random_range(0..self.gateways.len());
            let accepted = self.send(gateway, "POST", "/batch/step", &id, &body);
            if accepted.is_some_and(|a| a.status == 202) {
                let batch = Batch { id, items, min_version, ..Batch::default() };
                self.batches.lock().unwrap().push(batch);
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
        thread::sleep(Duration::from_millis(700));
        if rng.random_bool(0.5) {
            self.publish_version(rng);
        }
    }

    fn publish_version(&self, rng: &mut StdRng) {
        let version = self.published_version.load(Ordering::Relaxed) + 1;
        let body = format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}");
        while !self.stopped.load(Ordering::Relaxed) {
            let control = &self.controls[rng.random_range(0..self.controls.len())];
            let accepted = client::call(control, "POST", "/v1/version-put", &[], &body);
            if accepted.is_some_and(|a| a.status == 200) {
                self.published_version.store(version, Ordering::Relaxed);
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Reads a batch from a position that may already have been read.
    fn read_random_batch(&self, rng: &mut StdRng) {
        let chosen = {
            let batches = self.batches.lock().unwrap();
            if batches.is_empty() { None } else { Some(rng.random_range(0..batches.len())) }
        };
        if let Some(index) = chosen {
            let gateway = rng.random_range(0..self.gateways.len());
            let known = self.batches.lock().unwrap()[index].results.len() as u64;
            let after = if rng.random_bool(0.3) { 0 } else { known };
            self.read(index, gateway, after);
        }
        thread::sleep(Duration::from_millis(20));
    }

    fn read(&self, index: usize, gateway: usize, after: u64) {
        let id = self.batches.lock().unwrap()[index].id.clone();
        let path = format!("/v1/lots/{id}?after={after}");
        let headers = [("X-Wait-Ms", "100")];
        let Some(response) = client::call(&self.gateways[gateway], "GET", &path, &headers, "")
        else {
            return;
        };
        if matches!(response.status, 404 | 410) {
            self.violation(format!("accepted batch {id}: status {}", response.status));
        }
        if response.status != 200 {
            return;
        }
        let json = response.json();
        let mut batches = self.batches.lock().unwrap();
        let batch = &mut batches[index];
        let results = json["results"].as_array().cloned().unwrap_or_default();
        for (position, result) in (after..).zip(results) {
            let first = batch.results.entry(position).or_insert_with(|| result.clone());
            if *first != result {
                self.violation(format!("batch {id}, position {position}: {first}, then {result}"));
            }
        }
        batch.done = batch.results.len() == batch.items.len();
    }

    /// Stores the next document and checks that a read does not return one older than the newest acknowledged.
    fn update_document(&self, rng: &mut StdRng) {
        let control = |rng: &mut StdRng| &self.controls[rng.random_range(0..self.controls.len())];
        let version = self.stored_version.load(Ordering::Relaxed) + 1;
        let path = "/v1/Configuration.Replace";
        let stored = client::call(control(rng), "POST", path, &[], &document(version));
        if stored.is_some_and(|a| a.status == 200) {
            self.stored_version.store(version, Ordering::Relaxed);
        }
        let acknowledged = self.stored_version.load(Ordering::Relaxed);
        let read = client::call(control(rng), "GET", "/v1/Configuration.Read", &[], "");
        if let Some(response) = read.filter(|a| a.status == 200) {
            let read = response.json()["version"].as_u64().unwrap_or(0);
            if read < acknowledged {
                self.violation(format!("document {read} was read after {acknowledged}"));
            }
        }
        thread::sleep(Duration::from_millis(300));
    }

    /// Ends the load and checks all guarantees.
    pub fn finish(&self, time: Duration, upstreams: &[Upstream]) {
        self.stopped.store(true, Ordering::Relaxed);
        // Batches that are accepted while the load ends must be complete as well.
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap());
        if tasks.into_iter().any(|task| task.join().is_err()) {
            self.violation("a load thread panicked".into());
        }
        let until = Instant::now() + time;
        loop {
            let open: Vec<usize> = {
                let batches = self.batches.lock().unwrap();
                (0..batches.len()).filter(|index| !batches[*index].done).collect()
            };
            if open.is_empty() || Instant::now() >= until {
                break;
            }
            for index in open {
                let known = self.batches.lock().unwrap()[index].results.len() as u64;
                self.read(index, index % self.gateways.len(), known);
            }
        }
        // Reads each batch again from the start, at the other gateway.
        let count = self.batches.lock().unwrap().len();
        (0..count).for_each(|index| self.read(index, (index + 1) % self.gateways.len(), 0));
        self.check_batches(upstreams);
        self.check_single_runs(upstreams);
        let lookups = self.lookups.load(Ordering::Relaxed);
        if lookups == 0 || count == 0 {
            self.violation(format!("{lookups} lookups were answered, {count} batches accepted"));
        }
        let single_runs = self.single_runs.lock().unwrap().len();
        eprintln!("checked: {lookups} lookups, {single_runs} single runs, {count} batches");
    }

    fn check_batches(&self, upstreams: &[Upstream]) {
        for batch in self.batches.lock().unwrap().iter() {
            let id = &batch.id;
            if !batch.done {
                self.violation(format!("batch {id}: {} results", batch.results.len()));
            }
            let mut seen = BTreeSet::new();
            for result in batch.results.values() {
                let item = result["id"].as_str().unwrap_or_default().to_owned();
                if !batch.items.contains(&item) || !seen.insert(item.clone()) {
                    self.violation(format!(
                        "batch {id}: {item} belongs to another batch or is listed twice"
                    ));
                }
                if result["event_data"].as_str() != Some(&item_text(&item)) {
                    self.violation(format!("batch {id}: {result}"));
                }
                let score = result["score"].as_str().map(str::to_owned);
                let scored = is_scored(&item).then(|| signature(&routes::reward_call_id(&item)));
                if score != scored {
                    self.violation(format!("batch {id}: {item} has the score {score:?}"));
                }
                let versions: BTreeSet<u64> = result["versions"]
                    .as_array()
                    .map(|all| all.iter().filter_map(serde_json::Value::as_u64).collect())
                    .unwrap_or_default();
                let generated: BTreeSet<u64> =
                    upstreams.iter().flat_map(|up| up.generated_versions(&item)).collect();
                let old = versions.iter().any(|v| *v < batch.min_version);
                if versions.is_empty() || old || !versions.is_subset(&generated) {
                    self.violation(format!(
                        "batch {id}, at least version {}: {item} has {versions:?}, made under {generated:?}",
                        batch.min_version
                    ));
                }
            }
        }
    }

    /// Checks that a non-idempotent request ran at most once, and that one refused as not run did not run.
    fn check_single_runs(&self, upstreams: &[Upstream]) {
        for (id, status) in self.single_runs.lock().unwrap().iter() {
            let runs: usize = upstreams.iter().map(|up| up.runs(id).len()).sum();
            let allowed = match status {
                Some(200 | 500) => runs == 1,
                Some(502 | 504) | None => runs <= 1,
                Some(_) => runs == 0,
            };
            if !allowed {
                self.violation(format!("request {id} with status {status:?} ran {runs} times"));
            }
        }
    }
}

/// Whether an item has a reward call; every second one does.
fn is_scored(item: &str) -> bool {
    item.ends_with(['1', '3', '5', '7', '9'])
}

fn submission(items: &[String], min_version: u64) -> String {
    let mut submission = routes::scored_submission(items);
    submission["min_version"] = min_version.into();
    for item in submission["items"].as_array_mut().unwrap() {
        item["group"] = "g1".into();
        if !is_scored(item["id"].as_str().unwrap()) {
            item.as_object_mut().unwrap().remove("scorer");
        }
    }
    submission.to_string()
}
