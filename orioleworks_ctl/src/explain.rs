//! Timeline of one request from the logs of several processes.
//!
//! See `docs/OPERATIONS.md`.

use std::{fmt::Write as _, fs, path::PathBuf};

/// Line of a log.
struct Line {
    ts_ms: u64,
    source: String,
    text: String,
}

/// Log lines of a request, a batch or an item in order of time; the last line gives the newest logged reason.
///
/// # Errors
///
/// Returns the file that cannot be read, or that no line contains the ID.
pub fn timeline(id: &str, files: &[PathBuf]) -> Result<String, String> {
    let mut lines = Vec::new();
    for file in files {
        let bytes = fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
        let source = file.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let text = String::from_utf8_lossy(&bytes);
        let named = text.lines().filter(|line| values(line).any(|(_, value)| value == id));
        lines.extend(named.filter_map(|line| parse(&source, line)));
    }
    if lines.is_empty() {
        return Err(format!("no line of {} files names {id}", files.len()));
    }
    lines.sort_by_key(|line| line.ts_ms);
    let start = lines.first().map_or(0, |line| line.ts_ms);
    let mut timeline = String::new();
    for line in &lines {
        // Writing to a string cannot fail.
        let _ = writeln!(timeline, "{:>8} ms  {}  {}", line.ts_ms - start, line.source, line.text);
    }
    let reason = lines.iter().rev().find_map(|line| {
        let event = values(&line.text).find(|(key, _)| *key == "event").map(|(_, v)| v);
        let reason = values(&line.text).find(|(key, _)| *key == "reason").map(|(_, v)| v);
        reason.map(|reason| format!("{reason} ({} at {})", event.unwrap_or("?"), line.source))
    });
    let reason = reason.unwrap_or_else(|| "no line gives one".into());
    let _ = writeln!(timeline, "reason: {reason}");
    Ok(timeline)
}

fn parse(source: &str, line: &str) -> Option<Line> {
    let at = line.find("ts_ms=")?;
    let (ts_ms, text) = line[at + "ts_ms=".len()..].split_once(' ')?;
    Some(Line { ts_ms: ts_ms.parse().ok()?, source: source.into(), text: text.to_owned() })
}

/// Key-value pairs of a line, without the quotes of values.
fn values(line: &str) -> impl Iterator<Item = (&str, &str)> {
    let mut rest = line;
    std::iter::from_fn(move || {
        let equals = rest.find('=')?;
        let key = rest[..equals].rsplit(' ').next().unwrap_or_default();
        let value = &rest[equals + 1..];
        let (value, after) = match value.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => value.split_once(' ').unwrap_or((value, "")),
        };
        rest = after;
        Some((key, value))
    })
}
