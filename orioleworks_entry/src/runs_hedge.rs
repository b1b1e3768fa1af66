//! Second attempts for stragglers and their budget of extra tokens.
//!
//! See `docs/design.md`, section 8.

use std::{cell::RefCell, rc::Rc, time::Duration};

use crate::runs_step::{SlotId, Step};

/// Share of a group that must have finished before a missing sample gets a second attempt, in percent.
const FINISHED_PERCENT: usize = 75;
/// Thousandths of a token in a token.
const MILLI: u64 = 1000;

/// Budget of extra tokens of one run; the rest of a step is left for the run's next step. Clones share it.
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
    /// Adds the share of a finished sample.
    pub fn earn(&self, tokens: u64, permille: u32) {
        self.account.borrow_mut().earned_milli += tokens * u64::from(permille);
    }

    /// Reserves the most tokens that a second attempt can cost; false when the budget does not cover them.
    ///
    /// How many tokens the cancelled attempt produced is unknown, so the whole reservation counts as spent.
    pub fn reserve(&self, tokens: u32) -> bool {
        let mut account = self.account.borrow_mut();
        let spent = account.spent_milli + u64::from(tokens) * MILLI;
        let covered = spent <= account.earned_milli;
        if covered {
            account.spent_milli = spent;
        }
        covered
    }

    /// Returns a reservation whose attempt did not run.
    pub fn refund(&self, tokens: u32) {
        let mut account = self.account.borrow_mut();
        account.spent_milli = account.spent_milli.saturating_sub(u64::from(tokens) * MILLI);
    }

    /// Tokens reserved so far.
    pub fn spent(&self) -> u64 {
        self.account.borrow().spent_milli / MILLI
    }
}

/// Running times of finished samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Durations {
    sum: Duration,
    count: u32,
}

impl Durations {
    /// Adds a finished sample.
    pub fn add(&mut self, ran: Duration) {
        self.sum += ran;
        self.count += 1;
    }

    /// Mean running time, if any sample has finished.
    pub fn mean(&self) -> Option<Duration> {
        self.sum.checked_div(self.count)
    }
}

/// Whether a slot whose attempt has run for a time gets a second attempt now; reserves its tokens.
///
/// A sample that was only just started again is no straggler, so it must have run for the mean time of the step.
pub fn reserve(step: &Step, id: SlotId, running: Duration) -> bool {
    let state = step.state.borrow();
    let group = &state.groups[id.group];
    let enough = group.finished * 100 >= group.slots.1 * FINISHED_PERCENT;
    let late = state.durations.mean().is_some_and(|mean| running >= mean);
    enough && late && state.budget.reserve(step.max_tokens)
}
