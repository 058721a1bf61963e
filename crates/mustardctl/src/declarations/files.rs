//! Reads declarations from a folder of TOML files.

use std::{
    fs,
    path::{Path, PathBuf},
};

use mustardgate_core::resources::{ResourceKey, ResourceKind, ResourceSpec};
use mustardgate_protocol::operators::parse_spec;
use serde::Deserialize;
use smol_str::SmolStr;

use crate::cli::CommandError;

/// A resource as a file declares it.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredResource {
    /// Kind and name.
    pub key: ResourceKey,
    /// Specification with its defaults filled in.
    pub spec: ResourceSpec,
    /// File that declares it.
    pub file: PathBuf,
}

/// One declaration as it is written.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WrittenResource {
    kind: SmolStr,
    name: SmolStr,
    spec: toml::Table,
}

/// A file with several declarations.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WrittenFile {
    resource: Vec<WrittenResource>,
}

/// Reads every `.toml` file of a folder and of the folders below it, in the order in which kinds are created.
///
/// # Errors
/// [`CommandError::Invalid`] with everything that is wrong in any file, [`CommandError::Usage`] when a file or the
/// folder cannot be read.
pub fn read_folder(folder: &Path) -> Result<Vec<DeclaredResource>, CommandError> {
    let mut files = Vec::new();
    find_files(folder, &mut files)?;
    files.sort();
    let mut declared = Vec::new();
    let mut errors = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).map_err(|error| unreadable(&file, &error))?;
        match parse_declarations(&text, &file) {
            Ok(resources) => declared.extend(resources),
            Err(CommandError::Invalid { errors: found }) => errors.extend(found),
            Err(error) => return Err(error),
        }
    }
    declared.sort_by(|first: &DeclaredResource, second| first.key.cmp(&second.key));
    let twice = declared.windows(2).filter(|pair| pair[0].key == pair[1].key);
    errors.extend(twice.map(|pair| format!("{}: {} is declared twice", pair[1].file.display(), pair[1].key)));
    if errors.is_empty() {
        Ok(declared)
    } else {
        Err(CommandError::Invalid { errors })
    }
}

/// Parses the declarations of one file.
///
/// # Errors
/// [`CommandError::Invalid`] with everything that is wrong.
pub fn parse_declarations(text: &str, file: &Path) -> Result<Vec<DeclaredResource>, CommandError> {
    let mut errors = Vec::new();
    let mut declared = Vec::new();
    for written in parse_written(text, file)? {
        match type_resource(written, file) {
            Ok(resource) => declared.push(resource),
            Err(error) => errors.push(format!("{}: {error}", file.display())),
        }
    }
    if errors.is_empty() {
        Ok(declared)
    } else {
        Err(CommandError::Invalid { errors })
    }
}

fn parse_written(text: &str, file: &Path) -> Result<Vec<WrittenResource>, CommandError> {
    let invalid = |error: toml::de::Error| CommandError::Invalid {
        errors: vec![format!("{}: {error}", file.display())],
    };
    let table: toml::Table = toml::from_str(text).map_err(invalid)?;
    if table.contains_key("resource") {
        let written: WrittenFile = toml::from_str(text).map_err(invalid)?;
        return Ok(written.resource);
    }
    Ok(vec![toml::from_str(text).map_err(invalid)?])
}

fn type_resource(written: WrittenResource, file: &Path) -> Result<DeclaredResource, String> {
    let label = format!("{}/{}", written.kind, written.name);
    let kind = ResourceKind::parse(&written.kind).ok_or_else(|| format!("{label}: there is no such kind"))?;
    let value = serde_json::to_value(&written.spec).map_err(|error| format!("{label}: {error}"))?;
    let spec = parse_spec(kind, &value).map_err(|error| format!("{label}: {}: {}", error.field, error.reason))?;
    let name = written.name;
    Ok(DeclaredResource {
        key: ResourceKey { kind, name },
        spec,
        file: file.to_owned(),
    })
}

fn find_files(folder: &Path, files: &mut Vec<PathBuf>) -> Result<(), CommandError> {
    let entries = fs::read_dir(folder).map_err(|error| unreadable(folder, &error))?;
    for entry in entries {
        let path = entry.map_err(|error| unreadable(folder, &error))?.path();
        if path.is_dir() {
            find_files(&path, files)?;
        } else if path.extension().is_some_and(|extension| extension == "toml") {
            files.push(path);
        }
    }
    Ok(())
}

fn unreadable(path: &Path, error: &std::io::Error) -> CommandError {
    CommandError::Usage {
        reason: format!("cannot read {}: {error}", path.display()),
    }
}
