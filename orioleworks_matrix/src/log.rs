//! Cells of the replicated log: a fault at one step of a control replica while operators send conflicting orders.
//!
//! See `docs/design.md`, section 4.

use std::{rc::Rc, time::Duration};

use compio::time::sleep;
use orioleworks_standins::deployment::{DataDirectory, Kind};
use rand::{RngExt, rngs::StdRng};

use crate::{
    cell::{Cell, Column, Verdict},
    cluster::{Cluster, text, wait_for},
    orders::Operators,
};

/// Protocol of these cells.
pub const PROTOCOL: &str = "log";
/// Rounds before the fault; they give the log entries that a fault could lose.
const ROUNDS_BEFORE: u32 = 10;
/// Rounds after the fault.
const ROUNDS_AFTER: u32 = 10;
/// Rounds that a replica must miss to need a snapshot: each round has 2 orders, a snapshot is taken every 100 entries,
/// and 100 entries before a snapshot are kept.
const ROUNDS_MISSED: u32 = 160;
/// Smallest snapshot interval that the settings accept.
const SNAPSHOT_ENTRIES: u64 = 100;
/// Time limit until the step is reached.
const REACH_TIMEOUT: Duration = Duration::from_secs(15);
/// Duration of a pause at the step.
const PAUSE_MS: u64 = 2500;
/// Time for which the process waits at the step while the test injects the second part of the fault.
const HOLD_MS: u64 = 300;
/// Bound on the time without a result while a majority of disks is intact.
const PROGRESS_BOUND: Duration = Duration::from_secs(5);
/// Time limit until every replica holds all acknowledged orders.
const CONVERGENCE_BOUND: Duration = Duration::from_secs(10);
/// Time limit for a number of rounds on a working cluster.
const ROUNDS_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of orders that are resent at the end.
const RESENT_ORDERS: usize = 8;

struct CellState {
    cluster: Rc<Cluster>,
    operators: Rc<Operators>,
    leader: String,
    victim: String,
    /// Replica that fails in addition to the victim.
    other: String,
}

/// Fail point of a row, which may name the role of the victim after an `@`.
fn fail_point(row: &str) -> &str {
    row.split_once('@').map_or(row, |(name, _)| name)
}

fn is_vote(row: &str) -> bool {
    row.contains("vote_sync")
}

/// Whether the fault removes the majority for a time, so that the progress bound applies from the end of the fault.
fn loses_majority(cell: &Cell) -> bool {
    matches!(cell.column, Column::KillAndPartition | Column::PauseAndKill)
        || is_vote(cell.row)
        || cell.row == "log.before_promote"
}

/// Runs one cell.
///
/// # Errors
///
/// Returns the invariant that was violated.
pub async fn run(cell: &Cell) -> Result<Verdict, String> {
    if cell.row == "log.before_promote" && cell.column == Column::LostDisk {
        let reason = "two of three disks would be lost, and the guarantees need an intact majority";
        return Ok(Verdict::NotApplicable(reason.into()));
    }
    let mut rng = cell.rng();
    let snapshots = cell.row.contains("snapshot") || cell.row.contains("install");
    let cluster = Cluster::start(cell.seed, |o| {
        (o.entries_per_domain, o.snapshot_entries) = (0, snapshots.then_some(SNAPSHOT_ENTRIES));
    });
    let cluster = match cluster.await {
        Ok(cluster) => Rc::new(cluster),
        Err(reason) => return Ok(Verdict::NotRun(reason)),
    };
    let (operators, tasks) = Operators::start(&cluster);
    let outcome = inject_fault(cell, &cluster, &operators, &mut rng).await;
    operators.stop();
    let outcome = match outcome {
        Ok(None) => {
            for task in tasks {
                task.await.map_err(|_| "an operator panicked")?;
            }
            verify(&cluster, &operators).await.map(Verdict::Passed)
        }
        Ok(Some(reason)) => Ok(Verdict::NotRun(reason)),
        Err(reason) => {
            // Dropping the tasks cancels them; they hold references to the deployment.
            drop(tasks);
            Err(reason)
        }
    };
    drop(operators);
    let log_dir = match (&outcome, Rc::into_inner(cluster)) {
        (Err(_), Some(mut cluster)) => Some(cluster.keep_directory()),
        _ => None,
    };
    outcome.map_err(|reason| format!("{reason}; logs {log_dir:?}"))
}

async fn complete_rounds(operators: &Operators, count: u32) -> Result<(), String> {
    let wanted = operators.rounds() + count;
    let done = wait_for(ROUNDS_TIMEOUT, async || {
        operators.rounds() >= wanted || operators.violation().is_some()
    });
    let done = done.await;
    match operators.violation() {
        Some(violation) => Err(violation),
        None if !done => Err(format!("{count} rounds did not complete within {ROUNDS_TIMEOUT:?}")),
        None => Ok(()),
    }
}

async fn inject_fault(
    cell: &Cell,
    cluster: &Rc<Cluster>,
    operators: &Rc<Operators>,
    rng: &mut StdRng,
) -> Result<Option<String>, String> {
    complete_rounds(operators, ROUNDS_BEFORE).await?;
    let leader = cluster.leader().await?;
    let mut followers = cluster.names(Kind::Control);
    followers.retain(|name| *name != leader);
    let first = followers.remove(rng.random_range(0..2));
    let second = followers.remove(0);
    let victim_leads = cell.row.ends_with("@leader") || cell.row == "log.before_promote";
    let (victim, other) =
        if victim_leads { (leader.clone(), second) } else { (first.clone(), second) };
    let state =
        CellState { cluster: cluster.clone(), operators: operators.clone(), leader, victim, other };
    operators.measure_gap();
    let action = match cell.column {
        Column::Kill | Column::KillAndPartition | Column::LostDisk => "panic".to_owned(),
        Column::Pause | Column::PauseAndKill => format!("sleep({PAUSE_MS})"),
        Column::LostResponse | Column::Partition => format!("sleep({HOLD_MS})"),
    };
    trigger_step(cell, &state, &first, &action).await?;
    if !cluster.wait_reached(&state.victim, REACH_TIMEOUT).await {
        return Ok(Some("the step was not reached".into()));
    }
    apply_fault(cell, &state, rng).await?;
    if is_vote(cell.row) {
        sleep(Duration::from_millis(rng.random_range(300..1000))).await;
        cluster.deployment.resume(&state.leader).map_err(text)?;
    }
    if loses_majority(cell) {
        operators.measure_gap();
    }
    complete_rounds(operators, ROUNDS_AFTER).await?;
    let gap = operators.longest_gap();
    if gap > PROGRESS_BOUND {
        return Err(format!("no result for {} ms", gap.as_millis()));
    }
    Ok(None)
}

/// Arms the fail point and triggers the step at the victim.
async fn trigger_step(
    cell: &Cell,
    state: &CellState,
    follower: &str,
    action: &str,
) -> Result<(), String> {
    let CellState { cluster, operators, leader, victim, .. } = state;
    match cell.row {
        "log.before_install_reply" => {
            cluster.kill(victim)?;
            complete_rounds(operators, ROUNDS_MISSED).await?;
            cluster.arm(victim, cell.row, action)?;
            cluster.deployment.start(victim).map_err(text)
        }
        "log.before_promote" => {
            cluster.arm(victim, cell.row, action)?;
            cluster.deployment.restart(follower, DataDirectory::Empty).map_err(text)
        }
        row => {
            cluster.arm(victim, fail_point(row), action)?;
            if is_vote(row) {
                // The fail point is read from a file every 10 ms.
                sleep(Duration::from_millis(60)).await;
                cluster.deployment.pause(leader).map_err(text)?;
            }
            Ok(())
        }
    }
}

async fn apply_fault(cell: &Cell, state: &CellState, rng: &mut StdRng) -> Result<(), String> {
    let CellState { cluster, leader, victim, other, .. } = state;
    let downtime = Duration::from_millis(rng.random_range(200..800));
    let partition_time = Duration::from_millis(rng.random_range(1500..2500));
    match cell.column {
        Column::Kill => {
            sleep(downtime).await;
            cluster.restart(victim, DataDirectory::Unchanged)
        }
        Column::LostDisk => {
            sleep(downtime).await;
            cluster.restart(victim, DataDirectory::Empty)
        }
        Column::Pause => {
            sleep(Duration::from_millis(PAUSE_MS)).await;
            Ok(())
        }
        Column::LostResponse => {
            cluster.deployment.hold_replies([victim.as_str()]);
            sleep(Duration::from_millis(HOLD_MS + 300)).await;
            cluster.deployment.lose_replies([victim.as_str()]);
            Ok(())
        }
        Column::Partition => {
            partition_replica(cluster, victim);
            sleep(partition_time).await;
            cluster.deployment.heal_all();
            Ok(())
        }
        Column::KillAndPartition => {
            // In the vote rows the leader is already suspended, which its peers cannot distinguish from a partition.
            let cut = if is_vote(cell.row) { leader } else { other };
            partition_replica(cluster, cut);
            sleep(partition_time).await;
            cluster.restart(victim, DataDirectory::Unchanged)?;
            cluster.deployment.heal_all();
            Ok(())
        }
        Column::PauseAndKill => {
            cluster.kill(other)?;
            sleep(downtime).await;
            cluster.restart(other, DataDirectory::Unchanged)?;
            sleep(Duration::from_millis(PAUSE_MS).saturating_sub(downtime)).await;
            Ok(())
        }
    }
}

/// Partitions a replica from the other replicas; operators can still reach it.
fn partition_replica(cluster: &Cluster, name: &str) {
    for peer in cluster.names(Kind::Control).iter().filter(|peer| *peer != name) {
        cluster.deployment.cut(name, peer);
    }
}

/// Waits until every replica is a voter and holds all acknowledged orders; returns the figures of the cell.
async fn verify(cluster: &Cluster, operators: &Operators) -> Result<String, String> {
    if let Some(violation) = operators.violation() {
        return Err(violation);
    }
    let gap = operators.longest_gap();
    let mut last = String::new();
    let converged = wait_for(CONVERGENCE_BOUND, async || {
        for replica in 0..3 {
            let Some(status) = cluster.status(replica, false).await else {
                last = format!("replica {replica} gives no status");
                return false;
            };
            let members = status.membership.unwrap_or_default().members;
            if members.len() != 3 || members.iter().any(|member| member.learner) {
                last = format!("replica {replica} has members {members:?}");
                return false;
            }
            if let Err(e) = operators.check_config(&status.config.unwrap_or_default()) {
                last = format!("replica {replica}: {e}");
                return false;
            }
        }
        true
    });
    if !converged.await {
        return Err(last);
    }
    operators.resend(cluster, RESENT_ORDERS).await?;
    Ok(format!("longest_gap_ms={} rounds={}", gap.as_millis(), operators.rounds()))
}
