//! Events that the control thread handles. They come from traffic threads and from tasks on its own thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use caller::{Admission, DetourRequest, Refused, SlotRequest};
use clock::Moment;
use fleet::{Bundle, FetchFailure, NodeInfo, Place, TunnelError, TunnelRefusal, TunnelTarget};
use operator::Report;
use policy::{Grant, Kind, NodeId, Notice, PermitId};
use resources::{Document, Name, Published, Route};
use tokio::sync::oneshot;

use crate::settings::Settings;

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// A command from a traffic thread.
    Command(Command),
    /// Data that this node has read from the platform, the time at which that was the state of the platform, and the
    /// total number of its platform calls.
    Read(Published, Moment, u64),
    /// A read of the platform by this node failed.
    ReadFailed,
    /// The configuration, if there is one, that this node has read from the platform without the registry, the time
    /// at which it was the newest, and the total number of its platform calls.
    ConfigurationRead(Option<Document>, Moment, u64),
    /// Data of the platform that was fetched from a peer, and the members that the peer knows.
    Fetched(Published, Vec<NodeInfo>),
    /// A fetch from a peer failed.
    FetchFailed(FetchFailure),
    /// A peer fetches the updates that it is missing.
    Bundle(NodeInfo, oneshot::Sender<Bundle>),
    /// A peer asks for a connection to an endpoint.
    Tunnel(TunnelTarget, oneshot::Sender<Result<SocketAddr, TunnelRefusal>>),
    /// This node has stopped reaching any endpoint, or reaches endpoints again.
    CutOff(bool),
    /// The settings file has changed.
    Settings(Box<Settings>),
    /// A planned stop begins.
    Drain,
    /// An operator requests the fleet report.
    Report(oneshot::Sender<Report>),
    /// Drop all frames to these nodes; fault injection for tests.
    Cut(Vec<SocketAddr>),
    /// The control thread ends, because the last request has ended.
    Stop,
}

/// A command of a traffic thread.
#[derive(Debug)]
pub enum Command {
    /// Acquire a slot.
    Acquire(PermitId, SlotRequest, oneshot::Sender<Result<(Grant, Place), Refused>>),
    /// Ask whether an organisation, given by the hash of its name, may make one more request.
    Admit(u64, oneshot::Sender<Admission>),
    /// Choose the nodes to ask for a connection to an endpoint.
    ChooseDetours(DetourRequest, oneshot::Sender<Vec<(NodeId, SocketAddr)>>),
    /// A node opened no connection for a reason that is not about the endpoint.
    DetourFailed(NodeId, TunnelError),
    /// Withdraw the request for a slot.
    Withdraw(PermitId),
    /// A request has stalled, this long after it was sent.
    Stalled(PermitId, Duration),
    /// A long answer has begun, this long after the request was sent.
    AnswerBegan(PermitId, Duration),
    /// An endpoint attached a notice to an answer.
    Noticed(PermitId, Notice),
    /// A request of the route was not served by the service; the route may lead to other services.
    Unserved(Arc<Route>, Name),
    /// A request of the route was refused before a slot was requested.
    RefusedBeforeDispatch(Arc<Route>),
    /// Release a slot. Without an outcome the release is no evidence about the endpoint.
    End(PermitId, Option<(Kind, Duration)>),
}
