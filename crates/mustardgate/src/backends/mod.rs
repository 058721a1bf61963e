//! HTTP clients of backend servers: engines and plain services.

mod control;
mod generate;
mod plain;
mod sse;

pub use self::{
    control::{AddressBook, HttpEngineControl},
    generate::{AttemptError, EngineClient, EventStream},
    plain::{PlainCall, PlainClient},
};
