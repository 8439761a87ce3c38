//! The ways to an endpoint: a connection of this node, or one that leads through another node if this
//! node's own path has failed. What another node sees also tells a failed path from a failed endpoint.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::{Request, Response};
use policy::{Grant, Kind};
use resources::Repeat;
use upstream::{AnswerBody, Failure, PathState, Probe, Reuse, SendError};

use crate::active_slot::{PathCheck, Silence};
use crate::body::RequestBody;
use crate::cx::Cx;
use crate::routed_request::RoutedRequest;
use crate::{DetourRequest, Dispatch, NoDetour};

/// The way of one send to the endpoint of its grant.
pub(crate) struct Way<D> {
    cx: Arc<Cx<D>>,
    request: Arc<RoutedRequest>,
    grant: Grant,
    /// Whether no direct send is under way any more, or none was made.
    is_detour: AtomicBool,
    leads_through_node: AtomicBool,
}

/// Why a send got no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendFailure {
    /// Nothing was written on a connection that was open.
    #[error("{0}")]
    NotWritten(Failure, Option<Request<RequestBody>>),
    /// The request may have run.
    #[error("{0}")]
    Broken(Failure),
    /// The endpoint was reached by no way.
    #[error("not reached from this node; {0}")]
    NotReached(NoDetour, Request<RequestBody>),
    /// The time of the request, or the authorization of its caller, ended while a connection was opened.
    #[error("the request ended before a connection was open")]
    Ended(Request<RequestBody>),
}

impl From<SendError<RequestBody>> for SendFailure {
    fn from(it: SendError<RequestBody>) -> Self {
        match it.failure.is_not_run() {
            true => Self::NotWritten(it.failure, it.req),
            false => Self::Broken(it.failure),
        }
    }
}

impl<D: Dispatch> Way<D> {
    /// The way of a send that has not begun.
    pub(crate) fn new(cx: &Arc<Cx<D>>, request: &Arc<RoutedRequest>, grant: Grant) -> Self {
        Self {
            cx: cx.clone(),
            request: request.clone(),
            grant,
            is_detour: AtomicBool::new(false),
            leads_through_node: AtomicBool::new(false),
        }
    }

    pub(crate) fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Whether the send went through another node.
    pub(crate) fn leads_through_node(&self) -> bool {
        self.leads_through_node.load(Ordering::Relaxed)
    }

    /// Sends a request and waits for the head of its answer. Dropping the future cancels the request.
    pub(crate) async fn send(
        &self,
        mut req: Request<RequestBody>,
        reuse: Reuse,
    ) -> Result<Response<AnswerBody<RequestBody>>, SendFailure> {
        let (pool, addr) = (&self.cx.pool, self.grant.addr);
        let path = pool.connector().path_to(addr);
        if path == PathState::Usable {
            match self.send_directly(req, reuse).await {
                Err(SendFailure::NotReached(_, unsent)) => req = unsent,
                result => return result,
            }
        }
        self.is_detour.store(true, Ordering::Relaxed);
        let detour = self.open_detour().await;
        let time = self.request.send_time(self.grant.stall_after);
        let is_too_late = self.request.left().is_zero() || !self.cx.stop.may_send(time);
        if is_too_late || !self.request.is_still_authorized(&self.cx) {
            return Err(SendFailure::Ended(req));
        }
        // The time that the endpoint is given must not include the attempts to connect.
        self.request.set_deadline(&self.cx.names, req.headers_mut());
        let is_hopeless = path == PathState::Failed && pool.connector().is_cut_off();
        match detour {
            Ok(stream) => {
                self.leads_through_node.store(true, Ordering::Relaxed);
                Ok(pool.send_on(stream, addr, req).await?)
            }
            Err(NoDetour::NoNode) if path != PathState::Usable && !is_hopeless => {
                self.is_detour.store(false, Ordering::Relaxed);
                self.send_directly(req, reuse).await
            }
            Err(why) => Err(SendFailure::NotReached(why, req)),
        }
    }

    async fn send_directly(
        &self,
        req: Request<RequestBody>,
        reuse: Reuse,
    ) -> Result<Response<AnswerBody<RequestBody>>, SendFailure> {
        self.cx.pool.send(self.grant.addr, req, reuse).await.map_err(|it| match it {
            SendError { failure: Failure::Connect(_), req: Some(unsent) } => {
                SendFailure::NotReached(NoDetour::NoNode, unsent)
            }
            it => it.into(),
        })
    }

    /// What a connection that broke before the answer was complete says about its endpoint; `None` if
    /// the way to it may have failed instead. The check runs immediately, because the endpoint's
    /// process may be restarted soon, and because a repeat that is sent before a crash is known could
    /// crash the next endpoint.
    pub(crate) async fn classify_break(&self) -> Option<Kind> {
        let probe = self.cx.pool.probe(self.grant.addr).await;
        let seen_here = match probe {
            Probe::Accepts => return (!self.leads_through_node()).then_some(Kind::Failed),
            Probe::Refuses => Kind::Crashed,
            Probe::Silent => Kind::Failed,
        };
        match self.open_detour().await {
            Ok(_) => None,
            Err(NoDetour::NoNode) => self.reaches_others().await.then_some(seen_here),
            Err(NoDetour::Refused) => Some(Kind::Crashed),
            Err(NoDetour::Silent) => Some(Kind::Failed),
            Err(NoDetour::Closed) => Some(seen_here),
        }
    }

    /// What a send of which nothing was written says about its endpoint.
    pub(crate) async fn classify_unwritten(&self, failure: &SendFailure) -> Option<Kind> {
        let is_evidence = match failure {
            SendFailure::NotReached(NoDetour::NoNode, _) => self.reaches_others().await,
            SendFailure::NotReached(NoDetour::Refused | NoDetour::Silent, _) => true,
            SendFailure::NotWritten(..) => !self.leads_through_node(),
            SendFailure::NotReached(NoDetour::Closed, _)
            | SendFailure::Ended(_)
            | SendFailure::Broken(_) => false,
        };
        is_evidence.then_some(Kind::Unreachable)
    }

    /// Whether this node cannot connect to the endpoint and another node can.
    async fn is_own_path_lost(&self) -> bool {
        if self.cx.pool.connector().connect(self.grant.addr).await.is_ok() {
            return false;
        }
        match self.open_detour().await {
            Ok(_) => true,
            Err(NoDetour::NoNode) => !self.reaches_others().await,
            Err(_) => false,
        }
    }

    fn is_detour(&self) -> bool {
        self.is_detour.load(Ordering::Relaxed)
    }

    async fn open_detour(&self) -> Result<D::Detour, NoDetour> {
        let request = DetourRequest {
            service: self.request.service.clone(),
            grant: self.grant.clone(),
            regions: self.request.regions(),
        };
        let detour = self.cx.dispatch.open_detour(request).await;
        let outcome = detour.as_ref().map_or_else(|it| it.name(), |_| "opened");
        self.cx.metrics.detours.with_label_values(&[outcome]).inc();
        detour
    }

    /// Whether this node's failure to reach the endpoint is evidence although no other node was asked.
    async fn reaches_others(&self) -> bool {
        self.cx.pool.connector().reaches_others(self.grant.addr).await
    }
}

impl<D: Dispatch> PathCheck for Way<D> {
    async fn explain_silence(&self) -> Silence {
        if self.leads_through_node() {
            return Silence::Endpoint;
        }
        let is_lost = !self.is_detour() && self.is_own_path_lost().await;
        match is_lost {
            // The direct attempt to connect may have failed meanwhile.
            _ if self.is_detour() => Silence::NotSent,
            true => Silence::OwnPath,
            false => Silence::Endpoint,
        }
    }

    fn is_given_up_on_loss(&self) -> bool {
        self.request.route.repeat == Repeat::Anytime
    }
}
