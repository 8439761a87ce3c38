//! The listener for callers and the request path: route, wait for a slot, send, answer.
//!
//! Every request ends in exactly one of three ways: with a complete answer, with a truncated answer
//! that the caller can recognise as truncated, or with an error that states whether the request may
//! have run. This crate must not depend on how nodes communicate; slots come from a [`Dispatch`].

mod active_slot;
mod answer;
mod attempt;
mod body;
mod body_memory;
mod chunks;
mod cx;
mod dispatch;
mod exchange;
mod foreign;
mod headers;
mod identity;
mod in_flight;
mod listener;
mod metrics;
mod notice;
mod planned_stop;
mod relay;
mod request_key;
mod routed_request;
mod sending;
mod snapshot;
mod trace;
mod unreachable;
mod way;

pub use answer::OUTCOME_HEADER;
pub use dispatch::{
    Admission, DetourRequest, Dispatch, NoDetour, RefusalReason, Refused, Slot, SlotRequest,
};
pub use headers::{HeaderNames, IdEcho};
pub use listener::{Limits, Listener, ListenerBuilder};
pub use metrics::Metrics;
pub use planned_stop::PlannedStop;
pub use snapshot::{SharedSnapshot, Snapshot};

#[cfg(test)]
mod tests;
