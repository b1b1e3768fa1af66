//! Bounded queue with class priority and weighted fairness between profiles; see `docs/design.md`, section 8.
//!
//! ```
//! use std::time::Duration;
//! use orioleworks_routing::queue::{Item, Queue, Settings};
//!
//! let mut queue = Queue::new(Settings::default());
//! let item = |class, value| Item { class, profile: "p".into(), weight: 1, deadline: Duration::MAX, value };
//! queue.push(item(2, "rollout")).unwrap();
//! queue.push(item(0, "lookup")).unwrap();
//! let popped = queue.pop(Duration::ZERO, &mut Vec::new(), |_| Some(()));
//! assert_eq!(popped, Some(("lookup", ())));
//! ```

use std::{collections::VecDeque, rc::Rc, time::Duration};

use indexmap::IndexMap;

/// Number of classes; class 0 is the first.
pub const CLASSES: usize = 3;
/// One of this many requests is taken from the lowest class first, so that it never starves.
const LOWEST_CLASS_EVERY: u64 = 20;
/// Requests of one profile that are tried when the first ones cannot be placed.
const MAX_SCAN: usize = 16;

/// Settings of the queue.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Largest number of waiting requests.
    pub bound: usize,
    /// Baseline: first in, first out over all classes and profiles.
    pub fifo: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self { bound: 20_000, fifo: false }
    }
}

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Item<T> {
    /// Priority class, 0 is the first.
    pub class: usize,
    /// Profile, between which a class is fair.
    pub profile: Rc<str>,
    /// Weight of the profile.
    pub weight: u32,
    /// Time after which the request is not dispatched any more.
    pub deadline: Duration,
    /// The request.
    pub value: T,
}

/// Names a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

#[derive(Debug)]
struct Waiting<T> {
    ticket: u64,
    deadline: Duration,
    value: T,
}

#[derive(Debug)]
struct Flow<T> {
    weight: u32,
    /// Virtual time at which the next request of the profile is due.
    due: f64,
    items: VecDeque<Waiting<T>>,
}

#[derive(Debug)]
struct Class<T> {
    flows: IndexMap<Rc<str>, Flow<T>>,
    now: f64,
}

/// The queue.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    classes: Vec<Class<T>>,
    len: usize,
    next_ticket: u64,
    served: u64,
    /// No waiting request has an earlier deadline, so that most calls need not look at every request.
    earliest: Duration,
}

impl<T> Queue<T> {
    /// An empty queue.
    pub fn new(settings: Settings) -> Self {
        let classes = (0..CLASSES).map(|_| Class { flows: IndexMap::new(), now: 0.0 }).collect();
        Self { settings, classes, len: 0, next_ticket: 0, served: 0, earliest: Duration::MAX }
    }

    /// Waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns the request when the queue is full.
    pub fn push(&mut self, item: Item<T>) -> Result<Ticket, T> {
        if self.len >= self.settings.bound {
            return Err(item.value);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let (class, profile): (usize, Rc<str>) = match self.settings.fifo {
            true => (0, "".into()),
            false => (item.class.min(CLASSES - 1), item.profile),
        };
        let class = &mut self.classes[class];
        let now = class.now;
        let flow = class.flows.entry(profile).or_insert_with(|| Flow {
            weight: item.weight.max(1),
            due: now,
            items: VecDeque::new(),
        });
        flow.weight = item.weight.max(1);
        if flow.items.is_empty() {
            // A profile that was idle does not save up its share.
            flow.due = flow.due.max(now);
        }
        flow.items.push_back(Waiting { ticket, deadline: item.deadline, value: item.value });
        self.earliest = self.earliest.min(item.deadline);
        self.len += 1;
        Ok(Ticket(ticket))
    }

    /// Removes a waiting request.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<T> {
        for class in &mut self.classes {
            for flow in class.flows.values_mut() {
                if let Ok(at) = flow.items.binary_search_by_key(&ticket.0, |w| w.ticket) {
                    self.len -= 1;
                    return flow.items.remove(at).map(|w| w.value);
                }
            }
        }
        None
    }

    /// Takes the next request that `place` can place; requests past their deadline go to `expired`.
    pub fn pop<P>(
        &mut self,
        now: Duration,
        expired: &mut Vec<T>,
        mut place: impl FnMut(&T) -> Option<P>,
    ) -> Option<(T, P)> {
        self.expire(now, expired);
        if self.len == 0 {
            return None;
        }
        let lowest_first =
            !self.settings.fifo && self.served % LOWEST_CLASS_EVERY == LOWEST_CLASS_EVERY - 1;
        let rest = if lowest_first { CLASSES - 1 } else { CLASSES };
        let order = lowest_first.then_some(CLASSES - 1).into_iter().chain(0..rest);
        for at in order {
            if let Some(popped) = pop_class(&mut self.classes[at], &mut place) {
                self.len -= 1;
                self.served += 1;
                return Some(popped);
            }
        }
        None
    }

    /// Removes requests past their deadline.
    pub fn expire(&mut self, now: Duration, expired: &mut Vec<T>) {
        if now < self.earliest {
            return;
        }
        self.earliest = Duration::MAX;
        for class in &mut self.classes {
            for flow in class.flows.values_mut() {
                if flow.items.iter().all(|w| w.deadline > now) {
                    let earliest = flow.items.iter().map(|w| w.deadline).min();
                    self.earliest = self.earliest.min(earliest.unwrap_or(Duration::MAX));
                    continue;
                }
                for waiting in std::mem::take(&mut flow.items) {
                    if waiting.deadline > now {
                        self.earliest = self.earliest.min(waiting.deadline);
                        flow.items.push_back(waiting);
                    } else {
                        self.len -= 1;
                        expired.push(waiting.value);
                    }
                }
            }
            let now = class.now;
            class.flows.retain(|_, flow| !flow.items.is_empty() || flow.due > now);
        }
    }
}

fn pop_class<T, P>(
    class: &mut Class<T>,
    place: &mut impl FnMut(&T) -> Option<P>,
) -> Option<(T, P)> {
    let mut order: Vec<usize> =
        (0..class.flows.len()).filter(|i| !class.flows[*i].items.is_empty()).collect();
    order.sort_by(|a, b| class.flows[*a].due.total_cmp(&class.flows[*b].due));
    for at in order {
        let flow = &mut class.flows[at];
        let found = (0..flow.items.len().min(MAX_SCAN))
            .find_map(|i| place(&flow.items[i].value).map(|p| (i, p)));
        if let Some((i, placed)) = found {
            class.now = class.now.max(flow.due);
            flow.due += 1.0 / f64::from(flow.weight);
            let waiting = flow.items.remove(i)?;
            return Some((waiting.value, placed));
        }
    }
    None
}
