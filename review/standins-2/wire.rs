//! The platform's names of header fields, paths and topics, which stand in a file of their own.

/// Returns a name of the platform.
///
/// # Panics
/// If the file holds no such name.
pub fn wire(key: &str) -> &'static str {
    let pairs = include_str!("wire.txt").lines().filter_map(|line| line.split_once('='));
    let found = pairs.into_iter().find(|(known, _)| *known == key);
    found
        .map(|(_, name)| name)
        .expect("the file holds every name that is used")
}
