//! The traffic threads' end of dispatch: commands to the control thread and slots from it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use caller::{Admission, Dispatch, Refused, Slot, SlotRequest};
use fleet::Place;
use policy::{Grant, Kind, NodeId, Notice, PermitId};
use resources::{Name, Route};
use tokio::sync::{mpsc, oneshot};

use crate::event::{Command, Event};

/// Asks the control thread for slots.
#[derive(Clone)]
pub struct Handle {
    node: NodeId,
    next: Arc<AtomicU64>,
    events: mpsc::UnboundedSender<Event>,
}

impl Handle {
    /// A handle to the control thread of `node`. `first` must differ between lives of the node.
    pub fn new(node: NodeId, first: u64, events: mpsc::UnboundedSender<Event>) -> Self {
        Self { node, next: Arc::new(AtomicU64::new(first)), events }
    }

    fn send(&self, command: Command) {
        // The control thread ends after the last request.
        let _ = self.events.send(Event::Command(command));
    }
}

impl Dispatch for Handle {
    type Slot = HandleSlot;

    fn record_unserved(&self, route: &Arc<Route>, service: &Name) {
        self.send(Command::Unserved(route.clone(), service.clone()));
    }

    fn record_refused(&self, route: &Arc<Route>) {
        self.send(Command::RefusedOnRoute(route.clone()));
    }

    async fn admit(&self, organisation: u64) -> Admission {
        let (tx, rx) = oneshot::channel();
        self.send(Command::Admit(organisation, tx));
        rx.await.unwrap_or(Admission::Unknown)
    }

    async fn acquire(&self, want: SlotRequest) -> Result<HandleSlot, Refused> {
        let id = PermitId { node: self.node, seq: self.next.fetch_add(1, Ordering::Relaxed) };
        let (tx, rx) = oneshot::channel();
        let mut wish = PendingWish { handle: self, id, settled: false };
        self.send(Command::Acquire(id, want, tx));
        let settled = rx.await;
        wish.settled = true;
        match settled {
            Ok(Ok((grant, place))) => {
                Ok(HandleSlot { handle: self.clone(), id, grant, place, ended: false })
            }
            Ok(Err(refused)) => Err(refused),
            Err(_) => Err(Refused::no_capacity(Duration::from_secs(1))),
        }
    }
}

/// Withdraws the wish if the request goes away while it waits.
struct PendingWish<'a> {
    handle: &'a Handle,
    id: PermitId,
    settled: bool,
}

impl Drop for PendingWish<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.handle.send(Command::Withdraw(self.id));
        }
    }
}

/// A slot that the control thread has found.
pub struct HandleSlot {
    handle: Handle,
    id: PermitId,
    grant: Grant,
    place: Place,
    ended: bool,
}

impl Slot for HandleSlot {
    fn grant(&self) -> &Grant {
        &self.grant
    }

    fn granted_by(&self) -> &'static str {
        match self.place {
            Place::Direct => "itself",
            Place::Own => "own dispatcher",
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

impl Drop for HandleSlot {
    fn drop(&mut self) {
        if !self.ended {
            self.handle.send(Command::End(self.id, None));
        }
    }
}
