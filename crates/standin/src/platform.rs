//! Stand-in for the platform: its key-value store, read-only for the proxy, with injectable faults and a count of
//! calls. It implements the part of the protocol that the proxy uses; see docs/PLATFORM.md.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use resources::{Endpoint, Repeat, Resource, Route, Standing};
use serde::{Deserialize, Serialize};
use serde_json::value::{RawValue, to_raw_value};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::client;
use crate::server::{self, Answer, answer};

/// Key of the configuration.
pub const CONFIG_KEY: &str = "op/config";
/// Key prefix of evacuations: a failure domain is evacuated while its key exists.
const EVACUATIONS: &str = "op/evacuate/";
/// Key prefix of endpoint registrations.
const ENDPOINTS: &str = "servers/";
/// Hosts of routes without a host: those that the stand-in callers send.
const HOSTS: [&str; 2] = [client::HOST, "127.0.0.1"];
/// Maximum number of items in a page.
const PAGE: usize = 500;

/// Fault of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Closes connections without an answer.
    Down,
    /// Serves the first configuration that was published, and no changes.
    Stale,
}

#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    key: String,
    /// `None` if the item was removed.
    value: Option<Vec<u8>>,
}

/// A page of items.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Page {
    items: Vec<Box<RawValue>>,
    has_more: bool,
    current_rev: u64,
}

/// The changes after a revision.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Changes {
    events: Vec<Box<RawValue>>,
    current_rev: u64,
}

#[derive(Debug, Default)]
struct State {
    /// Version of the latest published configuration.
    version: u64,
    first_config: Vec<u8>,
    revision: u64,
    items: BTreeMap<String, Event>,
    /// All changes that the store has acknowledged, except those that a restore has undone.
    log: Vec<Event>,
    /// Changes that watches can still read.
    history: Vec<Event>,
    /// Changes up to this revision have been discarded from the history.
    discarded_to: u64,
    /// Values that are served instead of the written ones, by key.
    value_overrides: BTreeMap<String, Value>,
    /// JSON text that is served instead of an item, by key. It need not fit into a `Value`.
    item_overrides: BTreeMap<String, Box<RawValue>>,
    fault: Fault,
    /// Number of times that the store was restored from an older copy.
    restores: u64,
    /// Overrides the era in answers; `Some(None)` omits the header.
    era_override: Option<Option<String>>,
    calls: u64,
}

impl State {
    /// Returns the era for the header of answers, if the header is sent.
    fn era(&self) -> Option<String> {
        self.era_override.clone().unwrap_or(Some((self.restores + 1).to_string()))
    }

    /// Restores the state that the store had at `revision`.
    fn restore(&mut self, revision: u64) {
        self.restores += 1;
        self.revision = revision;
        self.log.retain(|it| it.revision <= revision);
        self.history.retain(|it| it.revision <= revision);
        self.discarded_to = self.discarded_to.min(revision);
        self.items.clear();
        for it in &self.log {
            match it.value {
                Some(_) => drop(self.items.insert(it.key.clone(), it.clone())),
                None => drop(self.items.remove(&it.key)),
            }
        }
    }

    /// Writes or, with `None`, removes an item as the next revision.
    fn put(&mut self, key: &str, value: Option<Vec<u8>>) {
        self.revision += 1;
        let event = Event { revision: self.revision, key: key.to_owned(), value };
        match event.value {
            Some(_) => drop(self.items.insert(key.to_owned(), event.clone())),
            None => drop(self.items.remove(key)),
        }
        self.log.push(event.clone());
        self.history.push(event);
    }

    /// Returns an item in an answer with several of them.
    fn listed_item(&self, it: &Event) -> Box<RawValue> {
        match self.item_overrides.get(&it.key) {
            Some(text) => text.clone(),
            None => to_raw_value(&self.served_item(it)).expect("all map keys are strings"),
        }
    }

    /// Returns an item as the store serves it under the current fault.
    fn served_item(&self, it: &Event) -> Value {
        let mut served = item(it);
        if self.fault == Fault::Stale && it.key == CONFIG_KEY {
            served["value"] = json!(STANDARD.encode(&self.first_config));
        }
        if let Some(value) = self.value_overrides.get(&it.key).filter(|_| it.value.is_some()) {
            served["value"] = value.clone();
        }
        served
    }
}

/// An organisation with the API keys of its callers, as operators publish it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyedOrganisation {
    /// Name of the organisation.
    pub name: String,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Requests per second that the organisation may make; 0 for no limit.
    pub rate_per_s: f64,
    /// Burst of requests beyond the rate.
    pub burst: f64,
}

/// A stand-in platform. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

impl Platform {
    /// Serves on a listener forever.
    pub async fn serve(self, listener: TcpListener) {
        server::serve(listener, move |req| self.clone().handle(req)).await;
    }

    /// Publishes resources as the next configuration version, registers the endpoints of its services, and returns
    /// the version.
    pub fn publish(&self, resources: &[Resource]) -> u64 {
        self.publish_config(resources, |_| {})
    }

    /// Publishes resources like `publish`, together with organisations whose callers authenticate by API key.
    pub fn publish_keyed(
        &self,
        resources: &[Resource],
        organisations: &[KeyedOrganisation],
    ) -> u64 {
        let row = |it: &KeyedOrganisation| json!([it.name, it.keys, it.rate_per_s, it.burst]);
        let rows: Vec<Value> = organisations.iter().map(row).collect();
        let columns = ["name", "apiKeys", "ratePerS", "burst"];
        self.publish_config(resources, |config| {
            config["tenants"] = json!({ "columns": columns, "rows": rows });
        })
    }

    /// Publishes the next version after `add` has completed its document.
    fn publish_config(&self, resources: &[Resource], add: impl FnOnce(&mut Value)) -> u64 {
        let mut state = self.state.lock();
        state.version += 1;
        let mut config = config_document(state.version, resources);
        add(&mut config);
        let config = config.to_string().into_bytes();
        if state.first_config.is_empty() {
            state.first_config.clone_from(&config);
        }
        let version = state.version;
        register_endpoints(&mut state, resources);
        state.put(CONFIG_KEY, Some(config));
        drop(state);
        self.changed.notify_waiters();
        version
    }

    /// Replaces the configuration by arbitrary bytes.
    pub fn put_raw_config(&self, buf: &[u8]) {
        self.state.lock().put(CONFIG_KEY, Some(buf.to_vec()));
        self.changed.notify_waiters();
    }

    /// Writes arbitrary bytes under a key, as another writer could.
    pub fn put_raw(&self, key: &str, buf: &[u8]) {
        self.state.lock().put(key, Some(buf.to_vec()));
        self.changed.notify_waiters();
    }

    /// Makes the store serve a JSON value that need not be base64 text as the value of an item.
    pub fn override_value(&self, key: &str, value: Value) {
        self.state.lock().value_overrides.insert(key.to_owned(), value);
        self.put_raw(key, b"");
    }

    /// Makes pages and watches serve a JSON text as the item under a key.
    pub fn override_item(&self, key: &str, text: String) {
        let text = RawValue::from_string(text).expect("the text is JSON");
        self.state.lock().item_overrides.insert(key.to_owned(), text);
        self.put_raw(key, b"");
    }

    /// Writes arbitrary bytes as the entry of an endpoint.
    pub fn put_raw_entry(&self, id: &str, buf: &[u8]) {
        self.put_raw(&format!("{ENDPOINTS}{id}"), buf);
    }

    /// Registers an endpoint of a service.
    pub fn register(&self, service: &str, endpoint: &Endpoint) {
        let entry = registration(service, endpoint, endpoint.slots).to_string();
        self.put_raw(&format!("{ENDPOINTS}{}", endpoint.id), entry.as_bytes());
    }

    /// Marks the registration of an endpoint as draining.
    pub fn mark_draining(&self, id: &str) {
        let key = format!("{ENDPOINTS}{id}");
        let mut state = self.state.lock();
        let Some(Ok(mut entry)) = state
            .items
            .get(&key)
            .and_then(|it| it.value.as_deref())
            .map(serde_json::from_slice::<Value>)
        else {
            return;
        };
        entry["state"] = json!("draining");
        state.put(&key, Some(entry.to_string().into_bytes()));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Requests the evacuation of a failure domain.
    pub fn evacuate(&self, failure_domain: &str) {
        self.put_raw(&format!("{EVACUATIONS}{failure_domain}"), b"{}");
    }

    /// Ends the evacuation of a failure domain.
    pub fn end_evacuation(&self, failure_domain: &str) {
        self.state.lock().put(&format!("{EVACUATIONS}{failure_domain}"), None);
        self.changed.notify_waiters();
    }

    /// Removes the registration of an endpoint.
    pub fn remove(&self, id: &str) {
        self.state.lock().put(&format!("{ENDPOINTS}{id}"), None);
        self.changed.notify_waiters();
    }

    /// Discards the history of changes, so that watches of older revisions fail.
    pub fn discard_history(&self) {
        let mut state = self.state.lock();
        state.discarded_to = state.revision;
        state.history.clear();
    }

    /// Returns the current revision of the store.
    pub fn revision(&self) -> u64 {
        self.state.lock().revision
    }

    /// Restores the store from the copy that it had at `revision`. Later writes are lost, and their revisions are
    /// assigned again.
    pub fn restore(&self, revision: u64) {
        self.state.lock().restore(revision);
        self.changed.notify_waiters();
    }

    /// Overrides the era in answers; `None` omits the header. Simulates answers that a correct store does not give.
    pub fn override_era(&self, era: Option<&str>) {
        self.state.lock().era_override = Some(era.map(str::to_owned));
    }

    /// Returns the raw HTTP answer to a call that is rejected with status 503.
    pub fn refusal(&self) -> String {
        let era = self.state.lock().era().unwrap_or_default();
        format!("HTTP/1.1 503 Service Unavailable\r\nstore-era: {era}\r\ncontent-length: 0\r\n\r\n")
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: Fault) {
        self.state.lock().fault = fault;
    }

    /// Returns the number of calls from nodes.
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }

    async fn handle(self, req: Request<Incoming>) -> Answer {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::PUT, "/_standin/publish") => self.put_resources(req).await,
            (&Method::PUT, "/_standin/publish-keyed") => self.put_keyed(req).await,
            (&Method::PUT, "/_standin/fault") => self.put_fault(&req),
            (&Method::GET, "/_standin/calls") => Ok(server::json(&self.calls())),
            (&Method::GET, _) => self.read(&req, &path).await,
            _ => Ok(answer(StatusCode::NOT_FOUND, "")),
        }
    }

    async fn read(&self, req: &Request<Incoming>, path: &str) -> Answer {
        let fault = {
            let mut state = self.state.lock();
            state.calls += 1;
            state.fault
        };
        if fault == Fault::Down {
            return Err(std::io::Error::other("the platform is down"));
        }
        let mut answer = self.answer(req, path).await?;
        if let Some(era) = self.state.lock().era() {
            answer.headers_mut().insert("store-era", era.parse().map_err(std::io::Error::other)?);
        }
        Ok(answer)
    }

    async fn answer(&self, req: &Request<Incoming>, path: &str) -> Answer {
        let text = |name: &str| server::query::<String>(req, name).unwrap_or_default();
        match path {
            "/kv-key" => Ok(self.item(&text("key"))),
            "/kv-range" => Ok(self.page(&text("pathPrefix"), &text("after"))),
            "/kv-watch" => {
                let after = server::query(req, "after").unwrap_or(0);
                let wait = server::query(req, "waitMs").unwrap_or(0);
                self.watch(&text("pathPrefix"), after, Duration::from_millis(wait)).await
            }
            _ => Ok(answer(StatusCode::NOT_FOUND, "")),
        }
    }

    fn item(&self, key: &str) -> http::Response<server::Body> {
        let state = self.state.lock();
        let Some(event) = state.items.get(key) else {
            return answer(StatusCode::NOT_FOUND, "");
        };
        let mut item = state.served_item(event);
        item["currentRev"] = json!(state.revision);
        server::json(&item)
    }

    fn page(&self, prefix: &str, after: &str) -> http::Response<server::Body> {
        let state = self.state.lock();
        let found = state.items.values();
        let mut found = found.filter(|it| it.key.starts_with(prefix) && it.key.as_str() > after);
        let items = found.by_ref().take(PAGE).map(|it| state.listed_item(it)).collect();
        let has_more = found.next().is_some();
        server::json(&Page { items, has_more, current_rev: state.revision })
    }

    /// Answers with the changes after a revision, after waiting for them at most for `wait`.
    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Answer {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if let Some(res) = self.changes(prefix, after, tokio::time::Instant::now() >= until) {
                return Ok(res);
            }
            // A timeout is answered in the next iteration.
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    /// Returns the answer to a watch after a revision, or `None` while there are no changes and the watch is not
    /// over.
    fn changes(
        &self,
        prefix: &str,
        after: u64,
        has_timed_out: bool,
    ) -> Option<http::Response<server::Body>> {
        let state = self.state.lock();
        if after < state.discarded_to || after > state.revision {
            return Some(answer(StatusCode::GONE, ""));
        }
        let served = state.history.iter().filter(|it| {
            it.revision > after && it.key.starts_with(prefix) && state.fault != Fault::Stale
        });
        let events: Vec<_> = served.map(|it| state.listed_item(it)).collect();
        let current_rev = if state.fault == Fault::Stale { after } else { state.revision };
        (has_timed_out || !events.is_empty())
            .then(|| server::json(&Changes { events, current_rev }))
    }

    async fn put_resources(self, req: Request<Incoming>) -> Answer {
        let buf = req.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
        let resources: Vec<Resource> = serde_json::from_slice(&buf)?;
        Ok(server::json(&self.publish(&resources)))
    }

    async fn put_keyed(self, req: Request<Incoming>) -> Answer {
        let buf = req.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
        let (resources, organisations): (Vec<Resource>, Vec<KeyedOrganisation>) =
            serde_json::from_slice(&buf)?;
        Ok(server::json(&self.publish_keyed(&resources, &organisations)))
    }

    fn put_fault(&self, req: &Request<Incoming>) -> Answer {
        let fault = match server::query::<String>(req, "kind").as_deref() {
            Some("none") => Fault::None,
            Some("down") => Fault::Down,
            Some("stale") => Fault::Stale,
            _ => return Ok(answer(StatusCode::BAD_REQUEST, "kind=none|down|stale\n")),
        };
        self.set_fault(fault);
        Ok(answer(StatusCode::OK, ""))
    }
}

fn item(it: &Event) -> Value {
    match &it.value {
        Some(value) => json!({
            "key": it.key, "value": STANDARD.encode(value), "revision": it.revision,
            "createdRev": it.revision, "lease": 0,
        }),
        None => json!({ "key": it.key, "revision": it.revision, "tombstone": true }),
    }
}

/// Registers all endpoints of the resources and removes all other registrations.
fn register_endpoints(state: &mut State, resources: &[Resource]) {
    let mut entries = BTreeMap::new();
    for it in resources {
        let Resource::Service(service) = it else { continue };
        for endpoint in &service.endpoints {
            let slots = if endpoint.slots == 0 { service.slots } else { endpoint.slots };
            let key = format!("{ENDPOINTS}{}", endpoint.id);
            entries
                .insert(key, registration(&service.name, endpoint, slots).to_string().into_bytes());
        }
    }
    let is_unlisted = |key: &String| key.starts_with(ENDPOINTS) && !entries.contains_key(key);
    let unlisted: Vec<String> = state.items.keys().filter(|it| is_unlisted(it)).cloned().collect();
    unlisted.iter().for_each(|it| state.put(it, None));
    for (key, value) in entries {
        if state.items.get(&key).and_then(|it| it.value.as_ref()) != Some(&value) {
            state.put(&key, Some(value));
        }
    }
}

fn registration(service: &str, it: &Endpoint, slots: u32) -> Value {
    let state = if it.standing == Standing::Leaving { "draining" } else { "ready" };
    json!({
        "service": service, "address": it.addr, "zone": it.failure_domain, "version": "v1",
        "slots": slots, "state": state, "warmupLeftS": f64::from(it.warm_up_ms) / 1000.0, "seq": 1,
        "born": it.started_ms,
    })
}

/// Converts resources to the platform's configuration format. Fields that the format lacks, such as methods and
/// floors, are omitted.
fn config_document(version: u64, resources: &[Resource]) -> Value {
    let mut routes = Vec::new();
    let mut services = Vec::new();
    for it in resources {
        match it {
            Resource::Service(it) => {
                services.push(json!([it.name, "/_standin/health", it.connections]));
            }
            Resource::Route(it) => routes.extend(route_rows(it)),
            Resource::Organisation(_) => {}
        }
    }
    json!({
        "version": version,
        "routes": {
            "columns": ["name", "host", "pathPrefix", "kind", "timeoutS", "sloS", "priority",
                        "split", "maxAttempts", "service", "public"],
            "rows": routes,
        },
        "services": { "columns": ["name", "healthPath", "maxConns"], "rows": services },
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 67_108_864, "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
    })
}

fn route_rows(it: &Route) -> Vec<Value> {
    let hosts = match &it.host {
        Some(host) => vec![host.as_str()],
        None => HOSTS.to_vec(),
    };
    let kind = match (it.repeat, it.stream) {
        (Repeat::Anytime, true) => "download",
        (Repeat::Anytime, false) => "safe",
        _ => "unsafe",
    };
    let seconds = |ms: u32| f64::from(ms) / 1000.0;
    let slo = if it.objective_ms == 0 { it.deadline_ms } else { it.objective_ms };
    let split = (!it.split.is_empty()).then_some(&it.split);
    let service = (!it.service.is_empty()).then_some(&it.service);
    let prefix = format!("{}/", it.path.trim_end_matches('/'));
    hosts
        .into_iter()
        .map(|host| {
            json!([
                format!("{}@{host}", it.name),
                host,
                prefix,
                kind,
                seconds(it.deadline_ms),
                seconds(slo),
                it.priority,
                split,
                it.max_sends,
                service,
                it.public,
            ])
        })
        .collect()
}
