//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
    /// Whether lines are dropped.
    is_quiet: bool,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
            is_quiet: false,
        })
    }

    /// A record that drops what callers would write.
    pub fn quiet(&self) -> Self {
        Self {
            is_quiet: true,
            ..self.clone()
        }
    }

    pub fn line(&self, text: &str) {
        if self.is_quiet {
            return;
        }
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.3}  {text}");
    }
}
