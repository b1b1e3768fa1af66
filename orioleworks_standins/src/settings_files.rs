//! Settings files of the daemons of a local deployment.

use std::{fs, io, path::Path};

use serde_json::{Value, json};

/// Drain deadline of an entry in a local deployment in milliseconds; shorter than the default, so that a stop is quick.
const DRAIN_DEADLINE_MS: u64 = 5000;

/// Name, failure domain and addresses of a daemon.
#[derive(Clone, Debug)]
pub struct Daemon {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// HTTP address.
    pub http: String,
    /// Inner address on which the daemon listens.
    pub inner: String,
    /// Inner address that other daemons connect to: the address of the relay, or `inner` without relays.
    pub advertised_inner: String,
}

impl Daemon {
    fn instance(&self) -> Value {
        json!({"name": self.name, "failure_domain": self.domain})
    }

    fn listen(&self) -> Value {
        json!({"http": self.http, "inner": self.inner})
    }
}

/// Settings of a control replica. `bootstrap` must be false for a replica that lost its data directory; otherwise it
/// bootstraps a second cluster. `snapshot_entries` of `None` keeps the default of the daemon.
pub fn control(
    daemon: &Daemon,
    replicas: &[Daemon],
    directory: &Path,
    bootstrap: bool,
    snapshot_entries: Option<u64>,
) -> Value {
    let replicas: Vec<Value> = replicas
        .iter()
        .map(|r| json!({"name": r.name, "address": r.advertised_inner, "failure_domain": r.domain}))
        .collect();
    let mut data = json!({"directory": directory});
    if let Some(entries) = snapshot_entries {
        data["snapshot_entries"] = entries.into();
    }
    json!({
        "instance": daemon.instance(),
        "listen": daemon.listen(),
        "cluster": {"bootstrap": bootstrap, "replicas": replicas},
        "data": data,
        "log": {"filter": "info"},
    })
}

/// Settings of an entry.
pub fn entry(daemon: &Daemon, replicas: &[Daemon], entries: &[Daemon], directory: &Path) -> Value {
    let replicas: Vec<Value> = replicas
        .iter()
        .map(|r| json!({"address": r.advertised_inner, "failure_domain": r.domain}))
        .collect();
    let peers: Vec<Value> = entries
        .iter()
        .filter(|e| e.name != daemon.name)
        .map(|e| json!({"name": e.name, "failure_domain": e.domain, "inner": e.advertised_inner}))
        .collect();
    json!({
        "instance": daemon.instance(),
        "listen": daemon.listen(),
        "control": {"replicas": replicas},
        "peers": peers,
        "data": {"directory": directory},
        "limits": {"drain_deadline_ms": DRAIN_DEADLINE_MS},
        "log": {"filter": "info"},
    })
}

/// Writes a settings file.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn write(path: &Path, settings: &Value) -> io::Result<()> {
    let text = serde_json::to_string_pretty(settings).unwrap_or_default();
    fs::write(path, text)
}
