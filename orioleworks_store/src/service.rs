//! A store: its log, its view of upstreams, and its replies to gateways and other stores.

use std::{
    cell::RefCell,
    collections::HashSet,
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{runtime, time};
use futures_util::{StreamExt, stream::FuturesUnordered};
use orioleworks_daemon::{clock, event};
use orioleworks_fleet::{
    convert,
    pool::Pool,
    stores::{self, CallOutcome, Stores},
    watch::{Knowledge, MAX_UPSTREAMS},
};
use orioleworks_log::{
    Log, LogError, Restoration, StateMachine, node::MAX_COMMAND_BYTES, notify::Notify,
};
use orioleworks_platform::document;
use orioleworks_proto::{
    PROTOCOL_WITH_REWARD_CALLS, PROTOCOL_WITH_TENANTS,
    codes::ResultCode,
    inner::{self, command::Kind, frame::Body},
};
use orioleworks_routing::{
    fleet::{AnnounceOutcome, Served, Upstream},
    helpers::{self, Helper},
    outlier::Key,
    routes::RouteTable,
};
use prost::Message;
use tokio_util::sync::CancellationToken;

use crate::{
    config::Config,
    confirmation::Confirmations,
    dispatch::Dispatch,
    leaving,
    memory::{Monitor, Usage},
    orders::Orders,
    peers, permits,
    shared::Shared,
    snapshot,
    state::{Listing, State, body_bytes},
    telemetry,
    texts::{self, Texts},
    usage,
};

/// Longest time for which a watch or a read of results waits for changes.
const MAX_WAIT: Duration = Duration::from_millis(2000);
/// Time for which changes of upstreams are collected for one reply to a watcher; upstreams announce themselves every 1.2 s.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// Longest time to ask the leader for a permit.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(80);
/// Longest time to pass on to another store what began streams.
const PASS_ON_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time to ask another store what began a stream.
const FIND_TIMEOUT: Duration = Duration::from_millis(100);
/// Gateways that a gateway learns of as helpers: enough that several are left when a whole failure domain is partitioned.
const SAMPLED_HELPERS: usize = 8;
/// Pause between two rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(2);

/// One store; clones share it.
#[derive(Clone)]
pub struct Store {
    cfg: Rc<Config>,
    shared: Shared,
    stores: Stores,
    dispatch: Dispatch,
    orders: Orders,
    memory: Rc<Monitor>,
    confirmations: Confirmations,
    /// Counts of the requests of tenants that gateways report.
    usage: usage::Collector,
    /// Random ID of this process; the cursors of an earlier process are invalid.
    boot: u64,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Store").field("name", &self.cfg.instance.name).finish_non_exhaustive()
    }
}

impl Store {
    /// Opens the data directory.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be used.
    pub fn open(cfg: Config, token: CancellationToken) -> Result<Self, LogError> {
        let limit = cfg.limits.memory_bytes() * texts::MEMORY_PERCENT / 100;
        let texts = Texts::new(&cfg.data.directory, limit);
        let window_ms = cfg.duties.as_ref().map_or(0, |duties| duties.schedule().window_ms);
        let state = State::new(texts.clone()).with_usage_window(window_ms);
        let state = Rc::new(RefCell::new(state));
        let table = Rc::new(RefCell::new(Rc::new(RouteTable::default())));
        let wake = Notify::default();
        let machine = machine(&state, &table, &wake, &texts, window_ms);
        let log = Log::open(cfg.log_settings(), machine, token)?;
        if let Err(e) = texts.prepare() {
            event!(warn, "texts_not_written", reason = e);
        }
        log.set_retired(state.borrow().retired().iter().cloned());
        let stores = Stores::default();
        stores.set_seeds(cfg.seed_addresses());
        let (knowledge, engines) = (Knowledge::default(), Rc::default());
        knowledge.fleet.borrow_mut().begin(clock::since_boot());
        if cfg.cluster.bootstrap && log.status().last_index == 0 {
            // The whole deployment starts for the first time, so that nothing has served before.
            knowledge.fleet.borrow_mut().complete_history();
        }
        let pool = Pool::new(knowledge.fleet.clone());
        let (permits, streams, spread) = (Rc::default(), Rc::default(), Rc::default());
        let shared = Shared {
            domain: (&*cfg.instance.failure_domain).into(),
            log,
            state,
            texts,
            reading: Rc::default(),
            knowledge,
            table,
            engines,
            streams,
            permits,
            spread,
            pool,
            wake,
        };
        let dispatch = Dispatch::new(shared.clone());
        let lease = Duration::from_millis(cfg.orders.lease_ms);
        let orders = Orders::new(&cfg.instance.name, lease, shared.clone(), dispatch.clone());
        let memory = Rc::new(Monitor::new(cfg.limits.memory_bytes()));
        let boot = rand::random_range(1..=u64::MAX);
        let (cfg, confirmations) = (Rc::new(cfg), Confirmations::default());
        let usage = usage::Collector::default();
        Ok(Self { cfg, shared, stores, dispatch, orders, memory, confirmations, usage, boot })
    }

    /// Starts the tasks; they end with the token.
    pub fn start(&self, token: &CancellationToken) {
        self.shared.log.start();
        self.dispatch.start(token);
        self.orders.start(token);
        let (log, stores) = (self.shared.log.clone(), self.stores.clone());
        let knowledge = self.shared.knowledge.clone();
        let (wake, stop) = (self.shared.wake.clone(), token.clone());
        runtime::spawn(peers::watch_all(log, stores, knowledge, wake, stop)).detach();
        let (this, stop) = (self.clone(), token.clone());
        runtime::spawn(async move { this.run_housekeeping(stop).await }).detach();
        let confirming = self.confirmations.clone().run(self.clone(), token.clone());
        runtime::spawn(confirming).detach();
        runtime::spawn(self.usage.clone().run(self.clone(), token.clone())).detach();
        if let Some(reporter) = usage::Reporter::new(&self.cfg, &self.shared, self) {
            runtime::spawn(reporter.run(token.clone())).detach();
        }
        let texts = self.shared.texts.clone();
        runtime::spawn(texts.run(self.shared.log.clone(), token.clone())).detach();
    }

    async fn run_housekeeping(&self, token: CancellationToken) {
        while !token.is_cancelled() {
            self.remove_expired_upstreams();
            self.shared.knowledge.crashes.borrow_mut().expire(clock::since_boot());
            self.shared.knowledge.expire_rates();
            self.shared.streams.borrow_mut().expire(clock::since_boot());
            self.shared.knowledge.gateways.borrow_mut().expire(clock::since_boot());
            self.shared.pool.close_expired();
            telemetry::publish(&self.shared, &self.dispatch, &self.memory);
            self.shared.log.set_retired(self.shared.state.borrow().retired().iter().cloned());
            time::sleep(HOUSEKEEPING_INTERVAL).await;
        }
    }

    fn remove_expired_upstreams(&self) {
        self.shared.knowledge.fleet.borrow_mut().remove_expired(clock::since_boot());
        let fleet = self.shared.knowledge.fleet.borrow();
        let known =
            |id: &str, start: u64| fleet.get(id).is_some_and(|k| k.upstream.incarnation == start);
        self.shared.engines.borrow_mut().retain(|(id, start)| known(id, *start));
        self.shared.permits.borrow_mut().retain(|(id, start)| known(id, *start));
        self.dispatch.retain_upstreams(|(id, start)| known(id, *start));
        self.shared.spread.borrow_mut().retain(|up| fleet.has_left(up));
    }

    /// The replicated log.
    pub fn log(&self) -> &Log {
        &self.shared.log
    }

    /// Replaces the seeds after the settings have changed.
    pub fn set_seeds(&self, cfg: &Config) {
        self.stores.set_seeds(cfg.seed_addresses());
        self.shared.log.set_replicas(cfg.replicas());
    }

    /// Replies to a message of a gateway or another store; `None` for a message that stores do not accept.
    pub async fn handle(&self, body: Body) -> Option<Body> {
        match body {
            Body::Propose(propose) => Some(Body::ProposeReply(self.propose_locally(propose).await)),
            Body::FleetWatch(watch) => Some(Body::FleetReply(self.watch(watch).await)),
            Body::ReportObservations(report) => {
                self.merge_observations(report);
                let not_voting = !self.shared.log.is_voter();
                let reply = inner::ReportObservationsReply { not_voting, store_boot: self.boot };
                Some(Body::ReportObservationsReply(reply))
            }
            Body::AcquirePermit(ask) => {
                Some(Body::AcquirePermitReply(self.acquire_permit(ask).await))
            }
            Body::FindStream(find) => Some(Body::FindStreamReply(self.find_stream(find).await)),
            Body::ReadBatch(read) => Some(Body::ReadBatchReply(self.read_batch(read).await)),
            Body::ReadItem(read) => Some(Body::ReadItemReply(self.read_item(read).await)),
            Body::ReadDocument(_) => {
                Some(Body::ReadDocumentReply(self.read_document_locally().await))
            }
            Body::ConfirmDocument(_) => {
                Some(Body::ConfirmDocumentReply(self.confirm_document_locally().await))
            }
            Body::ReportUsage(report) => {
                Some(Body::ReportUsageReply(self.usage.collect(report).await))
            }
            Body::Status(_) => Some(Body::StatusReply(self.shared.log.status())),
            other => self.shared.log.handle(other).await,
        }
    }

    /// Finds what began a stream, here or at another store.
    async fn find_stream(&self, find: inner::FindStream) -> inner::FindStreamReply {
        let known = self.shared.streams.borrow().get(&find.attempt).cloned();
        if let Some(origin) = known {
            let stream = convert::to_stream_message(&find.attempt, &origin);
            return inner::FindStreamReply { stream: Some(stream), ..Default::default() };
        }
        if find.relayed {
            let fleet = self.shared.knowledge.fleet.borrow();
            let complete = self.shared.log.is_voter() && fleet.has_history(clock::since_boot());
            let software = fleet.software_versions(&find.service).map(ToString::to_string);
            return inner::FindStreamReply { stream: None, software: software.collect(), complete };
        }
        let ask = async |address: String| {
            let relayed = inner::FindStream { relayed: true, ..find.clone() };
            let client = self.stores.client(&address);
            match client.call(Body::FindStream(relayed), FIND_TIMEOUT).await {
                Ok(Body::FindStreamReply(reply)) => reply.stream,
                Ok(_) => None,
                Err(e) => {
                    let request = &find.attempt;
                    event!(
                        warn,
                        "stream_lookup_failed",
                        request = request,
                        peer = address,
                        reason = e
                    );
                    None
                }
            }
        };
        let asked = self.shared.log.voter_addresses().into_iter().map(ask);
        let replies: FuturesUnordered<_> = asked.collect();
        let mut found = std::pin::pin!(replies.filter_map(std::future::ready));
        inner::FindStreamReply { stream: found.next().await, ..Default::default() }
    }

    /// Gives a permit, or asks the leader for it.
    async fn acquire_permit(&self, ask: inner::AcquirePermit) -> inner::AcquirePermitReply {
        let own = permits::reply(&self.shared, &ask);
        if ask.relayed || own.code != ResultCode::NotLeader.number() || self.shared.log.is_leader()
        {
            return own;
        }
        self.stores.set_leader(&self.shared.log.leader_address());
        let message = || Body::AcquirePermit(inner::AcquirePermit { relayed: true, ..ask.clone() });
        match self.stores.call_leader(message, PERMIT_TIMEOUT, PERMIT_TIMEOUT).await {
            CallOutcome::Replied(body) => match *body {
                Body::AcquirePermitReply(reply) => reply,
                _ => own,
            },
            CallOutcome::NoLeader | CallOutcome::Unconfirmed => own,
        }
    }

    async fn propose_locally(&self, propose: inner::Propose) -> inner::ProposeReply {
        let reply = |code: ResultCode| inner::ProposeReply {
            code: code.number(),
            leader_address: self.shared.log.leader_address(),
            ..Default::default()
        };
        let Some(command) = propose.command else { return reply(ResultCode::BadRequest) };
        if matches!(command.kind, None | Some(Kind::Noop(_) | Kind::Membership(_))) {
            return reply(ResultCode::InvalidOrder);
        }
        if self.shared.log.is_leader() && command.kind.as_ref().is_some_and(|k| self.is_in_force(k))
        {
            return reply(ResultCode::Ok);
        }
        if command.encoded_len() > MAX_COMMAND_BYTES {
            return reply(ResultCode::BodyTooLarge);
        }
        if let Some(Kind::RetireStore(name)) = &command.kind
            && self.shared.log.is_leader()
            && let Err(code) = self.check_retirement(name)
        {
            return reply(code);
        }
        if let Some(batch) = submitted_batch(&command)
            && let Err(code) = self.check_memory(batch).await
        {
            return reply(code);
        }
        if let Err(code) = self.check_protocol(&command) {
            return reply(code);
        }
        let started = Instant::now();
        let reply = match self.shared.log.propose(&propose.order_id, command).await {
            Ok(done) => done,
            Err(e) => reply(e.code()),
        };
        let code = ResultCode::from_number(reply.code).map_or("unknown".into(), ResultCode::name);
        metrics::histogram!("orioleworks_proposal_seconds", "code" => code)
            .record(started.elapsed());
        reply
    }

    /// Checks that a new batch fits into memory. One that is accepted, or may still be, is not new.
    async fn check_memory(&self, batch: &inner::Batch) -> Result<(), ResultCode> {
        self.shared.log.ready_to_propose().await.map_err(|e| e.code())?;
        let usage = Usage::of(&self.shared, &self.dispatch);
        let state = self.shared.state.borrow();
        let bodies = batch.items.iter().map(body_bytes).sum();
        let short = self.memory.is_short(usage, state.open_batches().count(), bodies);
        let Some(short) = short.filter(|_| state.batch(&batch.id).is_none()) else { return Ok(()) };
        let is_copy = |command: &inner::Command| {
            submitted_batch(command).is_some_and(|pending| pending.id == batch.id)
        };
        if self.shared.log.has_pending(is_copy) {
            return Ok(());
        }
        let kb = |bytes: usize| bytes / 1024;
        event!(
            warn,
            "batch_refused",
            batch = batch.id,
            reason = ResultCode::MemoryShort.name(),
            resident_kb = kb(short.resident),
            held_kb = kb(short.held),
            limit_kb = kb(short.limit),
        );
        Err(ResultCode::MemoryShort)
    }

    /// Checks that no voter loses the reward calls or the tenant of a new batch, or a count of requests. These are sent as
    /// commands of their own, so that a leader of an earlier version refuses them.
    fn check_protocol(&self, command: &inner::Command) -> Result<(), ResultCode> {
        let needed = match &command.kind {
            Some(Kind::PutScoredBatch(_)) => PROTOCOL_WITH_REWARD_CALLS,
            Some(
                Kind::PutOwnedBatch(_)
                | Kind::EndOwnedBatch(_)
                | Kind::RecordUsage(_)
                | Kind::CloseUsageWindow(_)
                | Kind::UsageReported(_),
            ) => PROTOCOL_WITH_TENANTS,
            _ => return Ok(()),
        };
        let batch = submitted_batch(command);
        let known = batch.is_some_and(|b| self.shared.state.borrow().batch(&b.id).is_some());
        if known || self.shared.log.voters_understand(needed) {
            return Ok(());
        }
        if let Some(batch) = batch {
            let reason = ResultCode::UpdatePending.name();
            event!(warn, "batch_refused", batch = batch.id, reason = reason);
        }
        Err(ResultCode::UpdatePending)
    }

    /// Checks that enough stores remain without the named one.
    fn check_retirement(&self, name: &str) -> Result<(), ResultCode> {
        let state = self.shared.state.borrow();
        if state.retired().contains(name) {
            return Ok(());
        }
        let members = self.shared.log.membership().members;
        if !members.iter().any(|m| m.name == name) {
            return Err(ResultCode::UnknownObject);
        }
        let remaining =
            members.iter().filter(|m| m.name != name && !state.retired().contains(&m.name)).count();
        let needed = 2 * self.cfg.cluster.tolerated_losses + 1;
        if remaining < needed { Err(ResultCode::Conflict) } else { Ok(()) }
    }

    /// Proposes a command, here if this store leads, otherwise at the leader.
    pub async fn propose(&self, kind: Kind, wait: Duration) -> ResultCode {
        if self.is_in_force(&kind) {
            return ResultCode::Ok;
        }
        self.stores.set_leader(&self.shared.log.leader_address());
        if self.shared.log.is_leader() {
            let command = inner::Command { expected_revision: None, kind: Some(kind) };
            let propose = inner::Propose { order_id: String::new(), command: Some(command) };
            let reply = self.propose_locally(propose).await;
            return ResultCode::from_number(reply.code).unwrap_or(ResultCode::OrderUnconfirmed);
        }
        match self.stores.propose(kind, wait).await {
            CallOutcome::Replied(body) => stores::result_code(&body),
            CallOutcome::NoLeader => ResultCode::NoQuorum,
            CallOutcome::Unconfirmed => ResultCode::OrderUnconfirmed,
        }
    }

    /// Whether a command would change nothing because what it asks for, or something newer, is applied here and therefore committed. It
    /// is acknowledged without another commit, for which the sender that repeats it would not wait where syncs take a second.
    fn is_in_force(&self, kind: &Kind) -> bool {
        let state = self.shared.state.borrow();
        match kind {
            Kind::PutDocument(document) => document.version <= state.document().version,
            Kind::PublishVersion(named) => {
                let known = state.models().get(&*named.model);
                known.is_some_and(|known| named.version <= known.named)
            }
            Kind::PutBatch(batch) | Kind::PutScoredBatch(batch) | Kind::PutOwnedBatch(batch) => {
                state.batch(&batch.id).is_some_and(|known| known.spec.tenant == batch.tenant)
            }
            _ => false,
        }
    }

    /// Newest route document, confirmed by a quorum.
    ///
    /// # Errors
    ///
    /// Fails if no leader could confirm which document is the newest.
    pub async fn read_document(&self, wait: Duration) -> Result<inner::Document, ResultCode> {
        self.stores.set_leader(&self.shared.log.leader_address());
        let reply = if self.shared.log.is_leader() {
            self.read_document_locally().await
        } else {
            let message = || Body::ReadDocument(inner::ReadDocument {});
            match self.stores.call_leader(message, wait, wait).await {
                CallOutcome::Replied(body) => match *body {
                    Body::ReadDocumentReply(reply) => reply,
                    _ => return Err(ResultCode::NoQuorum),
                },
                _ => return Err(ResultCode::NoQuorum),
            }
        };
        match ResultCode::from_number(reply.code) {
            Some(ResultCode::Ok) => Ok(reply.document.unwrap_or_default()),
            _ => Err(ResultCode::NoQuorum),
        }
    }

    /// Whether gateways need confirmations of this store: it has keys, and gateways follow it.
    pub fn gives_confirmations(&self) -> bool {
        self.shared.log.is_voter() && self.shared.table.borrow().tenants.is_some()
    }

    /// Version of the newest route document, confirmed by a quorum after this call.
    ///
    /// # Errors
    ///
    /// Fails if no leader confirmed it.
    pub async fn confirm_document(&self, wait: Duration) -> Result<u64, ResultCode> {
        self.stores.set_leader(&self.shared.log.leader_address());
        let reply = if self.shared.log.is_leader() {
            self.confirm_document_locally().await
        } else {
            let message = || Body::ConfirmDocument(inner::ConfirmDocument {});
            match self.stores.call_leader(message, wait, wait).await {
                CallOutcome::Replied(body) => match *body {
                    Body::ConfirmDocumentReply(reply) => reply,
                    _ => return Err(ResultCode::NoQuorum),
                },
                CallOutcome::NoLeader | CallOutcome::Unconfirmed => {
                    return Err(ResultCode::NoQuorum);
                }
            }
        };
        match ResultCode::from_number(reply.code) {
            Some(ResultCode::Ok) => Ok(reply.version),
            code => Err(code.unwrap_or(ResultCode::NoQuorum)),
        }
    }

    async fn confirm_document_locally(&self) -> inner::ConfirmDocumentReply {
        let code = self.confirm().await.err().unwrap_or(ResultCode::Ok);
        let version = self.shared.state.borrow().document().version;
        let leader_address = self.shared.log.leader_address();
        inner::ConfirmDocumentReply { code: code.number(), version, leader_address }
    }

    async fn read_document_locally(&self) -> inner::ReadDocumentReply {
        let code = match self.confirm().await {
            Ok(()) => ResultCode::Ok,
            Err(code) => code,
        };
        let document =
            (code == ResultCode::Ok).then(|| self.shared.state.borrow().document().clone());
        let leader_address = self.shared.log.leader_address();
        inner::ReadDocumentReply { code: code.number(), document, leader_address }
    }

    /// Confirms that this store leads and its state is the newest.
    async fn confirm(&self) -> Result<(), ResultCode> {
        self.shared.log.ready_to_propose().await.map_err(|e| e.code())?;
        self.shared.log.confirm_leadership().await.map_err(|e| e.code())
    }

    /// Whether the retirement of a store is complete; `None` for a store that is not being retired.
    pub fn retirement(&self, name: &str) -> Option<bool> {
        let retired = self.shared.state.borrow().retired().contains(name);
        let member = self.shared.log.membership().members.iter().any(|m| m.name == name);
        retired.then(|| {
            !member && self.shared.log.membership_committed() && self.shared.log.is_current()
        })
    }

    /// Merges an announcement that an upstream sent to this store.
    pub fn announce(&self, up: orioleworks_routing::fleet::Upstream) {
        let id = up.id.clone();
        let (service, address, incarnation) =
            (up.service.clone(), up.address.clone(), up.incarnation);
        let software = up.software.clone();
        let noted =
            self.shared.knowledge.fleet.borrow_mut().announce(clock::since_boot(), up, true);
        if noted == AnnounceOutcome::Changed {
            let key = (id.clone(), incarnation);
            let leaving = self.shared.knowledge.fleet.borrow().has_left(&key);
            event!(
                info,
                "upstream_changed",
                upstream = id,
                incarnation = incarnation,
                service = service,
                address = address,
                software = software,
                leaving = leaving,
            );
            self.shared.wake.notify();
        }
    }

    /// Passes on to the other stores that an upstream leaves. Returns whether a majority of the voters know it, so that
    /// its announcement may be acknowledged.
    pub async fn spread_leaving(&self, id: &str, incarnation: u64) -> bool {
        leaving::spread(&self.shared, &self.stores, id, incarnation).await
    }

    /// Records that an upstream leaves. Returns false if it is not known which one does; another store may know it.
    pub fn leave(&self, id: &str, incarnation: u64) -> bool {
        let mut fleet = self.shared.knowledge.fleet.borrow_mut();
        if incarnation == 0 && fleet.get(id).is_none() {
            return false;
        }
        if fleet.leave(clock::since_boot(), id, incarnation) == AnnounceOutcome::Changed {
            event!(info, "upstream_leaves", upstream = id, incarnation = incarnation);
        }
        drop(fleet);
        self.shared.wake.notify();
        true
    }

    /// Merges what a gateway observed, and passes it on to the watchers at once.
    fn merge_observations(&self, report: inner::ReportObservations) {
        let now = clock::since_boot();
        let mut changed = false;
        for leaving in report.leaving {
            let left = convert::from_leaving_message(leaving, now);
            changed |= self.shared.knowledge.note_left(left, true, "report");
        }
        let mut crashes = self.shared.knowledge.crashes.borrow_mut();
        let mut rates = self.shared.knowledge.rates.borrow_mut();
        for content in report.contents {
            changed |= crashes.merge(convert::from_crash_message(content, now), now, true);
        }
        for limit in report.limits {
            changed |= rates.merge(convert::from_limit_message(limit, now), true);
        }
        if changed {
            self.shared.wake.notify();
        }
        let fleet = &self.shared.knowledge.fleet;
        for served in report.served {
            fleet.borrow_mut().note_served(convert::from_served_message(served, now));
        }
        let is_news = |begun: &inner::BegunStream| {
            let origin = convert::from_stream_message(begun);
            fleet.borrow_mut().note_served(Served::by(&origin, now));
            self.shared.streams.borrow_mut().record(&begun.attempt, origin, now)
        };
        let news: Vec<inner::BegunStream> = report.streams.into_iter().filter(is_news).collect();
        if !report.relayed && !news.is_empty() {
            self.pass_on_streams(news);
        }
    }

    /// Passes on to the other voters what began streams. A stream is taken up after its gateway was lost, often together with
    /// the store that the gateway followed.
    fn pass_on_streams(&self, streams: Vec<inner::BegunStream>) {
        let report = inner::ReportObservations { streams, relayed: true, ..Default::default() };
        for address in self.shared.log.voter_addresses() {
            let (client, report) = (self.stores.client(&address), report.clone());
            runtime::spawn(async move {
                let count = report.streams.len();
                let sent = client.call(Body::ReportObservations(report), PASS_ON_TIMEOUT).await;
                if let Err(e) = sent {
                    let reason = e;
                    event!(
                        info,
                        "streams_not_passed_on",
                        peer = address,
                        streams = count,
                        reason = reason
                    );
                }
            })
            .detach();
        }
    }

    async fn watch(&self, watch: inner::FleetWatch) -> inner::FleetReply {
        let same_process = watch.store_boot == self.boot;
        let known = if same_process { watch.cursor } else { 0 };
        let position = |cursor: u64| if same_process { cursor } else { 0 };
        let known_crashes = watch.crash_cursor.map(position);
        let known_limits = watch.limit_cursor.map(position);
        // A store that has just started may have lost what was once reported to it directly.
        let direct_reports_only = watch.direct_only && same_process;
        if !watch.gateway.is_empty() {
            let now = clock::since_boot();
            let mut gateways = self.shared.knowledge.gateways.borrow_mut();
            gateways.note(&watch.gateway, now, true);
            if !watch.relay_address.is_empty() {
                gateways.note_helper(Helper {
                    name: watch.gateway.as_str().into(),
                    address: watch.relay_address.as_str().into(),
                    domain: watch.domain.as_str().into(),
                });
            }
        }
        let deadline = Instant::now() + Duration::from_millis(watch.wait_ms.into()).min(MAX_WAIT);
        let mut collected_until: Option<Instant> = None;
        loop {
            let seen = self.shared.wake.version();
            let newer = self.shared.state.borrow().document().version > watch.document_version;
            let crashes_changed = known_crashes.is_some_and(|cursor| {
                self.shared.knowledge.crashes.borrow().changed_since(cursor, direct_reports_only)
            });
            let limits_changed = known_limits.is_some_and(|cursor| {
                self.shared.knowledge.rates.borrow().changed_since(cursor, direct_reports_only)
            });
            let urgent = !same_process || crashes_changed || limits_changed;
            let fleet_changed = {
                let fleet = self.shared.knowledge.fleet.borrow();
                match watch.accepts_silence {
                    true => fleet.urgent_routing_since(known),
                    // More renewals than fit into a reply would wait for the end of each watch, and some for ever.
                    false => {
                        let waiting = fleet.cursor().saturating_sub(known);
                        fleet.urgent_since(known) || waiting > MAX_UPSTREAMS as u64
                    }
                }
            };
            if fleet_changed {
                // Thousands of upstreams may start at the same time. A reply to each watcher for each of them would take a
                // store seconds.
                collected_until.get_or_insert(Instant::now() + COLLECT_TIME);
            }
            let collected = collected_until.is_some_and(|until| Instant::now() >= until);
            // Another store knows the leader from its log. Replying to it at once while the two differ would make it
            // send requests without a pause.
            let leader =
                !watch.direct_only && self.shared.log.leader_address() != watch.leader_address;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if newer || urgent || leader || collected || remaining.is_zero() {
                break;
            }
            let collecting = collected_until.map(|until| until.duration_since(Instant::now()));
            match collecting {
                Some(left) => time::sleep(left.min(remaining)).await,
                None => drop(self.shared.wake.changed_within(seen, remaining).await),
            }
        }
        let now = clock::since_boot();
        self.shared.knowledge.fleet.borrow_mut().find_silent(now);
        let state = self.shared.state.borrow();
        let fleet = self.shared.knowledge.fleet.borrow();
        let document = state.document();
        let crashes = self.shared.knowledge.crashes.borrow();
        // What may have crashed an upstream is withdrawn by its next announcement.
        let suspected: HashSet<&Key> = crashes.upstreams().collect();
        let suspected = |up: &Upstream| {
            !suspected.is_empty() && suspected.contains(&(up.id.clone(), up.incarnation))
        };
        let (upstreams, cursor) = match watch.accepts_silence {
            true => fleet.routing_since(known, suspected, MAX_UPSTREAMS),
            false => fleet.first_since(known, watch.direct_only, MAX_UPSTREAMS),
        };
        let upstreams = upstreams.into_iter().map(|known| convert::to_message(known, now));
        let silent = fleet.silent_since(known).filter(|_| watch.accepts_silence);
        let changed = known_crashes.map(|cursor| crashes.since(cursor, direct_reports_only));
        let changed = changed.into_iter().flatten();
        let leaving = fleet.left_since(known, direct_reports_only);
        let leaving = leaving.map(|left| convert::to_leaving_message(&left, now));
        let served = fleet.served_since(known);
        let served = served.map(|served| convert::to_served_message(&served, now));
        let rates = self.shared.knowledge.rates.borrow();
        let limits = known_limits.map(|cursor| rates.since(cursor, direct_reports_only));
        let limits = limits.into_iter().flatten();
        let gateways = self.shared.knowledge.gateways.borrow();
        let watching = gateways.direct().filter(|_| watch.direct_only);
        let helpers = match watch.gateway.as_str() {
            "" => Vec::new(),
            asker => helpers::sample(gateways.helpers(now).cloned(), asker, SAMPLED_HELPERS),
        };
        let known = helpers::digest(&helpers) == watch.helpers_digest;
        let helpers = if known { Vec::new() } else { helpers };
        let to_helper = |helper: &Helper| {
            convert::to_gateway_message(&helper.name, Some(helper), Duration::ZERO)
        };
        // Only voters, because a learner may be far behind.
        let mut stores = self.shared.log.voter_addresses();
        if self.shared.log.is_voter() {
            stores.push(self.cfg.inner_address().to_string());
        }
        inner::FleetReply {
            document: (document.version > watch.document_version).then(|| document.clone()),
            store_boot: self.boot,
            cursor,
            upstreams: upstreams.collect(),
            leader_address: self.shared.log.leader_address(),
            current: self.shared.log.is_current(),
            stores,
            crashes: changed.map(|report| convert::to_crash_message(&report, now)).collect(),
            crash_cursor: crashes.cursor(),
            limits: limits.map(|report| convert::to_limit_message(&report, now)).collect(),
            limit_cursor: rates.cursor(),
            leaving: leaving.collect(),
            served: served.collect(),
            complete_history: fleet.has_history(now),
            gateways: watching
                .map(|(name, at)| {
                    let age = now.saturating_sub(at);
                    convert::to_gateway_message(name, gateways.helper(name), age)
                })
                .collect(),
            gateway_count: u32::try_from(gateways.count()).unwrap_or(u32::MAX),
            gateway_rank: u32::try_from(gateways.rank(&watch.gateway)).unwrap_or(u32::MAX),
            helpers: helpers.iter().map(to_helper).collect(),
            confirmation: watch
                .wants_confirmation
                .then(|| self.confirmations.message(document.version))
                .flatten(),
            silent: silent.map(convert::to_silent_message).collect(),
            tells_silence: watch.accepts_silence,
        }
    }

    async fn read_batch(&self, read: inner::ReadBatch) -> inner::ReadBatchReply {
        let deadline = Instant::now() + Duration::from_millis(read.wait_ms.into()).min(MAX_WAIT);
        let max_bytes = read.max_bytes as usize;
        let error_reply = |code: ResultCode| inner::ReadBatchReply {
            code: code.number(),
            leader_address: self.shared.log.leader_address(),
            ..Default::default()
        };
        if let Err(e) = self.shared.log.ready_to_propose().await {
            return error_reply(e.code());
        }
        loop {
            let seen = self.shared.wake.version();
            let (listing, done) = {
                let state = self.shared.state.borrow();
                let batch = state.visible_batch(&read.id, read.tenant.as_deref());
                let results = batch.and_then(|_| state.results(&read.id, read.after, max_bytes));
                (results, batch.is_none_or(crate::state::Batch::is_done))
            };
            // A listed result never changes, so that it needs no confirmation. Only the absence of results does.
            let known = listing.is_some();
            if let Some(listing) = listing.filter(|listing| !listing.texts.is_empty()) {
                return self.read_texts(&read.id, listing).await.unwrap_or_else(error_reply);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if done || remaining.is_zero() {
                let confirmed = self.shared.log.holds_lease() && known;
                if !confirmed && let Err(code) = self.confirm().await {
                    return error_reply(code);
                }
                // Read again, because results may have been added during the confirmation.
                let listing = {
                    let state = self.shared.state.borrow();
                    let batch = state.visible_batch(&read.id, read.tenant.as_deref());
                    batch.and_then(|_| state.results(&read.id, read.after, max_bytes))
                };
                return match listing {
                    Some(listing) => {
                        self.read_texts(&read.id, listing).await.unwrap_or_else(error_reply)
                    }
                    None => error_reply(ResultCode::UnknownObject),
                };
            }
            if !self.shared.log.is_leader() {
                return error_reply(ResultCode::NotLeader);
            }
            self.shared.wake.changed_within(seen, remaining).await;
        }
    }

    /// Completes a reply, off the event loop unless all its texts are in memory.
    async fn read_texts(
        &self,
        batch: &str,
        listing: Listing,
    ) -> Result<inner::ReadBatchReply, ResultCode> {
        let read = if listing.is_in_memory() {
            listing.read()
        } else {
            // One at a time, so that a stalled disk holds one thread and one run of texts.
            let _reading = self.shared.reading.lock().await;
            match runtime::spawn_blocking(move || listing.read()).await {
                Ok(read) => read,
                Err(_) => Err(io::Error::other("the reader panicked")),
            }
        };
        // The result exists, and the next leader returns it; gateways ask again until there is one.
        read.map_err(|e| {
            event!(error, "texts_unreadable", batch = batch, reason = e);
            ResultCode::NotReady
        })
    }

    async fn read_item(&self, read: inner::ReadItem) -> inner::ReadItemReply {
        let reply = |code: ResultCode, body| inner::ReadItemReply {
            code: code.number(),
            body,
            leader_address: self.shared.log.leader_address(),
        };
        if let Err(code) = self.confirm().await {
            return reply(code, bytes::Bytes::new());
        }
        let state = self.shared.state.borrow();
        let batch = state.visible_batch(&read.batch_id, read.tenant.as_deref());
        let batch = batch.filter(|batch| !batch.ended);
        let item = batch.and_then(|batch| batch.items.get(read.item_id.as_str()));
        match item.filter(|item| !item.listed) {
            Some(item) => reply(ResultCode::Ok, item.spec.body.clone()),
            None => reply(ResultCode::UnknownObject, bytes::Bytes::new()),
        }
    }
}

/// The batch that a command submits.
fn submitted_batch(command: &inner::Command) -> Option<&inner::Batch> {
    match &command.kind {
        Some(Kind::PutBatch(batch) | Kind::PutScoredBatch(batch) | Kind::PutOwnedBatch(batch)) => {
            Some(batch)
        }
        _ => None,
    }
}

fn machine(
    state: &Rc<RefCell<State>>,
    table: &Rc<RefCell<Rc<RouteTable>>>,
    wake: &Notify,
    texts: &Texts,
    window_ms: u64,
) -> StateMachine {
    let (applied, applied_table, applied_wake) = (state.clone(), table.clone(), wake.clone());
    let (saved, restored, restored_table) = (state.clone(), state.clone(), table.clone());
    let texts = texts.clone();
    StateMachine {
        apply: Box::new(move |entry| {
            let reply = applied.borrow_mut().apply(entry);
            refresh_table(&applied, &applied_table);
            applied_wake.notify();
            reply
        }),
        snapshot: Box::new(move || Box::new(saved.borrow().snapshot())),
        restore: Box::new(move || {
            let (state, table) = (restored.clone(), restored_table.clone());
            let (decoding, texts) = (texts.clone(), texts.clone());
            let decode =
                move |r: &mut dyn io::Read| snapshot::read(r, &decoding).map_err(|e| e.to_string());
            Restoration::new(decode, move |saved| {
                // The old state is dropped first, because the two would not fit into memory together.
                *state.borrow_mut() = State::new(texts.clone());
                *state.borrow_mut() = State::restore(saved, texts)?.with_usage_window(window_ms);
                refresh_table(&state, &table);
                Ok(())
            })
        }),
        sightings: Box::new(|_| (Vec::new(), 0)),
        merge_sightings: Box::new(|_, _| {}),
    }
}

fn refresh_table(state: &Rc<RefCell<State>>, table: &Rc<RefCell<Rc<RouteTable>>>) {
    let state = state.borrow();
    let wanted = state.document();
    if wanted.version == table.borrow().version {
        return;
    }
    match document::decode(&wanted.content) {
        Ok(decoded) => *table.borrow_mut() = Rc::new(decoded),
        // A document is checked before it is accepted, so another version of the program must have accepted this one.
        Err(e) => event!(error, "document_unreadable", version = wanted.version, reason = e),
    }
}
