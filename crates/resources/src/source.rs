//! Where configurations and endpoints come from. The platform's adapter implements it.

use crate::{Document, Position, Published};

/// Why nothing could be read. It will be tried again.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The changes since the last read are not to be had any more: everything must be read anew.
    #[error("the platform has forgotten the changes since the last read: all is read anew")]
    Forgotten,
    /// The platform did not answer.
    #[error("{0}")]
    Unavailable(String),
}

/// What the platform publishes.
pub trait Source: Send + 'static {
    /// Reads everything.
    fn read(&mut self) -> impl Future<Output = Result<Published, SourceError>> + Send;

    /// Reads the configuration alone; nothing if there is none.
    fn configuration(
        &mut self,
    ) -> impl Future<Output = Result<Option<Document>, SourceError>> + Send;

    /// Takes over from another reader: reads, without waiting, what has changed after `known`, up to where the registry
    /// was learnt from peers. A configuration from before that is read by itself.
    fn resume(
        &mut self,
        known: Position,
    ) -> impl Future<Output = Result<Published, SourceError>> + Send;

    /// Waits for what has changed since the last read, for a short time only: an answer without
    /// changes proves that there are none.
    fn next(&mut self) -> impl Future<Output = Result<Published, SourceError>> + Send;

    /// Calls made so far, each of which has a price.
    fn calls(&self) -> u64;
}
