//! Counts the requests of tenants, and sends the counts to the store that the gateway follows.
//!
//! A request counts once, in the window in which its first attempt was sent that ran or may have run. See
//! `docs/design/tenants-usage-and-bounds.md`, section 2.3.

use std::{
    cell::{Cell, RefCell},
    mem,
    rc::{Rc, Weak},
    time::Duration,
};

use compio::time;
use orioleworks_daemon::{clock, event};
use orioleworks_fleet::stores;
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, frame::Body},
};
use orioleworks_routing::usage::{Counter, Part, RequestUsage};
use tokio_util::sync::CancellationToken;

use crate::view::View;

/// Time between two parts. The crash of a gateway loses at most the counts of this time.
const SEND_INTERVAL: Duration = Duration::from_millis(1000);
/// Time after a failed part until it is sent again. A lost store gives no reset, so that a part may have waited
/// [`REPLY_TIMEOUT`] already, and its window is closed a few seconds after its end.
const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two parts during a shutdown.
const DRAIN_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for a store, which collects parts for 0.3 s and commits them.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest wait for the acknowledgement of the last counts before the process ends; the platform kills it soon after.
const FINAL_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Inner {
    counter: RefCell<Counter>,
    /// Requests in progress.
    requests: RefCell<Vec<Weak<Request>>>,
    /// Identifies this process, whose parts are numbered.
    boot: u64,
    /// Whether the last part got no acknowledgement.
    failing: Cell<bool>,
}

/// Counts of this gateway; clones share them.
#[derive(Clone, Debug)]
pub struct Usage {
    /// Absent where requests are not counted.
    inner: Option<Rc<Inner>>,
}

/// Count of one request.
#[derive(Debug)]
pub struct Request {
    usage: Rc<Inner>,
    tenant: Rc<str>,
    attempts: RefCell<RequestUsage>,
}

impl Request {
    /// Records that an attempt is about to be written to its connection.
    pub fn record_sent(&self, attempt: usize) {
        self.attempts.borrow_mut().record_sent(attempt, clock::unix_ms());
    }

    /// Records the end of an attempt, and whether it ran or may have run.
    pub fn record_end(&self, attempt: usize, may_have_run: bool) {
        let counted = self.attempts.borrow_mut().record_end(attempt, may_have_run);
        self.count(counted);
    }

    fn count(&self, sent_ms: Option<u64>) {
        if let Some(sent_ms) = sent_ms {
            self.usage.counter.borrow_mut().count(&self.tenant, sent_ms);
            metrics::counter!("orioleworks_usage_requests_total").increment(1);
        }
    }
}

impl Usage {
    /// Creates counts by windows of this length; zero counts nothing.
    pub fn new(window: Duration) -> Self {
        let window_ms = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
        let inner = || Inner {
            counter: RefCell::new(Counter::new(window_ms)),
            requests: RefCell::default(),
            boot: rand::random_range(1..=u64::MAX),
            failing: Cell::new(false),
        };
        Self { inner: (window_ms > 0).then(|| Rc::new(inner())) }
    }

    /// Starts the count of a request; `None` if it is not counted.
    pub fn start(&self, tenant: Option<&Rc<str>>) -> Option<Rc<Request>> {
        let (usage, tenant) = (self.inner.clone()?, tenant?.clone());
        let request = Rc::new(Request { usage, tenant, attempts: RefCell::default() });
        request.usage.requests.borrow_mut().push(Rc::downgrade(&request));
        Some(request)
    }
}

impl Inner {
    /// Counts requests that have had no response for long, and drops expired counts.
    fn update(&self) {
        let now_ms = clock::unix_ms();
        self.requests.borrow_mut().retain(|request| {
            let Some(request) = request.upgrade() else { return false };
            let counted = request.attempts.borrow_mut().count_overdue(now_ms);
            request.count(counted);
            counted.is_none()
        });
        let mut counter = self.counter.borrow_mut();
        let dropped = counter.drop_expired(now_ms);
        if dropped > 0 {
            event!(
                warn,
                "usage_dropped",
                requests = dropped,
                reason = "no store took them in time"
            );
        }
        metrics::gauge!("orioleworks_usage_unacknowledged").set(counter.unacknowledged() as f64);
    }

    /// Sends the next part, if there is one; false if it is not acknowledged, or if no store is followed.
    async fn send_part(&self, view: &View, timeout: Duration) -> bool {
        let part = self.counter.borrow_mut().next_part();
        let Some(part) = part else { return true };
        let Some(address) = view.followed_store() else { return false };
        let sequence = part.sequence;
        let report = inner::ReportUsage { part: Some(self.message(view, part)) };
        let reply = view.stores.client(&address).call(Body::ReportUsage(report), timeout).await;
        let failure = match reply {
            Ok(body @ Body::ReportUsageReply(_)) => match stores::result_code(&body) {
                ResultCode::Ok => None,
                code => Some(code.name().to_owned()),
            },
            Ok(_) => Some("unexpected reply".into()),
            Err(e) => Some(e.to_string()),
        };
        let failing = failure.is_some();
        match failure {
            None => self.counter.borrow_mut().acknowledge(sequence),
            // The part is sent again soon, and only the first failure is news.
            Some(reason) if !self.failing.get() => event!(
                warn,
                "usage_not_delivered",
                peer = address,
                sequence = sequence,
                reason = reason
            ),
            Some(_) => {}
        }
        self.failing.set(failing);
        !failing
    }

    fn message(&self, view: &View, part: Part) -> inner::UsagePart {
        let counts = part.counts.into_iter().map(|(window, tenant, count)| inner::UsageCount {
            window,
            tenant: tenant.to_string(),
            count,
        });
        inner::UsagePart {
            gateway: view.cfg.instance.name.to_string(),
            boot: self.boot,
            sequence: part.sequence,
            counts: counts.collect(),
        }
    }
}

/// Sends the counts to the store that the gateway follows, until the token is cancelled.
pub async fn run(view: View, token: CancellationToken) {
    let Some(usage) = view.usage.inner.clone() else { return };
    let mut wait = SEND_INTERVAL;
    let mut delivered = true;
    while !token.is_cancelled() {
        time::sleep(if view.is_draining() { wait.min(DRAIN_INTERVAL) } else { wait }).await;
        usage.update();
        let delivered_before =
            mem::replace(&mut delivered, usage.send_part(&view, REPLY_TIMEOUT).await);
        wait = match (delivered_before, delivered) {
            (_, false) => RETRY_INTERVAL,
            // Counts have gathered behind the part that failed, and their windows may be closed soon.
            (false, true) => Duration::ZERO,
            (true, true) => SEND_INTERVAL,
        };
    }
}

/// Sends what has been counted since the last part, before the process ends.
pub async fn finish(view: &View) {
    let Some(usage) = &view.usage.inner else { return };
    // The part in flight comes first, and a new one after it.
    let send_all = async {
        while usage.counter.borrow().unacknowledged() > 0 {
            if !usage.send_part(view, FINAL_TIMEOUT).await {
                break;
            }
        }
    };
    if time::timeout(FINAL_TIMEOUT, send_all).await.is_err() {
        event!(warn, "usage_dropped", reason = "no store took it before the end");
    }
}
