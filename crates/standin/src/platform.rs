//! Stand-in for the platform: manifests, parts and the list of VMs, all read only for the system,
//! with faults and a count of calls.

use std::sync::Arc;

use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use resources::{Manifest, Part, Resource};
use tokio::net::TcpListener;

use crate::server::{self, Answer, answer, json};

/// Resources in one part.
const PER_PART: usize = 200;

/// What the platform does instead of its work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Answers nothing.
    Down,
    /// Serves the first revision that it ever had.
    Stale,
}

#[derive(Debug, Default)]
struct State {
    revisions: Vec<Manifest>,
    parts: Vec<Part>,
    vms: Vec<::platform::Vm>,
    fault: Fault,
    calls: u64,
}

/// The platform.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Serves on a listener for ever.
    pub async fn serve(self, listener: TcpListener) {
        server::serve(listener, move |req| self.clone().handle(req)).await;
    }

    /// Publishes resources as the next revision, which is returned.
    pub fn publish(&self, resources: &[Resource]) -> u64 {
        let parts: Vec<Part> = resources.chunks(PER_PART).map(Part::encode).collect();
        let mut state = self.state.lock();
        let revision = state.revisions.len() as u64 + 1;
        state.revisions.push(Manifest::new(revision, &parts));
        state.parts.extend(parts);
        revision
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<::platform::Vm>) {
        self.state.lock().vms = vms;
    }

    /// Switches a fault.
    pub fn set_fault(&self, fault: Fault) {
        self.state.lock().fault = fault;
    }

    /// Calls from the system so far.
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }

    async fn handle(self, req: Request<Incoming>) -> Answer {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::PUT, "/_standin/publish") => self.put_resources(req).await,
            (&Method::PUT, "/_standin/vms") => self.put_vms(req).await,
            (&Method::PUT, "/_standin/fault") => self.put_fault(&req),
            (&Method::GET, "/_standin/calls") => Ok(json(&self.calls())),
            (&Method::GET, _) => self.read(&path),
            _ => Ok(answer(StatusCode::NOT_FOUND, "")),
        }
    }

    fn read(&self, path: &str) -> Answer {
        let mut state = self.state.lock();
        state.calls += 1;
        if state.fault == Fault::Down {
            return Err(std::io::Error::other("down"));
        }
        let manifest = match state.fault {
            Fault::Stale => state.revisions.first(),
            _ => state.revisions.last(),
        };
        let found = match (path, path.strip_prefix("/v1/parts/")) {
            ("/v1/manifest", _) => manifest.map(json),
            ("/v1/vms", _) => Some(json(&state.vms)),
            (_, Some(digest)) => state
                .parts
                .iter()
                .find(|it| it.digest.to_string() == digest)
                .map(|it| answer(StatusCode::OK, it.bytes.clone())),
            _ => None,
        };
        Ok(found.unwrap_or_else(|| answer(StatusCode::NOT_FOUND, "")))
    }

    async fn put_resources(self, req: Request<Incoming>) -> Answer {
        let buf = req.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
        let resources: Vec<Resource> = serde_json::from_slice(&buf)?;
        Ok(json(&self.publish(&resources)))
    }

    async fn put_vms(self, req: Request<Incoming>) -> Answer {
        let buf = req.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
        self.set_vms(serde_json::from_slice(&buf)?);
        Ok(answer(StatusCode::OK, ""))
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
