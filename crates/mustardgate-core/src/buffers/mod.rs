//! Bytes from outside that are held until they form a whole: who may hold how many, and who loses them first.
//!
//! A limit on each answer bounds one of them; only a limit on all of them bounds a process. See
//! `docs/incidents/2026-12-06-lost-endless-answers.md`.

mod ledger;
mod limits;
mod unfinished;

pub use self::{
    ledger::{BufferLedger, BufferSource, HolderId},
    limits::{BufferLimits, ListenerRole, PLACE_BYTES, READ_BYTES, RECEIVE_BYTES},
    unfinished::{BodyId, STALL_TIME, UnfinishedBodies},
};
