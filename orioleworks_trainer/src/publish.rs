//! Publishes weight versions.

use std::time::{Duration, Instant};

use compio::time;

use crate::{
    client::Trainer,
    error::TrainerError,
    messages::{Publish, Published},
};

/// Longest wait for one entry's response.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

impl Trainer {
    /// Publishes a version; resends the order under the same ID, to any entry, until a response arrives.
    ///
    /// # Errors
    ///
    /// Returns a final refusal, or [`TrainerError::Timeout`]; after the latter the version may still be published, so
    /// repeat the call with the same order ID.
    pub async fn publish(
        &mut self,
        model: &str,
        version: u64,
        order_id: &str,
    ) -> Result<u64, TrainerError> {
        let deadline = Instant::now() + self.options.retry_timeout;
        let path = format!("/v1/models/{model}/versions");
        loop {
            let body = Publish { version, order_id };
            let address = &self.entries[self.entry_index];
            match self.post::<Published>(address, &path, &body, ATTEMPT_TIMEOUT).await {
                Ok(published) => return Ok(published.revision),
                Err(e) if e.is_final() => return Err(e),
                Err(e) if Instant::now() >= deadline => {
                    return Err(TrainerError::Timeout(e.to_string()));
                }
                Err(_) => {
                    self.next_entry();
                    time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}
