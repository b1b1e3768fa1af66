//! Clocks for leases and timestamps.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Time since boot, including time in which the machine was suspended.
///
/// Leases use this clock. With a clock that stops during a suspend, a holder would still rely on a lease that another
/// has acquired meanwhile.
pub fn since_boot() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default()
}

/// Milliseconds since the Unix epoch, for timestamps that leave the process.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
