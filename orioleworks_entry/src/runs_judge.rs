//! Scores finished samples with the judge of their profile, an HTTP service that is not an engine.
//!
//! See `docs/design.md`, section 14.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use orioleworks_proto::inner;
use serde::{Deserialize, Serialize};

use crate::{dispatch::Job, runs_dispatch::RunJob, runs_step::Step};

/// Suffix of the name of the profile under which samples are judged; peers derive the judge profile from this name.
pub const PROFILE_SUFFIX: &str = "#judge";
/// Maximum number of attempts to judge a sample; after that, its slot is run again.
const MAX_ATTEMPTS: u32 = 4;
/// Pause before the second attempt; it doubles with each further attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// HTTP status of a success.
const HTTP_OK: u16 = 200;

#[derive(Serialize)]
struct JudgeRequest<'a> {
    prompt: &'a str,
    text: &'a str,
}

#[derive(Deserialize)]
struct JudgeResponse {
    score: f64,
}

/// Derives the profile under which the samples of a profile are judged; `None` if it names no judge.
pub fn judge_profile(of: &inner::Profile) -> Option<inner::Profile> {
    (!of.judge_kind.is_empty()).then(|| inner::Profile {
        name: format!("{}{PROFILE_SUFFIX}", of.name),
        upstream_kind: of.judge_kind.clone(),
        class: inner::Class::Rollout.into(),
        idempotent: true,
        engine: false,
        deadline_ms: of.deadline_ms,
        share: of.share,
        ..inner::Profile::default()
    })
}

/// Scores a sample; `None` when no attempt gave a score.
pub async fn score(
    run: &RunJob,
    step: &Step,
    judge: &Rc<inner::Profile>,
    request_id: &str,
    prompt: &str,
    text: &str,
) -> Option<f64> {
    let body = serde_json::to_vec(&JudgeRequest { prompt, text }).ok()?;
    let mut pause = RETRY_PAUSE;
    for attempt in 1..=MAX_ATTEMPTS {
        let job = Job {
            request_id: format!("{request_id}-judge{attempt}").into(),
            profile: judge.clone(),
            body: body.clone().into(),
            content_type: "application/json".into(),
            deadline: Instant::now() + Duration::from_millis(judge.deadline_ms.into()),
            prefix: None,
            lowest_version: 0,
            avoid: Vec::new(),
            idempotency_key: None,
            owed: true,
            local_only: false,
            cancel: step.token.child_token(),
        };
        if let Ok(done) = run(job).await
            && done.status == HTTP_OK
            && let Ok(response) = serde_json::from_slice::<JudgeResponse>(&done.body)
        {
            return Some(response.score);
        }
        if step.token.is_cancelled() {
            return None;
        }
        compio::time::sleep(pause).await;
        pause *= 2;
    }
    None
}
