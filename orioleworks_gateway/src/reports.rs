//! Reports of this gateway's observations to the store that it follows, which passes them on to the other gateways.

use std::{cell::RefCell, rc::Rc, time::Duration};

use compio::time;
use futures_channel::mpsc;
use futures_util::{FutureExt, StreamExt, select};
use orioleworks_daemon::{clock, event};
use orioleworks_fleet::convert;
use orioleworks_proto::inner::{self, frame::Body};
use tokio_util::sync::CancellationToken;

use crate::view::View;

/// Longest time without a check for reports that have not arrived, for example after a change of store.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause between two messages of reports. It bounds their number when many requests fail at the same time; a caller
/// takes longer to repeat a request.
const REPORT_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time for a store to acknowledge reports.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Wakes the task that reports; clones share it.
#[derive(Clone, Debug)]
pub struct Wake {
    tx: Rc<RefCell<mpsc::Sender<()>>>,
    /// Taken by the task.
    rx: Rc<RefCell<Option<mpsc::Receiver<()>>>>,
}

impl Default for Wake {
    fn default() -> Self {
        let (tx, rx) = mpsc::channel(0);
        Self { tx: Rc::new(RefCell::new(tx)), rx: Rc::new(RefCell::new(Some(rx))) }
    }
}

impl Wake {
    /// Takes the end that the task waits on; `None` if another task has it.
    pub fn take_receiver(&self) -> Option<mpsc::Receiver<()>> {
        self.rx.borrow_mut().take()
    }

    /// Makes the task report what is new.
    pub fn notify(&self) {
        // A full channel means that the task is about to look anyway.
        drop(self.tx.borrow_mut().try_send(()));
    }
}

/// Reports this gateway's observations to the store that it follows, until the token is cancelled.
///
/// Everything is reported again to the next store, because the one before may have ended before it passed a report on.
pub async fn run(view: View, token: CancellationToken) {
    let Some(mut woken) = view.report_wake.take_receiver() else { return };
    let mut reported_to = String::new();
    let (mut known_contents, mut known_limits, mut known_streams) = (0, 0, 0);
    let mut known_leaving = 0;
    while !token.is_cancelled() {
        {
            let mut check = std::pin::pin!(time::sleep(CHECK_INTERVAL).fuse());
            select! { _ = woken.next() => (), () = check => () }
        }
        let Some(address) = view.followed_store() else { continue };
        if address != reported_to {
            (known_contents, known_limits, known_streams) = (0, 0, 0);
            known_leaving = 0;
            reported_to.clone_from(&address);
        }
        let (contents, contents_cursor) = view.crashes.unreported(known_contents);
        let (limits, limits_cursor) = unreported_limits(&view, known_limits);
        let (streams, streams_cursor) = unreported_streams(&view, known_streams);
        let (leaving, leaving_cursor) = unreported_leaving(&view, known_leaving);
        if contents.is_empty() && limits.is_empty() && streams.is_empty() && leaving.is_empty() {
            continue;
        }
        let counts = (contents.len(), limits.len(), leaving.len());
        let report =
            inner::ReportObservations { contents, limits, streams, leaving, ..Default::default() };
        let message = Body::ReportObservations(report);
        match view.stores.client(&address).call(message, REPORT_TIMEOUT).await {
            Ok(_) => {
                known_contents = contents_cursor;
                known_limits = limits_cursor;
                known_streams = streams_cursor;
                known_leaving = leaving_cursor;
            }
            Err(e) => event!(
                warn,
                "report_failed",
                peer = address,
                contents = counts.0,
                limits = counts.1,
                leaving = counts.2,
                reason = e
            ),
        }
        time::sleep(REPORT_INTERVAL).await;
    }
}

fn unreported_limits(view: &View, acknowledged: u64) -> (Vec<inner::NamedRate>, u64) {
    let now = clock::since_boot();
    let rates = view.knowledge.rates.borrow();
    let limits = rates.since(acknowledged, true);
    (limits.map(|report| convert::to_limit_message(&report, now)).collect(), rates.cursor())
}

/// Upstreams whose responses said that they leave.
fn unreported_leaving(view: &View, acknowledged: u64) -> (Vec<inner::LeavingUpstream>, u64) {
    let now = clock::since_boot();
    let fleet = view.knowledge.fleet.borrow();
    let left = fleet.left_since(acknowledged, true);
    (left.map(|left| convert::to_leaving_message(&left, now)).collect(), fleet.cursor())
}

/// Streams that began since an acknowledged report; stores forget them when they restart.
fn unreported_streams(view: &View, acknowledged: u64) -> (Vec<inner::BegunStream>, u64) {
    let known = view.streams.borrow();
    let begun = known.since(acknowledged);
    (begun.map(|(id, origin)| convert::to_stream_message(id, origin)).collect(), known.cursor())
}
