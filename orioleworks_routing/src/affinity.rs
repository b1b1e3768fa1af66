//! Prefix affinity with a load bound; see `docs/design.md`, section 8.
//!
//! ```
//! use orioleworks_routing::affinity::{Affinity, Settings};
//!
//! let mut affinity = Affinity::new(Settings::default());
//! affinity.assign(7, "engine-1".into());
//! assert_eq!(affinity.assigned(7).as_deref(), Some("engine-1"));
//! ```

use std::rc::Rc;

use indexmap::IndexMap;

/// Prefixes remembered; the oldest are forgotten first.
const MAX_PREFIXES: usize = 16_384;

/// Settings of the affinity.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Baseline: no affinity.
    pub off: bool,
    /// Load bound as a multiple of the mean load.
    pub load_bound: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { off: false, load_bound: 1.25 }
    }
}

/// Upstreams to which prefixes were sent last.
#[derive(Clone, Debug)]
pub struct Affinity {
    settings: Settings,
    assigned: IndexMap<u64, Rc<str>>,
}

impl Affinity {
    /// Affinity without any assignment.
    pub fn new(settings: Settings) -> Self {
        Self { settings, assigned: IndexMap::new() }
    }

    /// Upstream to which the prefix was sent last.
    pub fn assigned(&self, prefix: u64) -> Option<Rc<str>> {
        if self.settings.off { None } else { self.assigned.get(&prefix).cloned() }
    }

    /// Remembers where a prefix was sent.
    pub fn assign(&mut self, prefix: u64, upstream: Rc<str>) {
        if self.settings.off {
            return;
        }
        if self.assigned.len() >= MAX_PREFIXES && !self.assigned.contains_key(&prefix) {
            // Half at a time, because removal from the front moves every later element.
            drop(self.assigned.drain(..MAX_PREFIXES / 2));
        }
        self.assigned.insert(prefix, upstream);
    }

    /// Forgets the assignments to an upstream whose cache is gone.
    pub fn forget_upstream(&mut self, upstream: &str) {
        self.assigned.retain(|_, assigned| **assigned != *upstream);
    }

    /// Whether an upstream with this load, one more request included, is within the bound.
    pub fn within_bound(&self, load: u32, total_load: u32, upstreams: usize) -> bool {
        let mean = f64::from(total_load + 1) / upstreams.max(1) as f64;
        f64::from(load + 1) <= (self.settings.load_bound * mean).ceil()
    }

    /// Index of the upstream that should get the prefix, if affinity names one within the load bound.
    ///
    /// `holds` says which upstreams' caches are believed to hold the prefix; the last assignment goes before them,
    /// because cache events are late.
    pub fn prefer(
        &self,
        prefix: u64,
        names: &[Rc<str>],
        loads: &[u32],
        total_load: u32,
        holds: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        if self.settings.off {
            return None;
        }
        let assigned = self.assigned.get(&prefix);
        let first = assigned.and_then(|name| names.iter().position(|n| n == name));
        let holders = (0..names.len()).filter(|i| holds(*i));
        first
            .into_iter()
            .chain(holders)
            .find(|i| self.within_bound(loads[*i], total_load, names.len()))
    }
}
