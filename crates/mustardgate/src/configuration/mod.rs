//! The configuration of the node, kept up to date from the platform's log.

mod directory;
mod feed;
mod follow;
mod inbox;
mod submit;

pub use self::{directory::ConfigDirectory, follow::follow_configuration, inbox::ConfigInbox, submit::submit_change};
