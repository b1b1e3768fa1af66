//! State shared by the parts of a store.

use std::{cell::RefCell, collections::HashSet, rc::Rc, time::Duration};

use futures_util::lock::Mutex;
use orioleworks_fleet::{pool::Pool, watch::Knowledge};
use orioleworks_log::{Log, notify::Notify};
use orioleworks_routing::{
    fleet::LeavingNotice, outlier::Key, permits::Permits, rates, routes::RouteTable,
    streams::Streams,
};

use crate::{engines::Engines, state::State, texts::Texts};

/// State and connections of one store; clones share them.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Failure domain of this store.
    pub domain: Rc<str>,
    /// The replicated log.
    pub log: Log,
    /// Replicated state, built from the log.
    pub state: Rc<RefCell<State>>,
    /// Texts of the results in the state.
    pub texts: Texts,
    /// Held while texts are read from disk.
    pub reading: Rc<Mutex<()>>,
    /// Known upstreams, and contents that may have crashed some.
    pub knowledge: Knowledge,
    /// Routes of the newest document.
    pub table: Rc<RefCell<Rc<RouteTable>>>,
    /// State of engines as observed through own requests and orders.
    pub engines: Rc<RefCell<Engines>>,
    /// What began the streams of callers, as reported to this store.
    pub streams: Rc<RefCell<Streams>>,
    /// Permits for upstreams that name a limit, given while this store leads.
    pub permits: Rc<RefCell<Permits>>,
    /// Upstreams of which a majority of the voters know that they leave.
    pub spread: Rc<RefCell<HashSet<Key>>>,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Notified when state, fleet or engines change.
    pub wake: Notify,
}

impl Shared {
    /// Records what the head of an engine's response says of the engine; the request was sent at `sent_at`.
    pub fn note_head(
        &self,
        engine: &Key,
        sent_at: Duration,
        rate: rates::Notice,
        leaving: LeavingNotice,
    ) {
        let limited = self.knowledge.observe_rate(engine, sent_at, rate);
        let left = self.knowledge.observe_leaving(engine, leaving);
        if left {
            self.pool.close_expired();
        }
        if limited || left {
            self.wake.notify();
        }
    }
}
