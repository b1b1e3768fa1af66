//! Streams that callers take up again at the software version that began them; see `docs/platform.md`, "Streams and
//! software versions".

use std::time::Duration;

use orioleworks_daemon::{clock, event};
use orioleworks_platform::caller::ResumedStream;
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, frame::Body},
};
use orioleworks_routing::{routes::Route, streams::Origin};

use crate::{callers::Refusal, view::View};

/// Longest time for a store to acknowledge the origin of a stream. After it the stream goes on all the same; then it can be
/// taken up only where its origin is known.
const RECORD_TIMEOUT: Duration = Duration::from_millis(50);
/// Longest time for a store to find the origin of a stream; it may ask the other stores.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest time since a store with a leader replied, in which no new software version can have begun a stream elsewhere
/// that broke off and is taken up here. A watch is answered each half second.
const MAX_KNOWLEDGE_AGE: Duration = Duration::from_secs(2);
/// Retry advice where the origin of a stream is unknown: a restarted store knows it again by then, if a gateway does.
const UNKNOWN_RETRY: Duration = Duration::from_millis(500);

/// Records what begins a stream, here and at a store, before its first event is passed on.
pub async fn record(view: &View, attempt: &str, origin: Origin) {
    let begun = message(attempt, &origin);
    view.streams.borrow_mut().record(attempt, origin, clock::since_boot());
    let Some(address) = view.followed_store() else { return };
    let report = inner::ReportObservations { streams: vec![begun], ..Default::default() };
    let client = view.stores.client(&address);
    if let Err(e) = client.call(Body::ReportObservations(report), RECORD_TIMEOUT).await {
        event!(info, "stream_unrecorded", request = attempt, peer = address, reason = e);
    }
}

/// Message for the origin of a stream.
pub fn message(attempt: &str, origin: &Origin) -> inner::BegunStream {
    inner::BegunStream {
        attempt: attempt.to_owned(),
        service: origin.service.to_string(),
        software: origin.software.to_string(),
    }
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
    let known = match stream.first_attempt {
        Some(attempt) => find(view, attempt).await,
        None => None,
    };
    let Some(origin) = known.or_else(|| only_origin(view, route)) else {
        let detail = format!("begun by {}", stream.first_attempt.unwrap_or("an unnamed attempt"));
        return Err(Refusal::new(ResultCode::StreamUnknown, detail, UNKNOWN_RETRY));
    };
    if !route.targets.iter().any(|target| target.service == origin.service) {
        let detail = format!("begun by service {}", origin.service);
        return Err(Refusal::new(ResultCode::NoUpstream, detail, UNKNOWN_RETRY));
    }
    Ok(origin)
}

/// Origin of every stream of a route, if it leads to one service of which only one software version has served for as long
/// as a stream can be taken up. Another version may begin to serve while no store tells this gateway of it.
fn only_origin(view: &View, route: &Route) -> Option<Origin> {
    let [target] = route.targets.as_slice() else { return None };
    if view.age() > MAX_KNOWLEDGE_AGE {
        return None;
    }
    let fleet = view.knowledge.fleet.borrow();
    let software = fleet.only_software(&target.service, clock::since_boot())?;
    Some(Origin { service: target.service.clone(), software })
}

async fn find(view: &View, attempt: &str) -> Option<Origin> {
    let own = view.streams.borrow().get(attempt).cloned();
    if own.is_some() {
        return own;
    }
    let address = view.followed_store()?;
    let lookup = inner::FindStream { attempt: attempt.to_owned(), relayed: false };
    let client = view.stores.client(&address);
    match client.call(Body::FindStream(lookup), LOOKUP_TIMEOUT).await {
        Ok(Body::FindStreamReply(reply)) => {
            let found = reply.stream?;
            Some(Origin { service: found.service.into(), software: found.software.into() })
        }
        Ok(_) => None,
        Err(e) => {
            event!(warn, "stream_lookup_failed", request = attempt, peer = address, reason = e);
            None
        }
    }
}
