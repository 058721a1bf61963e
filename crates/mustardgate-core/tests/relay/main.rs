//! Decisions about relayed requests, each with the load pattern it answers.

mod admission;
mod budget;
mod catalogue;
mod choice;
mod events;
mod placement;
mod routes;
