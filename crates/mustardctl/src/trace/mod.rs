//! The path of one request through the logs of several nodes.

mod line;
mod story;

pub use self::{
    line::LogLine,
    story::{RequestStory, StoryStep, tell_story},
};
