//! Replicated state of the stores: route document, weight versions, batches and their results.
//!
//! The position of a result follows from the order of the log, so that it is the same on every store and never changes.
//! See `docs/platform.md`.

use std::{collections::HashMap, io, rc::Rc, time::Duration};

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use orioleworks_daemon::{clock, event};
use orioleworks_log::Part;
use orioleworks_platform::document;
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, command::Kind},
};
use orioleworks_routing::usage::{Counts, Windows};
use orioleworks_rules::batches as rules;

use crate::{
    memory::Usage,
    snapshot::{self, Saved, SavedBatch},
    texts::{self, Text, Texts},
};

/// Time in milliseconds for which a batch is kept after its retention; covers adjustments of the wall clock.
const RETENTION_SLACK_MS: u64 = 30_000;
/// Factor on the retention of a batch that still has items to run.
const OPEN_RETENTION_FACTOR: u64 = 4;

/// Time beyond its retention after which an item is given up; covers adjustments of the wall clock, from which the time
/// of submission is taken.
const GIVE_UP_SLACK: Duration = Duration::from_secs(10);

/// An item of a batch.
#[derive(Clone, Debug)]
pub struct Item {
    /// The item; only its ID is left once it is listed or the batch is ended.
    pub spec: Rc<inner::BatchItem>,
    /// Whether its result is in [`Batch::results`].
    pub listed: bool,
    /// Number of attempts that an upstream answered with a failure.
    pub failed_attempts: u32,
    /// Number of reward calls that an upstream answered with a failure.
    pub failed_reward_calls: u32,
    /// Output that earlier runs generated for it.
    pub progress: Option<Rc<inner::ItemProgress>>,
}

/// A listed result.
#[derive(Clone, Debug)]
pub struct Listed {
    /// The result without its text.
    pub result: inner::ItemResult,
    /// Its text, which may be on disk.
    pub text: Text,
}

impl Listed {
    /// Takes the text out of a result.
    pub fn new(mut result: inner::ItemResult, texts: &Texts) -> Self {
        let text = texts.add(&std::mem::take(&mut result.text));
        Self { result, text }
    }

    /// Length of the uncompressed text in bytes.
    fn text_len(&self) -> usize {
        if self.result.text_len == 0 { self.text.len() } else { self.result.text_len as usize }
    }
}

/// Results of a batch whose texts are still to be read.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The reply without texts.
    pub reply: inner::ReadBatchReply,
    /// Texts of its results.
    pub texts: Vec<Text>,
}

impl Listing {
    /// Whether no text has to be read from disk.
    pub fn is_in_memory(&self) -> bool {
        self.texts.iter().all(Text::is_in_memory)
    }

    /// Completes the reply; blocks unless all texts are in memory.
    ///
    /// # Errors
    ///
    /// Fails if a text cannot be read.
    pub fn read(mut self) -> io::Result<inner::ReadBatchReply> {
        for (result, text) in self.reply.results.iter_mut().zip(texts::read(&self.texts)?) {
            result.text = text;
        }
        Ok(self.reply)
    }
}

/// Times of a batch.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time since its submission.
    pub age: Duration,
    /// When all its results are due.
    pub due: Duration,
    /// When items without a result are given up.
    pub give_up_at: Duration,
}

/// A batch and its results.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Everything but the items.
    pub spec: Rc<inner::Batch>,
    /// Time of acceptance in Unix milliseconds.
    pub submitted_ms: u64,
    /// Time of acceptance on this process's clock. It is taken once, so that all items of the batch are due at the same time.
    submitted: Duration,
    /// Whether its trainer has ended it.
    pub ended: bool,
    /// Items by ID.
    pub items: IndexMap<Rc<str>, Item>,
    /// Results by position.
    pub results: Vec<Listed>,
    /// Complete texts whose reward calls are owed, by item. Those of an ended batch may serve a later batch.
    pub unscored: IndexMap<Rc<str>, Listed>,
    /// Number of items that are not listed, by group.
    missing: HashMap<Rc<str>, u32>,
}

impl Batch {
    fn new(batch: &inner::Batch, submitted_ms: u64) -> Self {
        let items = batch.items.iter().map(|spec| {
            let spec = Rc::new(spec.clone());
            let id = Rc::from(spec.id.as_str());
            let item = Item {
                spec,
                listed: false,
                failed_attempts: 0,
                failed_reward_calls: 0,
                progress: None,
            };
            (id, item)
        });
        let mut missing: HashMap<Rc<str>, u32> = HashMap::new();
        for item in &batch.items {
            *missing.entry(item.group.as_str().into()).or_default() += 1;
        }
        let age = Duration::from_millis(clock::unix_ms().saturating_sub(submitted_ms));
        Self {
            submitted: clock::since_boot().saturating_sub(age),
            items: items.collect(),
            missing,
            spec: Rc::new(inner::Batch { items: Vec::new(), ..batch.clone() }),
            submitted_ms,
            ended: false,
            results: Vec::new(),
            unscored: IndexMap::new(),
        }
    }

    /// Number of results that a group lacks.
    pub fn missing_in_group(&self, group: &str) -> u32 {
        self.missing.get(group).copied().unwrap_or_default()
    }

    /// When the batch is due and when its items are given up, on this process's clock.
    pub fn times(&self) -> Times {
        let ms = |ms: u32| Duration::from_millis(ms.into());
        Times {
            age: clock::since_boot().saturating_sub(self.submitted),
            due: self.submitted + ms(self.spec.completion_ms),
            give_up_at: self.submitted + ms(self.spec.retention_ms) + GIVE_UP_SLACK,
        }
    }

    /// Number of groups of which each item is listed.
    pub fn complete_groups(&self) -> usize {
        self.missing.values().filter(|missing| **missing == 0).count()
    }

    /// Whether a tenant may know of the batch; `None` stands for any. A batch without a tenant is open to all.
    pub fn is_visible_to(&self, tenant: Option<&str>) -> bool {
        let owner = &self.spec.tenant;
        owner.is_empty() || tenant.is_none_or(|tenant| tenant == owner)
    }

    /// Whether nothing is left to run.
    pub fn is_done(&self) -> bool {
        self.ended || self.results.len() == self.items.len()
    }

    fn list_result(&mut self, listed: Listed) -> bool {
        let result = &listed.result;
        let allowed = !result.completed || is_allowed(&self.spec, result);
        let Some(item) = self.items.get_mut(result.id.as_str()) else { return false };
        let call = item.spec.reward_call.as_ref().filter(|_| result.completed);
        let score_missing = call.is_some_and(|call| !has_score_of(result, call));
        if !rules::accepts_result(item.listed, allowed, score_missing) {
            return false;
        }
        if let Some(missing) = self.missing.get_mut(item.spec.group.as_str()) {
            *missing = missing.saturating_sub(1);
        }
        item.listed = true;
        item.progress = None;
        keep_only_id(item);
        self.unscored.swap_remove(result.id.as_str());
        self.results.push(listed);
        true
    }

    /// Keeps a complete text until its reward call is answered.
    fn add_unscored(&mut self, listed: Listed) {
        let id: Rc<str> = listed.result.id.as_str().into();
        let allowed = is_allowed(&self.spec, &listed.result);
        let Some(item) = self.items.get_mut(&id) else { return };
        if rules::accepts_text(item.listed, self.unscored.contains_key(&id), allowed) {
            item.progress = None;
            self.unscored.insert(id, listed);
        }
    }

    /// Lists the text that a score belongs to.
    fn add_score(&mut self, score: &inner::ItemScore) -> bool {
        let Some(mut listed) = self.unscored.get(score.id.as_str()).cloned() else { return false };
        listed.result.score.clone_from(&score.score);
        listed.result.reward_call_id.clone_from(&score.reward_call_id);
        self.list_result(listed)
    }

    /// Lists what an earlier batch completed of an item, or keeps the text until this batch's reward call is answered.
    fn take_over(&mut self, mut listed: Listed) {
        let Some(item) = self.items.get(listed.result.id.as_str()) else { return };
        let scored = item.spec.reward_call.as_ref().map(|call| has_score_of(&listed.result, call));
        if scored != Some(true) {
            listed.result.score = String::new();
            listed.result.reward_call_id = String::new();
        }
        if scored == Some(false) {
            self.add_unscored(listed);
        } else {
            self.list_result(listed);
        }
    }
}

fn has_score_of(result: &inner::ItemResult, call: &inner::RewardCall) -> bool {
    !result.score.is_empty() && result.reward_call_id == call.id
}

/// Drops all that is needed to run an item; keeps its ID. A store holds thousands of listed items.
fn keep_only_id(item: &mut Item) {
    item.spec = Rc::new(inner::BatchItem { id: item.spec.id.clone(), ..Default::default() });
}

/// What is known of the weight versions of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelState {
    /// Newest named version.
    pub named: u64,
    /// Lag behind the newest named version that the newest batch allowed when it was accepted, in versions.
    pub allowed_lag: u64,
}

/// The state machine.
#[derive(Clone, Debug, Default)]
pub struct State {
    document: inner::Document,
    models: IndexMap<Rc<str>, ModelState>,
    batches: IndexMap<Rc<str>, Batch>,
    retired: IndexSet<String>,
    /// Batch and progress of unfinished items of ended batches, for items that a later batch submits again.
    unfinished: IndexMap<Rc<str>, (Rc<str>, Rc<inner::ItemProgress>)>,
    /// Batch and position of the newest result of each item, for items that a later batch submits again.
    finished: IndexMap<Rc<str>, (Rc<str>, usize)>,
    /// Counts of the requests of tenants.
    windows: Windows,
    /// Length of a window of usage in milliseconds; 0 where usage is not reported.
    usage_window_ms: u64,
    texts: Texts,
    /// Number of applied entries since this state was built.
    applied: u64,
}

impl State {
    /// An empty state that keeps texts in a given place.
    pub fn new(texts: Texts) -> Self {
        Self { texts, ..Self::default() }
    }

    /// Sets the length of a window of usage in milliseconds. The first window is the one in which the first document with
    /// tenants is applied; without a length it is the first one that is closed.
    pub fn with_usage_window(mut self, window_ms: u64) -> Self {
        self.usage_window_ms = window_ms;
        self
    }

    /// Applies a committed entry.
    pub fn apply(&mut self, entry: &inner::LogEntry) -> inner::ProposeReply {
        let kind = entry.command.as_ref().and_then(|c| c.kind.as_ref());
        let code = match kind {
            Some(
                Kind::PutBatch(batch) | Kind::PutScoredBatch(batch) | Kind::PutOwnedBatch(batch),
            ) => self.put_batch(batch, entry.now_ms),
            Some(Kind::RecordResults(record)) => self.record_results(record),
            Some(Kind::EndBatch(id)) => self.end_batch(id, None),
            Some(Kind::EndOwnedBatch(owned)) => self.end_batch(&owned.id, Some(&owned.tenant)),
            Some(Kind::PutDocument(document)) => self.put_document(document, entry.now_ms),
            Some(Kind::PublishVersion(published)) => self.publish_version(published),
            Some(Kind::RetireStore(name)) => {
                self.retired.insert(name.clone());
                ResultCode::Ok
            }
            Some(Kind::RecordUsage(record)) => self.record_usage(record),
            Some(Kind::CloseUsageWindow(window)) => {
                self.windows.close(*window).map_or(ResultCode::Conflict, |dropped| {
                    log_dropped_usage(dropped);
                    ResultCode::Ok
                })
            }
            Some(Kind::UsageReported(window)) => {
                self.windows.discard(*window);
                ResultCode::Ok
            }
            _ => ResultCode::InvalidOrder,
        };
        self.drop_expired(entry.now_ms);
        self.applied += 1;
        inner::ProposeReply { code: code.number(), ..Default::default() }
    }

    fn put_batch(&mut self, batch: &inner::Batch, now_ms: u64) -> ResultCode {
        if let Some(accepted) = self.batches.get(batch.id.as_str()) {
            let same = accepted.spec.tenant == batch.tenant;
            return if same { ResultCode::Ok } else { ResultCode::Conflict };
        }
        let mut accepted = Batch::new(batch, now_ms);
        self.reuse_earlier_work(&mut accepted);
        if !batch.model.is_empty() {
            let model = self.models.entry(batch.model.as_str().into()).or_default();
            // Engines start with version 1, which no trainer names.
            model.allowed_lag = model.named.max(1).saturating_sub(batch.min_version);
        }
        self.batches.insert(batch.id.as_str().into(), accepted);
        ResultCode::Ok
    }

    /// Takes over results and complete texts of earlier batches whose weight versions this batch allows, and restores the
    /// progress of unfinished items under the same condition.
    fn reuse_earlier_work(&mut self, batch: &mut Batch) {
        let spec = batch.spec.clone();
        let same_target = |earlier: &Batch| {
            earlier.spec.model == spec.model
                && earlier.spec.route == spec.route
                && earlier.spec.tenant == spec.tenant
        };
        let with_texts: Vec<&Batch> =
            self.batches.values().filter(|b| !b.unscored.is_empty() && same_target(b)).collect();
        let finished = |id: &Rc<str>| {
            let (earlier_id, position) = self.finished.get(id)?;
            let earlier = self.batches.get(earlier_id).filter(|earlier| same_target(earlier))?;
            earlier.results.get(*position)
        };
        let unscored = |id: &Rc<str>| with_texts.iter().rev().find_map(|b| b.unscored.get(id));
        let reusable: Vec<Listed> = batch
            .items
            .keys()
            .filter_map(|id| {
                let allowed = |listed: &&Listed| is_allowed(&spec, &listed.result);
                finished(id).filter(allowed).or_else(|| unscored(id).filter(allowed)).cloned()
            })
            .collect();
        for listed in reusable {
            batch.take_over(listed);
        }
        for (id, item) in batch.items.iter_mut().filter(|(_, item)| !item.listed) {
            let Some((earlier_id, progress)) = self.unfinished.get(id) else { continue };
            let same_target = self.batches.get(earlier_id).is_some_and(same_target);
            let fits = versions_allowed(&spec, &progress.versions) && !progress.versions.is_empty();
            item.progress = (same_target && fits).then(|| progress.clone());
        }
    }

    fn record_results(&mut self, record: &inner::RecordResults) -> ResultCode {
        let Some(batch) = self.batches.get_mut(record.batch_id.as_str()) else {
            return ResultCode::UnknownObject;
        };
        for failed in &record.failed {
            if let Some(item) = batch.items.get_mut(failed.id.as_str()) {
                item.failed_attempts = item.failed_attempts.max(failed.count);
            }
        }
        for failed in &record.failed_reward_calls {
            if let Some(item) = batch.items.get_mut(failed.id.as_str()) {
                item.failed_reward_calls = item.failed_reward_calls.max(failed.count);
            }
        }
        for saved in &record.progress {
            let Some(item) = batch.items.get_mut(saved.id.as_str()) else { continue };
            if !item.listed && !batch.ended {
                item.progress = merge_progress(item.progress.as_deref(), saved).map(Rc::new);
            }
        }
        for result in &record.unscored {
            batch.add_unscored(Listed::new(result.clone(), &self.texts));
        }
        let batch_id: Rc<str> = record.batch_id.as_str().into();
        let mut finished = |batch: &Batch, id: &str| {
            self.finished.insert(id.into(), (batch_id.clone(), batch.results.len() - 1));
        };
        for score in &record.scores {
            if batch.add_score(score) {
                finished(batch, &score.id);
            }
        }
        for result in &record.results {
            if batch.list_result(Listed::new(result.clone(), &self.texts)) && result.completed {
                finished(batch, &result.id);
            }
        }
        ResultCode::Ok
    }

    fn end_batch(&mut self, id: &str, tenant: Option<&str>) -> ResultCode {
        let batch = self.batches.get_mut(id).filter(|batch| batch.is_visible_to(tenant));
        let Some(batch) = batch else { return ResultCode::UnknownObject };
        batch.ended = true;
        let id: Rc<str> = id.into();
        for (item_id, item) in &mut batch.items {
            keep_only_id(item);
            if let Some(progress) = item.progress.take() {
                self.unfinished.insert(item_id.clone(), (id.clone(), progress));
            }
        }
        ResultCode::Ok
    }

    fn put_document(&mut self, document: &inner::Document, now_ms: u64) -> ResultCode {
        if document.version > self.document.version {
            self.document = document.clone();
            if self.windows.next == 0
                && let Some(window) = now_ms.checked_div(self.usage_window_ms)
                && document::decode(&document.content).is_ok_and(|table| table.tenants.is_some())
            {
                self.windows.begin(window);
            }
        }
        ResultCode::Ok
    }

    fn record_usage(&mut self, record: &inner::RecordUsage) -> ResultCode {
        for part in &record.parts {
            let counts = part.counts.iter().map(|c| (c.window, Rc::from(&*c.tenant), c.count));
            let recorded = self.windows.record(&part.gateway, part.boot, part.sequence, counts);
            log_dropped_usage(recorded.dropped);
            for (window, tenant, requests) in recorded.late {
                event!(
                    warn,
                    "usage_late",
                    gateway = part.gateway,
                    window = window,
                    tenant = tenant,
                    requests = requests,
                );
            }
        }
        ResultCode::Ok
    }

    /// Counts of the requests of tenants.
    pub fn windows(&self) -> &Windows {
        &self.windows
    }

    fn publish_version(&mut self, published: &inner::ModelVersion) -> ResultCode {
        let model = self.models.entry(published.model.as_str().into()).or_default();
        model.named = model.named.max(published.version);
        ResultCode::Ok
    }

    /// Drops batches whose retention has expired.
    fn drop_expired(&mut self, now_ms: u64) {
        let expired = |batch: &Batch| {
            let retention = u64::from(batch.spec.status_retention_ms);
            let retention =
                if batch.is_done() { retention } else { retention * OPEN_RETENTION_FACTOR };
            batch.submitted_ms + retention + RETENTION_SLACK_MS < now_ms
        };
        if !self.batches.values().any(expired) {
            return;
        }
        self.batches.retain(|_, batch| !expired(batch));
        let batches = &self.batches;
        self.finished.retain(|_, (batch, _)| batches.contains_key(batch));
        self.unfinished.retain(|_, (batch, _)| batches.contains_key(batch));
    }

    /// Number of applied entries since this state was built; it tells whether anything can have changed.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Newest route document; version 0 stands for none.
    pub fn document(&self) -> &inner::Document {
        &self.document
    }

    /// A batch by ID.
    pub fn batch(&self, id: &str) -> Option<&Batch> {
        self.batches.get(id)
    }

    /// A batch by ID, if a tenant may know of it.
    pub fn visible_batch(&self, id: &str, tenant: Option<&str>) -> Option<&Batch> {
        self.batch(id).filter(|batch| batch.is_visible_to(tenant))
    }

    /// Batches that still have items to run.
    pub fn open_batches(&self) -> impl Iterator<Item = (&Rc<str>, &Batch)> {
        self.batches.iter().filter(|(_, batch)| !batch.is_done())
    }

    /// Items of the open batches of a model, or of its largest batch if that is more; `None` if no batch of it is kept.
    pub fn items_of(&self, model: &str) -> Option<usize> {
        let own = || self.batches.values().filter(|batch| batch.spec.model == model);
        let open = own().filter(|batch| !batch.is_done()).map(|batch| batch.items.len()).sum();
        own().map(|batch| batch.items.len().max(open)).max()
    }

    /// Models with a named version or a batch.
    pub fn models(&self) -> &IndexMap<Rc<str>, ModelState> {
        &self.models
    }

    /// Bytes held by the texts of results, the requests of items and the saved output.
    pub fn usage(&self) -> Usage {
        let items = || self.batches.values().flat_map(|batch| batch.items.values());
        let saved = items().filter_map(|item| item.progress.as_ref());
        let saved = saved.chain(self.unfinished.values().map(|(_, progress)| progress));
        Usage {
            texts: self.texts.memory_bytes(),
            texts_on_disk: self.texts.disk_bytes(),
            bodies: items().map(|item| body_bytes(&item.spec)).sum(),
            progress: saved.flat_map(|progress| &progress.events).map(Bytes::len).sum(),
            ..Usage::default()
        }
    }

    /// Names of retired stores.
    pub fn retired(&self) -> &IndexSet<String> {
        &self.retired
    }

    /// Results of a batch from a position on: those that fit into `max_bytes`, but at least one.
    pub fn results(&self, id: &str, after: u64, max_bytes: usize) -> Option<Listing> {
        let batch = self.batch(id)?;
        let from = usize::try_from(after).unwrap_or(usize::MAX).min(batch.results.len());
        let mut bytes = 0;
        let fitting = batch.results[from..].iter().take_while(|listed| {
            let first = bytes == 0;
            bytes += listed.text_len() + listed.result.id.len();
            first || bytes <= max_bytes
        });
        let (results, texts): (Vec<_>, Vec<_>) =
            fitting.map(|listed| (listed.result.clone(), listed.text.clone())).unzip();
        let reply = inner::ReadBatchReply {
            total: batch.items.len() as u64,
            next: after + results.len() as u64,
            results,
            ..Default::default()
        };
        Some(Listing { reply, texts })
    }

    /// Encodes the current state. The iterator encodes one batch at a time; its texts are read where the part is written.
    pub fn snapshot(&self) -> impl Iterator<Item = Part> + 'static {
        let models = self.models.iter().map(|(model, state)| inner::ModelWeights {
            model: model.to_string(),
            named: state.named,
            allowed_lag: state.allowed_lag,
        });
        let finished = self.finished.iter().map(|(id, (batch, position))| inner::FinishedItem {
            id: id.to_string(),
            batch_id: batch.to_string(),
            position: *position as u64,
        });
        let unfinished = self.unfinished.values().map(|(batch, progress)| inner::UnfinishedItem {
            batch_id: batch.to_string(),
            progress: Some((**progress).clone()),
        });
        let head = inner::StoreState {
            document: Some(self.document.clone()),
            models: models.collect(),
            batches: Vec::new(),
            retired: self.retired.iter().cloned().collect(),
            finished: finished.collect(),
            unfinished: unfinished.collect(),
            usage: Some(save_usage(&self.windows)),
        };
        let batches: Vec<Batch> = self.batches.values().cloned().collect();
        let batches = batches.into_iter().map(|batch| snapshot::batch_part(save_batch(batch)));
        std::iter::once(snapshot::head_part(&head)).chain(batches)
    }

    /// Builds the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns why the snapshot is not a valid state.
    pub fn restore(saved: Saved, texts: Texts) -> Result<Self, String> {
        let Saved { head: message, batches } = saved;
        let models = message.models.into_iter().map(|saved| {
            let state = ModelState { named: saved.named, allowed_lag: saved.allowed_lag };
            (Rc::from(saved.model), state)
        });
        let finished = message.finished.into_iter().map(|saved| {
            let position = usize::try_from(saved.position).map_err(|e| e.to_string())?;
            Ok((Rc::from(saved.id), (Rc::from(saved.batch_id), position)))
        });
        let unfinished = message.unfinished.into_iter().map(|saved| {
            let progress = Rc::new(saved.progress.unwrap_or_default());
            (Rc::from(progress.id.as_str()), (Rc::from(saved.batch_id), progress))
        });
        Ok(Self {
            document: message.document.unwrap_or_default(),
            models: models.collect(),
            batches: batches.into_iter().filter_map(restore_batch).collect(),
            retired: message.retired.into_iter().collect(),
            unfinished: unfinished.collect(),
            finished: finished.collect::<Result<_, String>>()?,
            windows: message.usage.map(restore_usage).unwrap_or_default(),
            usage_window_ms: 0,
            texts,
            applied: 0,
        })
    }
}

/// Logs acknowledged counts that are never reported.
fn log_dropped_usage(requests: u64) {
    if requests > 0 {
        event!(warn, "usage_dropped", requests = requests, reason = "too many windows are kept");
    }
}

fn save_usage(windows: &Windows) -> inner::UsageState {
    fn saved(window: u64, counts: &Counts) -> impl Iterator<Item = inner::UsageCount> {
        let count = move |(tenant, count): (&Rc<str>, &u64)| inner::UsageCount {
            window,
            tenant: tenant.to_string(),
            count: *count,
        };
        counts.iter().map(count)
    }
    let open = windows.open.iter().flat_map(|(window, counts)| saved(*window, counts));
    let closed = windows.closed.iter().map(|(window, counts)| inner::ClosedUsageWindow {
        window: *window,
        counts: saved(*window, counts).collect(),
    });
    let parts = windows.last_parts.iter().map(|((gateway, boot), sequence)| inner::UsagePart {
        gateway: gateway.to_string(),
        boot: *boot,
        sequence: *sequence,
        counts: Vec::new(),
    });
    inner::UsageState {
        next_window: windows.next,
        open: open.collect(),
        closed: closed.collect(),
        last_parts: parts.collect(),
    }
}

fn restore_usage(saved: inner::UsageState) -> Windows {
    let mut windows = Windows { next: saved.next_window, ..Windows::default() };
    for count in saved.open {
        let counts = windows.open.entry(count.window).or_default();
        counts.insert(count.tenant.into(), count.count);
    }
    for window in saved.closed {
        let counts = window.counts.into_iter().map(|count| (count.tenant.into(), count.count));
        windows.closed.insert(window.window, counts.collect());
    }
    let parts = saved.last_parts.into_iter();
    windows.last_parts =
        parts.map(|part| ((part.gateway.into(), part.boot), part.sequence)).collect();
    windows
}

fn restore_batch(batch: SavedBatch) -> Option<(Rc<str>, Batch)> {
    let SavedBatch { state: saved, results, unscored } = batch;
    let mut batch = Batch::new(&saved.batch?, saved.submitted_ms);
    for failed in &saved.failed {
        if let Some(item) = batch.items.get_mut(failed.id.as_str()) {
            item.failed_attempts = failed.count;
        }
    }
    for failed in &saved.failed_reward_calls {
        if let Some(item) = batch.items.get_mut(failed.id.as_str()) {
            item.failed_reward_calls = failed.count;
        }
    }
    for listed in results {
        batch.list_result(listed);
    }
    for listed in unscored {
        batch.unscored.insert(listed.result.id.as_str().into(), listed);
    }
    for progress in saved.progress {
        if let Some(item) = batch.items.get_mut(progress.id.as_str()) {
            item.progress = Some(Rc::new(progress));
        }
    }
    batch.ended = saved.ended;
    Some((batch.spec.id.as_str().into(), batch))
}

/// Bytes of the bodies of an item's requests.
pub fn body_bytes(item: &inner::BatchItem) -> usize {
    item.body.len() + item.reward_call.as_ref().map_or(0, |call| call.body.len())
}

/// Whether a result is complete and a batch allows its weight versions.
pub fn is_allowed(batch: &inner::Batch, result: &inner::ItemResult) -> bool {
    result.completed && versions_allowed(batch, &result.versions)
}

fn versions_allowed(batch: &inner::Batch, versions: &[u64]) -> bool {
    let none_older = versions.iter().all(|version| *version >= batch.min_version);
    none_older && (!batch.single_version || versions.len() <= 1)
}

/// Appends saved events to the earlier ones. Saved events that leave a gap, or that another software version generated, are
/// ignored.
fn merge_progress(
    before: Option<&inner::ItemProgress>,
    saved: &inner::ItemProgress,
) -> Option<inner::ItemProgress> {
    let known = before.map_or(&[][..], |before| &before.events);
    let from = saved.from as usize;
    let other_software = before.is_some_and(|before| before.software != saved.software);
    if !rules::continues(known.len(), from) || from > 0 && other_software {
        return before.cloned();
    }
    let mut merged = saved.clone();
    merged.from = 0;
    merged.events = known[..from].iter().chain(&saved.events).cloned().collect();
    Some(merged)
}

fn save_batch(batch: Batch) -> SavedBatch {
    let items = batch.items.values();
    let failures = |count: fn(&Item) -> u32| {
        let failed = items.clone().filter(move |item| count(item) > 0);
        let saved = move |item: &Item| inner::FailedAttempts {
            id: item.spec.id.clone(),
            count: count(item),
        };
        failed.map(saved).collect()
    };
    let state = inner::BatchState {
        batch: Some(inner::Batch {
            items: items.clone().map(|item| (*item.spec).clone()).collect(),
            ..(*batch.spec).clone()
        }),
        submitted_ms: batch.submitted_ms,
        ended: batch.ended,
        results: Vec::new(),
        unscored: Vec::new(),
        failed: failures(|item| item.failed_attempts),
        failed_reward_calls: failures(|item| item.failed_reward_calls),
        progress: batch
            .items
            .values()
            .filter_map(|item| item.progress.as_deref().cloned())
            .collect(),
    };
    let unscored = batch.unscored.into_values().collect();
    SavedBatch { state, results: batch.results, unscored }
}
