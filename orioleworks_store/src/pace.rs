//! Pauses between passes over all engines.

use std::time::Duration;

use compio::time;

/// Duration of a pass from which a pause follows, on a store that has a third of a core. Passes over some dozen engines take
/// less, also with hundreds of waiting items.
const LONG_PASS: Duration = Duration::from_millis(50);
/// Pause after a long pass, as a multiple of its duration. Everything else in the process, heartbeats among it, gets the rest
/// of the processor.
const PAUSE_FACTOR: u32 = 2;
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// Waits after a pass, so that passes leave most of the processor to other work, however often something changes.
pub async fn pause_after(pass: Duration) {
    if pass >= LONG_PASS {
        time::sleep((pass * PAUSE_FACTOR).min(MAX_PAUSE)).await;
    }
}
