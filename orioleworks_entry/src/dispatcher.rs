//! Runs requests on upstreams: waits for slots, makes attempts, retries, and determines the result code.
//!
//! See `docs/design.md`, sections 7 and 8.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::{FutureExt, future::LocalBoxFuture, select};
use orioleworks_daemon::{clock, event, memory};
use orioleworks_proto::{codes::ResultCode, inner};
use orioleworks_routing::budget::Budget;

use crate::{
    attempt::{self, Failure, Outgoing, Success},
    configuration::Configuration,
    dispatch::{Completed, Job, Refused},
    placement::Waiter,
    slots::{Grant, NoSlot, Slots},
    suspects::{self, Admission, Suspects},
    telemetry,
};

/// Largest number of attempts of one idempotent request.
const MAX_ATTEMPTS: usize = 3;
/// Retry advice for a request that has no upstream: the duration of one lease.
const NO_UPSTREAM_RETRY_MS: u32 = 2000;

/// Interval at which a waiting request is checked for quarantine.
const QUARANTINE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

type Forward = Rc<dyn Fn(Job) -> LocalBoxFuture<'static, Result<Completed, Refused>>>;

/// Runs requests; clones share the state.
#[derive(Clone)]
pub struct Dispatcher {
    configuration: Configuration,
    suspects: Suspects,
    slots: Slots,
    budgets: Rc<RefCell<HashMap<Rc<str>, Budget>>>,
    budget_settings: orioleworks_routing::budget::Settings,
    forward: Rc<RefCell<Option<Forward>>>,
    upstream_by_request: Rc<RefCell<HashMap<Rc<str>, Rc<str>>>>,
    memory: memory::Budget,
}

/// Registers the upstream of a running attempt until it is dropped.
struct RunningUpstream {
    upstream_by_request: Rc<RefCell<HashMap<Rc<str>, Rc<str>>>>,
    request_id: Rc<str>,
}

impl Drop for RunningUpstream {
    fn drop(&mut self) {
        self.upstream_by_request.borrow_mut().remove(&self.request_id);
    }
}

/// State of one request across its attempts.
struct Progress {
    tried: Vec<Rc<str>>,
    last: Option<Failure>,
    may_have_run: bool,
}

impl Dispatcher {
    /// Creates a dispatcher over these slots.
    pub fn new(
        configuration: Configuration,
        suspects: Suspects,
        slots: Slots,
        budget_settings: orioleworks_routing::budget::Settings,
        memory: memory::Budget,
    ) -> Self {
        Self {
            memory,
            configuration,
            suspects,
            slots,
            budgets: Rc::default(),
            budget_settings,
            forward: Rc::default(),
            upstream_by_request: Rc::default(),
        }
    }

    /// Sets the function that forwards a request if the failure domain has no live upstream of its kind.
    pub fn set_forward(
        &self,
        f: impl Fn(Job) -> LocalBoxFuture<'static, Result<Completed, Refused>> + 'static,
    ) {
        *self.forward.borrow_mut() = Some(Rc::new(f));
    }

    /// Load of each kind of upstream.
    pub fn loads(&self) -> Vec<inner::KindLoad> {
        self.slots.loads()
    }

    /// Number of requests of a kind that this entry may have in flight in its failure domain.
    pub fn own_share(&self, kind: &str) -> u32 {
        self.slots.own_share(kind)
    }

    /// Upstream on which a request currently runs.
    pub fn running_on(&self, request_id: &str) -> Option<Rc<str>> {
        self.upstream_by_request.borrow().get(request_id).cloned()
    }

    /// Suspects of the failure domain.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns a refusal if the request is quarantined.
    pub fn check_quarantine(&self, fingerprint: &str) -> Result<(), Refused> {
        if self.configuration.quarantined(fingerprint).is_some() {
            // The record of control replaces the local one, so that an operator can release the request.
            self.suspects.clear(fingerprint);
            return Err(refused(ResultCode::Quarantined, "", 0));
        }
        match self.suspects.admission(fingerprint) {
            Admission::Quarantined => Err(refused(ResultCode::Quarantined, "", 0)),
            _ => Ok(()),
        }
    }

    /// As [`Self::check_quarantine`], but never refuses a job whose result is owed to a trainer.
    fn check_job(&self, job: &Job, fingerprint: &str) -> Result<(), Refused> {
        if job.owed { Ok(()) } else { self.check_quarantine(fingerprint) }
    }

    /// Runs a request. The claim of a non-idempotent request must already be committed for this attempt.
    ///
    /// # Errors
    ///
    /// Returns the final refusal; its code tells whether the request may have run.
    pub async fn run(&self, job: Job) -> Result<Completed, Refused> {
        let fingerprint = suspects::fingerprint(&job.profile.name, &job.body);
        // Callers may reuse a request ID, but a response must match exactly one attempt.
        let unique: u32 = rand::random();
        let mut progress = Progress { tried: Vec::new(), last: None, may_have_run: false };
        loop {
            if let Err(quarantined) = self.check_job(&job, &fingerprint) {
                // `Quarantined` means that the request did not run, so it is not returned once the request may have
                // run.
                return if progress.may_have_run {
                    self.final_result(&job, progress)
                } else {
                    Err(quarantined)
                };
            }
            let grant = match self.wait_for_slot(&job, &fingerprint, &progress).await {
                Ok(grant) => grant,
                Err(no_slot) => return self.forward_or_refuse(job, no_slot, progress).await,
            };
            // Another entry may have quarantined a suspect while it waited for its slot.
            if self.check_job(&job, &fingerprint).is_err() {
                drop(grant);
                continue;
            }
            let attempt_id =
                format!("{}.{unique:08x}.{}", job.request_id, progress.tried.len() + 1);
            progress.tried.push(grant.target.name.clone());
            let started = Instant::now();
            let registration = self.register_upstream(&job.request_id, &grant.target.name);
            let result = self.attempt(&job, &grant, &attempt_id).await;
            drop(registration);
            let failure = match result {
                Ok(success) => {
                    self.record_success(&job, &fingerprint, &grant, started, success.units);
                    return Ok(success.completed);
                }
                Err(failure) => failure,
            };
            self.record_failure(&job, &grant, &failure, started).await;
            drop(grant);
            progress.may_have_run |= !failure.not_run();
            let retry = self.may_retry(&job, &failure, &progress);
            progress.last = Some(failure);
            if !retry {
                return self.final_result(&job, progress);
            }
        }
    }

    fn register_upstream(&self, request_id: &Rc<str>, upstream: &Rc<str>) -> RunningUpstream {
        self.upstream_by_request.borrow_mut().insert(request_id.clone(), upstream.clone());
        RunningUpstream {
            upstream_by_request: self.upstream_by_request.clone(),
            request_id: request_id.clone(),
        }
    }

    async fn wait_for_slot(
        &self,
        job: &Job,
        fingerprint: &Rc<str>,
        progress: &Progress,
    ) -> Result<Grant, WaitError> {
        let remaining = job.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(WaitError::Deadline);
        }
        let waiter = Waiter {
            fingerprint: fingerprint.clone(),
            profile: job.profile.clone(),
            prefix: job.prefix,
            lowest_version: job.lowest_version,
            avoid: job.avoid.iter().chain(&progress.tried).cloned().collect(),
            owed: job.owed,
            second_attempt: !job.avoid.is_empty(),
            tx: RefCell::default(),
        };
        let mut wait = self
            .slots
            .enqueue(waiter, clock::since_boot() + remaining)
            .map_err(WaitError::NoSlot)?;
        let mut granted = std::pin::pin!(compio::time::timeout(remaining, &mut wait.rx).fuse());
        let mut cancelled = std::pin::pin!(job.cancel.cancelled().fuse());
        let mut quarantined = std::pin::pin!(self.until_quarantined(job, fingerprint).fuse());
        select! {
            () = quarantined => Err(WaitError::Quarantined),
            granted = granted => match granted {
                Ok(Ok(grant)) => Ok(grant),
                // The queue drops requests whose deadline has passed or that have no live upstream.
                Ok(Err(_)) if job.deadline <= Instant::now() => Err(WaitError::Deadline),
                Ok(Err(_)) => Err(WaitError::NoSlot(NoSlot::NoUpstream)),
                Err(_) => Err(WaitError::Deadline),
            },
            () = cancelled => Err(WaitError::Cancelled),
        }
    }

    /// Waits until the job is quarantined, which can happen while a suspect waits for its slot.
    async fn until_quarantined(&self, job: &Job, fingerprint: &str) {
        loop {
            compio::time::sleep(QUARANTINE_CHECK_INTERVAL).await;
            if self.check_job(job, fingerprint).is_err() {
                return;
            }
        }
    }

    async fn attempt(
        &self,
        job: &Job,
        grant: &Grant,
        attempt_id: &str,
    ) -> Result<Success, Failure> {
        let outgoing = Outgoing {
            attempt_id,
            body: &job.body,
            content_type: &job.content_type,
            idempotency_key: job.idempotency_key.as_deref(),
            engine: job.profile.engine,
        };
        let remaining = job.deadline.saturating_duration_since(Instant::now());
        let run = attempt::run(&grant.client, &grant.target, outgoing, &self.memory);
        let mut run = std::pin::pin!(compio::time::timeout(remaining, run).fuse());
        let mut cancelled = std::pin::pin!(job.cancel.cancelled().fuse());
        // A request that cannot be repeated waits for its response even if the upstream is lost.
        let idempotent = job.profile.idempotent;
        let lost = async {
            grant.lost.cancelled().await;
            if !idempotent {
                std::future::pending::<()>().await;
            }
        };
        let mut lost = std::pin::pin!(lost.fuse());
        let reason = select! {
            result = run => match result {
                Ok(result) => return result,
                Err(_) => "the deadline passed",
            },
            () = lost => "the upstream was lost",
            () = cancelled => "the request was cancelled",
        };
        telemetry::abandoned(&job.profile.name);
        Err(Failure {
            facts: orioleworks_rules::claims::AttemptFacts { sent: true, ..Default::default() },
            connection_failed: false,
            response: None,
            retryable: true,
            reason: reason.into(),
        })
    }

    fn record_success(
        &self,
        job: &Job,
        fingerprint: &Rc<str>,
        grant: &Grant,
        started: Instant,
        units: u32,
    ) {
        let latency = started.elapsed();
        grant.finished(latency, units);
        self.suspects.mark_completed(fingerprint);
        if grant.isolated {
            self.suspects.clear(fingerprint);
        }
        self.with_budget(job, |budget| budget.success(clock::since_boot()));
        telemetry::attempt(&job.profile.name, "finished", latency);
    }

    async fn record_failure(&self, job: &Job, grant: &Grant, failure: &Failure, started: Instant) {
        event!(
            info,
            "attempt_failed",
            request_id = job.request_id,
            profile = job.profile.name,
            upstream = grant.target.name,
            reason = failure.reason
        );
        let result = if failure.not_run() { "not_run" } else { "unknown" };
        telemetry::attempt(&job.profile.name, result, started.elapsed());
        if failure.facts.refused_by_upstream {
            grant.record_overload();
        }
        if failure.connection_failed {
            self.slots.handle_broken_connection(grant).await;
        }
    }

    fn may_retry(&self, job: &Job, failure: &Failure, progress: &Progress) -> bool {
        // A request of which no byte was sent may be retried, even if it must run at most once.
        let safe = job.profile.idempotent || !failure.facts.sent;
        safe && failure.retryable
            && progress.tried.len() < MAX_ATTEMPTS
            && !job.cancel.is_cancelled()
            && job.deadline > Instant::now()
            && self.with_budget(job, |budget| budget.try_retry(clock::since_boot()))
    }

    fn with_budget<T>(&self, job: &Job, f: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let name = job.profile.name.as_str();
        let settings = self.budget_settings;
        f(budgets.entry(name.into()).or_insert_with(|| Budget::new(settings)))
    }

    /// Forwards or refuses a request that got no slot.
    async fn forward_or_refuse(
        &self,
        job: Job,
        error: WaitError,
        mut progress: Progress,
    ) -> Result<Completed, Refused> {
        let kind = &job.profile.upstream_kind;
        let not_run_and_unreachable = matches!(error, WaitError::NoSlot(NoSlot::NoUpstream))
            && !progress.may_have_run
            && !self.slots.has_live(kind);
        if progress.last.is_some() && !not_run_and_unreachable {
            let deadline_passed = matches!(error, WaitError::Deadline);
            // Without the last failure, `final_result` returns `DeadlineExceeded`.
            if deadline_passed && progress.may_have_run && job.profile.idempotent {
                progress.last = None;
            }
            return self.final_result(&job, progress);
        }
        match error {
            WaitError::NoSlot(NoSlot::NoUpstream) => {
                let forward = self.forward.borrow().clone().filter(|_| !job.local_only);
                match forward {
                    Some(forward) => forward(job).await,
                    None => {
                        let reason = progress.last.map(|failure| failure.reason);
                        let detail = reason.unwrap_or_default();
                        Err(refused(ResultCode::NoUpstream, &detail, NO_UPSTREAM_RETRY_MS))
                    }
                }
            }
            WaitError::Quarantined => Err(refused(ResultCode::Quarantined, "", 0)),
            WaitError::NoSlot(NoSlot::Full) => Err(refused(ResultCode::Overloaded, "", 1000)),
            WaitError::Deadline => Err(refused(ResultCode::DeadlineBeforeDispatch, "", 1000)),
            WaitError::Cancelled => {
                Err(refused(ResultCode::DeadlineBeforeDispatch, "the request was cancelled", 0))
            }
        }
    }

    /// Final result of a request whose attempts have all failed.
    fn final_result(&self, job: &Job, progress: Progress) -> Result<Completed, Refused> {
        let Progress { last, may_have_run, .. } = progress;
        let past_deadline = job.deadline <= Instant::now();
        let Some(failure) = last else {
            return Err(refused(ResultCode::DeadlineExceeded, "", 1000));
        };
        if !may_have_run {
            let code = match failure.facts.refused_by_upstream {
                true => ResultCode::RefusedByUpstream,
                false if !failure.retryable => ResultCode::BadRequest,
                false => ResultCode::NoUpstream,
            };
            let retry_after_ms = if failure.retryable { 1000 } else { 0 };
            return Err(refused(code, &failure.reason, retry_after_ms));
        }
        // An error response of a plain service is passed on to the caller; that of an engine is not, because
        // it is not a sample.
        if let Some(response) = failure.response.clone().filter(|_| !job.profile.engine) {
            return Ok(*response);
        }
        let code = match (job.profile.idempotent, past_deadline) {
            (_, true) => ResultCode::DeadlineExceeded,
            (true, false) => ResultCode::AttemptsExhausted,
            (false, false) => ResultCode::OutcomeUnknown,
        };
        let retry_after_ms = if job.profile.idempotent { 1000 } else { 0 };
        Err(refused(code, &failure.reason, retry_after_ms))
    }
}

enum WaitError {
    Quarantined,
    NoSlot(NoSlot),
    Deadline,
    Cancelled,
}

/// Creates a refusal.
pub fn refused(code: ResultCode, detail: &str, retry_after_ms: u32) -> Refused {
    Refused { code, detail: detail.into(), retry_after_ms }
}
