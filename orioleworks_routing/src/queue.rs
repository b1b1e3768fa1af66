//! Bounded queue with priority classes and weighted fair queueing between profiles; see `docs/design.md`, section 8.
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

/// Number of priority classes; class 0 has the highest priority.
pub const CLASSES: usize = 3;
/// One in this many requests is taken from the lowest class first, so that the class does not starve.
const LOWEST_CLASS_EVERY: u64 = 20;
/// Requests of one profile that are tried at most, when the first ones cannot be placed.
const MAX_SCAN: usize = 16;

/// Queue settings.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Largest number of waiting requests.
    pub bound: usize,
    /// First in, first out over all classes and profiles; used as the baseline.
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
    /// Priority class; 0 has the highest priority.
    pub class: usize,
    /// Profile; requests of a class are shared fairly between profiles.
    pub profile: Rc<str>,
    /// Weight of the profile in its class.
    pub weight: u32,
    /// Time from which the request is no longer dispatched.
    pub deadline: Duration,
    /// The request.
    pub value: T,
}

/// Handle of a waiting request.
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
    /// Virtual time at which the next request of the profile is scheduled.
    due: f64,
    items: VecDeque<Waiting<T>>,
}

#[derive(Debug)]
struct Class<T> {
    flows: IndexMap<Rc<str>, Flow<T>>,
    virtual_time: f64,
}

/// Queue of waiting requests.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    classes: Vec<Class<T>>,
    len: usize,
    next_ticket: u64,
    served: u64,
    /// Lower bound of all deadlines, so that most calls skip the scan for expired requests.
    earliest_deadline: Duration,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        let classes =
            (0..CLASSES).map(|_| Class { flows: IndexMap::new(), virtual_time: 0.0 }).collect();
        Self {
            settings,
            classes,
            len: 0,
            next_ticket: 0,
            served: 0,
            earliest_deadline: Duration::MAX,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Returns the request if the queue is full.
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
        let now = class.virtual_time;
        let flow = class.flows.entry(profile).or_insert_with(|| Flow {
            weight: item.weight.max(1),
            due: now,
            items: VecDeque::new(),
        });
        flow.weight = item.weight.max(1);
        if flow.items.is_empty() {
            // An idle profile does not accumulate its share.
            flow.due = flow.due.max(now);
        }
        flow.items.push_back(Waiting { ticket, deadline: item.deadline, value: item.value });
        self.earliest_deadline = self.earliest_deadline.min(item.deadline);
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

    /// Removes the next request for which `place` returns a value; requests past their deadline go to `expired`.
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

    /// Moves requests past their deadline to `expired`.
    pub fn expire(&mut self, now: Duration, expired: &mut Vec<T>) {
        if now < self.earliest_deadline {
            return;
        }
        self.earliest_deadline = Duration::MAX;
        for class in &mut self.classes {
            for flow in class.flows.values_mut() {
                if flow.items.iter().all(|w| w.deadline > now) {
                    let earliest_deadline = flow.items.iter().map(|w| w.deadline).min();
                    self.earliest_deadline =
                        self.earliest_deadline.min(earliest_deadline.unwrap_or(Duration::MAX));
                    continue;
                }
                for waiting in std::mem::take(&mut flow.items) {
                    if waiting.deadline > now {
                        self.earliest_deadline = self.earliest_deadline.min(waiting.deadline);
                        flow.items.push_back(waiting);
                    } else {
                        self.len -= 1;
                        expired.push(waiting.value);
                    }
                }
            }
            let now = class.virtual_time;
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
            class.virtual_time = class.virtual_time.max(flow.due);
            flow.due += 1.0 / f64::from(flow.weight);
            let waiting = flow.items.remove(i)?;
            return Some((waiting.value, placed));
        }
    }
    None
}
