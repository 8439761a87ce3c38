//! Opens connections to endpoints, and checks the paths on which that failed.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Moment;
use parking_lot::Mutex;
use prometheus::IntCounterVec;
use rustc_hash::FxHashMap;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use crate::paths::{PathState, Paths, Proof};

/// Pause after a check of a failed path that failed again.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Opens connections to endpoints, counts the outcomes and learns from them which paths have failed.
/// Clones share what is learned.
#[derive(Clone, Debug)]
pub struct Connector {
    timeout: Duration,
    /// Addresses under which this VM reaches endpoints, by registered address.
    translations: Arc<FxHashMap<SocketAddr, SocketAddr>>,
    outcomes: Option<IntCounterVec>,
    paths: Arc<Mutex<Paths>>,
    /// Whether this VM is cut off from all endpoints.
    cut_off: Arc<watch::Sender<bool>>,
    /// Notified when a path has failed.
    path_failed: Arc<Notify>,
}

impl Connector {
    /// A connector that gives up after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            translations: Arc::default(),
            outcomes: None,
            paths: Arc::default(),
            cut_off: Arc::new(watch::Sender::new(false)),
            path_failed: Arc::default(),
        }
    }

    /// Connects to the translation of an endpoint's registered address, if there is one.
    pub fn translating(self, translations: FxHashMap<SocketAddr, SocketAddr>) -> Self {
        Self { translations: Arc::new(translations), ..self }
    }

    /// Counts connection attempts in `outcomes`, by the label `outcome`.
    pub fn counting(self, outcomes: IntCounterVec) -> Self {
        Self { outcomes: Some(outcomes), ..self }
    }

    /// Time limit for a new connection.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Opens a connection to an endpoint, given by its registered address.
    pub async fn connect(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        let result = self.connect_within(addr, self.timeout).await;
        if let Some(it) = &self.outcomes {
            it.with_label_values(&[outcome_name(&result)]).inc();
        }
        match &result {
            Ok(_) => self.update_paths(|it, now| it.record_connection(now, addr)),
            Err(error) if is_about_path(error) => {
                self.update_paths(|it, now| it.record_failure(now, addr));
                self.path_failed.notify_one();
            }
            Err(_) => {}
        }
        result
    }

    /// Opens a connection within `limit`, without counting it or learning from it.
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

    /// The state of this VM's path to an endpoint, for a request that needs it.
    pub fn path_to(&self, addr: SocketAddr) -> PathState {
        self.paths.lock().state(Moment::now(), addr)
    }

    /// Whether this VM is cut off from all endpoints, as far as it can tell.
    pub fn is_cut_off(&self) -> bool {
        *self.cut_off.borrow()
    }

    /// The same, with its changes.
    pub fn watch_cut_off(&self) -> watch::Receiver<bool> {
        self.cut_off.subscribe()
    }

    /// Whether this VM reaches endpoints other than the one at `addr`, so that a failure to connect
    /// there says something about that endpoint. Connects to another one if that is not known.
    pub async fn reaches_others(&self, addr: SocketAddr) -> bool {
        let proof = self.paths.lock().proof_beside(Moment::now(), addr);
        match proof {
            Proof::Known => true,
            Proof::Connect(other) => self.connect(other).await.is_ok(),
            // With a single endpoint there is nothing to compare it with.
            Proof::None => true,
            Proof::Disproved => false,
        }
    }

    /// Checks failed paths in turn for as long as requests need them. Runs until it is dropped.
    pub async fn check_paths(self) {
        loop {
            self.path_failed.notified().await;
            let mut pause = CHECK_INTERVAL;
            loop {
                sleep(pause).await;
                let Some(addr) = self.update_paths(Paths::next_check) else { break };
                pause = match self.connect(addr).await {
                    // The other paths have probably come back, too.
                    Ok(_) => Duration::ZERO,
                    Err(_) => CHECK_INTERVAL,
                };
            }
        }
    }

    fn update_paths<T>(&self, f: impl FnOnce(&mut Paths, Moment) -> T) -> T {
        let mut paths = self.paths.lock();
        let out = f(&mut paths, Moment::now());
        let is_cut_off = paths.is_cut_off();
        self.cut_off.send_if_modified(|it| std::mem::replace(it, is_cut_off) != is_cut_off);
        out
    }
}

/// Whether a failed attempt was answered, or not answered, by the network or the endpoint; other
/// errors are this process's own, such as a lack of file descriptors.
fn is_about_path(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::TimedOut
            | ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
    )
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
