//! Sends the reward calls of complete texts while this store leads.
//!
//! A call is owed from the commit of its text to the commit of its score. The text is committed before the call is sent, so
//! that a score never belongs to a text that was lost, and a text is never generated again because its call failed. A new
//! leader finds the owed calls in the state and sends them again. See `docs/platform.md`, "Reward calls".

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use compio::runtime;
use futures_util::{FutureExt, select};
use orioleworks_daemon::{clock, event, fingerprint};
use orioleworks_proto::inner;
use orioleworks_routing::{
    crashes::ItemStart,
    fleet::Upstream,
    items::Rank,
    outlier::{Candidate, Key, Outliers},
    permits::Permit,
    rewards::{self, ReadyCall},
    routes::Route,
};
use orioleworks_rules::batches as rules;
use tokio_util::sync::CancellationToken;

use crate::{
    crashes,
    engines::key_of,
    permits,
    recorder::Recorder,
    records::{ItemKey, add_result, record_for},
    reward_call::{self, CallEnd},
    runner::RunEnd,
    shared::Shared,
    state::Batch,
};

/// An attempt of a call.
struct Attempt {
    number: u64,
    upstream: Key,
    /// Time from which the call may be sent to another upstream as well.
    overdue_at: Duration,
    cancel: CancellationToken,
}

/// Service to which the next attempt of a call goes, by a document.
#[derive(Clone)]
struct Target {
    route: Rc<Route>,
    service: Rc<str>,
    document: u64,
}

/// An owed call.
struct Owed {
    key: ItemKey,
    batch: Rc<inner::Batch>,
    item: Rc<inner::BatchItem>,
    fingerprint: Rc<str>,
    give_up_at: Duration,
    owed_since: Duration,
    /// Earliest time of the next attempt.
    not_before: Duration,
    /// Failures in a row, which decide the pause before the next attempt.
    failures: u32,
    /// Responses that counted as a failure of the call.
    failed_calls: u32,
    /// Upstreams that answered with a failure; others are tried first.
    failed_at: HashSet<Key>,
    attempts: Vec<Attempt>,
    target: Option<Target>,
    /// Whether its score or its end waits to be committed.
    settled: bool,
    /// Whether it was logged that the call has no route.
    without_route: bool,
}

impl Owed {
    fn call(&self) -> Option<&inner::RewardCall> {
        self.item.reward_call.as_ref()
    }

    /// Batch and group of the item.
    fn group(&self) -> (&str, &str) {
        (&self.key.0, &self.item.group)
    }

    /// Whether another attempt may be due; the rest is decided with more effort.
    fn may_need_attempt(&self, now: Duration) -> bool {
        let overdue = self.attempts.iter().all(|attempt| attempt.overdue_at <= now);
        !self.settled && self.not_before <= now && overdue
    }

    fn settle(&mut self) {
        self.settled = true;
        self.cancel();
    }

    fn cancel(&mut self) {
        self.attempts.drain(..).for_each(|attempt| attempt.cancel.cancel());
    }
}

#[derive(Default)]
struct Work {
    owed: BTreeMap<Rank, Owed>,
    ranks: HashMap<ItemKey, Rank>,
    next_sequence: u64,
    /// Entries that the state had applied when the owed calls were compared with it.
    compared_at: Option<u64>,
}

struct Inner {
    shared: Shared,
    recorder: Recorder,
    work: RefCell<Work>,
    /// Health of the upstreams as seen by reward calls only: callers' requests take a fraction of their time.
    health: RefCell<Outliers>,
    next_attempt: Cell<u64>,
}

/// The owed calls; clones share them.
#[derive(Clone)]
pub struct Rewards {
    inner: Rc<Inner>,
}

impl std::fmt::Debug for Rewards {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Rewards").finish_non_exhaustive()
    }
}

impl Rewards {
    /// Creates the calls of a store, whose scores go to a recorder.
    pub fn new(shared: Shared, recorder: Recorder) -> Self {
        let (work, health) = (RefCell::default(), RefCell::default());
        let next_attempt = Cell::new(0);
        Self { inner: Rc::new(Inner { shared, recorder, work, health, next_attempt }) }
    }

    /// Numbers of calls that wait and of calls that run.
    pub fn depth(&self) -> (usize, usize) {
        let work = self.inner.work.borrow();
        let open = || work.owed.values().filter(|owed| !owed.settled);
        let running = open().filter(|owed| !owed.attempts.is_empty()).count();
        (open().count() - running, running)
    }

    /// Cancels all calls, because this store leads no more or anew.
    pub fn drop_work(&self) {
        let mut work = self.inner.work.borrow_mut();
        work.owed.values_mut().for_each(Owed::cancel);
        *work = Work { next_sequence: work.next_sequence, ..Work::default() };
    }

    /// Sends what can be sent now.
    pub fn send_owed(&self) {
        let applied = Some(self.inner.shared.state.borrow().applied());
        let compared_at = std::mem::replace(&mut self.inner.work.borrow_mut().compared_at, applied);
        if compared_at != applied {
            self.drop_closed();
            self.add_new();
        }
        self.give_up_expired();
        self.start_attempts();
    }

    /// Forgets the health of upstreams that are gone.
    pub fn retain_upstreams(&self, keep: impl Fn(&Key) -> bool) {
        self.inner.health.borrow_mut().retain(keep);
    }

    /// Drops calls whose results are listed, and cancels those of batches that were ended.
    fn drop_closed(&self) {
        let state = self.inner.shared.state.borrow();
        let mut work = self.inner.work.borrow_mut();
        let work = &mut *work;
        let is_owed = |(batch, item): &ItemKey| {
            let batch = state.batch(batch).filter(|batch| !batch.ended);
            batch.is_some_and(|batch| batch.unscored.contains_key(item))
        };
        work.owed.retain(|_, owed| {
            let keep = is_owed(&owed.key);
            if !keep {
                owed.cancel();
                work.ranks.remove(&owed.key);
            }
            keep
        });
    }

    fn add_new(&self) {
        let state = self.inner.shared.state.borrow();
        let mut work = self.inner.work.borrow_mut();
        for (id, batch) in state.open_batches() {
            for item in batch.unscored.keys() {
                let key = (id.clone(), item.clone());
                if !work.ranks.contains_key(&key) {
                    add_owed(&mut work, key, batch);
                }
            }
        }
    }

    fn give_up_expired(&self) {
        let now = clock::since_boot();
        let mut work = self.inner.work.borrow_mut();
        let expired = |owed: &&mut Owed| !owed.settled && owed.give_up_at <= now;
        for owed in work.owed.values_mut().filter(expired) {
            self.give_up(owed, "retention");
        }
    }

    fn give_up(&self, owed: &mut Owed, reason: &str) {
        event!(
            warn,
            "item_given_up",
            item = owed.key.1,
            batch = owed.key.0,
            request = owed.call().map_or("", |call| &call.id),
            reason = format!("reward_call_{reason}"),
            failed_calls = owed.failed_calls,
        );
        owed.settle();
        self.inner.recorder.add(|records| add_result(records, &owed.key, None));
        metrics::counter!("orioleworks_reward_calls_given_up_total").increment(1);
    }

    /// Calls that may be due for another attempt, in the order in which they are sent.
    fn ready_calls(&self, work: &Work, now: Duration) -> Vec<ReadyCall> {
        let may_need_attempt = work.owed.iter().filter(|(_, owed)| owed.may_need_attempt(now));
        let ready: Vec<(&Rank, &Owed)> = may_need_attempt.collect();
        // Most passes find no call, and need not count those under way.
        if ready.is_empty() {
            return Vec::new();
        }
        let state = self.inner.shared.state.borrow();
        let mut under_way: HashMap<(&str, &str), u32> = HashMap::new();
        for owed in work.owed.values().filter(|owed| owed.settled || !owed.attempts.is_empty()) {
            *under_way.entry(owed.group()).or_default() += 1;
        }
        let missing = |owed: &Owed| {
            let batch = state.batch(&owed.key.0);
            let missing = batch.map_or(0, |batch| batch.missing_in_group(&owed.item.group));
            missing.saturating_sub(under_way.get(&owed.group()).copied().unwrap_or_default())
        };
        let mut first_in_group: HashMap<(&str, &str), Rank> = HashMap::new();
        let ready = ready.into_iter().map(|(rank, owed)| ReadyCall {
            rank: *rank,
            missing_in_group: missing(owed),
            first_in_group: *first_in_group.entry(owed.group()).or_insert(*rank),
        });
        let mut ready: Vec<ReadyCall> = ready.collect();
        rewards::order(&mut ready);
        ready
    }

    fn start_attempts(&self) {
        let now = clock::since_boot();
        let mut work = self.inner.work.borrow_mut();
        let ready = self.ready_calls(&work, now);
        // If no upstream of a service has room for a call, none has for those that are due later.
        let mut full: HashSet<Rc<str>> = HashSet::new();
        for ReadyCall { rank, .. } in ready {
            let Some(owed) = work.owed.get_mut(&rank) else { continue };
            let Some(target) = self.target_of(owed) else { continue };
            if full.contains(&target.service) {
                continue;
            }
            let knowledge = &self.inner.shared.knowledge;
            let suspect = match crashes::item_start(knowledge, &owed.fingerprint, now) {
                ItemStart::NotBefore(at) => {
                    owed.not_before = at;
                    continue;
                }
                start => start == ItemStart::Suspect,
            };
            if !rewards::may_run_in_parallel(owed.attempts.len(), suspect) {
                continue;
            }
            // Two calls of a content that may crash upstreams could crash two.
            let fingerprint = owed.fingerprint.clone();
            let runs = |o: &Owed| !o.attempts.is_empty() && o.fingerprint == fingerprint;
            if suspect && work.owed.values().any(runs) {
                continue;
            }
            let Some(owed) = work.owed.get_mut(&rank) else { continue };
            let candidates = self.candidates(owed, &target.service, now);
            let chosen = rewards::choose(&self.inner.health.borrow(), &candidates, now);
            match chosen {
                Some(upstream) => {
                    let priority = target.route.priority;
                    let shared = &self.inner.shared;
                    let permit = permits::request(shared, &upstream, priority, Duration::ZERO);
                    if matches!(permit, Some(Permit::After(_))) {
                        let objective = target.route.latency_objective;
                        let health = self.inner.health.borrow();
                        let after = rewards::overdue_after(&health, &candidates, objective);
                        drop(health);
                        owed.target = None;
                        self.start(owed, &target.route, upstream, now, after);
                    }
                }
                None if owed.attempts.is_empty() && owed.failed_at.is_empty() => {
                    full.insert(target.service);
                }
                None => {}
            }
        }
    }

    /// Where the next attempt goes by the route that the call's host and path have now; without one the call waits until its
    /// item is given up.
    fn target_of(&self, owed: &mut Owed) -> Option<Target> {
        let table = self.inner.shared.table.borrow().clone();
        if let Some(target) = owed.target.as_ref().filter(|t| t.document == table.version) {
            return Some(target.clone());
        }
        let call = owed.item.reward_call.as_ref()?;
        let Some(route) = table.find(&call.host, &call.path).cloned() else {
            if !std::mem::replace(&mut owed.without_route, true) {
                event!(
                    warn,
                    "reward_call_without_route",
                    item = owed.key.1,
                    batch = owed.key.0,
                    request = call.id,
                    host = call.host,
                    path = call.path,
                    document = table.version,
                    reason = "no_route",
                );
            }
            return None;
        };
        owed.without_route = false;
        let service = route.pick(&mut rand::rng())?.clone();
        owed.target = Some(Target { route, service, document: table.version });
        owed.target.clone()
    }

    /// Upstreams that may take the call, without those that run it and, if there are others, those that failed it.
    fn candidates(&self, owed: &Owed, service: &str, now: Duration) -> Vec<Candidate> {
        let fleet = self.inner.shared.knowledge.fleet.borrow();
        let own_domain = &self.inner.shared.domain;
        let candidate = |up: &Rc<Upstream>, fresh| Candidate {
            key: key_of(up),
            slots: up.slots,
            fresh,
            local: *up.domain == **own_domain,
        };
        let serving = fleet.serving(service, now);
        let mut candidates: Vec<Candidate> = serving
            .map(|known| candidate(&known.upstream, known.is_fresh(now)))
            .filter(|c| owed.attempts.iter().all(|attempt| attempt.upstream != c.key))
            .filter(|c| permits::is_free(&self.inner.shared, &c.key))
            .collect();
        if candidates.iter().any(|c| !owed.failed_at.contains(&c.key)) {
            candidates.retain(|c| !owed.failed_at.contains(&c.key));
        }
        candidates
    }

    /// Sends a call to an upstream; `overdue_after` is the time after which another one may get it as well.
    fn start(
        &self,
        owed: &mut Owed,
        route: &Rc<Route>,
        key: Key,
        now: Duration,
        overdue_after: Duration,
    ) {
        let fleet = self.inner.shared.knowledge.fleet.borrow();
        let Some(upstream) = fleet.get(&key.0).map(|known| known.upstream.clone()) else { return };
        let Some(call) = owed.call().cloned() else { return };
        self.inner.health.borrow_mut().record_sent(&key);
        let number = self.inner.next_attempt.replace(self.inner.next_attempt.get() + 1);
        let cancel = CancellationToken::new();
        owed.attempts.push(Attempt {
            number,
            upstream: key.clone(),
            overdue_at: now + overdue_after,
            cancel: cancel.clone(),
        });
        let (this, term, item) = (self.clone(), self.inner.recorder.term(), owed.key.clone());
        let route = route.clone();
        runtime::spawn(async move {
            let end = {
                let shared = &this.inner.shared;
                let observe = |rate, leaving| shared.note_head(&key, now, rate, leaving);
                let sent =
                    reward_call::send(&shared.pool, &upstream, &key, &call, route.timeout, observe);
                let mut sent = std::pin::pin!(sent.fuse());
                let mut cancelled = std::pin::pin!(cancel.cancelled().fuse());
                select! { end = sent => Some(end), () = cancelled => None }
            };
            this.record_health(&key, now, end.as_ref());
            if let Some(end) = end.filter(|_| this.inner.recorder.term() == term) {
                this.finish(&item, number, &route, &end);
            }
            this.inner.shared.wake.notify();
        })
        .detach();
    }

    fn record_health(&self, key: &Key, started: Duration, end: Option<&CallEnd>) {
        let now = clock::since_boot();
        let took = now.saturating_sub(started);
        let mut health = self.inner.health.borrow_mut();
        let outcome = match end {
            None => {
                health.record_dropped(key);
                "cancelled"
            }
            Some(CallEnd::Scored(_)) => {
                health.record_response(key, took);
                "scored"
            }
            // A few calls fail at every upstream, so a failure says nothing of this one.
            Some(CallEnd::Failed(RunEnd::Failed)) => {
                health.record_dropped(key);
                RunEnd::Failed.outcome()
            }
            Some(CallEnd::Failed(end)) => {
                health.record_failure(key, now);
                end.outcome()
            }
        };
        metrics::counter!("orioleworks_reward_calls_total", "outcome" => outcome).increment(1);
        metrics::histogram!("orioleworks_reward_call_seconds", "outcome" => outcome).record(took);
    }

    fn finish(&self, item: &ItemKey, number: u64, route: &Route, end: &CallEnd) {
        let now = clock::since_boot();
        let mut work = self.inner.work.borrow_mut();
        let Some(rank) = work.ranks.get(item).copied() else { return };
        let Some(owed) = work.owed.get_mut(&rank) else { return };
        let at = owed.attempts.iter().position(|attempt| attempt.number == number);
        let Some(attempt) = at.map(|at| owed.attempts.swap_remove(at)) else { return };
        let Some(call) = owed.call().cloned() else { return };
        let run_end = match end {
            CallEnd::Scored(_) => &RunEnd::Completed,
            CallEnd::Failed(end) => end,
        };
        let content = (&owed.fingerprint, &*call.id);
        let knowledge = &self.inner.shared.knowledge;
        crashes::record_end(knowledge, content, &attempt.upstream, true, run_end);
        let reason = match end {
            CallEnd::Scored(score) => {
                if owed.failures > 0 {
                    event!(
                        info,
                        "reward_call_scored",
                        item = owed.key.1,
                        batch = owed.key.0,
                        request = call.id,
                        upstream = attempt.upstream.0,
                        failures = owed.failures,
                        owed_ms = now.saturating_sub(owed.owed_since).as_millis(),
                    );
                }
                let score = inner::ItemScore {
                    id: owed.key.1.to_string(),
                    score: score.clone(),
                    reward_call_id: call.id,
                };
                owed.settle();
                let batch = &owed.key.0;
                self.inner.recorder.add(|records| record_for(records, batch).scores.push(score));
                return;
            }
            CallEnd::Failed(end) => end.reason(),
        };
        owed.failures += 1;
        owed.not_before = now + rewards::retry_pause(owed.failures);
        if run_end == &RunEnd::Failed {
            owed.failed_calls += 1;
            owed.failed_at.insert(attempt.upstream.clone());
            let failed =
                inner::FailedAttempts { id: owed.key.1.to_string(), count: owed.failed_calls };
            let batch = &owed.key.0;
            self.inner
                .recorder
                .add(|records| record_for(records, batch).failed_reward_calls.push(failed));
        }
        event!(
            info,
            "reward_call_failed",
            item = owed.key.1,
            batch = owed.key.0,
            request = call.id,
            upstream = attempt.upstream.0,
            reason = reason,
            failures = owed.failures,
            failed_calls = owed.failed_calls,
            content = fingerprint::logged(&owed.fingerprint),
        );
        let (item_limit, route_limit) = (owed.batch.max_attempts, route.max_attempts);
        if owed.attempts.is_empty()
            && rewards::is_hopeless(owed.failed_calls, item_limit, route_limit)
        {
            self.give_up(owed, "attempts");
        }
    }
}

fn add_owed(work: &mut Work, key: ItemKey, batch: &Batch) {
    let Some(item) = batch.items.get(&key.1) else { return };
    if !rules::may_call(batch.ended, item.listed, batch.unscored.contains_key(&key.1)) {
        return;
    }
    let Some(call) = &item.spec.reward_call else { return };
    work.next_sequence += 1;
    let times = batch.times();
    let rank = Rank::new(batch.spec.priority, times.due, 0, work.next_sequence);
    let owed = Owed {
        key: key.clone(),
        batch: batch.spec.clone(),
        item: item.spec.clone(),
        fingerprint: crashes::fingerprint_of_call(call),
        give_up_at: times.give_up_at,
        owed_since: clock::since_boot(),
        not_before: Duration::ZERO,
        failures: 0,
        failed_calls: item.failed_reward_calls,
        failed_at: HashSet::new(),
        attempts: Vec::new(),
        target: None,
        settled: false,
        without_route: false,
    };
    work.ranks.insert(key, rank);
    work.owed.insert(rank, owed);
}
