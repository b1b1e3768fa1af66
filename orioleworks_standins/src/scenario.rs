//! Training steps with weight swaps beside caller traffic on a local deployment.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use displaydoc::Display;
use orioleworks_daemon::event;
use orioleworks_proto::{codes::ResultCode, inner};
use serde::de::DeserializeOwned;

use crate::{
    client::Client,
    deployment::{Deployment, DeploymentError, Kind},
    load_report::LoadReport,
    scenario_clients,
    trainer::TrainerReport,
};

/// Staleness bound of the profile `scorer`: one version for the weight swap in progress, one for the previous step.
pub(crate) const MAX_STALENESS: u32 = 2;
/// Longest wait for the deployment to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest wait for one order to control.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for responses after the end of the load.
const LOAD_MARGIN: Duration = Duration::from_secs(20);

/// Sizes of the training run and of the load.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of prompts and load.
    pub seed: u64,
    /// Number of steps.
    pub steps: u64,
    /// Groups in a step.
    pub groups: u32,
    /// Samples in a group.
    pub samples: u32,
    /// Largest number of tokens of a sample.
    pub max_tokens: u64,
    /// Calls per second.
    pub rate: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// Longest time of all steps together.
    pub training_deadline: Duration,
    /// Duration of training after each step.
    pub train_time: Duration,
    /// Number of prompts that the groups of all steps draw from; 0 for a new prompt in each group.
    pub prompts: u32,
    /// Mix of the load, as the option `--mix` of `orioleworks-load`; empty for its default.
    pub mix: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            steps: 4,
            groups: 8,
            samples: 4,
            max_tokens: 64,
            rate: 60.0,
            duration: Duration::from_secs(12),
            training_deadline: Duration::from_secs(25),
            train_time: Duration::from_millis(500),
            prompts: 0,
            mix: String::new(),
        }
    }
}

impl Options {
    /// Longest duration of [`run`].
    pub fn max_duration(&self) -> Duration {
        self.training_deadline.max(self.duration + LOAD_MARGIN)
    }
}

/// Why the scenario has no outcome.
#[derive(Debug, Display)]
pub enum ScenarioError {
    /// {0}
    Deployment(DeploymentError),
    /// profile {profile}: {reason}
    Profile {
        /// Profile.
        profile: String,
        /// Why it is not accepted.
        reason: String,
    },
    /// no call through {entry} succeeded: {reason}
    NotServing {
        /// Entry.
        entry: String,
        /// Last failure.
        reason: String,
    },
}

impl std::error::Error for ScenarioError {}

impl From<DeploymentError> for ScenarioError {
    fn from(e: DeploymentError) -> Self {
        Self::Deployment(e)
    }
}

/// Resources that one daemon used during the traffic.
#[derive(Clone, Debug, Default)]
pub struct NodeUse {
    /// Name.
    pub name: String,
    /// CPU time as a share of one core.
    pub cpu: f64,
    /// Resident memory in bytes at the end.
    pub memory_bytes: u64,
    /// Bytes per second over its inner port.
    pub bytes_per_second: f64,
}

/// Measurements of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Report of the trainer.
    pub trainer: TrainerReport,
    /// Report of the load generator.
    pub load: LoadReport,
    /// Resource use of the control replicas.
    pub control: Vec<NodeUse>,
    /// Processes of the deployment that exited during the traffic.
    pub ended: Vec<String>,
    /// Names of the clients (`trainer`, `load`) that wrote no report; their figures are zero.
    pub missing: Vec<String>,
}

impl Outcome {
    /// Violations of what the scenario requires; empty if it passed.
    pub fn problems(&self) -> Vec<String> {
        let (findings, load) = (&self.trainer.findings, &self.load);
        let must_be_zero = [
            ("doubled samples", findings.doubled),
            ("lost samples", findings.lost),
            ("mislabelled samples", findings.mislabelled),
            ("crossed samples", findings.crossed),
            ("incomplete samples", findings.broken),
            ("samples over the staleness bound", findings.over_bound),
            ("misjudged samples", findings.misjudged),
            ("crossed answers", load.crossed),
            ("unreadable answers", load.broken),
            ("mislabelled answers", load.mislabelled),
            ("calls without an answer", load.unanswered),
            ("repeats with another answer", load.repeats_differ),
            ("non-idempotent double runs", load.double_runs),
            ("not-run answers that ran", load.not_run_ran),
            ("requests after a stop", load.late_starts),
            ("services whose records are unread", load.unread_services),
        ];
        let mut problems: Vec<String> = must_be_zero
            .iter()
            .filter(|(_, count)| *count > 0)
            .map(|(name, count)| format!("{name}: {count}"))
            .collect();
        if self.trainer.steps != self.trainer.steps_wanted || self.trainer.steps == 0 {
            let (steps, wanted) = (self.trainer.steps, self.trainer.steps_wanted);
            problems.push(format!("steps completed: {steps} of {wanted}"));
        }
        if load.requests > 0 && load.whole == 0 {
            problems.push("no call succeeded".into());
        }
        problems.extend(self.trainer.failures.iter().cloned());
        problems.extend(self.missing.iter().map(|name| format!("{name} wrote no report")));
        problems.extend(self.ended.iter().map(|name| format!("{name} has exited")));
        problems
    }
}

/// Starts the deployment with [`profiles`] and waits until it serves calls.
///
/// # Errors
///
/// Returns the process that did not become ready, or the profile that was rejected.
pub async fn bring_up(deployment: &Deployment) -> Result<(), ScenarioError> {
    bring_up_with(deployment, profiles()).await
}

/// Starts the deployment with the given profiles and waits until it serves calls. The wait uses the profile
/// `quality-lookup`, so it must be among them.
///
/// # Errors
///
/// See [`bring_up`].
pub async fn bring_up_with(
    deployment: &Deployment,
    profiles: Vec<inner::Profile>,
) -> Result<(), ScenarioError> {
    deployment.start_all()?;
    deployment.wait_ready(READY_TIMEOUT).await?;
    put_profiles(deployment, profiles).await?;
    for (entry, node) in deployment.nodes(Kind::Entry) {
        wait_serving(entry, &node.http).await?;
    }
    event!(info, "deployment_ready");
    Ok(())
}

/// Profiles of the local deployment; see `docs/design.md`, section 14.
pub fn profiles() -> Vec<inner::Profile> {
    let engine = |name: &str, kind: &str, objective| inner::Profile {
        name: name.into(),
        upstream_kind: kind.into(),
        class: inner::Class::Rollout.into(),
        idempotent: true,
        engine: true,
        deadline_ms: 30_000,
        max_staleness: MAX_STALENESS,
        objective: i32::from(objective),
        share: 1,
        judge_kind: String::new(),
        second_attempt_permille: 50,
    };
    let plain = |name: &str, kind: &str, class: inner::Class, idempotent| inner::Profile {
        name: name.into(),
        upstream_kind: kind.into(),
        class: class.into(),
        idempotent,
        deadline_ms: 3000,
        objective: inner::Objective::Idle.into(),
        share: 1,
        ..inner::Profile::default()
    };
    vec![
        inner::Profile {
            judge_kind: "judge".into(),
            ..engine("scorer", "scorer-llm", inner::Objective::Staleness)
        },
        plain("quality-lookup", "sheet-app", inner::Class::Lookup, true),
        plain("gate-slot", "booking-portal", inner::Class::Booking, false),
        engine("planner", "planner-lm", inner::Objective::Idle),
    ]
}

async fn put_profiles(
    deployment: &Deployment,
    profiles: Vec<inner::Profile>,
) -> Result<(), ScenarioError> {
    let control = deployment.control_client();
    for profile in profiles {
        let name = profile.name.clone();
        let order_id = format!("local-{}-{name}", std::process::id());
        let kind = Some(inner::command::Kind::PutProfile(profile));
        let command = inner::Command { expected_revision: Some(0), kind };
        let rejected = |reason: String| ScenarioError::Profile { profile: name.clone(), reason };
        let reply = control.propose(order_id, command, ORDER_TIMEOUT).await;
        let reply = reply.map_err(|e| rejected(e.to_string()))?;
        if reply.code != ResultCode::Ok.number() {
            return Err(rejected(format!("{} {}", reply.code, reply.message)));
        }
    }
    Ok(())
}

async fn wait_serving(entry: &str, address: &str) -> Result<(), ScenarioError> {
    const PROBE_INTERVAL: Duration = Duration::from_millis(100);
    let not_serving =
        |reason: String| ScenarioError::NotServing { entry: entry.to_owned(), reason };
    let client = Client::new().map_err(|e| not_serving(e.to_string()))?;
    let url = format!("http://{address}/v1/call/quality-lookup");
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let probe = serde_json::json!({"probe": entry});
        let reason = match client.post(&url, &probe, Duration::from_secs(3)).await {
            Ok(response) if response.status == 200 => return Ok(()),
            Ok(response) => String::from_utf8_lossy(&response.body).into_owned(),
            Err(e) => e.to_string(),
        };
        if Instant::now() >= deadline {
            return Err(not_serving(reason));
        }
        compio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Runs trainer and load on a deployment that serves calls.
///
/// # Errors
///
/// Returns a process that cannot be started.
pub async fn run(deployment: &mut Deployment, options: &Options) -> Result<Outcome, ScenarioError> {
    scenario_clients::add_clients(deployment, options);
    run_clients(deployment, options).await
}

/// Runs the trainer and load that [`scenario_clients::add_clients`] added.
///
/// # Errors
///
/// Returns a process that cannot be started.
pub async fn run_clients(
    deployment: &Deployment,
    options: &Options,
) -> Result<Outcome, ScenarioError> {
    let directory = &deployment.options().directory;
    let (trainer, load) = (directory.join("trainer.json"), directory.join("load.json"));
    let before = resource_use(deployment);
    let started = Instant::now();
    deployment.start("trainer")?;
    deployment.start("load")?;
    deployment.wait_exit("trainer", options.training_deadline).await?;
    deployment.wait_exit("load", options.max_duration().saturating_sub(started.elapsed())).await?;
    let elapsed = started.elapsed().as_secs_f64();
    let control = resource_use(deployment)
        .into_iter()
        .zip(before)
        .map(|(after, before)| NodeUse {
            cpu: (after.cpu - before.cpu) / elapsed,
            bytes_per_second: (after.bytes_per_second - before.bytes_per_second) / elapsed,
            ..after
        })
        .collect();
    let ended = exited_processes(deployment);
    let (trainer, load) = (read_report(&trainer), read_report(&load));
    let missing: Vec<String> =
        [trainer.as_ref().err(), load.as_ref().err()].into_iter().flatten().cloned().collect();
    let (trainer, load) = (trainer.unwrap_or_default(), load.unwrap_or_default());
    Ok(Outcome { trainer, load, control, ended, missing })
}

/// Resource use since the start of each process. The fields for rates hold totals.
fn resource_use(deployment: &Deployment) -> Vec<NodeUse> {
    let nodes = deployment.nodes(Kind::Control);
    nodes
        .map(|(name, _)| {
            let usage = deployment.usage(name).unwrap_or_default();
            NodeUse {
                name: name.to_owned(),
                cpu: usage.cpu_s,
                memory_bytes: usage.memory_bytes,
                bytes_per_second: deployment.relay_bytes(name) as f64,
            }
        })
        .collect()
}

fn exited_processes(deployment: &Deployment) -> Vec<String> {
    const KINDS: [Kind; 6] =
        [Kind::Control, Kind::Entry, Kind::Engine, Kind::Service, Kind::Judge, Kind::Weights];
    let nodes = KINDS.iter().flat_map(|kind| deployment.nodes(*kind));
    nodes.filter(|(name, _)| !deployment.running(name)).map(|(name, _)| name.to_owned()).collect()
}

/// Reads a report; the error is the name of the process that wrote none.
fn read_report<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    let text = std::fs::read(path).unwrap_or_default();
    let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    serde_json::from_slice(&text).map_err(|_| name)
}
