//! RPC service for entries, operators and other replicas.

use std::{
    cell::RefCell,
    io::Read,
    rc::Rc,
    time::{Duration, Instant},
};

use orioleworks_daemon::clock;
use orioleworks_log::{Log, LogError, Part, Restoration, Settings, notify::Notify};
use orioleworks_proto::{
    codes::ResultCode,
    inner::{self, command::Kind, frame::Body},
};
use tokio_util::sync::CancellationToken;

use crate::{
    machine::Machine,
    sightings::{self, Sightings},
    validation,
};

/// Longest time for which a watch request is held open.
const MAX_WATCH_HOLD: Duration = Duration::from_millis(1000);

/// The service of one replica; clones share it.
#[derive(Clone, Debug)]
pub struct Service {
    log: Log,
    machine: Rc<RefCell<Machine>>,
    sightings: Sightings,
    /// Notified on each committed configuration change.
    committed: Notify,
}

impl Service {
    /// Opens the log and restores the state machine.
    ///
    /// # Errors
    ///
    /// Returns why the data directory cannot be used.
    pub fn open(settings: Settings, token: CancellationToken) -> Result<Self, LogError> {
        let machine = Rc::new(RefCell::new(Machine::default()));
        let sightings = Sightings::default();
        let committed = Notify::default();
        let log = Log::open(settings, log_callbacks(&machine, &sightings, &committed), token)?;
        Ok(Self { log, machine, sightings, committed })
    }

    /// The replicated log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Configuration revision that this replica has committed.
    pub fn revision(&self) -> u64 {
        self.machine.borrow().revision()
    }

    /// Handles one message and returns the reply, or `None` for a message that control does not handle.
    pub async fn handle(&self, body: Body) -> Option<Body> {
        match body {
            Body::Propose(propose) => Some(Body::ProposeReply(self.propose(propose).await)),
            Body::Watch(watch) => Some(Body::WatchReply(self.watch(watch).await)),
            Body::Status(status) => Some(Body::StatusReply(self.status(status.current).await)),
            other => self.log.handle(other).await,
        }
    }

    async fn propose(&self, mut propose: inner::Propose) -> inner::ProposeReply {
        let started = Instant::now();
        let reply = match validation::check(&propose) {
            Err(detail) => error_reply(ResultCode::InvalidOrder, &detail),
            Ok(()) => match self.log.ready_to_propose().await {
                Err(e) => error_reply(e.code(), ""),
                Ok(()) => {
                    let mut command = propose.command.take().unwrap_or_default();
                    self.mark_terminated_holder(&mut command);
                    match self.refuse_lease(&command) {
                        Some(refusal) => refusal,
                        None => {
                            let outcome = self.log.propose(&propose.order_id, command).await;
                            outcome.unwrap_or_else(|e| error_reply(e.code(), ""))
                        }
                    }
                }
            },
        };
        let code = reply.code.to_string();
        metrics::counter!("orioleworks_control_proposals_total", "code" => code).increment(1);
        metrics::histogram!("orioleworks_control_proposal_seconds").record(started.elapsed());
        let not_leader = reply.code == ResultCode::NotLeader.number();
        let leader_address = if not_leader { self.log.leader_address() } else { String::new() };
        inner::ProposeReply { leader_address, ..reply }
    }

    /// Sets `gone_attempt_id` to the attempt that holds the key of a claim, if the entry that runs this attempt has
    /// terminated.
    ///
    /// Only the leader can determine this. `gone_attempt_id` has no effect if another attempt holds the key when the
    /// command is applied.
    fn mark_terminated_holder(&self, command: &mut inner::Command) {
        let Some(Kind::Claim(claim)) = &mut command.kind else { return };
        claim.gone_attempt_id.clear();
        let machine = self.machine.borrow();
        let Some(held) = machine.held_claim(&claim.key) else { return };
        let leading_for = self.log.leading_for().unwrap_or_default();
        if self.sightings.has_terminated(&held.entry, held.entry_incarnation, leading_for) {
            claim.gone_attempt_id = held.attempt_id.clone();
        }
    }

    /// Refuses a lease without a log entry, or returns `None` if there is no reason to. A refusal grants nothing, so it
    /// is safe even on a leader that has been replaced.
    fn refuse_lease(&self, command: &inner::Command) -> Option<inner::ProposeReply> {
        let Some(Kind::AcquireOrderLease(request)) = &command.kind else { return None };
        self.machine.borrow().refuse_lease(request, clock::unix_ms())
    }

    async fn watch(&self, watch: inner::Watch) -> inner::WatchReply {
        let hold = Duration::from_millis(watch.wait_ms.into()).min(MAX_WATCH_HOLD);
        let deadline = Instant::now() + hold;
        let mut domain = String::new();
        if let Some(entry) = watch.entry
            && validation::is_name(&entry.name)
        {
            domain.clone_from(&entry.domain);
            self.sightings.record(entry, watch.applied_revision);
        }
        let applied = watch.applied_revision;
        loop {
            let known_version = self.committed.version();
            // A partitioned replica refuses the watch, so that the entry asks another replica.
            if !self.log.is_current() {
                let code = ResultCode::NoQuorum.number();
                let leader_address = self.log.leader_address();
                return inner::WatchReply { code, leader_address, ..inner::WatchReply::default() };
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if self.revision() > applied || remaining.is_zero() {
                return match watch.entries_hash {
                    Some(hash) => self.watch_reply(applied, self.entries(&domain, hash)),
                    // Entries of an older version send no hash and expect the complete list in every reply.
                    None => self.watch_reply(applied, (self.sightings.live(), None)),
                };
            }
            self.committed.changed_within(known_version, remaining).await;
        }
    }

    /// Live entries of a failure domain and the hash of their list; the list is left out if the requester already has
    /// it, as `known_hash` says.
    ///
    /// A list of 390 identities takes 25 KB, too much for every reply at the traffic limit of 3 KB/s per node.
    fn entries(&self, domain: &str, known_hash: u64) -> (Vec<inner::EntryIdentity>, Option<u64>) {
        let mut entries = self.sightings.live_in(domain);
        let hash = sightings::hash(&entries);
        if hash == known_hash {
            entries.clear();
        }
        (entries, Some(hash))
    }

    fn watch_reply(
        &self,
        applied: u64,
        (entries, entries_hash): (Vec<inner::EntryIdentity>, Option<u64>),
    ) -> inner::WatchReply {
        if self.revision() > applied {
            fail::fail_point!("config.before_watch_reply");
        }
        let machine = self.machine.borrow();
        let changes = machine.changes_after(applied);
        let config = changes.is_none().then(|| machine.config());
        inner::WatchReply {
            code: ResultCode::Ok.number(),
            revision: machine.revision(),
            changes: changes.unwrap_or_default(),
            config,
            leader_address: self.log.leader_address(),
            entries,
            entries_hash,
        }
    }

    async fn status(&self, current: bool) -> inner::StatusReply {
        let code = match current {
            true => {
                self.log.confirm_leadership().await.map_or_else(|e| e.code(), |()| ResultCode::Ok)
            }
            false => ResultCode::Ok,
        };
        if code != ResultCode::Ok {
            // The configuration is left out: the requester asks another replica for it.
            return inner::StatusReply { code: code.number(), ..self.log.status() };
        }
        let machine = self.machine.borrow();
        inner::StatusReply {
            code: code.number(),
            config: Some(machine.config()),
            entries: self.sightings.statuses(),
            runs: machine.runs(),
            order_leases: machine.order_leases(),
            ..self.log.status()
        }
    }
}

fn log_callbacks(
    machine: &Rc<RefCell<Machine>>,
    sightings: &Sightings,
    committed: &Notify,
) -> orioleworks_log::StateMachine {
    let (apply_machine, snapshot_machine, restore_machine) =
        (machine.clone(), machine.clone(), machine.clone());
    let (apply_notify, restore_notify) = (committed.clone(), committed.clone());
    let (source, target) = (sightings.clone(), sightings.clone());
    orioleworks_log::StateMachine {
        apply: Box::new(move |entry| {
            let before = apply_machine.borrow().revision();
            let reply = apply_machine.borrow_mut().apply(entry);
            if apply_machine.borrow().revision() != before {
                apply_notify.notify();
            }
            reply
        }),
        snapshot: Box::new(move || {
            let encoded = snapshot_machine.borrow().encode();
            let part: Part = Box::new(move |w| w.write_all(&encoded));
            Box::new(std::iter::once(part))
        }),
        restore: Box::new(move || {
            let (machine, notify) = (restore_machine.clone(), restore_notify.clone());
            let decode = |r: &mut dyn Read| {
                let mut bytes = Vec::new();
                r.read_to_end(&mut bytes).map_err(|e| e.to_string())?;
                Machine::decode(&bytes)
            };
            Restoration::new(decode, move |decoded| {
                *machine.borrow_mut() = decoded;
                notify.notify();
                Ok(())
            })
        }),
        sightings: Box::new(move |version| source.newer_than(version)),
        merge_sightings: Box::new(move |statuses, sharing| target.merge(statuses, sharing)),
    }
}

fn error_reply(code: ResultCode, detail: &str) -> inner::ProposeReply {
    let message = if detail.is_empty() { code.to_string() } else { format!("{code}: {detail}") };
    inner::ProposeReply { code: code.number(), message, ..inner::ProposeReply::default() }
}
