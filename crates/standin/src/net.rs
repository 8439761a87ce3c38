//! Simulated network between nodes. Runs the nodes' state machines in virtual time, without sockets or processes,
//! over a network with lost frames and cuts.

mod links;
mod platform;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fleet::{
    Bundle, Capacity, Effect, Exchange, Features, FetchFailure, Identity, Key, Keys, Message,
    Phase, Reads,
};
use policy::{Rejection, Time};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::{Document, Published, RegistryChange};
use rustc_hash::FxHashMap;

use links::Link;
use platform::{Answer, Call, Platform, WATCH};

/// Virtual time between two ticks of a node.
const TICK: Duration = Duration::from_millis(50);
/// Number of nodes that serve as seeds for the others.
const SEEDS: usize = 3;
/// Number of failure domains.
const FAILURE_DOMAINS: u64 = 3;
/// Time after which a fetch is abandoned.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that the answer to a watch may take beyond the watch's own waiting time.
const WATCH_MARGIN: Duration = Duration::from_millis(400);
/// Pause after the first call without an answer; doubles with each further one up to `MAX_PAUSE`.
const MIN_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a call without an answer.
const MAX_PAUSE: Duration = Duration::from_millis(2_500);
/// Factor by which the platform's text encoding lengthens documents.
const ENCODING_FACTOR: f64 = 4.0 / 3.0;
/// Length of a registry entry in the platform's encoding, in bytes.
const REGISTRY_ENTRY_BYTES: usize = 330;

/// A simulated fleet: nodes, the network between them, and a platform.
pub struct Net {
    /// State machines of the nodes.
    pub nodes: Vec<Exchange>,
    /// Current virtual time.
    pub now: Time,
    /// One-way cuts as pairs of sender and receiver.
    pub cut: Vec<(usize, usize)>,
    /// Bytes of frames that all nodes sent and received.
    pub control_bytes: u64,
    /// Time at which each node put its latest configuration in force.
    pub in_force_at: BTreeMap<usize, Time>,
    /// Time at which each node first had the registry.
    pub endpoints_at: BTreeMap<usize, Time>,
    /// Bytes that nodes fetched from each other over their links.
    pub fetched_bytes: u64,
    /// Index of each node by address.
    index_by_addr: FxHashMap<SocketAddr, usize>,
    /// Nodes that have put their first configuration in force and whose phase has not changed yet.
    just_configured: Vec<usize>,
    /// Links of the nodes. Without links, fetches complete immediately.
    links: Vec<Link>,
    platform: Platform,
    loss: f64,
    rng: StdRng,
    keys: Keys,
}

/// Length of a document in bytes before the platform's text encoding.
fn document_len(document: &Document) -> usize {
    serde_json::to_vec(document).expect("string keys only").len()
}

/// Returns the address of a node.
pub fn addr(i: usize) -> SocketAddr {
    ([127, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7400).into()
}

fn new_node(
    now: Time,
    i: usize,
    incarnation: u64,
    capacity: Capacity,
    rng: &mut StdRng,
) -> Exchange {
    let failure_domain = i as u64 % FAILURE_DOMAINS;
    let me =
        Identity { addr: addr(i), failure_domain, incarnation, capacity, features: Features::NONE };
    let seeds: Vec<_> = (0..SEEDS).map(addr).collect();
    Exchange::new(now, me, &seeds, rng)
}

impl Net {
    /// Creates `n` newly started nodes over a network that loses a share `loss` of frames.
    pub fn new(n: usize, loss: f64) -> Self {
        let mut rng = StdRng::seed_from_u64(7);
        Self {
            nodes: (0..n).map(|i| new_node(Time(0), i, 1, Capacity::default(), &mut rng)).collect(),
            now: Time(0),
            cut: Vec::new(),
            control_bytes: 0,
            in_force_at: BTreeMap::new(),
            endpoints_at: BTreeMap::new(),
            fetched_bytes: 0,
            index_by_addr: (0..n).map(|i| (addr(i), i)).collect(),
            just_configured: Vec::new(),
            links: Vec::new(),
            platform: Platform::default(),
            loss,
            rng,
            keys: Keys { current: Key::new(b"k"), also_accepted: None },
        }
    }

    /// Gives every node a link of `mbps` Mbit/s.
    pub fn with_links(mut self, mbps: f64) -> Self {
        self.links = self.nodes.iter().map(|_| Link::new(mbps)).collect();
        self
    }

    /// Restarts all nodes, node `i` with a link of `mbps(i)` Mbit/s.
    pub fn with_own_links(mut self, mbps: impl Fn(usize) -> u32) -> Self {
        self.links = (0..self.nodes.len()).map(|i| Link::new(f64::from(mbps(i)))).collect();
        for i in 0..self.nodes.len() {
            let capacity = Capacity { link_mbps: mbps(i), ..Capacity::default() };
            self.nodes[i] = new_node(self.now, i, 1, capacity, &mut self.rng);
        }
        self
    }

    /// Adds changes to the platform's registry.
    pub fn publish_endpoints(&mut self, entries: impl Iterator<Item = RegistryChange>) {
        self.platform.registry.extend(entries);
    }

    /// Restores the platform's registry from the copy that it had after this many changes.
    pub fn restore_platform(&mut self, endpoints: usize) {
        self.platform.restore(endpoints);
    }

    /// Returns the number of calls to the platform. Only nodes with links make calls.
    pub fn platform_calls(&self) -> u64 {
        self.platform.calls_made()
    }

    /// Publishes a configuration on the platform. Only nodes with links read it; see `run_on_links`.
    pub fn publish(&mut self, document: Document) {
        self.platform.newest_document = Some(document);
    }

    /// Advances time while nodes read the platform and fetch from each other over their links.
    pub fn run_on_links(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.run(TICK);
            for i in 0..self.nodes.len() {
                self.end_transfers(i);
                self.poll_platform(i);
            }
            for i in std::mem::take(&mut self.just_configured) {
                self.set_phase(i, Phase::Fresh);
            }
        }
    }

    fn end_transfers(&mut self, from: usize) {
        let ended = self.links[from].advance(self.now, TICK, FETCH_TIMEOUT);
        for it in ended.expired {
            self.nodes[it.to].fetch_failed(FetchFailure::Lost);
        }
        for it in ended.completed {
            self.fetched(it.to, it.bundle);
        }
    }

    /// Completes the platform call of a node and starts the next one. The next call starts immediately after an
    /// answer, as a watch returns changes as soon as they exist. A node whose calls are delayed by its own transfers
    /// gets no answer in time, and pauses.
    fn poll_platform(&mut self, i: usize) {
        if let Some(call) = self.platform.calls.get(&i).cloned() {
            if self.now < call.ends {
                return;
            }
            self.platform.calls.remove(&i);
            match call.answer {
                Answer::Update(update) => {
                    self.platform.pauses.remove(&i);
                    self.apply_update(i, call.sent, update);
                }
                Answer::Configuration(document) => {
                    self.platform.pauses.remove(&i);
                    document.iter().for_each(|it| self.accept(i, it));
                    self.nodes[i].configuration_read(self.now, call.sent);
                }
                Answer::Lost => {
                    let effects = self.nodes[i].read_failed(self.now);
                    self.apply(i, effects);
                }
            }
        }
        let reads = self.nodes[i].reader_election().reads(self.now);
        if reads == Reads::Nothing {
            self.platform.counted.remove(&i);
            return;
        }
        let call = self.call(i, reads);
        self.platform.calls.insert(i, call);
    }

    /// Creates the next platform call of a node.
    fn call(&mut self, i: usize, reads: Reads) -> Call {
        let link = &self.links[i];
        if link.queueing_delay() > WATCH_MARGIN {
            let pause = self.platform.pauses.entry(i).or_insert(MIN_PAUSE);
            let ends = self.now + WATCH + WATCH_MARGIN + *pause;
            *pause = (*pause * 2).min(MAX_PAUSE);
            return Call { sent: self.now, ends, answer: Answer::Lost };
        }
        let known_version = self.nodes[i].replica().versions().config;
        let newer = self.platform.newest_document.clone().filter(|it| it.version > known_version);
        let known_position = self.nodes[i].replica().versions().registry;
        let update = self.platform.since(known_position, newer.clone());
        let mut bytes =
            newer.as_ref().map_or(0.0, |it| document_len(it) as f64 * ENCODING_FACTOR) as usize;
        if reads == Reads::Everything {
            bytes += update.endpoints.len() * REGISTRY_ENTRY_BYTES;
        }
        self.platform.count_calls(self.now, i, &update, bytes > 0);
        let duration = match bytes {
            0 => TICK,
            _ => link.queueing_delay() + link.transfer_time(bytes),
        };
        let answer = match reads {
            Reads::Configuration => Answer::Configuration(newer),
            _ => Answer::Update(update),
        };
        Call { sent: self.now, ends: self.now + duration, answer }
    }

    fn apply_update(&mut self, i: usize, as_of: Time, update: Published) {
        if let Some(it) = &update.document {
            self.accept(i, it);
        }
        let effects = self.nodes[i].platform_read(self.now, as_of, update);
        self.record_registry_time(i);
        self.apply(i, effects);
    }

    fn record_registry_time(&mut self, i: usize) {
        if self.nodes[i].replica().versions().registry.is_known() {
            self.endpoints_at.entry(i).or_insert(self.now);
        }
    }

    /// Advances time without reads of the platform.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            for i in 0..self.nodes.len() {
                let effects = self.nodes[i].tick(self.now, &mut self.rng);
                self.apply(i, effects);
            }
        }
    }

    /// Advances time while the elected readers read a platform that has this version of the configuration.
    pub fn run_with_platform(&mut self, time: Duration, version: u64) {
        let end = self.now + time;
        while self.now < end {
            self.run(TICK * 10);
            for i in 0..self.nodes.len() {
                if self.nodes[i].reader_election().reads(self.now) == Reads::Everything {
                    self.read_platform(i, version);
                }
            }
        }
    }

    /// Makes a node read this version of the configuration from the platform.
    pub fn read_platform(&mut self, i: usize, version: u64) {
        let document = Document { version, ..Document::default() };
        let update = Published { document: Some(document), ..Published::default() };
        self.apply_update(i, self.now, update);
    }

    /// Sets the phase of a node.
    pub fn set_phase(&mut self, i: usize, phase: Phase) {
        let effects = self.nodes[i].set_phase(phase);
        self.apply(i, effects);
    }

    /// Replaces a node by one without any state.
    pub fn restart(&mut self, i: usize) {
        let capacity = self.nodes[i].capacity();
        self.nodes[i] = new_node(self.now, i, 2, capacity, &mut self.rng);
        self.platform.calls.remove(&i);
        self.endpoints_at.remove(&i);
    }

    /// Returns the version in force at each node.
    pub fn in_force(&self) -> Vec<u64> {
        self.nodes.iter().map(|it| it.replica().versions().config).collect()
    }

    /// Makes node `i` announce the rejection of a request.
    pub fn announce_rejection(&mut self, i: usize, it: Rejection) {
        let effects = self.nodes[i].announce_rejections(self.now, vec![it]);
        self.apply(i, effects);
    }

    /// Returns the number of elected readers of the platform.
    pub fn readers(&self) -> usize {
        let reads = |it: &&Exchange| it.reader_election().reads(self.now) == Reads::Everything;
        self.nodes.iter().filter(reads).count()
    }

    fn accept(&mut self, i: usize, document: &Document) {
        if self.nodes[i].replica_mut().accept(Arc::new(document.clone())) {
            self.in_force_at.insert(i, self.now);
        }
        // The control thread changes the phase in its next iteration, too.
        if self.nodes[i].phase() == Phase::Starting && !self.links.is_empty() {
            self.just_configured.push(i);
        }
    }

    fn apply(&mut self, i: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.deliver(i, to, message),
                Effect::Fetch(from) => self.fetch(i, from),
                Effect::EndpointsChanged | Effect::Verdict(_) | Effect::Rejection(_) => {}
            }
        }
    }

    /// Starts a fetch from the peer at `from`, which fails at once if a cut separates the nodes.
    fn fetch(&mut self, i: usize, from: SocketAddr) {
        let peer = self.index_by_addr.get(&from).copied();
        let reachable =
            peer.filter(|j| !self.cut.contains(&(i, *j)) && !self.cut.contains(&(*j, i)));
        let Some(j) = reachable else { return self.nodes[i].fetch_failed(FetchFailure::Lost) };
        let asker = self.nodes[i].info();
        let (bundle, effects) = self.nodes[j].bundle(self.now, asker);
        self.apply(j, effects);
        if self.links.is_empty() {
            return self.fetched(i, bundle);
        }
        let bytes = bundle.encoded_len();
        self.fetched_bytes += bytes as u64;
        if !self.links[j].start(self.now, i, bundle, bytes) {
            self.nodes[i].fetch_failed(FetchFailure::Busy);
        }
    }

    fn fetched(&mut self, i: usize, bundle: Bundle) {
        let members = bundle.members.clone();
        let update = bundle.decode().expect("it was encoded here");
        if let Some(it) = &update.document {
            self.accept(i, it);
        }
        let effects = self.nodes[i].fetched(self.now, &update, members);
        self.record_registry_time(i);
        self.apply(i, effects);
    }

    /// Delivers a frame, unless a cut or random loss drops it.
    fn deliver(&mut self, from: usize, to: SocketAddr, message: Message) {
        let frame = self.nodes[from].frame(message);
        let n = frame.encode(&self.keys).expect("frames fit a datagram").len();
        self.control_bytes += 2 * n as u64;
        let is_gossip = matches!(frame.message, Message::Gossip(_));
        if is_gossip {
            self.nodes[from].spend(n);
        }
        let Some(j) = self.index_by_addr.get(&to).copied() else { return };
        if self.cut.contains(&(from, j)) || self.rng.random_bool(self.loss) {
            return;
        }
        if is_gossip {
            self.nodes[j].spend(n);
        }
        let effects = self.nodes[j].receive(self.now, addr(from), frame, &mut self.rng);
        self.apply(j, effects);
    }
}
