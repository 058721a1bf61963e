//! A temporary folder and free loopback addresses.

use std::{
    env, fs, io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener},
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU64, Ordering},
};

use snafu::ResultExt;

use super::child::{HarnessError, ProcessSnafu, WriteSnafu};

static NEXT_FOLDER: AtomicU64 = AtomicU64::new(1);

/// A folder that is removed with its handle.
#[derive(Debug)]
pub struct ScratchFolder {
    path: PathBuf,
}

impl ScratchFolder {
    /// Creates an empty folder of its own.
    ///
    /// # Errors
    /// [`HarnessError::Write`] when that fails.
    pub fn create() -> Result<Self, HarnessError> {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("mustardgate-{}-{number}", process::id()));
        fs::create_dir_all(&path).context(WriteSnafu { path: &path })?;
        Ok(Self { path })
    }

    /// Returns its path.
    pub fn path(&self) -> &Path {
        &self.path
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

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        if let Err(error) = fs::remove_dir_all(&self.path) {
            eprintln!("harness: cannot remove {}: {error}", self.path.display());
        }
    }
}

/// Returns a loopback address whose port was free a moment ago.
///
/// # Errors
/// [`HarnessError::Process`] when no port is free.
pub fn free_address() -> Result<SocketAddrV4, HarnessError> {
    let found = || -> io::Result<SocketAddr> { TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr() };
    let address = found().context(ProcessSnafu { name: "free port" })?;
    Ok(SocketAddrV4::new(Ipv4Addr::LOCALHOST, address.port()))
}
