//! The platform's store: `kv-key`, `kv-range` and `kv-watch`. It answers at once and
//! correctly, unless it is down: then it answers 503 and does nothing.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Head};

/// Items in a page.
const PAGE: usize = 500;
/// Status of a refused call: nothing was done.
const BUSY: &str = "503 Service Unavailable";

#[derive(Clone)]
struct Event {
    revision: u64,
    created: u64,
    key: String,
    /// `None` for a removal.
    value: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Event>,
    history: Vec<Event>,
    is_down: bool,
    /// The machine that last got an answer.
    last_caller: Option<usize>,
    /// Number of answers.
    answers: u64,
}

/// A store; clones share their state.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Writes an item or, with `None`, removes it.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |it| it.created);
        let value = value.map(|it| base64(it.as_bytes()));
        let event = Event { revision, created, key: key.to_owned(), value };
        match event.value {
            Some(_) => drop(state.items.insert(key.to_owned(), event.clone())),
            None => drop(state.items.remove(key)),
        }
        state.history.push(event);
        changed.notify_all();
    }

    /// Makes the store refuse every call, also those that wait, or serve again.
    pub fn set_down(&self, is_down: bool) {
        let (state, changed) = &*self.shared;
        state.lock().unwrap().is_down = is_down;
        changed.notify_all();
    }

    /// Waits for the next answer and returns the machine that got it.
    pub fn next_reader(&self) -> usize {
        let answers = || self.shared.0.lock().unwrap().answers;
        let before = answers();
        while answers() == before {
            thread::sleep(Duration::from_millis(5));
        }
        self.shared.0.lock().unwrap().last_caller.unwrap_or(0)
    }

    /// Serves one machine, on an address of its own, until the process ends.
    pub fn serve(&self, machine: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(Conn::new(stream), machine));
            }
        });
        Ok(addr)
    }

    fn serve_connection(&self, mut conn: Conn, machine: usize) {
        while let Ok(Some(head)) = conn.head(None) {
            let (status, body) = self.answer(&head);
            if status != BUSY {
                let mut state = self.shared.0.lock().unwrap();
                state.last_caller = Some(machine);
                state.answers += 1;
            }
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if conn.write(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head) -> (&'static str, String) {
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|it| it.split_once('='));
        let query: BTreeMap<&str, String> = pairs.map(|(k, v)| (k, decode(v))).collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        if self.shared.0.lock().unwrap().is_down {
            return (BUSY, "{}".into());
        }
        match path {
            "/kv-key" => self.item(&text("key")),
            "/kv-range" => self.page(&text("pathPrefix"), &text("after")),
            "/kv-watch" => {
                let wait = text("waitMs").parse().unwrap_or(0);
                let after = text("after").parse().unwrap_or(0);
                self.changes(&text("pathPrefix"), after, Duration::from_millis(wait))
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn item(&self, key: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            Some(it) => {
                let item = json(it);
                let rev = state.revision;
                ("200 OK", format!("{},\"currentRev\":{rev}}}", item.trim_end_matches('}')))
            }
            None => ("404 Not Found", format!("{{\"currentRev\":{}}}", state.revision)),
        }
    }

    fn page(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().unwrap();
        let fits = |it: &&Event| it.key.starts_with(prefix) && it.key.as_str() > after;
        let found: Vec<&Event> = state.items.values().filter(fits).collect();
        let items: Vec<String> = found.iter().take(PAGE).map(|it| json(it)).collect();
        let (items, more, rev) = (items.join(","), found.len() > PAGE, state.revision);
        ("200 OK", format!("{{\"items\":[{items}],\"hasMore\":{more},\"currentRev\":{rev}}}"))
    }

    fn changes(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            if state.is_down {
                return (BUSY, "{}".into());
            }
            let fits = |it: &&Event| it.revision > after && it.key.starts_with(prefix);
            let events: Vec<String> = state.history.iter().filter(fits).map(json).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, rev) = (events.join(","), state.revision);
                return ("200 OK", format!("{{\"events\":[{events}],\"currentRev\":{rev}}}"));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn json(it: &Event) -> String {
    let Event { revision, created, key, value } = it;
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"createdRev\":{created},\"lease\":0}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
    }
}

/// Decodes percent escapes.
fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(it) = bytes.next() {
        if it != b'%' {
            out.push(it);
            continue;
        }
        let digits: Vec<u8> = bytes.by_ref().take(2).collect();
        let digits = String::from_utf8_lossy(&digits).into_owned();
        out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let at = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i)) as usize & 63] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
