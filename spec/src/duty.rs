//! Specification of a duty that one leader at a time performs: the reports of windows to an outside service.
//!
//! The log is assumed to have the properties that [`crate::log`] checks. Time is coarse: one tick is longer than a confirmation
//! counts, and a lease is some ticks. A call stays in the network after its sender gave up on it, and is executed at any
//! later time, also after newer calls. The order of calls is that of their sending.

use std::time::Duration;

use orioleworks_rules::duty as rules;

use crate::explore::Model;

const STORES: usize = 2;
const WINDOWS: usize = 2;
const MAX_TERM: u8 = 3;
/// Most counts that are added to all windows.
const MAX_COUNT: u8 = 1;
/// Most calls in the network.
const MAX_CALLS: usize = 2;
/// Lease in ticks.
const LEASE: u8 = 2;
const TICK: Duration = Duration::from_millis(rules::MAX_CONFIRMATION_AGE.as_millis() as u64 + 1);

/// The one rule that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No rule is broken.
    Intact,
    /// Counts are added to a closed window, so that a report has those of the time at which it is sent.
    CountsAtSending,
    /// The report of a window is sent before the window is closed.
    ReportOpenWindow,
    /// A new leader does not wait for the lease.
    NoLeaseWait,
    /// A new leader waits for half the lease.
    ShortLeaseWait,
    /// Calls are sent without a confirmation by a quorum.
    NoConfirmation,
    /// A confirmation counts for the whole term.
    OldConfirmation,
    /// The token does not rise with the holder.
    SameToken,
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Duty {
    /// Rule that is broken.
    pub broken: Broken,
}

/// Replicated state of a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Window {
    count: u8,
    closed: bool,
    reported: bool,
}

/// A call on its way to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call {
    holder: usize,
    token: u64,
    window: usize,
    count: u8,
    /// Whether its sender still waits for the response.
    awaited: bool,
}

/// A store: the term that it believes to lead, or 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Store {
    term: u8,
    /// Windows as it knew them when it was replaced.
    stale: [Window; WINDOWS],
    /// Ticks since its election.
    waited: u8,
    /// Ticks since it asked the quorum that has confirmed it.
    confirmed: Option<u8>,
    /// Call that it had decided to send when it was paused.
    paused: Option<Call>,
    refused: bool,
    /// Ticks since its last call.
    since_call: u8,
    /// Whether the other store has called since.
    other_called: bool,
}

/// State of the log, the stores, the network and the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    windows: [Window; WINDOWS],
    term: u8,
    leader: usize,
    stores: [Store; STORES],
    network: [Option<Call>; MAX_CALLS],
    /// Store that has called under each token.
    holder_of: [Option<usize>; MAX_TERM as usize + 1],
    highest_sent: u64,
    highest_seen: u64,
    accepted: [Option<u8>; WINDOWS],
    violated: Option<&'static str>,
}

/// Step of a trace; the number is the store or the window.
#[derive(Clone, Copy, Debug)]
#[allow(missing_docs)]
pub enum Step {
    Tick,
    Elect(usize),
    StopStale(usize),
    Count(usize),
    Close(usize),
    Confirm(usize),
    Send { store: usize, window: usize },
    Pause { store: usize, window: usize },
    SendAfterPause(usize),
    GiveUp(usize),
    ExecuteUnanswered { token: u64, window: usize },
    ExecuteAndRespond { token: u64, window: usize },
    Refuse { token: u64, window: usize },
}

impl State {
    /// Windows as a store knows them; outdated at a store that was replaced.
    fn windows_of(&self, i: usize) -> &[Window; WINDOWS] {
        if self.leads(i) { &self.windows } else { &self.stores[i].stale }
    }

    fn leads(&self, i: usize) -> bool {
        self.leader == i && self.stores[i].term == self.term
    }

    fn awaits(&self, i: usize) -> bool {
        self.network.iter().flatten().any(|call| call.holder == i && call.awaited)
    }

    /// Makes the sender of the calls of a store wait no longer.
    fn give_up(&mut self, i: usize) {
        let calls = self.network.iter_mut().flatten();
        calls.filter(|call| call.holder == i).for_each(|call| call.awaited = false);
        self.network.sort();
    }

    /// Forgets what a store did as a leader.
    fn stop(&mut self, i: usize) {
        self.give_up(i);
        let Store { since_call, other_called, .. } = self.stores[i];
        self.stores[i] = Store { since_call, other_called, ..Store::default() };
    }

    /// Forgets what a replaced store knows once it can send nothing but the call of a pause, to keep the graph small.
    fn settle(&mut self) {
        let leader = self.leader;
        for i in (0..STORES).filter(|i| *i != leader) {
            let Store { confirmed, paused, term, .. } = self.stores[i];
            if paused.is_some() || confirmed.is_none() {
                self.stop(i);
                self.stores[i].paused = paused;
                self.stores[i].term = if paused.is_some() { term } else { 0 };
            }
        }
    }

    /// Sends a call, unless the network is full. A call after a pause is exempt from the rules of order.
    fn send(mut self, call: Call, after_pause: bool) -> Option<State> {
        *self.network.iter_mut().find(|slot| slot.is_none())? = Some(call);
        self.network.sort();
        let (i, other) = (call.holder, 1 - call.holder);
        let holder = self.holder_of[call.token as usize].replace(i);
        if holder.is_some_and(|holder| holder != i) {
            self.violated = Some("one holder under a token");
        }
        if !after_pause {
            let store = &self.stores[i];
            if call.token < self.highest_sent {
                self.violated = Some("no lower token is sent after a higher one");
            } else if store.other_called {
                self.violated = Some("no holder returns within the lease");
            } else if store.refused {
                self.violated = Some("no call after a refusal of its term");
            }
            self.stores[i].since_call = 0;
            self.stores[i].other_called = false;
            self.stores[other].other_called = self.stores[other].since_call <= LEASE;
        }
        self.highest_sent = self.highest_sent.max(call.token);
        Some(self)
    }
}

impl Duty {
    fn is_variant(&self, broken: Broken) -> bool {
        self.broken == broken
    }

    fn tick(&self, s: &State) -> State {
        let mut n = *s;
        for store in &mut n.stores {
            store.waited = (store.waited + 1).min(LEASE);
            store.since_call = (store.since_call + 1).min(LEASE + 1);
            store.other_called &= store.since_call <= LEASE;
            let age = store.confirmed.map(|age| (age + 1).min(1));
            let counts = rules::is_confirmed(age.map(|age| TICK * age.into()));
            store.confirmed = age.filter(|_| counts || self.is_variant(Broken::OldConfirmation));
        }
        n
    }

    fn elect(s: &State, i: usize) -> State {
        let mut n = *s;
        n.stores[s.leader].stale = s.windows;
        (n.term, n.leader) = (s.term + 1, i);
        n.stop(i);
        n.stores[i].term = n.term;
        n
    }

    fn log_steps(&self, s: &State, out: &mut Vec<(Step, State)>) {
        for (w, window) in s.windows.iter().enumerate() {
            let closed = window.closed && !self.is_variant(Broken::CountsAtSending);
            if rules::accepts_counts(closed)
                && s.windows.iter().map(|w| w.count).sum::<u8>() < MAX_COUNT
            {
                let mut n = *s;
                n.windows[w].count += 1;
                out.push((Step::Count(w), n));
            }
            let previous_closed = w == 0 || s.windows[w - 1].closed;
            if rules::may_close(window.closed, previous_closed, true) {
                let mut n = *s;
                n.windows[w].closed = true;
                out.push((Step::Close(w), n));
            }
        }
    }

    fn store_steps(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        let store = &s.stores[i];
        if let Some(call) = store.paused {
            let mut n = *s;
            n.stores[i].paused = None;
            out.extend(n.send(call, true).map(|n| (Step::SendAfterPause(i), n)));
            return;
        }
        if !s.leads(i) {
            let mut n = *s;
            n.stop(i);
            out.push((Step::StopStale(i), n));
        } else if store.confirmed.is_none() {
            let mut n = *s;
            n.stores[i].confirmed = Some(0);
            out.push((Step::Confirm(i), n));
        }
        let wait = if self.is_variant(Broken::ShortLeaseWait) { LEASE / 2 } else { LEASE };
        let lease_over = rules::is_lease_over(TICK * store.waited.into(), TICK * wait.into());
        let confirmed = rules::is_confirmed(store.confirmed.map(|age| TICK * age.into()))
            || self.is_variant(Broken::NoConfirmation)
            || self.is_variant(Broken::OldConfirmation) && store.confirmed.is_some();
        let may_call = rules::may_call(
            lease_over || self.is_variant(Broken::NoLeaseWait),
            confirmed,
            store.refused,
        );
        if s.awaits(i) {
            let mut n = *s;
            n.give_up(i);
            out.push((Step::GiveUp(i), n));
        } else if may_call {
            self.call_steps(s, i, out);
        }
    }

    fn call_steps(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        for (window, known) in s.windows_of(i).iter().enumerate() {
            let closed = known.closed || self.is_variant(Broken::ReportOpenWindow);
            if !rules::may_report(closed, known.reported) {
                continue;
            }
            let term = if self.is_variant(Broken::SameToken) { 1 } else { s.stores[i].term };
            let token = rules::token(term.into());
            let call = Call { holder: i, token, window, count: known.count, awaited: true };
            let sent = s.send(call, false);
            out.extend(sent.map(|n| (Step::Send { store: i, window }, n)));
            let mut n = *s;
            n.stores[i].paused = Some(call);
            out.push((Step::Pause { store: i, window }, n));
        }
    }

    /// The service executes a call. It compares the token, or does not.
    fn service_steps(&self, s: &State, slot: usize, out: &mut Vec<(Step, State)>) {
        let Some(call) = s.network[slot] else { return };
        let Call { holder, token, window, count, awaited } = call;
        let mut n = *s;
        n.network[slot] = None;
        n.network.sort();
        let is_current = awaited && s.stores[holder].term > 0;
        if token < s.highest_seen {
            let mut refused = n;
            refused.stores[holder].refused |= is_current;
            out.push((Step::Refuse { token, window }, refused));
        }
        n.highest_seen = n.highest_seen.max(token);
        let before = n.accepted[window].replace(count);
        if before.is_some_and(|before| before != count) {
            n.violated = Some("no two different reports of a window are accepted");
        }
        out.push((Step::ExecuteUnanswered { token, window }, n));
        if is_current && s.leads(holder) {
            n.windows[window].reported = true;
            out.push((Step::ExecuteAndRespond { token, window }, n));
        }
    }
}

impl Model for Duty {
    type State = State;
    type Step = Step;

    fn name(&self) -> String {
        format!("duty/{:?}", self.broken)
    }

    fn bound(&self) -> String {
        format!("{WINDOWS} windows, {STORES} stores, {MAX_TERM} terms, {MAX_CALLS} calls in flight")
    }

    fn start(&self) -> State {
        let quiet = Store { since_call: LEASE + 1, ..Store::default() };
        let mut s = State { term: 1, stores: [quiet; STORES], ..State::default() };
        s.stores[0].term = 1;
        s
    }

    fn steps(&self, s: &State) -> Vec<(Step, State)> {
        let mut out = vec![(Step::Tick, self.tick(s))];
        if s.term < MAX_TERM {
            out.extend((0..STORES).map(|i| (Step::Elect(i), Self::elect(s, i))));
        }
        self.log_steps(s, &mut out);
        for i in (0..STORES).filter(|i| s.stores[*i].term > 0) {
            self.store_steps(s, i, &mut out);
        }
        for slot in 0..MAX_CALLS {
            self.service_steps(s, slot, &mut out);
        }
        if !self.is_variant(Broken::NoConfirmation) {
            out.iter_mut().for_each(|(_, n)| n.settle());
        }
        out.retain(|(_, n)| n != s);
        out
    }

    fn violation(&self, s: &State) -> Option<&'static str> {
        s.violated
    }

    fn is_complete(&self, s: &State) -> bool {
        s.windows.iter().all(|window| window.reported)
    }

    fn must_stay_completable(&self) -> bool {
        true
    }
}
