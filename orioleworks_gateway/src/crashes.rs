//! Contents that may have crashed upstreams.
//!
//! A caller repeats its request through any gateway. Therefore each gateway [reports](crate::reports) what it observes,
//! and learns what the others observed. See `docs/platform.md`.

use std::time::Duration;

use orioleworks_daemon::{clock, event, fingerprint};
use orioleworks_fleet::{convert, watch::Knowledge};
use orioleworks_proto::inner::{self, frame::Body};
use orioleworks_routing::{
    crashes::{Admission, Observation, Report},
    outlier::Key,
};

use crate::{forward::Content, reports::Wake, view::View};

/// Longest time for a store to acknowledge the start of a suspect's run. Without an acknowledgement the run starts all the
/// same, so that a gateway that is cut off from the stores goes on.
const RUN_REPORT_TIMEOUT: Duration = Duration::from_millis(50);

/// Contents that may have crashed upstreams; clones share them.
#[derive(Clone, Debug)]
pub struct ContentCrashes {
    knowledge: Knowledge,
    /// Wakes the task that reports to a store.
    wake: Wake,
}

impl ContentCrashes {
    /// Creates the state over what the gateway learns from stores.
    pub fn new(knowledge: Knowledge, wake: Wake) -> Self {
        Self { knowledge, wake }
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
        self.wake.notify();
    }

    /// Records that an upstream refused a connection.
    pub fn record_refusal(&self, upstream: &Key) {
        let now = clock::since_boot();
        if self.knowledge.crashes.borrow_mut().record_refusal(upstream, now) {
            self.wake.notify();
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
        self.wake.notify();
    }

    /// Records that a suspect runs, until a time at the latest.
    pub fn record_run(&self, content: &Content, until: Duration) {
        if self.note_run(content, until) {
            self.wake.notify();
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

    /// Reports that a store has not acknowledged, and the cursor of the newest one.
    pub fn unreported(&self, acknowledged: u64) -> (Vec<inner::ContentCrashes>, u64) {
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
    let report = inner::ReportObservations { contents, ..Default::default() };
    let message = Body::ReportObservations(report);
    // The task that reports to a store sends it again.
    if let Err(e) = view.stores.client(&address).call(message, RUN_REPORT_TIMEOUT).await {
        event!(warn, "report_failed", peer = address, contents = count, limits = 0, reason = e);
    }
}
