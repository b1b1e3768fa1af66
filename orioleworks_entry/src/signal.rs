//! Wakes tasks of the same thread that wait for a change.

use std::{cell::RefCell, time::Duration};

use futures_channel::oneshot;

/// Wakes every waiting task on a change.
#[derive(Debug, Default)]
pub struct Signal {
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

/// One wait; it is created before the condition is checked, so that no change between is missed.
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
            // A task that has given up no longer needs the change.
            let _ = tx.send(());
        }
    }
}

impl Wait {
    /// Waits for the change, at most for the given time.
    pub async fn up_to(self, limit: Duration) {
        let _ = compio::time::timeout(limit, self.0).await;
    }
}
