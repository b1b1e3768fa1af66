//! Follows one store at a time; switches to the next when it does not reply or knows no leader.

use std::time::{Duration, Instant};

use compio::time;
use orioleworks_daemon::{clock, event};
use orioleworks_fleet::{
    convert,
    watch::{self, Position, WatcherState},
};
use orioleworks_routing::permits::Share;
use tokio_util::sync::CancellationToken;

use crate::view::View;

/// Delay after a store that replied at once that it knows no leader, or refused the connection.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Longest delay after all stores have failed in turn, several times.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(1500);
/// Time without a store that knows a leader after which routes of a store that may be stale are accepted. A partitioned
/// failure domain then continues to serve; an election of a leader takes less time.
const ACCEPT_STALE_AFTER: Duration = Duration::from_secs(3);
/// Interval between two runs of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the stores until the token is cancelled.
pub async fn follow(view: View, token: CancellationToken) {
    let mut store_index = 0;
    let mut position = Position::default();
    let mut lost_since: Option<Instant> = None;
    // Failures in a row.
    let mut failures = 0_u32;
    let mut next_housekeeping = Instant::now();
    while !token.is_cancelled() {
        if Instant::now() >= next_housekeeping {
            next_housekeeping = Instant::now() + HOUSEKEEPING_INTERVAL;
            view.run_housekeeping();
        }
        let addresses = view.stores.order_for(&view.cfg.instance.name);
        let Some(address) = addresses.get(store_index % addresses.len().max(1)) else {
            time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        let state = WatcherState {
            document_version: view.document_version(),
            leader_address: view.stores.leader(),
            direct_only: false,
            gateway: view.cfg.instance.name.to_string(),
            relay_address: view.cfg.listen.relay.map_or_else(String::new, |a| a.to_string()),
            domain: view.cfg.instance.failure_domain.to_string(),
            helpers_digest: view.helpers.borrow().digest(),
            wants_confirmation: view.keys.are_leased(),
            accepts_silence: true,
        };
        let (client, asked_at) = (view.stores.client(address), Instant::now());
        let asked_since_boot = clock::since_boot();
        let mut has_more = false;
        let current = match watch::poll(&client, &mut position, state, &view.knowledge).await {
            Ok((reply, merged)) => {
                has_more = merged.was_full;
                if merged.changed {
                    view.pool.close_expired();
                }
                // A learner or a retired store does not hear of what the others are told.
                let votes = reply.stores.contains(address);
                view.stores.set_members(reply.stores);
                let helpers = reply.helpers.into_iter().filter_map(convert::from_gateway_message);
                view.helpers.borrow_mut().set(helpers.collect());
                view.permits.set_share(Share { rank: reply.gateway_rank, of: reply.gateway_count });
                if reply.current {
                    view.stores.set_leader(&reply.leader_address);
                }
                let stale_allowed = view.age() >= ACCEPT_STALE_AFTER;
                if let Some(document) = reply.document.filter(|_| reply.current || stale_allowed) {
                    view.apply_document(&document);
                }
                if let Some(confirmation) = &reply.confirmation {
                    view.keys.renew(asked_since_boot, confirmation);
                }
                match (reply.current, votes) {
                    (true, true) => Ok(()),
                    (false, _) => Err("the store has no leader".to_owned()),
                    (true, false) => Err("the store does not vote".to_owned()),
                }
            }
            Err(e) => Err(e.to_string()),
        };
        match current {
            Ok(()) => {
                failures = 0;
                view.mark_current(address);
                if let Some(since) = lost_since.take() {
                    let ms = since.elapsed().as_millis();
                    event!(info, "store_regained", peer = address, gone_ms = ms);
                }
            }
            Err(reason) => {
                if lost_since.is_none() {
                    event!(warn, "store_lost", peer = address, reason = reason);
                    lost_since = Some(Instant::now());
                }
                // Without a leader each store still tells what it knows, in several replies.
                if has_more {
                    time::sleep(RETRY_INTERVAL.saturating_sub(asked_at.elapsed())).await;
                    continue;
                }
                store_index += 1;
                position = Position::default();
                // All stores may have started at the same time, and a watcher that comes anew costs most. Before routes that may
                // be stale are accepted, all stores are asked as often as possible.
                failures = if view.age() < ACCEPT_STALE_AFTER { 0 } else { failures + 1 };
                let most =
                    RETRY_INTERVAL * 2_u32.saturating_pow(failures / addresses.len().max(1) as u32);
                let pause =
                    RETRY_INTERVAL.max(most.min(MAX_RETRY_INTERVAL).mul_f64(rand::random()));
                time::sleep(pause.saturating_sub(asked_at.elapsed())).await;
            }
        }
    }
}
