//! What was sent, answered and run, with the milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>6} {}", text.as_ref());
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}
