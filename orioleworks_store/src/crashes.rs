//! Engines that are lost while they run items; see `docs/platform.md`, "Requests that crash upstreams".

use std::{rc::Rc, time::Duration};

use orioleworks_daemon::{clock, event, fingerprint};
use orioleworks_fleet::watch::Knowledge;
use orioleworks_proto::inner;
use orioleworks_routing::{
    crashes::{ItemStart, Observation},
    outlier::Key,
};

use crate::runner::RunEnd;

/// Fingerprint of an item's request.
pub fn fingerprint_of(batch: &inner::Batch, item: &inner::BatchItem) -> Rc<str> {
    fingerprint::of_request(&batch.host, http::Method::POST.as_str(), &item.path, &item.body)
}

/// Fingerprint of a reward call.
pub fn fingerprint_of_call(call: &inner::RewardCall) -> Rc<str> {
    fingerprint::of_request(&call.host, http::Method::POST.as_str(), &call.path, &call.body)
}

/// When and how an item with this fingerprint may start.
pub fn item_start(knowledge: &Knowledge, fingerprint: &str, now: Duration) -> ItemStart {
    knowledge.crashes.borrow().item_start(fingerprint, &knowledge.fleet.borrow(), now)
}

/// Records what the end of a run says about a loss of its engine. `content` is the fingerprint and the ID of the request;
/// `was_starting` tells that the run generated nothing.
pub fn record_end(
    knowledge: &Knowledge,
    (fingerprint, item): (&Rc<str>, &str),
    engine: &Key,
    was_starting: bool,
    end: &RunEnd,
) {
    let now = clock::since_boot();
    let content = fingerprint::logged(fingerprint);
    let mut crashes = knowledge.crashes.borrow_mut();
    let observation = match end {
        RunEnd::Broken(_) if was_starting => Observation::BrokenAtStart,
        RunEnd::Broken(_) => Observation::BrokenMidway,
        RunEnd::Silent(_) => Observation::Silence,
        RunEnd::Refused(_) => {
            crashes.record_refusal(engine, now);
            return;
        }
        RunEnd::Completed | RunEnd::Impossible | RunEnd::Failed => {
            if crashes.record_completion(fingerprint, now) {
                event!(info, "suspicion_withdrawn", item = item, content = content);
            }
            return;
        }
        RunEnd::NotRun | RunEnd::WrongVersion | RunEnd::Moved => return,
        RunEnd::Lost(_) | RunEnd::Endless(_) => return,
    };
    if crashes.record(fingerprint, engine, now, observation) {
        event!(
            info,
            "crash_suspected",
            item = item,
            content = content,
            upstream = engine.0,
            incarnation = engine.1,
            observation = format!("{observation:?}"),
        );
    }
}
