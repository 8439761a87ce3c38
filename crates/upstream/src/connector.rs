//! Opens connections to endpoints.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use prometheus::IntCounterVec;
use rustc_hash::FxHashMap;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Opens connections to endpoints and counts the outcomes.
#[derive(Clone, Debug)]
pub struct Connector {
    timeout: Duration,
    /// Addresses under which this VM reaches endpoints, by registered address.
    translations: Arc<FxHashMap<SocketAddr, SocketAddr>>,
    outcomes: Option<IntCounterVec>,
}

impl Connector {
    /// A connector that gives up after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self { timeout, translations: Arc::default(), outcomes: None }
    }

    /// Connects to the translation of an endpoint's registered address, if there is one.
    pub fn translating(self, translations: FxHashMap<SocketAddr, SocketAddr>) -> Self {
        Self { translations: Arc::new(translations), ..self }
    }

    /// Counts connection attempts in `outcomes`, by the label `outcome`.
    pub fn counting(self, outcomes: IntCounterVec) -> Self {
        Self { outcomes: Some(outcomes), ..self }
    }

    /// Opens a connection to an endpoint, given by its registered address.
    pub async fn connect(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        let result = self.connect_within(addr, self.timeout).await;
        if let Some(it) = &self.outcomes {
            it.with_label_values(&[outcome_name(&result)]).inc();
        }
        result
    }

    /// Opens a connection within `limit`, without counting it.
    pub(crate) async fn connect_within(
        &self,
        addr: SocketAddr,
        limit: Duration,
    ) -> io::Result<TcpStream> {
        let addr = self.translations.get(&addr).copied().unwrap_or(addr);
        let stream = timeout(limit, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

fn outcome_name(result: &io::Result<TcpStream>) -> &'static str {
    match result {
        Ok(_) => "opened",
        Err(error) => match error.kind() {
            ErrorKind::TimedOut => "timed-out",
            ErrorKind::ConnectionRefused => "refused",
            _ => "failed",
        },
    }
}
