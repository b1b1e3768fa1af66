//! Reloads settings while a daemon runs: on SIGHUP, or when the file has changed.

use std::{fs, path::PathBuf, pin::Pin, time::Duration};

use compio::{runtime, time};
use futures_util::{FutureExt, future::FusedFuture, select};
use nix::sys::signal::Signal;
use orioleworks_settings::{self as settings, Settings};
use tokio_util::sync::CancellationToken;

use crate::event;

/// Time between two reads of the file; addresses in it are out of date by seconds anyway.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Starts a task that calls `apply` with changed settings; a refused file changes nothing.
pub fn watch<T: Settings + 'static>(
    path: PathBuf,
    token: CancellationToken,
    apply: impl Fn(T) + 'static,
) {
    runtime::spawn(async move {
        let mut last_bytes = fs::read(&path).unwrap_or_default();
        // SIGHUP without a listener ends the process. This one is never polled again, so that it stays registered while the
        // other one, which the signal has completed, is replaced.
        let mut registered = hangup_signal();
        let _pending = futures_util::poll!(registered.as_mut());
        let mut signal = hangup_signal();
        while !token.is_cancelled() {
            let mut timer = std::pin::pin!(time::sleep(FILE_CHECK_INTERVAL).fuse());
            select! {
                _ = signal => signal = hangup_signal(),
                () = timer => (),
            }
            let Ok(bytes) = fs::read(&path) else { continue };
            if bytes == last_bytes {
                continue;
            }
            match settings::load(&path) {
                Ok(cfg) => {
                    event!(info, "settings_reloaded", file = path.display());
                    apply(cfg);
                }
                Err(e) => event!(warn, "settings_refused", reason = e),
            }
            last_bytes = bytes;
        }
    })
    .detach();
}

fn hangup_signal() -> Pin<Box<dyn FusedFuture<Output = std::io::Result<()>>>> {
    Box::pin(compio::signal::unix::signal(Signal::SIGHUP as i32).fuse())
}
