//! The command line of operators and experimenters.
