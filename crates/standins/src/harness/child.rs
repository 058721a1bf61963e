//! A child process that is killed when its handle is dropped.

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

/// Maximum number of checks whether a frozen process has stopped, and the time between them.
const MAX_STOP_CHECKS: u32 = 2_000;
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Time between two checks whether a child process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Errors of the test harness.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum HarnessError {
    /// A program was not built.
    #[snafu(display("{} is not built", path.display()))]
    MissingProgram {
        /// Path at which it was expected.
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
    /// A process did not become ready, or did not end, within its time limit.
    #[snafu(display("{name} {problem} within {} s", limit.as_secs_f64()))]
    TimedOut {
        /// Name of the process.
        name: String,
        /// What the process failed to do.
        problem: &'static str,
        /// Time limit.
        limit: Duration,
    },
    /// A call to a stand-in failed, or its answer was not the expected one.
    #[snafu(display("unexpected answer from {name}: {answer}"))]
    UnexpectedAnswer {
        /// Name of the process.
        name: String,
        /// The answer, or the error of the call.
        answer: String,
    },
}

/// A child process whose output goes to a file.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    output: PathBuf,
    status: Option<ExitStatus>,
}

impl ChildProcess {
    /// Starts a program that appends its output to `{name}.log` in `directory`.
    ///
    /// # Errors
    /// [`HarnessError`] when the output file cannot be opened or the process cannot be started.
    pub fn start(name: &str, program: &Path, arguments: &[String], directory: &Path) -> Result<Self, HarnessError> {
        let output = directory.join(format!("{name}.log"));
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

    /// Returns the path of the file with the output.
    pub fn output(&self) -> &Path {
        &self.output
    }

    /// Kills the process (SIGKILL) and waits until it has ended.
    ///
    /// # Errors
    /// [`HarnessError::Process`] when that fails.
    pub fn kill(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGKILL)?;
        let status = self.child.wait().context(ProcessSnafu { name: &self.name })?;
        self.status = Some(status);
        Ok(())
    }

    /// Stops the process until it is resumed (SIGSTOP), and waits until every thread has stopped: the system call only
    /// queues the signal, and on a busy machine a thread may still answer a request before it stops. The wait ends
    /// after [`MAX_STOP_CHECKS`] checks.
    ///
    /// # Errors
    /// [`HarnessError::Process`] when that fails.
    pub fn freeze(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGSTOP)?;
        let id = self.id();
        for _ in 0..MAX_STOP_CHECKS {
            if is_stopped(id) {
                break;
            }
            std::thread::sleep(STOP_CHECK_INTERVAL);
        }
        Ok(())
    }

    /// Resumes a frozen process (SIGCONT).
    ///
    /// # Errors
    /// [`HarnessError::Process`] when that fails.
    pub fn resume(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGCONT)
    }

    /// Tells the process that its session has ended, or its settings may have changed (SIGHUP).
    ///
    /// # Errors
    /// [`HarnessError::Process`] when that fails.
    pub fn hang_up(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGHUP)
    }

    /// Requests an orderly stop of the process (SIGTERM).
    ///
    /// # Errors
    /// [`HarnessError::Process`] when that fails.
    pub fn terminate(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGTERM)
    }

    /// Interrupts the process (SIGINT).
    ///
    /// # Errors
    /// [`HarnessError::Process`] when that fails.
    pub fn interrupt(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::SIGINT)
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    /// [`HarnessError::TimedOut`] when it has not ended within `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, HarnessError> {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            if tokio::time::Instant::now() >= deadline {
                let name = self.name.clone();
                let problem = "did not end";
                return TimedOutSnafu { name, problem, limit }.fail();
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    /// Returns the exit status of the process, or `None` while it runs.
    ///
    /// # Errors
    /// [`HarnessError::Process`] when the status cannot be read.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>, HarnessError> {
        if self.status.is_none() {
            self.status = self.child.try_wait().context(ProcessSnafu { name: &self.name })?;
        }
        Ok(self.status)
    }

    /// Returns the processor time and memory that the process has used, or `None` when it has ended.
    pub fn usage(&self) -> Option<ProcessUsage> {
        ProcessUsage::read(self.id())
    }

    /// Sends a signal to the child process, unless it has ended and its id may belong to another process.
    fn signal(&mut self, signal: Signal) -> Result<(), HarnessError> {
        if self.exit_status()?.is_some() {
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

/// Returns whether every thread of a process is stopped, or the process no longer exists.
fn is_stopped(id: u32) -> bool {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{id}/task")) else {
        return true;
    };
    threads.flatten().all(|thread| {
        let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        // The state follows the program's name, which is in parentheses and may contain any character.
        stat.rsplit_once(") ").is_none_or(|(_, rest)| rest.starts_with('T'))
    })
}
