//! Logs: one line of key=value pairs for each event.

use std::{
    backtrace::Backtrace, fmt::Write as _, io::Write as _, panic::PanicHookInfo, sync::OnceLock,
    time::Duration,
};

use crate::{clock, log_writer::LogWriter};

static WRITER: OnceLock<LogWriter> = OnceLock::new();

/// Environment variable whose filter overrides that of the settings.
const FILTER_VARIABLE: &str = "ORIOLEWORKS_LOG";

/// Starts logging of a tool to standard error; `filter` has the syntax of `env_logger`.
pub fn start(filter: &str) {
    start_to(filter, env_logger::Target::Stderr);
}

/// Starts logging of a daemon to standard output; a blocked output never delays the daemon.
pub fn start_daemon(filter: &str) {
    match LogWriter::start(std::io::stdout()) {
        Ok(writer) => {
            let writer = WRITER.get_or_init(|| writer).clone();
            start_to(filter, env_logger::Target::Pipe(Box::new(writer)));
        }
        Err(e) => {
            start(filter);
            crate::event!(error, "log_thread_missing", reason = e);
        }
    }
}

/// Writes the queued lines of a daemon before the process exits.
pub fn finish() {
    /// Longest wait; an output that nobody reads must not block the exit of the process.
    const TIMEOUT: Duration = Duration::from_millis(200);
    if let Some(writer) = WRITER.get() {
        writer.finish(TIMEOUT);
    }
}

/// Aborts the process when a task panics: a daemon that lacks one of its tasks would accept requests without doing its
/// work, and a panic may leave shared state half changed. See `docs/incidents/idle-time.md`.
pub fn abort_on_panic() {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        previous_hook(info);
        log_panic(info);
        finish();
        drop(std::io::stderr().flush());
        std::process::abort();
    }));
}

/// Logs a panic with the functions of this workspace that led to it. The location that a panic names is often in the standard
/// library, and tells nothing of the input that caused it.
fn log_panic(info: &PanicHookInfo<'_>) {
    const MAX_FRAMES: usize = 4;
    let reason = info.payload_as_str().unwrap_or("a panic without a message");
    let location = info.location().map_or_else(String::new, ToString::to_string);
    let frames = own_frames(&Backtrace::force_capture().to_string(), MAX_FRAMES);
    crate::event!(error, "process_aborted", reason = reason, at = location, frames = frames);
}

/// The innermost functions in a backtrace that belong neither to the standard library nor to a dependency, each with its line.
/// Those of the panic hook, which is in this file, are left out.
fn own_frames(backtrace: &str, most: usize) -> String {
    let is_foreign = |place: &str| place.contains("/rustc/") || place.contains("/registry/");
    let mut lines = backtrace.lines().map(str::trim).peekable();
    let mut frames = Vec::new();
    while let Some(line) = lines.next() {
        let Some((_, function)) = line.split_once(": ") else { continue };
        let Some(place) = lines.next_if(|next| next.starts_with("at ")) else { continue };
        if !is_foreign(place) && !place.contains("src/logging.rs") {
            frames.push(format!("{function} {place}"));
        }
    }
    frames.truncate(most);
    frames.join(", ")
}

fn start_to(filter: &str, target: env_logger::Target) {
    let env = env_logger::Env::new().filter_or(FILTER_VARIABLE, filter.to_owned());
    let started = env_logger::Builder::from_env(env)
        .format(|buf, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(buf, "ts_ms={} level={level} {}", clock::unix_ms(), record.args())
        })
        .target(target)
        .try_init();
    // A second start happens only in tests; the first logger stays in use.
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
    /// Detail for debugging.
    pub const debug: log::Level = log::Level::Debug;
}
