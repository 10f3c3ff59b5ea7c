//! A writer that never blocks: lines go to a bounded queue, from which a thread
//! writes them. When the queue is full, lines are dropped and counted.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, channel, sync_channel};
use std::thread;
use std::time::Duration;

/// Maximum number of items in the queue.
const QUEUE_LENGTH: usize = 512;
/// Size at which a batch is written, in bytes.
const BATCH_BYTES: usize = 16 * 1024;
/// Stack size of the writer thread, in bytes; the thread needs little.
const STACK_BYTES: usize = 64 * 1024;

/// Item of the queue to the writer thread.
enum QueueItem {
    /// A line.
    Line(Vec<u8>),
    /// Request to signal this channel once all earlier items are written.
    Flush(std::sync::mpsc::Sender<()>),
}

/// Queue of the process's log, for [`flush`].
static LOG_QUEUE: OnceLock<SyncSender<QueueItem>> = OnceLock::new();

/// Sending side of the queue; assembles lines from partial writes.
pub struct QueueWriter {
    line: Vec<u8>,
    sender: SyncSender<QueueItem>,
    dropped: u64,
}

/// Waits until the lines logged so far are written, for at most `limit`. Call it
/// only before the program exits.
pub fn flush(limit: Duration) {
    let Some(queue) = LOG_QUEUE.get() else {
        return;
    };
    let (done, written) = channel();
    if queue.try_send(QueueItem::Flush(done)).is_ok() {
        // The program exits even if the lines are not written in time.
        let _ = written.recv_timeout(limit);
    }
}

impl QueueWriter {
    /// Starts the thread that writes to `output`. If the thread does not start,
    /// lines are dropped: a logging failure must not stop the service.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(QUEUE_LENGTH);
        let _ = thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&receiver, output));
        // Only the first log of a process is flushed by `flush`.
        let _ = LOG_QUEUE.set(sender.clone());
        Self {
            line: Vec::new(),
            sender,
            dropped: 0,
        }
    }

    fn send_line(&mut self) {
        let mut line = std::mem::take(&mut self.line);
        if self.dropped > 0 {
            let note = format!(
                "level=warn event=log_lines_dropped count={}\n",
                self.dropped
            );
            line.splice(0..0, note.into_bytes());
        }
        match self.sender.try_send(QueueItem::Line(line)) {
            Ok(()) => self.dropped = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
    }
}

impl Write for QueueWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.send_line();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(receiver: &Receiver<QueueItem>, mut output: impl Write) {
    let mut batch = Vec::new();
    while let Ok(first) = receiver.recv() {
        let mut flushed = Vec::new();
        let mut next = Some(first);
        while let Some(item) = next {
            match item {
                QueueItem::Line(line) => batch.extend_from_slice(&line),
                QueueItem::Flush(done) => flushed.push(done),
            }
            next = if batch.len() < BATCH_BYTES {
                receiver.try_recv().ok()
            } else {
                None
            };
        }
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
        batch.clear();
        for done in flushed {
            // The caller of `flush` may have stopped waiting.
            let _ = done.send(());
        }
    }
}
