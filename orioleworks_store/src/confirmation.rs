//! Confirmations that the route document of this store is the newest one, for gateways whose keys are leased.
//!
//! The time of a confirmation is that of the question to the leader, which asks a quorum after that. Replies that are held up
//! on the way therefore make a confirmation older, never younger. See `docs/design/tenants-usage-and-bounds.md`.

use std::{cell::Cell, rc::Rc, time::Duration};

use compio::time;
use orioleworks_daemon::{clock, event};
use orioleworks_fleet::convert;
use orioleworks_proto::inner;
use tokio_util::sync::CancellationToken;

use crate::service::Store;

/// Time between two questions.
const INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the leader.
const TIMEOUT: Duration = Duration::from_millis(450);

/// The newest confirmation; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Confirmations {
    /// Version, and time of the question.
    newest: Rc<Cell<Option<(u64, Duration)>>>,
}

impl Confirmations {
    /// Message for a gateway; `None` unless the document that this store sends is at least the confirmed one.
    pub fn message(&self, held_version: u64) -> Option<inner::DocumentConfirmation> {
        let (version, asked_at) =
            self.newest.get().filter(|(version, _)| held_version >= *version)?;
        let age = clock::since_boot().saturating_sub(asked_at) + Duration::from_millis(1);
        Some(inner::DocumentConfirmation { version, age_ms: convert::millis(age) })
    }

    /// Asks for confirmations until the token is cancelled, while gateways need them.
    pub async fn run(self, store: Store, token: CancellationToken) {
        let mut confirmed = true;
        while !token.is_cancelled() {
            if store.gives_confirmations() {
                let asked_at = clock::since_boot();
                let version = store.confirm_document(TIMEOUT).await;
                if version.is_ok() != confirmed {
                    confirmed = version.is_ok();
                    event!(info, "document_confirmation", confirmed = confirmed);
                }
                if let Ok(version) = version {
                    self.newest.set(Some((version, asked_at)));
                }
            }
            time::sleep(INTERVAL).await;
        }
    }
}
