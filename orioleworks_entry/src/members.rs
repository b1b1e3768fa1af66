//! Shared membership of the upstreams of the failure domain.
//!
//! See `docs/design.md`, section 6.

use std::{cell::RefCell, rc::Rc};

use orioleworks_daemon::clock;
use orioleworks_routing::members as routing;
pub use orioleworks_routing::members::{Announced, Announcement, Engine, Expired, Member};

/// Known upstreams; clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Members {
    members: Rc<RefCell<routing::Members>>,
}

impl Members {
    /// Live engines of the failure domain, in the order of their names.
    pub fn engines(&self) -> Vec<Engine> {
        self.members.borrow().engines()
    }

    /// Applies an announcement.
    pub fn announce(&self, a: Announcement) -> Announced {
        self.members.borrow_mut().announce(clock::since_boot(), a)
    }

    /// Ends leases that were not renewed; returns the upstreams whose leases this call ended.
    pub fn expire(&self) -> Vec<Expired> {
        self.members.borrow_mut().expire(clock::since_boot())
    }

    /// Marks an upstream that refused a connection as lost; returns whether it was live before.
    pub fn fail(&self, name: &str, incarnation: u64) -> bool {
        self.members.borrow_mut().fail(clock::since_boot(), name, incarnation)
    }

    /// Stops and starts upstreams by the stop orders of the configuration.
    pub fn follow_orders(&self, is_stopped: impl Fn(&str) -> bool) {
        let names: Vec<Rc<str>> =
            self.members.borrow().all().map(|m| m.last.name.clone()).collect();
        let mut members = self.members.borrow_mut();
        for name in names {
            match (is_stopped(&name), members.is_stopped(&name)) {
                (true, _) => members.stop(&name),
                (false, true) => members.start(&name),
                (false, false) => {}
            }
        }
    }

    /// Whether a kind has an upstream that accepts new requests.
    pub fn has_live(&self, kind: &str) -> bool {
        self.members.borrow().live(kind).next().is_some()
    }

    /// Number of live upstreams of all kinds.
    pub fn live_count(&self) -> usize {
        self.members.borrow().live_count()
    }

    /// Calls a function with the membership.
    pub fn read<T>(&self, f: impl FnOnce(&routing::Members) -> T) -> T {
        f(&self.members.borrow())
    }
}
