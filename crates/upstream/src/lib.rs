//! A connection pool for upstream endpoints.
//!
//! A failed send states whether any part of the request was written, because at-most-once delivery
//! depends on it. This crate must not know why an endpoint was chosen, and never repeats a request
//! that may have been written.

mod answer;
mod connection;
mod connector;
mod paths;
mod pool;

pub use answer::{AnswerBody, AnswerError};
pub use connector::Connector;
pub use paths::PathState;
pub use pool::{Failure, Pool, Probe, Reuse, SendError};

#[cfg(test)]
mod tests;
