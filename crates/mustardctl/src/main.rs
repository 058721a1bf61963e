//! The `mustardctl` program; everything is in the library.

fn main() {}
