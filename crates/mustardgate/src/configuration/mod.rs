//! The configuration follower: keeps the configuration in force from the platform's log.

mod directory;
mod follow;
mod submit;

pub use self::{directory::ConfigDirectory, follow::follow_configuration, submit::submit_change};
