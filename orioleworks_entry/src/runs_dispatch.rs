//! Runs the missing slots of a step, with bounded concurrency, retries and second attempts.
//!
//! See `docs/design.md`, sections 8 to 10.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use fail::fail_point;
use futures_util::{
    FutureExt, StreamExt,
    future::{LocalBoxFuture, join},
    select,
    stream::FuturesUnordered,
};
use orioleworks_daemon::event;
use orioleworks_proto::codes::ResultCode;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use crate::{
    dispatch::{Completed, Job, Refused},
    runs_hedge, runs_judge,
    runs_messages::{Sample, Span},
    runs_step::{SlotId, Step},
};

/// Runs one job and returns its result or the final refusal.
pub type RunJob = Rc<dyn Fn(Job) -> LocalBoxFuture<'static, Result<Completed, Refused>>>;
/// Returns the upstream or peer on which a request currently runs, by request ID.
pub type RunningOn = Rc<dyn Fn(&str) -> Option<Rc<str>>>;

/// Largest number of slots of one step that run concurrently.
pub const MAX_CONCURRENT: usize = 1024;
/// Pause before a failed slot is run again; it doubles with each further failure.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before a failed slot is run again.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(5);
/// Interval at which a straggler checks again for budget, which other groups can add.
const HEDGE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the dispatch checks again for missing slots; changes wake it earlier.
const DISPATCH_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// HTTP status of a success.
const HTTP_OK: u16 = 200;

/// Functions that the dispatch needs from other parts of the entry.
#[derive(Clone)]
pub struct Deps {
    /// Runs one job.
    pub run: RunJob,
    /// Finds the upstream of a running job, which its second attempt avoids.
    pub running_on: RunningOn,
}

#[derive(Serialize)]
struct EngineBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
}

/// Runs missing slots until the step is closed.
pub async fn run_missing_slots(deps: Deps, step: Rc<Step>) {
    let mut running = FuturesUnordered::new();
    let mut cancelled = std::pin::pin!(step.token.cancelled().fuse());
    loop {
        let changed = step.signal.wait();
        while running.len() < MAX_CONCURRENT
            && let Some(id) = step.next_missing()
        {
            running.push(run_slot(&deps, &step, id));
        }
        let mut changed = std::pin::pin!(changed.up_to(DISPATCH_CHECK_INTERVAL).fuse());
        select! {
            () = running.select_next_some() => (),
            () = changed => (),
            () = cancelled => return,
        }
    }
}

/// Runs one slot until it has a sample, or returns it when the entry drains.
async fn run_slot(deps: &Deps, step: &Rc<Step>, id: SlotId) {
    let mut pause = RETRY_PAUSE;
    loop {
        let mut wait = pause;
        let started = Instant::now();
        match run_attempts(deps, step, id).await {
            Ok(done) => match make_sample(deps, step, id, done).await {
                Some(sample) => {
                    fail_point!("runs.after_sample");
                    metrics::counter!("orioleworks_slots_run_total").increment(1);
                    step.finish(id, sample, started.elapsed());
                    return;
                }
                None => {
                    metrics::counter!("orioleworks_samples_discarded_total", "reason" => "judge")
                        .increment(1);
                }
            },
            Err(refused) => {
                if step.drain.is_cancelled() {
                    step.return_slot(id);
                    return;
                }
                wait = wait.max(Duration::from_millis(refused.retry_after_ms.into()));
                event!(
                    debug,
                    "sample_failed",
                    run = step.run,
                    step = step.step,
                    code = refused.code.number(),
                    detail = refused.detail,
                );
            }
        }
        compio::time::sleep(wait.min(MAX_RETRY_PAUSE)).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

struct StartedAttempt {
    request_id: Rc<str>,
    token: CancellationToken,
    result: LocalBoxFuture<'static, Result<Completed, Refused>>,
}

/// Runs a slot once, with a second attempt if it is a straggler; the first conclusive response is used.
async fn run_attempts(deps: &Deps, step: &Rc<Step>, id: SlotId) -> Result<Completed, Refused> {
    fail_point!("runs.before_dispatch");
    let started = Instant::now();
    let first = start_attempt(deps, step, id, Vec::new());
    let first_id = first.request_id.clone();
    let signal = step.state.borrow().groups[id.group].signal.clone();
    let mut tokens = vec![first.token];
    let mut running = FuturesUnordered::new();
    running.push(join(std::future::ready(false), first.result));
    let (mut hedged, mut charged) = (false, false);
    let mut last_error = None;
    loop {
        let changed = signal.wait();
        if !hedged && runs_hedge::reserve_second_attempt(step, id, started.elapsed()) {
            (hedged, charged) = (true, true);
            metrics::counter!("orioleworks_second_attempts_total").increment(1);
            let avoid = (deps.running_on)(&first_id).into_iter().collect();
            let second = start_attempt(deps, step, id, avoid);
            tokens.push(second.token);
            running.push(join(std::future::ready(true), second.result));
        }
        let mut changed = std::pin::pin!(changed.up_to(HEDGE_CHECK_INTERVAL).fuse());
        let finished = select! { finished = running.next() => finished, () = changed => continue };
        let Some((is_second, result)) = finished else {
            return Err(last_error.unwrap_or_else(no_attempt_error));
        };
        match result.and_then(|done| check_conclusive(step, done)) {
            Ok(done) => {
                tokens.iter().for_each(CancellationToken::cancel);
                // The cancelled attempt runs to its end in the background, so that it can account for its connection.
                if !running.is_empty() {
                    compio::runtime::spawn(running.for_each(|_| async {})).detach();
                }
                if charged {
                    metrics::counter!("orioleworks_extra_tokens_total")
                        .increment(step.max_tokens.into());
                }
                return Ok(done);
            }
            Err(refused) => {
                if is_second && refused.code.not_run() {
                    charged = false;
                    step.state.borrow().budget.refund(step.max_tokens);
                }
                last_error = Some(refused);
                if running.is_empty() {
                    return Err(last_error.unwrap_or_else(no_attempt_error));
                }
            }
        }
    }
}

fn no_attempt_error() -> Refused {
    let code = ResultCode::AttemptsExhausted;
    Refused { code, detail: "no attempt ended".into(), retry_after_ms: 0 }
}

fn start_attempt(deps: &Deps, step: &Step, id: SlotId, avoid: Vec<Rc<str>>) -> StartedAttempt {
    let (attempt, name, prompt, prefix) = {
        let mut state = step.state.borrow_mut();
        state.attempts[id.slot] += 1;
        let group = &state.groups[id.group];
        (state.attempts[id.slot], group.name.clone(), group.prompt.clone(), group.prompt_hash)
    };
    let body = EngineBody { model: &step.model, prompt: &prompt, max_tokens: step.max_tokens };
    let index = id.index;
    let request_id: Rc<str> =
        format!("{}-{}-{}-{name}-{index}-{attempt}", step.run, step.epoch, step.step).into();
    let token = step.token.child_token();
    let job = Job {
        request_id: request_id.clone(),
        profile: step.profile.clone(),
        body: serde_json::to_vec(&body).unwrap_or_default().into(),
        content_type: "application/json".into(),
        deadline: Instant::now() + Duration::from_millis(step.profile.deadline_ms.into()),
        prefix: Some(prefix),
        lowest_version: step.lowest_version(),
        avoid,
        idempotency_key: None,
        owed: true,
        local_only: false,
        cancel: token.clone(),
    };
    StartedAttempt { request_id, token, result: (deps.run)(job) }
}

/// Refuses a response that failed or, from an engine, that does not report the weight version of every token.
fn check_conclusive(step: &Step, done: Completed) -> Result<Completed, Refused> {
    let refuse = |detail: String| {
        let code = ResultCode::OutcomeUnknown;
        Err(Refused { code, detail, retry_after_ms: 0 })
    };
    if done.status != HTTP_OK {
        return refuse(format!("the upstream answered with status {}", done.status));
    }
    let known = !done.spans.is_empty() && done.spans.iter().all(|span| span.version > 0);
    if step.profile.engine && !known {
        metrics::counter!("orioleworks_samples_discarded_total", "reason" => "inconclusive")
            .increment(1);
        return refuse("the upstream did not report the weight version of every token".into());
    }
    Ok(done)
}

/// Makes a sample from a response; `None` if the judge gave no score.
async fn make_sample(deps: &Deps, step: &Step, id: SlotId, done: Completed) -> Option<Sample> {
    let (group, prompt, attempts) = {
        let state = step.state.borrow();
        let group = &state.groups[id.group];
        (group.name.clone(), group.prompt.clone(), state.attempts[id.slot])
    };
    let text = String::from_utf8_lossy(&done.body).into_owned();
    let score = match runs_judge::judge_profile(&step.profile) {
        None => None,
        Some(judge) => {
            let request_id = format!(
                "{}-{}-{}-{group}-{}-{attempts}",
                step.run, step.epoch, step.step, id.index
            );
            let judge = Rc::new(judge);
            Some(runs_judge::score(&deps.run, step, &judge, &request_id, &prompt, &text).await?)
        }
    };
    let spans: Vec<Span> =
        done.spans.iter().map(|s| Span { version: s.version, tokens: s.tokens }).collect();
    Some(Sample {
        group: group.to_string(),
        index: id.index,
        text,
        tokens: spans.iter().map(|span| u64::from(span.tokens)).sum(),
        spans,
        score,
        attempts,
    })
}
