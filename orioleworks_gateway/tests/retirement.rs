//! Retirement of a store, followed by the loss of another one.

mod support;

use std::{
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use support::{client, deployment::Deployment, routes};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("item-{i}")).collect()
}

/// State of the retirement of a store, from the first store that tells; `None` if none does.
fn retirement(d: &Deployment, store: usize) -> Option<String> {
    let path = format!("/v1/Retire.Read/store-{store}");
    let stores = (0..d.stores.len()).filter(|i| d.stores[*i].is_some());
    let mut responses =
        stores.filter_map(|i| client::call(&d.control_address(i), "GET", &path, &[], ""));
    let response = responses.find(|response| response.status == 200)?;
    response.json()["state"].as_str().map(str::to_owned)
}

/// Guards against accepted batches that are lost because a retired store was removed before its successor voted: of the two voters
/// that were left, one lost its disk.
#[test]
fn accepted_work_survives_a_lost_disk_right_after_a_retirement() {
    let mut d = Deployment::start(4, 1, &routes::document(1, 2000).to_string());
    let is_learner = |d: &Deployment| {
        d.stores[..3].iter().flatten().any(|store| store.log().contains("store-3/"))
    };
    d.wait_until("the fourth store has joined", || is_learner(&d));
    let body = routes::submission(&names(3), 1, |_| "g1");
    d.wait_until("the batch is accepted", || {
        d.send(0, "POST", "/batch/kept", "kept", &body).is_some_and(|a| a.status == 202)
    });
    let retired = d.leader().unwrap();
    let (path, order) = (format!("/v1/Retire.Begin/store-{retired}"), r#"{"duration_s": 10}"#);
    d.wait_until("the retirement is accepted", || {
        client::call(&d.control_address(retired), "POST", &path, &[], order)
            .is_some_and(|a| a.status == 200)
    });
    let until = Instant::now() + Duration::from_secs(20);
    while retirement(&d, retired).as_deref() != Some("completed") {
        assert!(Instant::now() < until, "the retirement is not complete\n{}", d.logs());
        thread::sleep(Duration::from_millis(5));
    }
    // The platform removes the retired store; another one loses its disk at the same moment.
    let wiped = (retired + 1) % 3;
    for i in [retired, wiped] {
        d.stores[i].as_ref().unwrap().signal(Signal::SIGKILL);
    }
    d.stores[retired] = None;
    d.stores[wiped] = None;
    d.wipe_store(wiped);
    d.start_store(wiped, false);
    d.wait_until("the batch can be read", || {
        let headers = [("X-Wait-Ms", "0")];
        let read =
            client::call(&d.gateway_address(0), "GET", "/v1/lots/kept?after=0", &headers, "");
        read.is_some_and(|read| read.status == 200 && read.json()["total"] == 3)
    });
    for item in names(3) {
        let path = format!("/v1/items/kept?id={item}");
        d.wait_until("the body of an item can be read", || {
            client::call(&d.gateway_address(0), "GET", &path, &[], "")
                .is_some_and(|read| read.status == 200 && read.body == format!("body of {item}"))
        });
    }
}
