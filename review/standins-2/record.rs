//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// Writes the record.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    began_at: Instant,
}

impl Record {
    /// Begins a record.
    ///
    /// # Errors
    /// The error if the file cannot be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            began_at: Instant::now(),
        })
    }

    /// Adds a line.
    pub fn write(&self, text: &str) {
        let seconds = self.began_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no holder panics");
        // A record that cannot be written shows itself by its missing lines.
        let _written = writeln!(file, "{seconds:9.3} {text}");
    }
}
