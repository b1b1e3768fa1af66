//! Logging never blocks on standard output.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use orioleworks_daemon::log_writer::LogWriter;

/// Output that blocks while its lock is held.
#[derive(Clone, Default)]
struct BlockedOutput {
    lines: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut lines = self.lines.lock().map_err(|_| io::Error::other("poisoned"))?;
        lines.extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that blocks because nobody reads its standard output.
#[test]
fn a_blocked_output_drops_lines_without_delay() {
    let out = BlockedOutput::default();
    let blocked = out.lines.lock().unwrap();
    let mut writer = LogWriter::start(out.clone()).unwrap();
    let started = Instant::now();
    for i in 0..20_000 {
        writeln!(writer, "level=info event=test number={i}").unwrap();
    }
    assert!(started.elapsed() < Duration::from_secs(2), "the writer waited for its output");
    assert!(writer.dropped() > 0, "more lines than the queue holds must be dropped");
    drop(blocked);
}

/// Guards against a process that fills its disk with log lines: the rate is bounded, and drops are counted.
#[test]
fn lines_beyond_the_rate_are_dropped_and_counted() {
    const LINE_BYTES: usize = 1000;
    let out = BlockedOutput::default();
    let mut writer = LogWriter::start(out.clone()).unwrap();
    let line = vec![b'x'; LINE_BYTES];
    for _ in 0..4000 {
        writer.write_all(&line).unwrap();
    }
    std::thread::sleep(Duration::from_millis(300));
    let written = out.lines.lock().unwrap().len();
    // The burst of one megabyte, and the tokens added meanwhile.
    assert!(written <= 1_300_000, "{written} bytes were written");
    assert!(writer.dropped() > 0);
}
