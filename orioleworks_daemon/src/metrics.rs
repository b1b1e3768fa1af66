//! Metrics recorder; its text is served at `/metrics` by the daemon's own HTTP server.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of latency buckets in seconds.
const LATENCY_BUCKETS_S: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 240.0,
];

/// Installs the recorder of the process and returns the handle that renders it.
///
/// # Panics
///
/// Panics when a recorder is installed already, which is a programming error.
pub fn install() -> PrometheusHandle {
    PrometheusBuilder::new()
        .set_buckets(LATENCY_BUCKETS_S)
        .and_then(|builder| builder.install_recorder())
        .expect("the metrics recorder is installed once")
}
