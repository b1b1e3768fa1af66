//! Steps of the runs that this entry owns: open, reopen, close and expiry.
//!
//! See `docs/design.md`, section 10. Control assigns a new epoch to every open, also to one by the same entry, so that
//! a trainer never takes a batch of an earlier open.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use compio::{runtime, time};
use fail::fail_point;
use orioleworks_daemon::{clock, control::ControlClient, event, http, shutdown::Shutdown};
use orioleworks_proto::{codes::ResultCode, inner};

use crate::{
    configuration::Configuration,
    delivery,
    runs_dispatch::{self, Deps},
    runs_hedge::Budget,
    runs_messages::{Batch, FetchBatch, OpenStep, Opened, RunError},
    runs_step::{self, Step, Steps},
};

/// Largest number of open steps.
pub const MAX_STEPS: usize = 64;
/// A step is closed after this time without a request from its trainer.
pub const STEP_EXPIRY: Duration = Duration::from_secs(600);
/// Longest wait for control to confirm an open.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for the status of one control replica.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two checks for expired steps.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which a draining owner asks control whether its runs were reopened at other entries.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay in milliseconds after which a trainer may repeat a refused request.
const RETRY_AFTER_MS: u32 = 500;
/// Longest name of a run in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Identity of this entry, as reported to control and trainers.
#[derive(Clone, Debug)]
pub struct OwnIdentity {
    /// Name of the entry.
    pub name: Rc<str>,
    /// Number that increases with every start of the process.
    pub incarnation: u64,
    /// Address of its HTTP interface.
    pub http_address: Rc<str>,
}

/// Runs of this entry; clones share them.
#[derive(Clone)]
pub struct Runs {
    shared: Rc<Shared>,
}

struct Shared {
    own: OwnIdentity,
    control: ControlClient,
    configuration: Configuration,
    deps: Deps,
    shutdown: Shutdown,
    steps: RefCell<Steps>,
    budgets: RefCell<HashMap<Rc<str>, Budget>>,
    next_order_number: Cell<u64>,
}

impl Runs {
    /// Creates the state without any runs.
    pub fn new(
        own: OwnIdentity,
        control: ControlClient,
        configuration: Configuration,
        deps: Deps,
        shutdown: Shutdown,
    ) -> Self {
        let (steps, budgets, next_order_number) = Default::default();
        let shared = Shared {
            own,
            control,
            configuration,
            deps,
            shutdown,
            steps,
            budgets,
            next_order_number,
        };
        Self { shared: Rc::new(shared) }
    }

    /// Handles `POST /v1/runs/{run}/steps`.
    pub async fn handle_open(&self, run: &str, body: &Bytes) -> http::Response {
        to_response(match parse_body(body) {
            Ok(req) => self.open(run, req).await,
            Err(e) => Err(e),
        })
    }

    /// Handles `POST /v1/runs/{run}/batches`.
    pub async fn handle_fetch(&self, run: &str, body: &Bytes) -> http::Response {
        let response = to_response(match parse_body(body) {
            Ok(req) => self.fetch(run, req).await,
            Err(e) => Err(e),
        });
        #[cfg(feature = "failpoints")]
        runtime::spawn(async {
            // The server writes the response after this handler has returned it.
            time::sleep(Duration::from_millis(50)).await;
            fail_point!("delivery.after_send");
        })
        .detach();
        response
    }

    /// Opens or reopens a step and starts its missing slots.
    ///
    /// # Errors
    ///
    /// Returns why the step was not opened; no slot is started in this case.
    pub async fn open(&self, run: &str, req: OpenStep) -> Result<Opened, RunError> {
        let shared = &self.shared;
        if shared.shutdown.draining() {
            let detail = "open the step at another entry";
            return Err(RunError::retry(ResultCode::ShuttingDown, detail, RETRY_AFTER_MS));
        }
        if run.is_empty() || run.len() > MAX_NAME_BYTES || !run.is_ascii() {
            let detail = format!("the name of a run has 1 to {MAX_NAME_BYTES} ASCII bytes");
            return Err(RunError::new(ResultCode::BadRequest, detail));
        }
        runs_step::validate(&req)?;
        let profile = shared
            .configuration
            .profile(&req.profile)
            .ok_or_else(|| RunError::new(ResultCode::UnknownProfile, req.profile.as_str()))?;
        self.check_step_limit(run)?;
        let epoch = self.acquire_run(run).await?;
        fail_point!("runs.after_open");
        self.check_epoch(run, epoch, req.last_epoch)?;
        // Other steps may have been opened while control processed the request.
        self.check_step_limit(run)?;
        let name: Rc<str> = run.into();
        let budget = shared.budgets.borrow_mut().entry(name.clone()).or_default().clone();
        let drain = shared.shutdown.drain.clone();
        let step = Rc::new(Step::new(name.clone(), epoch, profile, &req, budget, drain));
        let missing = step.undelivered_slots();
        let replaced = shared.steps.borrow_mut().insert(name, step.clone());
        if let Some(old) = replaced {
            step.copy_finished(&old);
            cancel_step(&old);
        }
        event!(info, "step_opened", run = run, step = req.step, epoch = epoch, missing = missing);
        runtime::spawn(runs_dispatch::run_missing_slots(shared.deps.clone(), step)).detach();
        Ok(Opened { epoch, owner: shared.own.http_address.to_string(), missing })
    }

    /// Returns the batch that a trainer asks for.
    ///
    /// # Errors
    ///
    /// Returns why there is no batch, with the owner's address if another entry owns the run.
    pub async fn fetch(&self, run: &str, req: FetchBatch) -> Result<Batch, RunError> {
        let step = self.shared.steps.borrow().get(run).cloned();
        let Some(step) = step else { return Err(self.unknown_step_error(run).await) };
        if step.epoch < req.epoch {
            // The trainer has seen a later open than this entry.
            return Err(self.unknown_step_error(run).await);
        }
        if step.epoch == req.epoch && step.step != req.step {
            let detail = format!("step {} of the run is open", step.step);
            return Err(RunError::new(ResultCode::UnknownStep, detail));
        }
        let batch = delivery::fetch(&step, &req).await?;
        if batch.complete && batch.samples.is_empty() {
            close_step(&step);
        }
        Ok(batch)
    }

    /// Periodically removes steps that have expired or were reopened at other entries, until the process stops.
    pub async fn run_expiry_loop(&self) {
        while !self.shared.shutdown.stop.is_cancelled() {
            time::sleep(EXPIRY_CHECK_INTERVAL).await;
            self.expire_before(clock::since_boot().saturating_sub(STEP_EXPIRY));
            if self.open_steps() > 0 {
                self.remove_reopened_steps().await;
            }
        }
    }

    /// Removes steps whose trainer sent its last request before `time`, a time since boot that includes suspension.
    pub fn expire_before(&self, time: Duration) {
        let old = |step: &Rc<Step>| step.state.borrow().last_request < time;
        let expired: Vec<Rc<Step>> =
            self.shared.steps.borrow().values().filter(|step| old(step)).cloned().collect();
        for step in expired {
            event!(warn, "step_expired", run = step.run, step = step.step, epoch = step.epoch);
            self.remove_step(&step);
        }
    }

    /// Number of steps that are not closed.
    pub fn open_steps(&self) -> usize {
        let steps = self.shared.steps.borrow();
        steps.values().filter(|step| !step.state.borrow().closed).count()
    }

    /// Waits during a drain until every step is closed or reopened at another entry, or the process stops.
    pub async fn wait_until_idle(&self) {
        while self.open_steps() > 0 && !self.shared.shutdown.stop.is_cancelled() {
            self.remove_reopened_steps().await;
            time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }

    /// Removes steps whose runs have a later owner according to control.
    async fn remove_reopened_steps(&self) {
        for record in self.fetch_run_records().await.unwrap_or_default() {
            let step = self.shared.steps.borrow().get(record.run.as_str()).cloned();
            let own = record.owner == *self.shared.own.name;
            if let Some(step) = step.filter(|step| !own && record.epoch > step.epoch) {
                event!(info, "step_reopened_elsewhere", run = step.run, owner = record.owner);
                self.remove_step(&step);
            }
        }
    }

    fn remove_step(&self, step: &Rc<Step>) {
        let mut steps = self.shared.steps.borrow_mut();
        if steps.get(&step.run).is_some_and(|known| Rc::ptr_eq(known, step)) {
            steps.remove(&step.run);
            self.shared.budgets.borrow_mut().remove(&step.run);
        }
        drop(steps);
        cancel_step(step);
    }

    fn check_step_limit(&self, run: &str) -> Result<(), RunError> {
        let known = self.shared.steps.borrow().get(run).is_some();
        if known || self.open_steps() < MAX_STEPS {
            return Ok(());
        }
        let detail = format!("{MAX_STEPS} steps are open at this entry");
        Err(RunError::retry(ResultCode::Overloaded, detail, RETRY_AFTER_MS))
    }

    /// Makes this entry the owner of a run; every call returns a new epoch.
    async fn acquire_run(&self, run: &str) -> Result<u64, RunError> {
        let own = &self.shared.own;
        let number = self.shared.next_order_number.replace(self.shared.next_order_number.get() + 1);
        let order_id = format!("open-{}-{}-{number}", own.name, own.incarnation);
        let open = inner::OpenRun {
            run: run.into(),
            owner: own.name.to_string(),
            owner_address: own.http_address.to_string(),
            owner_incarnation: own.incarnation,
        };
        let kind = Some(inner::command::Kind::OpenRun(open));
        let command = inner::Command { expected_revision: None, kind };
        match self.shared.control.propose(order_id, command, OPEN_TIMEOUT).await {
            Ok(reply) => match ResultCode::from_number(reply.code) {
                Some(ResultCode::Ok) => Ok(reply.epoch),
                code => {
                    let code = code.unwrap_or(ResultCode::NoQuorum);
                    Err(RunError::new(code, reply.message))
                }
            },
            Err(e) => Err(RunError::retry(e.code(), e.to_string(), RETRY_AFTER_MS)),
        }
    }

    /// Refuses an open whose epoch is not higher than every known epoch of the run.
    fn check_epoch(&self, run: &str, epoch: u64, last_epoch: u64) -> Result<(), RunError> {
        let known = self.shared.steps.borrow().get(run).map_or(0, |step| step.epoch);
        let last = known.max(last_epoch);
        if epoch > last {
            return Ok(());
        }
        let detail = format!("the open got epoch {epoch}, but epoch {last} was given before");
        Err(RunError::new(ResultCode::StaleEpoch, detail))
    }

    /// Error for a run without a usable step at this entry, with the owner's address if it is another entry.
    async fn unknown_step_error(&self, run: &str) -> RunError {
        match self.fetch_run_records().await {
            None => RunError::retry(ResultCode::NoQuorum, "the owner is unknown", RETRY_AFTER_MS),
            Some(records) => match records.into_iter().find(|record| record.run == run) {
                Some(record) if record.owner != *self.shared.own.name => {
                    RunError::not_owner(record.owner_address)
                }
                _ => RunError::new(ResultCode::UnknownStep, "open the step again"),
            },
        }
    }

    /// Owners of the runs, from the first control replica that responds.
    async fn fetch_run_records(&self) -> Option<Vec<inner::RunRecord>> {
        let control = &self.shared.control;
        for replica in 0..control.replicas().len() {
            if let Ok(status) = control.status(replica, false, STATUS_TIMEOUT).await {
                return Some(status.runs);
            }
        }
        None
    }
}

/// Closes a step whose slots are all acknowledged. It stays in the map, so that a repeat of the last request gets a
/// response.
fn close_step(step: &Step) {
    let mut state = step.state.borrow_mut();
    let already = std::mem::replace(&mut state.closed, true);
    // Frees the prompts; the slots stay, because a repeated request needs them to see that the step is complete.
    state.groups = Vec::new();
    drop(state);
    if !already {
        metrics::histogram!("orioleworks_step_duration_seconds")
            .record(step.opened.elapsed().as_secs_f64());
        event!(info, "step_closed", run = step.run, step = step.step, epoch = step.epoch);
        cancel_step(step);
    }
}

/// Cancels the running slots of a step and wakes the requests that wait for it.
fn cancel_step(step: &Step) {
    step.token.cancel();
    step.signal.notify();
}

fn parse_body<T: serde::de::DeserializeOwned>(body: &Bytes) -> Result<T, RunError> {
    serde_json::from_slice(body).map_err(|e| RunError::new(ResultCode::BadRequest, e.to_string()))
}

fn to_response(result: Result<impl serde::Serialize, RunError>) -> http::Response {
    match result {
        Ok(body) => http::json(200, &body),
        Err(e) => e.into_response(),
    }
}
