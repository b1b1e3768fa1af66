//! Contents that may have crashed upstreams, and the reports of this gateway to the stores.
//!
//! A caller repeats its request through any gateway. Therefore each gateway reports what it observes to the store that
//! it follows, and learns from that store what the others observed. See `docs/platform.md`.

use std::{cell::RefCell, rc::Rc, time::Duration};

use compio::time;
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt, select};
use orioleworks_daemon::{clock, event, fingerprint};
use orioleworks_fleet::{convert, watch::Knowledge};
use orioleworks_proto::inner::{self, frame::Body};
use orioleworks_routing::{
    crashes::{Admission, Observation, Report},
    outlier::Key,
};
use tokio_util::sync::CancellationToken;

use crate::{forward::Content, view::View};

/// Longest time without a check for reports that have not arrived, for example after a change of store.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between two messages of reports. It bounds their number when many requests fail at the same time; a caller
/// takes longer to repeat a request.
const REPORT_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time for a store to acknowledge reports.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for a store to acknowledge the start of a suspect's run. Without an acknowledgement the run starts all the
/// same, so that a gateway that is cut off from the stores goes on.
const RUN_REPORT_TIMEOUT: Duration = Duration::from_millis(50);

/// Contents that may have crashed upstreams; clones share them.
#[derive(Clone, Debug)]
pub struct ContentCrashes {
    knowledge: Knowledge,
    /// Wakes the task that reports to a store.
    wake: Rc<RefCell<mpsc::Sender<()>>>,
    woken: Rc<RefCell<Option<mpsc::Receiver<()>>>>,
}

impl ContentCrashes {
    /// Creates the state over what the gateway learns from stores.
    pub fn new(knowledge: Knowledge) -> Self {
        let (wake, woken) = mpsc::channel(0);
        let (wake, woken) = (Rc::new(RefCell::new(wake)), Rc::new(RefCell::new(Some(woken))));
        Self { knowledge, wake, woken }
    }

    /// Whether and how a request may run now.
    pub fn admission(&self, content: &Content) -> Admission {
        let crashes = self.knowledge.crashes.borrow();
        if crashes.is_empty() {
            return Admission::Unrestricted;
        }
        let fleet = self.knowledge.fleet.borrow();
        crashes.admission(content.fingerprint(), &fleet, clock::since_boot())
    }

    /// Records an attempt that ended without a response.
    pub fn record(&self, content: &Content, id: &str, upstream: &Key, observation: Observation) {
        let (fingerprint, now) = (content.fingerprint(), clock::since_boot());
        let mut crashes = self.knowledge.crashes.borrow_mut();
        if !crashes.record(fingerprint, upstream, now, observation) {
            return;
        }
        event!(
            info,
            "crash_suspected",
            request = id,
            content = fingerprint::logged(fingerprint),
            upstream = upstream.0,
            incarnation = upstream.1,
            observation = format!("{observation:?}"),
        );
        self.wake_reporter();
    }

    /// Records that an upstream refused a connection.
    pub fn record_refusal(&self, upstream: &Key) {
        let now = clock::since_boot();
        if self.knowledge.crashes.borrow_mut().record_refusal(upstream, now) {
            self.wake_reporter();
        }
    }

    /// Records an attempt that got a response.
    pub fn record_completion(&self, content: &Content, id: &str) {
        let mut crashes = self.knowledge.crashes.borrow_mut();
        if crashes.is_empty()
            || !crashes.record_completion(content.fingerprint(), clock::since_boot())
        {
            return;
        }
        let content = fingerprint::logged(content.fingerprint());
        event!(info, "suspicion_withdrawn", request = id, content = content);
        self.wake_reporter();
    }

    /// Records that a suspect runs, until a time at the latest.
    pub fn record_run(&self, content: &Content, until: Duration) {
        if self.note_run(content, until) {
            self.wake_reporter();
        }
    }

    /// Records that a run of a suspect has ended without a crash.
    pub fn record_run_end(&self, content: &Content) {
        self.record_run(content, clock::since_boot());
    }

    /// Returns whether the content is a suspect.
    fn note_run(&self, content: &Content, until: Duration) -> bool {
        let mut crashes = self.knowledge.crashes.borrow_mut();
        !crashes.is_empty() && crashes.record_run(content.fingerprint(), clock::since_boot(), until)
    }

    /// Removes expired records.
    pub fn expire(&self) {
        self.knowledge.crashes.borrow_mut().expire(clock::since_boot());
    }

    /// Number of contents that may have crashed upstreams.
    pub fn count(&self) -> usize {
        self.knowledge.crashes.borrow().len()
    }

    fn wake_reporter(&self) {
        // A full channel means that the reporter is about to look anyway.
        drop(self.wake.borrow_mut().try_send(()));
    }

    fn unreported(&self, acknowledged: u64) -> (Vec<inner::ContentCrashes>, u64) {
        let now = clock::since_boot();
        let crashes = self.knowledge.crashes.borrow();
        let to_message = |report: Report| convert::to_crash_message(&report, now);
        (crashes.since(acknowledged, true).map(to_message).collect(), crashes.cursor())
    }
}

/// Records a run of a suspect, and tells the other gateways before it starts.
pub async fn begin_run(view: &View, content: &Content, until: Duration) {
    let acknowledged = view.crashes.knowledge.crashes.borrow().cursor();
    if !view.crashes.note_run(content, until) {
        return;
    }
    let Some(address) = view.followed_store() else { return };
    let (contents, _) = view.crashes.unreported(acknowledged);
    let count = contents.len();
    let message = Body::ReportCrashes(inner::ReportCrashes { contents });
    // The task that reports to a store sends it again.
    if let Err(e) = view.stores.client(&address).call(message, RUN_REPORT_TIMEOUT).await {
        event!(warn, "crash_report_failed", peer = address, contents = count, reason = e);
    }
}

/// Reports this gateway's observations to the store that it follows, until the token is cancelled.
///
/// Everything is reported again to the next store, because the one before may have ended before it passed a report on.
pub async fn report(view: View, token: CancellationToken) {
    let Some(mut woken) = view.crashes.woken.borrow_mut().take() else { return };
    let mut reported_to = String::new();
    let mut acknowledged = 0;
    while !token.is_cancelled() {
        {
            let mut check = std::pin::pin!(time::sleep(CHECK_INTERVAL).fuse());
            select! { _ = woken.next() => (), () = check => () }
        }
        let Some(address) = view.followed_store() else { continue };
        if address != reported_to {
            acknowledged = 0;
            reported_to.clone_from(&address);
        }
        let (contents, cursor) = view.crashes.unreported(acknowledged);
        if contents.is_empty() {
            continue;
        }
        let count = contents.len();
        let message = Body::ReportCrashes(inner::ReportCrashes { contents });
        match view.stores.client(&address).call(message, REPORT_TIMEOUT).await {
            Ok(_) => acknowledged = cursor,
            Err(e) => {
                event!(warn, "crash_report_failed", peer = address, contents = count, reason = e);
            }
        }
        time::sleep(REPORT_INTERVAL).await;
    }
}
