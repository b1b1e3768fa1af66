//! Specification of claiming, dispatching and repeating one non-idempotent request.
//!
//! There is one idempotency key and several attempts, each at an entry of its own. A lost request or reply is one that
//! is never delivered, so a partition is a set of deliveries that do not happen.

use orioleworks_rules::claims::{
    self as rules, AttemptFacts, AttemptOutcome, CLAIM_RETENTION_MS, ClaimDecision, ClaimRequest,
    ClaimState, HeldClaim, MAX_CLOCK_SKEW_MS,
};

use crate::explore::Model;

/// Attempts of the caller: the first one and its repeats.
const ATTEMPTS: usize = 3;
/// Times of control's clock; among the last three, neighbours differ by less than the skew between two leaders.
const TIMES_MS: [u64; 4] = [
    0,
    CLAIM_RETENTION_MS - MAX_CLOCK_SKEW_MS / 2,
    CLAIM_RETENTION_MS + MAX_CLOCK_SKEW_MS / 4,
    CLAIM_RETENTION_MS + MAX_CLOCK_SKEW_MS,
];
/// Most changes of the leader.
const MAX_LEADER_CHANGES: u8 = 1;
/// Most entries that crash.
const MAX_CRASHES: u8 = 2;
const ATTEMPT_IDS: [&str; ATTEMPTS] = ["a", "b", "c"];

/// The one rule that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// No rule is broken.
    Intact,
    /// The request is sent before its claim is committed.
    DispatchBeforeCommit,
    /// The request is sent a second time under the same claim.
    DispatchTwice,
    /// A repeat is granted the claim when the holder is considered terminated.
    GoneHolderGrantsAgain,
    /// A claim is released while its attempt may still send.
    ReleaseWhileSending,
    /// The report of one attempt ends the claim of another attempt.
    ReportEndsOtherClaim,
    /// An attempt without a response counts as not run.
    SilenceIsNotRun,
    /// A finished claim is granted again.
    FinishedGrantsAgain,
    /// A claim is deleted as soon as its key has expired by the clock of one leader.
    ForgetAtExpiry,
    /// The age of a key is not checked.
    ExpiryIgnored,
}

/// The specification.
#[derive(Clone, Copy, Debug)]
pub struct Claims {
    /// Rule that is broken.
    pub broken: Broken,
}

/// Claim of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Held {
    state: ClaimState,
    attempt: u8,
}

/// Outcome that is reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallerOutcome {
    /// The request did not run.
    NotRun,
    /// The complete response.
    Response,
    /// The request may have run.
    Unknown,
}

/// One attempt at its entry, and its request to the upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt {
    crashed: bool,
    /// Control's reply to the request for the claim, and whether the claim was committed by then.
    decision: Option<(ClaimDecision, bool)>,
    facts: AttemptFacts,
    in_flight: u8,
    ran: u8,
    refused: bool,
    closed: bool,
    caller_outcome: Option<CallerOutcome>,
    /// State that the entry reports to control; lost if the entry crashes before delivery.
    report: Option<ClaimState>,
}

/// State of control, of the attempts and of the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct State {
    time: u8,
    leader_changes: u8,
    crashes: u8,
    committed: Option<Held>,
    proposed: Option<Held>,
    /// Attempts whose entry control considers terminated, rightly or not.
    terminated: [bool; ATTEMPTS],
    attempts: [Attempt; ATTEMPTS],
}

/// Step of a trace; the number is the attempt.
#[derive(Clone, Copy, Debug)]
#[allow(missing_docs)]
pub enum Step {
    RequestClaim { attempt: usize, reply_lost: bool },
    CommitClaim,
    Dispatch(usize),
    Run(usize),
    Refuse(usize),
    ReceiveResponse(usize),
    ReceiveRefusal(usize),
    GiveUp(usize),
    RespondToCaller(usize),
    Report(usize),
    CrashEntry(usize),
    MarkEntryTerminated(usize),
    ChangeLeader { clock_back: bool },
    Tick,
    Forget,
}

/// Claim in the form that the rules take.
fn held_claim(s: &State, held: Held) -> HeldClaim<'static> {
    HeldClaim {
        state: held.state,
        attempt_id: ATTEMPT_IDS[held.attempt as usize],
        fingerprint: "f",
        holder_terminated: s.terminated[held.attempt as usize],
    }
}

impl Claims {
    fn is_variant(&self, broken: Broken) -> bool {
        self.broken == broken
    }

    fn decide(&self, s: &State, attempt: usize) -> ClaimDecision {
        let held = s.proposed.or(s.committed).map(|held| held_claim(s, held));
        let now_ms =
            if self.is_variant(Broken::ExpiryIgnored) { 0 } else { TIMES_MS[s.time as usize] };
        let request =
            ClaimRequest { attempt_id: ATTEMPT_IDS[attempt], fingerprint: "f", issued_ms: 0 };
        match rules::decide_claim(held, request, now_ms) {
            ClaimDecision::Unknown if self.is_variant(Broken::GoneHolderGrantsAgain) => {
                ClaimDecision::Granted
            }
            ClaimDecision::Finished if self.is_variant(Broken::FinishedGrantsAgain) => {
                ClaimDecision::Granted
            }
            decision => decision,
        }
    }

    fn claim_request_steps(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        let decision = self.decide(s, i);
        let running = Held { state: ClaimState::Running, attempt: i as u8 };
        for reply_lost in [false, true] {
            let mut n = *s;
            let mut committed = s.committed == Some(running);
            if decision == ClaimDecision::Granted && !committed && s.proposed != Some(running) {
                n.proposed = Some(running);
                committed = false;
            }
            let uncommitted_grant = decision == ClaimDecision::Granted && !committed;
            // Control replies that a claim is granted only after it is committed.
            if !reply_lost && (!uncommitted_grant || self.is_variant(Broken::DispatchBeforeCommit))
            {
                n.attempts[i].decision = Some((decision, committed));
            }
            if n != *s {
                out.push((Step::RequestClaim { attempt: i, reply_lost }, n));
            }
        }
    }

    fn entry_steps(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        let a = &s.attempts[i];
        if a.crashed {
            return;
        }
        let mut push_step = |step, change: &dyn Fn(&mut Attempt)| {
            let mut n = *s;
            change(&mut n.attempts[i]);
            if n != *s {
                out.push((step, n));
            }
        };
        if let Some((decision, committed)) = a.decision {
            let committed = committed || self.is_variant(Broken::DispatchBeforeCommit);
            let sent = a.facts.sent
                && !(self.is_variant(Broken::DispatchTwice) && a.in_flight + a.ran < 2);
            if !a.closed && rules::may_dispatch(decision, committed, sent) {
                push_step(Step::Dispatch(i), &|a| {
                    a.facts.sent = true;
                    a.in_flight += 1;
                });
            }
            if decision == ClaimDecision::Granted && a.caller_outcome.is_none() {
                // The deadline passes or the connection is lost; nothing is sent afterwards.
                push_step(Step::GiveUp(i), &|a| a.closed = true);
                if let Some(caller_outcome) = self.granted_outcome(a) {
                    push_step(Step::RespondToCaller(i), &|a| self.respond(a, caller_outcome));
                }
            } else if a.caller_outcome.is_none() {
                let caller_outcome = match decision {
                    ClaimDecision::Finished => Some(CallerOutcome::Response),
                    ClaimDecision::Unknown => Some(CallerOutcome::Unknown),
                    ClaimDecision::KeyExpired | ClaimDecision::KeyReused => {
                        Some(CallerOutcome::NotRun)
                    }
                    // The caller repeats the request later at this or another entry.
                    ClaimDecision::InProgress | ClaimDecision::Granted => None,
                };
                push_step(Step::RespondToCaller(i), &|a| {
                    a.caller_outcome = caller_outcome;
                    a.decision = a.decision.filter(|_| caller_outcome.is_some());
                });
            }
        }
        if a.ran > 0 && !a.closed {
            push_step(Step::ReceiveResponse(i), &|a| a.facts.complete = true);
        }
        if a.refused && !a.closed {
            push_step(Step::ReceiveRefusal(i), &|a| a.facts.refused_by_upstream = true);
        }
    }

    /// Outcome that may be reported to the caller of a granted attempt now.
    fn granted_outcome(&self, a: &Attempt) -> Option<CallerOutcome> {
        let ended = a.closed || a.facts.complete || a.facts.refused_by_upstream;
        let released_early = self.is_variant(Broken::ReleaseWhileSending) && !a.facts.sent;
        (ended || released_early).then(|| match rules::attempt_outcome(a.facts) {
            AttemptOutcome::NotRun => CallerOutcome::NotRun,
            AttemptOutcome::Finished => CallerOutcome::Response,
            AttemptOutcome::Unknown if self.is_variant(Broken::SilenceIsNotRun) => {
                CallerOutcome::NotRun
            }
            AttemptOutcome::Unknown => CallerOutcome::Unknown,
        })
    }

    fn respond(&self, a: &mut Attempt, caller_outcome: CallerOutcome) {
        a.caller_outcome = Some(caller_outcome);
        // Receiving the end of the exchange closes the attempt as well.
        a.closed |= a.facts.sent || !self.is_variant(Broken::ReleaseWhileSending);
        let outcome = match caller_outcome {
            CallerOutcome::NotRun => AttemptOutcome::NotRun,
            CallerOutcome::Response => AttemptOutcome::Finished,
            CallerOutcome::Unknown => AttemptOutcome::Unknown,
        };
        let closed = a.closed || self.is_variant(Broken::ReleaseWhileSending);
        a.report = Some(match outcome {
            _ if rules::may_release(outcome, closed) => ClaimState::Released,
            AttemptOutcome::Finished => ClaimState::Finished,
            _ => ClaimState::Unknown,
        });
    }

    fn upstream_steps(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        let a = &s.attempts[i];
        if a.in_flight > 0 {
            let mut n = *s;
            n.attempts[i].in_flight -= 1;
            n.attempts[i].ran += 1;
            out.push((Step::Run(i), n));
            if a.ran == 0 {
                let mut n = *s;
                n.attempts[i].in_flight -= 1;
                n.attempts[i].refused = true;
                out.push((Step::Refuse(i), n));
            }
        }
        if a.crashed {
            return;
        }
        // The report may be delivered at any later time, and repeatedly.
        if let Some(state) = a.report
            && let Some(held) = s.committed.filter(|_| s.proposed.is_none())
        {
            let ends_other_claim =
                self.is_variant(Broken::ReportEndsOtherClaim) && held.state == ClaimState::Running;
            if ends_other_claim || rules::may_finish(held_claim(s, held), ATTEMPT_IDS[i]) {
                let committed = Some(Held { state, ..held });
                out.push((Step::Report(i), State { committed, ..*s }));
            }
        }
    }

    fn control_steps(&self, s: &State, out: &mut Vec<(Step, State)>) {
        if let Some(held) = s.proposed {
            out.push((Step::CommitClaim, State { committed: Some(held), proposed: None, ..*s }));
        }
        if s.leader_changes < MAX_LEADER_CHANGES {
            let n = State { leader_changes: s.leader_changes + 1, proposed: None, ..*s };
            out.push((Step::ChangeLeader { clock_back: false }, n));
            let back = s.time.saturating_sub(1) as usize;
            // The clocks of two leaders differ by less than the skew.
            if s.time > 0 && TIMES_MS[s.time as usize] - TIMES_MS[back] < MAX_CLOCK_SKEW_MS {
                let n = State { time: s.time - 1, ..n };
                out.push((Step::ChangeLeader { clock_back: true }, n));
            }
        }
        if (s.time as usize) < TIMES_MS.len() - 1 {
            out.push((Step::Tick, State { time: s.time + 1, ..*s }));
        }
        let now_ms = TIMES_MS[s.time as usize];
        let forget = rules::may_forget(0, now_ms)
            || (self.is_variant(Broken::ForgetAtExpiry) && rules::is_expired(0, now_ms));
        if forget && s.committed.is_some() {
            out.push((Step::Forget, State { committed: None, ..*s }));
        }
    }

    fn fault_steps(&self, s: &State, i: usize, out: &mut Vec<(Step, State)>) {
        if s.crashes < MAX_CRASHES && !s.attempts[i].crashed {
            let mut n = *s;
            n.attempts[i].crashed = true;
            n.crashes += 1;
            out.push((Step::CrashEntry(i), n));
        }
        // Control may consider an entry terminated that is only slow.
        let holds = s.proposed.or(s.committed).is_some_and(|held| held.attempt as usize == i);
        if holds && !s.terminated[i] {
            let mut n = *s;
            n.terminated[i] = true;
            out.push((Step::MarkEntryTerminated(i), n));
        }
    }
}

/// Sorts the attempts; states that differ only by the names of the attempts become equal.
fn canonical(s: &State) -> State {
    let mut order: Vec<usize> = (0..ATTEMPTS).collect();
    let holds = |held: Option<Held>, i: usize| held.is_some_and(|held| held.attempt as usize == i);
    order.sort_by_key(|i| {
        (s.attempts[*i], s.terminated[*i], holds(s.committed, *i), holds(s.proposed, *i))
    });
    let reorder = |held: Held| {
        let at = order.iter().position(|i| *i == held.attempt as usize).unwrap_or(0);
        Held { attempt: at as u8, ..held }
    };
    let mut n =
        State { committed: s.committed.map(reorder), proposed: s.proposed.map(reorder), ..*s };
    for (at, i) in order.iter().enumerate() {
        (n.attempts[at], n.terminated[at]) = (s.attempts[*i], s.terminated[*i]);
    }
    n
}

impl Model for Claims {
    type State = State;
    type Step = Step;

    fn name(&self) -> String {
        format!("claims/{:?}", self.broken)
    }

    fn bound(&self) -> String {
        format!(
            "1 key, {ATTEMPTS} attempts, {MAX_CRASHES} entry crashes, {MAX_LEADER_CHANGES} leader changes, {} times",
            TIMES_MS.len()
        )
    }

    fn start(&self) -> State {
        State::default()
    }

    fn steps(&self, s: &State) -> Vec<(Step, State)> {
        let mut out = Vec::new();
        for (i, a) in s.attempts.iter().enumerate() {
            if !a.crashed && a.decision.is_none() && a.caller_outcome.is_none() {
                self.claim_request_steps(s, i, &mut out);
            }
            self.entry_steps(s, i, &mut out);
            self.upstream_steps(s, i, &mut out);
            self.fault_steps(s, i, &mut out);
        }
        self.control_steps(s, &mut out);
        out.into_iter().map(|(step, n)| (step, canonical(&n))).collect()
    }

    fn violation(&self, s: &State) -> Option<&'static str> {
        if s.attempts.iter().map(|a| a.ran).sum::<u8>() > 1 {
            return Some("a request runs at most once");
        }
        let wrong =
            s.attempts.iter().any(|a| a.caller_outcome == Some(CallerOutcome::NotRun) && a.ran > 0);
        wrong.then_some("\"not run\" never for a request that ran")
    }

    fn is_complete(&self, s: &State) -> bool {
        s.attempts.iter().any(|a| a.caller_outcome.is_some())
    }

    fn must_stay_completable(&self) -> bool {
        true
    }
}
