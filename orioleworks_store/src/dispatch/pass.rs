//! Engines in one pass over the waiting items.
//!
//! Handles thousands of engines and items at the same time: what does not depend on the item is looked up once in a pass,
//! because a look-up of every engine for every item would take the leader longer than the items take to run.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use orioleworks_proto::inner;
use orioleworks_routing::{
    fleet::{Fleet, Upstream},
    items::{self, EngineLoad, Usage},
    outlier::Key,
    routes::RouteTable,
};

use crate::engines::{Engines, key_of};

/// What the items of a batch ask of an engine: service, model and oldest weight version.
type Kind = (String, String, u64);

/// Load of an engine, which the items that start in this pass add to.
#[derive(Default)]
struct Load {
    running: u32,
    items: Vec<Usage>,
    /// Memory of its items if each were as large as at its end, in tokens.
    final_tokens: u64,
}

impl Load {
    fn add(&mut self, usage: Usage) {
        self.final_tokens = self.final_tokens_with(usage);
        self.items.push(usage);
    }

    /// Final size of its items and another one; it follows from stated numbers, and saturates.
    fn final_tokens_with(&self, usage: Usage) -> u64 {
        self.final_tokens.saturating_add(usage.now).saturating_add(usage.left)
    }

    /// Whether another item fits into the memory; see [`items::peak_usage`].
    fn peak_with(&self, usage: Usage, memory_tokens: u64) -> u64 {
        let bound = self.final_tokens_with(usage);
        if memory_tokens == 0 || bound <= memory_tokens {
            return bound;
        }
        let mut all = self.items.clone();
        all.push(usage);
        items::peak_usage(&all)
    }
}

struct Candidate {
    upstream: Rc<Upstream>,
    load: usize,
    slots: u32,
    event_ms: f64,
    fresh: bool,
    slow: bool,
}

/// Candidates for the items of one kind.
struct Candidates {
    engines: Vec<Candidate>,
    memory_tokens: u64,
}

/// An item for which an engine is sought.
pub struct Wanted<'a> {
    /// Its batch.
    pub batch: &'a inner::Batch,
    /// Its group.
    pub group: &'a str,
    /// Memory that it uses.
    pub usage: Usage,
    /// Whether it is long enough to wait for a fast engine.
    pub long: bool,
    /// Software version that must go on with it.
    pub software: Option<Rc<str>>,
    /// Engines that must not run it.
    pub excluded: &'a HashSet<Key>,
}

/// State of one pass.
pub struct Pass<'a> {
    fleet: &'a Fleet,
    engines: &'a Engines,
    table: &'a RouteTable,
    now: Duration,
    loads: Vec<Load>,
    by_engine: HashMap<Key, usize>,
    /// Engines that ran items of a group, and so have its prompt cached.
    holders: HashMap<Rc<str>, HashSet<usize>>,
    candidates: HashMap<Kind, Candidates>,
}

impl<'a> Pass<'a> {
    /// Begins a pass.
    pub fn new(
        fleet: &'a Fleet,
        engines: &'a Engines,
        table: &'a RouteTable,
        now: Duration,
    ) -> Self {
        let mut pass = Self {
            fleet,
            engines,
            table,
            now,
            loads: Vec::new(),
            by_engine: HashMap::new(),
            holders: HashMap::new(),
            candidates: HashMap::new(),
        };
        for (key, groups) in engines.groups() {
            let load = pass.load_of(key);
            for group in groups {
                pass.holders.entry(group.clone()).or_default().insert(load);
            }
        }
        pass
    }

    /// Adds an item that runs on an engine.
    pub fn add_running(&mut self, engine: &Key, usage: Usage) {
        let load = self.load_of(engine);
        self.loads[load].add(usage);
    }

    /// Adds an item that starts on an engine in this pass.
    pub fn add_started(&mut self, engine: &Key, group: &str, usage: Usage) {
        let load = self.load_of(engine);
        self.loads[load].add(usage);
        self.loads[load].running += 1;
        self.holders.entry(group.into()).or_default().insert(load);
    }

    /// Engine on which an item is expected to finish first; `None` if none has room. `is_free` tells whether an engine takes a
    /// request now.
    pub fn choose(
        &mut self,
        wanted: &Wanted<'_>,
        is_free: impl Fn(&Key) -> bool,
    ) -> Option<Rc<Upstream>> {
        let kind: Kind =
            (wanted.batch.service.clone(), wanted.batch.model.clone(), wanted.batch.min_version);
        if !self.candidates.contains_key(&kind) {
            let found = self.find(&kind, is_free);
            self.candidates.insert(kind.clone(), found);
        }
        let Candidates { engines, memory_tokens } = &self.candidates[&kind];
        let software = wanted.software.as_ref().filter(|software| self.goes_on(wanted, software));
        let is_allowed = |c: &&Candidate| {
            wanted.excluded.is_empty() || !wanted.excluded.contains(&key_of(&c.upstream))
        };
        let any_fresh = engines.iter().filter(is_allowed).any(|c| c.fresh);
        let fits = |c: &&Candidate| {
            is_allowed(c)
                && (c.fresh || !any_fresh)
                && software.is_none_or(|software| c.upstream.software == *software)
        };
        let any_fast = wanted.long && engines.iter().filter(fits).any(|c| !c.slow);
        let fits = |c: &&Candidate| fits(c) && !(any_fast && c.slow);
        let holders = self.holders.get(wanted.group);
        let left: Vec<&Candidate> =
            engines.iter().filter(|c| self.loads[c.load].running < c.slots).filter(fits).collect();
        let loads: Vec<EngineLoad> = left
            .iter()
            .map(|c| EngineLoad {
                running: self.loads[c.load].running,
                slots: c.slots,
                peak_tokens: self.loads[c.load].peak_with(wanted.usage, *memory_tokens),
                memory_tokens: *memory_tokens,
                event_ms: c.event_ms,
                holds_prompt: holders.is_some_and(|holders| holders.contains(&c.load)),
            })
            .collect();
        items::place(&loads).map(|at| left[at].upstream.clone())
    }

    /// Leaves out an engine that takes no more requests now.
    pub fn exclude(&mut self, engine: &Key) {
        for candidates in self.candidates.values_mut() {
            candidates.engines.retain(|c| key_of(&c.upstream) != *engine);
        }
    }

    /// Whether a serving engine can go on with what a software version began.
    fn goes_on(&self, wanted: &Wanted<'_>, software: &Rc<str>) -> bool {
        let batch = wanted.batch;
        self.fleet.serving(&batch.service, self.now).any(|known| {
            let up = &known.upstream;
            let version = self.engines.version(up, &batch.model);
            known.is_fresh(self.now)
                && up.software == *software
                && version.is_some_and(|version| version >= batch.min_version)
        })
    }

    fn load_of(&mut self, engine: &Key) -> usize {
        if let Some(load) = self.by_engine.get(engine) {
            return *load;
        }
        let running = self.engines.running(engine);
        self.loads.push(Load { running, ..Load::default() });
        self.by_engine.insert(engine.clone(), self.loads.len() - 1);
        self.loads.len() - 1
    }

    fn find(&mut self, kind: &Kind, is_free: impl Fn(&Key) -> bool) -> Candidates {
        let (service, model, min_version) = kind;
        let terms = self.table.service(service).and_then(|s| s.engine.as_ref());
        let memory_tokens = terms.map_or(0, |terms| terms.memory_tokens);
        let (fleet, engines, now) = (self.fleet, self.engines, self.now);
        let times: Vec<f64> = fleet
            .serving(service, now)
            .map(|known| engines.event_ms(&key_of(&known.upstream), now))
            .collect();
        let typical_ms = items::median(&times);
        let found = fleet.serving(service, now).filter_map(|known| {
            let key = key_of(&known.upstream);
            let load = engines.load_for(known, model, *min_version, "", now)?;
            is_free(&key).then(|| Candidate {
                upstream: known.upstream.clone(),
                load: self.load_of(&key),
                slots: load.slots,
                event_ms: load.event_ms,
                fresh: known.is_fresh(now),
                slow: items::is_slower_than(load.event_ms, typical_ms),
            })
        });
        Candidates { engines: found.collect(), memory_tokens }
    }
}
