//! Keeps the configuration up to date by `Watch` requests to a control replica.
//!
//! See `docs/design.md`, section 5.

use std::{rc::Rc, time::Duration};

use compio::time;
use orioleworks_daemon::{clock, event, rpc};
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, frame::Body},
};
use tokio_util::sync::CancellationToken;

use crate::{configuration::Configuration, persist};

/// Time for which control may delay the response to a watch while there is no change.
const HOLD_MS: u32 = 1000;
/// Longest wait for the response to a watch, after which another replica is asked.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1800);
/// Pause after a failed watch.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a failed save, because control responds at once while a revision is unacknowledged.
const SAVE_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Number of responses from a less preferred replica, such as one of another failure domain, after which the first one
/// is tried again.
const PREFERRED_RETRY_RESPONSES: u32 = 5;

/// Watches until the token is cancelled; `replicas` are in order of preference.
pub async fn run(
    identity: inner::EntryIdentity,
    replicas: Vec<rpc::Client>,
    configuration: Configuration,
    store: Option<persist::Store>,
    on_live_entries: impl Fn(Vec<inner::EntryIdentity>),
    token: CancellationToken,
) {
    let identity = Rc::new(identity);
    let mut current = 0;
    let mut responses = 0;
    let mut entries_hash = 0;
    while !token.is_cancelled() && !replicas.is_empty() {
        let replica = &replicas[current];
        match watch_once(&identity, replica, &configuration, store.as_ref(), entries_hash).await {
            Some((entries, hash)) => {
                // A replica of an older release sends no hash and lists the entries in every reply.
                if hash.is_none_or(|hash| hash != entries_hash) {
                    on_live_entries(entries);
                }
                entries_hash = hash.unwrap_or(0);
                responses += 1;
                if current != 0 && responses >= PREFERRED_RETRY_RESPONSES {
                    (current, responses) = (0, 0);
                }
            }
            None => {
                event!(warn, "watch_failed", replica = replicas[current].address());
                replicas[current].disconnect();
                (current, responses) = ((current + 1) % replicas.len(), 0);
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn watch_once(
    identity: &inner::EntryIdentity,
    replica: &rpc::Client,
    configuration: &Configuration,
    store: Option<&persist::Store>,
    entries_hash: u64,
) -> Option<(Vec<inner::EntryIdentity>, Option<u64>)> {
    let watch = inner::Watch {
        entry: Some(identity.clone()),
        // Control takes this as an acknowledgement, so it must not exceed the revision that is synced to disk.
        applied_revision: store.map_or(configuration.revision(), persist::Store::saved_revision),
        wait_ms: if configuration.is_ready() { HOLD_MS } else { 0 },
        entries_hash: Some(entries_hash),
    };
    let sent = clock::since_boot();
    let reply = match replica.call(Body::Watch(watch), WATCH_TIMEOUT).await {
        Ok(Body::WatchReply(reply)) if reply.code == ResultCode::Ok.number() => reply,
        _ => return None,
    };
    let newer = reply.revision > configuration.revision();
    if newer {
        fail::fail_point!("config.before_apply");
    }
    // A configuration or change from a replica that lags behind this entry is ignored.
    if let Some(config) = reply.config {
        configuration.apply_full(config);
    }
    configuration.apply_changes(reply.changes);
    configuration.record_response(sent);
    if configuration.revision() >= reply.revision {
        configuration.set_ready();
    }
    if newer {
        fail::fail_point!("config.after_apply");
    }
    if let Some(store) = store
        && !store.save(configuration).await
    {
        time::sleep(SAVE_RETRY_PAUSE).await;
    }
    Some((reply.entries, reply.entries_hash))
}
