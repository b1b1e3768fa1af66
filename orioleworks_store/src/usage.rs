//! Counts of the requests of tenants: collects the parts of gateways, closes windows and reports them.
//!
//! Every store collects parts; only the holder of the duty closes windows and calls the infrastructure. The counts of a closed
//! window are fixed in the log, so that every holder sends the same bytes. See
//! `docs/design/tenants-usage-and-bounds.md`, section 2.3.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use compio::{runtime, time};
use futures_channel::oneshot;
use http_body_util::Full;
use orioleworks_daemon::{clock, event};
use orioleworks_fleet::pool::Pool;
use orioleworks_log::notify::Notify;
use orioleworks_platform::infrastructure::{self, CallOutcome, Holder};
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, command::Kind},
};
use orioleworks_routing::{
    outlier::Key,
    usage::{Pacing, Schedule},
};
use prost::Message;
use tokio_util::sync::CancellationToken;

use crate::{
    config::{Config, Duties, DutyName},
    duty::Duty,
    service::Store,
    shared::Shared,
};

/// Time for which parts are collected for one entry of the log.
const COLLECT_TIME: Duration = Duration::from_millis(300);
/// Longest time until collected parts are committed; gateways wait a little longer.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1100);
/// Size of the parts of one entry in bytes, after which another one is begun.
const MAX_ENTRY_BYTES: usize = 1024 * 1024;
/// Longest time between two checks for windows to close or to report.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for the response to a report.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest time to connect to the infrastructure.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

struct Waiting {
    part: inner::UsagePart,
    done: oneshot::Sender<ResultCode>,
}

/// Parts of gateways that are not proposed yet; clones share them.
#[derive(Clone, Default)]
pub struct Collector {
    waiting: Rc<RefCell<Vec<Waiting>>>,
    wake: Notify,
}

impl std::fmt::Debug for Collector {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Collector").field("parts", &self.waiting.borrow().len()).finish()
    }
}

impl Collector {
    /// Adds the part of a gateway, and waits until it is committed.
    pub async fn collect(&self, report: inner::ReportUsage) -> inner::ReportUsageReply {
        let reply = |code: ResultCode| inner::ReportUsageReply { code: code.number() };
        let Some(part) = report.part else { return reply(ResultCode::BadRequest) };
        let (done, committed) = oneshot::channel();
        self.waiting.borrow_mut().push(Waiting { part, done });
        self.wake.notify();
        reply(committed.await.unwrap_or(ResultCode::OrderUnconfirmed))
    }

    /// Proposes collected parts until the token is cancelled.
    pub async fn run(self, store: Store, token: CancellationToken) {
        while !token.is_cancelled() {
            let seen = self.wake.version();
            if self.waiting.borrow().is_empty() {
                self.wake.changed_within(seen, CHECK_INTERVAL).await;
                continue;
            }
            time::sleep(COLLECT_TIME).await;
            let (store, parts) = (store.clone(), self.take_parts());
            // Parts that arrive while these are committed are collected for the next entry.
            runtime::spawn(async move { commit(&store, parts).await }).detach();
        }
    }

    fn take_parts(&self) -> Vec<Waiting> {
        let mut waiting = self.waiting.borrow_mut();
        let mut bytes = 0;
        let fitting = waiting.iter().take_while(|waiting| {
            let fits = bytes < MAX_ENTRY_BYTES;
            bytes += waiting.part.encoded_len();
            fits
        });
        let count = fitting.count();
        waiting.drain(..count).collect()
    }
}

async fn commit(store: &Store, waiting: Vec<Waiting>) {
    let (parts, done): (Vec<_>, Vec<_>) = waiting.into_iter().map(|w| (w.part, w.done)).unzip();
    let record = Kind::RecordUsage(inner::RecordUsage { parts });
    let code = store.propose(record, COMMIT_TIMEOUT).await;
    for done in done {
        // Sending fails if the gateway's connection is gone.
        let _sent = done.send(code);
    }
}

/// Reports windows while this store holds the duty.
#[derive(Debug)]
pub struct Reporter {
    name: Rc<str>,
    shared: Shared,
    store: Store,
    duty: Duty,
    duties: Duties,
    schedule: Schedule,
    pacing: RefCell<Pacing>,
    pool: Pool,
    /// Term in which this store holds the duty; 0 without it.
    held_term: Cell<u64>,
    /// Window whose report was accepted, and which may not be recorded as reported yet.
    accepted: Cell<Option<u64>>,
}

impl Reporter {
    /// Creates the reporter if the settings name the duty.
    pub fn new(cfg: &Config, shared: &Shared, store: &Store) -> Option<Self> {
        let duties = cfg.duties.clone()?;
        if !duties.enabled.contains(&DutyName::UsageReporting) {
            return None;
        }
        let lease = Duration::from_millis(cfg.orders.lease_ms);
        Some(Self {
            name: Rc::from(&*cfg.instance.name),
            duty: Duty::new(shared.log.clone(), lease),
            shared: shared.clone(),
            store: store.clone(),
            schedule: duties.schedule(),
            pacing: RefCell::new(Pacing::new(duties.calls_per_s)),
            duties,
            pool: Pool::without_late_requests(),
            held_term: Cell::new(0),
            accepted: Cell::new(None),
        })
    }

    /// Closes and reports windows until the token is cancelled.
    pub async fn run(self, token: CancellationToken) {
        while !token.is_cancelled() {
            let term = self.duty.term();
            self.observe(term);
            let progress = match term {
                Some(term) => {
                    let closed = self.close_due().await;
                    self.report_due(term).await || closed
                }
                None => false,
            };
            if !progress {
                time::sleep(CHECK_INTERVAL).await;
            }
        }
    }

    /// Logs and publishes whether this store holds the duty.
    fn observe(&self, term: Option<u64>) {
        let duty = "usage_reporting";
        let held = self.held_term.replace(term.unwrap_or(0));
        if held != self.held_term.get() {
            if held != 0 {
                event!(info, "duty_ended", duty = duty, term = held);
            }
            if let Some(term) = term {
                event!(info, "duty_taken", duty = duty, term = term);
            }
        }
        metrics::gauge!("orioleworks_duty_held", "duty" => duty).set(if term.is_some() {
            1.0
        } else {
            0.0
        });
        let state = self.shared.state.borrow();
        let lag_ms = state.windows().lag_ms(self.schedule.window_ms, clock::unix_ms());
        metrics::gauge!("orioleworks_usage_lag_seconds").set(lag_ms as f64 / 1000.0);
    }

    /// Closes the next window that is due; false if there is none. A new leader waits first, because gateways have to deliver
    /// what they kept during the election.
    async fn close_due(&self) -> bool {
        let wait = self.duties.new_leader_wait();
        if self.shared.log.leading_for().is_none_or(|time| time < wait)
            || self.shared.table.borrow().tenants.is_none() && self.windows_begun() == 0
        {
            return false;
        }
        let due = {
            let state = self.shared.state.borrow();
            state.windows().due_to_close(self.schedule, clock::unix_ms())
        };
        let Some((window, dropped)) = due else { return false };
        if dropped > 0 {
            event!(warn, "usage_windows_dropped", before = window, windows = dropped);
        }
        if !self.commit(Kind::CloseUsageWindow(window)).await {
            return false;
        }
        let state = self.shared.state.borrow();
        let counts = state.windows().closed.get(&window);
        let requests = counts.map_or(0, |counts| counts.values().sum::<u64>());
        let tenants = counts.map_or(0, |counts| counts.len());
        event!(
            info,
            "usage_window_closed",
            window = window,
            tenants = tenants,
            requests = requests
        );
        true
    }

    fn windows_begun(&self) -> u64 {
        self.shared.state.borrow().windows().next
    }

    /// Reports the oldest closed window; false if there was nothing to do.
    async fn report_due(&self, term: u64) -> bool {
        if let Some(window) = self.accepted.get() {
            if self.shared.state.borrow().windows().closed.contains_key(&window) {
                // Only the record of the report is missing; another call would cost as much as the first.
                return self.commit(Kind::UsageReported(window)).await;
            }
            self.accepted.set(None);
        }
        if !self.pacing.borrow().wait(clock::since_boot()).is_zero() {
            return false;
        }
        let due = {
            let state = self.shared.state.borrow();
            let due = state.windows().due_to_report(self.schedule, clock::unix_ms());
            due.map(|due| due.map(|(window, counts)| (window, counts.clone())))
        };
        let (window, counts) = match due {
            Ok(Some(due)) => due,
            Ok(None) => return false,
            Err(expired) => {
                event!(warn, "usage_windows_dropped", before = expired + 1, windows = 1);
                return self.commit(Kind::UsageReported(expired)).await;
            }
        };
        let body = match infrastructure::encode_usage(window, &counts) {
            Ok(body) => body,
            Err(e) => {
                self.record_failure(window, term, "invalid", &e.to_string());
                return false;
            }
        };
        let result = self.call(term, body).await;
        let Some(result) = result else { return false };
        let now = clock::since_boot();
        let outcome = match result {
            Ok(CallOutcome::Accepted) => {
                self.pacing.borrow_mut().record_success(now);
                count_report("accepted");
                event!(info, "usage_reported", window = window, term = term);
                // If this fails, it is proposed again. Another holder would send the report again, with the same bytes.
                self.accepted.set(Some(window));
                return self.commit(Kind::UsageReported(window)).await;
            }
            Ok(CallOutcome::Fenced) => {
                self.duty.record_fenced(term);
                "fenced"
            }
            Ok(CallOutcome::Throttled) => "throttled",
            Ok(CallOutcome::Unexpected) => "unexpected",
            Err(reason) => {
                self.record_failure(window, term, "no_response", &reason);
                return true;
            }
        };
        self.record_failure(window, term, outcome, outcome);
        true
    }

    fn record_failure(&self, window: u64, term: u64, outcome: &'static str, reason: &str) {
        self.pacing.borrow_mut().record_failure(clock::since_boot());
        count_report(outcome);
        event!(warn, "usage_report_failed", window = window, term = term, reason = reason);
    }

    /// Makes a call; `None` if this store does not hold the duty any more, so that nothing was sent.
    async fn call(&self, term: u64, body: Bytes) -> Option<Result<CallOutcome, String>> {
        let address = self.duties.address.to_string();
        // Nothing may delay the call after leadership is confirmed, so the connection is opened first.
        let connection = match self.pool.connect(&address, CONNECT_TIMEOUT).await {
            Ok(connection) => connection,
            Err(e) => return Some(Err(e.to_string())),
        };
        let holder = Holder { name: &self.name, token: term };
        let req = match infrastructure::usage_request(&address, holder, Full::new(body)) {
            Ok(req) => req,
            Err(e) => return Some(Err(e.to_string())),
        };
        if !self.duty.confirm(term).await {
            return None;
        }
        let key: Key = (address.into(), 0);
        let sent = self.pool.send_on(connection, &key, req, CALL_TIMEOUT).await;
        let outcome = |status: http::StatusCode| infrastructure::call_outcome(status.as_u16());
        Some(sent.map(|exchange| outcome(exchange.head.status)).map_err(|e| e.to_string()))
    }

    async fn commit(&self, kind: Kind) -> bool {
        self.store.propose(kind, COMMIT_TIMEOUT).await == ResultCode::Ok
    }
}

fn count_report(outcome: &'static str) {
    metrics::counter!("orioleworks_usage_reports_total", "outcome" => outcome).increment(1);
}
