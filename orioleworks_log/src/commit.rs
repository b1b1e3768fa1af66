//! Commits entries that a quorum has synced and applies them in order.

use orioleworks_proto::inner::{self, command::Kind};
use orioleworks_rules::log as rules;

use crate::node::{Log, ProposeError};

impl Log {
    /// Applies committed entries and completes the proposals that wait for them.
    pub(crate) fn apply_committed(&self) {
        loop {
            let entry = {
                let mut state = self.inner.state.borrow_mut();
                if state.applied >= state.commit {
                    break;
                }
                let index = state.applied + 1;
                let Some(entry) = state.entry(index).cloned() else { break };
                state.applied = index;
                entry
            };
            let kind = entry.command.as_ref().and_then(|command| command.kind.as_ref());
            let reply = match kind {
                Some(Kind::Noop(_) | Kind::Membership(_)) | None => inner::ProposeReply::default(),
                Some(_) => (self.inner.machine.apply)(&entry),
            };
            let waiting = self.inner.state.borrow_mut().pending_proposals.remove(&entry.index);
            if let Some((term, tx)) = waiting {
                let outcome =
                    if term == entry.term { Ok(reply) } else { Err(ProposeError::Unconfirmed) };
                drop(tx.send(outcome));
            }
        }
        self.inner.changed.notify();
    }

    /// Commits entries that a quorum has synced; only for the leader.
    pub(crate) fn advance_commit(&self) {
        {
            let mut state = self.inner.state.borrow_mut();
            if !state.is_leader() {
                return;
            }
            let synced: Vec<u64> = state
                .voters()
                .iter()
                .map(|id| match state.progress.get(id) {
                    _ if *id == state.id() => state.synced,
                    Some(progress) => progress.match_index,
                    None => 0,
                })
                .collect();
            let index = rules::quorum_index(&synced).min(state.last().index);
            let own_term =
                state.term_at(index).is_some_and(|term| rules::may_commit(term, state.term()));
            if synced.is_empty() || index <= state.commit || !own_term {
                return;
            }
            fail::fail_point!("log.before_commit");
            state.commit = index;
        }
        self.apply_committed();
    }
}
