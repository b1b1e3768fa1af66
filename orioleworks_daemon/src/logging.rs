//! Logs: one line of key=value pairs for each event, on standard error.

use std::{fmt::Write as _, io::Write as _};

use crate::clock;

/// Starts logging; `filter` has the syntax of `env_logger`, and the variable `ORIOLEWORKS_LOG` goes before it.
pub fn start(filter: &str) {
    let env = env_logger::Env::new().filter_or("ORIOLEWORKS_LOG", filter.to_owned());
    let started = env_logger::Builder::from_env(env)
        .format(|buf, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(buf, "ts_ms={} level={level} {}", clock::unix_ms(), record.args())
        })
        .try_init();
    // A second start happens in tests only; the first logger stays.
    drop(started);
}

/// Adds a pair to a line; a value with spaces, quotes or control characters is quoted.
pub fn push_pair(line: &mut String, key: &str, value: impl std::fmt::Display) {
    let text = value.to_string();
    let plain = !text.is_empty()
        && text.chars().all(|c| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=');
    let written =
        if plain { write!(line, " {key}={text}") } else { write!(line, " {key}={text:?}") };
    debug_assert!(written.is_ok());
}

/// Logs one event: `event!(info, "request_finished", request = id, ms = elapsed)`.
#[macro_export]
macro_rules! event {
    ($level:ident, $name:literal $(, $key:ident = $value:expr)* $(,)?) => {
        if ::log::log_enabled!($crate::logging::levels::$level) {
            #[allow(unused_mut)]
            let mut line = ::std::string::String::from(concat!("event=", $name));
            $($crate::logging::push_pair(&mut line, stringify!($key), &$value);)*
            ::log::log!($crate::logging::levels::$level, "{line}");
        }
    };
}

/// Level names for [`crate::event`].
#[allow(non_upper_case_globals)]
pub mod levels {
    /// A failure that needs an operator.
    pub const error: log::Level = log::Level::Error;
    /// A failure that the system handled.
    pub const warn: log::Level = log::Level::Warn;
    /// A change of state or a finished request.
    pub const info: log::Level = log::Level::Info;
    /// Detail for finding faults.
    pub const debug: log::Level = log::Level::Debug;
}
