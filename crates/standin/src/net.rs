//! Stand-in for the network between nodes: their state machines, without sockets or processes, over
//! a network that loses and cuts, in virtual time.

mod links;
mod platform;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fleet::{
    Bundle, Capacity, Effect, Exchange, FetchFailure, Identity, Key, Keys, Message, Phase, Reads,
};
use policy::{Rejection, Time};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::{Document, Published, RegistryChange};
use rustc_hash::FxHashMap;

use links::Link;
use platform::{Answer, Call, Platform, WATCH};

/// Virtual time between two turns of a node.
const TURN: Duration = Duration::from_millis(50);
/// Nodes that the others know at their start.
const SEEDS: usize = 3;
/// Failure domains.
const DOMAINS: u64 = 3;
/// A fetch that has not ended by then is given up.
const FETCH_LIMIT: Duration = Duration::from_secs(2);
/// Time that an answer of the platform may take beside that.
const WATCH_PATIENCE: Duration = Duration::from_millis(400);
/// Pause after a call without an answer; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_500);
/// The platform sends documents as text of this many times their length.
const PLATFORM_LENGTH: f64 = 4.0 / 3.0;
/// Length of an entry of the registry as the platform sends it, in bytes.
const ENTRY_BYTES: usize = 330;

/// Nodes and what is between them.
pub struct Net {
    /// The nodes.
    pub nodes: Vec<Exchange>,
    /// Virtual time.
    pub now: Time,
    /// Cuts in one direction: from, to.
    pub cut: Vec<(usize, usize)>,
    /// Bytes sent and received by all nodes.
    pub control_bytes: u64,
    /// When each node put its latest configuration in force.
    pub in_force_at: BTreeMap<usize, Time>,
    /// When each node first knew endpoints.
    pub endpoints_at: BTreeMap<usize, Time>,
    /// Bytes that nodes have fetched from each other.
    pub fetched_bytes: u64,
    places: FxHashMap<SocketAddr, usize>,
    /// Nodes that have their first configuration in force and have told nobody yet.
    just_configured: Vec<usize>,
    /// Without links everything that is fetched arrives at once.
    links: Vec<Link>,
    platform: Platform,
    loss: f64,
    rng: StdRng,
    keys: Keys,
}

/// Length of a document in bytes, as the platform holds it.
fn length(document: &Document) -> usize {
    serde_json::to_vec(document).expect("string keys only").len()
}

/// Address of a node.
pub fn addr(i: usize) -> SocketAddr {
    ([127, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7400).into()
}

fn started(
    now: Time,
    i: usize,
    incarnation: u64,
    capacity: Capacity,
    rng: &mut StdRng,
) -> Exchange {
    let failure_domain = i as u64 % DOMAINS;
    let me = Identity { addr: addr(i), failure_domain, incarnation, capacity };
    let seeds: Vec<_> = (0..SEEDS).map(addr).collect();
    Exchange::new(now, me, &seeds, rng)
}

impl Net {
    /// `n` nodes that have just started; a share `loss` of frames is lost.
    pub fn new(n: usize, loss: f64) -> Self {
        let mut rng = StdRng::seed_from_u64(7);
        Self {
            nodes: (0..n).map(|i| started(Time(0), i, 1, Capacity::default(), &mut rng)).collect(),
            now: Time(0),
            cut: Vec::new(),
            control_bytes: 0,
            in_force_at: BTreeMap::new(),
            endpoints_at: BTreeMap::new(),
            fetched_bytes: 0,
            places: (0..n).map(|i| (addr(i), i)).collect(),
            just_configured: Vec::new(),
            links: Vec::new(),
            platform: Platform::default(),
            loss,
            rng,
            keys: Keys { current: Key::new(b"k"), also_accepted: None },
        }
    }

    /// Gives every node a link of so many Mbit/s.
    pub fn with_links(mut self, mbps: f64) -> Self {
        self.links = self.nodes.iter().map(|_| Link::new(mbps)).collect();
        self
    }

    /// Starts all nodes anew, each with a link of so many Mbit/s.
    pub fn with_own_links(mut self, mbps: impl Fn(usize) -> u32) -> Self {
        self.links = (0..self.nodes.len()).map(|i| Link::new(f64::from(mbps(i)))).collect();
        for i in 0..self.nodes.len() {
            let capacity = Capacity { link_mbps: mbps(i), ..Capacity::default() };
            self.nodes[i] = started(self.now, i, 1, capacity, &mut self.rng);
        }
        self
    }

    /// The platform has so many endpoints more.
    pub fn publish_endpoints(&mut self, entries: impl Iterator<Item = RegistryChange>) {
        self.platform.registry.extend(entries);
    }

    /// The platform comes back from the copy that it had after so many endpoints.
    pub fn come_back(&mut self, endpoints: usize) {
        self.platform.come_back(endpoints);
    }

    /// Calls to the platform so far. Only nodes with links make any.
    pub fn platform_calls(&self) -> u64 {
        self.platform.calls_made()
    }

    /// The platform acknowledges a configuration. Only nodes with links read it; see `run_on_links`.
    pub fn publish(&mut self, document: Document) {
        self.platform.newest = Some(document);
    }

    /// Lets time pass while nodes read the platform and fetch from each other over their links.
    pub fn run_on_links(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.run(TURN);
            for i in 0..self.nodes.len() {
                self.end_transfers(i);
                self.wait_for_platform(i);
            }
            for i in std::mem::take(&mut self.just_configured) {
                self.set_phase(i, Phase::Fresh);
            }
        }
    }

    fn end_transfers(&mut self, from: usize) {
        let ended = self.links[from].turn(self.now, TURN, FETCH_LIMIT);
        for it in ended.late {
            self.nodes[it.to].fetch_failed(FetchFailure::Lost);
        }
        for it in ended.arrived {
            self.fetched(it.to, it.bundle);
        }
    }

    /// A call that is answered is followed by the next at once: a watch brings what is newer as soon as it
    /// is there. A node whose calls wait behind what it sends has no answer in time, and pauses.
    fn wait_for_platform(&mut self, i: usize) {
        if let Some(call) = self.platform.calls.get(&i).cloned() {
            if self.now < call.ends {
                return;
            }
            self.platform.calls.remove(&i);
            match call.answer {
                Answer::News(news) => {
                    self.platform.pauses.remove(&i);
                    self.take(i, news);
                }
                Answer::Configuration(document) => {
                    self.platform.pauses.remove(&i);
                    document.iter().for_each(|it| self.accept(i, it));
                    self.nodes[i].configuration_read(self.now);
                }
                Answer::Lost => {
                    let effects = self.nodes[i].read_failed();
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

    fn call(&mut self, i: usize, reads: Reads) -> Call {
        let link = &self.links[i];
        if link.delay() > WATCH_PATIENCE {
            let pause = self.platform.pauses.entry(i).or_insert(FIRST_PAUSE);
            let ends = self.now + WATCH + WATCH_PATIENCE + *pause;
            *pause = (*pause * 2).min(LONGEST_PAUSE);
            return Call { ends, answer: Answer::Lost };
        }
        let known = self.nodes[i].replica().versions().config;
        let newer = self.platform.newest.clone().filter(|it| it.version > known);
        let has = self.nodes[i].replica().versions().registry;
        let news = self.platform.since(has, newer.clone());
        let mut bytes =
            newer.as_ref().map_or(0.0, |it| length(it) as f64 * PLATFORM_LENGTH) as usize;
        if reads == Reads::Everything {
            bytes += news.endpoints.len() * ENTRY_BYTES;
        }
        self.platform.count(self.now, i, &news, bytes > 0);
        let took = match bytes {
            0 => TURN,
            _ => link.delay() + link.time_for(bytes),
        };
        let answer = match reads {
            Reads::Configuration => Answer::Configuration(newer),
            _ => Answer::News(news),
        };
        Call { ends: self.now + took, answer }
    }

    fn take(&mut self, i: usize, news: Published) {
        if let Some(it) = &news.document {
            self.accept(i, it);
        }
        let effects = self.nodes[i].platform_read(self.now, news);
        self.note_endpoints(i);
        self.apply(i, effects);
    }

    fn note_endpoints(&mut self, i: usize) {
        if self.nodes[i].replica().versions().registry.is_known() {
            self.endpoints_at.entry(i).or_insert(self.now);
        }
    }

    /// Lets time pass. Nobody reads the platform meanwhile.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TURN;
            for i in 0..self.nodes.len() {
                let effects = self.nodes[i].tick(self.now, &mut self.rng);
                self.apply(i, effects);
            }
        }
    }

    /// Lets time pass while those whose duty it is read a platform that has this configuration.
    pub fn run_with_platform(&mut self, time: Duration, version: u64) {
        let end = self.now + time;
        while self.now < end {
            self.run(TURN * 10);
            for i in 0..self.nodes.len() {
                if self.nodes[i].reader_election().reads(self.now) == Reads::Everything {
                    self.read(i, version);
                }
            }
        }
    }

    /// A node reads a configuration from the platform.
    pub fn read(&mut self, i: usize, version: u64) {
        let document = Document { version, ..Document::default() };
        self.take(i, Published { document: Some(document), ..Published::default() });
    }

    /// A node does something else.
    pub fn set_phase(&mut self, i: usize, phase: Phase) {
        let effects = self.nodes[i].set_phase(phase);
        self.apply(i, effects);
    }

    /// A node is replaced and remembers nothing.
    pub fn restart(&mut self, i: usize) {
        let capacity = self.nodes[i].capacity();
        self.nodes[i] = started(self.now, i, 2, capacity, &mut self.rng);
        self.platform.calls.remove(&i);
        self.endpoints_at.remove(&i);
    }

    /// The version in force at each node.
    pub fn in_force(&self) -> Vec<u64> {
        self.nodes.iter().map(|it| it.replica().versions().config).collect()
    }

    /// Node `i` has come to reject a request.
    pub fn reject(&mut self, i: usize, it: Rejection) {
        let effects = self.nodes[i].announce_rejections(self.now, vec![it]);
        self.apply(i, effects);
    }

    /// Nodes whose duty it is to read the platform.
    pub fn readers(&self) -> usize {
        let reads = |it: &&Exchange| it.reader_election().reads(self.now) == Reads::Everything;
        self.nodes.iter().filter(reads).count()
    }

    fn accept(&mut self, i: usize, document: &Document) {
        if self.nodes[i].replica_mut().accept(Arc::new(document.clone())) {
            self.in_force_at.insert(i, self.now);
        }
        // As the control thread does, at its next turn.
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

    fn fetch(&mut self, i: usize, from: SocketAddr) {
        let peer = self.places.get(&from).copied();
        let reached = peer.filter(|j| !self.cut.contains(&(i, *j)) && !self.cut.contains(&(*j, i)));
        let Some(j) = reached else { return self.nodes[i].fetch_failed(FetchFailure::Lost) };
        let asker = self.nodes[i].info();
        let (bundle, effects) = self.nodes[j].bundle(self.now, asker);
        self.apply(j, effects);
        if self.links.is_empty() {
            return self.fetched(i, bundle);
        }
        let bytes = bundle.encoded_len();
        self.fetched_bytes += bytes as u64;
        if !self.links[j].begin(self.now, i, bundle, bytes) {
            self.nodes[i].fetch_failed(FetchFailure::Busy);
        }
    }

    fn fetched(&mut self, i: usize, bundle: Bundle) {
        let members = bundle.members.clone();
        let news = bundle.decode().expect("it was encoded here");
        if let Some(it) = &news.document {
            self.accept(i, it);
        }
        let effects = self.nodes[i].fetched(self.now, &news, members);
        self.note_endpoints(i);
        self.apply(i, effects);
    }

    fn deliver(&mut self, from: usize, to: SocketAddr, message: Message) {
        let frame = self.nodes[from].frame(message);
        let n = frame.encode(&self.keys).expect("frames fit a datagram").len();
        self.control_bytes += 2 * n as u64;
        let is_round = matches!(frame.message, Message::Gossip(_));
        if is_round {
            self.nodes[from].spend(n);
        }
        let Some(j) = self.places.get(&to).copied() else { return };
        if self.cut.contains(&(from, j)) || self.rng.random_bool(self.loss) {
            return;
        }
        if is_round {
            self.nodes[j].spend(n);
        }
        let effects = self.nodes[j].receive(self.now, addr(from), frame, &mut self.rng);
        self.apply(j, effects);
    }
}
