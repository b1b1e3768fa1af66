//! Metrics of a replica that are read at intervals.

use std::time::Duration;

use compio::{runtime, time};

use crate::service::Service;

const INTERVAL: Duration = Duration::from_millis(500);

/// Starts the task that publishes the gauges.
pub fn start(service: &Service) {
    let service = service.clone();
    runtime::spawn(async move {
        loop {
            publish(&service);
            time::sleep(INTERVAL).await;
        }
    })
    .detach();
}

fn publish(service: &Service) {
    let status = service.log().status();
    metrics::gauge!("orioleworks_log_term").set(status.term as f64);
    metrics::gauge!("orioleworks_log_leader").set(if status.is_leader { 1.0 } else { 0.0 });
    metrics::gauge!("orioleworks_log_commit_index").set(status.commit_index as f64);
    metrics::gauge!("orioleworks_log_last_index").set(status.last_index as f64);
    metrics::gauge!("orioleworks_control_revision").set(service.revision() as f64);
}
