//! Invalid input, stop orders, saved configuration and shutdown of the entry.

mod common;

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use common::{TestEnv, UpstreamMode, block_on, booking, idempotency_key, profile, scorer};
use compio::time;
use futures_util::future::join_all;
use orioleworks_entry::{
    stream::{self, StreamError},
    weights_http::{Engines, SwapError},
};
use orioleworks_proto::inner;
use rstest::rstest;

/// Guards against invalid input that gets a wrong result code.
#[rstest]
#[case::unknown_path("/v1/nothing", &[], "", 404, "unknown_path")]
#[case::nested_profile("/v1/call/a/b", &[], "", 404, "unknown_path")]
#[case::unknown_profile("/v1/call/nobody", &[], "", 404, "unknown_profile")]
#[case::broken_engine_body("/v1/call/scorer", &[], "{", 400, "bad_request")]
#[case::incomplete_engine_body("/v1/call/scorer", &[], "{}", 400, "bad_request")]
#[case::broken_announcement("/v1/announce", &[], "[", 400, "bad_request")]
#[case::nameless_announcement("/v1/announce", &[], r#"{"name":"","incarnation":1,"kind":"k","address":"127.0.0.1:1"}"#, 400, "bad_request")]
#[case::hostname_announcement("/v1/announce", &[], r#"{"name":"n","incarnation":1,"kind":"k","address":"host:1"}"#, 400, "bad_request")]
#[case::capacity_out_of_range("/v1/announce", &[], r#"{"name":"n","incarnation":1,"kind":"k","address":"127.0.0.1:1","capacity":4294967295}"#, 400, "bad_request")]
#[case::queue_out_of_range("/v1/announce", &[], r#"{"name":"n","incarnation":1,"kind":"k","address":"127.0.0.1:1","running":65536,"queued":65537}"#, 400, "bad_request")]
#[case::sequence_out_of_range("/v1/announce", &[], r#"{"name":"n","incarnation":1,"kind":"k","address":"127.0.0.1:1","cache":{"first_sequence":18446744073709551615,"events":[{"prefix":"0a","stored":true}]}}"#, 400, "bad_request")]
#[case::bad_deadline("/v1/call/lookup", &[("x-deadline-ms", "soon")], "", 400, "bad_request")]
#[case::zero_deadline("/v1/call/lookup", &[("x-deadline-ms", "0")], "", 400, "bad_request")]
#[case::no_key("/v1/call/gate-slot", &[], "", 400, "key_missing")]
#[case::malformed_key("/v1/call/gate-slot", &[("idempotency-key", "abc")], "", 400, "bad_request")]
#[case::old_key("/v1/call/gate-slot", &[("idempotency-key", "1000-a")], "", 410, "key_expired")]
#[case::no_upstream("/v1/call/lookup", &[], "", 503, "no_upstream")]
fn bad_input_gets_its_code(
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] body: &str,
    #[case] status: u16,
    #[case] name: &str,
) {
    block_on(async {
        let env = TestEnv::start(vec![profile("lookup", "sheet-app"), booking(), scorer()]).await;
        let response = env.post(path, headers, body).await;
        assert_eq!((response.status, response.refusal()), (status, (name.into(), true)));
        assert!(response.headers.contains_key("x-request-id"));
    });
}

/// Guards against an entry that ends at a number in an announcement, alone or beside the announcements of others.
#[test]
fn a_number_in_an_announcement_ends_no_entry() {
    const NUMBERS: [&str; 6] =
        ["0", "-1", "4294967295", "9223372036854775807", "18446744073709551615", "1.7e308"];
    const FIELDS: [&str; 8] = [
        "incarnation",
        "weight_version",
        "pending_version",
        "capacity",
        "running",
        "queued",
        "measured_ms_ago",
        "cache",
    ];
    block_on(async {
        let env = TestEnv::start(vec![profile("lookup", "sheet-app")]).await;
        for field in FIELDS {
            for number in NUMBERS {
                let other = match field {
                    "cache" => {
                        let events = r#"[{"prefix":"0a","stored":true}]"#;
                        format!(r#""cache":{{"first_sequence":{number},"events":{events}}}"#)
                    }
                    _ => format!(r#""{field}":{number}"#),
                };
                let incarnation = if field == "incarnation" { "" } else { r#""incarnation":1,"# };
                let body = format!(
                    r#"{{"name":"{field}-{number}","kind":"sheet-app","address":"127.0.0.1:1",{incarnation}{other}}}"#
                );
                let response = env.post("/v1/announce", &[], &body).await;
                assert!([200, 400].contains(&response.status), "{body}: {}", response.body);
            }
            // The loads of all of them are compared for a call.
            let call = env.call("lookup", "a").await;
            assert!(call.status > 0, "{field}");
        }
    });
}

/// Guards against an entry that ends at the numbers of tokens in a stream, or counts fewer than were stated.
#[rstest]
#[case::one_version([7, 7])]
#[case::two_versions([7, 8])]
fn more_tokens_than_can_be_counted_are_malformed(#[case] versions: [u64; 2]) {
    let mut reader = stream::Reader::new("r", 1024 * 1024);
    let chunk =
        |version| format!("data: {{\"weight_version\":{version},\"tokens\":4294967295}}\n\n");
    assert_eq!(reader.push(chunk(versions[0]).as_bytes()), Ok(()));
    assert_eq!(reader.push(chunk(versions[1]).as_bytes()), Err(StreamError::Malformed));
}

/// Guards against accepting a body above the size limit, and against accepting a wrong method.
#[rstest]
fn large_body_and_wrong_method_are_refused() {
    block_on(async {
        let env = TestEnv::start(vec![profile("lookup", "sheet-app")]).await;
        let response = env.call("lookup", &"x".repeat(5000)).await;
        assert_eq!((response.status, response.refusal().0.as_str()), (413, "body_too_large"));
        let url = format!("{}/v1/call/lookup", env.url);
        let response = env.client.get(url).unwrap().send().await.unwrap();
        assert_eq!(response.status(), 405);
        assert_eq!(response.headers()["allow"], "POST");
    });
}

/// Guards against new requests to a stopped upstream, and against aborting those that it runs.
#[rstest]
fn stopped_upstream_finishes_and_gets_nothing_new() {
    block_on(async {
        let env = TestEnv::start(vec![profile("lookup", "sheet-app")]).await;
        let mode = UpstreamMode::Slow(Duration::from_millis(300));
        let upstream = env.upstream("s-1", "sheet-app", mode).await;
        let running = env.call("lookup", "running");
        let stop = async {
            time::sleep(Duration::from_millis(100)).await;
            let mut config = env.control.config.borrow_mut();
            config.revision = 2;
            let name = "s-1".into();
            config.stopped_upstreams.push(inner::StoppedUpstream { revision: 2, name });
        };
        let (running, ()) = futures_util::join!(running, stop);
        assert_eq!(running.status, 200);
        assert_eq!(env.call("lookup", "new").await.refusal().0, "no_upstream");
        let body = format!(
            r#"{{"name":"s-1","incarnation":1,"kind":"sheet-app","address":"{}"}}"#,
            upstream.address
        );
        assert_eq!(env.post("/v1/announce", &[], &body).await.json()["stop"], true);
        assert_eq!(upstream.received.borrow().len(), 1);
        let url = format!("{}/v1/upstreams", env.url);
        let listed = env.client.get(url).unwrap().send().await.unwrap();
        let listed: Vec<serde_json::Value> = listed.json().await.unwrap();
        assert_eq!((&listed[0]["name"], &listed[0]["state"]), (&"s-1".into(), &"stopped".into()));
    });
}

/// Guards against acknowledging a revision that a restarted entry does not find on disk.
#[rstest]
fn revision_is_saved_before_it_is_acknowledged() {
    block_on(async {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().to_str().unwrap();
        let env = TestEnv::start_with_data(vec![profile("lookup", "sheet-app")], path).await;
        while env.control.applied_revisions.borrow().last() != Some(&1) {
            time::sleep(Duration::from_millis(10)).await;
        }
        let opened = orioleworks_entry::persist::Store::open(directory.path()).unwrap();
        let config = opened.1.unwrap();
        assert_eq!((config.revision, config.profiles.len()), (1, 1));
    });
}

/// Guards against a planned stop that aborts requests, or that fails new ones during the grace period.
#[rstest]
fn drain_cuts_off_no_request() {
    block_on(async {
        let env = TestEnv::start(vec![profile("lookup", "sheet-app"), booking()]).await;
        let slow = || UpstreamMode::Slow(Duration::from_millis(300));
        env.upstream("s-1", "sheet-app", slow()).await;
        env.upstream("p-1", "booking-portal", slow()).await;
        let lookups = join_all((0..20).map(|i| {
            let env = &env;
            async move { env.call("lookup", &i.to_string()).await.status }
        }));
        let bookings = join_all((0..4).map(|i| {
            let env = &env;
            async move { env.book(&idempotency_key(&i.to_string()), "slot").await.status }
        }));
        let drain = async {
            time::sleep(Duration::from_millis(100)).await;
            env.shutdown.drain.cancel();
            let ready = env.client.get(format!("{}/ready", env.url)).unwrap().send();
            let ready = ready.await.unwrap().status().as_u16();
            (ready, env.call("lookup", "during the grace period").await.status)
        };
        let (lookups, bookings, drain) = futures_util::join!(lookups, bookings, drain);
        assert!(lookups.iter().chain(&bookings).all(|status| *status == 200));
        assert_eq!(drain, (503, 200));
    });
}

/// Guards against an engine in trouble whose bytes without end an entry keeps until it has no memory left.
#[rstest]
#[case::head("HTTP/1.1 200 OK\r\n", "X-Padding: xxxxxxxxxxxxxxxxxxxxxxxx\r\n")]
#[case::body("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", "                ")]
fn a_state_of_weights_without_end_is_not_kept(#[case] start: &str, #[case] repeated: &str) {
    /// More than the entry and the buffers of the connection hold, and far less than the engine sends in the time of a call.
    const MAX_SENT: usize = 32 * 1024 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (start, part) = (start.to_owned(), repeated.repeat(2048));
    let engine = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        // A response before its request would be refused as such.
        assert!(stream.read(&mut [0; 4096]).unwrap() > 0);
        stream.write_all(start.as_bytes()).unwrap();
        let mut sent = 0;
        while sent <= MAX_SENT && stream.write_all(part.as_bytes()).is_ok() {
            sent += part.len();
        }
        sent
    });
    let engines = Engines::new(cyper::Client::new().unwrap());
    let state = block_on(async { engines.read(&address).await });
    assert_eq!(state, Err(SwapError::NoResponse));
    let sent = engine.join().unwrap();
    assert!(sent <= MAX_SENT, "the engine sent more than {MAX_SENT} B");
}
