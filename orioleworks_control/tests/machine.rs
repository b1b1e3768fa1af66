//! Guards against replicas that diverge after the same log, and against claims that let a request run twice.

use orioleworks_control::{machine::Machine, validation};
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, ClaimState, command::Kind},
};
use orioleworks_rules::claims::{CLAIM_RETENTION_MS, MAX_CLOCK_SKEW_MS};
use rstest::rstest;

const T0: u64 = 1_000_000_000;

struct Driver {
    machine: Machine,
    index: u64,
}

impl Driver {
    fn new() -> Self {
        Self { machine: Machine::default(), index: 0 }
    }

    fn apply(&mut self, now_ms: u64, kind: Kind) -> inner::ProposeReply {
        let order_id = format!("order-{}", self.index);
        self.apply_as(&order_id, now_ms, None, kind)
    }

    fn apply_as(
        &mut self,
        order_id: &str,
        now_ms: u64,
        expected_revision: Option<u64>,
        kind: Kind,
    ) -> inner::ProposeReply {
        self.index += 1;
        self.machine.apply(&inner::LogEntry {
            index: self.index,
            term: 1,
            now_ms,
            order_id: order_id.into(),
            command: Some(inner::Command { expected_revision, kind: Some(kind) }),
        })
    }
}

fn claim(attempt: &str, terminated_attempt: &str) -> Kind {
    Kind::Claim(inner::Claim {
        key: "key".into(),
        profile: "gate-slot".into(),
        fingerprint: "f".into(),
        issued_ms: T0,
        entry: "entry-a1".into(),
        entry_incarnation: 1,
        attempt_id: attempt.into(),
        gone_attempt_id: terminated_attempt.into(),
    })
}

fn finish(attempt: &str, state: ClaimState) -> Kind {
    Kind::FinishClaim(inner::FinishClaim {
        key: "key".into(),
        attempt_id: attempt.into(),
        state: state.into(),
        http_status: 200,
        answer: b"slot 4".to_vec(),
        content_type: "text/plain".into(),
    })
}

fn lease(entry: &str) -> Kind {
    Kind::AcquireOrderLease(inner::AcquireOrderLease {
        domain: "sicilia-a".into(),
        entry: entry.into(),
        entry_incarnation: 1,
    })
}

fn open_run(owner: &str, owner_incarnation: u64) -> Kind {
    Kind::OpenRun(inner::OpenRun {
        run: "run".into(),
        owner: owner.into(),
        owner_address: "127.0.0.1:1".into(),
        owner_incarnation,
    })
}

/// Guards against a second grant of a key while its first attempt may run or has run.
#[rstest]
fn claim_is_granted_once() {
    let mut d = Driver::new();
    assert_eq!(d.apply(T0, claim("one", "")).code, 0);
    assert_eq!(d.apply(T0, claim("two", "")).code, ResultCode::InProgress.number());
    // A terminated holder of another attempt has no effect on this claim.
    assert_eq!(d.apply(T0, claim("two", "zero")).code, ResultCode::InProgress.number());
    assert_eq!(d.apply(T0, claim("two", "one")).code, ResultCode::OutcomeUnknown.number());
    assert_eq!(d.apply(T0, claim("two", "")).code, ResultCode::OutcomeUnknown.number());
    let late = d.apply(T0, finish("one", ClaimState::Finished));
    assert_eq!(late.code, 0);
    let repeat = d.apply_as("repeat", T0, None, claim("three", ""));
    let again = d.apply_as("repeat", T0, None, claim("three", ""));
    assert_eq!(again, repeat);
    assert_eq!(repeat.claim.unwrap().answer, b"slot 4");
    assert_eq!(
        d.apply(T0, finish("two", ClaimState::Released)).code,
        ResultCode::Conflict.number()
    );
}

/// Guards against a claim that is removed while its key is still accepted.
#[rstest]
fn claim_is_removed_only_after_its_key_is_refused() {
    let mut d = Driver::new();
    d.apply(T0, claim("one", ""));
    let expired = d.apply(T0 + CLAIM_RETENTION_MS, claim("two", ""));
    assert_eq!(expired.code, ResultCode::KeyExpired.number());
    assert!(d.machine.held_claim("key").is_some());
    d.apply(T0 + CLAIM_RETENTION_MS + MAX_CLOCK_SKEW_MS, Kind::Noop(inner::Noop {}));
    assert!(d.machine.held_claim("key").is_none());
}

/// Guards against two holders of one order lease, and against an epoch that does not rise with the holder.
#[rstest]
fn order_lease_changes_holder_only_after_it_expires() {
    let mut d = Driver::new();
    assert_eq!(d.apply(T0, lease("one")).epoch, 1);
    let held = d.apply(T0 + 2999, lease("two"));
    assert_eq!((held.code, held.holder.as_str()), (ResultCode::LeaseHeld.number(), "one"));
    assert_eq!(d.apply(T0 + 2999, lease("one")).epoch, 1);
    assert_eq!(d.apply(T0 + 5998, lease("two")).code, ResultCode::LeaseHeld.number());
    assert_eq!(d.apply(T0 + 5999, lease("two")).epoch, 2);
}

/// Guards against a batch of an earlier open that is accepted after a later one, also if the owner stays the same.
#[rstest]
fn run_epoch_rises_with_each_open() {
    let mut d = Driver::new();
    assert_eq!(d.apply(T0, open_run("one", 1)).epoch, 1);
    assert_eq!(d.apply(T0, open_run("one", 1)).epoch, 2);
    assert_eq!(d.apply(T0, open_run("one", 2)).epoch, 3);
    assert_eq!(d.apply(T0, open_run("two", 1)).epoch, 4);
    assert_eq!(d.apply_as("resent", T0, None, open_run("two", 1)).epoch, 5);
    assert_eq!(d.apply_as("resent", T0, None, open_run("two", 1)).epoch, 5);
}

/// Guards against a version that decreases, and against refusals that count as changes.
#[rstest]
fn versions_only_rise() {
    let mut d = Driver::new();
    let publish =
        |version| Kind::PublishVersion(inner::ModelVersion { model: "m".into(), version });
    assert_eq!(d.apply(T0, publish(5)).revision, 1);
    let refused = d.apply(T0, publish(5));
    assert_eq!((refused.code, refused.revision), (ResultCode::Conflict.number(), 5));
    assert_eq!(d.apply(T0, publish(6)).revision, 2);
}

/// Guards against a replica that diverges after it is restored from a snapshot.
#[rstest]
fn restored_state_is_equal_and_stays_equal() {
    let mut d = Driver::new();
    d.apply(T0, claim("one", ""));
    d.apply(T0, lease("one"));
    d.apply(T0, open_run("one", 1));
    for n in 0..1200 {
        d.apply(T0 + n, Kind::StopUpstream(format!("upstream-{n}")));
    }
    let quarantine = inner::Quarantine { fingerprint: "f".into(), ..Default::default() };
    d.apply(T0, Kind::Quarantine(quarantine));
    let mut restored =
        Driver { machine: Machine::decode(&d.machine.encode()).unwrap(), index: d.index };
    assert_eq!(restored.machine.encode(), d.machine.encode());
    assert!(restored.machine.changes_after(100).is_none());
    assert_eq!(restored.machine.changes_after(201).unwrap().len(), 1000);
    for (n, kind) in [claim("two", "one"), lease("two"), open_run("two", 1)].into_iter().enumerate()
    {
        let now_ms = T0 + 700_000 * n as u64;
        assert_eq!(restored.apply(now_ms, kind.clone()), d.apply(now_ms, kind));
    }
    assert_eq!(restored.machine.encode(), d.machine.encode());
    assert!(d.machine.config().quarantined.is_empty(), "expired after 10 minutes");
}

/// Guards against a list of order results that grows without bound or evicts new ones.
#[rstest]
fn newest_order_results_are_kept() {
    let mut d = Driver::new();
    for n in 0..10_001 {
        d.apply_as(&format!("o{n}"), T0, None, open_run(&format!("owner-{n}"), 0));
    }
    assert_eq!(d.apply_as("o1", T0, None, open_run("x", 0)).epoch, 2);
    assert_eq!(d.apply_as("o0", T0, None, open_run("x", 0)).epoch, 10_002);
}

/// Guards against claims and lease renewals that evict operators' results before a resend arrives.
#[rstest]
fn claims_and_leases_do_not_evict_results_of_orders() {
    let mut d = Driver::new();
    assert_eq!(d.apply_as("order", T0, None, open_run("one", 1)).epoch, 1);
    for n in 0..10_001_u64 {
        d.apply_as(&format!("claim-{n}"), T0, None, claim("attempt", ""));
        d.apply_as(&format!("lease-{n}"), T0, None, lease("one"));
    }
    assert_eq!(d.apply_as("order", T0, None, open_run("two", 1)).epoch, 1);
}

/// Guards against orders that no process can execute, and against refusals that do not say what is accepted.
#[rstest]
#[case::bad_name(|p: &mut inner::Profile| p.name = "a b".into(), "1 to 128 ASCII")]
#[case::long_name(|p: &mut inner::Profile| p.name = "a".repeat(129), "1 to 128 ASCII")]
#[case::zero_deadline(|p: &mut inner::Profile| p.deadline_ms = 0, "1..=86400000")]
#[case::unknown_class(|p: &mut inner::Profile| p.class = 9, "rollout (3)")]
#[case::zero_share(|p: &mut inner::Profile| p.share = 0, "1..=1000")]
#[case::large_budget(|p: &mut inner::Profile| p.second_attempt_permille = 1001, "0..=1000")]
#[case::unknown_objective(|p: &mut inner::Profile| p.objective = 7, "staleness (1)")]
fn invalid_profile_is_refused_with_what_is_accepted(
    #[case] modify: fn(&mut inner::Profile),
    #[case] accepted: &str,
) {
    let mut profile = inner::Profile {
        name: "scorer".into(),
        upstream_kind: "scorer-llm".into(),
        class: inner::Class::Rollout.into(),
        engine: true,
        deadline_ms: 1000,
        objective: inner::Objective::Staleness.into(),
        share: 1,
        ..Default::default()
    };
    let check = |profile: &inner::Profile| {
        validation::check(&inner::Propose {
            order_id: "o".into(),
            command: Some(inner::Command {
                expected_revision: None,
                kind: Some(Kind::PutProfile(profile.clone())),
            }),
        })
    };
    check(&profile).unwrap();
    modify(&mut profile);
    assert!(check(&profile).unwrap_err().contains(accepted));
}
