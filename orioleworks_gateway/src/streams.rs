//! Streams that callers take up again at the software version that began them; see `docs/platform.md`, "Streams and
//! software versions".

use std::{collections::HashMap, rc::Rc, time::Duration};

use compio::runtime;
use futures_channel::mpsc;
use futures_util::{StreamExt, stream::FuturesUnordered};
use orioleworks_daemon::{clock, event};
use orioleworks_fleet::convert;
use orioleworks_platform::caller::ResumedStream;
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, frame::Body},
};
use orioleworks_routing::{
    fleet::{Served, Upstream},
    routes::Route,
    streams::Origin,
};
use orioleworks_rules::streams::{self as rules, VoterReply};

use crate::{callers::Refusal, view::View};

/// Longest time for a majority of the stores to record the origin of a stream. After it the stream goes on all the same; then
/// it can be taken up only where its origin is known.
const RECORD_TIMEOUT: Duration = Duration::from_millis(50);
/// Longest time for a majority of the stores to record a software version before its first stream.
const VERSION_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest time for the stores to tell what began a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);
/// Retry advice where the origin of a stream is unknown: a restarted store knows it again by then, if a gateway does.
const UNKNOWN_RETRY: Duration = Duration::from_millis(500);

/// What begins a stream at an upstream.
pub fn origin_at(upstream: &Upstream) -> Origin {
    Origin { service: upstream.service.clone(), software: upstream.software.clone() }
}

/// Records what begins a stream, here and at a majority of the stores. Returns whether its first event may be passed on: not if
/// the software version may have been forgotten since [`may_begin`].
pub async fn record(view: &View, attempt: &str, origin: Origin) -> bool {
    let streams = vec![convert::to_stream_message(attempt, &origin)];
    view.streams.borrow_mut().record(attempt, origin.clone(), clock::since_boot());
    let report = inner::ReportObservations { streams, relayed: true, ..Default::default() };
    if tell_stores(view, report, RECORD_TIMEOUT, |_, _| true).await.is_none() {
        event!(info, "stream_unrecorded", request = attempt, software = origin.software);
    }
    is_recorded(view, &origin)
}

/// Whether a majority of the stores has recorded the software version of an origin, so that it may begin streams.
pub fn is_recorded(view: &View, origin: &Origin) -> bool {
    view.recorded.borrow().contains(origin, clock::since_boot())
}

/// Whether the software version of an upstream may begin streams; has a majority of the stores record it first, if necessary.
pub async fn may_begin(view: &View, upstream: &Upstream) -> bool {
    let origin = origin_at(upstream);
    if !is_recorded(view, &origin) {
        return record_software(view, &origin).await;
    }
    if view.recorded.borrow().is_due(&origin, clock::since_boot()) {
        // A gateway that loses the stores later begins streams for as long as possible.
        let view = view.clone();
        runtime::spawn(async move { record_software(&view, &origin).await }).detach();
    }
    true
}

/// Has a majority of the stores record that a software version begins streams, and confirm that none of them was restarted
/// before all had recorded it.
async fn record_software(view: &View, origin: &Origin) -> bool {
    let told_at = clock::since_boot();
    let served = vec![convert::to_served_message(&Served::by(origin, told_at), told_at)];
    let report = inner::ReportObservations { served, relayed: true, ..Default::default() };
    let recorded = tell_stores(view, report.clone(), VERSION_TIMEOUT, |_, _| true).await;
    let confirmed = match recorded {
        Some(boots) => {
            let same_process = |store: &str, boot| boots.get(store) == Some(&boot);
            tell_stores(view, report, VERSION_TIMEOUT, same_process).await.is_some()
        }
        None => false,
    };
    if confirmed {
        view.recorded.borrow_mut().note(origin.clone(), told_at);
    } else {
        let (service, software) = (&origin.service, &origin.software);
        event!(warn, "software_unrecorded", service = service, software = software);
    }
    confirmed
}

/// Sends a report to all stores that vote, which may be partitioned from each other while this gateway reaches them. Returns
/// the processes of a majority that acknowledged it in time and that `counts` accepts, by the addresses of the stores.
async fn tell_stores(
    view: &View,
    report: inner::ReportObservations,
    timeout: Duration,
    counts: impl Fn(&str, u64) -> bool,
) -> Option<HashMap<Rc<str>, u64>> {
    let voters = view.stores.voters();
    let (tx, mut rx) = mpsc::unbounded();
    for address in &voters {
        let (client, report, tx) = (view.stores.client(address), report.clone(), tx.clone());
        // A report reaches its store also after a majority has acknowledged it.
        runtime::spawn(async move {
            match client.call(Body::ReportObservations(report), timeout).await {
                Ok(Body::ReportObservationsReply(reply)) if !reply.not_voting => {
                    // Sending fails if a majority has acknowledged it.
                    drop(tx.unbounded_send((client.address(), reply.store_boot)));
                }
                Ok(_) => {}
                Err(e) => {
                    event!(info, "stream_report_failed", peer = client.address(), reason = e);
                }
            }
        })
        .detach();
    }
    drop(tx);
    let mut acknowledged = HashMap::new();
    while let Some((address, boot)) = rx.next().await {
        if counts(&address, boot) {
            acknowledged.insert(address, boot);
        }
        if rules::is_majority(acknowledged.len(), voters.len()) {
            return Some(acknowledged);
        }
    }
    None
}

/// Finds out where a stream may go on.
///
/// # Errors
///
/// Returns a refusal as not run if nobody knows what began the stream, or the route does not lead to its service any more.
pub async fn origin(
    view: &View,
    route: &Route,
    stream: &ResumedStream<'_>,
) -> Result<Origin, Refusal> {
    let attempt = stream.first_attempt.unwrap_or_default();
    let own = view.streams.borrow().get(attempt).cloned();
    let found = if own.is_some() { own } else { find(view, route, attempt).await };
    let Some(origin) = found else {
        let detail = format!("begun by {}", stream.first_attempt.unwrap_or("an unnamed attempt"));
        return Err(Refusal::new(ResultCode::StreamUnknown, detail, UNKNOWN_RETRY));
    };
    if !route.targets.iter().any(|target| target.service == origin.service) {
        let detail = format!("begun by service {}", origin.service);
        return Err(Refusal::new(ResultCode::NoUpstream, detail, UNKNOWN_RETRY));
    }
    Ok(origin)
}

/// Asks the stores what began a stream. Without a record, it is known if the route leads to one service of which only one
/// software version can have begun streams: an earlier answer would not do, because another version may have begun since.
async fn find(view: &View, route: &Route, attempt: &str) -> Option<Origin> {
    let service = match route.targets.as_slice() {
        [target] => Some(target.service.clone()),
        _ => None,
    };
    let lookup = inner::FindStream {
        attempt: attempt.to_owned(),
        relayed: true,
        service: service.as_deref().unwrap_or_default().to_owned(),
    };
    let voters = view.stores.voters();
    let calls = voters.iter().map(|address| {
        let (client, lookup) = (view.stores.client(address), lookup.clone());
        async move { (address, client.call(Body::FindStream(lookup), LOOKUP_TIMEOUT).await) }
    });
    let mut calls: FuturesUnordered<_> = calls.collect();
    let mut replies = Vec::new();
    while let Some((address, reply)) = calls.next().await {
        let reply = match reply {
            Ok(Body::FindStreamReply(reply)) => reply,
            Ok(_) => continue,
            Err(e) => {
                event!(warn, "stream_lookup_failed", request = attempt, peer = address, reason = e);
                continue;
            }
        };
        if let Some(begun) = reply.stream {
            return Some(convert::from_stream_message(&begun));
        }
        replies.push(VoterReply { complete: reply.complete, versions: reply.software });
        let only = service.clone().zip(rules::only_version(&replies, voters.len()));
        if let Some((service, software)) = only {
            return Some(Origin { service, software: software.into() });
        }
    }
    None
}
