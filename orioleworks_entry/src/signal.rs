//! Notifies waiting tasks of the same thread of a change.

use std::{cell::RefCell, time::Duration};

use futures_channel::oneshot;

/// Notifies all waiting tasks of a change.
#[derive(Debug, Default)]
pub struct Signal {
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

/// Pending wait for a change. Create it before checking the condition, so that no change in between is missed.
#[derive(Debug)]
pub struct Wait(oneshot::Receiver<()>);

impl Signal {
    /// Starts a wait for the next change.
    pub fn wait(&self) -> Wait {
        let (tx, rx) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|tx| !tx.is_canceled());
        waiting.push(tx);
        Wait(rx)
    }

    /// Wakes every waiting task.
    pub fn notify(&self) {
        for tx in self.waiting.take() {
            // The task may have stopped waiting.
            let _ = tx.send(());
        }
    }
}

impl Wait {
    /// Waits for the change, at most for `limit`.
    pub async fn up_to(self, limit: Duration) {
        let _ = compio::time::timeout(limit, self.0).await;
    }
}
