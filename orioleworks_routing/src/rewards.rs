//! Placement and repetition of reward calls, the requests that score the complete texts of batch items.
//!
//! The items of a step end together, so their calls come in bursts: dozens to hundreds at once, each several times as long
//! as a caller's request, at services that answer callers as well. The calls therefore leave a part of each upstream's slots
//! to callers and wait here, where the step that is due first goes first, and of its groups the one that lacks the fewest
//! results: a trainer waits for complete groups, and not for all of them. An upstream that hangs holds up a burst until its
//! calls are repeated elsewhere, long before they time out. See `docs/platform.md`, "Reward calls".

use std::time::Duration;

use crate::{
    items::Rank,
    outlier::{Candidate, Key, Outliers},
};

/// Slots of an upstream that are left to callers, in percent, at least one.
const RESERVED_PERCENT: u32 = 34;
/// Pause after the first failure of a call; a full upstream often has room again by then.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause; a restarted upstream announces itself within 2 s.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Multiple of the mean response time of the fastest upstream after which a call is sent to another one as well.
const OVERDUE_FACTOR: u32 = 3;
/// Least time after which a call is sent to another upstream as well, so that a busy moment does not double the load.
const MIN_OVERDUE: Duration = Duration::from_millis(150);
/// Attempts of one call at the same time.
const MAX_PARALLEL: usize = 2;

/// Calls that an upstream with this number of slots runs at the same time.
pub fn capacity(slots: u32) -> u32 {
    let reserved = (slots * RESERVED_PERCENT).div_ceil(100).max(1);
    slots.saturating_sub(reserved).max(1)
}

/// A call that may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyCall {
    /// Rank of its item.
    pub rank: Rank,
    /// Number of results that the item's group lacks and for which no call is under way.
    pub missing_in_group: u32,
    /// Lowest rank of the ready calls of its group, which keeps them together among groups that lack the same.
    pub first_in_group: Rank,
}

/// Puts calls in the order in which they are sent.
pub fn order(calls: &mut [ReadyCall]) {
    calls.sort_unstable_by_key(|call| {
        (call.rank.of_step(), call.missing_in_group, call.first_in_group, call.rank)
    });
}

/// Upstream on which a call is expected to end first; `None` while none may take one more.
pub fn choose(health: &Outliers, candidates: &[Candidate], now: Duration) -> Option<Key> {
    let has_room = |c: &&Candidate| health.in_flight(&c.key) < capacity(c.slots);
    let open = candidates.iter().filter(|c| !health.is_paused(&c.key, now));
    let open: Vec<Candidate> = open.filter(has_room).cloned().collect();
    health.choose(&open, now).map(|c| c.key.clone())
}

/// Pause of a call after a number of failures in a row.
pub fn retry_pause(failures: u32) -> Duration {
    let doubled = FIRST_PAUSE.saturating_mul(2_u32.saturating_pow(failures.saturating_sub(1)));
    doubled.min(LONGEST_PAUSE)
}

/// Time after which a call is sent to another upstream as well. `objective` is the latency objective of its route, which
/// counts until an upstream has answered a call.
pub fn overdue_after(health: &Outliers, candidates: &[Candidate], objective: Duration) -> Duration {
    match health.fastest(candidates) {
        Some(mean) => (mean * OVERDUE_FACTOR).max(MIN_OVERDUE),
        None => objective,
    }
}

/// Whether a call may be sent to one more upstream while others run it.
pub fn may_run_in_parallel(attempts: usize, suspect: bool) -> bool {
    attempts == 0 || attempts < MAX_PARALLEL && !suspect
}

/// Whether a call that upstreams answered with a failure this often is given up. The platform names one limit for items and
/// one for calls on the route, and the larger one satisfies both.
pub fn is_hopeless(failed_calls: u32, item_limit: u32, route_limit: u32) -> bool {
    failed_calls >= item_limit.max(route_limit).max(1)
}
