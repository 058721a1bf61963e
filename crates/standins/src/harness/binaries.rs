//! Finds the built programs beside the running one.

use std::{env, path::PathBuf};

use super::child::HarnessError;

/// Folder of a build profile, which holds the programs and, in `examples`, the stand-ins.
#[derive(Clone, Debug)]
pub struct BinarySet {
    folder: PathBuf,
}

impl BinarySet {
    /// Finds the folder of the profile that the running program was built with.
    ///
    /// # Errors
    /// [`HarnessError::MissingProgram`] when the node was not built there.
    pub fn locate() -> Result<Self, HarnessError> {
        let running = env::current_exe().unwrap_or_default();
        let folder = running
            .ancestors()
            .skip(1)
            .find(|folder| folder.join("mustardgate").is_file())
            .ok_or_else(|| HarnessError::MissingProgram {
                path: PathBuf::from("mustardgate"),
            })?;
        Ok(Self {
            folder: folder.to_owned(),
        })
    }

    /// Returns the path of a shipped program.
    ///
    /// # Errors
    /// [`HarnessError::MissingProgram`] when it was not built.
    pub fn program(&self, name: &str) -> Result<PathBuf, HarnessError> {
        existing(self.folder.join(name))
    }

    /// Returns the path of a stand-in.
    ///
    /// # Errors
    /// [`HarnessError::MissingProgram`] when it was not built.
    pub fn standin(&self, name: &str) -> Result<PathBuf, HarnessError> {
        existing(self.folder.join("examples").join(name))
    }
}

fn existing(path: PathBuf) -> Result<PathBuf, HarnessError> {
    if path.is_file() {
        Ok(path)
    } else {
        Err(HarnessError::MissingProgram { path })
    }
}
