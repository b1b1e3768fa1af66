//! The stand-in engine behaves as the engines of the design page do, and shows only the faults that are switched on.

mod common;

use std::time::{Duration, Instant};

use common::{completion, fast_engine_config, get, post, read_stream, start_engine};
use orioleworks_standins::{
    engine::EngineConfig,
    engine_stream::token_time,
    provenance::{same_spans, verify_complete},
};
use rstest::rstest;
use serde_json::json;

fn weights(version: u64, phase: &str, epoch: u64, sequence: u64) -> serde_json::Value {
    json!({"version": version, "phase": phase, "fencing": {"epoch": epoch, "sequence": sequence}})
}

/// Guards against streams without an end marker, and against spans that contradict the text.
#[test]
fn a_stream_is_complete_and_labelled() {
    common::run(async {
        let (_, address) = start_engine(fast_engine_config()).await;
        let read = read_stream(&address, completion("p", 24, "r"), |_| ()).await;
        assert!(read.done);
        let origin = verify_complete("p", 1, 24, &read.text).expect("complete text");
        assert!(same_spans(&origin.spans, &read.spans));
    });
}

/// Guards against weight swaps that wait for running streams or mislabel their tokens.
#[test]
fn a_running_stream_continues_under_the_new_version() {
    common::run(async {
        let config = EngineConfig { token_time: Duration::from_millis(5), ..fast_engine_config() };
        let (engine, address) = start_engine(config).await;
        post(&address, "/v1/weights", weights(2, "prefetch", 1, 1)).await;
        while engine.weights.document().prefetched < 2 {
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        let orders = address.clone();
        let mut ordered = false;
        let read = read_stream(&address, completion("p", 80, "r"), |read| {
            if !read.text.is_empty() && !std::mem::replace(&mut ordered, true) {
                let orders = orders.clone();
                compio::runtime::spawn(async move {
                    post(&orders, "/v1/weights", weights(2, "activate", 1, 2)).await;
                })
                .detach();
            }
        })
        .await;
        let versions: Vec<u64> = read.spans.iter().map(|span| span.version).collect();
        assert_eq!(versions, [1, 2]);
        let origin = verify_complete("p", 1, 80, &read.text).expect("complete text");
        assert!(same_spans(&origin.spans, &read.spans));
    });
}

/// Guards against an engine that checks fencing tokens and still obeys an old lease holder, and against a stand-in that
/// cannot emulate engines that ignore the token.
#[rstest]
#[case::checked(true, 409, 2)]
#[case::ignored(false, 200, 1)]
fn old_fencing_tokens(#[case] checks: bool, #[case] status: u16, #[case] version: u64) {
    common::run(async {
        let (engine, address) =
            start_engine(EngineConfig { checks_fencing: checks, ..fast_engine_config() }).await;
        post(&address, "/v1/weights", weights(2, "prefetch", 2, 1)).await;
        compio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(post(&address, "/v1/weights", weights(2, "activate", 2, 2)).await.status, 200);
        compio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(engine.weights.version(), 2);
        let old = post(&address, "/v1/weights", weights(1, "activate", 1, 9)).await;
        assert_eq!(old.status, status);
        compio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(engine.weights.version(), version);
    });
}

/// Guards against an activation without prefetched weights, and against a failed swap that counts as a success.
#[test]
fn swaps_need_weights_and_may_fail() {
    common::run(async {
        let (engine, address) = start_engine(fast_engine_config()).await;
        assert_eq!(post(&address, "/v1/weights", weights(2, "activate", 1, 1)).await.status, 425);
        post(&address, "/v1/weights", weights(2, "prefetch", 1, 2)).await;
        post(&address, "/fault", json!({"fail_swaps": 1})).await;
        for expected in [1, 2] {
            compio::time::sleep(Duration::from_millis(100)).await;
            post(&address, "/v1/weights", weights(2, "activate", 1, 3)).await;
            compio::time::sleep(Duration::from_millis(100)).await;
            assert_eq!(engine.weights.version(), expected);
        }
    });
}

/// Guards against faults that have no effect on the stream, or that apply more often than their count.
#[test]
fn stream_faults_apply_once() {
    common::run(async {
        let (_, address) = start_engine(fast_engine_config()).await;
        let fault = json!({"cut_answers": 1, "drop_versions": 1});
        assert_eq!(post(&address, "/fault", fault).await.status, 200);
        let read = read_stream(&address, completion("p", 40, "r"), |_| ()).await;
        assert!(!read.done && read.lacks_version && !read.text.is_empty());
        let read = read_stream(&address, completion("p", 40, "r"), |_| ()).await;
        assert!(read.done && !read.lacks_version);
        assert_eq!(post(&address, "/fault", json!({"refuse": 1})).await.status, 200);
        let response = post(&address, "/v1/completions", completion("p", 4, "s")).await;
        assert_eq!(response.status, 503);
        assert_eq!(response.headers["x-not-run"], "true");
    });
}

/// Guards against a misspelt fault that is ignored, so that a test passes without its fault.
#[test]
fn unknown_faults_are_refused() {
    common::run(async {
        let (_, address) = start_engine(fast_engine_config()).await;
        assert_eq!(post(&address, "/fault", json!({"cut_answer": 1})).await.status, 400);
        assert_eq!(post(&address, "/fault", json!({"cut_answers": -1})).await.status, 400);
    });
}

/// Guards against streams that continue after their reader has disconnected.
#[test]
fn a_closed_connection_cancels_the_stream() {
    common::run(async {
        let config = EngineConfig { token_time: Duration::from_millis(50), ..fast_engine_config() };
        let (engine, address) = start_engine(config).await;
        let reader = read_stream(&address, completion("p", 4000, "r"), |_| ());
        assert!(compio::time::timeout(Duration::from_millis(400), reader).await.is_err());
        let deadline = Instant::now() + Duration::from_secs(5);
        while engine.running.count() > 0 && Instant::now() < deadline {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(engine.running.count(), 0);
        let state = get(&address, "/v1/state").await.json::<serde_json::Value>().expect("state");
        assert_eq!(state["cancelled"], 1);
    });
}

/// Guards against a hang that lets requests through, or that persists after it is switched off.
#[test]
fn a_hang_holds_streams_until_its_end() {
    common::run(async {
        let (_, address) = start_engine(fast_engine_config()).await;
        post(&address, "/fault", json!({"hang": true})).await;
        let reader = read_stream(&address, completion("p", 4, "r"), |_| ());
        assert!(compio::time::timeout(Duration::from_millis(300), reader).await.is_err());
        post(&address, "/fault", json!({"hang": false})).await;
        assert!(read_stream(&address, completion("p", 4, "r"), |_| ()).await.done);
    });
}

/// Guards against an unbounded prefix cache, and against an import that does not cache the prompt.
#[test]
fn prefixes_are_cached_within_the_bound() {
    common::run(async {
        let (engine, address) =
            start_engine(EngineConfig { cache_entries: 2, ..fast_engine_config() }).await;
        for prompt in ["a", "b", "c"] {
            assert!(!engine.touch_prefix(prompt));
        }
        assert!(engine.touch_prefix("c") && !engine.touch_prefix("a"));
        read_stream(&address, completion("d", 4, "r"), |_| ()).await;
        let exported = get(&address, "/v1/kv/r").await;
        assert_eq!(exported.status, 200);
        let (other, target) = start_engine(fast_engine_config()).await;
        let state: serde_json::Value = serde_json::from_slice(&exported.body).expect("state");
        assert_eq!(post(&target, "/v1/kv/r", state).await.status, 200);
        assert!(other.touch_prefix("d"));
    });
}

/// Guards against a time per token that does not grow with the number of running streams.
#[test]
fn tokens_take_longer_beyond_the_knee() {
    let base = Duration::from_millis(2);
    assert_eq!(token_time(base, 1, 8), base);
    assert_eq!(token_time(base, 8, 8), base);
    assert_eq!(token_time(base, 16, 8), 2 * base);
}

/// Guards against an order that is lost during a running swap, so that the engine stays on an old version.
#[test]
fn an_order_during_a_swap_is_carried_out_after_it() {
    common::run(async {
        let (engine, address) = start_engine(fast_engine_config()).await;
        for version in [2, 3] {
            post(&address, "/v1/weights", weights(version, "prefetch", 1, 1)).await;
            compio::time::sleep(Duration::from_millis(60)).await;
        }
        for version in [2, 3] {
            post(&address, "/v1/weights", weights(version, "activate", 1, 2)).await;
        }
        compio::time::sleep(Duration::from_millis(200)).await;
        assert_eq!((engine.weights.version(), engine.weights.pending()), (3, 0));
    });
}
