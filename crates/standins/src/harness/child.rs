//! One child process, which ends with its handle.

use std::{
    fs::File,
    io,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use snafu::{ResultExt, Snafu};

use super::usage::ProcessUsage;

/// Looks at a process that was told to stop, and the time between two of them.
const STOP_CHECKS: u32 = 2_000;
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Time between two looks at whether a child has ended.
const WAIT_STEP: Duration = Duration::from_millis(10);

/// Why the harness could not do what was asked.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum HarnessError {
    /// A program was not built.
    #[snafu(display("{} is not built", path.display()))]
    MissingProgram {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// A file could not be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A process could not be started, signalled or waited for.
    #[snafu(display("{name}: {source}"))]
    Process {
        /// Name of the process.
        name: String,
        /// Cause.
        source: io::Error,
    },
    /// A process did not become ready, or did not end, in time.
    #[snafu(display("{name} {problem} within {} s", limit.as_secs_f64()))]
    TooLate {
        /// Name of the process.
        name: String,
        /// What it did not do.
        problem: &'static str,
        /// The time given.
        limit: Duration,
    },
    /// A stand-in gave an answer of another kind than expected.
    #[snafu(display("{name} answered {answer}"))]
    UnexpectedAnswer {
        /// Name of the process.
        name: String,
        /// What it answered.
        answer: String,
    },
}

/// A child process with its output in a file.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    output: PathBuf,
    status: Option<ExitStatus>,
}

impl ChildProcess {
    /// Starts a program with its output in `folder`.
    ///
    /// # Errors
    /// [`HarnessError`] when the output file or the process cannot be made.
    pub fn start(name: &str, program: &Path, arguments: &[String], folder: &Path) -> Result<Self, HarnessError> {
        let output = folder.join(format!("{name}.log"));
        let file = File::options()
            .create(true)
            .append(true)
            .open(&output)
            .context(WriteSnafu { path: &output })?;
        let errors = file.try_clone().context(WriteSnafu { path: &output })?;
        let child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(errors)
            .spawn()
            .context(ProcessSnafu { name })?;
        Ok(Self {
            name: name.to_owned(),
            child,
            output,
            status: None,
        })
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the file with the output.
    pub fn output(&self) -> &Path {
        &self.output
    }

    /// Ends the process at once (SIGKILL) and waits for it.
    ///
    /// # Errors
    /// [`HarnessError::Process`] when that fails.
    pub fn kill(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGKILL)?;
        let status = self.child.wait().context(ProcessSnafu { name: &self.name })?;
        self.status = Some(status);
        Ok(())
    }

    /// Stops the process until it is continued (SIGSTOP), and returns once every thread has stopped: the signal is only
    /// queued when the call returns, and on a busy machine a thread may answer a request before it stops.
    ///
    /// # Errors
    /// [`HarnessError::Process`] when that fails.
    pub fn freeze(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGSTOP)?;
        let id = self.id();
        for _ in 0..STOP_CHECKS {
            if is_stopped(id) {
                break;
            }
            std::thread::sleep(STOP_CHECK_INTERVAL);
        }
        Ok(())
    }

    /// Continues a frozen process (SIGCONT).
    ///
    /// # Errors
    /// [`HarnessError::Process`] when that fails.
    pub fn resume(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks the process to stop in order (SIGTERM).
    ///
    /// # Errors
    /// [`HarnessError::Process`] when that fails.
    pub fn terminate(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGTERM)
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    /// [`HarnessError::TooLate`] when it has not ended within `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, HarnessError> {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            if let Some(status) = self.ended()? {
                return Ok(status);
            }
            if tokio::time::Instant::now() >= deadline {
                let name = self.name.clone();
                let problem = "did not end";
                return TooLateSnafu { name, problem, limit }.fail();
            }
            tokio::time::sleep(WAIT_STEP).await;
        }
    }

    /// Returns how the process ended, if it has.
    ///
    /// # Errors
    /// [`HarnessError::Process`] when it cannot be asked.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>, HarnessError> {
        if self.status.is_none() {
            self.status = self.child.try_wait().context(ProcessSnafu { name: &self.name })?;
        }
        Ok(self.status)
    }

    /// Returns the processor time and memory used, or `None` when the process has ended.
    pub fn usage(&self) -> Option<ProcessUsage> {
        ProcessUsage::read(self.id())
    }

    /// Signals the child, unless it has ended and its id may belong to another process.
    fn signal(&mut self, signal: Signal) -> Result<(), HarnessError> {
        if self.ended()?.is_some() {
            return Ok(());
        }
        kill(Pid::from_raw(self.child.id() as i32), signal)
            .map_err(io::Error::from)
            .context(ProcessSnafu { name: &self.name })
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            eprintln!("harness: {error}");
        }
    }
}

/// Returns whether every thread of a process is stopped, as far as the system tells.
fn is_stopped(id: u32) -> bool {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{id}/task")) else {
        return true;
    };
    threads.flatten().all(|thread| {
        let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        // The state follows the name, which stands in parentheses and may hold any character.
        stat.rsplit_once(") ").is_none_or(|(_, rest)| rest.starts_with('T'))
    })
}
