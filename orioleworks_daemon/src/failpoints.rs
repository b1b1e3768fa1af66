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
pub const REACHED_ENDING: &str = "reached";
/// Time between two reads of the file.
const POLL: Duration = Duration::from_millis(10);

/// Starts a thread that arms the fail points listed in the file that [`FILE_VARIABLE`] names, if any. Each armed fail
/// point takes effect once.
pub fn follow_file() {
    let Some(path) = std::env::var_os(FILE_VARIABLE).map(PathBuf::from) else { return };
    thread::spawn(move || {
        let mut armed: HashMap<String, String> = HashMap::new();
        loop {
            // The file is absent until the first fault of a test.
            let wanted = parse(&fs::read_to_string(&path).unwrap_or_default());
            for name in armed.keys().filter(|name| !wanted.contains_key(*name)) {
                fail::remove(name);
            }
            for (name, action) in
                wanted.iter().filter(|(name, action)| armed.get(*name) != Some(action))
            {
                arm(name, action, path.with_extension(REACHED_ENDING));
            }
            armed = wanted;
            thread::sleep(POLL);
        }
    });
}

fn parse(text: &str) -> HashMap<String, String> {
    let pairs = text.lines().filter_map(|line| line.trim().split_once('='));
    pairs.map(|(name, action)| (name.to_owned(), action.to_owned())).collect()
}

fn arm(name: &str, action: &str, reached: PathBuf) {
    let sleep = action.strip_prefix("sleep(").and_then(|rest| rest.strip_suffix(')'));
    let pause = sleep.and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
    if pause.is_none() && action != "panic" {
        eprintln!("fail point {name}: unknown action {action}");
        return;
    }
    let (used, own) = (AtomicBool::new(false), name.to_owned());
    let armed = fail::cfg_callback(name, move || {
        if used.swap(true, Ordering::SeqCst) {
            return;
        }
        eprintln!("fail point {own} is reached");
        if let Err(e) = fs::write(&reached, &own) {
            eprintln!("{}: {e}", reached.display());
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
