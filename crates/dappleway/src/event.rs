//! What the control thread is told, by traffic threads and by tasks of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caller::{Admission, Refused, SlotRequest};
use fleet::{Bundle, FetchFailure, NodeInfo, Place};
use operator::Report;
use policy::{Grant, Kind, Notice, PermitId};
use resources::{Document, Name, Published, Route};
use tokio::sync::oneshot;

use crate::settings::Settings;

/// What the control thread is told.
#[derive(Debug)]
pub enum Event {
    /// From a traffic thread.
    Command(Command),
    /// What this node has read from the platform, and its calls so far.
    Read(Published, u64),
    /// The platform did not answer this node.
    ReadFailed,
    /// The configuration that this node has read alone, if there is one, and its calls so far.
    ConfigurationRead(Option<Document>, u64),
    /// What a peer knew of the platform.
    Fetched(Published, Vec<NodeInfo>),
    /// A fetch from a peer brought nothing.
    FetchFailed(FetchFailure),
    /// A peer asks for what it lacks.
    Bundle(NodeInfo, oneshot::Sender<Bundle>),
    /// The settings file has changed.
    Settings(Box<Settings>),
    /// A planned stop begins.
    Drain,
    /// An operator asks for the report.
    Report(oneshot::Sender<Report>),
    /// Drop frames to these nodes, for failure tests.
    Cut(Vec<SocketAddr>),
    /// The last request has ended.
    Stop,
}

/// What traffic threads tell the control thread.
#[derive(Debug)]
pub enum Command {
    /// Find a slot.
    Acquire(PermitId, SlotRequest, oneshot::Sender<Result<(Grant, Place), Refused>>),
    /// Find out whether an organisation, by the hash of its name, may make one more request.
    Admit(u64, oneshot::Sender<Admission>),
    /// The wish for a slot is withdrawn.
    Withdraw(PermitId),
    /// A request is stalled.
    Stalled(PermitId, Duration),
    /// A long answer has begun.
    AnswerBegan(PermitId, Duration),
    /// An endpoint says something of itself in an answer.
    Noticed(PermitId, Notice),
    /// A request of a route that leads to several services was not served by this one.
    Unserved(Arc<Route>, Name),
    /// A request of a route was refused before it was sent.
    RefusedOnRoute(Arc<Route>),
    /// A slot comes back; without an outcome it proves nothing.
    End(PermitId, Option<(Kind, Duration)>),
}
