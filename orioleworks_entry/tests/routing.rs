//! Routing rules of the entry: objectives, versions, forwards, leaving upstreams, and suspects of other entries.

mod common;

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use common::{TestEnv, UpstreamMode, block_on, profile, scorer};
use compio::time;
use orioleworks_entry::{
    dispatch::{Completed, Job, Refused},
    policies::Policies,
};
use orioleworks_proto::{codes::ResultCode, inner};
use rstest::rstest;
use serde_json::json;
use tokio_util::sync::CancellationToken;

const STREAM: &str =
    "data: {\"choices\":[{\"text\":\"a\"}],\"weight_version\":3,\"tokens\":1}\n\ndata: [DONE]\n\n";

fn job(profile: inner::Profile, body: &str, deadline_ms: u64) -> Job {
    Job {
        request_id: "r".into(),
        profile: Rc::new(profile),
        body: body.to_owned().into(),
        content_type: "text/plain".into(),
        deadline: Instant::now() + Duration::from_millis(deadline_ms),
        prefix: None,
        lowest_version: 0,
        avoid: Vec::new(),
        idempotency_key: None,
        owed: false,
        local_only: false,
        cancel: CancellationToken::new(),
    }
}

fn sample(profile: inner::Profile) -> Job {
    job(profile, r#"{"prompt": "p", "max_tokens": 4}"#, 500)
}

async fn announce(env: &TestEnv, extra: serde_json::Value, address: &str) {
    let mut body = json!({"name": "e-1", "incarnation": 1, "kind": "scorer-llm", "engine": true,
        "address": address, "weight_version": 3, "capacity": 8});
    for (key, value) in extra.as_object().unwrap() {
        body[key] = value.clone();
    }
    assert_eq!(env.post("/v1/announce", &[], &body.to_string()).await.status, 200);
}

/// Guards against sending samples to an engine that must drain before its weight swap, and against idling an engine
/// that need not drain.
#[rstest]
#[case::staleness(inner::Objective::Staleness, 4, false)]
#[case::no_pending_swap(inner::Objective::Staleness, 0, true)]
#[case::idle_time(inner::Objective::Idle, 4, true)]
fn objective_decides_over_a_pending_swap(
    #[case] objective: inner::Objective,
    #[case] pending: u64,
    #[case] runs: bool,
) {
    block_on(async {
        let env = TestEnv::start(vec![]).await;
        let engine = env.upstream("e-1", "scorer-llm", UpstreamMode::Stream(STREAM)).await;
        engine.announcing.cancel();
        announce(&env, json!({"pending_version": pending}), &engine.address).await;
        let profile = inner::Profile { objective: objective.into(), ..scorer() };
        let result = env.entry.dispatcher.run(sample(profile)).await;
        assert_eq!(result.is_ok(), runs, "{result:?}");
        if let Err(refused) = result {
            assert_eq!(refused.code, ResultCode::DeadlineBeforeDispatch);
        }
    });
}

/// Guards against an engine that takes samples before its weight swap while another engine without a pending swap can
/// run them.
#[rstest]
#[case::all_swap(4, &["e-1", "e-2"])]
#[case::one_does_not(0, &["e-2"])]
fn drain_unless_all_keeps_engines_in_use_only_when_all_swap(
    #[case] other_pending: u64,
    #[case] allowed: &[&str],
) {
    block_on(async {
        let policies = Policies { drain_unless_all: true, ..Policies::default() };
        let env = TestEnv::start_with_policies(vec![], "", policies).await;
        let (pending, profile) = (json!({"pending_version": 4}), scorer());
        let objective = inner::Objective::Staleness.into();
        let profile = inner::Profile { objective, ..profile };
        let first = env.upstream("e-1", "scorer-llm", UpstreamMode::Stream(STREAM)).await;
        first.announcing.cancel();
        announce(&env, pending, &first.address).await;
        let second = env.upstream("e-2", "scorer-llm", UpstreamMode::Stream(STREAM)).await;
        second.announcing.cancel();
        let other = json!({"name": "e-2", "pending_version": other_pending, "capacity": 8});
        announce(&env, other, &second.address).await;
        for _ in 0..8 {
            let done = env.entry.dispatcher.run(sample(profile.clone())).await.unwrap();
            assert!(allowed.contains(&&*done.upstream), "{}", done.upstream);
        }
    });
}

/// Guards against running a sample on weights older than its lowest version.
#[rstest]
#[case(3, true)]
#[case(4, false)]
fn lowest_version_is_enforced(#[case] lowest_version: u64, #[case] runs: bool) {
    block_on(async {
        let env = TestEnv::start(vec![]).await;
        env.upstream("e-1", "scorer-llm", UpstreamMode::Stream(STREAM)).await;
        let job = Job { lowest_version, ..sample(scorer()) };
        assert_eq!(env.entry.dispatcher.run(job).await.is_ok(), runs);
    });
}

/// Guards against new requests to an upstream that announced that it is leaving, even if the same incarnation later
/// withdraws that.
#[rstest]
fn leaving_upstream_gets_no_new_request() {
    block_on(async {
        let env = TestEnv::start(vec![]).await;
        let engine = env.upstream("e-1", "scorer-llm", UpstreamMode::Stream(STREAM)).await;
        engine.announcing.cancel();
        assert!(env.entry.dispatcher.run(sample(scorer())).await.is_ok());
        announce(&env, json!({"leaving": true}), &engine.address).await;
        announce(&env, json!({"leaving": false}), &engine.address).await;
        let refused = env.entry.dispatcher.run(sample(scorer())).await.unwrap_err();
        assert_eq!(refused.code, ResultCode::NoUpstream);
        announce(&env, json!({"incarnation": 2}), &engine.address).await;
        assert!(env.entry.dispatcher.run(sample(scorer())).await.is_ok());
        assert_eq!(env.entry.members.engines()[0].incarnation, 2);
    });
}

/// Guards against forwarding a request twice, and against forwarding one that an upstream of the own domain can run.
#[rstest]
#[case::no_upstream(false, false, 1)]
#[case::forwarded_before(false, true, 0)]
#[case::own_upstream(true, false, 0)]
fn forward_happens_once(#[case] own: bool, #[case] local_only: bool, #[case] forwards: usize) {
    block_on(async {
        let env = TestEnv::start(vec![]).await;
        if own {
            env.upstream("s-1", "sheet-app", UpstreamMode::Echo).await;
        }
        let count = Rc::new(RefCell::new(0));
        let counter = count.clone();
        env.entry.dispatcher.set_forward(move |job| {
            *counter.borrow_mut() += 1;
            let completed = Completed {
                status: 200,
                body: job.body,
                content_type: job.content_type,
                spans: Vec::new(),
                upstream: "far".into(),
            };
            Box::pin(async move { Ok::<_, Refused>(completed) })
        });
        let job = Job { local_only, ..job(profile("lookup", "sheet-app"), "x", 500) };
        let result = env.entry.dispatcher.run(job).await;
        assert_eq!(result.is_ok(), own || forwards > 0);
        assert_eq!(*count.borrow(), forwards);
    });
}

/// Guards against a third upstream crash when the caller resends through another entry of the failure domain.
#[rstest]
fn suspect_of_another_entry_runs_isolated_and_delayed() {
    block_on(async {
        let poison = UpstreamMode::CrashOn("poison");
        let lookup = || profile("lookup", "sheet-app");
        let (a, b) = (TestEnv::start(vec![lookup()]).await, TestEnv::start(vec![lookup()]).await);
        let first = a.upstream("s-1", "sheet-app", poison.clone()).await;
        let notifications = Rc::new(RefCell::new(0));
        let counter = notifications.clone();
        a.entry.suspects.set_on_change(move || *counter.borrow_mut() += 1);
        assert!(a.entry.dispatcher.run(job(lookup(), "poison", 300)).await.is_err());
        assert!(first.has_crashed());
        assert_eq!(*notifications.borrow(), 1);
        let second = b.upstream("s-2", "sheet-app", poison.clone()).await;
        let third = b.upstream("s-3", "sheet-app", poison).await;
        b.entry.suspects.merge_reports(&a.entry.suspects.to_messages());
        let too_early = b.entry.dispatcher.run(job(lookup(), "poison", 1000)).await.unwrap_err();
        assert_eq!(too_early.code, ResultCode::DeadlineBeforeDispatch);
        assert!(!second.has_crashed() && !third.has_crashed());
        assert!(b.entry.dispatcher.run(job(lookup(), "poison", 2000)).await.is_err());
        let refused = b.entry.dispatcher.run(job(lookup(), "poison", 3000)).await.unwrap_err();
        assert_eq!(refused.code, ResultCode::Quarantined);
        assert!(second.has_crashed() != third.has_crashed());
    });
}

/// Guards against a sample of a trainer's step that is refused for minutes because engines ended under it.
#[rstest]
fn a_sample_is_owed_and_completes_after_two_engines_ended_under_it() {
    const EVENTS: &str = "data: {\"choices\":[{\"text\":\"a\"}],\"weight_version\":3,\"tokens\":4,\"incarnation\":1}\n\n\
        data: [DONE]\n\n";
    block_on(async {
        let env = TestEnv::start(vec![scorer()]).await;
        let crash = UpstreamMode::CrashOn("prompt");
        let first = env.upstream("e-1", "scorer-llm", crash.clone()).await;
        let job = |deadline_ms| Job {
            owed: true,
            deadline: Instant::now() + Duration::from_millis(deadline_ms),
            ..sample(scorer())
        };
        assert!(env.entry.dispatcher.run(job(500)).await.is_err());
        let second = env.upstream("e-2", "scorer-llm", crash).await;
        assert!(env.entry.dispatcher.run(job(4000)).await.is_err());
        assert!(first.has_crashed() && second.has_crashed());
        // The quarantine that control has recorded by then does not apply either.
        time::sleep(Duration::from_millis(1500)).await;
        env.upstream("e-3", "scorer-llm", UpstreamMode::Stream(EVENTS)).await;
        let result = env.entry.dispatcher.run(job(4000)).await;
        assert_eq!(result.unwrap().upstream, "e-3".into());
    });
}

/// Guards against a cancelled request that keeps running, and against in-flight counts that are not released.
#[rstest]
fn cancelled_request_frees_its_slot() {
    block_on(async {
        let env = TestEnv::start(vec![]).await;
        env.upstream("s-1", "sheet-app", UpstreamMode::Slow(Duration::from_secs(3))).await;
        let job = job(profile("lookup", "sheet-app"), "x", 5000);
        let cancel = job.cancel.clone();
        let load = || env.entry.dispatcher.loads()[0].in_flight;
        let (result, ()) = futures_util::join!(env.entry.dispatcher.run(job), async {
            time::sleep(Duration::from_millis(100)).await;
            assert_eq!(load(), 1);
            cancel.cancel();
        });
        assert!(!result.unwrap_err().code.not_run());
        assert_eq!(load(), 0);
    });
}

/// Guards against serving an outdated configuration after a pause of the process.
#[rstest]
fn paused_entry_waits_for_control() {
    block_on(async {
        let env = TestEnv::start(vec![profile("lookup", "sheet-app")]).await;
        env.upstream("s-1", "sheet-app", UpstreamMode::Echo).await;
        // Blocking the thread pauses the runtime as SIGSTOP pauses the process.
        std::thread::sleep(Duration::from_millis(1300));
        env.control.config.borrow_mut().revision = 2;
        env.control.config.borrow_mut().profiles.clear();
        assert_eq!(env.entry.readiness(), Err("resuming after a pause"));
        assert_eq!(env.call("lookup", "x").await.refusal().0, "unknown_profile");
        assert_eq!(env.entry.readiness(), Ok(()));
    });
}

/// Guards against an idempotent request that waits for an unresponsive upstream, and against abandoning a request that
/// cannot be repeated.
#[rstest]
#[case::idempotent(true, "s-2")]
#[case::not_idempotent(false, "s-1")]
fn unresponsive_upstream(#[case] idempotent: bool, #[case] expected_upstream: &str) {
    block_on(async {
        let env = TestEnv::start(vec![]).await;
        let mode = UpstreamMode::Slow(Duration::from_millis(3500));
        let first = env.upstream("s-1", "sheet-app", mode).await;
        first.announcing.cancel();
        let profile = inner::Profile { idempotent, ..profile("lookup", "sheet-app") };
        let (result, _second) =
            futures_util::join!(env.entry.dispatcher.run(job(profile, "x", 5000)), async {
                time::sleep(Duration::from_millis(200)).await;
                env.upstream("s-2", "sheet-app", UpstreamMode::Echo).await
            });
        assert_eq!(&*result.unwrap().upstream, expected_upstream);
        assert!(
            env.entry.suspects.to_messages().is_empty(),
            "a missing response is no evidence of a crash"
        );
    });
}
