//! Scheduling of weight loads: which engine loads which version of which model, and when.
//!
//! Several trainers publish a version every few seconds. A load makes an engine unavailable for its model for about a
//! second, and only a few concurrent loads run at full speed, so not every version can be loaded on every engine. A
//! step also allows the version before the newest one. Each version is therefore loaded on a part of the engines, those
//! with the oldest weights of the model first, and on no more than the items of its steps can use. The engines with the
//! last two versions serve a step, and every engine serves every model between its loads. See `docs/platform.md`.

use std::{cmp::Ordering, rc::Rc};

use indexmap::IndexMap;

/// Engines per concurrent load: loads slow down while more than about a fifth of the engines load.
const ENGINES_PER_LOAD: usize = 5;
/// Concurrent loads that are always allowed.
const MIN_LOADS: usize = 2;
/// Loads for one more order: an eighth of the time of an order goes to the report and the order before the load itself.
const LOADS_PER_EXTRA_ORDER: usize = 8;
/// Consecutive loads between two versions of a trainer: it publishes one every four seconds, and a load takes about a
/// second.
const LOADS_BETWEEN_VERSIONS: usize = 4;
/// Waiting items per additional engine with the newest version; about as many as an engine runs concurrently.
const ITEMS_PER_ENGINE: usize = 12;
/// Engines with a version for each engine that the items of its model fill: they also run items of other models, and some of them
/// load.
const ENGINES_PER_FILLED: usize = 2;
/// Smallest number of engines per version, so that a step survives the loss of one.
const MIN_ENGINES: usize = 2;

/// State of an engine, as input to planning.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// ID of the engine.
    pub id: Rc<str>,
    /// Weight version of each model, including one that it loads.
    pub versions: IndexMap<Rc<str>, u64>,
    /// Whether an order to it is in progress, so that it gets no other one.
    pub busy: bool,
    /// Whether it loads: an order that takes far longer than a load does not keep others from loading.
    pub loading: bool,
    /// Items that run on it.
    pub running: u32,
    /// Ratio of its event time to the median of all engines, rounded so that small differences are ignored.
    pub slowness: f64,
}

impl Engine {
    fn version(&self, model: &str) -> u64 {
        self.versions.get(model).copied().unwrap_or(0)
    }
}

/// A model for which a trainer publishes weight versions.
#[derive(Clone, Debug)]
pub struct Model {
    /// Name of the model.
    pub name: Rc<str>,
    /// Newest published version.
    pub named: u64,
    /// Oldest version that the next step is expected to allow.
    pub oldest_allowed: u64,
    /// Items that wait for an engine with an allowed weight version.
    pub waiting: usize,
    /// Items of its steps, as far as they are known.
    pub items: Option<usize>,
}

/// An order to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Engine that loads.
    pub engine: Rc<str>,
    /// Model to load.
    pub model: Rc<str>,
    /// Version to load.
    pub version: u64,
}

/// Largest number of engines on which each version is loaded.
pub fn engines_per_version(engines: usize, models: usize) -> usize {
    let models = models.max(1);
    let fit = max_loads(engines) * LOADS_BETWEEN_VERSIONS / models;
    fit.min(engines / models).max(MIN_ENGINES).min(engines)
}

/// Number of engines that items can use; an order to any other costs a load for nothing.
fn engines_for(items: usize) -> usize {
    items.div_ceil(ITEMS_PER_ENGINE).saturating_mul(ENGINES_PER_FILLED).max(MIN_ENGINES)
}

/// Largest number of orders in progress, so that as many engines load as can at full speed.
pub fn max_loads(engines: usize) -> usize {
    let loads = ((engines + ENGINES_PER_LOAD / 2) / ENGINES_PER_LOAD).max(MIN_LOADS);
    loads + loads / LOADS_PER_EXTRA_ORDER
}

/// Loads to start now.
pub fn plan(engines: &[Engine], models: &[Model]) -> Vec<Load> {
    let running = engines.iter().filter(|e| e.loading).count();
    let mut available_loads = max_loads(engines.len()).saturating_sub(running);
    let most_engines = engines_per_version(engines.len(), models.len());
    let mut assigned = vec![false; engines.len()];
    let mut loads = Vec::new();
    // The model with the fewest usable engines for its next step goes first.
    let mut by_need: Vec<&Model> = models.iter().filter(|m| m.named > 1).collect();
    let usable =
        |m: &Model| engines.iter().filter(|e| e.version(&m.name) >= m.oldest_allowed).count();
    by_need.sort_by_key(|m| usable(m));
    let mut missing: Vec<usize> = by_need
        .iter()
        .map(|m| {
            let fresh = engines.iter().filter(|e| e.version(&m.name) >= m.named).count();
            // Waiting items justify additional loads.
            let for_waiting = m.waiting.div_ceil(ITEMS_PER_ENGINE).min(engines.len() - usable(m));
            let wanted = m.items.map_or(most_engines, |n| engines_for(n).min(most_engines));
            wanted.saturating_sub(fresh).max(for_waiting)
        })
        .collect();
    // Engines for each model, best first; sorted once, because thousands of engines may need a load.
    let mut free: Vec<std::vec::IntoIter<usize>> = by_need
        .iter()
        .map(|model| {
            let free =
                |i: &usize| !engines[*i].busy && engines[*i].version(&model.name) < model.named;
            let mut free: Vec<usize> = (0..engines.len()).filter(free).collect();
            free.sort_by(|a, b| {
                let (a, b) = (rank(&engines[*a], model), rank(&engines[*b], model));
                a.partial_cmp(&b).unwrap_or(Ordering::Equal)
            });
            free.into_iter()
        })
        .collect();
    // Round robin over the models, so that none waits for all loads of another.
    while available_loads > 0 && missing.iter().any(|count| *count > 0) {
        for ((model, missing), free) in by_need.iter().zip(&mut missing).zip(&mut free) {
            if *missing == 0 || available_loads == 0 {
                continue;
            }
            *missing -= 1;
            let Some(at) = free.find(|at| !assigned[*at]) else {
                *missing = 0;
                continue;
            };
            let engine = &engines[at];
            assigned[at] = true;
            available_loads -= 1;
            loads.push(Load {
                engine: engine.id.clone(),
                model: model.name.clone(),
                version: model.named,
            });
        }
    }
    loads
}

/// Sort key: first engines that the next step cannot use, then fast ones, then those with few running items.
fn rank(engine: &Engine, model: &Model) -> (bool, f64, u32) {
    let usable = engine.version(&model.name) >= model.oldest_allowed;
    (usable, engine.slowness, engine.running)
}
