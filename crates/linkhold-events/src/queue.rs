//! A writer that never blocks: lines go to a bounded queue, a thread writes
//! them. When the queue is full, lines are dropped and counted.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

/// Lines that wait to be written at the most.
const QUEUE_LENGTH: usize = 512;
/// Bytes written at once at the most.
const BATCH_BYTES: usize = 16 * 1024;
/// Stack of the writing thread, in bytes; it needs little.
const STACK_BYTES: usize = 64 * 1024;

/// The sending side.
pub struct QueueWriter {
    line: Vec<u8>,
    sender: SyncSender<Vec<u8>>,
    dropped: u64,
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
        match self.sender.try_send(line) {
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

fn write_lines(receiver: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut batch) = receiver.recv() {
        while batch.len() < BATCH_BYTES
            && let Ok(more) = receiver.try_recv()
        {
            batch.extend_from_slice(&more);
        }
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
