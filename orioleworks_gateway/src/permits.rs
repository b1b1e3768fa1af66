//! Permits to send requests to upstreams that name a limit; see `docs/platform.md`, "Limits that upstreams name".

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use indexmap::IndexMap;
use orioleworks_daemon::{clock, event};
use orioleworks_fleet::{convert, stores};
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, frame::Body},
};
use orioleworks_routing::{
    outlier::Key,
    permits::{Fallback, Permit, Share},
};

use crate::view::View;

/// Longest time for a permit to arrive: two round trips, one of them between domains, beside other load.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which the fixed share is used after a request for a permit that failed.
const FALLBACK_TIME: Duration = Duration::from_millis(500);

/// What a gateway knows of permits; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    inner: Rc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    fallback: RefCell<Fallback>,
    /// Until when the fixed share is used.
    fallback_until: Cell<Duration>,
    /// Position among the gateways that share the limits.
    share: Cell<Share>,
    /// Time of the next free permit of an upstream for a priority, after a denial.
    next_free: RefCell<IndexMap<(Key, u32), Duration>>,
}

/// What a permit is for.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Priority of the profile; 0 is the highest.
    pub priority: u32,
    /// Longest time that the request may wait for its permit.
    pub max_wait: Duration,
}

impl Permits {
    /// Records the position among the gateways that the stores know.
    pub fn set_share(&self, share: Share) {
        self.inner.share.set(share);
    }

    /// Removes upstreams for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&Key) -> bool) {
        self.inner.fallback.borrow_mut().retain(&keep);
        self.inner.next_free.borrow_mut().retain(|(up, _), _| keep(up));
    }

    /// Asks for a permit to send one request to an upstream that takes `rate` requests a second.
    pub async fn acquire(&self, view: &View, up: &Key, rate: f64, demand: Demand) -> Permit {
        let now = clock::since_boot();
        if now < self.inner.fallback_until.get() {
            return self.request_share(up, rate, demand);
        }
        if let Some(wait) = self.known_wait(up, demand, now) {
            return Permit::Denied(wait);
        }
        match ask(view, up, demand).await {
            Ok(permit) => {
                if let Permit::Denied(wait) = permit {
                    let key = (up.clone(), demand.priority);
                    self.inner.next_free.borrow_mut().insert(key, clock::since_boot() + wait);
                }
                permit
            }
            Err(reason) => {
                self.inner.fallback_until.set(clock::since_boot() + FALLBACK_TIME);
                let Share { rank, of } = self.inner.share.get();
                event!(warn, "permits_unavailable", rank = rank, gateways = of, reason = reason);
                self.request_share(up, rate, demand)
            }
        }
    }

    /// Wait for the next permit, if it is known to be too long.
    fn known_wait(&self, up: &Key, demand: Demand, now: Duration) -> Option<Duration> {
        let next_free = self.inner.next_free.borrow();
        let at = next_free.get(&(up.clone(), demand.priority))?;
        Some(at.saturating_sub(now)).filter(|wait| *wait > demand.max_wait)
    }

    fn request_share(&self, up: &Key, rate: f64, demand: Demand) -> Permit {
        let unix_time = Duration::from_millis(clock::unix_ms());
        let mut fallback = self.inner.fallback.borrow_mut();
        fallback.request(self.inner.share.get(), up, rate, demand.max_wait, unix_time)
    }
}

/// Asks the followed store, which asks the leader. A gateway that reaches only the leader would not be counted as absent
/// by it, and one that reaches only the store would be.
async fn ask(view: &View, up: &Key, demand: Demand) -> Result<Permit, String> {
    let address = view.followed_store().ok_or("no store is known")?;
    let limit = view.knowledge.rates.borrow().report(up).ok_or("the limit is not known")?;
    let request = inner::AcquirePermit {
        limit: Some(convert::to_limit_message(&limit, clock::since_boot())),
        max_wait_ms: convert::millis(demand.max_wait),
        priority: demand.priority,
        relayed: false,
    };
    let client = view.stores.client(&address);
    let reply = client.call(Body::AcquirePermit(request), REPLY_TIMEOUT).await;
    let reply = reply.map_err(|e| e.to_string())?;
    let code = stores::result_code(&reply);
    match reply {
        Body::AcquirePermitReply(reply) if code == ResultCode::Ok => {
            Ok(convert::from_permit_reply(&reply))
        }
        _ => Err(code.to_string()),
    }
}
