//! Decisions about relayed requests, each tested with the load pattern that it handles.

mod admission;
mod answer_head;
mod brittle;
mod budget;
mod catalogue;
mod crashes;
mod events;
mod feed;
mod grace;
mod inputs;
mod limited_replicas;
mod link;
mod load;
mod lone_versions;
mod odd_messages;
mod permits;
mod placement;
mod process_evidence;
mod rate_limits;
mod route_targets;
mod routes;
mod selector;
mod stream_batches;
mod stream_lives;
mod stream_progress;
mod stream_versions;
