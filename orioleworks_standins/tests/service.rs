//! The records of the stand-in service and the checks of the load generator reveal double runs and wrong responses.

mod common;

use std::{collections::HashMap, time::Duration};

use common::{TIMEOUT, post, run_records, start_service};
use orioleworks_daemon::{
    http::{self, Response},
    shutdown::Shutdown,
};
use orioleworks_proto::codes::ResultCode;
use orioleworks_standins::{
    client::Client,
    load::{self, LoadConfig, MixItem},
    load_report::{CallerView, Content, LoadReport, check_completion, reconcile},
    provenance::{nonce, sample_tokens, token},
    service::{Run, RunRecords, ServiceConfig},
};
use rstest::rstest;
use serde_json::json;

/// Starts an entry that forwards calls to a service, each call with an idempotency key `runs` times. With `denies`, it
/// then reports that the call was not run.
async fn start_entry(service: String, runs: usize, denies: bool) -> String {
    let listener = http::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let handler = move |req: http::Request| {
        let service = service.clone();
        async move { forward(&service, req, runs, denies).await }
    };
    let limits = http::Limits::default();
    compio::runtime::spawn(http::serve(listener, limits, Shutdown::default(), handler)).detach();
    address
}

async fn forward(service: &str, req: http::Request, runs: usize, denies: bool) -> Response {
    let keyed = req.headers().contains_key("idempotency-key");
    let body = http::read_body(req.into_body(), &http::Limits::default()).await.expect("body");
    let (client, url) = (Client::new().expect("client"), format!("http://{service}/call"));
    let mut last = None;
    for _ in 0..if keyed { runs } else { 1 } {
        let method = ::http::Method::POST;
        last = client.send(method, &url, &[], body.clone(), TIMEOUT).await.ok();
    }
    match last {
        Some(_) if denies => http::error(ResultCode::NoUpstream, "", 0),
        Some(response) => http::full_response(response.status, "application/json", response.body),
        None => http::error(ResultCode::OutcomeUnknown, "", 0),
    }
}

fn load(entry: String, service: String, mix: &str) -> LoadConfig {
    LoadConfig {
        entries: vec![entry],
        services: vec![service],
        mix: vec![mix.parse::<MixItem>().expect("mix")],
        rate: 100.0,
        duration: Duration::from_millis(300),
        repeats: 0.0,
        seed: 3,
    }
}

/// Guards against a service that loses records of runs or counts refused requests as runs.
#[test]
fn every_run_is_recorded() {
    common::run(async {
        let (_, address) = start_service(ServiceConfig::default()).await;
        post(&address, "/call", json!({"id": 1})).await;
        post(&address, "/call", json!({"id": 1})).await;
        post(&address, "/fault", json!({"refuse": 1})).await;
        let refused = post(&address, "/call", json!({"id": 2})).await;
        assert_eq!(refused.status, 503);
        assert_eq!(refused.headers["x-not-run"], "true");
        let records = run_records(&address).await;
        assert_eq!((records.runs.len(), records.refused.len()), (2, 1));
        assert_eq!(records.runs[0].content, records.runs[1].content);
    });
}

/// Guards against an incomplete response that is read as a complete one.
#[test]
fn a_cut_response_is_an_error() {
    common::run(async {
        let (_, address) = start_service(ServiceConfig::default()).await;
        post(&address, "/fault", json!({"cut_answers": 1})).await;
        let client = Client::new().expect("client");
        let url = format!("http://{address}/call");
        assert!(client.post(&url, &json!({"id": 1}), TIMEOUT).await.is_err());
        assert_eq!(run_records(&address).await.runs.len(), 1);
    });
}

/// Guards against a load generator that accepts the response to another request.
#[test]
fn crossed_responses_are_found() {
    common::run(async {
        let (_, service) = start_service(ServiceConfig::default()).await;
        let entry = start_entry(service.clone(), 1, false).await;
        let cfg = load(entry, service.clone(), "quality-lookup:lookup:1");
        let report = load::run(&cfg).await.expect("report");
        assert!(report.requests > 5);
        assert_eq!((report.crossed, report.whole), (0, report.requests));
        post(&service, "/fault", json!({"cross": 2})).await;
        let report = load::run(&LoadConfig { seed: 4, ..cfg }).await.expect("report");
        assert_eq!((report.crossed, report.whole), (2, report.requests - 2));
        assert_eq!(report.latency["lookup"].count, report.requests);
    });
}

/// Guards against a report without double runs, or without runs of calls that were reported as "not run".
#[rstest]
#[case::sound(1, false, false, false)]
#[case::ran_twice(2, false, true, false)]
#[case::denied(1, true, false, true)]
fn runs_are_compared_with_responses(
    #[case] runs: usize,
    #[case] denies: bool,
    #[case] doubles: bool,
    #[case] contradicts: bool,
) {
    common::run(async {
        let (_, service) = start_service(ServiceConfig::default()).await;
        let entry = start_entry(service.clone(), runs, denies).await;
        let cfg = load(entry, service, "gate-slot:booking:1:once");
        let report = load::run(&cfg).await.expect("report");
        let all_if = |condition| if condition { report.requests } else { 0 };
        assert!(report.requests > 5);
        assert_eq!(report.double_runs, all_if(doubles));
        assert_eq!(report.not_run_ran, all_if(contradicts));
    });
}

/// Guards against a false alarm for a repeat that is reported as "not run" after the first request ran.
#[test]
fn a_refused_repeat_of_a_run_is_sound() {
    let run = Run { content: "c".into(), request_id: String::new(), idempotency_key: "k".into() };
    let seen = CallerView { once: true, responses: 2, not_run: 1, first_success: None };
    let mut report = LoadReport::default();
    let records = RunRecords { runs: vec![run], ..RunRecords::default() };
    reconcile(&mut report, &HashMap::from([("c".to_owned(), seen)]), &[records]);
    assert_eq!((report.runs, report.double_runs, report.not_run_ran), (1, 0, 0));
}

/// Guards against a check that accepts completions of another prompt, cut ones, or spans that contradict the text.
#[test]
fn completions_are_checked_by_their_text() {
    let (request_nonce, seed) = (nonce("r"), 3);
    let tokens = sample_tokens("p", seed, request_nonce, 8);
    let text: String = (0..tokens).map(|i| token("p", seed, request_nonce, i, 2)).collect();
    let check = |prompt: &str, text: &str, version: u64| {
        let sent = json!({"prompt": prompt, "max_tokens": 8}).to_string();
        let spans = json!([{"version": version, "tokens": tokens}]);
        let response = json!({"text": text, "spans": spans}).to_string();
        check_completion(sent.as_bytes(), response.as_bytes(), seed)
    };
    assert_eq!(check("p", &text, 2), Content::Complete);
    assert_eq!(check("p", &text, 3), Content::Mislabelled);
    assert_eq!(check("q", &text, 2), Content::Crossed);
    assert_eq!(check("p", &text[24..], 2), Content::Crossed);
    assert_eq!(check("p", &text[..text.len() - 24], 2), Content::Broken);
}

/// Guards against a malformed mix that is accepted.
#[rstest]
#[case("gate-slot:booking:1:twice")]
#[case("gate-slot:booking")]
#[case("gate-slot:booking:0")]
fn bad_mixes_are_refused(#[case] text: &str) {
    assert!(text.parse::<MixItem>().is_err());
}
