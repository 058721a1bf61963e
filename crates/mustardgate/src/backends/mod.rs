//! Adapters to backend servers: engines and plain services over HTTP.

mod control;
mod generate;
mod plain;
mod sse;

pub use self::{
    control::{AddressBook, HttpEngineControl},
    generate::{AttemptError, EngineClient, EventStream},
    plain::{PlainCall, PlainClient},
};
