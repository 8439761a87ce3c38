//! Connects other nodes to endpoints that they do not reach themselves.

use std::io::ErrorKind;

use fleet::{Gateway, TunnelRefusal, TunnelTarget};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use upstream::Connector;

use crate::event::Event;

/// Connects to the endpoints that the control thread knows.
#[derive(Clone)]
pub struct EndpointGateway {
    events: mpsc::UnboundedSender<Event>,
    connector: Connector,
}

impl EndpointGateway {
    /// A gateway that connects by `connector`.
    pub fn new(events: mpsc::UnboundedSender<Event>, connector: Connector) -> Self {
        Self { events, connector }
    }
}

impl Gateway for EndpointGateway {
    async fn connect(&self, target: TunnelTarget) -> Result<TcpStream, TunnelRefusal> {
        if self.connector.is_cut_off() {
            return Err(TunnelRefusal::NoPath);
        }
        let (tx, rx) = oneshot::channel();
        // If the control thread has ended, `rx` fails.
        let _ = self.events.send(Event::Tunnel(target, tx));
        let addr = rx.await.unwrap_or(Err(TunnelRefusal::Busy))?;
        let error = match self.connector.connect(addr).await {
            Ok(stream) => return Ok(stream),
            Err(error) => error,
        };
        Err(match error.kind() {
            _ if !self.connector.reaches_others(addr).await => TunnelRefusal::NoPath,
            ErrorKind::ConnectionRefused => TunnelRefusal::Refused,
            _ => TunnelRefusal::Silent,
        })
    }
}
