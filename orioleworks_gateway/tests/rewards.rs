//! Tests of items whose complete text is scored by a reward call before they are listed.

mod support;

use std::{
    collections::BTreeMap,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use rstest::rstest;
use support::{
    deployment::Deployment,
    routes::{self, BATCH, MODEL, SCORE, reward_call_id},
    upstream::{Upstream, item_text, signature},
};

/// Time for news of an ended batch to reach the store that leads, and for requests on their way.
const END_TIME: Duration = Duration::from_millis(500);

struct Fleet {
    engines: Vec<Upstream>,
    scorers: Vec<Upstream>,
}

fn start_fleet(d: &Deployment, scorers: usize) -> Fleet {
    let start =
        |id: String, service, model| Upstream::start(&id, service, model, d.control_addresses());
    let fleet = Fleet {
        engines: (0..2).map(|i| start(format!("e-{i}"), "engines", Some(MODEL))).collect(),
        scorers: (0..scorers).map(|i| start(format!("s-{i}"), "sheets", None)).collect(),
    };
    let known = |up: &Upstream| {
        d.stores.iter().flatten().any(|s| s.log().contains(&format!("upstream={} ", up.id)))
    };
    d.wait_until("the upstreams are known", || {
        fleet.engines.iter().chain(&fleet.scorers).all(known)
    });
    fleet
}

impl Fleet {
    /// Runs of a reward call at all upstreams.
    fn calls(&self, item: &str) -> usize {
        self.scorers.iter().map(|up| up.runs(&reward_call_id(item)).len()).sum()
    }

    fn all_called(&self, items: &[String]) -> bool {
        items.iter().all(|item| self.calls(item) > 0)
    }

    fn silence(&self, silent: bool) {
        self.scorers.iter().for_each(|up| up.behaviour.silent.store(silent, Ordering::Relaxed));
    }

    fn generated_once(&self, item: &str) -> bool {
        self.engines.iter().map(|up| up.runs(item).len()).sum::<usize>() == 1
    }
}

fn item_ids(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("item-{i}")).collect()
}

fn submit(d: &Deployment, id: &str, items: &[String]) {
    submit_body(d, id, &routes::scored_submission(items).to_string());
}

fn submit_body(d: &Deployment, id: &str, body: &str) {
    d.wait_until("the batch is accepted", || {
        d.send(0, "POST", &format!("/batch/{id}"), id, body).is_some_and(|a| a.status == 202)
    });
}

/// Submits batch `b` and waits until all its texts are complete and their calls wait for a response.
fn submit_unanswered(d: &Deployment, fleet: &Fleet, count: usize) -> Vec<String> {
    let items = item_ids(count);
    fleet.silence(true);
    submit(d, "b", &items);
    d.wait_until("all texts are complete and called for", || fleet.all_called(&items));
    items
}

/// Results of a batch by item.
fn results(d: &Deployment, id: &str) -> BTreeMap<String, serde_json::Value> {
    let response = d.send(0, "GET", &format!("/v1/lots/{id}?after=0"), "read", "");
    let listed = response.and_then(|r| r.json()["results"].as_array().cloned()).unwrap_or_default();
    listed.into_iter().map(|r| (r["id"].as_str().unwrap().to_owned(), r)).collect()
}

/// Waits for all results and checks that each is complete, with the signature of its own call.
fn check_completed(d: &Deployment, id: &str, items: &[String]) {
    d.wait_until("the batch completes", || results(d, id).len() == items.len());
    for (item, result) in results(d, id) {
        assert_eq!(result["state"], "completed", "{result}\n{}", d.logs());
        assert_eq!(result["event_data"], item_text(&item), "{result}");
        assert_eq!(result["score"], signature(&reward_call_id(&item)), "{result}");
    }
}

fn document(change: impl Fn(&mut serde_json::Value)) -> String {
    let mut document = routes::document(1, 2000);
    change(&mut document);
    document.to_string()
}

/// Guards against results without a score, and against calls made before the text they score is complete.
#[test]
fn a_result_has_the_score_of_a_call_made_after_its_text() {
    let d = Deployment::start(3, 1, &document(|_| ()));
    let fleet = start_fleet(&d, 2);
    let items = item_ids(20);
    submit(&d, "b", &items);
    check_completed(&d, "b", &items);
    for item in &items {
        let completed = fleet.engines.iter().filter_map(|up| up.completion(item)).min().unwrap();
        let id = reward_call_id(item);
        let first_call = fleet.scorers.iter().flat_map(|up| up.starts(&id)).min().unwrap();
        assert!(first_call > completed, "{item} was scored before its text was complete");
    }
}

/// Guards against a text that is generated again because its leader was lost, and against a call that is forgotten.
#[rstest]
#[case::killed(Signal::SIGKILL)]
#[case::stopped(Signal::SIGTERM)]
fn a_call_is_made_again_after_the_loss_of_the_leader(#[case] signal: Signal) {
    let mut d = Deployment::start(3, 1, &document(|_| ()));
    let fleet = start_fleet(&d, 2);
    let items = submit_unanswered(&d, &fleet, 8);
    assert!(results(&d, "b").is_empty(), "nothing is listed without a score");
    let leader = d.leader().unwrap();
    d.stores[leader].as_ref().unwrap().signal(signal);
    d.wait_until("the leader ends", || d.stores[leader].as_ref().unwrap().exit_code().is_some());
    d.stores[leader] = None;
    fleet.silence(false);
    check_completed(&d, "b", &items);
    assert!(items.iter().all(|item| fleet.generated_once(item)), "a text was generated again");
    d.start_store(leader, false);
}

/// Guards against texts and debts that are lost with all processes.
#[test]
fn a_call_is_made_after_a_crash_of_all_processes() {
    let mut d = Deployment::start(3, 1, &document(|_| ()));
    let fleet = start_fleet(&d, 2);
    let items = submit_unanswered(&d, &fleet, 8);
    d.stores.iter_mut().for_each(|store| *store = None);
    d.gateways[0] = None;
    fleet.silence(false);
    (0..3).for_each(|i| d.start_store(i, false));
    d.start_gateway(0);
    check_completed(&d, "b", &items);
    assert!(items.iter().all(|item| fleet.generated_once(item)), "a text was generated again");
}

/// Guards against calls that fail for ever, against giving an item up too early, and against holding up others.
#[test]
fn a_call_that_always_fails_ends_its_item_alone() {
    const ATTEMPTS: u64 = 5;
    let d = Deployment::start(
        3,
        1,
        &document(|routes| routes["routes"][BATCH]["max_attempts"] = ATTEMPTS.into()),
    );
    let fleet = start_fleet(&d, 3);
    for up in &fleet.scorers {
        *up.behaviour.fail_path.lock().unwrap() = "/score/item-3".into();
    }
    let items = item_ids(8);
    submit(&d, "b", &items);
    d.wait_until("the batch completes", || results(&d, "b").len() == items.len());
    for (item, result) in results(&d, "b") {
        if item == "item-3" {
            assert_eq!(result["state"], "dead", "{result}");
            assert_eq!(fleet.calls(&item) as u64, ATTEMPTS);
            assert!(result.get("score").is_none(), "{result}");
        } else {
            assert_eq!(result["score"], signature(&reward_call_id(&item)), "{result}");
        }
    }
    assert!(items.iter().all(|item| fleet.generated_once(item)), "a text was generated again");
}

/// Guards against scores of responses that broke off or were refused, and against counting these as failures of the call.
#[test]
fn a_call_without_a_whole_response_is_repeated_and_does_not_count() {
    let d = Deployment::start(3, 1, &document(|_| ()));
    let fleet = start_fleet(&d, 2);
    fleet.scorers[0].behaviour.breaks_responses.store(12, Ordering::Relaxed);
    fleet.scorers[1].behaviour.refuses.store(true, Ordering::Relaxed);
    let items = item_ids(4);
    submit(&d, "b", &items);
    d.wait_until("calls were repeated", || items.iter().any(|item| fleet.calls(item) > 3));
    fleet.scorers[1].behaviour.refuses.store(false, Ordering::Relaxed);
    check_completed(&d, "b", &items);
    assert!(items.iter().all(|item| fleet.generated_once(item)), "a text was generated again");
}

/// Guards against calls that spread over all groups while they are held up, so that no group completes before the last call.
#[test]
fn calls_that_were_held_up_complete_one_group_after_another() {
    const GROUPS: usize = 4;
    const SIZE: usize = 4;
    /// Calls that the scorer, with 8 slots, runs at the same time; they may be listed in any order.
    const PARALLEL: usize = 5;
    let d = Deployment::start(3, 1, &document(|_| ()));
    let fleet = start_fleet(&d, 0);
    let items = item_ids(GROUPS * SIZE);
    let mut submission = routes::scored_submission(&items);
    for (at, item) in submission["items"].as_array_mut().unwrap().iter_mut().enumerate() {
        item["group"] = format!("group-{}", at % GROUPS).into();
    }
    submit_body(&d, "b", &submission.to_string());
    let completed = |item: &String| fleet.engines.iter().any(|up| up.completion(item).is_some());
    d.wait_until("all texts are complete", || items.iter().all(completed));
    thread::sleep(END_TIME);
    let scorer = Upstream::start("s-0", "sheets", None, d.control_addresses());
    scorer.behaviour.delay_ms.store(100, Ordering::Relaxed);
    check_completed(&d, "b", &items);
    let json = d.send(0, "GET", "/v1/lots/b?after=0", "read", "").unwrap().json();
    let group_of = |result: &serde_json::Value| {
        items.iter().position(|item| result["id"] == item.as_str()).unwrap() % GROUPS
    };
    let groups: Vec<usize> = json["results"].as_array().unwrap().iter().map(group_of).collect();
    let end_of = |group| groups.iter().rposition(|g| *g == group).unwrap() + 1;
    let mut ends: Vec<usize> = (0..GROUPS).map(end_of).collect();
    ends.sort_unstable();
    for (n, end) in ends.iter().enumerate() {
        let after_parallel_ones = ((n + 1) * SIZE).next_multiple_of(PARALLEL);
        assert!(*end <= after_parallel_ones, "{ends:?} {groups:?}\n{}", d.logs());
    }
}

/// Guards against the score of another item: a service sends answers a second time, on connections that are in use again.
#[test]
fn a_late_copy_of_an_answer_scores_no_other_item() {
    const COPIES: u64 = 10;
    let d = Deployment::start(3, 1, &document(|_| ()));
    let fleet = start_fleet(&d, 2);
    for up in &fleet.scorers {
        up.behaviour.late_copies.store(COPIES, Ordering::Relaxed);
    }
    let items = item_ids(60);
    submit(&d, "b", &items);
    check_completed(&d, "b", &items);
    let left = |up: &Upstream| up.behaviour.late_copies.load(Ordering::Relaxed);
    assert!(fleet.scorers.iter().map(left).sum::<u64>() < 2 * COPIES, "no copy was sent");
}

/// Guards against a burst that waits for the timeout of upstreams that do not respond.
#[test]
fn a_silent_upstream_does_not_hold_up_a_burst() {
    const LONGEST: Duration = Duration::from_millis(2500);
    let d = Deployment::start(3, 1, &document(|_| ()));
    let fleet = start_fleet(&d, 3);
    fleet.scorers[0].behaviour.silent.store(true, Ordering::Relaxed);
    let items = item_ids(24);
    let started = Instant::now();
    submit(&d, "b", &items);
    check_completed(&d, "b", &items);
    // A text takes 0.3 s, an upstream that does not respond is given up after the 3 s of the route.
    assert!(started.elapsed() < LONGEST, "took {:?}\n{}", started.elapsed(), d.logs());
}

/// Guards against calls through a route that is no longer in force, and against an item without a stated fate.
#[test]
fn a_call_waits_for_its_route() {
    let d = Deployment::start(3, 1, &document(|_| ()));
    let fleet = start_fleet(&d, 2);
    let items = submit_unanswered(&d, &fleet, 4);
    let mut withdrawn = routes::document(2, 2000);
    withdrawn["routes"].as_array_mut().unwrap().remove(SCORE);
    assert_eq!(d.put_document(&withdrawn.to_string()), 200);
    d.wait_until("a call without a route is logged", || {
        d.stores.iter().flatten().any(|s| s.log().contains("reward_call_without_route"))
    });
    let calls: usize = items.iter().map(|item| fleet.calls(item)).sum();
    fleet.silence(false);
    thread::sleep(END_TIME);
    assert_eq!(items.iter().map(|item| fleet.calls(item)).sum::<usize>(), calls);
    assert!(results(&d, "b").is_empty());
    assert_eq!(d.put_document(&routes::document(3, 2000).to_string()), 200);
    check_completed(&d, "b", &items);
}

/// Guards against calls of a batch that its trainer has ended, and against generating its texts again for a later batch.
#[test]
fn no_call_is_made_after_the_end_of_its_batch() {
    let d = Deployment::start(3, 1, &document(|_| ()));
    let fleet = start_fleet(&d, 2);
    let items = submit_unanswered(&d, &fleet, 6);
    assert_eq!(d.send(0, "DELETE", "/v1/lots/b", "end", "").unwrap().status, 200);
    thread::sleep(END_TIME);
    let calls: usize = items.iter().map(|item| fleet.calls(item)).sum();
    fleet.silence(false);
    thread::sleep(2 * END_TIME);
    assert_eq!(items.iter().map(|item| fleet.calls(item)).sum::<usize>(), calls);
    submit(&d, "later", &items);
    check_completed(&d, "later", &items);
    assert!(items.iter().all(|item| fleet.generated_once(item)), "a text was generated again");
}

/// Guards against accepting a batch whose calls could never be made, and against a refusal that does not tell which.
#[rstest]
#[case::without_id("id", "", 400)]
#[case::relative_path("path", "score", 400)]
#[case::invalid_path("path", "/score/a b", 400)]
#[case::not_base64("body", "?", 400)]
#[case::without_host("host", "", 400)]
#[case::unknown_host("host", "other.example", 503)]
#[case::unknown_path("path", "/other/a", 503)]
fn a_malformed_scorer_is_refused_as_not_run(
    #[case] field: &str,
    #[case] value: &str,
    #[case] status: u16,
) {
    let d = Deployment::start(3, 1, &document(|_| ()));
    let fleet = start_fleet(&d, 1);
    let items = item_ids(3);
    let mut body = routes::scored_submission(&items);
    body["items"][1]["scorer"][field] = value.into();
    let refused = d.send(0, "POST", "/batch/b", "b", &body.to_string()).unwrap();
    assert_eq!(refused.status, status, "{}", refused.body);
    assert!(refused.body.contains("item-1"), "{}", refused.body);
    assert!(status == 400 || refused.head.contains("retry-after"), "{}", refused.head);
    thread::sleep(END_TIME);
    assert!(fleet.engines.iter().all(|up| up.total_runs() == 0), "a refused batch ran");
    assert_eq!(d.send(0, "GET", "/v1/lots/b?after=0", "read", "").unwrap().status, 404);
}

/// Guards against callers whose requests wait behind a burst of calls to the same service.
#[test]
fn callers_are_served_during_a_burst() {
    const OBJECTIVE: Duration = Duration::from_millis(150);
    let d = Deployment::start(3, 1, &document(|_| ()));
    let fleet = start_fleet(&d, 2);
    let items = item_ids(60);
    submit(&d, "b", &items);
    d.wait_until("calls are made", || items.iter().any(|item| fleet.calls(item) > 0));
    let mut late = Vec::new();
    for n in 0..40 {
        let started = Instant::now();
        let response = d.send(0, "GET", "/lookup/a", &format!("lookup-{n}"), "");
        assert_eq!(response.map(|r| r.status), Some(200));
        late.extend(Some(started.elapsed()).filter(|took| *took > OBJECTIVE));
        thread::sleep(Duration::from_millis(10));
    }
    assert!(late.is_empty(), "{late:?} of 40 lookups\n{}", d.logs());
    check_completed(&d, "b", &items);
}
