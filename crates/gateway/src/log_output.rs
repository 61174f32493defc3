//! Non-blocking log output.

use core::time::Duration;
use std::io;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Instant;

/// Maximum number of queued lines; further ones are dropped and counted. At 200 bytes a line this is 400 KB.
const MAX_QUEUED_LINES: usize = 2_048;

/// Time for which the end of the process waits for the queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval between checks whether the queued lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Number of lines that were queued and not yet written.
static QUEUED: AtomicU64 = AtomicU64::new(0);

/// Waits until the queued lines are written, so that the reason for which the process ends is not lost, for at most
/// `FLUSH_TIMEOUT`: the reader of standard output may be slow.
pub fn flush() {
    let began = Instant::now();
    while QUEUED.load(Ordering::Acquire) > 0 && began.elapsed() < FLUSH_TIMEOUT {
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// Queues log lines for a thread that writes them to standard output.
///
/// A slow reader of standard output loses lines instead of delaying requests.
#[derive(Debug)]
pub struct Writer {
    lines: mpsc::SyncSender<Vec<u8>>,
}

impl Writer {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Any error of spawning the thread.
    pub fn open() -> io::Result<Self> {
        let (sender, receiver) = mpsc::sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || write_lines(&receiver))?;
        Ok(Self { lines: sender })
    }
}

fn write_lines(lines: &mpsc::Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    while let Ok(mut batch) = lines.recv() {
        let mut count = 1;
        while let Ok(line) = lines.try_recv() {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = format!("[WARN] journal: log lines dropped lines={dropped}\n");
            batch.extend_from_slice(line.as_bytes());
        }
        // A failure of standard output cannot be reported anywhere.
        let _ = output.write_all(&batch);
        QUEUED.fetch_sub(count, Ordering::Release);
    }
}

impl Write for Writer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        QUEUED.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line.to_vec()).is_err() {
            QUEUED.fetch_sub(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
