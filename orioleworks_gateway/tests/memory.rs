//! Memory of the stores under many and long results.

mod support;

use std::{
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use support::{
    client,
    deployment::Deployment,
    routes::{self, MODEL},
    upstream::{Upstream, padded_item_text},
};

/// Memory limit of a store in the tests, in megabytes.
const MEMORY_MB: usize = 64;
/// Length of the text that is added to each event. A text has twelve events and is about 48 KB long once compressed.
const EVENT_PADDING: u64 = 8 * 1024;
const BATCHES: usize = 16;
const ITEMS: usize = 100;

fn items_of(batch: usize) -> Vec<String> {
    (0..ITEMS).map(|i| format!("b{batch}-{i}")).collect()
}

/// Reads all results of a batch through a gateway and checks their texts.
fn check_batch(d: &Deployment, batch: usize) {
    let mut after = 0;
    let until = Instant::now() + Duration::from_secs(60);
    let mut listed = Vec::new();
    while after < ITEMS {
        assert!(Instant::now() < until, "{after} of {ITEMS} results\n{}", d.logs());
        let path = format!("/v1/lots/batch-{batch}?after={after}");
        let headers = [("X-Wait-Ms", "1000")];
        let response = client::call(&d.gateway_address(0), "GET", &path, &headers, "");
        let Some(response) = response.filter(|response| response.status == 200) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        for result in response.json()["results"].as_array().unwrap() {
            let id = result["id"].as_str().unwrap();
            assert_eq!(result["state"], "completed", "{id}");
            let text = result["event_data"].as_str().unwrap();
            assert!(text == padded_item_text(id, EVENT_PADDING), "the text of {id} differs");
            listed.push(id.to_owned());
            after += 1;
        }
    }
    listed.sort();
    let mut expected = items_of(batch);
    expected.sort();
    assert_eq!(listed, expected);
}

/// Guards against stores that are killed for their memory, one leader after another, because they keep the texts of all results of
/// two minutes in memory and copy their log when they cut it.
#[test]
fn stores_stay_within_their_memory_limit_while_results_exceed_it() {
    let document = routes::document(1, 5000).to_string();
    let d = Deployment::start_sized(3, 1, &document, false, MEMORY_MB);
    let engines: Vec<Upstream> = (0..6)
        .map(|i| Upstream::start(&format!("e-{i}"), "engines", Some(MODEL), d.control_addresses()))
        .collect();
    for engine in &engines {
        engine.behaviour.event_padding.store(EVENT_PADDING, Ordering::Relaxed);
    }
    for batch in 0..BATCHES {
        let id = format!("batch-{batch}");
        let body = routes::submission(&items_of(batch), 1, |_| "g1");
        d.wait_until("the batch is accepted", || {
            let response = d.send(0, "POST", &format!("/batch/{id}"), &id, &body);
            response.is_some_and(|response| response.status == 202)
        });
        check_batch(&d, batch);
    }
    // What has left the memory reads as before.
    check_batch(&d, 0);
    for store in d.stores.iter().flatten() {
        let peak = store.peak_memory();
        assert_eq!(store.exit_code(), None);
        assert!(peak <= MEMORY_MB << 20, "{} MB of {MEMORY_MB} MB\n{}", peak >> 20, store.log());
    }
}
