//! Event streams (`text/event-stream`) of back ends.

mod parser;
mod series;

pub(crate) use parser::StreamEvent;
pub(crate) use series::{RefusedEvent, SeriesReader};
