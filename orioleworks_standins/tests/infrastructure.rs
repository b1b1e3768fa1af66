//! The stand-in of the infrastructure API misbehaves as demanded, and its check finds what must never occur.

mod common;

use std::{rc::Rc, time::Duration};

use common::{TIMEOUT, get, post, run};
use orioleworks_daemon::{http, shutdown::Shutdown};
use orioleworks_platform::infrastructure::{DecodedUsage, HOLDER_HEADER, TOKEN_HEADER, USAGE_PATH};
use orioleworks_standins::{
    client::{Client, ClientError},
    infrastructure::{self, Call, Infrastructure, Modes, Violation, violations},
};
use rstest::rstest;
use serde_json::json;

const LEASE: Duration = Duration::from_millis(3000);
const SHORT: Duration = Duration::from_millis(300);

async fn start(modes: Modes) -> (Rc<Infrastructure>, String) {
    let infrastructure = Infrastructure::new(modes);
    let listener = http::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let serving = infrastructure::serve(infrastructure.clone(), listener, Shutdown::default());
    compio::runtime::spawn(serving).detach();
    (infrastructure, address)
}

/// Reports window 7 and returns the status; `None` for a call without a response.
async fn report(address: &str, token: &str, count: u64, timeout: Duration) -> Option<u16> {
    let usage = DecodedUsage { window: 7, counts: [("t1".to_owned(), count)].into() };
    let body = serde_json::to_vec(&usage).expect("JSON");
    let headers = [(HOLDER_HEADER, "store-1"), (TOKEN_HEADER, token)];
    let (client, method) = (Client::new().expect("client"), ::http::Method::POST);
    let url = format!("http://{address}{USAGE_PATH}");
    match client.send(method, &url, &headers, body, timeout).await {
        Ok(response) => Some(response.status),
        Err(ClientError::Timeout) => None,
        Err(e) => panic!("{e}"),
    }
}

fn call(arrived_ms: u64, holder: &str, token: u64, count: u64) -> Call {
    let counts = [("t1".to_owned(), count)].into();
    let (holder, status) = (holder.to_owned(), Some(200));
    Call { arrived_ms, holder, token, window: 7, counts, status, ..Call::default() }
}

/// Guards against a check that overlooks a violation, or that finds one in a correct order of calls.
#[rstest]
#[case::repeats(vec![call(0, "a", 1, 5), call(9, "a", 1, 5), call(3500, "b", 2, 5)], vec![])]
#[case::other_counts(
    vec![call(0, "a", 1, 5), call(9, "a", 1, 6)],
    vec![Violation::DifferentReports(7)]
)]
#[case::falling_token(
    vec![call(0, "a", 2, 5), call(9, "b", 1, 5)],
    vec![Violation::FallingToken(1)]
)]
#[case::shared_token(
    vec![call(0, "a", 2, 5), call(9, "b", 2, 5)],
    vec![Violation::SharedToken(2)]
)]
#[case::return_within_the_lease(
    vec![call(0, "a", 1, 5), call(9, "b", 2, 5), call(2900, "a", 3, 5)],
    vec![Violation::ReturningHolder("a".into())]
)]
#[case::return_after_the_lease(
    vec![call(0, "a", 1, 5), call(9, "b", 2, 5), call(3001, "a", 3, 5)],
    vec![]
)]
fn violations_are_found(#[case] calls: Vec<Call>, #[case] expected: Vec<Violation>) {
    assert_eq!(violations(&calls, LEASE, |_| false), expected);
}

/// Guards against false alarms on calls of a resumed holder, and against an exemption that covers different counts.
#[test]
fn an_exempt_call_is_left_out_of_the_order_only() {
    let calls = [call(0, "b", 2, 5), call(9, "a", 1, 6), call(18, "b", 2, 5)];
    let found = violations(&calls, LEASE, |call| call.holder == "a");
    assert_eq!(found, [Violation::DifferentReports(7)]);
}

/// Guards against a refused call that is taken for an accepted report, which would hide or invent different reports.
#[test]
fn tokens_and_rates_are_refused_where_they_are_checked() {
    run(async {
        let (api, address) = start(Modes { checks_tokens: true, ..Modes::default() }).await;
        assert_eq!(report(&address, "2", 5, TIMEOUT).await, Some(200));
        assert_eq!(report(&address, "1", 6, TIMEOUT).await, Some(409));
        api.set_modes(Modes { calls_per_second: 2, ..Modes::default() });
        assert_eq!(report(&address, "2", 6, TIMEOUT).await, Some(429));
        let calls = api.calls();
        let statuses: Vec<_> = calls.iter().filter_map(|call| call.status).collect();
        assert_eq!(statuses, [200, 409, 429]);
        assert_eq!(violations(&calls, LEASE, |_| false), [Violation::FallingToken(1)]);
    });
}

/// Guards against a silent call that is not executed, as if its report could be sent with other counts.
#[test]
fn calls_without_a_response_are_executed_late() {
    run(async {
        let modes = json!({"late_calls": 1, "late_by_ms": 600});
        let (api, address) = start(Modes::default()).await;
        assert_eq!(post(&address, "/modes", modes).await.status, 200);
        assert_eq!(report(&address, "1", 5, SHORT).await, None);
        assert_eq!(api.calls()[0].status, None);
        assert_eq!(report(&address, "1", 6, TIMEOUT).await, Some(200));
        api.set_modes(Modes { silent: true, ..Modes::default() });
        assert_eq!(report(&address, "1", 6, SHORT).await, None);
        compio::time::sleep(2 * SHORT).await;
        let calls: Vec<Call> = get(&address, "/calls").await.json().expect("calls");
        assert!(calls.iter().all(|call| call.status == Some(200)), "{calls:?}");
        assert!(calls[0].executed_ms > calls[1].executed_ms, "{calls:?}");
        let found = violations(&calls, LEASE, |_| false);
        assert!(found.contains(&Violation::DifferentReports(7)), "{found:?}");
    });
}

/// Guards against a slow or unreachable API that responds at once, so that time-outs of the daemon are never exercised.
#[test]
fn slow_calls_take_their_time_and_none_arrives_while_it_is_down() {
    run(async {
        let (api, address) = start(Modes { delay_ms: 400, ..Modes::default() }).await;
        assert_eq!(report(&address, "1", 5, TIMEOUT).await, Some(200));
        let slow = api.calls().remove(0);
        assert!(slow.executed_ms.is_some_and(|at| at >= slow.arrived_ms + 400), "{slow:?}");
        api.set_modes(Modes { down: true, ..Modes::default() });
        assert_eq!(report(&address, "1", 5, SHORT).await, None);
        assert_eq!(api.calls().len(), 1);
    });
}
