//! Cells of the replicated log: a fault at one step of a control replica while operators send conflicting orders.
//!
//! See `docs/design.md`, section 4.

use std::{rc::Rc, time::Duration};

use compio::time::sleep;
use orioleworks_standins::deployment::{DataDirectory, Kind};
use rand::{RngExt, rngs::StdRng};

use crate::{
    cell::{Cell, Column, Verdict},
    orders::Operators,
    site::{Site, text, wait_for},
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
const PAUSE_MS: u64 = 2500;
/// Time for which the process waits at the step while the test injects the second part of the fault.
const HOLD_MS: u64 = 300;
/// Bound on the time without a result while a majority of disks is intact.
const PROGRESS: Duration = Duration::from_secs(5);
/// Time limit until every replica holds all acknowledged orders.
const CONVERGENCE: Duration = Duration::from_secs(10);
/// Time limit for a number of rounds on a working cluster.
const ROUNDS_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of orders that are resent at the end.
const RESENT: usize = 8;

struct Bench {
    site: Rc<Site>,
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
    let site = Site::start(cell.seed, |o| {
        (o.entries_per_domain, o.snapshot_entries) = (0, snapshots.then_some(SNAPSHOT_ENTRIES));
    });
    let site = match site.await {
        Ok(site) => Rc::new(site),
        Err(reason) => return Ok(Verdict::NotRun(reason)),
    };
    let (operators, tasks) = Operators::start(&site);
    let outcome = disturb(cell, &site, &operators, &mut rng).await;
    operators.stop();
    let outcome = match outcome {
        Ok(None) => {
            for task in tasks {
                task.await.map_err(|_| "an operator panicked")?;
            }
            verify(&site, &operators).await.map(Verdict::Passed)
        }
        Ok(Some(reason)) => Ok(Verdict::NotRun(reason)),
        Err(reason) => {
            // Dropping the tasks cancels them; they hold references to the deployment.
            drop(tasks);
            Err(reason)
        }
    };
    drop(operators);
    let kept = match (&outcome, Rc::into_inner(site)) {
        (Err(_), Some(mut site)) => Some(site.keep()),
        _ => None,
    };
    outcome.map_err(|reason| format!("{reason}; logs {kept:?}"))
}

async fn rounds(operators: &Operators, count: u32) -> Result<(), String> {
    let wanted = operators.rounds() + count;
    let done = wait_for(ROUNDS_TIMEOUT, async || {
        operators.rounds() >= wanted || operators.problem().is_some()
    });
    let done = done.await;
    match operators.problem() {
        Some(problem) => Err(problem),
        None if !done => Err(format!("{count} rounds did not complete within {ROUNDS_TIMEOUT:?}")),
        None => Ok(()),
    }
}

async fn disturb(
    cell: &Cell,
    site: &Rc<Site>,
    operators: &Rc<Operators>,
    rng: &mut StdRng,
) -> Result<Option<String>, String> {
    rounds(operators, ROUNDS_BEFORE).await?;
    let leader = site.leader().await?;
    let mut followers = site.names(Kind::Control);
    followers.retain(|name| *name != leader);
    let first = followers.remove(rng.random_range(0..2));
    let second = followers.remove(0);
    let leads = cell.row.ends_with("@leader") || cell.row == "log.before_promote";
    let (victim, other) = if leads { (leader.clone(), second) } else { (first.clone(), second) };
    let bench = Bench { site: site.clone(), operators: operators.clone(), leader, victim, other };
    operators.measure_gap();
    let action = match cell.column {
        Column::Kill | Column::KillAndPartition | Column::LostDisk => "panic".to_owned(),
        Column::Pause | Column::PauseAndKill => format!("sleep({PAUSE_MS})"),
        Column::LostResponse | Column::Partition => format!("sleep({HOLD_MS})"),
    };
    lead_to_step(cell, &bench, &first, &action).await?;
    if !site.reached(&bench.victim, REACH_TIMEOUT).await {
        return Ok(Some("the step was not reached".into()));
    }
    apply(cell, &bench, rng).await?;
    if is_vote(cell.row) {
        sleep(Duration::from_millis(rng.random_range(300..1000))).await;
        site.deployment.resume(&bench.leader).map_err(text)?;
    }
    if loses_majority(cell) {
        operators.measure_gap();
    }
    rounds(operators, ROUNDS_AFTER).await?;
    let gap = operators.longest_gap();
    if gap > PROGRESS {
        return Err(format!("no result for {} ms", gap.as_millis()));
    }
    Ok(None)
}

/// Arms the fail point and triggers the step at the victim.
async fn lead_to_step(
    cell: &Cell,
    bench: &Bench,
    follower: &str,
    action: &str,
) -> Result<(), String> {
    let Bench { site, operators, leader, victim, .. } = bench;
    match cell.row {
        "log.before_install_reply" => {
            site.kill(victim)?;
            rounds(operators, ROUNDS_MISSED).await?;
            site.arm(victim, cell.row, action)?;
            site.deployment.start(victim).map_err(text)
        }
        "log.before_promote" => {
            site.arm(victim, cell.row, action)?;
            site.deployment.restart(follower, DataDirectory::Empty).map_err(text)
        }
        row => {
            site.arm(victim, fail_point(row), action)?;
            if is_vote(row) {
                // The fail point is read from a file every 10 ms.
                sleep(Duration::from_millis(60)).await;
                site.deployment.pause(leader).map_err(text)?;
            }
            Ok(())
        }
    }
}

async fn apply(cell: &Cell, bench: &Bench, rng: &mut StdRng) -> Result<(), String> {
    let Bench { site, leader, victim, other, .. } = bench;
    let down = Duration::from_millis(rng.random_range(200..800));
    let long = Duration::from_millis(rng.random_range(1500..2500));
    match cell.column {
        Column::Kill => {
            sleep(down).await;
            site.restart(victim, DataDirectory::Same)
        }
        Column::LostDisk => {
            sleep(down).await;
            site.restart(victim, DataDirectory::Empty)
        }
        Column::Pause => {
            sleep(Duration::from_millis(PAUSE_MS)).await;
            Ok(())
        }
        Column::LostResponse => {
            site.deployment.hold_replies([victim.as_str()]);
            sleep(Duration::from_millis(HOLD_MS + 300)).await;
            site.deployment.lose_replies([victim.as_str()]);
            Ok(())
        }
        Column::Partition => {
            cut_off(site, victim);
            sleep(long).await;
            site.deployment.heal_all();
            Ok(())
        }
        Column::KillAndPartition => {
            // In the vote rows the leader is already suspended, which its peers cannot distinguish from a partition.
            let cut = if is_vote(cell.row) { leader } else { other };
            cut_off(site, cut);
            sleep(long).await;
            site.restart(victim, DataDirectory::Same)?;
            site.deployment.heal_all();
            Ok(())
        }
        Column::PauseAndKill => {
            site.kill(other)?;
            sleep(down).await;
            site.restart(other, DataDirectory::Same)?;
            sleep(Duration::from_millis(PAUSE_MS).saturating_sub(down)).await;
            Ok(())
        }
    }
}

/// Partitions a replica from the other replicas; operators can still reach it.
fn cut_off(site: &Site, name: &str) {
    for peer in site.names(Kind::Control).iter().filter(|peer| *peer != name) {
        site.deployment.cut(name, peer);
    }
}

/// Waits until every replica is a voter and holds all acknowledged orders; returns the figures of the cell.
async fn verify(site: &Site, operators: &Operators) -> Result<String, String> {
    if let Some(problem) = operators.problem() {
        return Err(problem);
    }
    let gap = operators.longest_gap();
    let mut last = String::new();
    let converged = wait_for(CONVERGENCE, async || {
        for replica in 0..3 {
            let Some(status) = site.status(replica, false).await else {
                last = format!("replica {replica} gives no status");
                return false;
            };
            let members = status.membership.unwrap_or_default().members;
            if members.len() != 3 || members.iter().any(|member| member.learner) {
                last = format!("replica {replica} has members {members:?}");
                return false;
            }
            if let Err(e) = operators.compare(&status.config.unwrap_or_default()) {
                last = format!("replica {replica}: {e}");
                return false;
            }
        }
        true
    });
    if !converged.await {
        return Err(last);
    }
    operators.resend(site, RESENT).await?;
    Ok(format!("longest_gap_ms={} rounds={}", gap.as_millis(), operators.rounds()))
}
