//! The record of a run: what was sent, answered and run, with times since its start.

use std::{
    env,
    fs::File,
    io::Write,
    path::PathBuf,
    process,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Writes lines to the record of a case.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    began_at: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of the case.
    pub fn create(folder: &str) -> Self {
        let path: PathBuf = [folder, "record.txt"].iter().collect();
        let file = File::create(&path).unwrap_or_else(|error| cannot_run(&format!("{}: {error}", path.display())));
        Self {
            file: Mutex::new(file),
            began_at: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.began_at.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("no holder panics");
        // A record that cannot be written says so by its missing lines.
        let _written = writeln!(file, "{:9.3} s  {text}", self.elapsed().as_secs_f64());
    }

    /// Writes a line and prints it.
    pub fn tell(&self, text: &str) {
        println!("{:9.3} s  {text}", self.elapsed().as_secs_f64());
        self.line(text);
    }
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the process because the case could not run; the script ends the processes that were started.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    process::exit(2)
}

/// Returns the folder of the case, which the script names.
pub fn case_folder() -> String {
    let folder = env::args().nth(1);
    folder.unwrap_or_else(|| cannot_run("the folder of the case is missing"))
}
