//! Calls through an entry with fakes of control and upstreams.

mod common;

use std::time::Duration;

use common::{
    TestEnv, UpstreamMode, block_on, booking, breaking_upstream, closed_address, idempotency_key,
    profile, scorer,
};
use compio::time;
use futures_util::future::join_all;
use orioleworks_proto::inner;
use orioleworks_routing::suspects::Admission;
use rstest::rstest;

/// Guards against a call that does not reach an announced upstream, or whose response does not reach the caller.
#[rstest]
fn call_reaches_an_announced_upstream() {
    block_on(async {
        let env = TestEnv::start(vec![profile("lookup", "sheet-app")]).await;
        let upstream = env.upstream("sheet-1", "sheet-app", UpstreamMode::Echo).await;
        let headers = [("x-request-id", "r-1")];
        let response = env.post("/v1/call/lookup", &headers, "cow 7").await;
        assert_eq!((response.status, &*response.body), (200, "sheet-1:cow 7"));
        assert_eq!(response.headers["x-request-id"], "r-1");
        assert_eq!(response.headers["x-upstream"], "sheet-1");
        assert_eq!(upstream.received.borrow().len(), 1);
    });
}

/// Guards against a response without "not run" although no upstream received the request, and against a claim that
/// stays held.
#[rstest]
#[case::idempotent("lookup", "sheet-app")]
#[case::claimed("gate-slot", "booking-portal")]
fn refused_connection_is_not_run(#[case] name: &str, #[case] kind: &str) {
    block_on(async {
        let env = TestEnv::start(vec![profile("lookup", "sheet-app"), booking()]).await;
        env.announce("u-1", kind, &closed_address().await, 1).await;
        let key = idempotency_key("a");
        let headers = [("idempotency-key", &*key)];
        let response = env.post(&format!("/v1/call/{name}"), &headers, "x").await;
        assert_eq!(response.refusal(), ("no_upstream".into(), true));
        assert!(response.headers.contains_key("retry-after"));
        if name == "gate-slot" {
            assert_eq!(env.control.claim_state(&key), Some(inner::ClaimState::Released));
        }
    });
}

/// Guards against treating an upstream's explicit refusal as an unknown outcome, which would make the caller's key
/// unusable for a retry.
#[rstest]
fn refusal_by_the_upstream_releases_the_key() {
    block_on(async {
        let env = TestEnv::start(vec![booking()]).await;
        let upstream = env.upstream("p-1", "booking-portal", UpstreamMode::NotRun).await;
        let key = idempotency_key("a");
        let response = env.book(&key, "slot 4").await;
        assert_eq!(response.refusal(), ("refused_by_upstream".into(), true));
        assert_eq!(env.control.claim_state(&key), Some(inner::ClaimState::Released));
        upstream.announcing.cancel();
        upstream.process.drain.cancel();
        time::sleep(Duration::from_millis(50)).await;
        let second = env.upstream("p-2", "booking-portal", UpstreamMode::Echo).await;
        assert_eq!(env.book(&key, "slot 4").await.status, 200);
        assert_eq!(second.received.borrow().len(), 1);
    });
}

/// Guards against running a non-idempotent request twice, and against reporting a request as not run after it was sent.
#[rstest]
fn broken_non_idempotent_request_is_sent_once() {
    block_on(async {
        let env = TestEnv::start(vec![booking()]).await;
        // A second upstream is available from the start, so that a wrong retry would reach it.
        let (address, requests) = breaking_upstream().await;
        let (spare_address, spare_requests) = breaking_upstream().await;
        env.announce("p-1", "booking-portal", &address, 1).await;
        env.announce("p-3", "booking-portal", &spare_address, 1).await;
        let key = idempotency_key("a");
        let response = env.book(&key, "slot 4").await;
        assert_eq!(response.refusal(), ("outcome_unknown".into(), false));
        let other = env.upstream("p-2", "booking-portal", UpstreamMode::Echo).await;
        let repeat = env.book(&key, "slot 4").await;
        assert_eq!(repeat.refusal(), ("outcome_unknown".into(), false));
        assert_eq!(*requests.borrow() + *spare_requests.borrow(), 1);
        assert!(other.received.borrow().is_empty());
    });
}

/// Guards against a repeat that runs the request again, both during the first call and after it.
#[rstest]
fn repeat_gets_the_stored_answer() {
    block_on(async {
        let env = TestEnv::start(vec![booking()]).await;
        let mode = UpstreamMode::Slow(Duration::from_millis(200));
        let upstream = env.upstream("p-1", "booking-portal", mode).await;
        let key = idempotency_key("a");
        let (first, concurrent) = futures_util::join!(env.book(&key, "slot 4"), async {
            time::sleep(Duration::from_millis(80)).await;
            env.book(&key, "slot 4").await
        });
        assert_eq!((first.status, &*first.body), (200, "p-1:slot 4"));
        assert_eq!(concurrent.refusal(), ("in_progress".into(), false));
        let repeat = env.book(&key, "slot 4").await;
        assert_eq!((repeat.status, &*repeat.body), (200, "p-1:slot 4"));
        assert_eq!(env.book(&key, "slot 5").await.refusal(), ("key_reused".into(), true));
        assert_eq!(upstream.received.borrow().len(), 1);
    });
}

/// Guards against a claim that stays held for ever because its grant arrives after the caller's deadline.
#[rstest]
fn late_grant_is_released() {
    block_on(async {
        let env = TestEnv::start(vec![booking()]).await;
        let upstream = env.upstream("p-1", "booking-portal", UpstreamMode::Echo).await;
        *env.control.reply_delay.borrow_mut() = Duration::from_millis(400);
        let key = idempotency_key("a");
        let headers = [("idempotency-key", &*key), ("x-deadline-ms", "200")];
        let response = env.post("/v1/call/gate-slot", &headers, "slot 4").await;
        assert_eq!(response.refusal(), ("claims_unavailable".into(), true));
        *env.control.reply_delay.borrow_mut() = Duration::ZERO;
        for _ in 0..100 {
            if env.control.claim_state(&key) == Some(inner::ClaimState::Released) {
                break;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(env.control.claim_state(&key), Some(inner::ClaimState::Released));
        assert!(upstream.received.borrow().is_empty());
        assert_eq!(env.book(&key, "slot 4").await.status, 200);
    });
}

/// Guards against failing an idempotent request that another upstream can serve.
#[rstest]
fn idempotent_request_is_retried_elsewhere() {
    block_on(async {
        let env = TestEnv::start(vec![profile("lookup", "sheet-app")]).await;
        let (address, requests) = breaking_upstream().await;
        env.announce("bad", "sheet-app", &address, 1).await;
        env.upstream("good", "sheet-app", UpstreamMode::Echo).await;
        for i in 0..10 {
            let response = env.call("lookup", &format!("cow {i}")).await;
            assert_eq!((response.status, response.body), (200, format!("good:cow {i}")));
        }
        assert!(*requests.borrow() > 0, "the breaking upstream was never tried");
    });
}

/// Guards against returning the response of another request to a caller.
#[rstest]
fn response_with_another_request_id_is_dropped() {
    block_on(async {
        let env = TestEnv::start(vec![profile("lookup", "sheet-app"), booking()]).await;
        env.upstream("crossed", "sheet-app", UpstreamMode::WrongRequestId).await;
        env.upstream("p-crossed", "booking-portal", UpstreamMode::WrongRequestId).await;
        let response = env.call("lookup", "cow 7").await;
        assert_eq!(response.refusal(), ("attempts_exhausted".into(), false));
        let response = env.book(&idempotency_key("a"), "slot").await;
        assert_eq!(response.refusal(), ("outcome_unknown".into(), false));
    });
}

/// Guards against a late response that is returned to the next request on the same connection.
#[rstest]
fn late_answer_is_not_given_to_another_request() {
    block_on(async {
        let env = TestEnv::start(vec![profile("lookup", "sheet-app")]).await;
        env.upstream("slow", "sheet-app", UpstreamMode::Slow(Duration::from_millis(150))).await;
        let headers = [("x-deadline-ms", "60")];
        let response = env.post("/v1/call/lookup", &headers, "first").await;
        assert_eq!(response.refusal(), ("deadline_exceeded".into(), false));
        let responses = join_all((0..5).map(|i| {
            let env = &env;
            async move { (i, env.call("lookup", &format!("cow {i}")).await) }
        }));
        for (i, response) in responses.await {
            assert_eq!((response.status, response.body), (200, format!("slow:cow {i}")));
        }
    });
}

const COMPLETE_STREAM: &str = "data: {\"choices\":[{\"text\":\"a\"}],\"weight_version\":3,\"tokens\":1,\"incarnation\":1}\n\n\
    data: {\"choices\":[{\"text\":\"b\"}],\"weight_version\":3,\"tokens\":1,\"incarnation\":1}\n\n\
    data: {\"choices\":[{\"text\":\"c\"}],\"weight_version\":4,\"tokens\":2,\"incarnation\":1}\n\ndata: [DONE]\n\n";
const STREAM_WITHOUT_END: &str = "data: {\"choices\":[{\"text\":\"a\"}],\"weight_version\":3,\"tokens\":1,\"incarnation\":1}\n\n";
const STREAM_WITHOUT_VERSION: &str =
    "data: {\"choices\":[{\"text\":\"a\"}],\"tokens\":1}\n\ndata: [DONE]\n\n";
const STREAM_WITH_RESTART: &str = "data: {\"choices\":[{\"text\":\"a\"}],\"weight_version\":3,\"tokens\":1,\"incarnation\":1}\n\n\
    data: {\"choices\":[{\"text\":\"b\"}],\"weight_version\":3,\"tokens\":1,\"incarnation\":2}\n\ndata: [DONE]\n\n";

/// Guards against a sample with wrong weight versions, and against a truncated one.
#[rstest]
#[case::complete(COMPLETE_STREAM, true)]
#[case::no_end_marker(STREAM_WITHOUT_END, false)]
#[case::chunk_without_version(STREAM_WITHOUT_VERSION, false)]
#[case::changed_incarnation(STREAM_WITH_RESTART, false)]
fn engine_stream_is_accepted_only_when_complete(
    #[case] stream: &'static str,
    #[case] complete: bool,
) {
    block_on(async {
        let env = TestEnv::start(vec![scorer()]).await;
        env.upstream("e-1", "scorer-llm", UpstreamMode::Stream(stream)).await;
        let response = env.call("scorer", r#"{"prompt": "p", "max_tokens": 4}"#).await;
        if complete {
            let expected = serde_json::json!({"text": "abc",
                "spans": [{"version": 3, "tokens": 2}, {"version": 4, "tokens": 2}]});
            assert_eq!((response.status, response.json()), (200, expected));
        } else {
            assert_eq!(response.refusal(), ("attempts_exhausted".into(), false));
        }
    });
}

/// Guards against more than two upstream crashes by one request that its caller resends, in sequence or concurrently.
#[rstest]
#[case::one_after_another(1)]
#[case::many_at_once(10)]
fn poison_request_crashes_at_most_two_upstreams(#[case] concurrent_calls: usize) {
    block_on(async {
        let env = TestEnv::start(vec![profile("lookup", "sheet-app")]).await;
        let mut upstreams = Vec::new();
        for name in ["s-1", "s-2", "s-3", "s-4", "s-5"] {
            upstreams.push(env.upstream(name, "sheet-app", UpstreamMode::CrashOn("poison")).await);
        }
        let mut last = String::new();
        for round in 0..20 {
            let responses =
                join_all((0..concurrent_calls).map(|_| env.call("lookup", "poison"))).await;
            for response in responses {
                assert_ne!(response.status, 200);
                if concurrent_calls == 1 && round == 0 {
                    // This request ran and crashed both upstreams, so the response must not say that it did not run.
                    assert_eq!(response.refusal(), ("attempts_exhausted".into(), false));
                }
                last = response.refusal().0;
            }
        }
        assert_eq!(upstreams.iter().filter(|u| u.has_crashed()).count(), 2);
        assert_eq!(last, "quarantined");
        // Every entry must know the quarantine within 2 s.
        time::sleep(Duration::from_millis(1500)).await;
        assert_eq!(env.control.config.borrow().quarantined.len(), 1);
        assert_eq!(env.entry.configuration.to_message().quarantined.len(), 1);
        assert_eq!(env.call("lookup", "poison").await.refusal(), ("quarantined".into(), true));
        assert_eq!(env.call("lookup", "cow 7").await.status, 200);
    });
}

/// Guards against suspects from correlated losses: when several upstreams are lost together, as with a lost rack, the
/// requests that were in flight on them are not suspects.
#[rstest]
fn correlated_crashes_are_not_evidence() {
    block_on(async {
        let env = TestEnv::start(vec![profile("lookup", "sheet-app")]).await;
        let slow = || UpstreamMode::Slow(Duration::from_millis(300));
        let first = env.upstream("s-1", "sheet-app", slow()).await;
        let second = env.upstream("s-2", "sheet-app", slow()).await;
        let calls = join_all((0..8).map(|i| {
            let env = &env;
            async move { env.call("lookup", &format!("cow {i}")).await }
        }));
        let kill = async {
            time::sleep(Duration::from_millis(100)).await;
            for upstream in [&first, &second] {
                upstream.process.drain.cancel();
                upstream.process.stop.cancel();
            }
        };
        futures_util::join!(calls, kill);
        // Dismissed crashes are reported as such, so that entries can compare them; none makes a suspect.
        let reports = env.entry.suspects.to_messages();
        assert!(reports.iter().all(|suspect| suspect.dismissed), "{reports:?}");
        for suspect in &reports {
            assert_eq!(env.entry.suspects.admission(&suspect.fingerprint), Admission::Unrestricted);
        }
        env.upstream("s-3", "sheet-app", UpstreamMode::Echo).await;
        assert_eq!(env.call("lookup", "cow 1").await.status, 200);
    });
}
