//! Which engine loads which weight version of which model, and when.
//!
//! Several trainers name versions every few seconds, a load takes an engine out for about a second, and only a few
//! loads at a time run at full speed. Loading each version on each engine cannot keep up. So each engine has a home
//! model, with shares that follow demand, and every version is loaded on half of a model's engines: a step allows the
//! version before the newest too, so the other half still serves it and skips to the next version. See
//! `docs/platform.md`.

use std::rc::Rc;

use indexmap::IndexMap;

/// Engines of a model below which it would not survive the loss of one.
const MIN_ENGINES: usize = 2;
/// Engines per load at a time: a load takes longer while more than about a fifth of the engines load.
const ENGINES_PER_LOAD: usize = 5;
/// Smallest number of loads at a time.
const MIN_LOADS: usize = 2;
/// Imbalance in engines at which one changes its home; moving one costs a load and its prompt cache.
const MOVE_AT: f64 = 1.6;

/// An engine, as planning sees it.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// ID of the engine.
    pub id: Rc<str>,
    /// Version of each model, including one that is being loaded.
    pub versions: IndexMap<Rc<str>, u64>,
    /// Whether an order to it is in progress.
    pub busy: bool,
    /// Items that run on it.
    pub running: u32,
}

impl Engine {
    fn version(&self, model: &str) -> u64 {
        self.versions.get(model).copied().unwrap_or(0)
    }
}

/// A model that a trainer names versions of.
#[derive(Clone, Debug)]
pub struct Model {
    /// Name of the model.
    pub name: Rc<str>,
    /// Newest named version.
    pub named: u64,
    /// Oldest version that the next step is expected to allow.
    pub oldest_allowed: u64,
    /// Work that arrives for the model, in any unit that all models share.
    pub demand: f64,
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

/// Home model of each engine.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    homes: IndexMap<Rc<str>, Rc<str>>,
}

impl Homes {
    /// Home model of an engine.
    pub fn of(&self, engine: &str) -> Option<&Rc<str>> {
        self.homes.get(engine)
    }

    /// Assigns engines to models: new ones where most are missing, and one moves when demand has shifted.
    pub fn assign(&mut self, engines: &[Engine], models: &[Model]) {
        self.homes.retain(|id, model| {
            engines.iter().any(|e| e.id == *id) && models.iter().any(|m| m.name == *model)
        });
        if models.is_empty() {
            return;
        }
        let wanted = shares(engines.len(), models);
        let count = |homes: &IndexMap<Rc<str>, Rc<str>>, at: usize| {
            homes.values().filter(|m| **m == models[at].name).count()
        };
        for engine in engines {
            if self.homes.contains_key(&engine.id) {
                continue;
            }
            let missing = |at: usize| wanted[at] - count(&self.homes, at) as f64;
            let most = (0..models.len()).max_by(|a, b| missing(*a).total_cmp(&missing(*b)));
            if let Some(at) = most {
                self.homes.insert(engine.id.clone(), models[at].name.clone());
            }
        }
        let missing: Vec<f64> =
            (0..models.len()).map(|at| wanted[at] - count(&self.homes, at) as f64).collect();
        let by = |a: &usize, b: &usize| missing[*a].total_cmp(&missing[*b]);
        let (Some(to), Some(from)) = ((0..models.len()).max_by(by), (0..models.len()).min_by(by))
        else {
            return;
        };
        if missing[to] - missing[from] < 2.0 * MOVE_AT {
            return;
        }
        let movable = engines
            .iter()
            .filter(|e| !e.busy && self.homes.get(&e.id).is_some_and(|m| *m == models[from].name));
        // The engine with the newest weights of its new model needs a load last.
        let best = movable.max_by_key(|e| (e.version(&models[to].name), u32::MAX - e.running));
        if let Some(engine) = best {
            self.homes.insert(engine.id.clone(), models[to].name.clone());
        }
    }
}

/// Engines that each model should have.
fn shares(engines: usize, models: &[Model]) -> Vec<f64> {
    let demand: f64 = models.iter().map(|m| m.demand.max(f64::EPSILON)).sum();
    let least = MIN_ENGINES.min(engines / models.len()) as f64;
    let rest = engines as f64 - least * models.len() as f64;
    models.iter().map(|m| least + rest * m.demand.max(f64::EPSILON) / demand).collect()
}

/// Loads that may run at a time.
pub fn max_loads(engines: usize) -> usize {
    (engines / ENGINES_PER_LOAD).max(MIN_LOADS)
}

/// Loads to order now.
pub fn plan(engines: &[Engine], models: &[Model], homes: &Homes) -> Vec<Load> {
    let running = engines.iter().filter(|e| e.busy).count();
    let mut room = max_loads(engines.len()).saturating_sub(running);
    let mut wanted: Vec<(u64, u32, Load)> = Vec::new();
    for model in models.iter().filter(|m| m.named > 1) {
        let own: Vec<&Engine> =
            engines.iter().filter(|e| homes.of(&e.id) == Some(&model.name)).collect();
        let fresh = own.iter().filter(|e| e.version(&model.name) >= model.named).count();
        let mut old: Vec<&Engine> =
            own.iter().copied().filter(|e| e.version(&model.name) < model.named).collect();
        // Those that the next step cannot use go first, and of equal ones the idle ones.
        old.sort_by_key(|e| (e.version(&model.name), e.running));
        let useless = old.iter().filter(|e| e.version(&model.name) < model.oldest_allowed).count();
        let half = own.len().div_ceil(2).saturating_sub(fresh);
        for engine in old.into_iter().take(useless.max(half)).filter(|e| !e.busy) {
            let load =
                Load { engine: engine.id.clone(), model: model.name.clone(), version: model.named };
            let usable = u64::from(engine.version(&model.name) >= model.oldest_allowed);
            wanted.push((usable, engine.running, load));
        }
    }
    wanted.sort_by_key(|(usable, running, _)| (*usable, *running));
    let mut loads = Vec::new();
    for (_, _, load) in wanted {
        if room == 0 {
            break;
        }
        room -= 1;
        loads.push(load);
    }
    loads
}
