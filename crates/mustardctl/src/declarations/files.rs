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

/// A resource declared in a file.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredResource {
    /// Identity of the resource.
    pub key: ResourceKey,
    /// Specification with defaults for omitted fields.
    pub spec: ResourceSpec,
    /// File that declares it.
    pub file: PathBuf,
}

/// A declaration as written in a file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawResource {
    kind: SmolStr,
    name: SmolStr,
    spec: toml::Table,
}

/// A file that declares several resources.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFile {
    resource: Vec<RawResource>,
}

/// Reads every `.toml` file in a folder and its subfolders, and returns the resources in creation order.
///
/// # Errors
/// [`CommandError::Invalid`] with all errors in all files, [`CommandError::Usage`] when a file or the folder cannot be
/// read.
pub fn read_folder(folder: &Path) -> Result<Vec<DeclaredResource>, CommandError> {
    let mut files = Vec::new();
    collect_files(folder, &mut files)?;
    files.sort();
    let mut declared = Vec::new();
    let mut errors = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).map_err(|error| read_error(&file, &error))?;
        match parse_declarations(&text, &file) {
            Ok(resources) => declared.extend(resources),
            Err(CommandError::Invalid { errors: found }) => errors.extend(found),
            Err(error) => return Err(error),
        }
    }
    declared.sort_by(|first: &DeclaredResource, second| first.key.cmp(&second.key));
    let duplicates = declared.windows(2).filter(|pair| pair[0].key == pair[1].key);
    errors.extend(duplicates.map(|pair| format!("{}: {} is declared twice", pair[1].file.display(), pair[1].key)));
    if errors.is_empty() {
        Ok(declared)
    } else {
        Err(CommandError::Invalid { errors })
    }
}

/// Parses the declarations of one file.
///
/// # Errors
/// [`CommandError::Invalid`] with all errors.
pub fn parse_declarations(text: &str, file: &Path) -> Result<Vec<DeclaredResource>, CommandError> {
    let mut errors = Vec::new();
    let mut declared = Vec::new();
    for raw in parse_raw(text, file)? {
        match parse_resource(raw, file) {
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

fn parse_raw(text: &str, file: &Path) -> Result<Vec<RawResource>, CommandError> {
    let invalid = |error: toml::de::Error| CommandError::Invalid {
        errors: vec![format!("{}: {error}", file.display())],
    };
    let table: toml::Table = toml::from_str(text).map_err(invalid)?;
    if table.contains_key("resource") {
        let raw: RawFile = toml::from_str(text).map_err(invalid)?;
        return Ok(raw.resource);
    }
    Ok(vec![toml::from_str(text).map_err(invalid)?])
}

fn parse_resource(raw: RawResource, file: &Path) -> Result<DeclaredResource, String> {
    let label = format!("{}/{}", raw.kind, raw.name);
    let kind = ResourceKind::parse(&raw.kind).ok_or_else(|| format!("{label}: unknown kind"))?;
    let value = serde_json::to_value(&raw.spec).map_err(|error| format!("{label}: {error}"))?;
    let spec = parse_spec(kind, &value).map_err(|error| format!("{label}: {}: {}", error.field, error.reason))?;
    let name = raw.name;
    Ok(DeclaredResource {
        key: ResourceKey { kind, name },
        spec,
        file: file.to_owned(),
    })
}

fn collect_files(folder: &Path, files: &mut Vec<PathBuf>) -> Result<(), CommandError> {
    let entries = fs::read_dir(folder).map_err(|error| read_error(folder, &error))?;
    for entry in entries {
        let path = entry.map_err(|error| read_error(folder, &error))?.path();
        if path.is_dir() {
            collect_files(&path, files)?;
        } else if path.extension().is_some_and(|extension| extension == "toml") {
            files.push(path);
        }
    }
    Ok(())
}

fn read_error(path: &Path, error: &std::io::Error) -> CommandError {
    CommandError::Usage {
        reason: format!("cannot read {}: {error}", path.display()),
    }
}
