//! Reports of header fields in upstreams' responses whose values cannot be used.
//!
//! A response with such a field still counts: it may be whole, and belong to its request. The reports show which upstream states
//! what. See `docs/OPERATIONS.md`, `header_unusable`.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use orioleworks_daemon::event;
use orioleworks_routing::outlier::Key;

/// Shortest time between two log lines: a faulty upstream may state such a value in each response.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Characters of a value that are logged.
const MAX_VALUE_CHARS: usize = 40;

/// Counts every unusable value, and logs one a second at most. Clones share the interval.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    last_logged: Rc<Cell<Option<Instant>>>,
    unlogged: Rc<Cell<u64>>,
}

impl Reports {
    /// Reports that an upstream states a value of a field that cannot be used.
    pub fn report(&self, up: &Key, field: &'static str, value: &str) {
        count(field);
        let now = Instant::now();
        if self.last_logged.get().is_some_and(|last| now.duration_since(last) < LOG_INTERVAL) {
            self.unlogged.set(self.unlogged.get().saturating_add(1));
            return;
        }
        self.last_logged.set(Some(now));
        let value: String = value.chars().take(MAX_VALUE_CHARS).collect();
        event!(
            warn,
            "header_unusable",
            upstream = up.0,
            incarnation = up.1,
            field = field,
            value = value,
            unlogged = self.unlogged.take(),
        );
    }
}

/// Counts an unusable value of a field that is logged elsewhere.
pub fn count(field: &'static str) {
    metrics::counter!("orioleworks_unusable_headers_total", "field" => field).increment(1);
}
