//! Faults of the stand-ins, set by a command line option or at run time by `POST /fault`.

use std::{cell::RefCell, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Exit code of an injected crash.
pub const CRASH_EXIT: i32 = 86;

/// Active faults. Each use decrements a counter; 0 disables the fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Exits the process when a request contains this text; empty for never.
    pub crash_marker: String,
    /// Factor for all processing times.
    pub slow_factor: f64,
    /// Number of weight swaps that fail.
    pub fail_swaps: u32,
    /// Time in milliseconds that is added to each weight swap.
    pub late_swap_ms: u64,
    /// Number of responses that are truncated in the middle.
    pub cut_answers: u32,
    /// Number of streams whose first chunk lacks its weight version.
    pub drop_versions: u32,
    /// Delays all requests until the fault is disabled.
    pub hang: bool,
    /// Number of requests that are refused without running them.
    pub refuse: u32,
    /// Straggling requests per thousand.
    pub straggle_permille: u32,
    /// Factor for the processing time of a straggling request.
    pub straggle_factor: f64,
    /// Drops the cache events of every n-th announcement; 0 for none.
    pub gap_every: u32,
    /// Number of responses of a plain service that carry the request ID and content of the previous request.
    pub cross: u32,
    /// Stops the announcements, like a broken network link to the entries.
    pub mute: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            crash_marker: String::new(),
            slow_factor: 1.0,
            fail_swaps: 0,
            late_swap_ms: 0,
            cut_answers: 0,
            drop_versions: 0,
            hang: false,
            refuse: 0,
            straggle_permille: 0,
            straggle_factor: 4.0,
            gap_every: 0,
            cross: 0,
            mute: false,
        }
    }
}

/// Faults of one stand-in; clones share them.
#[derive(Clone, Debug, Default)]
pub struct FaultSwitch {
    faults: Rc<RefCell<Faults>>,
}

impl FaultSwitch {
    /// Copy of the active faults.
    pub fn now(&self) -> Faults {
        self.faults.borrow().clone()
    }

    /// Sets the named faults and leaves the others as they are.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the JSON; nothing is changed then.
    pub fn merge(&self, json: &[u8]) -> Result<Faults, serde_json::Error> {
        let patch: serde_json::Map<String, Value> = serde_json::from_slice(json)?;
        let mut value = serde_json::to_value(self.now())?;
        if let Value::Object(fields) = &mut value {
            fields.extend(patch);
        }
        let merged: Faults = serde_json::from_value(value)?;
        *self.faults.borrow_mut() = merged.clone();
        Ok(merged)
    }

    /// Decrements the counter of a fault and returns whether the fault applies.
    pub fn take(&self, count: impl FnOnce(&mut Faults) -> &mut u32) -> bool {
        let mut faults = self.faults.borrow_mut();
        let count = count(&mut faults);
        let applies = *count > 0;
        *count = count.saturating_sub(1);
        applies
    }

    /// Exits the process when the request contains the marker.
    pub fn crash_if_marked(&self, content: &[u8]) {
        let faults = self.faults.borrow();
        let marker = faults.crash_marker.as_bytes();
        if !marker.is_empty() && content.windows(marker.len()).any(|part| part == marker) {
            std::process::exit(CRASH_EXIT);
        }
    }

    /// Processing time under the active faults; `draw` in 0..1000 decides whether the request straggles.
    pub fn work_time(&self, time: Duration, draw: u64) -> Duration {
        let faults = self.faults.borrow();
        let straggles = draw < u64::from(faults.straggle_permille);
        let factor = if straggles { faults.straggle_factor } else { 1.0 };
        time.mul_f64((factor * faults.slow_factor).clamp(0.0, 1e6))
    }

    /// Waits while the fault `hang` is active; `abandoned` ends the wait early.
    pub async fn wait_while_hanging(&self, abandoned: impl Fn() -> bool) {
        const CHECK_INTERVAL: Duration = Duration::from_millis(20);
        while self.faults.borrow().hang && !abandoned() {
            compio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}
