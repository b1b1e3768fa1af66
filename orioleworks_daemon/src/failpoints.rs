//! Fail points that a test arms in a running process; only in builds with the feature `failpoints`.
//!
//! The crate `fail` reads its variable `FAILPOINTS` once, at the start of the process. A fault in a process that is
//! already leader or owner must be armed at run time, so fail points are also read from a file. See `docs/MATRIX.md`.

use std::{
    collections::HashMap,
    fs,
    path::PathBuf,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

/// Environment variable with the path of the file; each of its lines is `<fail point>=panic` or
/// `<fail point>=sleep(<ms>)`.
pub const FILE_VARIABLE: &str = "ORIOLEWORKS_FAILPOINTS_FILE";
/// Extension of the file that is written beside it when an armed fail point is reached.
pub const REACHED_EXTENSION: &str = "reached";
/// Time between two reads of the file.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Starts a thread that arms the fail points listed in the file that [`FILE_VARIABLE`] names, if any. Each armed fail
/// point takes effect once.
pub fn watch_file() {
    let Some(path) = std::env::var_os(FILE_VARIABLE).map(PathBuf::from) else { return };
    thread::spawn(move || {
        let mut armed: HashMap<String, String> = HashMap::new();
        loop {
            // The file is absent until the first fault of a test.
            let requested = parse(&fs::read_to_string(&path).unwrap_or_default());
            for name in armed.keys().filter(|name| !requested.contains_key(*name)) {
                fail::remove(name);
            }
            for (name, action) in
                requested.iter().filter(|(name, action)| armed.get(*name) != Some(action))
            {
                arm(name, action, path.with_extension(REACHED_EXTENSION));
            }
            armed = requested;
            thread::sleep(FILE_CHECK_INTERVAL);
        }
    });
}

fn parse(text: &str) -> HashMap<String, String> {
    let pairs = text.lines().filter_map(|line| line.trim().split_once('='));
    pairs.map(|(name, action)| (name.to_owned(), action.to_owned())).collect()
}

fn arm(name: &str, action: &str, reached_file: PathBuf) {
    let sleep = action.strip_prefix("sleep(").and_then(|rest| rest.strip_suffix(')'));
    let pause = sleep.and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
    if pause.is_none() && action != "panic" {
        eprintln!("fail point {name}: unknown action {action}");
        return;
    }
    let (triggered, point) = (AtomicBool::new(false), name.to_owned());
    let armed = fail::cfg_callback(name, move || {
        if triggered.swap(true, Ordering::SeqCst) {
            return;
        }
        eprintln!("fail point {point} is reached");
        if let Err(e) = fs::write(&reached_file, &point) {
            eprintln!("{}: {e}", reached_file.display());
        }
        match pause {
            Some(time) => thread::sleep(time),
            None => std::process::abort(),
        }
    });
    if let Err(e) = armed {
        eprintln!("fail point {name}: {e}");
    }
}
