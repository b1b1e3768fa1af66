//! Other instances that may send requests for one that has lost its path to the upstreams.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;

/// Time for which an instance that did not send a request is left out.
const LEFT_OUT_TIME: Duration = Duration::from_secs(2);
/// Time for which an instance that sent a request is preferred.
const PREFERRED_TIME: Duration = Duration::from_secs(10);
/// Weight of a preferred instance in the random choice; others have 1. Low enough that the load spreads.
const PREFERRED_WEIGHT: usize = 4;

/// An instance that sends requests for others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Helper {
    /// Name of the instance.
    pub name: Rc<str>,
    /// IP and port at which it takes requests of other instances.
    pub address: Rc<str>,
    /// Failure domain.
    pub domain: Rc<str>,
}

/// Chooses `count` of the instances for an asker, in turn from each failure domain, because a whole domain may be
/// partitioned. Every process chooses the same ones, and few of them change when an instance comes or goes.
pub fn sample(all: impl Iterator<Item = Helper>, asker: &str, count: usize) -> Vec<Helper> {
    let mut domains: IndexMap<Rc<str>, Vec<(u64, Helper)>> = IndexMap::new();
    for helper in all.filter(|helper| *helper.name != *asker && !helper.address.is_empty()) {
        let rank = hash(&(asker, &helper.name));
        domains.entry(helper.domain.clone()).or_default().push((rank, helper));
    }
    domains.sort_by_key(|domain, _| hash(&(asker, domain)));
    for of_domain in domains.values_mut() {
        of_domain.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    }
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let before = chosen.len();
        let room = count - before;
        let next = domains.values_mut().filter_map(Vec::pop).take(room);
        chosen.extend(next.map(|(_, helper)| helper));
        if chosen.len() == before {
            break;
        }
    }
    chosen
}

/// Digest of a list of instances.
pub fn digest(helpers: &[Helper]) -> u64 {
    if helpers.is_empty() { 0 } else { hash(&helpers) }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

#[derive(Clone, Debug)]
struct Known {
    helper: Helper,
    left_out_until: Duration,
    sent_at: Option<Duration>,
}

/// The instances that may help this process.
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    known: IndexMap<Rc<str>, Known>,
    digest: u64,
}

impl Helpers {
    /// Replaces the list; an empty one changes nothing, because the last one serves while the stores are away.
    pub fn set(&mut self, helpers: Vec<Helper>) {
        if helpers.is_empty() {
            return;
        }
        self.digest = digest(&helpers);
        let mut old = std::mem::take(&mut self.known);
        for helper in helpers {
            let known = old.shift_remove(&helper.name).filter(|known| known.helper == helper);
            let new =
                || Known { helper: helper.clone(), left_out_until: Duration::ZERO, sent_at: None };
            self.known.insert(helper.name.clone(), known.unwrap_or_else(new));
        }
    }

    /// Digest of the list.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether any instance is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn available<'a>(
        &'a self,
        tried: &'a [Rc<str>],
        now: Duration,
    ) -> impl Iterator<Item = &'a Known> {
        let is_tried = |known: &Known| tried.contains(&known.helper.name);
        self.known.values().filter(move |known| known.left_out_until <= now && !is_tried(known))
    }

    /// Whether any instance may be asked now.
    pub fn any_available(&self, now: Duration) -> bool {
        self.available(&[], now).next().is_some()
    }

    /// Chooses an instance that was not tried, by a random number; those that sent a request lately are preferred.
    pub fn choose(&self, tried: &[Rc<str>], now: Duration, random: usize) -> Option<Helper> {
        let weight = |known: &Known| match known.sent_at {
            Some(at) if now.saturating_sub(at) < PREFERRED_TIME => PREFERRED_WEIGHT,
            _ => 1,
        };
        let total: usize = self.available(tried, now).map(weight).sum();
        let mut left = random.checked_rem(total)?;
        let chosen = self.available(tried, now).find(|known| {
            let weight = weight(known);
            let found = left < weight;
            left = left.saturating_sub(weight);
            found
        });
        chosen.map(|known| known.helper.clone())
    }

    /// Records that an instance sent a request.
    pub fn record_sent(&mut self, name: &str, now: Duration) {
        if let Some(known) = self.known.get_mut(name) {
            known.sent_at = Some(now);
        }
    }

    /// Records that an instance did not send a request or did not answer.
    pub fn record_failure(&mut self, name: &str, now: Duration) {
        if let Some(known) = self.known.get_mut(name) {
            known.left_out_until = now + LEFT_OUT_TIME;
            known.sent_at = None;
        }
    }
}
