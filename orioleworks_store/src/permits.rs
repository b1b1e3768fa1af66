//! Permits to send requests to upstreams that name a limit, given by the store that leads.
//!
//! Only a leader with a lease gives permits, so that two stores never do at the same time. Its own requests need them too.
//! See `docs/platform.md`, "Limits that upstreams name".

use std::time::Duration;

use orioleworks_daemon::clock;
use orioleworks_fleet::convert;
use orioleworks_proto::{codes::ResultCode, inner};
use orioleworks_routing::{outlier::Key, permits::Permit};

use crate::shared::Shared;

/// Asks for a permit to send one request to an upstream; `None` without the lease of a leader.
pub fn request(shared: &Shared, up: &Key, priority: u32, max_wait: Duration) -> Option<Permit> {
    let Some(rate) = usable_rate(shared, up) else { return Some(Permit::After(Duration::ZERO)) };
    let term = shared.log.leading_term().filter(|_| shared.log.holds_lease())?;
    let mut permits = shared.permits.borrow_mut();
    permits.begin_term(term);
    Some(permits.request(up, rate, priority, max_wait, clock::since_boot()))
}

/// Whether an upstream takes a request now.
pub fn is_free(shared: &Shared, up: &Key) -> bool {
    let Some(rate) = usable_rate(shared, up) else { return true };
    let Some(term) = shared.log.leading_term().filter(|_| shared.log.holds_lease()) else {
        return false;
    };
    let mut permits = shared.permits.borrow_mut();
    permits.begin_term(term);
    permits.is_free(up, rate, clock::since_boot())
}

/// Replies to a gateway or to the store that passes on its request.
pub fn reply(shared: &Shared, ask: &inner::AcquirePermit) -> inner::AcquirePermitReply {
    let reply = |code: ResultCode| inner::AcquirePermitReply {
        code: code.number(),
        leader_address: shared.log.leader_address(),
        ..Default::default()
    };
    let Some(limit) = ask.limit.clone() else { return reply(ResultCode::BadRequest) };
    let report = convert::from_limit_message(limit, clock::since_boot());
    let up = report.upstream.clone();
    if shared.knowledge.rates.borrow_mut().merge(report, true) {
        shared.wake.notify();
    }
    let max_wait = Duration::from_millis(ask.max_wait_ms.into());
    let Some(permit) = request(shared, &up, ask.priority, max_wait) else {
        return reply(ResultCode::NotLeader);
    };
    let (granted, wait) = match permit {
        Permit::After(wait) => (true, wait),
        Permit::Denied(wait) => (false, wait),
    };
    metrics::counter!("orioleworks_permits_total", "granted" => granted.to_string()).increment(1);
    inner::AcquirePermitReply { granted, wait_ms: convert::millis(wait), ..reply(ResultCode::Ok) }
}

/// Requests a second that the instances in contact may send to an upstream; `None` if it has no limit.
fn usable_rate(shared: &Shared, up: &Key) -> Option<f64> {
    let rate = shared.knowledge.rates.borrow().limit(up)?;
    let gateways = shared.knowledge.gateways.borrow();
    Some(gateways.rate_in_contact(rate, clock::since_boot()))
}
