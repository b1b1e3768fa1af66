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

/// Largest number of assigned prefixes; the oldest are evicted first.
const MAX_PREFIXES: usize = 16_384;

/// Affinity settings.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Disables affinity; used as the baseline.
    pub off: bool,
    /// Load bound as a multiple of the mean load.
    pub load_bound: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { off: false, load_bound: 1.25 }
    }
}

/// Maps each prefix to the upstream that last received it.
#[derive(Clone, Debug)]
pub struct Affinity {
    settings: Settings,
    assigned: IndexMap<u64, Rc<str>>,
}

impl Affinity {
    /// Creates an affinity map without assignments.
    pub fn new(settings: Settings) -> Self {
        Self { settings, assigned: IndexMap::new() }
    }

    /// Upstream that last received the prefix.
    pub fn assigned(&self, prefix: u64) -> Option<Rc<str>> {
        if self.settings.off { None } else { self.assigned.get(&prefix).cloned() }
    }

    /// Records the upstream that received a prefix.
    pub fn assign(&mut self, prefix: u64, upstream: Rc<str>) {
        if self.settings.off {
            return;
        }
        if self.assigned.len() >= MAX_PREFIXES && !self.assigned.contains_key(&prefix) {
            // Evicts half at a time, because removal from the front moves every later element.
            drop(self.assigned.drain(..MAX_PREFIXES / 2));
        }
        self.assigned.insert(prefix, upstream);
    }

    /// Removes the assignments to an upstream whose cache was lost.
    pub fn forget_upstream(&mut self, upstream: &str) {
        self.assigned.retain(|_, assigned| **assigned != *upstream);
    }

    /// Whether an upstream with this load stays within the bound after one more request.
    pub fn within_bound(&self, load: u32, total_load: u32, upstreams: usize) -> bool {
        let mean = f64::from(total_load + 1) / upstreams.max(1) as f64;
        f64::from(load + 1) <= (self.settings.load_bound * mean).ceil()
    }

    /// Index of the preferred upstream for the prefix, if one is within the load bound.
    ///
    /// `holds` tells which upstreams are believed to have the prefix in their cache. The last assignment takes
    /// precedence over it, because cache events arrive late.
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
