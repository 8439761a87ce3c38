//! Connections to upstream endpoints and sends over them.
//!
//! A send says exactly how far the request got, because the rule "at most once" rests on it. This
//! crate must not know why an endpoint was chosen and never sends a request twice on its own.

mod answer;
mod pool;

pub use answer::AnswerBody;
pub use pool::{Failure, Pool, Reuse, SendError};

#[cfg(test)]
mod tests;
