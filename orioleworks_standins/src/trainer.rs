//! Stand-in trainer: runs steps, publishes versions and checks the text of every sample.

use std::{
    collections::HashSet,
    path::PathBuf,
    time::{Duration, Instant},
};

use bytes::Bytes;
use orioleworks_daemon::event;
use orioleworks_trainer::{
    Trainer,
    client::{Counts, Options},
    messages::{Group, Sample, StepRequest},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

use crate::{
    client::Client,
    judge,
    provenance::{self, ProvenanceError, Span},
    trainer_ledger::{self as ledger, CrashPoint, Ledger, SharedLedger},
};

/// Settings of a trainer.
#[derive(Clone, Debug)]
pub struct TrainerConfig {
    /// Entries, IP and port.
    pub entries: Vec<String>,
    /// IP and port of the weight store.
    pub weights: Option<String>,
    /// Name of the run.
    pub run: String,
    /// Profile.
    pub profile: String,
    /// Model.
    pub model: String,
    /// Number of steps.
    pub steps: u64,
    /// Number of groups in a step.
    pub groups: u32,
    /// Number of samples in a group.
    pub samples: u32,
    /// Largest number of tokens of a sample.
    pub max_tokens: u64,
    /// Version that the engines have at the start.
    pub first_version: u64,
    /// Staleness bound of the profile.
    pub max_staleness: u64,
    /// Seed of the prompts and of the texts of the engines.
    pub seed: u64,
    /// Number of prompts that the groups of all steps draw from, low numbers more often; 0 for a new one per group.
    pub prompts: u32,
    /// Time of training after each step.
    pub train_time: Duration,
    /// Longest time of a step.
    pub step_deadline: Duration,
    /// Longest wait of an entry for a sample in milliseconds.
    pub wait_ms: u64,
    /// File of the durable state; without it the state is only in memory.
    pub state: Option<PathBuf>,
    /// Crash to inject into the first process of the run.
    pub crash_at: Option<CrashPoint>,
}

/// Results of the sample checks; all but `samples` must be zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    /// Samples checked.
    pub samples: u64,
    /// Samples whose slot is already filled, or whose stream is already delivered in another slot.
    pub doubled: u64,
    /// Slots without a sample.
    pub lost: u64,
    /// Samples whose spans differ from the versions derived from their text.
    pub mislabelled: u64,
    /// Samples whose text belongs to another prompt or to two streams.
    pub crossed: u64,
    /// Samples whose text is not complete.
    pub broken: u64,
    /// Samples whose staleness, derived from their text, exceeds the bound.
    pub over_bound: u64,
    /// Samples whose score differs from the judge's score.
    pub misjudged: u64,
}

/// Report of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TrainerReport {
    /// Steps that completed.
    pub steps: u64,
    /// Steps that the run should complete.
    pub steps_wanted: u64,
    /// Results of the sample checks.
    pub findings: Findings,
    /// Steps opened, batches taken and items ignored by the last process of the run.
    pub delivery: Counts,
    /// Staleness of each sample in versions, derived from its text.
    pub staleness: Vec<u64>,
    /// Samples with tokens of more than one version.
    #[serde(default)]
    pub mixed: u64,
    /// Number of attempts of each sample.
    pub attempts: Vec<u32>,
    /// Time in milliseconds from the open to the last sample, by step.
    pub step_ms: Vec<u64>,
    /// Time in milliseconds in which the trainer waited for samples.
    pub idle_ms: u64,
    /// Time in milliseconds of the run.
    pub total_ms: u64,
    /// Failures of steps and publications.
    pub failures: Vec<String>,
}

/// Checks samples of one step against the provenance in their texts.
#[derive(Debug)]
pub struct Checker {
    seed: u64,
    max_tokens: u64,
    max_staleness: u64,
    trainer_version: u64,
    streams: HashSet<(String, u32)>,
    slots: HashSet<(String, u32)>,
}

impl Checker {
    /// Checker of one step.
    pub fn new(cfg: &TrainerConfig, trainer_version: u64) -> Self {
        Self {
            seed: cfg.seed,
            max_tokens: cfg.max_tokens,
            max_staleness: cfg.max_staleness,
            trainer_version,
            streams: HashSet::new(),
            slots: HashSet::new(),
        }
    }

    /// Checks one sample and returns its staleness, if it can be derived from the text.
    pub fn check(&mut self, prompt: &str, sample: &Sample, findings: &mut Findings) -> Option<u64> {
        findings.samples += 1;
        if sample.score.is_some_and(|score| score != judge::score(prompt, &sample.text)) {
            findings.misjudged += 1;
        }
        let origin =
            match provenance::verify_complete(prompt, self.seed, self.max_tokens, &sample.text) {
                Ok(origin) => origin,
                Err(ProvenanceError::PromptMismatch(_) | ProvenanceError::MixedStreams(_)) => {
                    findings.crossed += 1;
                    return None;
                }
                Err(_) => {
                    findings.broken += 1;
                    return None;
                }
            };
        let new_slot = self.slots.insert((sample.group.clone(), sample.index));
        let new_stream = self.streams.insert((sample.group.clone(), origin.nonce));
        findings.doubled += u64::from(!new_slot || !new_stream);
        let true_tokens: u64 = origin.spans.iter().map(|span| span.tokens).sum();
        let reported: Vec<Span> = sample.spans.iter().map(Span::from).collect();
        if !provenance::same_spans(&origin.spans, &reported) || true_tokens != sample.tokens {
            findings.mislabelled += 1;
        }
        let lowest = origin.spans.iter().map(|span| span.version).min()?;
        let staleness = self.trainer_version.saturating_sub(lowest);
        findings.over_bound += u64::from(staleness > self.max_staleness);
        Some(staleness)
    }
}

/// Groups of a step; the same run name and seed give the same prompts.
pub fn groups(cfg: &TrainerConfig, step: u64) -> Vec<Group> {
    let mut rng = StdRng::seed_from_u64(cfg.seed ^ step.rotate_left(32));
    let mut prompt = |group| match cfg.prompts {
        0 => format!("{} {} step {step} group {group}", cfg.run, cfg.seed),
        // Squaring a uniform draw makes low numbers more frequent.
        n => {
            let draw = rng.random::<f64>();
            format!("{} {} prompt {}", cfg.run, cfg.seed, (draw * draw * f64::from(n)) as u32)
        }
    };
    (0..cfg.groups)
        .map(|group| Group {
            group: group.to_string(),
            prompt: prompt(group),
            samples: cfg.samples,
        })
        .collect()
}

/// Runs all steps that the durable state does not list as finished, and publishes a version after each one.
///
/// # Errors
///
/// Returns why the state cannot be read or the client cannot be set up; failures of steps are in the report.
pub async fn run(cfg: &TrainerConfig) -> Result<TrainerReport, String> {
    let ledger = Ledger::open(cfg)?;
    let options = Options {
        max_samples: (cfg.groups * cfg.samples / 4).clamp(1, 64) as usize,
        wait_ms: cfg.wait_ms,
        retry_timeout: cfg.step_deadline,
    };
    let state = ledger.borrow().durable.state.clone();
    let persist = ledger::persist(&ledger);
    let mut client =
        Trainer::new(cfg.entries.clone(), state, options, persist).map_err(|e| e.to_string())?;
    let started = Instant::now();
    publish_pending(cfg, &mut client, &ledger).await?;
    let mut number = ledger.borrow().durable.finished_steps + 1;
    while number <= cfg.steps {
        // A failed step has no samples to train on, so it ends the run.
        if !run_step(cfg, &mut client, number, &ledger).await? {
            break;
        }
        compio::time::sleep(cfg.train_time).await;
        publish_pending(cfg, &mut client, &ledger).await?;
        number += 1;
    }
    let mut report = ledger.borrow().durable.report.clone();
    report.total_ms += millis(started.elapsed());
    report.delivery = client.counts();
    Ok(report)
}

async fn run_step(
    cfg: &TrainerConfig,
    client: &mut Trainer,
    number: u64,
    ledger: &SharedLedger,
) -> Result<bool, String> {
    let step = step_request(cfg, number);
    let version = ledger.borrow().durable.version;
    let before = ledger.borrow_mut().start_step(number);
    let opened = Instant::now();
    // The client's `retry_timeout` starts anew with each response; the deadline also ends a step without progress.
    let work = client.run_step(&step, version, |_| ());
    let result = match compio::time::timeout(cfg.step_deadline, work).await {
        Ok(result) => result.map_err(|e| e.to_string()),
        Err(_) => Err("the deadline passed".to_owned()),
    };
    let elapsed = millis(opened.elapsed());
    event!(info, "step_finished", step = number, ms = elapsed, version = version);
    let expected = u64::from(cfg.groups) * u64::from(cfg.samples);
    let mut ledger = ledger.borrow_mut();
    let report = &mut ledger.durable.report;
    report.idle_ms += elapsed;
    report.step_ms.push(elapsed);
    report.findings.lost += expected.saturating_sub(report.findings.samples - before);
    if let Err(e) = &result {
        report.failures.push(format!("step {number}: {e}"));
    } else {
        report.steps += 1;
        ledger.finish_step(number)?;
    }
    Ok(result.is_ok())
}

/// Request of a step.
pub fn step_request(cfg: &TrainerConfig, number: u64) -> StepRequest {
    StepRequest {
        step: number,
        profile: cfg.profile.clone(),
        model: cfg.model.clone(),
        max_tokens: u32::try_from(cfg.max_tokens).unwrap_or(u32::MAX),
        groups: groups(cfg, number),
    }
}

/// Publishes the current version of the trainer, unless the durable state lists it as published.
///
/// The weights are stored first, so that engines never wait for missing weights.
async fn publish_pending(
    cfg: &TrainerConfig,
    client: &mut Trainer,
    ledger: &SharedLedger,
) -> Result<(), String> {
    const STORE_TIMEOUT: Duration = Duration::from_secs(5);
    let version = ledger.borrow().durable.version;
    if version <= ledger.borrow().durable.published {
        return Ok(());
    }
    let order_id = format!("{}-{}-{version}", cfg.run, cfg.model);
    let publish = async {
        if let Some(store) = &cfg.weights {
            let url = format!("http://{store}/v1/models/{}/versions/{version}", cfg.model);
            let put = http::Method::PUT;
            let http = Client::new().map_err(|e| e.to_string())?;
            http.send(put, &url, &[], Bytes::new(), STORE_TIMEOUT)
                .await
                .map_err(|e| e.to_string())?;
        }
        client.publish(&cfg.model, version, &order_id).await.map_err(|e| e.to_string())
    };
    match publish.await {
        Ok(_) => ledger.borrow_mut().record_published(version),
        Err(e) => {
            ledger.borrow_mut().durable.report.failures.push(format!("publish {version}: {e}"));
            Ok(())
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
