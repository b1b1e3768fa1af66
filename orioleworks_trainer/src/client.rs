//! Opens steps and fetches batches from any entry of a list.

use std::time::{Duration, Instant};

use compio::time;
use orioleworks_daemon::event;
use orioleworks_proto::codes::ResultCode;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    error::TrainerError,
    messages::{Batch, ErrorBody, FetchBatch, OpenStep, Opened, Sample, StepRequest},
    state::State,
};

/// Longest wait for the response to a request to open a step.
const OPEN_TIMEOUT: Duration = Duration::from_secs(6);
/// Time beyond `wait_ms` after which a request for a batch times out.
const FETCH_SLACK: Duration = Duration::from_secs(2);
/// Pause after a failed request.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Failed requests for a batch at one owner after which the step is reopened at another entry.
const FETCH_ATTEMPTS: u32 = 2;

/// Persists the new state and the newly taken samples in one atomic write, before the client uses the state.
pub type Persist = Box<dyn FnMut(&State, &[Sample]) -> Result<(), String>>;

/// Bounds of the requests.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of samples in a batch.
    pub max_samples: usize,
    /// Longest wait of an entry for a sample in milliseconds.
    pub wait_ms: u64,
    /// Time limit for the retries of one call, over all entries.
    pub retry_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_samples: 256, wait_ms: 2000, retry_timeout: Duration::from_secs(30) }
    }
}

/// Counters of a client since its creation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of times that a step was opened.
    pub opens: u64,
    /// Batches taken.
    pub batches: u64,
    /// Batches ignored because of their epoch, step or cursor.
    pub ignored_batches: u64,
    /// Samples ignored because their slot was taken.
    pub ignored_samples: u64,
}

/// Client of one run.
pub struct Trainer {
    pub(crate) http: cyper::Client,
    pub(crate) entries: Vec<String>,
    pub(crate) entry_index: usize,
    pub(crate) options: Options,
    state: State,
    persist: Persist,
    owner: Option<String>,
    counts: Counts,
}

impl Trainer {
    /// Creates a client with the state that was persisted last; `entries` are addresses as IP and port.
    ///
    /// # Errors
    ///
    /// Returns an error when no entry is named or the HTTP client cannot start.
    pub fn new(
        entries: impl IntoIterator<Item = impl Into<String>>,
        state: State,
        options: Options,
        persist: Persist,
    ) -> Result<Self, TrainerError> {
        let entries: Vec<String> = entries.into_iter().map(Into::into).collect();
        if entries.is_empty() {
            return Err(TrainerError::NoEntry);
        }
        let http = cyper::Client::new().map_err(|e| TrainerError::NoResponse(e.to_string()))?;
        Ok(Self {
            http,
            entries,
            entry_index: 0,
            options,
            state,
            persist,
            owner: None,
            counts: Counts::default(),
        })
    }

    /// State that was persisted last.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Counters of this client.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Address of the entry that owns the open step.
    pub fn owner(&self) -> Option<&str> {
        self.owner.as_deref()
    }

    /// Opens or reopens a step at any entry that confirms it.
    ///
    /// # Errors
    ///
    /// Returns a final refusal, or the last failure when the time limit for retries is reached.
    pub async fn open(
        &mut self,
        step: &StepRequest,
        trainer_version: u64,
    ) -> Result<(), TrainerError> {
        let deadline = Instant::now() + self.options.retry_timeout;
        loop {
            match self.open_once(step, trainer_version).await {
                Ok(()) => return Ok(()),
                Err(e) if e.is_final() || Instant::now() >= deadline => return Err(e),
                Err(e) => {
                    event!(warn, "open_failed", entry = self.entries[self.entry_index], reason = e);
                    self.next_entry();
                    time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn open_once(&mut self, step: &StepRequest, version: u64) -> Result<(), TrainerError> {
        let same_step = self.state.step == step.step;
        let body = OpenStep {
            step,
            trainer_version: version,
            taken: if same_step { self.state.taken.iter().collect() } else { Vec::new() },
            last_epoch: self.state.epoch,
        };
        let path = format!("/v1/runs/{}/steps", self.state.run);
        let opened: Opened =
            self.post(&self.entries[self.entry_index], &path, &body, OPEN_TIMEOUT).await?;
        if opened.epoch <= self.state.epoch {
            let message = format!("epoch {} was given before", opened.epoch);
            return Err(TrainerError::NoResponse(message));
        }
        let next = self.state.after_open(step.step, opened.epoch);
        self.commit(next, &[])?;
        self.counts.opens += 1;
        let entry = &self.entries[self.entry_index];
        self.owner = Some(if opened.owner.is_empty() { entry.clone() } else { opened.owner });
        Ok(())
    }

    /// Fetches and takes the next batch; the samples are new and already persisted.
    ///
    /// An empty result means that nothing was ready. The step is reopened when its owner is lost.
    ///
    /// # Errors
    ///
    /// Returns a final refusal, a failed write, or the last failure when the time limit for retries is reached.
    pub async fn next_batch(
        &mut self,
        step: &StepRequest,
        trainer_version: u64,
    ) -> Result<(Vec<Sample>, bool), TrainerError> {
        let mut failures = 0;
        let deadline = Instant::now() + self.options.retry_timeout;
        loop {
            if self.owner.is_none() || self.state.step != step.step {
                self.open(step, trainer_version).await?;
            }
            let error = match self.fetch(trainer_version).await {
                Ok(batch) => return self.take_batch(&batch),
                Err(e) => e,
            };
            event!(warn, "fetch_failed", run = self.state.run, reason = error);
            failures += 1;
            match error {
                // No other entry serves this epoch, so the step is reopened. The named owner is live and is tried
                // first.
                TrainerError::Refused { owner: Some(owner), .. } => self.reopen_at(owner),
                e if e.is_final() || Instant::now() >= deadline => return Err(e),
                e => {
                    let owner_lost = failures >= FETCH_ATTEMPTS
                        || matches!(
                            e.code(),
                            Some(
                                ResultCode::UnknownStep
                                    | ResultCode::StaleEpoch
                                    | ResultCode::BadCursor
                                    | ResultCode::NotOwner
                                    | ResultCode::ShuttingDown
                            )
                        );
                    if owner_lost {
                        self.owner = None;
                        failures = 0;
                        let shutting_down = e.code() == Some(ResultCode::ShuttingDown);
                        if shutting_down || matches!(e, TrainerError::NoResponse(_)) {
                            self.next_entry();
                        }
                    }
                    time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Runs a complete step; `sink` gets each newly taken sample after it was persisted.
    ///
    /// # Errors
    ///
    /// Returns the first error of [`Self::next_batch`].
    pub async fn run_step(
        &mut self,
        step: &StepRequest,
        trainer_version: u64,
        mut sink: impl FnMut(Sample),
    ) -> Result<(), TrainerError> {
        let wanted: usize = step.groups.iter().map(|group| group.samples as usize).sum();
        loop {
            let (samples, complete) = self.next_batch(step, trainer_version).await?;
            samples.into_iter().for_each(&mut sink);
            if complete && self.state.step == step.step && self.state.taken.len() >= wanted {
                self.acknowledge(trainer_version).await;
                return Ok(());
            }
        }
    }

    /// Acknowledges the last batch, which closes the step; a lost response is harmless, because the step expires.
    pub async fn acknowledge(&mut self, trainer_version: u64) {
        if let Err(e) = self.fetch(trainer_version).await {
            event!(warn, "acknowledge_failed", run = self.state.run, reason = e);
        }
    }

    async fn fetch(&self, trainer_version: u64) -> Result<Batch, TrainerError> {
        let owner = self.owner.as_deref().ok_or(TrainerError::NoEntry)?;
        let body = FetchBatch {
            epoch: self.state.epoch,
            step: self.state.step,
            cursor: self.state.cursor,
            trainer_version,
            max_samples: self.options.max_samples,
            wait_ms: self.options.wait_ms,
        };
        let path = format!("/v1/runs/{}/batches", self.state.run);
        let limit = Duration::from_millis(self.options.wait_ms) + FETCH_SLACK;
        self.post(owner, &path, &body, limit).await
    }

    /// Takes a batch of the current step, epoch and cursor; ignores any other.
    fn take_batch(&mut self, batch: &Batch) -> Result<(Vec<Sample>, bool), TrainerError> {
        let Some((next, new)) = self.state.after_batch(batch) else {
            event!(warn, "batch_ignored", epoch = batch.epoch, cursor = batch.cursor);
            self.counts.ignored_batches += 1;
            return Ok((Vec::new(), false));
        };
        if next != self.state {
            self.commit(next, &new)?;
        }
        self.counts.batches += u64::from(!batch.samples.is_empty());
        self.counts.ignored_samples += (batch.samples.len() - new.len()) as u64;
        Ok((new, batch.complete))
    }

    fn commit(&mut self, next: State, samples: &[Sample]) -> Result<(), TrainerError> {
        (self.persist)(&next, samples).map_err(TrainerError::Persist)?;
        self.state = next;
        Ok(())
    }

    fn reopen_at(&mut self, owner: String) {
        self.owner = None;
        self.entry_index = match self.entries.iter().position(|entry| *entry == owner) {
            Some(entry_index) => entry_index,
            None => {
                self.entries.push(owner);
                self.entries.len() - 1
            }
        };
    }

    pub(crate) fn next_entry(&mut self) {
        self.entry_index = (self.entry_index + 1) % self.entries.len();
    }

    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        body: &impl Serialize,
        limit: Duration,
    ) -> Result<T, TrainerError> {
        let no_response = |e: cyper::Error| TrainerError::NoResponse(e.to_string());
        let exchange = async {
            let url = format!("http://{address}{path}");
            let req = self.http.post(url).map_err(no_response)?.json(body).map_err(no_response)?;
            let response = req.send().await.map_err(no_response)?;
            let status = response.status().as_u16();
            Ok((status, response.bytes().await.map_err(no_response)?))
        };
        // Dropping the exchange closes its connection, so that a late response cannot be used.
        let (status, bytes) = time::timeout(limit, exchange)
            .await
            .map_err(|_| TrainerError::NoResponse(format!("no answer of {address} in time")))??;
        if status == 200 {
            return serde_json::from_slice(&bytes)
                .map_err(|e| TrainerError::NoResponse(format!("malformed answer: {e}")));
        }
        let e: ErrorBody = serde_json::from_slice(&bytes).unwrap_or_default();
        Err(TrainerError::Refused {
            code: e.code,
            message: e.message,
            retry_after_ms: e.retry_after_ms,
            owner: e.owner,
        })
    }
}
