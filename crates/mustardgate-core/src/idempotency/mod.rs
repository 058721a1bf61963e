//! Idempotency keys: requests with a key run at most once.
//!
//! A claim of the key is appended to the platform's log before the request is dispatched. Only the request with the
//! first claim of a key in log order may be dispatched; all others are answered from the record of the key. Because the
//! order of the log never changes, a node that pauses between the append and the dispatch cannot cause a second run.
//! See `docs/design/at-most-once.md`.

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
