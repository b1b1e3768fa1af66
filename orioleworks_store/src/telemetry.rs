//! Metrics of a store that are published at intervals; all others are recorded where the event occurs.

use std::rc::Rc;

use orioleworks_daemon::clock;

use crate::{
    dispatch::Dispatch,
    memory::{Monitor, Usage},
    shared::Shared,
    state::ModelState,
};

/// Publishes the gauges of the log, the memory, the item queue, the replicated state and the known upstreams.
pub fn publish(shared: &Shared, dispatch: &Dispatch, memory: &Monitor) {
    shared.log.publish_metrics();
    memory.publish(Usage::of(shared, dispatch));
    let (waiting, running) = dispatch.depth();
    metrics::gauge!("orioleworks_items", "state" => "waiting").set(waiting as f64);
    metrics::gauge!("orioleworks_items", "state" => "running").set(running as f64);
    let (waiting, running) = dispatch.reward_calls();
    metrics::gauge!("orioleworks_reward_calls", "state" => "waiting").set(waiting as f64);
    metrics::gauge!("orioleworks_reward_calls", "state" => "running").set(running as f64);
    metrics::gauge!("orioleworks_suspect_contents")
        .set(shared.knowledge.crashes.borrow().len() as f64);
    let state = shared.state.borrow();
    metrics::gauge!("orioleworks_open_batches").set(state.open_batches().count() as f64);
    metrics::gauge!("orioleworks_document_version").set(state.document().version as f64);
    for (model, ModelState { named, .. }) in state.models() {
        let model = model.to_string();
        metrics::gauge!("orioleworks_named_version", "model" => model).set(*named as f64);
    }
    let now = clock::since_boot();
    let fleet = shared.knowledge.fleet.borrow();
    let engines = shared.engines.borrow();
    let (fresh, earlier) = fleet.count(now);
    metrics::gauge!("orioleworks_upstreams", "heard" => "lately").set(fresh as f64);
    metrics::gauge!("orioleworks_upstreams", "heard" => "earlier").set(earlier as f64);
    for (model, ModelState { named, .. }) in state.models() {
        let holds = |up: &Rc<_>| engines.version(up, model).is_some_and(|v| v >= *named);
        let serving = fleet.all().filter(|known| known.takes_requests(now));
        let holding = serving.filter(|known| holds(&known.upstream)).count();
        let model = model.to_string();
        metrics::gauge!("orioleworks_engines_at_named_version", "model" => model)
            .set(holding as f64);
    }
}
