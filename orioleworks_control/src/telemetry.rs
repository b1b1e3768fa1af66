//! Gauges of a replica that are updated at a fixed interval.

use std::time::Duration;

use compio::{runtime, time};

use crate::service::Service;

const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the task that publishes the gauges.
pub fn start(service: &Service) {
    let service = service.clone();
    runtime::spawn(async move {
        loop {
            publish(&service);
            time::sleep(PUBLISH_INTERVAL).await;
        }
    })
    .detach();
}

fn publish(service: &Service) {
    service.log().publish_metrics();
    metrics::gauge!("orioleworks_control_revision").set(service.revision() as f64);
}
