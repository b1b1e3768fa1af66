//! Announcements report delayed load figures, gaps in cache events and stops; the weight store limits its rate.

mod common;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use common::{completion, fast_engine_config, get, post, read_stream, start_engine};
use orioleworks_daemon::{http, shutdown::Shutdown};
use orioleworks_standins::{
    announce::Announcement,
    engine::EngineConfig,
    fault::FaultSwitch,
    weights::{self, Store, StoreConfig},
};
use serde_json::json;

type Announcements = Rc<RefCell<Vec<Announcement>>>;

/// Starts an entry that records announcements and orders a stop while the flag is set.
async fn start_entry() -> (String, Announcements, Rc<Cell<bool>>) {
    let listener = http::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let (announcements, stop) = (Announcements::default(), Rc::new(Cell::new(false)));
    let (recorded, order) = (announcements.clone(), stop.clone());
    let handler = move |req: http::Request| {
        let (recorded, order) = (recorded.clone(), order.clone());
        async move {
            let body = http::read_body(req.into_body(), &http::Limits::default()).await;
            let announcement = serde_json::from_slice(&body.expect("body")).expect("JSON");
            recorded.borrow_mut().push(announcement);
            http::json(200, &json!({"stop": order.get(), "lease_ms": 2000}))
        }
    };
    let limits = http::Limits::default();
    compio::runtime::spawn(http::serve(listener, limits, Shutdown::default(), handler)).detach();
    (address, announcements, stop)
}

async fn wait_for(
    announcements: &Announcements,
    condition: impl Fn(&Announcement) -> bool,
) -> Announcement {
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        if let Some(found) = announcements.borrow().iter().find(|a| condition(a)) {
            return found.clone();
        }
        assert!(Instant::now() < deadline, "no announcement meets the condition");
        compio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against an upstream that cancels a stop when a later response, as from an entry that does not know of the
/// stop yet, does not repeat it.
#[test]
fn a_stop_is_sticky_for_the_incarnation() {
    common::run(async {
        let (entry, announcements, stop) = start_entry().await;
        let (engine, address) =
            start_engine(EngineConfig { entries: vec![entry], ..fast_engine_config() }).await;
        let first = wait_for(&announcements, |a| !a.leaving).await;
        assert_eq!(first.address, address);
        stop.set(true);
        wait_for(&announcements, |a| a.leaving).await;
        stop.set(false);
        announcements.borrow_mut().clear();
        wait_for(&announcements, |a| a.leaving).await;
        assert!(engine.membership.leaving());
        post(&address, "/rejoin", json!({})).await;
        let rejoined = wait_for(&announcements, |a| !a.leaving).await;
        assert!(rejoined.incarnation > first.incarnation);
    });
}

/// Guards against load figures without their age, and against lost cache events without a gap in the sequence numbers.
#[test]
fn load_lags_and_lost_cache_events_leave_a_gap() {
    common::run(async {
        let (entry, announcements, _) = start_entry().await;
        let config = EngineConfig { entries: vec![entry], ..fast_engine_config() };
        let (engine, address) = start_engine(config).await;
        let guard = engine.running.enter();
        let loaded = wait_for(&announcements, |a| a.running == 1).await;
        assert!(loaded.measured_ms_ago < 2000);
        wait_for(&announcements, |a| a.measured_ms_ago >= 400).await;
        drop(guard);
        post(&address, "/fault", json!({"gap_every": 1})).await;
        read_stream(&address, completion("lost", 4, "r"), |_| ()).await;
        wait_for(&announcements, |a| a.cache.first_sequence == 2).await;
        post(&address, "/fault", json!({"gap_every": 0})).await;
        read_stream(&address, completion("kept", 4, "s"), |_| ()).await;
        let kept = wait_for(&announcements, |a| !a.cache.events.is_empty()).await;
        assert_eq!((kept.cache.first_sequence, kept.cache.events.len()), (2, 1));
    });
}

/// Guards against a store without a rate limit, and against weights that can be read before they are published.
#[test]
fn the_store_limits_its_rate_and_knows_its_versions() {
    common::run(async {
        let config = StoreConfig { per_second: 0.5, burst: 2.0, ..StoreConfig::default() };
        let store = Store::new(config, FaultSwitch::default());
        let listener = http::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address").to_string();
        compio::runtime::spawn(weights::serve(store, listener, Shutdown::default())).detach();
        assert_eq!(get(&address, "/v1/models/scorer/versions/2").await.status, 404);
        for expected in [200, 200, 429] {
            let response = get(&address, "/v1/models/scorer/versions/1").await;
            assert_eq!(response.status, expected);
            assert_eq!(response.headers.contains_key("retry-after"), expected == 429);
        }
    });
}
