//! Minimal trainer client with the rules of `docs/design.md`, section 10.
//!
//! The stand-in trainer uses it until the library `orioleworks_trainer` has taken its place.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use displaydoc::Display;
use orioleworks_daemon::event;
use orioleworks_rules::delivery::{TrainerCursor, may_take_batch};
use serde::{Deserialize, Serialize};

use crate::{
    client::{Client, ClientError},
    provenance::Span,
};

/// Time for which an entry may hold a request for a batch.
const WAIT_MS: u64 = 1000;
/// Longest wait for an answer; above [`WAIT_MS`], so that a silent entry is told from a slow step.
const TIMEOUT: Duration = Duration::from_millis(4000);
/// Pause before another entry is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// One group of samples with a common prompt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Group {
    /// Name of the group, unique in its step.
    pub group: String,
    /// Prompt.
    pub prompt: String,
    /// Samples wanted.
    pub samples: u32,
}

/// One step of a run.
#[derive(Clone, Debug)]
pub struct Step {
    /// Number of the step.
    pub step: u64,
    /// Profile.
    pub profile: String,
    /// Model.
    pub model: String,
    /// Weight version of the trainer.
    pub trainer_version: u64,
    /// Largest number of tokens of a sample.
    pub max_tokens: u64,
    /// Groups.
    pub groups: Vec<Group>,
}

/// One delivered sample.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sample {
    /// Group of the slot.
    pub group: String,
    /// Index of the slot in its group.
    pub index: u32,
    /// Text.
    pub text: String,
    /// Tokens in the text.
    pub tokens: u64,
    /// Weight versions by token span.
    pub spans: Vec<Span>,
    /// Score of the judge; absent without a judge.
    #[serde(default)]
    pub score: Option<f64>,
    /// Attempts that the sample took.
    #[serde(default)]
    pub attempts: u32,
}

/// What a step took besides its samples.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Delivery {
    /// Times the step was opened.
    pub opens: u64,
    /// Batches taken.
    pub batches: u64,
    /// Batches refused because of their epoch or cursor.
    pub refused_batches: u64,
    /// Samples refused because their slot was taken.
    pub refused_samples: u64,
}

/// Why a step has not completed.
#[derive(Clone, Debug, Display)]
pub enum StepError {
    /// deadline passed with {missing} samples missing; last failure: {last}
    Deadline {
        /// Slots without a sample.
        missing: usize,
        /// Last failure.
        last: String,
    },
    /// the step is complete according to the entry, but {0} samples are missing
    Lost(usize),
}

impl std::error::Error for StepError {}

#[derive(Serialize)]
struct OpenBody<'a> {
    step: u64,
    profile: &'a str,
    model: &'a str,
    trainer_version: u64,
    max_tokens: u64,
    groups: &'a [Group],
    taken: Vec<(String, u32)>,
    last_epoch: u64,
}

#[derive(Deserialize)]
struct OpenReply {
    epoch: u64,
}

#[derive(Serialize)]
struct BatchBody {
    epoch: u64,
    step: u64,
    cursor: u64,
    trainer_version: u64,
    max_samples: u32,
    wait_ms: u64,
}

#[derive(Deserialize)]
struct BatchReply {
    epoch: u64,
    step: u64,
    cursor: u64,
    next_cursor: u64,
    samples: Vec<Sample>,
    complete: bool,
}

/// Client of one run.
#[derive(Debug)]
pub struct TrainerClient {
    client: Client,
    entries: Vec<String>,
    at: usize,
    run: String,
    last_epoch: u64,
    max_samples: u32,
}

impl TrainerClient {
    /// Client that opens its steps at these entries, the first one first.
    ///
    /// # Errors
    ///
    /// Returns why the HTTP client cannot be set up.
    pub fn new(entries: Vec<String>, run: &str, max_samples: u32) -> Result<Self, ClientError> {
        let client = Client::new()?;
        Ok(Self { client, entries, at: 0, run: run.into(), last_epoch: 0, max_samples })
    }

    fn url(&self, tail: &str) -> String {
        let entry = self.entries.get(self.at).map_or("", String::as_str);
        format!("http://{entry}/v1/{tail}")
    }

    async fn next_entry(&mut self) {
        self.at = (self.at + 1) % self.entries.len().max(1);
        compio::time::sleep(RETRY_PAUSE).await;
    }

    /// Turns to the owner that an answer names, or to the next entry.
    async fn choose_entry(&mut self, error: &ClientError) {
        #[derive(Deserialize)]
        struct NotOwner {
            owner: String,
        }
        let ClientError::Status(421, body) = error else { return self.next_entry().await };
        let owner = serde_json::from_str::<NotOwner>(body).map(|body| body.owner);
        let known = |owner: &String| self.entries.iter().position(|entry| entry == owner);
        match owner.ok().as_ref().and_then(known) {
            Some(at) => self.at = at,
            None => self.next_entry().await,
        }
    }

    /// Publishes a weight version; repeated with the same order ID until it is accepted.
    ///
    /// # Errors
    ///
    /// Returns the last failure when the deadline passes.
    pub async fn publish(
        &mut self,
        model: &str,
        version: u64,
        deadline: Instant,
    ) -> Result<u64, ClientError> {
        #[derive(Serialize)]
        struct Publish {
            version: u64,
            order_id: String,
        }
        #[derive(Deserialize)]
        struct Published {
            revision: u64,
        }
        let body = Publish { version, order_id: format!("{}-{model}-{version}", self.run) };
        loop {
            let url = self.url(&format!("models/{model}/versions"));
            let answer = self.client.post(&url, &body, TIMEOUT).await;
            match answer.and_then(|answer| answer.json::<Published>()) {
                Ok(published) => return Ok(published.revision),
                Err(e) if Instant::now() >= deadline => return Err(e),
                Err(e) => event!(warn, "publish_failed", url = url, reason = e),
            }
            self.next_entry().await;
        }
    }

    /// Runs one step to its end; every sample of a new slot goes to `take` exactly once.
    ///
    /// # Errors
    ///
    /// Returns how many samples are missing at the deadline, or that the entry lost some.
    pub async fn run_step(
        &mut self,
        step: &Step,
        deadline: Instant,
        mut take: impl FnMut(&Sample),
    ) -> Result<Delivery, StepError> {
        let slots: usize = step.groups.iter().map(|group| group.samples as usize).sum();
        let mut taken = HashSet::new();
        let mut delivery = Delivery::default();
        loop {
            let result = self.open_and_fetch(step, &mut taken, &mut delivery, &mut take, deadline);
            let last = match result.await {
                Ok(()) if taken.len() == slots => return Ok(delivery),
                Ok(()) => return Err(StepError::Lost(slots - taken.len())),
                Err(e) => {
                    self.choose_entry(&e).await;
                    e.to_string()
                }
            };
            event!(warn, "step_reopened", run = self.run, step = step.step, reason = last);
            if Instant::now() >= deadline {
                return Err(StepError::Deadline { missing: slots - taken.len(), last });
            }
        }
    }

    async fn open_and_fetch(
        &mut self,
        step: &Step,
        taken: &mut HashSet<(String, u32)>,
        delivery: &mut Delivery,
        take: &mut impl FnMut(&Sample),
        deadline: Instant,
    ) -> Result<(), ClientError> {
        let epoch = self.open(step, taken).await?;
        delivery.opens += 1;
        let mut cursor = 0;
        loop {
            if Instant::now() >= deadline {
                return Err(ClientError::Timeout);
            }
            let reply = self.fetch(step, epoch, cursor).await?;
            let asked = TrainerCursor { epoch, cursor };
            if reply.step != step.step || !may_take_batch(asked, reply.epoch, reply.cursor) {
                delivery.refused_batches += 1;
                continue;
            }
            delivery.batches += u64::from(!reply.samples.is_empty());
            for sample in &reply.samples {
                if wanted(step, sample) && taken.insert((sample.group.clone(), sample.index)) {
                    take(sample);
                } else {
                    delivery.refused_samples += 1;
                }
            }
            cursor = reply.next_cursor;
            if reply.complete {
                // Acknowledges the last batch; its loss costs nothing, because every slot is taken.
                drop(self.fetch(step, epoch, cursor).await);
                return Ok(());
            }
        }
    }

    async fn open(
        &mut self,
        step: &Step,
        taken: &HashSet<(String, u32)>,
    ) -> Result<u64, ClientError> {
        let body = OpenBody {
            step: step.step,
            profile: &step.profile,
            model: &step.model,
            trainer_version: step.trainer_version,
            max_tokens: step.max_tokens,
            groups: &step.groups,
            taken: taken.iter().cloned().collect(),
            last_epoch: self.last_epoch,
        };
        let url = self.url(&format!("runs/{}/steps", self.run));
        let reply: OpenReply = self.client.post(&url, &body, TIMEOUT).await?.json()?;
        self.last_epoch = self.last_epoch.max(reply.epoch);
        Ok(reply.epoch)
    }

    async fn fetch(&self, step: &Step, epoch: u64, cursor: u64) -> Result<BatchReply, ClientError> {
        let body = BatchBody {
            epoch,
            step: step.step,
            cursor,
            trainer_version: step.trainer_version,
            max_samples: self.max_samples,
            wait_ms: WAIT_MS,
        };
        let url = self.url(&format!("runs/{}/batches", self.run));
        self.client.post(&url, &body, TIMEOUT).await?.json()
    }
}

fn wanted(step: &Step, sample: &Sample) -> bool {
    step.groups.iter().any(|group| group.group == sample.group && sample.index < group.samples)
}
