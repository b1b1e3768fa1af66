//! Detects upstreams that crashed, and records the requests that were in flight on them.
//!
//! See `docs/design.md`, section 7.

use std::{rc::Rc, time::Duration};

use orioleworks_daemon::clock;

use crate::{
    attempt,
    placement::Upstream,
    slots::{Grant, Slots},
};

/// Time for which the request of a broken connection counts as in flight if a restart of the upstream is noticed later.
const BROKEN_CONNECTION_RETENTION: Duration = Duration::from_secs(3);

impl Slots {
    /// Handles a broken connection of the slot's request: checks whether the upstream has crashed.
    pub async fn handle_broken_connection(&self, grant: &Grant) {
        let target = &grant.target;
        if attempt::refuses_connections(&target.address).await {
            if self.members.fail(&target.name, target.incarnation) {
                self.record_crash(&target.name, target.incarnation);
            }
            return;
        }
        let now = clock::since_boot();
        let mut state = self.state.borrow_mut();
        if let Some(upstream) = state.upstreams.get_mut(&target.name)
            && upstream.incarnation == target.incarnation
        {
            upstream.broken_connections.retain(|(at, _)| *at + BROKEN_CONNECTION_RETENTION > now);
            let running = upstream.running.iter().find(|r| r.id == grant.id).cloned();
            upstream.broken_connections.extend(running.map(|r| (now, r)));
        }
    }

    /// Records the crash of the live incarnation that a new one replaced.
    pub fn handle_restart(&self, name: &str) {
        let known = self.state.borrow().upstreams.get(name).map(|u| u.incarnation);
        if let Some(incarnation) = known {
            self.record_crash(name, incarnation);
        }
    }

    fn record_crash(&self, name: &str, incarnation: u64) {
        let now = clock::since_boot();
        let in_flight: Vec<(Rc<str>, Rc<str>)> = {
            let state = self.state.borrow();
            let upstream = state.upstreams.get(name).filter(|u| u.incarnation == incarnation);
            let recent = |u: &Upstream| {
                let broken_connections = u
                    .broken_connections
                    .iter()
                    .filter(|(at, _)| *at + BROKEN_CONNECTION_RETENTION > now);
                broken_connections.map(|(_, r)| r.clone()).collect::<Vec<_>>()
            };
            let all = upstream.map(|u| [u.running.clone(), recent(u)].concat()).unwrap_or_default();
            all.into_iter().map(|r| (r.fingerprint, r.profile)).collect()
        };
        let live = self.members.live_count();
        self.suspects.record_upstream_loss(now, name, incarnation, &in_flight, live);
        self.drop_upstream(name, incarnation);
    }

    /// Removes a lost upstream and cancels its requests.
    pub(crate) fn drop_upstream(&self, name: &str, incarnation: u64) {
        let mut state = self.state.borrow_mut();
        state.affinity.forget_upstream(name);
        if let Some(upstream) = state.upstreams.get(name)
            && upstream.incarnation == incarnation
        {
            upstream.lost.cancel();
            state.upstreams.remove(name);
        }
        drop(state);
        self.wake();
    }
}
