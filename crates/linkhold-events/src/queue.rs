//! A writer that never blocks: lines go to a bounded queue, a thread writes
//! them. When the queue is full, lines are dropped and counted.

use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, channel, sync_channel};
use std::thread;
use std::time::Duration;

/// Lines that wait to be written at the most.
const QUEUE_LENGTH: usize = 512;
/// Bytes written at once at the most.
const BATCH_BYTES: usize = 16 * 1024;
/// Stack of the writing thread, in bytes; it needs little.
const STACK_BYTES: usize = 64 * 1024;

/// What goes to the writing thread.
enum Item {
    /// A line.
    Line(Vec<u8>),
    /// Everything before it is to be written, then this is told.
    Flush(std::sync::mpsc::Sender<()>),
}

/// The queue of the program's log, for [`flush`].
static LOG_QUEUE: OnceLock<SyncSender<Item>> = OnceLock::new();

/// The sending side.
pub struct QueueWriter {
    line: Vec<u8>,
    sender: SyncSender<Item>,
    dropped: u64,
}

/// Waits until the lines logged so far are written, at most for `limit`. For
/// the end of a program only.
pub fn flush(limit: Duration) {
    let Some(queue) = LOG_QUEUE.get() else {
        return;
    };
    let (done, written) = channel();
    if queue.try_send(Item::Flush(done)).is_ok() {
        // Too late is as good as never: the program ends either way.
        let _ = written.recv_timeout(limit);
    }
}

impl QueueWriter {
    /// Starts the thread that writes to `output`. Without a thread, lines are
    /// dropped: logs are never a reason not to serve.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(QUEUE_LENGTH);
        let _ = thread::Builder::new()
            .name("log".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || write_lines(&receiver, output));
        // The first log of a process is the one that is flushed.
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
        match self.sender.try_send(Item::Line(line)) {
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

fn write_lines(receiver: &Receiver<Item>, mut output: impl Write) {
    let mut batch = Vec::new();
    while let Ok(first) = receiver.recv() {
        let mut flushed = Vec::new();
        let mut next = Some(first);
        while let Some(item) = next {
            match item {
                Item::Line(line) => batch.extend_from_slice(&line),
                Item::Flush(done) => flushed.push(done),
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
            // Whoever asked may have stopped waiting.
            let _ = done.send(());
        }
    }
}
