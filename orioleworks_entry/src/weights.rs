//! Brings the engines of the failure domain to the desired weight versions.
//!
//! See `docs/design.md`, section 9. The loop is level-triggered: it compares announced with desired versions and
//! starts one task for each engine with an older version. It never orders a version lower than the announced one,
//! because versions only increase and an entry with an outdated configuration would otherwise revert a swap.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{runtime, time};
use fail::fail_point;
use futures_util::{FutureExt, select};
use orioleworks_daemon::{control::ControlClient, event};
use tokio_util::sync::CancellationToken;

use crate::{
    configuration::Configuration,
    members::Engine,
    signal::Signal,
    weights_engine::{self, Shared},
    weights_http::Engines,
    weights_lease::{self, Lease, RENEWAL_INTERVAL},
};

/// Interval at which announced and desired versions are compared.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);

/// Inputs of the loop.
#[derive(Clone)]
pub struct Deps {
    /// Name of this entry.
    pub entry: Rc<str>,
    /// Number that increases with every start of this entry.
    pub incarnation: u64,
    /// Failure domain whose engines get orders.
    pub failure_domain: Rc<str>,
    /// Client of control.
    pub control: ControlClient,
    /// Configuration with the desired versions.
    pub configuration: Configuration,
    /// Maximum number of engines that prefetch concurrently.
    pub max_prefetches: usize,
    /// Live engines of the failure domain.
    pub engines: Rc<dyn Fn() -> Vec<Engine>>,
}

type BusyEngines = Rc<RefCell<HashSet<(Rc<str>, u64)>>>;

/// Acquires the lease and sends orders to engines while it is held, until the token is cancelled.
///
/// # Errors
///
/// Returns an error when the HTTP client cannot start.
pub async fn run(deps: Deps, token: CancellationToken) -> cyper::Result<()> {
    let engines = Engines::new(cyper::Client::new()?);
    let shared = Rc::new(Shared {
        deps,
        engines,
        active_prefetches: Cell::new(0),
        prefetch_outcomes: RefCell::default(),
        signal: Signal::default(),
    });
    let mut held: Option<Rc<Lease>> = None;
    let mut busy = BusyEngines::default();
    let mut number = 0;
    while !token.is_cancelled() {
        fail_point!("weights.before_lease");
        let started = Instant::now();
        let requested_ms = weights_lease::now_ms();
        number += 1;
        let deps = &shared.deps;
        let acquired = weights_lease::acquire(
            &deps.control,
            &deps.failure_domain,
            &deps.entry,
            deps.incarnation,
            number,
        )
        .await;
        let epoch = held.as_ref().map(|lease| lease.epoch);
        held = weights_lease::apply_acquisition(held, acquired, requested_ms, &token);
        let new_epoch = held.as_ref().map(|lease| lease.epoch);
        if new_epoch != epoch {
            event!(info, "order_lease_changed", epoch = new_epoch.unwrap_or_default());
            // The tasks of the lost lease keep the old set and remove their keys from it when they end.
            busy = BusyEngines::default();
            shared.prefetch_outcomes.borrow_mut().clear();
        }
        while started.elapsed() < RENEWAL_INTERVAL && !token.is_cancelled() {
            if let Some(lease) = &held {
                compare(&shared, lease, &busy);
            }
            time::sleep(COMPARE_INTERVAL).await;
        }
    }
    Ok(())
}

/// Starts a task for each engine with an older version than desired, unless one is active.
fn compare(shared: &Rc<Shared>, lease: &Rc<Lease>, busy: &BusyEngines) {
    for engine in (shared.deps.engines)() {
        let desired = shared.deps.configuration.version(&engine.model);
        let key = (engine.name, engine.incarnation);
        if desired.is_none_or(|desired| engine.weight_version >= desired)
            || !busy.borrow_mut().insert(key.clone())
        {
            continue;
        }
        let (shared, lease, busy) = (shared.clone(), lease.clone(), busy.clone());
        runtime::spawn(async move {
            {
                let mut work = std::pin::pin!(
                    weights_engine::bring_to_desired_version(&shared, &lease, &key).fuse()
                );
                let mut lost = std::pin::pin!(lease.token.cancelled().fuse());
                select! { () = work => (), () = lost => () }
            }
            busy.borrow_mut().remove(&key);
        })
        .detach();
    }
}
