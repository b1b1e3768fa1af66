//! Cells of sample delivery with a fault at a step of the owner or of the trainer; see `docs/MATRIX-samples.md`.

use std::{
    collections::BTreeSet,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use orioleworks_proto::{codes::ResultCode, inner};
use orioleworks_standins::{
    deployment::{DataDirectory, Deployment, Kind},
    layout::args,
    provenance, scenario,
    trainer::TrainerReport,
    trainer_ledger::DurableState,
};
use rand::{RngExt, seq::SliceRandom};

use crate::{
    cell::Verdict,
    http_relay::HttpRelays,
    verdicts::{self, CellId, text},
};

/// Training steps of a run. The second step needs the version that is published after the first.
const STEPS: u64 = 2;
/// Groups in a step.
const GROUPS: u32 = 4;
/// Samples in a group.
const SAMPLES: u32 = 4;
/// Maximum length of a sample in tokens.
const MAX_TOKENS: u64 = 48;
/// Staleness bound; with 0, each sample of the second step must come from the new version.
const MAX_STALENESS: u32 = 0;
/// Duration of a pause; longer than the two waits after which the trainer considers an owner lost.
const PAUSE: Duration = Duration::from_millis(6500);
/// Time from a crash to the restart.
const DOWNTIME: Duration = Duration::from_secs(1);
/// Duration of a partition or of a pause of the control leader.
const LONG_FAULT: Duration = Duration::from_secs(4);
/// Time limit until the fault is injected.
const REACH_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit from the fault to the end of both steps, not counting a pause.
const RECOVERY_BOUND: Duration = Duration::from_secs(10);

/// Fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The owner crashes and is restarted.
    OwnerKill,
    /// The owner is suspended until its run has been reopened at another entry, then resumes.
    OwnerPause,
    /// A response to the trainer is lost.
    LostResponse,
    /// The trainer crashes and is restarted.
    TrainerKill,
    /// The owner is partitioned from every control replica.
    OwnerPartition,
    /// An engine that runs samples crashes and is restarted.
    EngineKill,
    /// The owner crashes, then the new owner crashes at the same step.
    BothOwnersKill,
    /// The owner crashes while the control leader is suspended.
    OwnerKillLeaderPause,
}

impl Fault {
    fn name(self) -> &'static str {
        match self {
            Self::OwnerKill => "kill",
            Self::OwnerPause => "pause",
            Self::LostResponse => "lost_response",
            Self::TrainerKill => "trainer_kill",
            Self::OwnerPartition => "partition",
            Self::EngineKill => "engine_kill",
            Self::BothOwnersKill => "kill+kill",
            Self::OwnerKillLeaderPause => "kill+leader_pause",
        }
    }
}

/// Runs the cell of a step and a fault. In the rows `trainer.before_persist` and `trainer.after_persist` the trainer
/// itself crashes at the step in addition to the fault; the other rows are fail points of the owner.
pub fn run(row: &'static str, fault: Fault) {
    let cell_id = CellId::new("samples", row, fault.name());
    verdicts::run(cell_id, |directory| async move { cell(cell_id, fault, directory).await });
}

struct Cluster {
    deployment: Deployment,
    relays: HttpRelays,
    /// Entries in the order in which the trainer tries them.
    entries: Vec<String>,
    directory: PathBuf,
    seed: u64,
}

async fn cell(cell_id: CellId, fault: Fault, directory: PathBuf) -> Result<Verdict, String> {
    let mut rng = cell_id.rng();
    let cluster = Cluster::start(cell_id, &directory, &mut rng).await?;
    let trainer_row = cell_id.row.starts_with("trainer.");
    // A run is opened once in a training step; the other fail points are reached many times.
    let arm_late = !trainer_row && cell_id.row != "runs.after_open" && rng.random_bool(0.5);
    let delay = Duration::from_millis(if arm_late { rng.random_range(50..300) } else { 0 });
    let engine = rng.random_range(1..=2);
    if delay.is_zero() && !trainer_row {
        cluster.arm(cell_id.row, fault)?;
    }
    cluster.deployment.start("trainer").map_err(text)?;
    if !delay.is_zero() {
        compio::time::sleep(delay).await;
        cluster.arm(cell_id.row, fault)?;
    }
    let (deployment, owner) = (&cluster.deployment, cluster.entries[0].as_str());
    let reached = || match trainer_row {
        true => !deployment.running("trainer"),
        false => deployment.fail_point_reached(owner),
    };
    if !verdicts::wait_for(REACH_TIMEOUT, reached).await {
        return Ok(Verdict::NotRun(format!("{} was not reached", cell_id.row)));
    }
    let began = Instant::now();
    cluster.inject_fault(fault, trainer_row, engine).await?;
    let limit = RECOVERY_BOUND + if fault == Fault::OwnerPause { PAUSE } else { Duration::ZERO };
    let code = deployment.wait_exit("trainer", limit.saturating_sub(began.elapsed())).await;
    let took = began.elapsed();
    if code.map_err(text)? != Some(0) {
        return Err(format!("the run did not complete within {limit:?} after the fault"));
    }
    let opens = cluster.check_report()?;
    if fault == Fault::LostResponse && cluster.relays.dropped_responses() == 0 {
        return Ok(Verdict::NotRun("no response was lost".into()));
    }
    Ok(Verdict::Passed(format!("recovery_ms={} last_process_opens={opens}", took.as_millis())))
}

impl Cluster {
    async fn start(
        cell_id: CellId,
        directory: &Path,
        rng: &mut rand::rngs::StdRng,
    ) -> Result<Self, String> {
        let mut options = verdicts::small_options(directory, cell_id.seed)?;
        options.engine_args = args(&[("token-us", "6000")]);
        let mut deployment = Deployment::prepare(options).await.map_err(text)?;
        let mut nodes: Vec<(String, String)> =
            deployment.nodes(Kind::Entry).map(|(n, node)| (n.into(), node.http.clone())).collect();
        nodes.shuffle(rng);
        let (entries, addresses): (Vec<String>, Vec<String>) = nodes.into_iter().unzip();
        let relays = HttpRelays::start(&addresses).await.map_err(text)?;
        let mut trainer_args = args(&[
            ("entries", &relays.addresses.join(",")),
            ("weights", &deployment.addresses(Kind::Weights)),
            ("run", "nightly"),
            ("steps", &STEPS.to_string()),
            ("groups", &GROUPS.to_string()),
            ("samples", &SAMPLES.to_string()),
            ("max-tokens", &MAX_TOKENS.to_string()),
            ("max-staleness", &MAX_STALENESS.to_string()),
            ("seed", &cell_id.seed.to_string()),
            ("train-ms", "50"),
            ("wait-ms", "400"),
            ("step-deadline-ms", "25000"),
            ("state", &directory.join("state.json").display().to_string()),
            ("report", &directory.join("report.json").display().to_string()),
        ]);
        if let Some(step) = cell_id.row.strip_prefix("trainer.") {
            let when = if step == "before_persist" { "before" } else { "after" };
            trainer_args
                .extend(args(&[("crash-at", &format!("{when}:{}", rng.random_range(1..=3)))]));
        }
        deployment.add_client("trainer", "standin-trainer", trainer_args);
        deployment.start_all().map_err(text)?;
        deployment.wait_ready(Duration::from_secs(15)).await.map_err(text)?;
        let cluster =
            Self { deployment, relays, entries, directory: directory.into(), seed: cell_id.seed };
        cluster.put_profile().await?;
        Ok(cluster)
    }

    async fn put_profile(&self) -> Result<(), String> {
        let profiles = scenario::profiles().into_iter();
        let scorer = profiles.filter(|profile| profile.name == "scorer").map(|profile| {
            inner::Profile { judge_kind: String::new(), max_staleness: MAX_STALENESS, ..profile }
        });
        for profile in scorer {
            let kind = Some(inner::command::Kind::PutProfile(profile));
            let command = inner::Command { expected_revision: Some(0), kind };
            let control = self.deployment.control_client();
            let reply = control.propose("profile-scorer", command, Duration::from_secs(10)).await;
            let reply = reply.map_err(text)?;
            if reply.code != ResultCode::Ok.number() {
                return Err(format!("profile refused: {} {}", reply.code, reply.message));
            }
        }
        // The trainer treats an unknown profile as a refusal by this entry, so the wait only saves some attempts.
        compio::time::sleep(Duration::from_millis(300)).await;
        Ok(())
    }

    /// Arms the fail point of the owner. External faults use it only to detect that the step is reached.
    fn arm(&self, row: &str, fault: Fault) -> Result<(), String> {
        let pause = format!("sleep({})", PAUSE.as_millis());
        let action = match fault {
            Fault::OwnerKill | Fault::BothOwnersKill | Fault::OwnerKillLeaderPause => "panic",
            Fault::OwnerPause => &pause,
            _ => "sleep(60)",
        };
        if fault == Fault::BothOwnersKill {
            self.deployment.arm_fail_point(&self.entries[1], row, action).map_err(text)?;
        }
        self.deployment.arm_fail_point(&self.entries[0], row, action).map_err(text)
    }

    /// Injects the part of the fault that the fail point does not cover, and ends the fault.
    async fn inject_fault(
        &self,
        fault: Fault,
        trainer_row: bool,
        engine: u32,
    ) -> Result<(), String> {
        let (deployment, owner) = (&self.deployment, self.entries[0].as_str());
        if trainer_row {
            self.inject_entry_fault(fault).await?;
        }
        match fault {
            Fault::OwnerPause if !trainer_row => {}
            Fault::OwnerPause => {
                deployment.start("trainer").map_err(text)?;
                compio::time::sleep(PAUSE).await;
                deployment.resume(owner).map_err(text)?;
            }
            Fault::LostResponse => self.relays.drop_next_response(),
            Fault::TrainerKill => deployment.kill("trainer").map_err(text)?,
            Fault::OwnerPartition => {
                let control: Vec<&str> = deployment.nodes(Kind::Control).map(|n| n.0).collect();
                control.iter().for_each(|name| deployment.cut(owner, name));
                deployment.start("trainer").map_err(text)?;
                compio::time::sleep(LONG_FAULT).await;
                control.iter().for_each(|name| deployment.heal(owner, name));
            }
            Fault::EngineKill => {
                let domain = owner.chars().rev().nth(1).unwrap_or('a');
                let engine = format!("scorer-{domain}{engine}");
                deployment.kill(&engine).map_err(text)?;
                deployment.start("trainer").map_err(text)?;
                compio::time::sleep(DOWNTIME).await;
                deployment.start(&engine).map_err(text)?;
            }
            Fault::OwnerKill | Fault::BothOwnersKill => {
                deployment.start("trainer").map_err(text)?;
                compio::time::sleep(DOWNTIME).await;
                self.restart(owner)?;
            }
            Fault::OwnerKillLeaderPause => {
                let leader =
                    verdicts::wait_for_leader(deployment).await.ok_or("no control leader")?;
                deployment.pause(&leader).map_err(text)?;
                deployment.start("trainer").map_err(text)?;
                compio::time::sleep(LONG_FAULT).await;
                deployment.resume(&leader).map_err(text)?;
                self.restart(owner)?;
            }
        }
        if fault == Fault::BothOwnersKill {
            let second = self.entries[1].as_str();
            let crashed = || !deployment.running(second);
            if !verdicts::wait_for(REACH_TIMEOUT, crashed).await {
                return Err("the second owner did not reach the step".into());
            }
            self.restart(second)?;
        }
        deployment.start("trainer").map_err(text)
    }

    /// Injects the entry's fault in the rows of the trainer, where the fail points of entries are not armed.
    async fn inject_entry_fault(&self, fault: Fault) -> Result<(), String> {
        let deployment = &self.deployment;
        match fault {
            Fault::OwnerKill | Fault::BothOwnersKill | Fault::OwnerKillLeaderPause => {
                deployment.kill(&self.entries[0]).map_err(text)?;
                if fault == Fault::BothOwnersKill {
                    deployment.kill(&self.entries[1]).map_err(text)?;
                }
                Ok(())
            }
            Fault::OwnerPause => deployment.pause(&self.entries[0]).map_err(text),
            _ => Ok(()),
        }
    }

    fn restart(&self, entry: &str) -> Result<(), String> {
        self.deployment.disarm_fail_points(entry).map_err(text)?;
        self.deployment.restart(entry, DataDirectory::Unchanged).map_err(text)
    }

    fn check_report(&self) -> Result<u64, String> {
        let path = self.directory.join("report.json");
        let report = std::fs::read(path).map_err(text)?;
        let report: TrainerReport = serde_json::from_slice(&report).map_err(text)?;
        let expected_samples = STEPS * u64::from(GROUPS) * u64::from(SAMPLES);
        let findings = report.findings;
        let expected = orioleworks_standins::trainer::Findings {
            samples: expected_samples,
            ..Default::default()
        };
        if findings != expected || report.steps != STEPS || !report.failures.is_empty() {
            return Err(format!("{findings:?}, {} steps, {:?}", report.steps, report.failures));
        }
        let durable = DurableState::read(&self.directory.join("state.json"))?.ok_or("no state")?;
        check_state(&durable, self.seed)?;
        Ok(report.delivery.opens)
    }
}

/// Checks the samples of the last step independently of the trainer's own findings.
fn check_state(durable: &DurableState, seed: u64) -> Result<(), String> {
    let slots: Vec<(String, u32)> =
        (0..GROUPS).flat_map(|g| (0..SAMPLES).map(move |i| (g.to_string(), i))).collect();
    let mut stored: Vec<(String, u32)> =
        durable.samples.iter().map(|s| (s.group.clone(), s.index)).collect();
    stored.sort();
    if stored != slots || durable.state.taken != slots.into_iter().collect::<BTreeSet<_>>() {
        return Err(format!("slots in the state: {stored:?}"));
    }
    let (run, step) = (&durable.state.run, durable.state.step);
    for sample in &durable.samples {
        let prompt = format!("{run} {seed} step {step} group {}", sample.group);
        let origin = provenance::verify_complete(&prompt, seed, MAX_TOKENS, &sample.text);
        let spans: Vec<provenance::Span> = sample.spans.iter().map(Into::into).collect();
        let origin = origin.map_err(text)?;
        if !provenance::same_spans(&origin.spans, &spans) {
            return Err(format!("{}/{}: {spans:?}", sample.group, sample.index));
        }
        // The trainer's version in step n is n: it starts at 1 and increases by 1 with each step.
        let lowest = origin.spans.iter().map(|span| span.version).min().unwrap_or(0);
        if step.saturating_sub(lowest) > u64::from(MAX_STALENESS) {
            return Err(format!("{}/{} is of version {lowest}", sample.group, sample.index));
        }
    }
    Ok(())
}
