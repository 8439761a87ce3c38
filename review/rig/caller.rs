//! Stand-ins for the callers and for the platform's balancer in front of the nodes.

use std::io::{self, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::node::is_ready;
use crate::record::Record;

/// How long a caller waits for an answer, as it tells in `X-Timeout-Ms`.
pub const TIME_LIMIT: Duration = Duration::from_millis(6_000);
/// Time limit for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the balancer asks whether nodes are ready.
const READY_INTERVAL: Duration = Duration::from_secs(1);
/// Missed answers after which a node gets no new connections.
const MAX_MISSES: u32 = 2;
/// Pause of a caller after a request that was not served.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(100);

/// A kind of request.
#[derive(Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
}

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A whole answer.
    Answer(Message),
    /// The whole request was sent, and the connection ended without a whole answer.
    Closed,
    /// The caller gave up at its time limit.
    TimedOut,
    /// No connection came up, or it ended before the request was sent.
    NotSent,
}

/// A request and how it ended.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub kind: &'static str,
    /// Number of the node that the caller was connected to.
    pub node: usize,
    /// When the last byte was sent.
    pub sent: Instant,
    pub outcome: Outcome,
}

/// The balancer: new connections go to the nodes that are ready.
pub struct Balancer {
    fronts: Vec<SocketAddr>,
    is_in: Vec<AtomicBool>,
    next: AtomicU64,
}

impl Balancer {
    /// Starts to ask all nodes whether they are ready.
    pub fn start(nodes: Vec<(SocketAddr, SocketAddr)>, stop: &Arc<AtomicBool>) -> Arc<Self> {
        let (fronts, readies): (Vec<_>, Vec<_>) = nodes.into_iter().unzip();
        let is_in = fronts.iter().map(|_| AtomicBool::new(true)).collect();
        let it = Arc::new(Self { fronts, is_in, next: AtomicU64::new(0) });
        for (node, addr) in readies.into_iter().enumerate() {
            let (it, stop) = (it.clone(), stop.clone());
            thread::spawn(move || {
                let mut misses = 0;
                while !stop.load(Ordering::Relaxed) {
                    misses = if is_ready(addr) { 0 } else { misses + 1 };
                    it.is_in[node].store(misses < MAX_MISSES, Ordering::Relaxed);
                    thread::sleep(READY_INTERVAL);
                }
            });
        }
        it
    }

    /// The node for a new connection.
    fn choose(&self) -> usize {
        let count = self.fronts.len();
        let first = self.next.fetch_add(1, Ordering::Relaxed) as usize;
        let nodes = (0..count).map(|i| (first + i) % count);
        nodes.clone().find(|it| self.is_in[*it].load(Ordering::Relaxed)).unwrap_or(first % count)
    }
}

/// What callers do.
#[derive(Clone, Copy)]
pub struct Load<'a> {
    pub callers: usize,
    /// Kinds of their requests, one caller after the other.
    pub kinds: &'a [Kind],
}

/// All callers of a case.
pub struct Callers {
    threads: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Callers {
    /// Starts callers, each of which sends one request after the other on a connection that it keeps.
    pub fn start(load: Load<'_>, balancer: &Arc<Balancer>, record: &Record) -> Self {
        let Load { callers, kinds } = load;
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..callers).map(|n| {
            let caller = Caller {
                name: format!("c{n}"),
                kind: kinds[n % kinds.len()],
                balancer: balancer.clone(),
                connection: None,
                record: record.clone(),
            };
            let (stop, sent) = (stop.clone(), sent.clone());
            thread::spawn(move || caller.run(&stop, &sent))
        });
        Self { threads: threads.collect(), stop: stop.clone(), sent }
    }

    /// Waits until all callers have got their last answer, and returns all requests.
    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|it| drop(it.join()));
        std::mem::take(&mut self.sent.lock().expect("no holder panics"))
    }
}

struct Caller {
    name: String,
    kind: Kind,
    balancer: Arc<Balancer>,
    /// The connection that is kept, with the number of its node.
    connection: Option<(usize, BufReader<TcpStream>)>,
    record: Record,
}

impl Caller {
    fn run(mut self, stop: &AtomicBool, sent: &Mutex<Vec<Sent>>) {
        for n in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("{}-{n:04}", self.name);
            let it = self.send(&id);
            let is_served = matches!(&it.outcome, Outcome::Answer(it) if it.status() == 200);
            self.record.line(format!(
                "{} {id} at node {}: {}",
                it.kind,
                it.node + 1,
                text_of(&it.outcome)
            ));
            sent.lock().expect("no holder panics").push(it);
            if !is_served {
                thread::sleep(PAUSE_AFTER_FAILURE);
            }
        }
    }

    fn send(&mut self, id: &str) -> Sent {
        let started = Instant::now();
        let connection = self.connection.take().map_or_else(|| self.connect(), Ok);
        let kind = self.kind.name;
        let it =
            Sent { id: id.to_owned(), kind, node: 0, sent: started, outcome: Outcome::NotSent };
        let Ok((node, mut reader)) = connection else { return it };
        let it = Sent { node, ..it };
        if self.write(id, reader.get_mut()).is_err() {
            return it;
        }
        let sent = Instant::now();
        self.record.line(format!("{kind} {id} is sent to node {}", node + 1));
        let outcome = match read_message(&mut reader) {
            Ok(Some(answer)) => {
                if !answer.closes() {
                    self.connection = Some((node, reader));
                }
                Outcome::Answer(answer)
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Outcome::TimedOut
            }
            Ok(None) | Err(_) => Outcome::Closed,
        };
        Sent { sent, outcome, ..it }
    }

    fn connect(&self) -> io::Result<(usize, BufReader<TcpStream>)> {
        let node = self.balancer.choose();
        let stream = TcpStream::connect_timeout(&self.balancer.fronts[node], CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(TIME_LIMIT))?;
        Ok((node, BufReader::new(stream)))
    }

    fn write(&self, id: &str, to: &mut TcpStream) -> io::Result<()> {
        let Kind { method, host, path, .. } = self.kind;
        let body = if method == "POST" { format!("booking {id}") } else { String::new() };
        let length = match body.len() {
            0 => String::new(),
            len => format!("Content-Length: {len}\r\n"),
        };
        let limit = TIME_LIMIT.as_millis();
        let head = format!(
            "{method} {path}{id} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\nX-Timeout-Ms: {limit}\r\nAccept-Encoding: identity\r\n{length}\r\n"
        );
        to.write_all((head + &body).as_bytes())
    }
}

fn text_of(it: &Outcome) -> String {
    match it {
        Outcome::Answer(it) => {
            let encoding = it
                .header("content-encoding")
                .map_or(String::new(), |it| format!(", encoded as {it}"));
            let signature = it.header("x-response-signature").unwrap_or("none");
            format!("{}, signature {signature}, {} bytes{encoding}", it.status(), it.body.len())
        }
        Outcome::Closed => "the connection closed, no answer".to_owned(),
        Outcome::TimedOut => "no answer within the time limit".to_owned(),
        Outcome::NotSent => "not sent".to_owned(),
    }
}
