//! Writes log lines to standard output without blocking the process.
//!
//! A bounded queue passes the lines to a writer thread. Lines that exceed the queue or the rate limit are dropped, and
//! their number is logged. See `docs/OPERATIONS.md`.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Maximum number of queued lines; a few megabytes in total.
const QUEUE_LINES: usize = 8192;
/// Largest burst in bytes; covers a leader change that logs every item of several batches.
const BURST_BYTES: f64 = 1024.0 * 1024.0;
/// Sustained rate in bytes per second; a busy process writes a few gigabytes a day.
const BYTES_PER_SECOND: f64 = 64.0 * 1024.0;
/// Time between two reports of dropped lines.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// Token bucket of the rate limit; one token allows one byte.
#[derive(Debug)]
struct Bucket {
    bytes: f64,
    filled: Instant,
}

impl Bucket {
    fn take(&mut self, bytes: usize) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.filled).as_secs_f64() * BYTES_PER_SECOND;
        self.bytes = (self.bytes + earned).min(BURST_BYTES);
        self.filled = now;
        let enough = self.bytes >= bytes as f64;
        if enough {
            self.bytes -= bytes as f64;
        }
        enough
    }
}

/// Sending side of the queue; clones share the queue and the rate limit.
#[derive(Clone, Debug)]
pub struct LogWriter {
    tx: SyncSender<Vec<u8>>,
    bucket: Arc<Mutex<Bucket>>,
    dropped: Arc<AtomicU64>,
    waiting: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        let bucket = Bucket { bytes: BURST_BYTES, filled: Instant::now() };
        let dropped = Arc::new(AtomicU64::new(0));
        let waiting = Arc::new(AtomicU64::new(0));
        let (lost, left) = (dropped.clone(), waiting.clone());
        let writer = Self { tx, bucket: Arc::new(Mutex::new(bucket)), dropped, waiting };
        let name = "log".to_owned();
        thread::Builder::new().name(name).spawn(move || write_lines(&rx, out, &lost, &left))?;
        Ok(writer)
    }

    /// Waits until all queued lines are written, at most the given time; called before the process exits.
    pub fn finish(&self, time: Duration) {
        const LOOK: Duration = Duration::from_millis(2);
        let until = Instant::now() + time;
        while self.waiting.load(Ordering::Acquire) > 0 && Instant::now() < until {
            thread::sleep(LOOK);
        }
    }

    /// Number of dropped lines that are not reported yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl Write for LogWriter {
    /// Queues one complete line, or drops it when the queue is full or the rate limit is exceeded.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let allowed = self.bucket.lock().is_ok_and(|mut bucket| bucket.take(line.len()));
        self.waiting.fetch_add(1, Ordering::Release);
        if !allowed || self.tx.try_send(line.to_vec()).is_err() {
            self.waiting.fetch_sub(1, Ordering::Release);
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("orioleworks_log_lines_dropped_total").increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(
    rx: &Receiver<Vec<u8>>,
    mut out: impl Write,
    dropped: &AtomicU64,
    waiting: &AtomicU64,
) {
    let mut reported = Instant::now();
    while let Ok(mut lines) = rx.recv() {
        let mut count = 1;
        // Writes all queued lines with one call.
        while let Ok(line) = rx.try_recv() {
            lines.extend(line);
            count += 1;
        }
        if reported.elapsed() >= REPORT_EVERY {
            reported = Instant::now();
            let lost = dropped.swap(0, Ordering::Relaxed);
            if lost > 0 {
                lines.extend(format!("level=warn event=log_lines_dropped count={lost}\n").bytes());
            }
        }
        // An error is ignored: without standard output there is nowhere to report it.
        drop(out.write_all(&lines).and_then(|()| out.flush()));
        waiting.fetch_sub(count, Ordering::Release);
    }
}
