//! State shared by the parts of a store.

use std::{cell::RefCell, rc::Rc};

use futures_util::lock::Mutex;
use orioleworks_fleet::{pool::Pool, watch::Knowledge};
use orioleworks_log::{Log, notify::Notify};
use orioleworks_routing::{permits::Permits, routes::RouteTable, streams::Streams};

use crate::{engines::Engines, state::State, texts::Texts};

/// State and connections of one store; clones share them.
#[derive(Clone, Debug)]
pub struct Shared {
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
    /// Connections to upstreams.
    pub pool: Pool,
    /// Notified when state, fleet or engines change.
    pub wake: Notify,
}
