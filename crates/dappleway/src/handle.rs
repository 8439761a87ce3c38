//! Access of the traffic threads to dispatch: commands to the control thread, and slots from it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use caller::{Admission, DetourRequest, Dispatch, NoDetour, Refused, Slot, SlotRequest};
use fleet::{Keys, Place, TunnelError, TunnelRefusal, TunnelStream, TunnelTarget, open_tunnel};
use policy::{Grant, Kind, NodeId, Notice, PermitId};
use resources::{Name, Route};
use tokio::sync::{mpsc, oneshot};

use crate::event::{Command, Event};
use crate::services::name_hash;

/// Requests slots and allowances from the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    node: NodeId,
    next_seq: Arc<AtomicU64>,
    events: mpsc::UnboundedSender<Event>,
    tunnels: Arc<TunnelParams>,
}

/// How tunnels are asked for.
#[derive(Debug)]
pub struct TunnelParams {
    /// Keys that authenticate the nodes.
    pub keys: Keys,
    /// Time limit for one peer to open a tunnel.
    pub timeout: Duration,
}

impl ControlHandle {
    /// Creates a handle to the control thread of `node`. Permits are numbered from `first_seq`, which must differ
    /// between incarnations of the node.
    pub fn new(
        node: NodeId,
        first_seq: u64,
        events: mpsc::UnboundedSender<Event>,
        tunnels: TunnelParams,
    ) -> Self {
        let next_seq = Arc::new(AtomicU64::new(first_seq));
        Self { node, next_seq, events, tunnels: Arc::new(tunnels) }
    }

    fn send(&self, command: Command) {
        // Sending fails only after the last request, when the control thread has ended.
        let _ = self.events.send(Event::Command(command));
    }
}

impl Dispatch for ControlHandle {
    type Slot = ControlSlot;
    type Detour = TunnelStream;

    async fn open_detour(&self, request: DetourRequest) -> Result<TunnelStream, NoDetour> {
        let (tx, rx) = oneshot::channel();
        let Grant { endpoint, started_ms, .. } = request.grant.clone();
        let target = TunnelTarget { service: name_hash(&request.service), endpoint, started_ms };
        self.send(Command::ChooseDetours(request, tx));
        let TunnelParams { keys, timeout } = &*self.tunnels;
        // No node is asked if the control thread has ended.
        for (node, addr) in rx.await.unwrap_or_default() {
            match open_tunnel(addr, keys, &target, *timeout).await {
                Ok(stream) => return Ok(stream),
                Err(TunnelError::Refused(TunnelRefusal::Closed)) => return Err(NoDetour::Closed),
                Err(TunnelError::Refused(TunnelRefusal::Refused)) => return Err(NoDetour::Refused),
                Err(TunnelError::Refused(TunnelRefusal::Silent)) => return Err(NoDetour::Silent),
                // A peer that does not know the endpoint yet may know others.
                Err(TunnelError::Refused(TunnelRefusal::Unknown)) => {}
                Err(error) => self.send(Command::DetourFailed(node, error)),
            }
        }
        Err(NoDetour::NoNode)
    }

    fn record_unserved(&self, route: &Arc<Route>, service: &Name) {
        self.send(Command::Unserved(route.clone(), service.clone()));
    }

    fn record_refused(&self, route: &Arc<Route>) {
        self.send(Command::RefusedBeforeDispatch(route.clone()));
    }

    async fn admit(&self, organisation: u64) -> Admission {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Admit(organisation, tx));
        rx.await.unwrap_or(Admission::Unknown)
    }

    async fn acquire(&self, slot_request: SlotRequest) -> Result<ControlSlot, Refused> {
        let id = PermitId { node: self.node, seq: self.next_seq.fetch_add(1, Ordering::Relaxed) };
        let (tx, rx) = oneshot::channel();
        let mut pending = PendingAcquire { handle: self, id, settled: false };
        self.send(Command::Acquire(id, slot_request, tx));
        let settled = rx.await;
        pending.settled = true;
        match settled {
            Ok(Ok((grant, place))) => {
                Ok(ControlSlot { handle: self.clone(), id, grant, place, ended: false })
            }
            Ok(Err(refused)) => Err(refused),
            Err(_) => Err(Refused::no_capacity(Duration::from_secs(1))),
        }
    }
}

/// Withdraws a slot request if its future is dropped before it is settled.
struct PendingAcquire<'a> {
    handle: &'a ControlHandle,
    id: PermitId,
    settled: bool,
}

impl Drop for PendingAcquire<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.handle.send(Command::Withdraw(self.id));
        }
    }
}

/// A slot that the control thread has acquired; dropping the slot releases it without an outcome.
pub struct ControlSlot {
    handle: ControlHandle,
    id: PermitId,
    grant: Grant,
    place: Place,
    ended: bool,
}

impl Slot for ControlSlot {
    fn grant(&self) -> &Grant {
        &self.grant
    }

    fn granted_by(&self) -> &'static str {
        match self.place {
            Place::Direct => "itself",
            Place::Own(_) => "own dispatcher",
            Place::Peer(_) => "peer",
        }
    }

    fn report_stall(&mut self, elapsed: Duration) {
        self.handle.send(Command::Stalled(self.id, elapsed));
    }

    fn report_answer_start(&mut self, elapsed: Duration) {
        self.handle.send(Command::AnswerBegan(self.id, elapsed));
    }

    fn report_notice(&mut self, notice: Notice) {
        self.handle.send(Command::Noticed(self.id, notice));
    }

    fn end(mut self, kind: Kind, elapsed: Duration) {
        self.ended = true;
        self.handle.send(Command::End(self.id, Some((kind, elapsed))));
    }
}

impl Drop for ControlSlot {
    fn drop(&mut self) {
        if !self.ended {
            self.handle.send(Command::End(self.id, None));
        }
    }
}
