//! Shutdown in stages: drain on the first signal, stop on the second signal or the deadline, and shortly before the deadline
//! an answer to each request that is not finished.

use std::{cell::Cell, rc::Rc, time::Duration};

use compio::{runtime, signal::unix};
use futures_util::{FutureExt, select};
use nix::sys::signal::Signal;
use tokio_util::sync::CancellationToken;

use crate::event;

/// Signals that request a shutdown.
const SIGNALS: [Signal; 2] = [Signal::SIGTERM, Signal::SIGINT];

/// Time before the deadline at which unfinished requests are answered, so that the answers are sent before the process exits.
pub const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Tokens of the stages; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Cancelled when the drain starts: the process finishes the work in progress, and `/ready` fails.
    pub drain: CancellationToken,
    /// Cancelled shortly before the deadline: requests without a response get one that says so.
    pub answer: CancellationToken,
    /// Cancelled when the process must exit at once.
    pub stop: CancellationToken,
}

impl Shutdown {
    /// Starts a task that turns SIGTERM and SIGINT into the stages.
    pub fn watch_signals(&self, deadline: Duration) {
        let shutdown = self.clone();
        runtime::spawn(async move {
            // A signal without a listener ends the process, so these stay registered until it exits.
            let mut listeners = SIGNALS.map(|signal| Box::pin(unix::signal(signal as i32)));
            for listener in &mut listeners {
                let _registered = futures_util::poll!(listener.as_mut());
            }
            next_signal().await;
            event!(info, "drain_started", deadline_ms = deadline.as_millis());
            shutdown.drain.cancel();
            let mut second = std::pin::pin!(next_signal().fuse());
            let answer = shutdown.answer.clone();
            let timer = async move {
                compio::time::sleep(deadline.saturating_sub(ANSWER_TIME)).await;
                answer.cancel();
                compio::time::sleep(deadline.min(ANSWER_TIME)).await;
            };
            let mut timer = std::pin::pin!(timer.fuse());
            select! {
                () = second => event!(warn, "stopped_by_second_signal"),
                () = timer => event!(warn, "stopped_by_deadline"),
            }
            shutdown.stop.cancel();
            std::future::pending::<()>().await;
        })
        .detach();
    }

    /// Whether the process is draining.
    pub fn draining(&self) -> bool {
        self.drain.is_cancelled()
    }
}

async fn next_signal() {
    let [term, int] = SIGNALS.map(|signal| unix::signal(signal as i32).fuse());
    let (mut term, mut int) = (std::pin::pin!(term), std::pin::pin!(int));
    select! { _ = term => (), _ = int => () }
}

/// Counts operations in progress, so that a drain can wait for them.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    count: Rc<Cell<usize>>,
}

/// One operation in progress; dropping the guard ends it.
#[derive(Debug)]
pub struct InFlightGuard {
    count: Rc<Cell<usize>>,
}

impl InFlight {
    /// Counts one more operation until the guard is dropped.
    pub fn enter(&self) -> InFlightGuard {
        self.count.set(self.count.get() + 1);
        InFlightGuard { count: self.count.clone() }
    }

    /// Number of operations in progress.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Waits until no operation is in progress.
    pub async fn wait_idle(&self) {
        const POLL_INTERVAL_MS: u64 = 10;
        while self.count.get() > 0 {
            compio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
