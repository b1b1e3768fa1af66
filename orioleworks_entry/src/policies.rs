//! Settings of the routing policies.
//!
//! See `docs/design.md`, section 8.

use orioleworks_routing::{affinity, budget, choice, limit, queue};

use crate::config;

/// Settings of the routing policies.
#[derive(Clone, Debug, Default)]
pub struct Policies {
    /// Concurrency limit.
    pub limit: limit::Settings,
    /// Queue of each kind.
    pub queue: queue::Settings,
    /// Selection of an upstream.
    pub choice: choice::Settings,
    /// Prefix affinity.
    pub affinity: affinity::Settings,
    /// Engines with a pending swap accept samples if all engines of the kind have a pending swap.
    pub drain_unless_all: bool,
    /// Retry budget of each profile.
    pub budget: budget::Settings,
}

impl Policies {
    /// Creates the policies from the settings file.
    pub fn new(cfg: &config::Config) -> Self {
        let routing = &cfg.routing;
        let mut policies = Self::default();
        policies.limit.fixed = routing.fixed_limit;
        policies.queue =
            queue::Settings { bound: cfg.limits.queued_requests, fifo: routing.fifo_queue };
        policies.budget.unlimited = routing.unlimited_retries;
        policies.drain_unless_all = routing.drain_unless_all;
        policies.choice.random = routing.random_choice;
        policies.affinity.off = routing.no_affinity;
        policies
    }
}
