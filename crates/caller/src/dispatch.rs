//! The interface to dispatch, which hands out slots on endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::{Grant, Kind, Notice, RequestKey, SendKind};
use resources::{Name, Priority, Route};
use tokio::io::{AsyncRead, AsyncWrite};

/// A request for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// The route that the request matched.
    pub route: Arc<Route>,
    /// The service that the request is sent to.
    pub service: Name,
    /// Equal for identical requests.
    pub request: RequestKey,
    /// Hash of the caller's organisation.
    pub organisation: u64,
    /// Weight of the organisation.
    pub weight: u32,
    /// Priority in the queue.
    pub priority: Priority,
    /// The regions whose endpoints may serve the request; `None` for all.
    pub regions: Option<Vec<Name>>,
    /// Endpoints to use only as a last resort.
    pub avoid: Vec<SocketAddr>,
    /// Which send of the request the slot is for.
    pub send: SendKind,
    /// Whether to queue for a slot. Hedges do not queue.
    pub wait: bool,
    /// Time left until the deadline.
    pub left: Duration,
    /// Whether the route's rules allow no further send after this one.
    pub is_last: bool,
}

/// A request for a slot that was refused.
#[derive(Clone, Copy, Debug)]
pub struct Refused {
    /// When the caller should retry.
    pub retry_after: Duration,
    /// Why no slot was granted.
    pub reason: RefusalReason,
}

/// Why a request for a slot is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No slot becomes free in time.
    NoCapacity,
    /// Endpoints crash when they run the request.
    CrashesEndpoints,
    /// While the request was pending, the endpoint of the granted slot notified this node that it
    /// accepts no requests. Another endpoint may accept them.
    Closed,
    /// This node is being stopped, and the answer would come too late.
    Stopping,
}

impl Refused {
    /// A refusal because the granted slot belongs to an endpoint that accepts no requests from this
    /// node.
    pub fn closed() -> Self {
        Self { retry_after: Duration::ZERO, reason: RefusalReason::Closed }
    }

    /// A refusal because this node is being stopped.
    pub fn stopping(retry_after: Duration) -> Self {
        Self { retry_after, reason: RefusalReason::Stopping }
    }

    /// A refusal because no slot becomes free in time.
    pub fn no_capacity(retry_after: Duration) -> Self {
        Self { retry_after, reason: RefusalReason::NoCapacity }
    }
}

/// Whether an organisation may make another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The organisation may make the request.
    Granted,
    /// The allowance of the organisation is used up.
    Exhausted {
        /// When the allowance covers another request.
        retry_after: Duration,
    },
    /// No node that tracks the allowance can be reached, and the quota share of this node is used
    /// up.
    Unknown,
}

/// A request for a connection to an endpoint through another node.
#[derive(Clone, Debug)]
pub struct DetourRequest {
    /// The service of the endpoint.
    pub service: Name,
    /// The grant of the endpoint's slot.
    pub grant: Grant,
    /// The regions whose nodes may pass the request on; `None` for all.
    pub regions: Option<Vec<Name>>,
}

/// Why no connection to an endpoint leads through another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoDetour {
    /// No other node that reaches endpoints can be asked.
    #[error("no other node takes the connection")]
    NoNode,
    /// The endpoint refuses connections of a node that reaches other endpoints.
    #[error("the endpoint refuses connections of other nodes, too")]
    Refused,
    /// The endpoint does not answer a node that reaches other endpoints.
    #[error("the endpoint does not answer other nodes either")]
    Silent,
    /// Another node knows that the endpoint takes no more requests.
    #[error("the endpoint takes no more requests")]
    Closed,
}

impl NoDetour {
    /// Name used in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NoNode => "no-node",
            Self::Refused => "refused",
            Self::Silent => "silent",
            Self::Closed => "closed",
        }
    }
}

/// A slot on one endpoint. Dropping it releases the slot without reporting an outcome.
pub trait Slot: Send + 'static {
    /// The grant behind the slot.
    fn grant(&self) -> &Grant;
    /// Which dispatcher granted the slot, for logs.
    fn granted_by(&self) -> &'static str;
    /// Reports that the request is stalled. It is still open.
    fn report_stall(&mut self, elapsed: Duration);
    /// Reports that a long answer has begun.
    fn report_answer_start(&mut self, elapsed: Duration);
    /// Reports a notice that the endpoint sent in an answer, such as a rate limit.
    fn report_notice(&mut self, notice: Notice);
    /// Releases the slot and reports how the request ended.
    fn end(self, kind: Kind, elapsed: Duration);
}

/// Hands out slots.
pub trait Dispatch: Clone + Send + Sync + 'static {
    /// The type of the slots.
    type Slot: Slot;
    /// A connection to an endpoint that leads through another node.
    type Detour: AsyncRead + AsyncWrite + Unpin + Send + 'static;

    /// Opens a connection to the endpoint of a grant through another node that reaches it.
    fn open_detour(
        &self,
        request: DetourRequest,
    ) -> impl Future<Output = Result<Self::Detour, NoDetour>> + Send;

    /// Reports that `service` did not serve a request of `route`, which is split between several
    /// services.
    fn record_unserved(&self, route: &Arc<Route>, service: &Name);

    /// Reports that a request of `route` was refused because the organisation's allowance is used
    /// up or unknown.
    fn record_refused(&self, route: &Arc<Route>);

    /// Takes one request from the allowance of an organisation, which is given by the hash of its
    /// name.
    fn admit(&self, organisation: u64) -> impl Future<Output = Admission> + Send;

    /// Waits for a slot. Dropping the future cancels the request for it.
    fn acquire(
        &self,
        request: SlotRequest,
    ) -> impl Future<Output = Result<Self::Slot, Refused>> + Send;
}
