//! Stand-in for the platform's store, which can only be read. Each node has a listener of its own, so that one node can
//! be partitioned from the store.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Longer than any case runs.
const SILENCE: Duration = Duration::from_secs(300);

/// A change of an item; without a value it was removed.
#[derive(Clone)]
struct Change {
    key: String,
    value: Option<Vec<u8>>,
    revision: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Change>,
    changes: Vec<Change>,
    /// Nodes that are partitioned from the store.
    cut: BTreeSet<usize>,
    /// Since when the watch of each node has waited; only watches that wait now.
    waiting: BTreeMap<usize, Instant>,
}

/// The store. Clones share its content.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves the node with this number on a free port.
    pub fn listen(&self, node: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let bound = listener.local_addr()?;
        let it = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let it = it.clone();
                thread::spawn(move || drop(it.serve(node, stream)));
            }
        });
        Ok(bound)
    }

    /// Writes an item. Returning is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.as_bytes().to_vec()));
    }

    /// Removes an item. Returning is the acknowledgement.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// Partitions a node from the store: nothing is answered any more, also on connections that are open.
    pub fn cut(&self, node: usize) {
        self.shared.0.lock().expect("no holder panics").cut.insert(node);
    }

    /// The node whose watch has waited for the shortest time, and since when.
    pub fn latest_watch(&self) -> Option<(usize, Instant)> {
        let state = self.shared.0.lock().expect("no holder panics");
        state.waiting.iter().map(|(node, at)| (*node, *at)).max_by_key(|(_, at)| *at)
    }

    fn is_cut(&self, node: usize) -> bool {
        self.shared.0.lock().expect("no holder panics").cut.contains(&node)
    }

    fn change(&self, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.shared.0.lock().expect("no holder panics");
        state.revision += 1;
        let it = Change { key: key.to_owned(), value, revision: state.revision };
        match it.value {
            Some(_) => drop(state.items.insert(key.to_owned(), it.clone())),
            None => drop(state.items.remove(key)),
        }
        state.changes.push(it);
        self.shared.1.notify_all();
    }

    fn serve(&self, node: usize, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(req) = read_message(&mut reader)? {
            let (status, body) = self.answer(node, &req);
            thread::sleep(ANSWER_TIME);
            if self.is_cut(node) {
                // The connection stays open without a word.
                thread::sleep(SILENCE);
                return Ok(());
            }
            write!(
                writer,
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
        }
        Ok(())
    }

    fn answer(&self, node: usize, req: &Message) -> (&'static str, String) {
        let target = req.start.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.filter(|(it, _)| *it == name).map(|(_, value)| value.to_owned()).next()
        };
        match path {
            "/kv-key" => self.item(&parameter("key").unwrap_or_default()),
            "/kv-range" => self.range(parameter("after")),
            "/kv-watch" => {
                let number =
                    |name: &str| parameter(name).and_then(|it| it.parse().ok()).unwrap_or(0);
                self.watch(node, number("after"), Duration::from_millis(number("waitMs")))
            }
            _ => ("404 Not Found", String::new()),
        }
    }

    fn item(&self, key: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().expect("no holder panics");
        match state.items.get(key) {
            Some(it) => ("200 OK", json(it)),
            None => ("404 Not Found", String::from("{}")),
        }
    }

    fn range(&self, after: Option<String>) -> (&'static str, String) {
        let state = self.shared.0.lock().expect("no holder panics");
        let items =
            state.items.values().filter(|it| after.as_ref().is_none_or(|key| it.key > *key));
        let items: Vec<String> = items.map(json).collect();
        let (items, revision) = (items.join(","), state.revision);
        ("200 OK", format!(r#"{{"items":[{items}],"hasMore":false,"currentRev":{revision}}}"#))
    }

    fn watch(&self, node: usize, after: u64, wait: Duration) -> (&'static str, String) {
        let (mutex, changed) = &*self.shared;
        let mut state = mutex.lock().expect("no holder panics");
        state.waiting.insert(node, Instant::now());
        let is_unchanged = |it: &mut State| it.revision <= after;
        let (mut state, _) =
            changed.wait_timeout_while(state, wait, is_unchanged).expect("no holder panics");
        state.waiting.remove(&node);
        let events = state.changes.iter().filter(|it| it.revision > after);
        let events: Vec<String> = events.map(json).collect();
        let (events, revision) = (events.join(","), state.revision);
        ("200 OK", format!(r#"{{"events":[{events}],"currentRev":{revision}}}"#))
    }
}

fn json(it: &Change) -> String {
    let Change { key, value, revision } = it;
    match value {
        Some(value) => {
            let value = base64(value);
            format!(
                r#"{{"key":"{key}","value":"{value}","revision":{revision},"createdRev":1,"lease":0}}"#
            )
        }
        None => format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#),
    }
}

/// Standard base64 with padding.
fn base64(buf: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in buf.chunks(3) {
        let mut bytes = [0; 3];
        bytes[..chunk.len()].copy_from_slice(chunk);
        let group = u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]);
        for i in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= chunk.len() { digit.into() } else { '=' });
        }
    }
    out
}
