//! Handler of `POST /v1/announce`, through which upstreams register and renew their leases.
//!
//! See `docs/design.md`, sections 6 and 14.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use orioleworks_daemon::{event, http};
use orioleworks_proto::codes::ResultCode;
use orioleworks_routing::members::{Announcement, CacheEvent, CacheReport, LEASE};
use serde::{Deserialize, Serialize};

use crate::{
    configuration::Configuration,
    members::{Announced, Members},
    slots::Slots,
};

/// Most requests that an upstream runs or queues. The loads of thousands of upstreams are added up in 32 bits.
const MAX_REQUESTS: u32 = 65_536;
/// Highest number of a cache event, from which events may be counted on.
const MAX_SEQUENCE: u64 = u64::MAX / 2;

#[derive(Debug, Deserialize)]
struct Body {
    name: Rc<str>,
    incarnation: u64,
    kind: Rc<str>,
    #[serde(default)]
    model: Rc<str>,
    address: SocketAddr,
    #[serde(default)]
    weight_version: u64,
    #[serde(default)]
    pending_version: u64,
    #[serde(default)]
    checks_fencing: bool,
    #[serde(default)]
    engine: bool,
    #[serde(default)]
    capacity: u32,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    measured_ms_ago: u64,
    #[serde(default)]
    leaving: bool,
    cache: Option<Cache>,
}

#[derive(Debug, Deserialize)]
struct Cache {
    first_sequence: u64,
    #[serde(default)]
    events: Vec<Event>,
}

#[derive(Debug, Deserialize)]
struct Event {
    prefix: String,
    stored: bool,
}

#[derive(Serialize)]
struct AnnounceResponse {
    stop: bool,
    lease_ms: u64,
}

/// Handles one announcement of an upstream.
pub fn handle(
    body: &[u8],
    configuration: &Configuration,
    members: &Members,
    slots: &Slots,
) -> http::Response {
    let announcement = match parse(body) {
        Ok(announcement) => announcement,
        Err(reason) => {
            event!(warn, "announcement_refused", reason = reason);
            return http::error(ResultCode::BadRequest, &reason, 0);
        }
    };
    let name = announcement.name.clone();
    let incarnation = announcement.incarnation;
    let announced = members.announce(announcement);
    match announced {
        Announced::Restarted => slots.handle_restart(&name),
        Announced::Outdated => {
            event!(debug, "announcement_outdated", upstream = name, incarnation = incarnation);
        }
        Announced::Joined | Announced::Renewed => {}
    }
    if matches!(announced, Announced::Joined | Announced::Restarted) {
        event!(info, "upstream_joined", upstream = name, incarnation = incarnation);
    }
    slots.wake();
    let lease_ms = u64::try_from(LEASE.as_millis()).unwrap_or(u64::MAX);
    http::json(200, &AnnounceResponse { stop: configuration.is_stopped(&name), lease_ms })
}

fn parse(bytes: &[u8]) -> Result<Announcement, String> {
    let body: Body = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    for (field, name, required) in
        [("name", &body.name, true), ("kind", &body.kind, true), ("model", &body.model, false)]
    {
        if !name.is_ascii() || name.len() > 128 || (required && name.is_empty()) {
            return Err(format!("{field} is not a name of 1 to 128 ASCII characters"));
        }
    }
    for (field, count) in
        [("capacity", body.capacity), ("running", body.running), ("queued", body.queued)]
    {
        if count > MAX_REQUESTS {
            return Err(format!("{field} is {count}; accepted: 0 to {MAX_REQUESTS}"));
        }
    }
    let mut cache = CacheReport::default();
    if let Some(report) = body.cache {
        let first = report.first_sequence;
        if first > MAX_SEQUENCE {
            return Err(format!("first_sequence is {first}; accepted: 0 to {MAX_SEQUENCE}"));
        }
        cache.first_sequence = first;
        for event in report.events {
            let prefix = u64::from_str_radix(&event.prefix, 16)
                .map_err(|_| "cache prefix is not 16 hexadecimal digits".to_owned())?;
            cache.events.push(CacheEvent { prefix, stored: event.stored });
        }
    }
    Ok(Announcement {
        name: body.name,
        incarnation: body.incarnation,
        kind: body.kind,
        model: body.model,
        address: body.address.to_string().into(),
        weight_version: body.weight_version,
        pending_version: body.pending_version,
        checks_fencing: body.checks_fencing,
        engine: body.engine,
        capacity: body.capacity,
        running: body.running,
        queued: body.queued,
        measured_ago: Duration::from_millis(body.measured_ms_ago),
        leaving: body.leaving,
        cache,
    })
}
