//! Fingerprints of request contents.

use std::{fmt::Write as _, rc::Rc};

use sha2::{Digest, Sha256};

/// Number of digits of a fingerprint in log lines; enough to tell the contents of a day apart.
const LOGGED_DIGITS: usize = 12;

/// SHA-256 of the parts in hexadecimal.
///
/// The parts are separated by NUL. Only the last part may contain NUL, otherwise two contents could have the same
/// fingerprint.
pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Rc<str> {
    let mut hash = Sha256::new();
    for (i, part) in parts.into_iter().enumerate() {
        if i > 0 {
            hash.update([0]);
        }
        hash.update(part);
    }
    let mut text = String::with_capacity(64);
    for byte in hash.finalize() {
        let written = write!(text, "{byte:02x}");
        debug_assert!(written.is_ok());
    }
    text.into()
}

/// Fingerprint of a request on a platform with routes: two requests are the same if host, method, path and body agree.
///
/// The ID is left out, because each attempt of a caller has its own.
pub fn of_request(host: &str, method: &str, path_and_query: &str, body: &[u8]) -> Rc<str> {
    of([host.as_bytes(), method.as_bytes(), path_and_query.as_bytes(), body])
}

/// Short form for log lines.
pub fn logged(fingerprint: &str) -> &str {
    fingerprint.get(..LOGGED_DIGITS).unwrap_or(fingerprint)
}
