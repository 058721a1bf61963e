//! Finds the built programs of the workspace.

use std::{env, path::PathBuf};

use super::child::HarnessError;

/// Output directory of a build profile, which holds the programs and, in `examples`, the stand-ins.
#[derive(Clone, Debug)]
pub struct BinarySet {
    directory: PathBuf,
}

impl BinarySet {
    /// Finds the output directory of the profile that the running program was built with.
    ///
    /// # Errors
    /// [`HarnessError::MissingProgram`] when no directory above the running program holds the program `mustardgate`.
    pub fn locate() -> Result<Self, HarnessError> {
        let running_program = env::current_exe().unwrap_or_default();
        let directory = running_program
            .ancestors()
            .skip(1)
            .find(|directory| directory.join("mustardgate").is_file())
            .ok_or_else(|| HarnessError::MissingProgram {
                path: PathBuf::from("mustardgate"),
            })?;
        Ok(Self {
            directory: directory.to_owned(),
        })
    }

    /// Returns the path of a shipped program.
    ///
    /// # Errors
    /// [`HarnessError::MissingProgram`] when it was not built.
    pub fn program(&self, name: &str) -> Result<PathBuf, HarnessError> {
        require_file(self.directory.join(name))
    }

    /// Returns the path of a stand-in.
    ///
    /// # Errors
    /// [`HarnessError::MissingProgram`] when it was not built.
    pub fn standin(&self, name: &str) -> Result<PathBuf, HarnessError> {
        require_file(self.directory.join("examples").join(name))
    }
}

fn require_file(path: PathBuf) -> Result<PathBuf, HarnessError> {
    if path.is_file() {
        Ok(path)
    } else {
        Err(HarnessError::MissingProgram { path })
    }
}
