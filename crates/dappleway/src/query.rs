//! Command-line queries to the operator API of a running node, and the output of their results.

use std::fmt::Display;
use std::io::{self, Write};
use std::time::Duration;

use clap::ValueEnum;
use operator::{Client, ClientError, EndpointReport, Report, ResourceView, ServiceReport};
use resources::Position;
use serde::Serialize;
use tabwriter::TabWriter;

/// Time after which a watch request without a new version is sent again; nodes hold one for at most a minute.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// A table for people.
    Table,
    /// JSON for programs, one document per line.
    Json,
}

/// Why a query failed.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The requested object does not exist at the node.
    #[error("{0}")]
    NotFound(String),
    /// The node refused the request.
    #[error("{0}")]
    Refused(ClientError),
    /// The node could not be reached or did not answer properly.
    #[error("{0}")]
    Unreachable(ClientError),
    /// The output could not be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
}

impl From<ClientError> for QueryError {
    fn from(it: ClientError) -> Self {
        match it {
            ClientError::Refused { status, message } if status.as_u16() == 404 => {
                Self::NotFound(message)
            }
            ClientError::Refused { .. } => Self::Refused(it),
            _ => Self::Unreachable(it),
        }
    }
}

/// Prints resources in force.
pub async fn get(
    client: Client,
    kind: Option<&str>,
    name: Option<&str>,
    output: Output,
) -> Result<(), QueryError> {
    let items = match (kind, name) {
        (Some(kind), Some(name)) => vec![client.resource(kind, name).await?],
        _ => client.resources(kind).await?.items,
    };
    if output == Output::Json {
        return items.iter().try_for_each(print_json);
    }
    let mut table = Table::new(&["KIND", "NAME", "IN FORCE", "HEALTHY", "FLOOR"]);
    for ResourceView { spec, status } in &items {
        table.row(&[
            &spec.kind(),
            &spec.name(),
            &status.in_force,
            &number_or_dash(status.healthy),
            &number_or_dash(status.floor),
        ])?;
    }
    table.print()
}

/// Prints a line for each configuration that comes into force.
pub async fn watch(
    client: Client,
    mut after: u64,
    until: Option<u64>,
    output: Output,
) -> Result<(), QueryError> {
    loop {
        let resources = client.watch(after, WATCH_TIMEOUT).await?;
        if resources.version > after {
            match output {
                Output::Json => print_json(&resources)?,
                Output::Table => writeln!(
                    io::stdout(),
                    "version {} is in force: {} resources",
                    resources.version,
                    resources.items.len()
                )?,
            }
            after = resources.version;
        }
        if until.is_some_and(|it| resources.version >= it) {
            return Ok(());
        }
    }
}

/// Prints the fleet as the node sees it.
pub async fn fleet(client: Client, output: Output) -> Result<(), QueryError> {
    let report = client.fleet().await?;
    if output == Output::Json {
        return print_json(&report);
    }
    print_nodes(&report)?;
    print_services(&report)?;
    print_failure_domains(&report)?;
    print_organisations(&report)?;
    print_endpoints(report.services.iter().flat_map(|it| it.endpoints.iter().map(move |e| (it, e))))
}

/// Prints the state of an endpoint and the reasons for it.
pub async fn explain(client: Client, subject: &str, output: Output) -> Result<(), QueryError> {
    let report = client.fleet().await?;
    let matches_subject = |it: &EndpointReport| it.id == subject || it.addr == subject;
    let found: Vec<_> = report
        .services
        .iter()
        .flat_map(|it| it.endpoints.iter().map(move |e| (it, e)))
        .filter(|(_, it)| matches_subject(it))
        .collect();
    if found.is_empty() {
        let node = client.addr;
        return Err(QueryError::NotFound(format!(
            "{subject}: no such endpoint at {node}: it has left, or its address now belongs to another id"
        )));
    }
    if output == Output::Json {
        return found.iter().try_for_each(|(_, it)| print_json(it));
    }
    print_endpoints(found.iter().copied())?;
    for (service, it) in found {
        writeln!(io::stdout(), "\n{}", explanation(&report, service, it))?;
    }
    Ok(())
}

/// Explains the state of an endpoint in plain text.
fn explanation(report: &Report, service: &ServiceReport, it: &EndpointReport) -> String {
    let failed = match it.failed_ms {
        Some(ms) => format!("its last known failure was {ms} ms ago"),
        None => "no failure is known".to_owned(),
    };
    let of_domain = service.failure_domains.iter().find(|domain| domain.name == it.failure_domain);
    let dispatcher = match of_domain {
        Some(domain) => domain.dispatched_by.as_deref(),
        None => service.dispatched_by.as_deref(),
    };
    let dispatcher = dispatcher.unwrap_or("nobody");
    let authority = match it.dispatched_here {
        true => "this node hands out its slots, so this state is authoritative".to_owned(),
        false => {
            format!("{dispatcher} hands out its slots: ask that node for the authoritative state")
        }
    };
    let limit = match it.limit_per_s {
        Some(per_s) => {
            format!(" Its rate limit is {per_s} requests a second for all nodes together.")
        }
        None => String::new(),
    };
    format!(
        "{}: `{}` for {} ms, used {}: sick with a probability of {:.2}, and {failed}.{limit}\n\
         {} of {} endpoints of {} are proven healthy, its floor is {}. {} knows the registry up to \
         era {}, revision {}; {authority}.",
        it.id,
        it.state,
        it.since_ms,
        it.used,
        it.sick,
        service.healthy,
        service.endpoints.len(),
        service.name,
        service.floor,
        report.node,
        report.registry_era,
        report.registry_revision,
    )
}

fn print_nodes(report: &Report) -> Result<(), QueryError> {
    let mut table = Table::new(&["NODE", "PHASE", "IN FORCE", "REGISTRY", "HEARD MS AGO"]);
    let position = Position { era: report.registry_era, revision: report.registry_revision };
    table.row(&[&report.node, &report.phase, &report.in_force, &position, &"(asked)"])?;
    for it in &report.members {
        let position = Position { era: it.registry_era, revision: it.registry_revision };
        table.row(&[&it.node, &it.phase, &it.in_force, &position, &it.heard_ms])?;
    }
    table.print()
}

fn print_services(report: &Report) -> Result<(), QueryError> {
    let mut table =
        Table::new(&["\nSERVICE", "ENDPOINTS", "HEALTHY", "FLOOR", "QUEUED", "DISPATCHED BY"]);
    for it in &report.services {
        let dispatcher = match it.by_failure_domain {
            true => "failure domains",
            false => it.dispatched_by.as_deref().unwrap_or("-"),
        };
        let endpoints = it.endpoints.len();
        table.row(&[&it.name, &endpoints, &it.healthy, &it.floor, &it.queued, &dispatcher])?;
    }
    table.print()
}

/// Prints demand and capacity of the services with endpoints in several failure domains.
fn print_failure_domains(report: &Report) -> Result<(), QueryError> {
    if report.services.iter().all(|it| it.failure_domains.is_empty()) {
        return Ok(());
    }
    let mut table = Table::new(&[
        "\nFAILURE DOMAIN",
        "SERVICE",
        "ENDPOINTS",
        "USABLE",
        "IN USE",
        "QUEUED",
        "SERVED",
        "UNSERVED",
        "DISPATCHED BY",
    ]);
    for service in &report.services {
        for it in &service.failure_domains {
            let dispatcher = it.dispatched_by.as_deref().unwrap_or("-");
            let load = it.load.as_ref();
            let cell = |value: Option<f32>| value.map_or("-".to_owned(), |it| format!("{it:.0}"));
            table.row(&[
                &it.name,
                &service.name,
                &it.endpoints,
                &cell(load.map(|it| it.usable)),
                &cell(load.map(|it| it.in_use as f32)),
                &cell(load.map(|it| it.queued as f32)),
                &cell(load.map(|it| it.served)),
                &cell(load.map(|it| it.unserved)),
                &dispatcher,
            ])?;
        }
    }
    table.print()?;
    for it in report.services.iter().filter(|it| it.near_sends + it.far_sends > 0) {
        let (near, far) = (it.near_sends, it.far_sends);
        let share = 100.0 * far as f64 / (near + far) as f64;
        writeln!(
            io::stdout(),
            "\n{}: {near} near and {far} far sends of this node ({share:.0} % far).",
            it.name
        )?;
    }
    let redirects = report.redirects.iter().filter(|(_, count)| **count > 0);
    let redirects: Vec<String> = redirects.map(|(name, n)| format!("{name} {n}")).collect();
    let reasons = if redirects.is_empty() { "none".to_owned() } else { redirects.join(", ") };
    writeln!(io::stdout(), "\nRedirected requests of this node: {reasons}.")?;
    Ok(writeln!(
        io::stdout(),
        "Sent to other failure domains: {} frames and {} bytes about slots, {} and {} of control.",
        report.far_slot_frames,
        report.far_slot_bytes,
        report.far_control_frames,
        report.far_control_bytes,
    )?)
}

fn print_organisations(report: &Report) -> Result<(), QueryError> {
    if report.organisations.is_empty() {
        return Ok(());
    }
    let titles =
        ["\nORGANISATION", "RATE PER S", "BURST", "LEFT", "GRANTED", "REFUSED", "OWNED BY"];
    let mut table = Table::new(&titles);
    for it in &report.organisations {
        let left = it.left.map_or("-".to_owned(), |it| format!("{it:.0}"));
        let owner = it.owned_by.as_deref().unwrap_or("-");
        table.row(&[
            &it.name,
            &it.rate_per_s,
            &it.burst,
            &left,
            &it.granted,
            &it.refused,
            &owner,
        ])?;
    }
    table.print()
}

fn print_endpoints<'a>(
    all: impl Iterator<Item = (&'a ServiceReport, &'a EndpointReport)>,
) -> Result<(), QueryError> {
    let titles =
        ["\nENDPOINT", "SERVICE", "ADDRESS", "DOMAIN", "STATE", "USED", "SICK", "SLOTS IN USE"];
    let mut table = Table::new(&titles);
    for (service, it) in all {
        let sick = format!("{:.2}", it.sick);
        table.row(&[
            &it.id,
            &service.name,
            &it.addr,
            &it.failure_domain,
            &it.state,
            &it.used,
            &sick,
            &it.in_use,
        ])?;
    }
    table.print()
}

/// A table whose columns are aligned when it is printed.
struct Table(TabWriter<Vec<u8>>);

impl Table {
    fn new(titles: &[&str]) -> Self {
        let mut out = TabWriter::new(Vec::new());
        // Writing to memory does not fail.
        let _ = writeln!(out, "{}", titles.join("\t"));
        Self(out)
    }

    fn row(&mut self, cells: &[&dyn Display]) -> Result<(), QueryError> {
        let cells: Vec<String> = cells.iter().map(|it| it.to_string()).collect();
        Ok(writeln!(self.0, "{}", cells.join("\t"))?)
    }

    fn print(self) -> Result<(), QueryError> {
        let buf = self.0.into_inner().map_err(|it| io::Error::other(it.to_string()))?;
        Ok(io::stdout().write_all(&buf)?)
    }
}

fn number_or_dash(it: Option<usize>) -> String {
    it.map_or("-".to_owned(), |it| it.to_string())
}

fn print_json(it: &impl Serialize) -> Result<(), QueryError> {
    let text = serde_json::to_string(it).map_err(io::Error::other)?;
    Ok(writeln!(io::stdout(), "{text}")?)
}
