//! Log lines about batches that are late and items that wait.

use std::{rc::Rc, time::Duration};

use indexmap::IndexMap;
use orioleworks_daemon::{clock, event};
use orioleworks_proto::inner;
use orioleworks_routing::fleet::Upstream;

use super::{Dispatch, Waiting};
use crate::engines::key_of;

/// Least time between two log lines about the items of a batch that wait for an engine.
const WAIT_REPORT_INTERVAL: Duration = Duration::from_secs(1);

impl Dispatch {
    /// Logs once for each batch that is incomplete at its due time what it waits for.
    pub(super) fn report_overdue(&self) {
        let now = clock::since_boot();
        let state = self.inner.shared.state.borrow();
        let mut work = self.inner.work.borrow_mut();
        let late = |due: &Option<Duration>| due.is_some_and(|due| due <= now);
        let overdue: Vec<Rc<str>> = work
            .queued_batches
            .iter()
            .filter(|(_, due)| late(due))
            .map(|(id, _)| id.clone())
            .collect();
        for id in overdue {
            work.queued_batches.insert(id.clone(), None);
            let Some(batch) = state.batch(&id) else { continue };
            let of_batch = |w: &&Waiting| w.key.0 == id;
            let waiting = work.waiting.values().filter(of_batch).count();
            let all_paused = work.waiting.values().filter(of_batch).all(|w| w.paused);
            let running = work.running.keys().filter(|key| key.0 == id).count();
            let owed = batch.unscored.len();
            let engines = self.engines_for(&batch.spec, now);
            let limited = self.are_limited(&batch.spec.service, now);
            let reason = match (waiting, engines) {
                (0, _) if running == 0 && owed > 0 => "reward_calls_owed",
                (0, _) => "items_still_run",
                _ if all_paused => "items_are_paused",
                (_, 0) => "no_engine_has_the_weights",
                _ if limited => "engines_name_limits",
                _ => "engines_are_full",
            };
            event!(
                warn,
                "batch_overdue",
                batch = id,
                reason = reason,
                waiting = waiting,
                running = running,
                reward_calls_owed = owed,
                listed = batch.results.len(),
                engines = engines,
                min_version = batch.spec.min_version,
                named = state.models().get(batch.spec.model.as_str()).map_or(0, |m| m.named),
            );
        }
    }

    /// Logs for each batch with waiting items how much of the engines' room its weights leave out.
    pub(super) fn report_waits(&self) {
        let now = clock::since_boot();
        let mut work = self.inner.work.borrow_mut();
        if work.waiting.is_empty() || now < work.waits_reported + WAIT_REPORT_INTERVAL {
            return;
        }
        work.waits_reported = now;
        let mut waiting: IndexMap<&Rc<str>, (&inner::Batch, usize)> = IndexMap::new();
        for item in work.waiting.values() {
            waiting.entry(&item.key.0).or_insert((&item.batch, 0)).1 += 1;
        }
        let fleet = self.inner.shared.knowledge.fleet.borrow();
        let engines = self.inner.shared.engines.borrow();
        for (id, (batch, waiting)) in waiting {
            let (mut allowed, mut free, mut free_elsewhere) = (0_u32, 0, 0);
            for known in fleet.serving(&batch.service, now) {
                let up = &known.upstream;
                let room = up.slots.saturating_sub(engines.running(&key_of(up)));
                match engines.load_for(known, &batch.model, batch.min_version, "", now) {
                    Some(_) => (allowed, free) = (allowed + 1, free + room),
                    None => free_elsewhere += room,
                }
            }
            event!(
                info,
                "items_wait",
                batch = id,
                model = batch.model,
                step = batch.step,
                waiting = waiting,
                running = work.running.keys().filter(|key| key.0 == *id).count(),
                engines = allowed,
                free_slots = free,
                free_slots_elsewhere = free_elsewhere,
            );
        }
    }

    /// Whether all upstreams of a service name a limit.
    fn are_limited(&self, service: &str, now: Duration) -> bool {
        let fleet = self.inner.shared.knowledge.fleet.borrow();
        let rates = self.inner.shared.knowledge.rates.borrow();
        fleet.serving(service, now).all(|known| rates.limit(&key_of(&known.upstream)).is_some())
    }

    /// Number of engines whose weights a batch allows.
    fn engines_for(&self, batch: &inner::Batch, now: Duration) -> usize {
        let fleet = self.inner.shared.knowledge.fleet.borrow();
        let engines = self.inner.shared.engines.borrow();
        let holds = |up: &Rc<Upstream>| {
            engines.version(up, &batch.model).is_some_and(|version| version >= batch.min_version)
        };
        fleet.serving(&batch.service, now).filter(|known| holds(&known.upstream)).count()
    }
}
