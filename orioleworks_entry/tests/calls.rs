//! Calls through an entry with fakes of control and upstreams.

mod common;

use std::time::Duration;

use common::{
    Mode, World, block_on, booking, breaking_upstream, closed_address, key, profile, scorer,
};
use compio::time;
use futures_util::future::join_all;
use orioleworks_proto::inner;
use orioleworks_routing::suspects::Standing;
use rstest::rstest;

/// Guards against a call that does not reach an announced upstream, or whose response does not reach the caller.
#[rstest]
fn call_reaches_an_announced_upstream() {
    block_on(async {
        let world = World::start(vec![profile("lookup", "sheet-app")]).await;
        let upstream = world.upstream("sheet-1", "sheet-app", Mode::Echo).await;
        let headers = [("x-request-id", "r-1")];
        let answer = world.post("/v1/call/lookup", &headers, "cow 7").await;
        assert_eq!((answer.status, &*answer.body), (200, "sheet-1:cow 7"));
        assert_eq!(answer.headers["x-request-id"], "r-1");
        assert_eq!(answer.headers["x-upstream"], "sheet-1");
        assert_eq!(upstream.seen.borrow().len(), 1);
    });
}

/// Guards against a missing "not run" in the response although no upstream was connected, and against a claim that
/// stays held.
#[rstest]
#[case::idempotent("lookup", "sheet-app")]
#[case::claimed("gate-slot", "booking-portal")]
fn refused_connection_is_not_run(#[case] name: &str, #[case] kind: &str) {
    block_on(async {
        let world = World::start(vec![profile("lookup", "sheet-app"), booking()]).await;
        world.announce("u-1", kind, &closed_address().await, 1).await;
        let key = key("a");
        let headers = [("idempotency-key", &*key)];
        let answer = world.post(&format!("/v1/call/{name}"), &headers, "x").await;
        assert_eq!(answer.refusal(), ("no_upstream".into(), true));
        assert!(answer.headers.contains_key("retry-after"));
        if name == "gate-slot" {
            assert_eq!(world.control.claim_state(&key), Some(inner::ClaimState::Released));
        }
    });
}

/// Guards against treating an upstream's explicit refusal as an unknown outcome, which would make the caller's key
/// unusable for a retry.
#[rstest]
fn refusal_by_the_upstream_releases_the_key() {
    block_on(async {
        let world = World::start(vec![booking()]).await;
        let upstream = world.upstream("p-1", "booking-portal", Mode::NotRun).await;
        let key = key("a");
        let answer = world.book(&key, "slot 4").await;
        assert_eq!(answer.refusal(), ("refused_by_upstream".into(), true));
        assert_eq!(world.control.claim_state(&key), Some(inner::ClaimState::Released));
        upstream.announcing.cancel();
        upstream.process.drain.cancel();
        time::sleep(Duration::from_millis(50)).await;
        let second = world.upstream("p-2", "booking-portal", Mode::Echo).await;
        assert_eq!(world.book(&key, "slot 4").await.status, 200);
        assert_eq!(second.seen.borrow().len(), 1);
    });
}

/// Guards against running a non-idempotent request twice, and against reporting a request as not run after it was sent.
#[rstest]
fn broken_non_idempotent_request_is_sent_once() {
    block_on(async {
        let world = World::start(vec![booking()]).await;
        // A second upstream is available from the start, so that a wrong retry would reach it.
        let (address, requests) = breaking_upstream().await;
        let (spare_address, spare_requests) = breaking_upstream().await;
        world.announce("p-1", "booking-portal", &address, 1).await;
        world.announce("p-3", "booking-portal", &spare_address, 1).await;
        let key = key("a");
        let answer = world.book(&key, "slot 4").await;
        assert_eq!(answer.refusal(), ("outcome_unknown".into(), false));
        let other = world.upstream("p-2", "booking-portal", Mode::Echo).await;
        let repeat = world.book(&key, "slot 4").await;
        assert_eq!(repeat.refusal(), ("outcome_unknown".into(), false));
        assert_eq!(*requests.borrow() + *spare_requests.borrow(), 1);
        assert!(other.seen.borrow().is_empty());
    });
}

/// Guards against a repeat that runs the request again, both during the first call and after it.
#[rstest]
fn repeat_gets_the_stored_answer() {
    block_on(async {
        let world = World::start(vec![booking()]).await;
        let mode = Mode::Slow(Duration::from_millis(200));
        let upstream = world.upstream("p-1", "booking-portal", mode).await;
        let key = key("a");
        let (first, early) = futures_util::join!(world.book(&key, "slot 4"), async {
            time::sleep(Duration::from_millis(80)).await;
            world.book(&key, "slot 4").await
        });
        assert_eq!((first.status, &*first.body), (200, "p-1:slot 4"));
        assert_eq!(early.refusal(), ("in_progress".into(), false));
        let repeat = world.book(&key, "slot 4").await;
        assert_eq!((repeat.status, &*repeat.body), (200, "p-1:slot 4"));
        assert_eq!(world.book(&key, "slot 5").await.refusal(), ("key_reused".into(), true));
        assert_eq!(upstream.seen.borrow().len(), 1);
    });
}

/// Guards against a claim that stays held for ever because its grant arrives after the caller's deadline.
#[rstest]
fn late_grant_is_released() {
    block_on(async {
        let world = World::start(vec![booking()]).await;
        let upstream = world.upstream("p-1", "booking-portal", Mode::Echo).await;
        *world.control.delay.borrow_mut() = Duration::from_millis(400);
        let key = key("a");
        let headers = [("idempotency-key", &*key), ("x-deadline-ms", "200")];
        let answer = world.post("/v1/call/gate-slot", &headers, "slot 4").await;
        assert_eq!(answer.refusal(), ("claims_unavailable".into(), true));
        *world.control.delay.borrow_mut() = Duration::ZERO;
        for _ in 0..100 {
            if world.control.claim_state(&key) == Some(inner::ClaimState::Released) {
                break;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(world.control.claim_state(&key), Some(inner::ClaimState::Released));
        assert!(upstream.seen.borrow().is_empty());
        assert_eq!(world.book(&key, "slot 4").await.status, 200);
    });
}

/// Guards against failing an idempotent request that another upstream can serve.
#[rstest]
fn idempotent_request_is_retried_elsewhere() {
    block_on(async {
        let world = World::start(vec![profile("lookup", "sheet-app")]).await;
        let (address, requests) = breaking_upstream().await;
        world.announce("bad", "sheet-app", &address, 1).await;
        world.upstream("good", "sheet-app", Mode::Echo).await;
        for i in 0..10 {
            let answer = world.call("lookup", &format!("cow {i}")).await;
            assert_eq!((answer.status, answer.body), (200, format!("good:cow {i}")));
        }
        assert!(*requests.borrow() > 0, "the breaking upstream was never tried");
    });
}

/// Guards against returning the response of another request to a caller.
#[rstest]
fn crossed_answer_is_dropped() {
    block_on(async {
        let world = World::start(vec![profile("lookup", "sheet-app"), booking()]).await;
        world.upstream("crossed", "sheet-app", Mode::Crossed).await;
        world.upstream("p-crossed", "booking-portal", Mode::Crossed).await;
        let answer = world.call("lookup", "cow 7").await;
        assert_eq!(answer.refusal(), ("attempts_exhausted".into(), false));
        let answer = world.book(&key("a"), "slot").await;
        assert_eq!(answer.refusal(), ("outcome_unknown".into(), false));
    });
}

/// Guards against a late response that is returned to the next request on the same connection.
#[rstest]
fn late_answer_is_not_given_to_another_request() {
    block_on(async {
        let world = World::start(vec![profile("lookup", "sheet-app")]).await;
        world.upstream("slow", "sheet-app", Mode::Slow(Duration::from_millis(150))).await;
        let headers = [("x-deadline-ms", "60")];
        let answer = world.post("/v1/call/lookup", &headers, "first").await;
        assert_eq!(answer.refusal(), ("deadline_exceeded".into(), false));
        let answers = join_all((0..5).map(|i| {
            let world = &world;
            async move { (i, world.call("lookup", &format!("cow {i}")).await) }
        }));
        for (i, answer) in answers.await {
            assert_eq!((answer.status, answer.body), (200, format!("slow:cow {i}")));
        }
    });
}

const WHOLE: &str = "data: {\"choices\":[{\"text\":\"a\"}],\"weight_version\":3,\"tokens\":1,\"incarnation\":1}\n\n\
    data: {\"choices\":[{\"text\":\"b\"}],\"weight_version\":3,\"tokens\":1,\"incarnation\":1}\n\n\
    data: {\"choices\":[{\"text\":\"c\"}],\"weight_version\":4,\"tokens\":2,\"incarnation\":1}\n\ndata: [DONE]\n\n";
const NO_END: &str = "data: {\"choices\":[{\"text\":\"a\"}],\"weight_version\":3,\"tokens\":1,\"incarnation\":1}\n\n";
const NO_VERSION: &str = "data: {\"choices\":[{\"text\":\"a\"}],\"tokens\":1}\n\ndata: [DONE]\n\n";
const RESTARTED: &str = "data: {\"choices\":[{\"text\":\"a\"}],\"weight_version\":3,\"tokens\":1,\"incarnation\":1}\n\n\
    data: {\"choices\":[{\"text\":\"b\"}],\"weight_version\":3,\"tokens\":1,\"incarnation\":2}\n\ndata: [DONE]\n\n";

/// Guards against a sample with wrong weight versions, and against a truncated one.
#[rstest]
#[case::whole(WHOLE, true)]
#[case::no_end_marker(NO_END, false)]
#[case::chunk_without_version(NO_VERSION, false)]
#[case::changed_incarnation(RESTARTED, false)]
fn engine_stream_counts_only_when_conclusive(#[case] stream: &'static str, #[case] whole: bool) {
    block_on(async {
        let world = World::start(vec![scorer()]).await;
        world.upstream("e-1", "scorer-llm", Mode::Stream(stream)).await;
        let answer = world.call("scorer", r#"{"prompt": "p", "max_tokens": 4}"#).await;
        if whole {
            let expected = serde_json::json!({"text": "abc",
                "spans": [{"version": 3, "tokens": 2}, {"version": 4, "tokens": 2}]});
            assert_eq!((answer.status, answer.json()), (200, expected));
        } else {
            assert_eq!(answer.refusal(), ("attempts_exhausted".into(), false));
        }
    });
}

/// Guards against more than two upstream crashes by one request that its caller resends, in sequence or concurrently.
#[rstest]
#[case::one_after_another(1)]
#[case::many_at_once(10)]
fn poison_loses_at_most_two_upstreams(#[case] at_once: usize) {
    block_on(async {
        let world = World::start(vec![profile("lookup", "sheet-app")]).await;
        let mut upstreams = Vec::new();
        for name in ["s-1", "s-2", "s-3", "s-4", "s-5"] {
            upstreams.push(world.upstream(name, "sheet-app", Mode::CrashOn("poison")).await);
        }
        let mut last = String::new();
        for round in 0..20 {
            let answers = join_all((0..at_once).map(|_| world.call("lookup", "poison"))).await;
            for answer in answers {
                assert_ne!(answer.status, 200);
                if at_once == 1 && round == 0 {
                    // This request ran and crashed both upstreams, so the response must not say that it did not run.
                    assert_eq!(answer.refusal(), ("attempts_exhausted".into(), false));
                }
                last = answer.refusal().0;
            }
        }
        assert_eq!(upstreams.iter().filter(|u| u.is_dead()).count(), 2);
        assert_eq!(last, "quarantined");
        // Every entry must know the quarantine within 2 s.
        time::sleep(Duration::from_millis(1500)).await;
        assert_eq!(world.control.config.borrow().quarantined.len(), 1);
        assert_eq!(world.entry.configuration.to_message().quarantined.len(), 1);
        assert_eq!(world.call("lookup", "poison").await.refusal(), ("quarantined".into(), true));
        assert_eq!(world.call("lookup", "cow 7").await.status, 200);
    });
}

/// Guards against suspects from a common cause: when several upstreams crash together, as with a lost rack, the
/// requests that were in flight on them are not suspects.
#[rstest]
fn correlated_deaths_are_no_evidence() {
    block_on(async {
        let world = World::start(vec![profile("lookup", "sheet-app")]).await;
        let slow = || Mode::Slow(Duration::from_millis(300));
        let first = world.upstream("s-1", "sheet-app", slow()).await;
        let second = world.upstream("s-2", "sheet-app", slow()).await;
        let calls = join_all((0..8).map(|i| {
            let world = &world;
            async move { world.call("lookup", &format!("cow {i}")).await }
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
        let told = world.entry.suspects.to_messages();
        assert!(told.iter().all(|suspect| suspect.dismissed), "{told:?}");
        for suspect in &told {
            assert_eq!(world.entry.suspects.standing(&suspect.fingerprint), Standing::Free);
        }
        world.upstream("s-3", "sheet-app", Mode::Echo).await;
        assert_eq!(world.call("lookup", "cow 1").await.status, 200);
    });
}
