//! Names of the platform on the wire, put together from their prefixes.

/// Prefix of header fields and of the paths of calls.
const PREFIX: &str = "mustardgate";
/// Prefix of topics that keep the newest record of each key.
const KEYED_PREFIX: &str = "keyed";

/// Returns the name of a header field, in lower case.
pub fn field(name: &str) -> String {
    format!("{PREFIX}-{name}")
}

/// Returns the path of a call.
pub fn call_path(name: &str) -> String {
    format!("/{PREFIX}/{name}")
}

/// Returns the name of the call at a path, if it is one of the platform's.
pub fn call_name(path: &str) -> Option<&str> {
    path.strip_prefix('/')?.strip_prefix(PREFIX)?.strip_prefix('/')
}

/// Returns the name of a topic that keeps the newest record of each key.
pub fn keyed_topic(name: &str) -> String {
    format!("{KEYED_PREFIX}.{name}")
}
