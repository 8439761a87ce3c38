//! Stand-in for the network between nodes: their state machines, without sockets or processes, over
//! a network that loses and cuts, in virtual time.

mod links;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fleet::{Bundle, Effect, Exchange, FetchFailure, Identity, Key, Keys, Message, Phase, Reads};
use policy::Time;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use resources::{Document, Published};
use rustc_hash::FxHashMap;

use links::Link;

/// Virtual time between two turns of a node.
const TURN: Duration = Duration::from_millis(50);
/// Nodes that the others know at their start.
const SEEDS: usize = 3;
/// Failure domains.
const DOMAINS: u64 = 3;
/// A fetch that has not ended by then is given up.
const FETCH_LIMIT: Duration = Duration::from_secs(2);
/// A node that waits for news of the platform hears of it after this if there is none.
const WATCH: Duration = Duration::from_millis(700);
/// Time that an answer of the platform may take beside that.
const WATCH_PATIENCE: Duration = Duration::from_millis(400);
/// Pause after a call without an answer; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_500);
/// The platform sends documents as text of this many times their length.
const PLATFORM_LENGTH: f64 = 4.0 / 3.0;

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
    places: FxHashMap<SocketAddr, usize>,
    /// Without links everything that is fetched arrives at once.
    links: Vec<Link>,
    platform: Platform,
    loss: f64,
    rng: StdRng,
    keys: Keys,
}

/// What the platform has published, and who waits for it.
#[derive(Default)]
struct Platform {
    newest: Option<Document>,
    /// The call that each node has under way.
    calls: BTreeMap<usize, Call>,
    /// How long each node has paused after its last call, if that had no answer.
    pauses: BTreeMap<usize, Duration>,
}

/// A call to the platform.
#[derive(Clone)]
struct Call {
    ends: Time,
    answer: Answer,
}

/// What a call brings.
#[derive(Clone)]
enum Answer {
    /// Nothing in time.
    Lost,
    /// What is newer, if anything is.
    News(Option<Document>),
    /// The same of the configuration alone.
    Configuration(Option<Document>),
}

/// Length of a document in bytes, as the platform holds it.
fn length(document: &Document) -> usize {
    serde_json::to_vec(document).expect("string keys only").len()
}

/// Address of a node.
pub fn addr(i: usize) -> SocketAddr {
    ([127, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7400).into()
}

fn started(now: Time, i: usize, incarnation: u64) -> Exchange {
    let me = Identity {
        addr: addr(i),
        failure_domain: i as u64 % DOMAINS,
        incarnation,
        capacity: Default::default(),
    };
    let seeds: Vec<_> = (0..SEEDS).map(addr).collect();
    Exchange::new(now, me, &seeds)
}

impl Net {
    /// `n` nodes that have just started; a share `loss` of frames is lost.
    pub fn new(n: usize, loss: f64) -> Self {
        Self {
            nodes: (0..n).map(|i| started(Time(0), i, 1)).collect(),
            now: Time(0),
            cut: Vec::new(),
            control_bytes: 0,
            in_force_at: BTreeMap::new(),
            places: (0..n).map(|i| (addr(i), i)).collect(),
            links: Vec::new(),
            platform: Platform::default(),
            loss,
            rng: StdRng::seed_from_u64(7),
            keys: Keys { current: Key::new(b"k"), also: None },
        }
    }

    /// Gives every node a link of so many Mbit/s.
    pub fn with_links(mut self, mbps: f64) -> Self {
        self.links = self.nodes.iter().map(|_| Link::new(mbps)).collect();
        self
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
                Answer::News(document) => {
                    self.platform.pauses.remove(&i);
                    self.take(i, Published { document, ..Published::default() });
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
        let reads = self.nodes[i].duty().reads(self.now);
        if reads != Reads::Nothing {
            let call = self.call(i, reads);
            self.platform.calls.insert(i, call);
        }
    }

    fn call(&mut self, i: usize, reads: Reads) -> Call {
        let link = &self.links[i];
        if link.delay() > WATCH_PATIENCE {
            let pause = self.platform.pauses.entry(i).or_insert(FIRST_PAUSE);
            let ends = self.now + WATCH + WATCH_PATIENCE + *pause;
            *pause = (*pause * 2).min(LONGEST_PAUSE);
            return Call { ends, answer: Answer::Lost };
        }
        let known = self.nodes[i].replica().facts().version;
        let newer = self.platform.newest.clone().filter(|it| it.version > known);
        let took = match &newer {
            Some(it) => {
                link.delay() + link.time_for((length(it) as f64 * PLATFORM_LENGTH) as usize)
            }
            None => TURN,
        };
        let answer = match reads {
            Reads::Configuration => Answer::Configuration(newer),
            _ => Answer::News(newer),
        };
        Call { ends: self.now + took, answer }
    }

    fn take(&mut self, i: usize, news: Published) {
        if let Some(it) = &news.document {
            self.accept(i, it);
        }
        let effects = self.nodes[i].read(self.now, news);
        self.apply(i, effects);
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
                if self.nodes[i].duty().reads(self.now) == Reads::Everything {
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
        self.nodes[i] = started(self.now, i, 2);
    }

    /// The version in force at each node.
    pub fn in_force(&self) -> Vec<u64> {
        self.nodes.iter().map(|it| it.replica().facts().version).collect()
    }

    /// Nodes whose duty it is to read the platform.
    pub fn readers(&self) -> usize {
        let reads = |it: &&Exchange| it.duty().reads(self.now) == Reads::Everything;
        self.nodes.iter().filter(reads).count()
    }

    fn accept(&mut self, i: usize, document: &Document) {
        if self.nodes[i].replica_mut().accept(Arc::new(document.clone())) {
            self.in_force_at.insert(i, self.now);
        }
    }

    fn apply(&mut self, i: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => self.deliver(i, to, message),
                Effect::Fetch(from) => self.fetch(i, from),
                Effect::Endpoints | Effect::Verdict(_) => {}
            }
        }
    }

    fn fetch(&mut self, i: usize, from: SocketAddr) {
        let peer = self.places.get(&from).copied();
        let reached = peer.filter(|j| !self.cut.contains(&(i, *j)) && !self.cut.contains(&(*j, i)));
        let Some(j) = reached else { return self.nodes[i].fetch_failed(FetchFailure::Lost) };
        let have = self.nodes[i].replica().facts();
        let bundle = self.nodes[j].bundle(have);
        if self.links.is_empty() {
            return self.fetched(i, bundle);
        }
        let bytes = bundle.encoded_len();
        if !self.links[j].begin(self.now, i, bundle, bytes) {
            self.nodes[i].fetch_failed(FetchFailure::Busy);
        }
    }

    fn fetched(&mut self, i: usize, bundle: Bundle) {
        let news = bundle.decode().expect("it was encoded here");
        if let Some(it) = &news.document {
            self.accept(i, it);
        }
        let effects = self.nodes[i].fetched(self.now, &news);
        self.apply(i, effects);
    }

    fn deliver(&mut self, from: usize, to: SocketAddr, message: Message) {
        let frame = self.nodes[from].frame(message);
        let n = frame.encode(&self.keys).expect("frames fit a datagram").len();
        self.control_bytes += 2 * n as u64;
        self.nodes[from].spend(n);
        let Some(j) = self.places.get(&to).copied() else { return };
        if self.cut.contains(&(from, j)) || self.rng.random_bool(self.loss) {
            return;
        }
        self.nodes[j].spend(n);
        let effects = self.nodes[j].receive(self.now, addr(from), frame, &mut self.rng);
        self.apply(j, effects);
    }
}
