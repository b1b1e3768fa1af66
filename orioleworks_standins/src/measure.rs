//! Runs one workload under one policy on a new deployment and collects its figures.

use std::{
    collections::BTreeMap,
    path::Path,
    time::{Duration, Instant},
};

use displaydoc::Display;
use futures_util::future::join;
use orioleworks_daemon::event;

use crate::{
    client::Client,
    deployment::{self, Deployment, DeploymentError, Kind},
    measure_figures::{Counters, Figures},
    measure_policy::Policy,
    measure_workload::{Action, Workload},
    scenario::{self, ScenarioError},
    scenario_clients,
};

/// Longest wait for the processes of one kind to exit.
const STOP_DEADLINE: Duration = Duration::from_secs(2);
/// Longest wait for one request to a process of the deployment.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a workload could not be run.
#[derive(Debug, Display)]
pub enum MeasureError {
    /// temporary directory: {0}
    Directory(std::io::Error),
    /// {0}
    Scenario(ScenarioError),
}

impl std::error::Error for MeasureError {}

impl From<ScenarioError> for MeasureError {
    fn from(e: ScenarioError) -> Self {
        Self::Scenario(e)
    }
}

impl From<DeploymentError> for MeasureError {
    fn from(e: DeploymentError) -> Self {
        Self::Scenario(ScenarioError::Deployment(e))
    }
}

/// Runs the workload once. With `keep`, the settings and logs are not deleted.
///
/// # Errors
///
/// Returns the process that did not start, or the profile that was rejected.
pub async fn run(
    bin_dir: &Path,
    workload: &Workload,
    policy: &Policy,
    keep: bool,
) -> Result<Figures, MeasureError> {
    let directory = tempfile::Builder::new().prefix("orioleworks-measure-").tempdir();
    let directory = directory.map_err(MeasureError::Directory)?;
    let seed = workload.scenario.seed;
    let mut layout = deployment::Options::consortium(bin_dir, directory.path(), seed);
    layout.relays = false;
    layout.engines_per_domain = workload.engines_per_domain;
    layout.engine_args = workload.engine_args.clone();
    layout.service_args = workload.service_args.clone();
    layout.weights_args = workload.weights_args.clone();
    layout.routing = policy.routing();
    let mut deployment = Deployment::prepare(layout).await?;
    let result = run_traffic(&mut deployment, workload, policy).await;
    deployment.stop_all(STOP_DEADLINE).await;
    if keep {
        eprintln!("settings and logs: {}", directory.keep().display());
    }
    result
}

async fn run_traffic(
    deployment: &mut Deployment,
    workload: &Workload,
    policy: &Policy,
) -> Result<Figures, MeasureError> {
    let mut profiles = workload.profiles();
    policy.apply_to(&mut profiles);
    scenario::bring_up_with(deployment, profiles).await?;
    scenario_clients::add_clients(deployment, &workload.scenario);
    let deployment = &*deployment;
    let actions = run_actions(deployment, &workload.actions);
    let (outcome, ()) = join(scenario::run_clients(deployment, &workload.scenario), actions).await;
    let outcome = outcome?;
    let counters = scrape(deployment).await;
    Ok(Figures::new(&outcome, &counters))
}

/// Carries out each action at its time.
async fn run_actions(deployment: &Deployment, actions: &[(Duration, Action)]) {
    let started = Instant::now();
    for (at, action) in actions {
        compio::time::sleep(at.saturating_sub(started.elapsed())).await;
        match action {
            Action::Fault(prefix, json) => set_fault(deployment, prefix, json).await,
            Action::KillDomain(domain) => kill_domain(deployment, domain),
        }
        event!(info, "act", act = format!("{action:?}"));
    }
}

async fn set_fault(deployment: &Deployment, prefix: &str, json: &'static str) {
    let Ok(client) = Client::new() else { return };
    for kind in [Kind::Engine, Kind::Service] {
        for (name, node) in deployment.nodes(kind).filter(|(name, _)| name.starts_with(prefix)) {
            let url = format!("http://{}/fault", node.http);
            let post = http::Method::POST;
            if let Err(e) = client.send(post, &url, &[], json, SCRAPE_TIMEOUT).await {
                event!(warn, "fault_not_set", upstream = name, reason = e);
            }
        }
    }
}

fn kill_domain(deployment: &Deployment, domain: &str) {
    for kind in [Kind::Entry, Kind::Engine, Kind::Service] {
        for (name, _) in deployment.nodes(kind).filter(|(_, node)| node.domain == domain) {
            if let Err(e) = deployment.kill(name) {
                event!(warn, "not_killed", name = name, reason = e);
            }
        }
    }
}

/// Collects the counters of all running entries and the prefix cache counts of all running engines.
async fn scrape(deployment: &Deployment) -> Counters {
    let mut counters = Counters::default();
    let Ok(client) = Client::new() else { return counters };
    for (name, node) in deployment.nodes(Kind::Entry) {
        let url = format!("http://{}/metrics", node.http);
        if deployment.running(name)
            && let Ok(response) = client.get(&url, SCRAPE_TIMEOUT).await
        {
            counters.add_exposition(&String::from_utf8_lossy(&response.body));
        }
    }
    for (name, node) in deployment.nodes(Kind::Engine) {
        let url = format!("http://{}/v1/state", node.http);
        if deployment.running(name)
            && let Ok(response) = client.get(&url, SCRAPE_TIMEOUT).await
            && let Ok(state) = response.json::<BTreeMap<String, serde_json::Value>>()
        {
            let count = |key: &str| state.get(key).and_then(serde_json::Value::as_f64);
            counters.prefix_lookups += count("prefix_lookups").unwrap_or(0.0);
            counters.prefix_hits += count("prefix_hits").unwrap_or(0.0);
        }
    }
    counters
}
