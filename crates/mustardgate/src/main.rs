//! The `mustardgate` program; everything is in the library.

fn main() {}
