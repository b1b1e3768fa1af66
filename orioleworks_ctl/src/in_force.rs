//! Waiting until a revision is in force on every live entry.

use std::time::{Duration, Instant};

use orioleworks_daemon::control::ControlClient;
use orioleworks_proto::{codes::ResultCode, inner};
use serde::Serialize;

/// Time between two requests for the status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for one replica's status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1500);

/// Where a revision is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct InForce {
    /// Whether every live entry has acknowledged the revision.
    pub in_force: bool,
    /// Live entries that have not, with the revision that they have.
    pub missing: Vec<Missing>,
    /// Why the status could not be fetched.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub reason: String,
}

/// Entry that has not acknowledged the revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Missing {
    /// Name of the entry.
    pub entry: String,
    /// Revision that it has applied.
    pub revision: u64,
}

/// Current status from the leader.
///
/// # Errors
///
/// Returns why no replica sent a current status.
pub async fn status(control: &ControlClient) -> Result<inner::StatusReply, String> {
    let mut reason = "no control replica is configured".to_owned();
    for (i, replica) in control.replicas().iter().enumerate() {
        match control.status(i, true, STATUS_TIMEOUT).await {
            Ok(reply) if reply.code == ResultCode::Ok.number() => return Ok(reply),
            Ok(reply) => {
                let code = ResultCode::from_number(reply.code);
                let message = code.map_or_else(|| reply.code.to_string(), |code| code.to_string());
                reason = format!("{}: {message}", replica.address());
            }
            Err(e) => reason = format!("{}: {e}", replica.address()),
        }
    }
    Err(reason)
}

/// Waits until every live entry has acknowledged the revision, or until the timeout.
pub async fn wait(control: &ControlClient, revision: u64, timeout: Duration) -> InForce {
    let deadline = Instant::now() + timeout;
    loop {
        let now = match status(control).await {
            Ok(status) => {
                let missing = missing(&status, revision);
                InForce { in_force: missing.is_empty(), missing, reason: String::new() }
            }
            Err(reason) => InForce { in_force: false, missing: Vec::new(), reason },
        };
        if now.in_force || Instant::now() >= deadline {
            return now;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Live entries that have not acknowledged the revision; control lists only entries that it considers live.
fn missing(status: &inner::StatusReply, revision: u64) -> Vec<Missing> {
    let behind = status.entries.iter().filter(|e| e.applied_revision < revision);
    let name = |e: &inner::EntryStatus| e.entry.clone().unwrap_or_default().name;
    behind.map(|e| Missing { entry: name(e), revision: e.applied_revision }).collect()
}
