//! Cost of one decision, a slot requested and released, by number of endpoints.

use std::time::Duration;

use criterion::measurement::WallTime;
use criterion::{BenchmarkGroup, BenchmarkId, Criterion, criterion_group, criterion_main};
use policy::{
    Ask, BudgetLimits, Dispatcher, Kind, NodeId, PermitId, Reply, Reporter, RequestKey, RouteTerms,
    SendKind, Time,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use resources::{Endpoint, Floor, Priority, Service};

const BUDGET: BudgetLimits =
    BudgetLimits { ratio: 0.2, extra: 58.0, window: Duration::from_secs(10) };

fn service(endpoints: u16) -> Service {
    let endpoint = |i: u16| Endpoint {
        id: format!("i-{i}").into(),
        addr: ([127, 0, 0, 1], 1_000 + i).into(),
        failure_domain: ["a", "b", "c"][usize::from(i) % 3].into(),
        slots: 0,
        standing: Default::default(),
        warm_up_ms: 0,
        started_ms: 0,
    };
    Service {
        name: "s".into(),
        endpoints: (0..endpoints).map(endpoint).collect(),
        floor: Floor::Percent(60),
        bias: Default::default(),
        slots: 3,
        connections: 200,
        cold_rate_per_s: 0.0,
        warm_up_ms: 0,
    }
}

fn ask(seq: u64) -> Ask {
    let id = PermitId { node: NodeId(seq % 40), seq };
    Ask {
        id,
        reporter: Reporter { node: id.node, failure_domain: seq % 3 },
        route: 1,
        request: RequestKey::default(),
        repeatable: true,
        priority: Priority(0),
        organisation: 1,
        weight: 1,
        long_answer: false,
        send: SendKind::First,
        brings_share: true,
        avoid: Vec::new(),
        closed: Vec::new(),
        domains: None,
        limits: Vec::new(),
        left: Duration::from_secs(1),
        is_last: false,
        objective: Duration::from_secs(1),
        wait: true,
    }
}

/// A slot becomes free while requests wait and many endpoints with free slots are unlikely to be
/// healthy. One node dispatches the service and has 500 requests in its queue.
fn release_to_a_queue(c: &mut Criterion) {
    let mut group = c.benchmark_group("release to a queue");
    for endpoints in [99, 432, 3_592] {
        release_to_the_queue_of(&mut group, endpoints);
    }
    group.finish();
}

fn release_to_the_queue_of(group: &mut BenchmarkGroup<'_, WallTime>, endpoints: u16) {
    let terms = [RouteTerms { id: 1, objective: Duration::from_millis(1_200), share: 1.0 }];
    let mut dispatcher = Dispatcher::new(Time(0), &service(endpoints), &terms, BUDGET);
    let mut rng = StdRng::seed_from_u64(1);
    let mut open = std::collections::VecDeque::new();
    let mut seq = 0;
    group.bench_function(endpoints.to_string(), |b| {
        b.iter(|| {
            let now = Time(seq * 100);
            while dispatcher.queued() < 500 {
                seq += 1;
                let ask = ask(seq);
                let id = ask.id;
                match dispatcher.ask(now, ask, &mut rng) {
                    Reply::Granted(_) => open.push_back(id),
                    Reply::Queued => {}
                    _ => break,
                }
            }
            let Some(id) = open.pop_front() else { return };
            let kind = if seq % 3 == 0 { Kind::Failed } else { Kind::Answered };
            let settled = dispatcher.release(now, id, kind, Duration::from_millis(9), &mut rng);
            open.extend(settled.iter().map(|it| it.id));
        });
    });
}

/// A thousand requests arrive per second.
fn ask_and_release(c: &mut Criterion) {
    let mut group = c.benchmark_group("ask and release");
    for (endpoints, routes) in
        [(28, 4), (99, 4), (432, 4), (1_933, 4), (3_592, 4), (13_000, 4), (15, 400)]
    {
        let objective = Duration::from_millis(600);
        let routes: Vec<_> =
            (0..routes).map(|id| RouteTerms { id, objective, share: 1.0 }).collect();
        let mut dispatcher = Dispatcher::new(Time(0), &service(endpoints), &routes, BUDGET);
        let mut rng = StdRng::seed_from_u64(1);
        let mut seq = 0;
        let name = BenchmarkId::new(format!("{} routes", routes.len()), endpoints);
        group.bench_function(name, |b| {
            b.iter(|| {
                seq += 1;
                let id = PermitId { node: NodeId(seq % 40), seq };
                let ask = Ask { wait: false, ..ask(seq) };
                let now = Time(seq * 1_000);
                dispatcher.ask(now, ask, &mut rng);
                dispatcher.release(now, id, Kind::Answered, Duration::from_millis(9), &mut rng)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, ask_and_release, release_to_a_queue);
criterion_main!(benches);
