//! Brings revisions and lists to the control thread, from the platform and from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fleet::{Held, Keys};
use platform::{Client, Platform, Vm, mean_interval};
use rand::RngExt;
use resources::{Digest, Manifest, Part};
use slog::{Logger, debug};
use tokio::sync::{mpsc, watch};

use crate::control::Event;
use crate::store::{Candidate, Store};

/// What the pace of the polls depends on.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Nodes in the fleet.
    pub fleet_size: usize,
    /// A fresh node reads at once.
    pub fresh: bool,
}

/// The list lags anyway, so it is read with one poll of the manifest in this many.
const POLLS_PER_LIST: u64 = 4;
/// Interval of a fresh node's polls.
const FRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Reads of the platform.
#[derive(Clone)]
pub struct Reader {
    client: Client,
    polls_per_second: f64,
    store: Store,
    events: mpsc::UnboundedSender<Event>,
    log: Logger,
}

impl Reader {
    /// A reader that reports to `events`.
    pub fn new(
        client: Client,
        polls_per_second: f64,
        store: Store,
        events: mpsc::UnboundedSender<Event>,
        log: Logger,
    ) -> Self {
        Self { client, polls_per_second, store, events, log }
    }

    /// Polls the manifest, and now and then the list, for ever and at random.
    pub async fn run(self, mut pace: watch::Receiver<Pace>) {
        let mut seen = 0;
        for poll in 0_u64.. {
            if poll.is_multiple_of(POLLS_PER_LIST) {
                self.read_list().await;
            }
            match self.client.manifest().await {
                Ok(manifest) => {
                    self.send(Event::ManifestRead);
                    if manifest.revision > seen {
                        seen = self.accept(manifest).await.unwrap_or(seen);
                    }
                }
                Err(error) => debug!(self.log, "the manifest cannot be read"; "error" => %error),
            }
            let _ = tokio::time::timeout(self.next_interval(&pace), pace.changed()).await;
        }
    }

    async fn read_list(&self) {
        match self.client.vms().await {
            Ok(vms) => self.send(Event::Vms(vms)),
            Err(error) => debug!(self.log, "the list cannot be read"; "error" => %error),
        }
    }

    /// Fetches a revision that a peer holds.
    pub async fn fetch_from_peer(self, addr: SocketAddr, held: Held, keys: Keys) {
        match fleet::fetch(addr, &keys, self.store.digests()).await {
            Ok(bundle) => {
                let Ok(manifest) = serde_json::from_slice::<Manifest>(&bundle.manifest) else {
                    return;
                };
                let fetched: Vec<Arc<Part>> = bundle
                    .parts
                    .into_iter()
                    .map(|bytes| Arc::new(Part { digest: Digest::of(&bytes), bytes }))
                    .collect();
                self.compile(manifest, fetched).await;
            }
            Err(error) => debug!(self.log, "a peer's revision cannot be fetched";
                "revision" => held.revision, "error" => %error),
        }
    }

    /// Reads the missing parts of a manifest from the platform.
    async fn accept(&self, manifest: Manifest) -> Option<u64> {
        let mut parts = Vec::new();
        for it in &manifest.parts {
            if self.store.part(&it.digest).is_none() {
                let bytes = self.client.part(it.digest).await.ok()?;
                parts.push(Arc::new(Part { digest: it.digest, bytes }));
            }
        }
        let revision = manifest.revision;
        self.compile(manifest, parts).await;
        Some(revision)
    }

    /// Compiles a revision from fetched parts and those that are here.
    async fn compile(&self, manifest: Manifest, fetched: Vec<Arc<Part>>) {
        let own = manifest.parts.iter().filter_map(|it| self.store.part(&it.digest));
        let parts: Vec<_> = fetched.iter().cloned().chain(own).collect();
        let compiled = tokio::task::spawn_blocking(move || Candidate::compile(manifest, parts));
        match compiled.await {
            Ok(Ok(candidate)) => self.send(Event::Candidate(Box::new(candidate))),
            Ok(Err(rejected)) => self.send(Event::Rejected(rejected)),
            Err(_) => {}
        }
    }

    fn next_interval(&self, pace: &watch::Receiver<Pace>) -> Duration {
        let Pace { fleet_size, fresh } = *pace.borrow();
        if fresh {
            return FRESH_INTERVAL;
        }
        // Uniform between nothing and twice the mean, so that nodes do not poll in step.
        mean_interval(fleet_size, self.polls_per_second).mul_f64(rand::rng().random_range(0.0..2.0))
    }

    fn send(&self, event: Event) {
        // The control thread ends last, so nobody misses an event that cannot be sent.
        let _ = self.events.send(event);
    }
}

/// What a list of VMs means for the exchange.
pub fn listed(vms: &[Vm]) -> Vec<SocketAddr> {
    vms.iter().filter(|it| !it.leaving).map(|it| it.addr).collect()
}
