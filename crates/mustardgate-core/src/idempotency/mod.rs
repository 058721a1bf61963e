//! Keyed requests that run at most once.
//!
//! A keyed request is recorded in the platform's log before it is dispatched. The first claim of a key in log order may
//! dispatch; everyone else answers from the record. Because the order of the log never changes, a node that pauses
//! between record and dispatch cannot cause a second run. See `docs/design/at-most-once.md`.

mod action;
mod batcher;
mod entry;
mod pending;
mod replay;
mod settings;
mod sharded;
mod table;

pub use self::{
    action::{KeyAction, KeyId, KeyRefusal, KeyRequest},
    batcher::{BatcherFull, ClaimBatcher},
    settings::{BatcherSettings, KeySettings},
    sharded::ShardedKeyTable,
    table::{KeyCounters, KeyTable},
};
