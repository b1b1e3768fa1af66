//! Stand-in trainer: runs steps, publishes versions, checks every sample from its text.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use bytes::Bytes;
use orioleworks_daemon::event;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

use crate::{
    client::{Client, ClientError},
    judge,
    provenance::{self, ProvenanceError},
    trainer_client::{Delivery, Group, Sample, Step, TrainerClient},
};

/// What a trainer runs.
#[derive(Clone, Debug)]
pub struct TrainerConfig {
    /// Entries, IP and port.
    pub entries: Vec<String>,
    /// IP and port of the weight store.
    pub weights: Option<String>,
    /// Run.
    pub run: String,
    /// Profile.
    pub profile: String,
    /// Model.
    pub model: String,
    /// Steps.
    pub steps: u64,
    /// Groups in a step.
    pub groups: u32,
    /// Samples in a group.
    pub samples: u32,
    /// Largest number of tokens of a sample.
    pub max_tokens: u64,
    /// Version that the engines have at the start.
    pub first_version: u64,
    /// Staleness bound of the profile.
    pub max_staleness: u64,
    /// Seed of prompts, and of the texts of the engines.
    pub seed: u64,
    /// Prompts that the groups of all steps draw from, the first ones more often; 0 for a new one per group.
    pub prompts: u32,
    /// Time of training after each step.
    pub train_time: Duration,
    /// Longest time of a step.
    pub step_deadline: Duration,
}

/// What the checks of the samples found; all but `samples` must be zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings {
    /// Samples taken.
    pub samples: u64,
    /// Samples whose stream was delivered before in another slot.
    pub doubled: u64,
    /// Slots without a sample.
    pub lost: u64,
    /// Samples whose spans are not the versions that their text proves.
    pub mislabelled: u64,
    /// Samples whose text belongs to another prompt or to two streams.
    pub crossed: u64,
    /// Samples whose text is not complete.
    pub broken: u64,
    /// Samples older than the bound by the text.
    pub over_bound: u64,
    /// Samples whose score is not the judge's.
    pub misjudged: u64,
}

/// Report of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TrainerReport {
    /// Steps that completed.
    pub steps: u64,
    /// Steps that were to complete.
    pub steps_wanted: u64,
    /// Checks.
    pub findings: Findings,
    /// Opens, batches and refusals.
    pub delivery: Delivery,
    /// Staleness of each sample by its text, in versions.
    pub staleness: Vec<u64>,
    /// Attempts of each sample.
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

/// Checks samples of one step against what their texts prove.
#[derive(Debug)]
pub struct Checker {
    seed: u64,
    max_tokens: u64,
    max_staleness: u64,
    trainer_version: u64,
    streams: HashSet<(String, u32)>,
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
        }
    }

    /// Checks one sample and returns its staleness, if its text proves one.
    pub fn check(&mut self, prompt: &str, sample: &Sample, found: &mut Findings) -> Option<u64> {
        found.samples += 1;
        if sample.score.is_some_and(|score| score != judge::score(prompt, &sample.text)) {
            found.misjudged += 1;
        }
        let origin =
            match provenance::verify_whole(prompt, self.seed, self.max_tokens, &sample.text) {
                Ok(origin) => origin,
                Err(ProvenanceError::Foreign(_) | ProvenanceError::Mixed(_)) => {
                    found.crossed += 1;
                    return None;
                }
                Err(_) => {
                    found.broken += 1;
                    return None;
                }
            };
        if !self.streams.insert((sample.group.clone(), origin.nonce)) {
            found.doubled += 1;
        }
        let true_tokens: u64 = origin.spans.iter().map(|span| span.tokens).sum();
        if !provenance::same_spans(&origin.spans, &sample.spans) || true_tokens != sample.tokens {
            found.mislabelled += 1;
        }
        let lowest = origin.spans.iter().map(|span| span.version).min()?;
        let staleness = self.trainer_version.saturating_sub(lowest);
        found.over_bound += u64::from(staleness > self.max_staleness);
        Some(staleness)
    }
}

/// Prompts of a step: the same in every run with the same seed.
pub fn groups(cfg: &TrainerConfig, step: u64) -> Vec<Group> {
    let mut rng = StdRng::seed_from_u64(cfg.seed ^ step.rotate_left(32));
    let mut prompt = |group| match cfg.prompts {
        0 => format!("{} {} step {step} group {group}", cfg.run, cfg.seed),
        // The square of a uniform draw makes the low numbers common.
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

/// Runs all steps and publishes a version after each one.
///
/// # Errors
///
/// Returns why the HTTP client cannot be set up; failures of steps are in the report.
pub async fn run(cfg: &TrainerConfig) -> Result<TrainerReport, ClientError> {
    let batch = (cfg.groups * cfg.samples / 4).clamp(1, 64);
    let mut client = TrainerClient::new(cfg.entries.clone(), &cfg.run, batch)?;
    let mut report = TrainerReport { steps_wanted: cfg.steps, ..TrainerReport::default() };
    let started = Instant::now();
    let mut version = cfg.first_version;
    for number in 1..=cfg.steps {
        // Without the samples there is nothing to train on, so a failed step ends the run.
        if !run_step(cfg, &mut client, number, version, &mut report).await {
            break;
        }
        compio::time::sleep(cfg.train_time).await;
        version += 1;
        if let Err(e) = publish(cfg, &mut client, version).await {
            report.failures.push(format!("publish {version}: {e}"));
        }
    }
    report.total_ms = millis(started.elapsed());
    Ok(report)
}

async fn run_step(
    cfg: &TrainerConfig,
    client: &mut TrainerClient,
    number: u64,
    version: u64,
    report: &mut TrainerReport,
) -> bool {
    let step = Step {
        step: number,
        profile: cfg.profile.clone(),
        model: cfg.model.clone(),
        trainer_version: version,
        max_tokens: cfg.max_tokens,
        groups: groups(cfg, number),
    };
    let mut checker = Checker::new(cfg, version);
    let (opened, before) = (Instant::now(), report.findings.samples);
    let deadline = opened + cfg.step_deadline;
    let result = client
        .run_step(&step, deadline, |sample| {
            report.attempts.push(sample.attempts);
            let group = step.groups.iter().find(|group| group.group == sample.group);
            let prompt = group.map_or("", |group| group.prompt.as_str());
            report.staleness.extend(checker.check(prompt, sample, &mut report.findings));
        })
        .await;
    let elapsed = millis(opened.elapsed());
    report.idle_ms += elapsed;
    report.step_ms.push(elapsed);
    let wanted = u64::from(cfg.groups) * u64::from(cfg.samples);
    report.findings.lost += wanted.saturating_sub(report.findings.samples - before);
    event!(info, "step_finished", step = number, ms = elapsed, version = version);
    match result {
        Ok(delivery) => {
            report.steps += 1;
            report.delivery.opens += delivery.opens;
            report.delivery.batches += delivery.batches;
            report.delivery.refused_batches += delivery.refused_batches;
            report.delivery.refused_samples += delivery.refused_samples;
            true
        }
        Err(e) => {
            report.failures.push(format!("step {number}: {e}"));
            false
        }
    }
}

/// Puts the weights into the store first, so that engines never wait for weights that are not there.
async fn publish(
    cfg: &TrainerConfig,
    client: &mut TrainerClient,
    version: u64,
) -> Result<(), ClientError> {
    const STORE_TIMEOUT: Duration = Duration::from_secs(5);
    const PUBLISH_DEADLINE: Duration = Duration::from_secs(15);
    if let Some(store) = &cfg.weights {
        let url = format!("http://{store}/v1/models/{}/versions/{version}", cfg.model);
        let put = http::Method::PUT;
        Client::new()?.send(put, &url, &[], Bytes::new(), STORE_TIMEOUT).await?;
    }
    client.publish(&cfg.model, version, Instant::now() + PUBLISH_DEADLINE).await?;
    Ok(())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
