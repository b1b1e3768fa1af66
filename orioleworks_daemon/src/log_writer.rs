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
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Token bucket of the rate limit; one token allows one byte.
#[derive(Debug)]
struct TokenBucket {
    bytes: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn try_take(&mut self, bytes: usize) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * BYTES_PER_SECOND;
        self.bytes = (self.bytes + refill).min(BURST_BYTES);
        self.refilled_at = now;
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
    bucket: Arc<Mutex<TokenBucket>>,
    dropped: Arc<AtomicU64>,
    pending: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (tx, rx) = sync_channel(QUEUE_LINES);
        let bucket = TokenBucket { bytes: BURST_BYTES, refilled_at: Instant::now() };
        let dropped = Arc::new(AtomicU64::new(0));
        let pending = Arc::new(AtomicU64::new(0));
        let (writer_dropped, writer_pending) = (dropped.clone(), pending.clone());
        let writer = Self { tx, bucket: Arc::new(Mutex::new(bucket)), dropped, pending };
        let name = "log".to_owned();
        thread::Builder::new()
            .name(name)
            .spawn(move || write_lines(&rx, out, &writer_dropped, &writer_pending))?;
        Ok(writer)
    }

    /// Waits until all queued lines are written, at most the given time; called before the process exits.
    pub fn finish(&self, timeout: Duration) {
        const POLL_INTERVAL: Duration = Duration::from_millis(2);
        let deadline = Instant::now() + timeout;
        while self.pending.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            thread::sleep(POLL_INTERVAL);
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
        let allowed = self.bucket.lock().is_ok_and(|mut bucket| bucket.try_take(line.len()));
        self.pending.fetch_add(1, Ordering::Release);
        if !allowed || self.tx.try_send(line.to_vec()).is_err() {
            self.pending.fetch_sub(1, Ordering::Release);
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
    pending: &AtomicU64,
) {
    let mut reported = Instant::now();
    while let Ok(mut lines) = rx.recv() {
        let mut count = 1;
        // Writes all queued lines with one call.
        while let Ok(line) = rx.try_recv() {
            lines.extend(line);
            count += 1;
        }
        if reported.elapsed() >= REPORT_INTERVAL {
            reported = Instant::now();
            let unreported = dropped.swap(0, Ordering::Relaxed);
            if unreported > 0 {
                lines.extend(
                    format!("level=warn event=log_lines_dropped count={unreported}\n").bytes(),
                );
            }
        }
        // An error is ignored: without standard output there is nowhere to report it.
        drop(out.write_all(&lines).and_then(|()| out.flush()));
        pending.fetch_sub(count, Ordering::Release);
    }
}
