//! Validation of a complete configuration. Reports all problems at once, each with a remedy.

use std::collections::BTreeSet;
use std::fmt;

use rustc_hash::{FxHashMap, FxHashSet};

use crate::{Floor, KeyDigest, Organisation, Repeat, Resource, Route, Service};

/// Largest number of endpoints in one service.
const MAX_ENDPOINTS: usize = 4_096;

/// Name of the field in which organisations list their keys.
const KEYS_FIELD: &str = "keys";

/// One problem of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Index of the resource in the configuration.
    pub position: usize,
    /// Kind and name of the resource, such as `Route/lookup`.
    pub resource: String,
    /// Name of the invalid field.
    pub field: &'static str,
    /// How to correct the field.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.resource, self.field, self.remedy)
    }
}

/// Returns all problems of a configuration; an empty list means that the configuration is valid.
pub fn validate(resources: &[Resource]) -> Vec<Problem> {
    let mut cx = Validation::default();
    cx.check_unique_names(resources);
    let services: FxHashMap<&str, &Service> = resources
        .iter()
        .filter_map(|it| match it {
            Resource::Service(service) => Some((service.name.as_str(), service)),
            _ => None,
        })
        .collect();
    let mut matches = FxHashSet::default();
    for (position, it) in resources.iter().enumerate() {
        cx.position = position;
        match it {
            Resource::Service(service) => cx.check_service(service),
            Resource::Route(route) => {
                cx.check_route(route, &services);
                cx.check_unique_match(route, &mut matches);
            }
            Resource::Organisation(org) => cx.check_organisation(it, org),
        }
    }
    cx.problems
}

/// Removes invalid resources and returns their problems. An invalid route is suspended instead of removed: without it, a
/// route with a shorter prefix would match its requests. A suspended route that is still invalid is removed.
pub fn leave_out_invalid(resources: &mut Vec<Resource>) -> Vec<Problem> {
    let mut left_out = Vec::new();
    loop {
        let problems = validate(resources);
        if problems.is_empty() {
            return left_out;
        }
        if problems.iter().any(|it| it.field == KEYS_FIELD) {
            drop_shared_keys(resources);
            left_out.extend(problems.into_iter().filter(|it| it.field == KEYS_FIELD));
            continue;
        }
        let invalid: BTreeSet<usize> = problems.iter().map(|it| it.position).collect();
        for position in invalid.into_iter().rev() {
            match &mut resources[position] {
                Resource::Route(it) if !it.suspended => {
                    it.suspended = true;
                    // The original name may duplicate the name of another route.
                    it.name = format!("{}#{position}", it.name).into();
                }
                _ => drop(resources.remove(position)),
            }
        }
        left_out.extend(problems);
    }
}

/// Removes keys that several organisations hold from all of them. Otherwise the order of the organisations would decide
/// which one a request belongs to.
fn drop_shared_keys(resources: &mut [Resource]) {
    let mut seen = FxHashSet::default();
    let mut shared = FxHashSet::default();
    let organisations = |it: &Resource| match it {
        Resource::Organisation(it) => it.keys.clone(),
        _ => Vec::new(),
    };
    for key in resources.iter().flat_map(organisations) {
        if !seen.insert(key) {
            shared.insert(key);
        }
    }
    for it in resources {
        if let Resource::Organisation(it) = it {
            it.keys.retain(|key| !shared.contains(key));
        }
    }
}

#[derive(Default)]
struct Validation {
    problems: Vec<Problem>,
    /// Index of the resource that is being validated.
    position: usize,
    /// Keys of the organisations validated so far.
    keys: FxHashSet<KeyDigest>,
}

impl Validation {
    fn add(&mut self, resource: &Resource, field: &'static str, remedy: impl Into<String>) {
        let resource = format!("{}/{}", resource.kind(), resource.name());
        let position = self.position;
        self.problems.push(Problem { position, resource, field, remedy: remedy.into() });
    }

    fn check_unique_names(&mut self, resources: &[Resource]) {
        let mut seen = FxHashSet::default();
        for (position, it) in resources.iter().enumerate() {
            self.position = position;
            if it.name().is_empty() {
                self.add(it, "name", "write a name of one character or more");
            }
            if !seen.insert((it.kind(), it.name())) {
                self.add(it, "name", "the name is taken: rename one of the two");
            }
        }
    }

    /// Checks an organisation. Problems refer to a key by its position in the list: its text is secret, and its digest
    /// would not help operators to recognise the key.
    fn check_organisation(&mut self, resource: &Resource, organisation: &Organisation) {
        if organisation.weight == 0 {
            self.add(resource, "weight", "write 1 or more");
        }
        for (i, key) in organisation.keys.iter().enumerate() {
            if !self.keys.insert(*key) {
                self.add(
                    resource,
                    KEYS_FIELD,
                    format!("key {} is held twice: give it to one organisation", i + 1),
                );
            }
        }
        for (field, value) in
            [("rate_per_s", organisation.rate_per_s), ("burst", organisation.burst)]
        {
            if !value.is_finite() || value < 0.0 {
                self.add(resource, field, "write a number of 0 or more");
            }
        }
    }

    fn check_service(&mut self, service: &Service) {
        let resource = Resource::Service(service.clone());
        let total = service.endpoints.len();
        if total > MAX_ENDPOINTS {
            self.add(&resource, "endpoints", format!("list {MAX_ENDPOINTS} endpoints at most"));
        }
        let mut seen = FxHashSet::default();
        for it in &service.endpoints {
            if !seen.insert(&it.id) {
                self.add(
                    &resource,
                    "endpoints",
                    format!("`{}` is listed twice: remove one", it.id),
                );
            }
            if it.failure_domain.is_empty() {
                self.add(&resource, "endpoints", format!("{}: name its failure domain", it.addr));
            }
        }
        if let Floor::Count(n) = service.floor
            && n as usize > total
            && total > 0
        {
            self.add(&resource, "floor", format!("{n} is above the {total} endpoints: lower it"));
        }
        if !service.cold_rate_per_s.is_finite() || service.cold_rate_per_s < 0.0 {
            self.add(&resource, "cold_rate_per_s", "write a number of 0 or more");
        }
        if service.slots == 0 {
            self.add(&resource, "slots", "write 1 or more");
        }
        if service.connections < service.slots {
            self.add(&resource, "connections", "write at least as many connections as slots");
        }
    }

    fn check_route(&mut self, route: &Route, services: &FxHashMap<&str, &Service>) {
        let resource = Resource::Route(route.clone());
        if route.suspended {
            return self.check_prefix(&resource, route);
        }
        for (service, weight) in route.shares() {
            if !services.contains_key(service.as_str()) {
                self.add(&resource, "service", format!("publish a Service `{service}`"));
            }
            if weight == 0 {
                self.add(&resource, "split", format!("give `{service}` a weight of 1 or more"));
            }
        }
        if !route.split.is_empty() && !route.service.is_empty() {
            self.add(&resource, "split", "write either `service` or `split`");
        }
        self.check_prefix(&resource, route);
        if route.max_sends == 0 {
            self.add(&resource, "max_sends", "write 1 or more");
        }
        if route.deadline_ms == 0 {
            self.add(&resource, "deadline_ms", "write 1 or more");
        }
        if route.hedge && route.repeat != Repeat::Anytime {
            self.add(&resource, "hedge", "write `repeat = \"anytime\"` or `hedge = false`");
        }
        if route.methods.iter().any(|it| it.is_empty() || *it != it.to_uppercase()) {
            self.add(&resource, "methods", "write methods in upper case");
        }
    }

    fn check_prefix(&mut self, resource: &Resource, route: &Route) {
        if !route.path.starts_with('/') {
            self.add(resource, "path", "start it with `/`");
        }
        if route.path.contains("//") {
            self.add(resource, "path", "drop the empty segment: prefixes match whole segments");
        }
    }

    fn check_unique_match(&mut self, route: &Route, seen: &mut FxHashSet<String>) {
        let methods = match route.methods.is_empty() {
            true => vec!["*".to_owned()],
            false => route.methods.clone(),
        };
        let host = route.host.as_deref().unwrap_or("*");
        for method in methods {
            if !seen.insert(format!("{method} {host} {}", route.path)) {
                let resource = Resource::Route(route.clone());
                self.add(
                    &resource,
                    "path",
                    format!("{method} {host}{} is taken by another route", route.path),
                );
            }
        }
    }
}
