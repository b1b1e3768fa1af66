//! Proposes the quarantine of requests to control.

use std::{future::Future, time::Duration};

use compio::time;
use orioleworks_daemon::{control::ControlClient, event};
use orioleworks_proto::inner::{self, command::Kind};
use tokio_util::sync::CancellationToken;

use crate::suspects::{Quarantine, Suspects};

/// Interval between two checks for new quarantines; every entry must learn of a quarantine within 2 s.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one attempt to propose a quarantine.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Attempts to propose a quarantine. If all fail, only this entry blocks the request, until its local record expires.
const MAX_ATTEMPTS: u32 = 20;

/// Proposes the quarantine of requests that crashed two upstreams.
pub async fn propose_quarantines(suspects: Suspects, control: ControlClient) {
    loop {
        for Quarantine { fingerprint, profile } in suspects.take_quarantines() {
            event!(warn, "request_quarantined", fingerprint = fingerprint, profile = profile);
            let control = control.clone();
            compio::runtime::spawn(async move {
                let order_id = format!("quarantine-{:032x}", rand::random::<u128>());
                let quarantine = inner::Quarantine {
                    fingerprint: fingerprint.to_string(),
                    profile: profile.to_string(),
                    reason: "crashed two upstreams".into(),
                };
                let kind = Some(Kind::Quarantine(quarantine));
                let command = inner::Command { expected_revision: None, kind };
                for _ in 0..MAX_ATTEMPTS {
                    match control.propose(order_id.clone(), command.clone(), PROPOSE_TIMEOUT).await
                    {
                        Ok(_) => return,
                        Err(e) => event!(warn, "quarantine_not_confirmed", reason = e),
                    }
                }
            })
            .detach();
        }
        suspects.notify_settled();
        suspects.expire();
        time::sleep(CHECK_INTERVAL).await;
    }
}

/// Runs a future until the token is cancelled.
pub async fn run_until_cancelled(token: CancellationToken, f: impl Future<Output = ()>) {
    futures_util::future::select(Box::pin(f), Box::pin(token.cancelled())).await;
}
