//! A cell of the fault matrix: one fault at one step.

use std::path::Path;
use std::time::Duration;

use standin::bed::{Layout, TestBed};
use standin::caller::{self, Summary};
use standin::client;
use standin::platform;
use standin::upstream::{Fault as UpstreamFault, Profile, download_bytes};
use tokio::task::JoinHandle;

/// Length of a download in bytes, larger than the part that a node buffers before it sends any of it to the caller.
const DOWNLOAD_BYTES: usize = 2_400_000;
/// Time from the first request to the fault.
const DELAY_BEFORE_FAULT: Duration = Duration::from_millis(250);
/// Time for which requests are sent, in seconds.
const REQUEST_SECONDS: f64 = 1.0;
/// Duration of a freeze.
const FREEZE_DURATION: Duration = Duration::from_millis(800);

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Kill,
    Freeze,
    Stop,
    PlatformDown,
    PlatformStale,
    Upstream(UpstreamFault),
    UpstreamLeaving,
    Flap,
    ReplaceWhileStale,
    OperatorsRace,
    KillAndStall,
    FreezeAndLoseAnswers,
}

/// A fault with its name in the table.
pub struct Fault {
    pub name: &'static str,
    kind: Kind,
}

const fn fault(name: &'static str, kind: Kind) -> Fault {
    Fault { name, kind }
}

/// Rows of the fault matrix.
pub const FAULTS: [Fault; 18] = [
    fault("node killed", Kind::Kill),
    fault("node frozen, then awake", Kind::Freeze),
    fault("node stopped by SIGTERM", Kind::Stop),
    fault("node replaced while the platform is stale", Kind::ReplaceWhileStale),
    fault("platform down", Kind::PlatformDown),
    fault("platform stale", Kind::PlatformStale),
    fault("two operators racing", Kind::OperatorsRace),
    fault("upstream stalls work, answers probes", Kind::Upstream(UpstreamFault::Stall)),
    fault("upstream slow, reports low load", Kind::Upstream(UpstreamFault::Slow)),
    fault("upstream answers late", Kind::Upstream(UpstreamFault::Late)),
    fault("upstream loses answers", Kind::Upstream(UpstreamFault::LoseAnswer)),
    fault("upstream loses requests", Kind::Upstream(UpstreamFault::LoseRequest)),
    fault("upstream stops in mid-body", Kind::Upstream(UpstreamFault::StallBody)),
    fault("upstream swaps answers", Kind::Upstream(UpstreamFault::Swap)),
    fault("upstream leaving", Kind::UpstreamLeaving),
    fault("upstream flaps", Kind::Flap),
    fault("node killed and upstream stalls", Kind::KillAndStall),
    fault("node frozen and upstream loses answers", Kind::FreezeAndLoseAnswers),
];

/// Step of a request or configuration change at which faults are injected.
pub struct Step {
    pub name: &'static str,
    /// Slots of each endpoint. Few slots and a long service time make requests queue.
    slots: usize,
    service_us: u64,
}

/// Columns of the fault matrix.
pub const STEPS: [Step; 4] = [
    Step { name: "accepted, queued", slots: 1, service_us: 120_000 },
    Step { name: "sent, running", slots: 8, service_us: 150_000 },
    Step { name: "mid-answer", slots: 8, service_us: 1_000 },
    Step { name: "configuration published", slots: 4, service_us: 5_000 },
];

/// Runs a cell and returns descriptions of the violated invariants.
pub async fn run_cell(bin: &Path, fault: &Fault, step: &Step) -> anyhow::Result<Vec<String>> {
    let profile = Profile {
        slots: step.slots,
        service_us: step.service_us,
        heavy_tail: false,
        cold_ms: 0,
        piece_us: 4_000,
    };
    let mut bed = TestBed::start(bin, &Layout { profile, ..Layout::small() }).await?;
    let first_bookings = send_requests(&bed, "POST", "/bookings/1");
    let second_bookings = send_requests(&bed, "POST", "/bookings/2");
    let lookups = send_requests(&bed, "GET", "/slots/today");
    let downloads = (step.name == "mid-answer").then(|| download_all(&bed));
    tokio::time::sleep(DELAY_BEFORE_FAULT).await;
    let publishes = step.name == "configuration published";
    let mut newest = if publishes { bed.platform.publish(&bed.resources) } else { 1 };
    let before = in_force(&bed).await;
    newest = newest.max(inject(&mut bed, fault.kind).await?);
    let mut violations = Vec::new();
    for summary in [first_bookings.await?, second_bookings.await?, lookups.await?] {
        check_requests(&bed, &summary, &mut violations);
    }
    if let Some(downloads) = downloads {
        check_downloads(fault.kind, downloads.await?, &mut violations);
    }
    check_configuration(&bed, fault.kind, &before, newest, &mut violations).await;
    check_floor(&bed, &mut violations).await;
    check_exit(&mut bed, fault.kind, &mut violations).await?;
    Ok(violations)
}

/// Starts sending requests through all nodes.
fn send_requests(bed: &TestBed, method: &str, path: &str) -> JoinHandle<Summary> {
    let mut plan = bed.lookups(60.0, REQUEST_SECONDS);
    plan.method = method.into();
    plan.path = path.into();
    tokio::spawn(caller::run(plan))
}

/// Downloads through every node and returns the bodies, or `None` for a download that visibly failed.
fn download_all(bed: &TestBed) -> JoinHandle<Vec<Option<bytes::Bytes>>> {
    let targets: Vec<_> = bed.nodes.iter().map(|it| it.addrs.traffic).collect();
    tokio::spawn(async move {
        let mut calls = tokio::task::JoinSet::new();
        for target in targets {
            calls.spawn(async move {
                let got = client::get(target, &format!("/archives/x?bytes={DOWNLOAD_BYTES}"))
                    .await
                    .ok()?;
                got.status.is_success().then_some(got.body)
            });
        }
        calls.join_all().await
    })
}

/// Injects the fault; returns the newest version that the fault published, or 0.
async fn inject(bed: &mut TestBed, kind: Kind) -> anyhow::Result<u64> {
    let faulty = bed.upstreams[0].clone();
    match kind {
        Kind::Kill => bed.nodes[0].kill(),
        Kind::Freeze => freeze(bed).await?,
        Kind::Stop => bed.nodes[0].signal("TERM")?,
        Kind::PlatformDown => bed.platform.set_fault(platform::Fault::Down),
        Kind::PlatformStale => bed.platform.set_fault(platform::Fault::Stale),
        Kind::Upstream(fault) => faulty.set_fault(fault, 1.0, 10.0),
        Kind::UpstreamLeaving => bed.platform.mark_draining(faulty.name()),
        Kind::Flap => {
            for _ in 0..4 {
                faulty.set_fault(UpstreamFault::Stall, 1.0, 1.0);
                tokio::time::sleep(FREEZE_DURATION / 4).await;
                faulty.set_fault(UpstreamFault::None, 1.0, 1.0);
                tokio::time::sleep(FREEZE_DURATION / 4).await;
            }
        }
        Kind::ReplaceWhileStale => {
            // The version must be in force before the node loses its state.
            let version = bed.platform.publish(&bed.resources);
            bed.wait_in_force(version).await?;
            bed.platform.set_fault(platform::Fault::Stale);
            bed.nodes[0].restart()?;
            bed.nodes[0].wait_ready(Duration::from_secs(30)).await?;
            return Ok(version);
        }
        Kind::OperatorsRace => {
            let (one, other) = (bed.platform.clone(), bed.platform.clone());
            let (a, b) = (bed.resources.clone(), bed.resources.clone());
            let one = tokio::task::spawn_blocking(move || one.publish(&a));
            let other = tokio::task::spawn_blocking(move || other.publish(&b));
            return Ok(one.await?.max(other.await?));
        }
        Kind::KillAndStall => {
            faulty.set_fault(UpstreamFault::Stall, 1.0, 1.0);
            bed.nodes[0].kill();
        }
        Kind::FreezeAndLoseAnswers => {
            faulty.set_fault(UpstreamFault::LoseAnswer, 1.0, 1.0);
            freeze(bed).await?;
        }
    }
    Ok(0)
}

/// Freezes the first node with SIGSTOP for a while.
async fn freeze(bed: &TestBed) -> anyhow::Result<()> {
    bed.nodes[0].signal("STOP")?;
    tokio::time::sleep(FREEZE_DURATION).await;
    bed.nodes[0].signal("CONT")
}

/// Returns the number of runs of a request over all endpoints.
fn runs(bed: &TestBed, id: &str) -> u32 {
    bed.upstreams.iter().map(|it| it.runs().get(id).copied().unwrap_or(0)).sum()
}

/// Checks that no request ran twice, that no request ran whose caller was told otherwise, that no answer was
/// crossed, and that some requests were answered.
fn check_requests(bed: &TestBed, summary: &Summary, violations: &mut Vec<String>) {
    for id in bed.upstreams.iter().flat_map(|it| it.runs().into_keys()) {
        if runs(bed, &id) > 1 {
            violations.push(format!("{id} ran twice"));
        }
    }
    for id in &summary.not_run_ids {
        if runs(bed, id) > 0 {
            violations.push(format!("{id} ran although its caller was told that it did not"));
        }
    }
    if summary.crossed > 0 {
        violations.push(format!("{} answers were crossed", summary.crossed));
    }
    if summary.answered == 0 {
        violations.push("nothing was answered".to_owned());
    }
}

/// Checks that downloads which appear complete are complete, and that enough downloads arrived.
fn check_downloads(kind: Kind, got: Vec<Option<bytes::Bytes>>, violations: &mut Vec<String>) {
    let complete =
        got.iter().flatten().filter(|it| **it == download_bytes(0, DOWNLOAD_BYTES)).count();
    let arrived = got.iter().flatten().count();
    if complete != arrived {
        violations.push("a download that appeared complete was not".to_owned());
    }
    // A node that is killed or replaced visibly interrupts the download through it.
    let allowed_losses = match kind {
        Kind::Kill | Kind::KillAndStall | Kind::ReplaceWhileStale => 1,
        _ => 0,
    };
    if complete + allowed_losses < got.len() {
        violations.push(format!("{} of {} downloads arrived", complete, got.len()));
    }
}

/// Returns the version that each node has in force.
async fn in_force(bed: &TestBed) -> Vec<u64> {
    let mut all = Vec::new();
    for it in &bed.nodes {
        let report = it.report().await.unwrap_or_default();
        all.push(report["in_force"].as_u64().unwrap_or(0));
    }
    all
}

/// Checks that no node goes back to an older version, and that the newest version comes into force everywhere if the
/// platform serves it.
async fn check_configuration(
    bed: &TestBed,
    kind: Kind,
    before: &[u64],
    newest: u64,
    violations: &mut Vec<String>,
) {
    let serves_newest = !matches!(kind, Kind::PlatformDown | Kind::PlatformStale);
    let first_node_exits = matches!(kind, Kind::Kill | Kind::KillAndStall | Kind::Stop);
    for (i, node) in bed.nodes.iter().enumerate().skip(usize::from(first_node_exits)) {
        let mut now = 0;
        for _ in 0..250 {
            let report = node.report().await.unwrap_or_default();
            now = report["in_force"].as_u64().unwrap_or(0);
            if now >= newest || !serves_newest {
                break;
            }
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        if now < before[i] || (serves_newest && now < newest) {
            violations
                .push(format!("node {i}: version {now}, before {}, newest {newest}", before[i]));
        }
    }
}

/// Checks that every node that answers keeps the floor of endpoints in rotation; leaving endpoints count, too.
async fn check_floor(bed: &TestBed, violations: &mut Vec<String>) {
    for node in &bed.nodes {
        let Ok(report) = node.report().await else { continue };
        let service = &report["services"][0];
        let endpoints = service["endpoints"].as_array().cloned().unwrap_or_default();
        let count = |states: &[&str]| {
            let is_one = |it: &&serde_json::Value| {
                it["state"].as_str().is_some_and(|it| states.contains(&it))
            };
            endpoints.iter().filter(is_one).count()
        };
        let floor = service["floor"].as_u64().unwrap_or(0) as usize;
        let in_rotation = count(&["unknown", "healthy", "suspect", "ramping"]);
        if in_rotation + count(&["leaving"]) < floor {
            violations.push(format!("{in_rotation} endpoints in rotation, the floor is {floor}"));
        }
    }
}

/// Checks that a planned stop ends within ten seconds with exit code 0.
async fn check_exit(
    bed: &mut TestBed,
    kind: Kind,
    violations: &mut Vec<String>,
) -> anyhow::Result<()> {
    if kind != Kind::Stop {
        return Ok(());
    }
    for _ in 0..500 {
        if let Some(code) = bed.nodes[0].exit_code()? {
            if code != 0 {
                violations.push(format!("the planned stop ended with exit code {code}"));
            }
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    violations.push("the planned stop did not finish".to_owned());
    Ok(())
}
