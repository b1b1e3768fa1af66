//! Runs the items of open batches while this store leads.
//!
//! Only the leader runs items, and a result is valid once it is committed under the leader's term. A leader that was
//! paused or partitioned can therefore add nothing to a batch that its successor runs. See `docs/platform.md`.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use compio::runtime;
use futures_util::{FutureExt, select};
use orioleworks_daemon::{clock, event, fingerprint};
use orioleworks_proto::inner;
use orioleworks_routing::{
    crashes::ItemStart,
    fleet::{Known, Upstream},
    items::{self, Rank, Usage},
    outlier::Key,
    permits::Permit,
};
use orioleworks_rules::batches as rules;
use tokio_util::sync::CancellationToken;

mod pass;
mod reports;

use pass::{Pass, Wanted};

use crate::{
    crashes,
    engines::key_of,
    pace::pause_after,
    permits,
    recorder::Recorder,
    records::{ItemKey, add_result, add_unscored, record_for},
    rewards::Rewards,
    runner::{self, Observation, Progress, Run, RunEnd, RunObserver},
    shared::Shared,
    state::{Item, Times},
    steps::{Completed, ItemTimes, Step},
};

/// Longest time between two passes over the queue; a change of state, fleet or engines starts a pass at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two saves of the output of long items; the crash of a leader loses at most the output of this time.
const SAVE_INTERVAL: Duration = Duration::from_millis(1000);
/// Fewest new events that are saved: generating fewer again takes less time than reading them back.
const MIN_SAVE_EVENTS: usize = 20;
/// Silence of an engine that loads weights after which an item resumes on another engine.
const LOADING_STALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest wait of an item for an engine of the software version that began its text, while others have room.
const START_OVER_AFTER: Duration = Duration::from_millis(500);

struct Waiting {
    key: ItemKey,
    batch: Rc<inner::Batch>,
    item: Rc<inner::BatchItem>,
    /// Fingerprint of the item's request.
    fingerprint: Rc<str>,
    give_up_at: Duration,
    /// Start of the wait for an engine.
    waiting_since: Duration,
    progress: Rc<RefCell<Progress>>,
    failed_attempts: u32,
    /// Whether the item pauses because engines were lost under it.
    paused: bool,
    /// Whether the item may have crashed an engine before.
    suspect: bool,
    times: RefCell<ItemTimes>,
}

struct Running {
    cancel: CancellationToken,
    batch: Rc<inner::Batch>,
    item: Rc<inner::BatchItem>,
    progress: Rc<RefCell<Progress>>,
    engine: Key,
    fingerprint: Rc<str>,
    suspect: bool,
    events_at_start: usize,
}

impl Running {
    /// Whether the run has generated nothing yet; a crash of the engine is then most likely due to such a run.
    fn is_starting(&self) -> bool {
        self.progress.borrow().event_count() <= self.events_at_start
    }
}

#[derive(Default)]
struct Work {
    waiting: BTreeMap<Rank, Waiting>,
    running: HashMap<ItemKey, Running>,
    /// Batches whose items were queued, with their due time; `None` once the batch was reported as overdue.
    queued_batches: HashMap<Rc<str>, Option<Duration>>,
    /// Reports of the queued batches.
    steps: HashMap<Rc<str>, Step>,
    /// Time of the last report of waiting items.
    waits_reported: Duration,
    next_sequence: u64,
}

struct Inner {
    shared: Shared,
    recorder: Recorder,
    rewards: Rewards,
    work: RefCell<Work>,
    /// Items that have left an engine for a faster one since the last pass over the queue.
    moving: Cell<u32>,
}

/// Dispatcher of batch items; clones share it.
#[derive(Clone)]
pub struct Dispatch {
    inner: Rc<Inner>,
}

impl std::fmt::Debug for Dispatch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Dispatch").finish_non_exhaustive()
    }
}

impl Dispatch {
    /// Creates a dispatcher over the state of a store.
    pub fn new(shared: Shared) -> Self {
        let recorder = Recorder::new(shared.log.clone());
        let rewards = Rewards::new(shared.clone(), recorder.clone());
        let (work, moving) = (RefCell::default(), Cell::new(0));
        Self { inner: Rc::new(Inner { shared, recorder, rewards, work, moving }) }
    }

    /// Starts the tasks; they end with the token.
    pub fn start(&self, token: &CancellationToken) {
        let (this, stop) = (self.clone(), token.clone());
        runtime::spawn(async move { this.dispatch_loop(stop).await }).detach();
        runtime::spawn(self.inner.recorder.clone().run(token.clone())).detach();
        let (this, stop) = (self.clone(), token.clone());
        runtime::spawn(async move { this.save_loop(stop).await }).detach();
    }

    /// Number of items of a model that wait for an engine.
    pub fn waiting_for(&self, model: &str) -> usize {
        let work = self.inner.work.borrow();
        work.waiting.values().filter(|w| w.batch.model == model).count()
    }

    /// Numbers of items that wait and of items that run.
    pub fn depth(&self) -> (usize, usize) {
        let work = self.inner.work.borrow();
        (work.waiting.len(), work.running.len())
    }

    /// Numbers of reward calls that wait and of those that run.
    pub fn reward_calls(&self) -> (usize, usize) {
        self.inner.rewards.depth()
    }

    /// Forgets the health of upstreams that are gone.
    pub fn retain_upstreams(&self, keep: impl Fn(&Key) -> bool) {
        self.inner.rewards.retain_upstreams(keep);
    }

    /// Bytes of output of running items.
    pub fn output_bytes(&self) -> usize {
        let work = self.inner.work.borrow();
        work.running.values().map(|running| running.progress.borrow().text_bytes()).sum()
    }

    async fn dispatch_loop(&self, token: CancellationToken) {
        while !token.is_cancelled() {
            let seen = self.inner.shared.wake.version();
            let began = Instant::now();
            match self.inner.shared.log.leading_term() {
                Some(term) => {
                    if self.inner.recorder.begin_term(term) {
                        self.drop_work("term_started");
                    }
                    self.enqueue_new_batches();
                    self.drop_ended();
                    self.dispatch_waiting();
                    self.inner.rewards.send_owed();
                    self.report_overdue();
                    self.report_waits();
                }
                None => {
                    if self.inner.recorder.begin_term(0) {
                        self.drop_work("leadership_lost");
                    }
                }
            }
            pause_after(began.elapsed()).await;
            self.inner.shared.wake.changed_within(seen, CHECK_INTERVAL).await;
        }
    }

    fn drop_work(&self, reason: &str) {
        let mut work = self.inner.work.borrow_mut();
        let (waiting, running) = (work.waiting.len(), work.running.len());
        for running in work.running.values() {
            running.cancel.cancel();
        }
        *work = Work { next_sequence: work.next_sequence, ..Work::default() };
        let (calls_waiting, calls_running) = self.inner.rewards.depth();
        self.inner.rewards.drop_work();
        event!(
            info,
            "items_dropped",
            reason = reason,
            waiting = waiting,
            running = running,
            reward_calls = calls_waiting + calls_running,
        );
    }

    /// Queues the items of new batches.
    fn enqueue_new_batches(&self) {
        let state = self.inner.shared.state.borrow();
        let mut work = self.inner.work.borrow_mut();
        for (id, batch) in state.open_batches() {
            if work.queued_batches.contains_key(id) {
                continue;
            }
            let Times { age, due, give_up_at } = batch.times();
            work.queued_batches.insert(id.clone(), Some(due));
            let startable = |(id, item): &(&Rc<str>, &Item)| {
                rules::may_start(batch.ended, item.listed, batch.unscored.contains_key(*id))
            };
            let owed = batch.items.iter().filter(startable).map(|(_, item)| &*item.spec);
            let groups = batch.spec.group_count as usize;
            let wanted = groups.saturating_sub(batch.complete_groups());
            let step = Step::new(owed, wanted, age, clock::since_boot());
            work.steps.insert(id.clone(), step);
            let mut count = 0_usize;
            for (item_id, item) in batch.items.iter().filter(startable) {
                work.next_sequence += 1;
                let expected = item.spec.expected_tokens;
                let rank = Rank::new(batch.spec.priority, due, expected, work.next_sequence);
                let progress = item.progress.as_deref().map(Progress::restore).unwrap_or_default();
                let waiting = Waiting {
                    key: (id.clone(), item_id.clone()),
                    progress: Rc::new(RefCell::new(progress)),
                    batch: batch.spec.clone(),
                    item: item.spec.clone(),
                    fingerprint: crashes::fingerprint_of(&batch.spec, &item.spec),
                    give_up_at,
                    waiting_since: clock::since_boot(),
                    failed_attempts: item.failed_attempts,
                    paused: false,
                    suspect: false,
                    times: RefCell::default(),
                };
                work.waiting.insert(rank, waiting);
                count += 1;
            }
            event!(
                info,
                "batch_queued",
                batch = id,
                items = count,
                listed = batch.results.len(),
                reward_calls_owed = batch.unscored.len(),
                model = batch.spec.model,
                min_version = batch.spec.min_version,
                step = batch.spec.step,
                age_ms = age.as_millis(),
            );
        }
    }

    /// Cancels the items of batches that were ended or dropped.
    fn drop_ended(&self) {
        let state = self.inner.shared.state.borrow();
        let mut work = self.inner.work.borrow_mut();
        let is_closed = |id: &str| state.batch(id).is_none_or(|batch| batch.ended);
        let closed: Vec<Rc<str>> =
            work.queued_batches.keys().filter(|id| is_closed(id)).cloned().collect();
        for id in closed {
            work.queued_batches.remove(&id);
            work.steps.remove(&id);
            let waiting = work.waiting.len();
            work.waiting.retain(|_, w| w.key.0 != id);
            let waiting = waiting - work.waiting.len();
            let running: Vec<ItemKey> =
                work.running.keys().filter(|key| key.0 == id).cloned().collect();
            let cancelled = running.iter().filter_map(|key| work.running.remove(key));
            let running = cancelled.map(|running| running.cancel.cancel()).count();
            event!(info, "batch_closed", batch = id, waiting = waiting, running = running);
        }
    }

    fn dispatch_waiting(&self) {
        let now = clock::since_boot();
        self.inner.shared.engines.borrow_mut().update_times(now);
        self.inner.moving.set(0);
        let mut work = self.inner.work.borrow_mut();
        let expired: Vec<Rank> =
            work.waiting.iter().filter(|(_, w)| w.give_up_at <= now).map(|(r, _)| *r).collect();
        for rank in expired {
            if let Some(waiting) = work.waiting.remove(&rank) {
                event!(
                    warn,
                    "item_given_up",
                    item = waiting.key.1,
                    batch = waiting.key.0,
                    reason = "retention"
                );
                self.inner.recorder.add(|records| add_result(records, &waiting.key, None));
            }
        }
        // Tokens of the shortest item that found no room, by batch and whether it needs a fast engine.
        let mut too_long: HashMap<(Rc<str>, bool), u64> = HashMap::new();
        let knowledge = &self.inner.shared.knowledge;
        let mut starts = Vec::new();
        let fleet = knowledge.fleet.borrow();
        let engines = self.inner.shared.engines.borrow();
        let table = self.inner.shared.table.borrow();
        let mut pass = Pass::new(&fleet, &engines, &table, now);
        for running in work.running.values() {
            let events = running.progress.borrow().event_count();
            pass.add_running(&running.engine, self.usage_of(&running.batch, &running.item, events));
        }
        let starting = || work.running.values().filter(|r| r.suspect && r.is_starting());
        let mut starting_on: HashSet<Key> = starting().map(|r| r.engine.clone()).collect();
        let mut starting_contents: HashSet<Rc<str>> =
            starting().map(|r| r.fingerprint.clone()).collect();
        let ranks: Vec<Rank> = work.waiting.keys().copied().collect();
        for rank in ranks {
            let Some(waiting) = work.waiting.get_mut(&rank) else { continue };
            let start = crashes::item_start(knowledge, &waiting.fingerprint, now);
            if let ItemStart::NotBefore(at) = start {
                if !std::mem::replace(&mut waiting.paused, true) {
                    event!(
                        warn,
                        "item_paused",
                        item = waiting.key.1,
                        batch = waiting.key.0,
                        content = fingerprint::logged(&waiting.fingerprint),
                        pause_ms = at.saturating_sub(now).as_millis(),
                    );
                }
                continue;
            }
            waiting.paused = false;
            waiting.suspect = start == ItemStart::Suspect;
            // Another batch may contain the same item.
            if waiting.suspect && starting_contents.contains(&waiting.fingerprint) {
                continue;
            }
            let suspect = waiting.suspect;
            let events = waiting.progress.borrow().event_count();
            let left = self.events_left(&waiting.batch, &waiting.item, events);
            let long = items::needs_fast_engine(left);
            let kind = (waiting.key.0.clone(), long);
            let own_usage = self.usage_of(&waiting.batch, &waiting.item, events);
            // An item that is much shorter may fit where another one does not. Trying each would cost a pass over all
            // engines for each item.
            if too_long.get(&kind).is_some_and(|tokens| own_usage.left > tokens / 2) {
                continue;
            }
            // If two suspects started on an engine that crashes, both would look guilty.
            let excluded = if suspect { &starting_on } else { &HashSet::new() };
            let wanted = Wanted {
                batch: &waiting.batch,
                group: &waiting.item.group,
                usage: own_usage,
                long,
                software: waiting
                    .progress
                    .borrow()
                    .software()
                    .filter(|_| now.saturating_sub(waiting.waiting_since) < START_OVER_AFTER),
                excluded,
            };
            match pass.choose(&wanted, |engine| permits::is_free(&self.inner.shared, engine)) {
                Some(upstream) => {
                    let priority = waiting.batch.priority;
                    if !self.takes_permit(&key_of(&upstream), priority) {
                        pass.exclude(&key_of(&upstream));
                        continue;
                    }
                    pass.add_started(&key_of(&upstream), &waiting.item.group, own_usage);
                    if suspect {
                        starting_on.insert(key_of(&upstream));
                        starting_contents.insert(waiting.fingerprint.clone());
                    }
                    starts.extend(work.waiting.remove(&rank).map(|w| (rank, w, upstream)));
                }
                // Others of its batch may have more choice than a suspect or an item that has begun.
                None if suspect || events > 0 => {}
                None => {
                    too_long.insert(kind, own_usage.left);
                }
            }
        }
        drop(pass);
        drop((fleet, engines, table));
        for (rank, waiting, upstream) in starts {
            self.start_item(&mut work, rank, waiting, upstream);
        }
    }

    /// Takes a permit to send one request to an engine; false if it takes none now.
    fn takes_permit(&self, engine: &Key, priority: u32) -> bool {
        let permit = permits::request(&self.inner.shared, engine, priority, Duration::ZERO);
        matches!(permit, Some(Permit::After(_)))
    }

    fn start_item(&self, work: &mut Work, rank: Rank, waiting: Waiting, upstream: Rc<Upstream>) {
        let key = key_of(&upstream);
        let version = self.inner.shared.engines.borrow().version(&upstream, &waiting.batch.model);
        let single_version = waiting.batch.single_version;
        if !waiting.progress.borrow().can_resume(single_version, &upstream.software, version) {
            waiting.progress.borrow_mut().clear();
        }
        self.inner.shared.engines.borrow_mut().item_started(&key, &waiting.item.group);
        let waited = clock::since_boot().saturating_sub(waiting.waiting_since);
        metrics::histogram!("orioleworks_item_wait_seconds").record(waited);
        waiting.times.borrow_mut().run_started(waited);
        let cancel = CancellationToken::new();
        let running = Running {
            cancel: cancel.clone(),
            batch: waiting.batch.clone(),
            item: waiting.item.clone(),
            progress: waiting.progress.clone(),
            engine: key.clone(),
            fingerprint: waiting.fingerprint.clone(),
            suspect: waiting.suspect,
            events_at_start: waiting.progress.borrow().event_count(),
        };
        work.running.insert(waiting.key.clone(), running);
        let (this, term) = (self.clone(), self.inner.recorder.term());
        runtime::spawn(
            async move { this.run_item(rank, waiting, upstream, key, cancel, term).await },
        )
        .detach();
    }

    async fn run_item(
        &self,
        rank: Rank,
        waiting: Waiting,
        upstream: Rc<Upstream>,
        key: Key,
        cancel: CancellationToken,
        term: u64,
    ) {
        let (batch, item) = (waiting.batch.clone(), waiting.item.clone());
        let run = Run { upstream, key: key.clone(), batch, item };
        let started = clock::since_boot();
        let events_at_start = waiting.progress.borrow().event_count();
        let end = {
            let observer = RunObserver {
                observe: &|observation| {
                    self.observe(&run, started, observation);
                    if let Observation::Event(gap) = observation {
                        let loading = self.inner.shared.engines.borrow().loading(&key).is_some();
                        let age = clock::since_boot().saturating_sub(started);
                        waiting.times.borrow_mut().event(gap, age, loading);
                    }
                    let events = waiting.progress.borrow().event_count();
                    if waiting.suspect && events == events_at_start + 1 {
                        // Another suspect may start on the engine now.
                        self.inner.shared.wake.notify();
                    }
                },
                stall_timeout: &|| self.stall_timeout(&run),
                should_move: &|| {
                    let progress = waiting.progress.borrow();
                    items::may_move(progress.event_count().saturating_sub(events_at_start))
                        && self.should_move(&run, &progress)
                },
            };
            let running = runner::run(&self.inner.shared.pool, &run, &waiting.progress, &observer);
            let mut running = Box::pin(running.fuse());
            let mut cancelled = std::pin::pin!(cancel.cancelled().fuse());
            select! { end = running => Some(end), () = cancelled => None }
        };
        self.inner.shared.engines.borrow_mut().item_ended(&key);
        metrics::histogram!("orioleworks_item_run_seconds",
            "outcome" => end.as_ref().map_or("cancelled", RunEnd::outcome))
        .record(clock::since_boot().saturating_sub(started));
        if let Some(end) = end.filter(|_| self.inner.recorder.term() == term) {
            self.finish_run(rank, waiting, &run, end);
        }
        self.inner.shared.wake.notify();
    }

    fn observe(&self, run: &Run, started: Duration, observation: Observation) {
        let mut engines = self.inner.shared.engines.borrow_mut();
        match observation {
            Observation::Event(gap) => engines.record_event(&run.key, gap, clock::since_boot()),
            Observation::Version(version) => {
                engines.record_version(&run.key, &run.batch.model, version)
            }
            Observation::Head(rate, leaving) => {
                self.inner.shared.note_head(&run.key, started, rate, leaving)
            }
        }
    }

    fn stall_timeout(&self, run: &Run) -> Duration {
        let is_loading = self.inner.shared.engines.borrow().loading(&run.key).is_some();
        if is_loading { LOADING_STALL_TIMEOUT } else { runner::STALL_TIMEOUT }
    }

    /// Whether an item should move: it ends so much sooner on a faster engine with a free slot that moving there pays.
    fn should_move(&self, run: &Run, progress: &Progress) -> bool {
        let left = self.events_left(&run.batch, &run.item, progress.event_count());
        let engines = self.inner.shared.engines.borrow();
        let now = clock::since_boot();
        // Only measured engines are compared: what is assumed of the others would make one of them the fastest.
        let own_ms = engines.measured_ms(&run.key, now);
        let (Some(own_ms), Some(fastest_ms)) = (own_ms, engines.fastest_ms()) else { return false };
        // Most items are short or run on one of the fastest engines, and need no comparison with each engine.
        if !items::move_pays(left, own_ms, fastest_ms) {
            return false;
        }
        let fleet = self.inner.shared.knowledge.fleet.borrow();
        let (batch, group) = (&run.batch, &run.item.group);
        let faster = |known: &&Known| {
            let up = &known.upstream;
            let (key, version) = (key_of(up), engines.version(up, &batch.model));
            let ms = engines.measured_ms(&key, now);
            ms.is_some_and(|ms| items::move_pays(left, own_ms, ms))
                && progress.can_resume(batch.single_version, &up.software, version)
                && permits::is_free(&self.inner.shared, &key)
        };
        let free_slots = |known: &Known| {
            let load = engines.load_for(known, &batch.model, batch.min_version, group, now);
            load.map_or(0, |load| load.slots.saturating_sub(load.running))
        };
        let serving = fleet.serving(&batch.service, now).filter(|known| known.is_fresh(now));
        let free: u32 = serving.filter(faster).map(free_slots).sum();
        // Items that move at the same time take a slot each.
        let moving = self.inner.moving.get();
        let moves = free > moving;
        self.inner.moving.set(moving + u32::from(moves));
        if moves {
            event!(
                info,
                "item_moves",
                item = run.item.id,
                upstream = run.upstream.id,
                event_ms = own_ms.round(),
                fastest_event_ms = fastest_ms.round(),
                events_left = left,
                free_slots = free,
                moving = moving,
            );
        }
        moves
    }

    fn events_left(&self, batch: &inner::Batch, item: &inner::BatchItem, events: usize) -> usize {
        let event_tokens = self.event_tokens(&batch.service);
        let most = items::most_events_left(item.tokens, item.prompt_tokens, event_tokens, events);
        items::events_left(item.expected_tokens, event_tokens, events).min(most)
    }

    /// Memory that an item uses and is expected to use on its engine.
    fn usage_of(&self, batch: &inner::Batch, item: &inner::BatchItem, events: usize) -> Usage {
        let event_tokens = u64::from(self.event_tokens(&batch.service).max(1));
        let left = self.events_left(batch, item, events).max(1) as u64 * event_tokens;
        let left = (item.expected_tokens > 0).then_some(left);
        Usage::new(item.prompt_tokens, events as u64 * event_tokens, left, item.tokens)
    }

    /// Tokens of one event of a service's engines; 0 if its configuration does not say.
    fn event_tokens(&self, service: &str) -> u32 {
        let table = self.inner.shared.table.borrow();
        let engine = table.service(service).and_then(|s| s.engine.as_ref());
        engine.map_or(0, |engine| engine.event_tokens)
    }

    fn finish_run(&self, rank: Rank, mut waiting: Waiting, run: &Run, end: RunEnd) {
        let now = clock::since_boot();
        let mut work = self.inner.work.borrow_mut();
        let running = work.running.remove(&waiting.key);
        let was_starting = running.is_some_and(|r| r.is_starting());
        let content = (&waiting.fingerprint, &*waiting.key.1);
        crashes::record_end(&self.inner.shared.knowledge, content, &run.key, was_starting, &end);
        match &end {
            RunEnd::Completed => {
                let progress = waiting.progress.borrow();
                let (text, versions) = (progress.text(), progress.versions());
                event!(
                    debug,
                    "item_completed",
                    item = waiting.key.1,
                    batch = waiting.key.0,
                    group = waiting.item.group,
                    model = waiting.batch.model,
                    step = waiting.batch.step,
                    expected_tokens = waiting.item.expected_tokens,
                    events = progress.event_count(),
                    upstream = run.upstream.id,
                    run_ms = now.saturating_sub(waiting.waiting_since).as_millis(),
                );
                if let Some(step) = work.steps.get_mut(&waiting.key.0) {
                    let completed = Completed {
                        item: &waiting.key.1,
                        group: &waiting.item.group,
                        upstream: &run.upstream.id,
                        times: &waiting.times.borrow(),
                        events: progress.event_count(),
                        expected_events: waiting.item.expected_tokens
                            / self.event_tokens(&waiting.batch.service).max(1),
                    };
                    step.complete(&waiting.key.0, &waiting.batch, &completed, now);
                }
                self.inner.recorder.add(|records| match &waiting.item.reward_call {
                    Some(_) => add_unscored(records, &waiting.key, text, versions),
                    None => add_result(records, &waiting.key, Some((text, versions))),
                });
                return;
            }
            RunEnd::Impossible => {
                event!(
                    warn,
                    "item_given_up",
                    item = waiting.key.1,
                    batch = waiting.key.0,
                    reason = "impossible",
                    upstream = run.upstream.id
                );
                self.inner.recorder.add(|records| add_result(records, &waiting.key, None));
                return;
            }
            RunEnd::Failed => {
                waiting.failed_attempts += 1;
                let failed = inner::FailedAttempts {
                    id: waiting.key.1.to_string(),
                    count: waiting.failed_attempts,
                };
                let batch = &waiting.key.0;
                self.inner.recorder.add(|records| record_for(records, batch).failed.push(failed));
                if waiting.failed_attempts >= waiting.batch.max_attempts {
                    event!(
                        warn,
                        "item_given_up",
                        item = waiting.key.1,
                        batch = waiting.key.0,
                        reason = "attempts",
                        attempts = waiting.failed_attempts
                    );
                    self.inner.recorder.add(|records| add_result(records, &waiting.key, None));
                    return;
                }
            }
            RunEnd::NotRun | RunEnd::WrongVersion => {
                self.inner.shared.engines.borrow_mut().pause_after_refusal(&run.key, now);
            }
            RunEnd::Moved => waiting.times.borrow_mut().moves += 1,
            RunEnd::Endless(_) => {
                self.inner.shared.engines.borrow_mut().pause_after_endless(&run.key, now);
            }
            RunEnd::Lost(_) | RunEnd::Refused(_) | RunEnd::Broken(_) | RunEnd::Silent(_) => {
                self.inner.shared.engines.borrow_mut().pause_after_failure(&run.key, now)
            }
        }
        event!(
            info,
            "item_requeued",
            item = waiting.key.1,
            batch = waiting.key.0,
            upstream = run.upstream.id,
            software = run.upstream.software,
            events = waiting.progress.borrow().event_count(),
            reason = end.reason(),
            content = fingerprint::logged(&waiting.fingerprint),
        );
        if work.queued_batches.contains_key(&waiting.key.0) {
            waiting.waiting_since = now;
            work.waiting.insert(rank, waiting);
        }
    }

    /// Saves the output of long items, so that the next leader can resume them.
    async fn save_loop(&self, token: CancellationToken) {
        while !token.is_cancelled() {
            compio::time::sleep(SAVE_INTERVAL).await;
            let work = self.inner.work.borrow();
            for (key, running) in &work.running {
                let mut progress = running.progress.borrow_mut();
                if progress.unsaved() >= MIN_SAVE_EVENTS {
                    let saved = progress.take_unsaved(&key.1);
                    self.inner
                        .recorder
                        .add(|records| record_for(records, &key.0).progress.push(saved));
                }
            }
        }
    }
}
