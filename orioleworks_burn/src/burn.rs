//! Error budgets and burn rates from the history.

use std::collections::{BTreeMap, BTreeSet};

use orioleworks_proto::codes::ResultCode;
use serde::Serialize;

use crate::{
    config::{Latency, Objective},
    exposition::Counters,
    history::Sample,
};

/// Windows of the burn rate: name and length in milliseconds.
pub const WINDOWS: &[(&str, u64)] =
    &[("5m", 300_000), ("1h", 3_600_000), ("6h", 21_600_000), ("3d", 259_200_000)];
const DAY_MS: u64 = 86_400_000;

/// Requests, and how many of them missed the objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Spent {
    /// Requests that count.
    pub total: u64,
    /// Requests that spent budget.
    pub bad: u64,
}

impl Spent {
    /// Burn rate: 1 spends the budget exactly over the period; `None` without requests.
    pub fn rate(self, share: f64) -> Option<f64> {
        (self.total > 0).then(|| self.bad as f64 / self.total as f64 / (1.0 - share))
    }
}

/// Whether a code spends availability budget; errors of the caller do not.
pub fn spends_budget(code: u32) -> bool {
    match ResultCode::from_number(code) {
        Some(ResultCode::Ok | ResultCode::InProgress | ResultCode::Quarantined) => false,
        Some(code) => !matches!(code.number(), 1000..=1999),
        None => true,
    }
}

/// Increase of one profile's counters between two times, summed over entries.
///
/// A counter that decreased was reset by a restart of its entry, so its full value is an increase. The first sample of
/// an entry is only the baseline for the next one.
pub fn increase(samples: &[Sample], profile: &str, from_ms: u64, to_ms: u64) -> Counters {
    let mut sum = Counters::default();
    let entries: BTreeSet<&str> = samples.iter().map(|s| s.entry.as_str()).collect();
    for entry in entries {
        let own: Vec<&Sample> =
            samples.iter().filter(|s| s.entry == entry && s.at_ms <= to_ms).collect();
        let start = own.iter().rposition(|s| s.at_ms <= from_ms).unwrap_or(0);
        let empty = Counters::default();
        for pair in own.get(start..).unwrap_or_default().windows(2) {
            let old = pair[0].profiles.get(profile).unwrap_or(&empty);
            if let Some(new) = pair[1].profiles.get(profile) {
                add_increase(&mut sum, old, new);
            }
        }
    }
    sum
}

fn add_increase(sum: &mut Counters, old: &Counters, new: &Counters) {
    let requests = |c: &Counters| c.by_code.values().sum::<u64>();
    // A restart resets all counters, so a decrease of one applies to all of them.
    let restarted = requests(new) < requests(old) || new.timed < old.timed;
    let base = Counters::default();
    let old = if restarted { &base } else { old };
    let since = |new: u64, old: Option<&u64>| new.saturating_sub(old.copied().unwrap_or(0));
    for (code, count) in &new.by_code {
        *sum.by_code.entry(*code).or_default() += since(*count, old.by_code.get(code));
    }
    for (bound, count) in &new.within_ms {
        *sum.within_ms.entry(*bound).or_default() += since(*count, old.within_ms.get(bound));
    }
    sum.timed += new.timed.saturating_sub(old.timed);
}

/// Availability part of an increase.
pub fn availability(counters: &Counters) -> Spent {
    let total = counters.by_code.values().sum();
    let bad = counters.by_code.iter().filter(|(code, _)| spends_budget(**code)).map(|(_, n)| n);
    Spent { total, bad: bad.sum() }
}

/// Latency part of an increase.
pub fn latency(counters: &Counters, latency: &Latency) -> Spent {
    let within = counters.within_ms.get(&u64::from(latency.threshold_ms)).copied().unwrap_or(0);
    Spent { total: counters.timed, bad: counters.timed.saturating_sub(within) }
}

/// Burn rate over one window.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WindowRate {
    /// Name of the window.
    pub window: &'static str,
    /// Burn rate, absent without requests.
    pub rate: Option<f64>,
}

/// One part of an objective.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Part {
    /// `availability` or `latency`.
    pub part: &'static str,
    /// Share that is required.
    pub share: f64,
    /// Requests of the period.
    pub spent: Spent,
    /// Fraction of the budget that is left; negative when it is overspent.
    pub budget_left: f64,
    /// Burn rates.
    pub windows: Vec<WindowRate>,
}

/// Budget and burn rates of one profile.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ProfileBurn {
    /// Name of the profile.
    pub profile: String,
    /// Period of the budget in days.
    pub period_days: u32,
    /// Requests that spent availability budget, by code.
    pub bad_by_code: BTreeMap<u32, u64>,
    /// Parts of the objective.
    pub parts: Vec<Part>,
}

/// Budget and burn rates of one profile at `at_ms`.
pub fn profile_burn(samples: &[Sample], objective: &Objective, at_ms: u64) -> ProfileBurn {
    let over = |ms: u64| increase(samples, &objective.profile, at_ms.saturating_sub(ms), at_ms);
    let period = over(u64::from(objective.period_days) * DAY_MS);
    let windows: Vec<(&str, Counters)> =
        WINDOWS.iter().map(|(name, ms)| (*name, over(*ms))).collect();
    let part = |part, share, spent: &dyn Fn(&Counters) -> Spent| {
        let period_spent = spent(&period);
        let rate = |(window, c): &(&'static str, Counters)| WindowRate {
            window,
            rate: spent(c).rate(share),
        };
        let windows = windows.iter().map(rate).collect();
        Part {
            part,
            share,
            spent: period_spent,
            budget_left: 1.0 - period_spent.rate(share).unwrap_or(0.0),
            windows,
        }
    };
    let mut parts = vec![part("availability", objective.availability, &availability)];
    if let Some(l) = &objective.latency {
        parts.push(part("latency", l.share, &|c| latency(c, l)));
    }
    let bad = period.by_code.iter().filter(|(code, n)| spends_budget(**code) && **n > 0);
    ProfileBurn {
        profile: objective.profile.clone(),
        period_days: objective.period_days,
        bad_by_code: bad.map(|(code, n)| (*code, *n)).collect(),
        parts,
    }
}
