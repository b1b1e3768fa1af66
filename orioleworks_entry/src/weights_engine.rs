//! Brings one engine to the desired version: prefetch, activation, verification and retry.
//!
//! See `docs/design.md`, section 9.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::time;
use fail::fail_point;
use orioleworks_daemon::event;

use crate::{
    members::Engine,
    signal::Signal,
    weights::Deps,
    weights_http::{Engines, Order, Phase, SwapError, Weights},
    weights_lease::{LONGEST_DELIVERY_MS, Lease},
};

/// Interval at which the state of an engine is read during a swap.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// A prefetch that takes longer is ordered again.
const PREFETCH_TIMEOUT: Duration = Duration::from_secs(60);
/// An activation that takes longer is ordered again. An engine does not report a failed activation, and after two
/// failures there must be time for a third attempt within the limit of 6 s. A repeated order for a swap in progress has
/// no effect.
const ACTIVATE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest wait of a prefetched engine for the others; every engine must run new weights within 6 s.
const ACTIVATION_WAIT: Duration = Duration::from_secs(3);
/// Pause before a failed swap is retried; it doubles with each further failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause before a failed swap is retried.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// State shared by the tasks of all engines.
pub struct Shared {
    /// Inputs of the loop.
    pub deps: Deps,
    /// Client of the engines.
    pub engines: Engines,
    /// Number of prefetches in progress.
    pub active_prefetches: Cell<usize>,
    /// Result of the prefetch, by name and incarnation of the engine.
    pub prefetch_outcomes: RefCell<HashMap<(Rc<str>, u64), PrefetchOutcome>>,
    /// Wakes waiting tasks when a prefetch has ended.
    pub signal: Signal,
}

/// Result of an engine's prefetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefetchOutcome {
    /// The version is loaded.
    Version(u64),
    /// The swap failed; other engines do not wait for this one.
    Failed,
}

/// Permit for one prefetch, released on drop.
struct Permit<'a>(&'a Shared);

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.0.active_prefetches.set(self.0.active_prefetches.get() - 1);
        self.0.signal.notify();
    }
}

/// Retries the swap until the engine runs the desired version or is no longer live.
pub async fn bring_to_desired_version(shared: &Shared, lease: &Lease, key: &(Rc<str>, u64)) {
    let mut pause = RETRY_PAUSE;
    while let Some(engine) = shared.engine(key) {
        let Some(desired) = shared.deps.configuration.version(&engine.model) else { return };
        let error = match swap(shared, lease, &engine, desired).await {
            Ok(()) => return,
            // If control renews the lease, this task continues. A lost lease cancels it, and a new one starts another.
            Err(SwapError::NoLease) => {
                time::sleep(READ_INTERVAL).await;
                continue;
            }
            Err(SwapError::Superseded) => continue,
            Err(e) => e,
        };
        event!(warn, "swap_failed", engine = key.0, version = desired, reason = error);
        metrics::counter!("orioleworks_swap_failures_total").increment(1);
        shared.prefetch_outcomes.borrow_mut().insert(key.clone(), PrefetchOutcome::Failed);
        shared.signal.notify();
        time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

/// Attempts one swap; returns `Ok` after the engine itself has reported the desired version.
async fn swap(
    shared: &Shared,
    lease: &Lease,
    engine: &Engine,
    desired: u64,
) -> Result<(), SwapError> {
    let mut weights = shared.engines.read(&engine.address).await?;
    if weights.version >= desired {
        return Ok(());
    }
    if !engine.checks_fencing {
        // An order of the previous lease holder may still be in transit, and the engine would accept it.
        time::sleep(lease.unfenced_wait()).await;
    }
    if !is_prefetched(&weights, desired) {
        let _permit = shared.prefetch_permit().await;
        send_order(shared, lease, engine, desired, Phase::Prefetch).await?;
        let done = |weights: &Weights| is_prefetched(weights, desired);
        weights = read_until(shared, engine, desired, PREFETCH_TIMEOUT, done).await?;
    }
    let key = (engine.name.clone(), engine.incarnation);
    shared.prefetch_outcomes.borrow_mut().insert(key, PrefetchOutcome::Version(desired));
    shared.signal.notify();
    if weights.version < desired {
        shared.wait_for_others(&engine.model, desired).await;
        send_order(shared, lease, engine, desired, Phase::Activate).await?;
    }
    read_until(shared, engine, desired, ACTIVATE_TIMEOUT, |weights| weights.version >= desired)
        .await?;
    metrics::counter!("orioleworks_swaps_total").increment(1);
    if !engine.checks_fencing {
        // A late order of a previous lease holder can revert the swap; later reversals show in the announcements.
        time::sleep(Duration::from_millis(LONGEST_DELIVERY_MS)).await;
        if shared.engines.read(&engine.address).await?.version < desired {
            return Err(SwapError::Reverted);
        }
    }
    event!(info, "engine_swapped", engine = engine.name, version = desired);
    Ok(())
}

fn is_prefetched(weights: &Weights, desired: u64) -> bool {
    weights.version >= desired || weights.prefetched.is_some_and(|version| version >= desired)
}

async fn send_order(
    shared: &Shared,
    lease: &Lease,
    engine: &Engine,
    version: u64,
    phase: Phase,
) -> Result<(), SwapError> {
    fail_point!("weights.before_order");
    // The lease is checked directly before sending, because the process may have been suspended before.
    let fencing = lease.next_order(engine.checks_fencing).ok_or(SwapError::NoLease)?;
    let result = shared.engines.order(&engine.address, Order { version, phase, fencing }).await;
    fail_point!("weights.after_order");
    result.map(|_| ())
}

/// Reads the engine's state until `done` accepts it.
async fn read_until(
    shared: &Shared,
    engine: &Engine,
    desired: u64,
    limit: Duration,
    done: impl Fn(&Weights) -> bool,
) -> Result<Weights, SwapError> {
    let deadline = Instant::now() + limit;
    loop {
        let weights = shared.engines.read(&engine.address).await?;
        if done(&weights) {
            return Ok(weights);
        }
        if shared.deps.configuration.version(&engine.model) != Some(desired) {
            return Err(SwapError::Superseded);
        }
        if Instant::now() >= deadline {
            return Err(SwapError::TimedOut);
        }
        time::sleep(READ_INTERVAL).await;
    }
}

impl Shared {
    /// The engine with a name and incarnation, if it is still live.
    fn engine(&self, (name, incarnation): &(Rc<str>, u64)) -> Option<Engine> {
        let engines = (self.deps.engines)();
        engines.into_iter().find(|e| e.name == *name && e.incarnation == *incarnation)
    }

    async fn prefetch_permit(&self) -> Permit<'_> {
        loop {
            let changed = self.signal.wait();
            if self.active_prefetches.get() < self.deps.max_prefetches {
                self.active_prefetches.set(self.active_prefetches.get() + 1);
                return Permit(self);
            }
            changed.up_to(ACTIVATION_WAIT).await;
        }
    }

    /// Waits until the other engines of the model have prefetched or failed, at most for the limit.
    async fn wait_for_others(&self, model: &str, desired: u64) {
        let deadline = Instant::now() + ACTIVATION_WAIT;
        loop {
            let changed = self.signal.wait();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() || self.all_prefetched_or_failed(model, desired) {
                return;
            }
            changed.up_to(remaining.min(READ_INTERVAL * 2)).await;
        }
    }

    fn all_prefetched_or_failed(&self, model: &str, desired: u64) -> bool {
        let prefetch_outcomes = self.prefetch_outcomes.borrow();
        (self.deps.engines)().into_iter().filter(|engine| *engine.model == *model).all(|engine| {
            engine.weight_version >= desired
                || match prefetch_outcomes.get(&(engine.name, engine.incarnation)) {
                    Some(PrefetchOutcome::Version(version)) => *version >= desired,
                    Some(PrefetchOutcome::Failed) => true,
                    None => false,
                }
        })
    }
}
