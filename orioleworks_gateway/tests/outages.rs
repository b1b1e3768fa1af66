//! What the logs tell of a time in which no store leads.

mod support;

use support::{client, deployment::Deployment, routes};

const STORES: usize = 3;

/// Guards against an outage of which the gateways' logs do not tell its kind: they said that no store leads, whether stores were lost,
/// votes were refused or a leader was not usable.
#[test]
fn a_gateway_logs_how_the_stores_see_a_time_without_a_leader() {
    let mut d = Deployment::start(STORES, 1, &routes::document(1, 5000).to_string());
    let voters = format!("voters:{STORES}");
    let read = |d: &Deployment| d.send(0, "GET", "/v1/lots/none", "none", "");
    d.wait_until("a leader is known", || read(&d).is_some_and(|r| r.status == 404));
    d.stores[1..].fill_with(|| None);
    d.wait_until("the gateway reports it", || {
        assert!(read(&d).is_some_and(|r| [404, 503].contains(&r.status)));
        let log = d.gateways[0].as_ref().unwrap().log();
        let mut reports = log.lines().filter(|l| l.contains("event=leader_not_found"));
        reports.any(|l| {
            let own = ["store-0/", &voters, "leader:none", "pre_vote:1+0-2"];
            l.contains("replies=") && own.iter().all(|part| l.contains(part))
        })
    });
    d.wait_until("the store names the silent voters", || {
        let log = d.stores[0].as_ref().unwrap().log();
        let mut reports = log.lines().filter(|l| l.contains("event=leaderless"));
        reports.any(|l| l.contains("granted=store-0") && l.contains("silent=store-1,store-2"))
    });
}

/// Guards against an operator who gets no answer to a configuration that is in force: each repetition waited for a commit of its own, which
/// none comes to without a quorum, or in time where syncs take a second.
#[test]
fn a_configuration_in_force_is_acknowledged_again_without_a_commit() {
    let document = routes::document(1, 5000).to_string();
    let mut d = Deployment::start(STORES, 1, &document);
    d.wait_until("a leader is known", || {
        d.send(0, "GET", "/v1/lots/none", "none", "").is_some_and(|r| r.status == 404)
    });
    d.stores[1..].fill_with(|| None);
    let put = |document: &str| {
        let headers = [("Content-Type", "application/json")];
        let path = "/v1/Configuration.Replace";
        client::call(&d.control_address(0), "POST", path, &headers, document).map(|r| r.status)
    };
    d.wait_until("no store leads", || put(&routes::document(2, 5000).to_string()) == Some(503));
    assert_eq!(put(&document), Some(200));
}
