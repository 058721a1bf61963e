//! Checks shared by several kinds of resource.

use smol_str::SmolStr;

use super::FieldError;

const MAX_NAME_BYTES: usize = 63;

/// Validation errors found so far.
#[derive(Debug, Default)]
pub(super) struct ErrorList {
    errors: Vec<FieldError>,
}

impl ErrorList {
    pub(super) fn into_list(self) -> Vec<FieldError> {
        self.errors
    }

    pub(super) fn push(&mut self, field: impl Into<SmolStr>, reason: impl Into<SmolStr>) {
        self.errors.push(FieldError {
            field: field.into(),
            reason: reason.into(),
        });
    }

    pub(super) fn extend(&mut self, field: &str, reasons: impl IntoIterator<Item = String>) {
        for reason in reasons {
            self.push(field, reason);
        }
    }

    pub(super) fn require(&mut self, is_valid: bool, field: impl Into<SmolStr>, reason: &str) {
        if !is_valid {
            self.push(field, reason);
        }
    }

    /// Checks a resource name, which is used in paths, metrics and log lines.
    pub(super) fn check_name(&mut self, field: impl Into<SmolStr>, name: &str) {
        self.require(
            is_name(name, b"-"),
            field,
            "must be 1 to 63 lower-case letters, digits and inner hyphens",
        );
    }

    /// Checks the name of a version, which may also contain dots and underscores.
    pub(super) fn check_version(&mut self, field: impl Into<SmolStr>, name: &str) {
        self.require(
            is_name(name, b"-._"),
            field,
            "must be 1 to 63 lower-case letters, digits and inner hyphens, dots and underscores",
        );
    }

    pub(super) fn check_unique<'a>(&mut self, field: &str, names: impl IntoIterator<Item = &'a SmolStr>) {
        let mut sorted: Vec<&SmolStr> = names.into_iter().collect();
        sorted.sort_unstable();
        for pair in sorted.windows(2).filter(|pair| pair[0] == pair[1]) {
            self.push(field, format!("{} is listed twice", pair[0]));
        }
    }
}

fn is_name(name: &str, inner_punctuation: &[u8]) -> bool {
    let bytes = name.as_bytes();
    let is_alphanumeric = |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let has_valid_ends = bytes.first().is_some_and(is_alphanumeric) && bytes.last().is_some_and(is_alphanumeric);
    let is_allowed = |byte: &u8| is_alphanumeric(byte) || inner_punctuation.contains(byte);
    has_valid_ends && bytes.len() <= MAX_NAME_BYTES && bytes.iter().all(is_allowed)
}
