//! Requests that were in flight on crashed upstreams, and their quarantine.
//!
//! See `docs/design.md`, section 7.

use std::{cell::RefCell, rc::Rc, time::Duration};

use orioleworks_daemon::{clock, event, fingerprint};
use orioleworks_proto::inner;
use orioleworks_routing::suspects as routing;
pub use orioleworks_routing::suspects::Admission;

type Callback = Rc<dyn Fn()>;

/// A request to quarantine.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// Hash of profile and body.
    pub fingerprint: Rc<str>,
    /// Name of the profile.
    pub profile: Rc<str>,
}

/// Suspects of the failure domain; clones share the state.
#[derive(Clone, Default)]
pub struct Suspects {
    suspects: Rc<RefCell<routing::Suspects>>,
    on_change: Rc<RefCell<Option<Callback>>>,
    pending_quarantines: Rc<RefCell<Vec<Quarantine>>>,
}

impl std::fmt::Debug for Suspects {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Suspects").field("suspects", &self.suspects).finish_non_exhaustive()
    }
}

impl Suspects {
    /// Sets the function that is called for a new suspect, so that peers are notified before the next regular digest.
    pub fn set_on_change(&self, f: impl Fn() + 'static) {
        *self.on_change.borrow_mut() = Some(Rc::new(f));
    }

    /// All suspects in the form that is sent in a digest.
    pub fn to_messages(&self) -> Vec<inner::Suspect> {
        let suspects = self.suspects.borrow();
        let mut reports = suspects.reports(clock::since_boot());
        reports.extend(suspects.dismissed_reports());
        reports
            .into_iter()
            .map(|r| inner::Suspect {
                fingerprint: r.fingerprint.to_string(),
                profile: r.profile.to_string(),
                upstream: r.upstream.to_string(),
                crashes: u32::try_from(r.crashes).unwrap_or(u32::MAX),
                settled: r.settled,
                dismissed: r.dismissed,
            })
            .collect()
    }

    /// Merges the suspects reported by an entry of the same failure domain.
    pub fn merge_reports(&self, messages: &[inner::Suspect]) {
        for report in messages.iter().map(report) {
            if self.suspects.borrow_mut().merge_report(clock::since_boot(), &report) {
                self.pending_quarantines
                    .borrow_mut()
                    .push(Quarantine { fingerprint: report.fingerprint, profile: report.profile });
            }
        }
    }

    /// Merges the settled suspects reported by an entry of another failure domain.
    pub fn merge_remote_reports(&self, messages: &[inner::Suspect]) {
        for report in messages.iter().map(report) {
            if self.suspects.borrow_mut().merge_remote_report(clock::since_boot(), &report) {
                let quarantine =
                    Quarantine { fingerprint: report.fingerprint, profile: report.profile };
                self.pending_quarantines.borrow_mut().push(quarantine);
            }
        }
    }

    /// Notifies other failure domains immediately of suspects that have settled.
    pub fn notify_settled(&self) {
        if self.suspects.borrow_mut().take_newly_settled(clock::since_boot()) {
            let on_change = self.on_change.borrow().clone();
            on_change.inspect(|f| f());
        }
    }

    /// Records the loss of an upstream incarnation and the (fingerprint, profile) of each request in flight on it.
    pub fn record_upstream_loss(
        &self,
        at: Duration,
        name: &str,
        incarnation: u64,
        in_flight: &[(Rc<str>, Rc<str>)],
        live: usize,
    ) {
        let upstream: Rc<str> = format!("{name}#{incarnation}").into();
        event!(
            warn,
            "upstream_died",
            upstream = upstream,
            in_flight = in_flight.len(),
            live = live
        );
        let quarantined = self.suspects.borrow_mut().record_upstream_loss(
            at,
            upstream,
            in_flight.iter().cloned(),
            live,
        );
        for fingerprint in quarantined {
            let profile = in_flight.iter().find(|(f, _)| *f == fingerprint).map(|(_, p)| p.clone());
            self.pending_quarantines
                .borrow_mut()
                .push(Quarantine { fingerprint, profile: profile.unwrap_or_default() });
        }
        let on_change = self.on_change.borrow().clone();
        if let Some(f) = on_change.filter(|_| !in_flight.is_empty()) {
            f();
        }
    }

    /// Sets the index of this entry among the live entries of its failure domain, from 0.
    pub fn set_turn(&self, index: u32) {
        self.suspects.borrow_mut().set_retry_position(index);
    }

    /// Returns how a request may run now.
    pub fn admission(&self, fingerprint: &str) -> Admission {
        self.suspects.borrow().admission(fingerprint, clock::since_boot())
    }

    /// Returns how a request whose result is owed to a trainer may run now.
    pub fn owed_admission(&self, fingerprint: &str) -> Admission {
        self.suspects.borrow().owed_admission(fingerprint, clock::since_boot())
    }

    /// Removes expired records.
    pub fn expire(&self) {
        self.suspects.borrow_mut().expire(clock::since_boot());
    }

    /// Records that a request has finished without a crash.
    pub fn mark_completed(&self, fingerprint: &Rc<str>) {
        self.suspects.borrow_mut().mark_completed(fingerprint);
    }

    /// Largest number of upstreams on which requests with this content may be in flight concurrently, `None` for no
    /// limit.
    pub fn max_spread(&self, fingerprint: &str) -> Option<usize> {
        self.suspects.borrow().max_upstreams(fingerprint)
    }

    /// Removes the record of a request that finished while isolated, or whose quarantine control has stored.
    pub fn clear(&self, fingerprint: &str) {
        self.suspects.borrow_mut().clear(fingerprint, clock::since_boot());
    }

    /// Removes and returns the requests whose quarantine must be proposed to control.
    pub fn take_quarantines(&self) -> Vec<Quarantine> {
        let decided = self.suspects.borrow_mut().take_decided(clock::since_boot());
        let decided = decided.into_iter();
        let decided = decided.map(|(fingerprint, profile)| Quarantine { fingerprint, profile });
        self.pending_quarantines.borrow_mut().drain(..).chain(decided).collect()
    }
}

fn report(message: &inner::Suspect) -> routing::Report {
    routing::Report {
        fingerprint: message.fingerprint.as_str().into(),
        profile: message.profile.as_str().into(),
        upstream: message.upstream.as_str().into(),
        crashes: message.crashes as usize,
        settled: message.settled,
        dismissed: message.dismissed,
    }
}

/// Fingerprint of a request: SHA-256 of profile and body, in hexadecimal.
pub fn fingerprint(profile: &str, body: &[u8]) -> Rc<str> {
    // Profile names contain no NUL.
    fingerprint::of([profile.as_bytes(), body])
}
