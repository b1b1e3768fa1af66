//! Second attempts for stragglers and their budget of extra tokens.
//!
//! See `docs/design.md`, section 8.

use std::{cell::RefCell, rc::Rc, time::Duration};

use crate::runs_step::{SlotId, Step};

/// Percentage of a group's samples that must have finished before a straggler gets a second attempt.
const FINISHED_PERCENT: usize = 75;
/// Thousandths of a token per token.
const MILLI_PER_TOKEN: u64 = 1000;

/// Budget of extra tokens of one run; unspent tokens carry over to the run's next step. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    account: Rc<RefCell<Account>>,
}

#[derive(Debug, Default)]
struct Account {
    earned_milli: u64,
    spent_milli: u64,
}

impl Budget {
    /// Adds the share that a finished sample earns.
    pub fn earn(&self, tokens: u64, permille: u32) {
        let mut account = self.account.borrow_mut();
        let earned = tokens.saturating_mul(permille.into());
        account.earned_milli = account.earned_milli.saturating_add(earned);
    }

    /// Reserves the maximum number of tokens of a second attempt; returns false if the budget does not cover them.
    ///
    /// The number of tokens that the cancelled attempt produced is unknown, so the full reservation counts as spent.
    pub fn reserve(&self, tokens: u32) -> bool {
        let mut account = self.account.borrow_mut();
        let spent = account.spent_milli + u64::from(tokens) * MILLI_PER_TOKEN;
        let covered = spent <= account.earned_milli;
        if covered {
            account.spent_milli = spent;
        }
        covered
    }

    /// Refunds a reservation whose attempt did not run.
    pub fn refund(&self, tokens: u32) {
        let mut account = self.account.borrow_mut();
        account.spent_milli =
            account.spent_milli.saturating_sub(u64::from(tokens) * MILLI_PER_TOKEN);
    }

    /// Tokens reserved so far.
    pub fn spent(&self) -> u64 {
        self.account.borrow().spent_milli / MILLI_PER_TOKEN
    }
}

/// Running times of finished samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Durations {
    sum: Duration,
    count: u32,
}

impl Durations {
    /// Adds the running time of a finished sample.
    pub fn add(&mut self, ran: Duration) {
        self.sum += ran;
        self.count += 1;
    }

    /// Mean running time, if any sample has finished.
    pub fn mean(&self) -> Option<Duration> {
        self.sum.checked_div(self.count)
    }
}

/// Decides whether a slot whose attempt has run for `running` gets a second attempt now; if so, reserves its tokens.
///
/// The attempt must have run for the mean time of the step, because a sample that has just been restarted is not a
/// straggler.
pub fn reserve_second_attempt(step: &Step, id: SlotId, running: Duration) -> bool {
    let state = step.state.borrow();
    let group = &state.groups[id.group];
    let enough_finished = group.finished * 100 >= group.slot_count * FINISHED_PERCENT;
    let is_straggler = state.durations.mean().is_some_and(|mean| running >= mean);
    enough_finished && is_straggler && state.budget.reserve(step.max_tokens)
}
