//! Temporary directories and free loopback addresses.

use std::{
    env, fs, io,
    net::{Ipv4Addr, SocketAddrV4, TcpListener},
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU16, AtomicU64, Ordering},
};

use nix::{sys::stat::Mode, unistd::mkfifo};
use snafu::ResultExt;

use super::child::{HarnessError, ProcessSnafu, WriteSnafu};

/// First port that is assigned.
const FIRST_PORT: u16 = 20_000;
/// Upper bound of the assigned ports, exclusive; outgoing connections use higher ports.
const PORT_LIMIT: u16 = 32_000;

static NEXT_DIRECTORY: AtomicU64 = AtomicU64::new(1);
static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// A temporary directory that is removed when its handle is dropped.
#[derive(Debug)]
pub struct ScratchDirectory {
    path: PathBuf,
}

impl ScratchDirectory {
    /// Creates an empty directory with a unique name.
    ///
    /// # Errors
    /// [`HarnessError::Write`] when that fails.
    pub fn create() -> Result<Self, HarnessError> {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("mustardgate-{}-{number}", process::id()));
        fs::create_dir_all(&path).context(WriteSnafu { path: &path })?;
        Ok(Self { path })
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Creates a named pipe and returns its path.
    ///
    /// # Errors
    /// [`HarnessError`] when that fails.
    pub fn create_pipe(&self, name: &str) -> Result<PathBuf, HarnessError> {
        let path = self.path.join(name);
        mkfifo(&path, Mode::S_IRUSR | Mode::S_IWUSR)
            .map_err(io::Error::from)
            .context(WriteSnafu { path: &path })?;
        Ok(path)
    }

    /// Writes a file and returns its path.
    ///
    /// # Errors
    /// [`HarnessError::Write`] when that fails.
    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, HarnessError> {
        let path = self.path.join(name);
        fs::write(&path, text).context(WriteSnafu { path: &path })?;
        Ok(path)
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        if let Err(error) = fs::remove_dir_all(&self.path) {
            eprintln!("harness: cannot remove {}: {error}", self.path.display());
        }
    }
}

/// Returns a loopback address that no other harness uses, with a port that this process has not assigned before.
///
/// A port found by binding port 0 could be taken, by another harness or by an outgoing connection, before the process
/// for which it is meant listens on it. Therefore each harness process uses a loopback address of its own and ports
/// below the range of outgoing connections.
///
/// # Errors
/// [`HarnessError::Process`] when no port is free.
pub fn free_address() -> Result<SocketAddrV4, HarnessError> {
    let found = || -> io::Result<SocketAddrV4> {
        loop {
            let address = SocketAddrV4::new(process_address(), next_port()?);
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
    };
    found().context(ProcessSnafu { name: "free port" })
}

/// Returns a loopback address derived from the process id.
fn process_address() -> Ipv4Addr {
    let [_, high, middle, low] = process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | high, middle, low)
}

fn next_port() -> io::Result<u16> {
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    if port < PORT_LIMIT {
        Ok(port)
    } else {
        Err(io::Error::from(io::ErrorKind::AddrNotAvailable))
    }
}
