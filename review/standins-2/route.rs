//! The operator's configuration of one route and its service.

use std::time::Duration;

/// Services without routes.
pub const OTHER_SERVICES: [&str; 2] = ["reservas", "archivo"];

/// A route, as the operator writes it.
pub struct Route {
    pub host: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout: Duration,
    pub objective: Duration,
    pub max_attempts: u32,
    pub service: &'static str,
}

impl Route {
    /// The value of `op/config`, with the limits of the small deployment.
    pub fn config(&self) -> String {
        let Self { host, prefix, kind, timeout, objective, max_attempts, service } = self;
        let (timeout, objective) = (timeout.as_secs_f64(), objective.as_secs_f64());
        let [first, second] = OTHER_SERVICES;
        format!(
            "{{\"version\":7,\"routes\":{{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\",\"timeoutS\",\
             \"sloS\",\"priority\",\"split\",\"maxAttempts\",\"service\"],\"rows\":[[\"r-1\",\"{host}\",\"{prefix}\",\
             \"{kind}\",{timeout},{objective},2,null,{max_attempts},\"{service}\"]]}},\"services\":{{\"columns\":\
             [\"name\",\"healthPath\",\"maxConns\",\"protocol\",\"tls\"],\"rows\":[[\"{service}\",\"/healthz\",330,\"h1\",false],\
             [\"{first}\",\"/healthz\",330,\"h1\",false],[\"{second}\",\"/healthz\",330,\"h1\",false]]}},\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\
             \"idleTimeoutS\":15}}}}"
        )
    }
}
