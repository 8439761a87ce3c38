//! A validated configuration compiled for look-up. Matching a request costs a few hash probes per path segment,
//! regardless of the number of routes.

use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::{
    CallerLimits, Document, Name, OrganisationIndex, Problem, Resource, Route, Service, validate,
};

/// A valid configuration, indexed for serving requests.
#[derive(Debug, Default)]
pub struct Config {
    /// Version of the configuration; 0 before any configuration was accepted.
    pub version: u64,
    /// Whether resources were left out, so that routes and keys may exist which the configuration does not list.
    pub is_partial: bool,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: FxHashMap<Name, Arc<Service>>,
    /// Routes by host, path and method.
    pub routes: RouteTable,
    /// Organisations by name and by API key.
    pub organisations: OrganisationIndex,
    /// The resources as published.
    pub resources: Vec<Resource>,
}

impl Config {
    /// Validates and indexes a document. If the document is invalid, returns all of its problems.
    pub fn compile(document: Document) -> Result<Self, Vec<Problem>> {
        let Document { version, limits, access, resources, left_out } = document;
        let problems = validate(&resources);
        if !problems.is_empty() {
            return Err(problems);
        }
        let organisations = OrganisationIndex::new(access);
        let is_partial = !left_out.is_empty();
        let mut config = Self { version, is_partial, limits, organisations, ..Self::default() };
        for it in &resources {
            match it {
                Resource::Service(it) => {
                    config.services.insert(it.name.clone(), Arc::new(it.clone()));
                }
                Resource::Route(it) => config.routes.insert(Arc::new(it.clone())),
                Resource::Organisation(it) => config.organisations.insert(Arc::new(it.clone())),
            }
        }
        config.resources = resources;
        Ok(config)
    }
}

/// Routes by path prefix, either of one host or of routes without a host.
type Prefixes = FxHashMap<Box<str>, Vec<Arc<Route>>>;

/// Index of routes by host, path and method.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: FxHashMap<Name, Prefixes>,
    any_host: Prefixes,
}

impl RouteTable {
    /// Returns the route with the longest matching prefix. Routes of the host take precedence over routes without a
    /// host.
    pub fn find(&self, host: &str, path: &str, method: &str) -> Option<&Arc<Route>> {
        let for_host = self.by_host.get(host).and_then(|it| longest_match(it, path, method));
        for_host.or_else(|| longest_match(&self.any_host, path, method))
    }

    /// Iterates over all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        let hosts = self.by_host.values().chain(std::iter::once(&self.any_host));
        hosts.flat_map(FxHashMap::values).flatten()
    }

    fn insert(&mut self, route: Arc<Route>) {
        let prefixes = match &route.host {
            Some(host) => self.by_host.entry(host.clone()).or_default(),
            None => &mut self.any_host,
        };
        prefixes.entry(route.path.as_str().into()).or_default().push(route);
    }
}

/// Returns the route with the longest matching prefix. For `/a/b` the prefixes `/a/b`, `/a/`, `/a` and `/` are tried: a
/// prefix that ends with `/` matches only paths below it.
fn longest_match<'a>(prefixes: &'a Prefixes, path: &str, method: &str) -> Option<&'a Arc<Route>> {
    let mut prefix = path;
    loop {
        if let Some(route) = prefixes.get(prefix).and_then(|it| by_method(it, method)) {
            return Some(route);
        }
        prefix = match prefix.strip_suffix('/') {
            Some(shorter) => shorter,
            None => &prefix[..=prefix.rfind('/')?],
        };
    }
}

/// Returns the first route that lists the method, or else the first one for any method.
fn by_method<'a>(routes: &'a [Arc<Route>], method: &str) -> Option<&'a Arc<Route>> {
    let listed = routes.iter().find(|it| it.methods.iter().any(|m| m == method));
    listed.or_else(|| routes.iter().find(|it| it.methods.is_empty()))
}
