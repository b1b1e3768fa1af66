//! Wakes every task that waits for a change of shared state.

use std::{
    cell::{Cell, RefCell},
    future::{Future, poll_fn},
    rc::Rc,
    task::{Poll, Waker},
    time::Duration,
};

#[derive(Debug, Default)]
struct Shared {
    version: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

/// Counter of changes that tasks can wait on; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Notify {
    shared: Rc<Shared>,
}

impl Notify {
    /// Number of changes so far; read it before looking at the state and pass it to [`Notify::changed`].
    pub fn version(&self) -> u64 {
        self.shared.version.get()
    }

    /// Counts a change and wakes the waiting tasks.
    pub fn notify(&self) {
        self.shared.version.set(self.shared.version.get() + 1);
        for waker in self.shared.wakers.take() {
            waker.wake();
        }
    }

    /// Waits until a change follows the given version.
    pub fn changed(&self, seen: u64) -> impl Future<Output = ()> + use<> {
        let shared = self.shared.clone();
        poll_fn(move |cx| {
            if shared.version.get() != seen {
                return Poll::Ready(());
            }
            let mut wakers = shared.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
                wakers.push(cx.waker().clone());
            }
            Poll::Pending
        })
    }

    /// Waits like [`Notify::changed`], but no longer than the given time; returns whether there was a change.
    pub async fn changed_within(&self, seen: u64, time: Duration) -> bool {
        compio::time::timeout(time, self.changed(seen)).await.is_ok()
    }
}
