//! Dispatch by failure domain: when it is in force, and who grants.

use std::sync::Arc;

use fleet::{Features, PermitMessage, PermitRequest, Place, node_id};
use policy::{
    Ask, DomainFilter, DomainLoad, Kind, PermitId, Rejection, Reply, Reporter, RequestKey,
    SendKind, Topology,
};
use resources::{Priority, Route};

use super::super::domain_dispatch::is_used;
use super::super::{RoutedRequest, Waiter};
use super::*;

/// Thousandths of a core of the nodes in these tests.
const STRONG: u32 = 500;
const WEAK: u32 = 100;

/// A service with this many endpoints in each failure domain.
fn config(endpoints: &[(&str, usize)]) -> Config {
    let all = endpoints.iter().flat_map(|(domain, n)| (0..*n).map(move |i| (*domain, i)));
    let endpoints: Vec<_> = all
        .enumerate()
        .map(|(port, (domain, i))| {
            serde_json::json!({"id": format!("{domain}-{i}"), "failure_domain": domain,
                "addr": format!("127.0.0.1:{}", 1_000 + port)})
        })
        .collect();
    let service = serde_json::json!({"kind": "Service", "name": "s", "slots": 1,
        "connections": 9, "floor": "50%", "endpoints": endpoints});
    let document = serde_json::json!({"version": 1, "resources": [service]});
    Config::compile(serde_json::from_value(document).unwrap()).unwrap()
}

/// A node of failure domain `a` that supports dispatch by failure domain, with a service in `a` and `b`.
async fn node_with(endpoints: &[(&str, usize)]) -> Control {
    let (urgent, _received) = mpsc::unbounded_channel();
    let mut control = control_with(urgent, Features::DOMAIN_DISPATCH).await;
    control.services.reconfigure(Time(0), &config(endpoints));
    control.exchange.set_phase(Phase::Ready);
    control.update_domain_dispatch();
    control
}

/// Receives gossip about another node that serves.
fn discover(control: &mut Control, version: u32, it: &OtherNode) {
    let addr: SocketAddr = ([127, 0, 1, it.number], 9).into();
    let info = NodeInfo {
        addr,
        incarnation: 2,
        version,
        failure_domain: name_hash(it.failure_domain),
        capacity: Capacity { millicores: it.millicores, link_mbps: 1_000 },
        phase: Phase::Ready,
        features: it.features,
        ..control.exchange.info()
    };
    let gossip = Gossip { nodes: vec![info], ..Gossip::default() };
    let frame = Frame { from: node_id(addr), message: Message::Gossip(gossip) };
    control.receive_frame(control.now(), addr, frame, 1);
    control.update_domain_dispatch();
}

#[derive(Clone, Copy)]
struct OtherNode {
    number: u8,
    failure_domain: &'static str,
    millicores: u32,
    features: Features,
}

impl OtherNode {
    fn new(number: u8, failure_domain: &'static str, millicores: u32) -> Self {
        Self { number, failure_domain, millicores, features: Features::DOMAIN_DISPATCH }
    }

    fn id(&self) -> NodeId {
        node_id(([127, 0, 1, self.number], 9).into())
    }
}

fn is_by_domain(control: &Control) -> bool {
    control.services.dispatched_by_domain().next().is_some()
}

fn ask(seq: u64, from: Reporter) -> Ask {
    Ask {
        id: PermitId { node: from.node, seq },
        reporter: from,
        route: 1,
        request: RequestKey(seq),
        repeatable: true,
        priority: Priority(0),
        organisation: 0,
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

#[tokio::test]
async fn a_service_needs_twelve_endpoints_in_each_of_two_failure_domains() {
    assert!(is_by_domain(&node_with(&[("a", 12), ("b", 12)]).await));
    assert!(!is_by_domain(&node_with(&[("a", 12), ("b", 11)]).await));
    assert!(!is_by_domain(&node_with(&[("a", 24)]).await));
    assert!(!is_by_domain(&node_with(&[]).await));
}

/// Guards against messages that an older build drops: its requests would wait for answers that never
/// come.
#[tokio::test]
async fn one_node_grants_for_all_while_a_serving_node_lacks_the_feature() {
    let mut control = node_with(&[("a", 12), ("b", 12)]).await;
    let old = OtherNode { features: Features::NONE, ..OtherNode::new(1, "b", WEAK) };
    discover(&mut control, 1, &old);
    assert!(!is_by_domain(&control));
    let state = control.services.get(name_hash("s")).unwrap();
    assert_eq!(control.home_domain(state, control.me, None), None);
    // The node is upgraded.
    discover(&mut control, 2, &OtherNode { features: Features::DOMAIN_DISPATCH, ..old });
    assert!(is_by_domain(&control));
}

#[tokio::test]
async fn strong_nodes_of_the_failure_domain_come_first_and_weak_ones_after_all_strong_ones() {
    let mut control = node_with(&[("a", 12), ("b", 12)]).await;
    control.topology = Topology::new([("a", "north"), ("b", "north"), ("c", "south")].into_iter());
    let near_strong = OtherNode::new(1, "b", STRONG);
    let near_weak = OtherNode::new(2, "b", WEAK);
    let region_strong = OtherNode::new(3, "a", STRONG);
    let region_weak = OtherNode::new(4, "a", WEAK);
    let far = OtherNode::new(5, "c", STRONG);
    for it in [near_strong, near_weak, region_strong, region_weak, far] {
        discover(&mut control, 1, &it);
    }
    let directory =
        ServingNodes::new(control.now(), control.me, &control.topology, &control.exchange);
    let candidates = directory.candidates(name_hash("s"), Some(name_hash("b")));
    let first: Vec<NodeId> = candidates.iter().copied().take(3).collect();
    assert_eq!(first, [near_strong.id(), region_strong.id(), near_weak.id()]);
    assert_eq!(candidates.len(), 5, "all others follow, but this node has just joined");
}

#[tokio::test]
async fn a_node_asks_its_own_failure_domain_unless_that_must_not_be_used() {
    let mut control = node_with(&[("a", 12), ("b", 12)]).await;
    let (a, b) = (name_hash("a"), name_hash("b"));
    control.me.failure_domain = a;
    let home = |it: &Control, filter: Option<&DomainFilter>| {
        it.home_domain(it.services.get(name_hash("s")).unwrap(), it.me, filter)
    };
    assert_eq!(home(&control, None), Some(a));
    let only_b = DomainFilter { evacuated: Vec::new(), only: Some(vec![b]) };
    assert_eq!(home(&control, Some(&only_b)), Some(b));
    control.evacuated = vec![a];
    assert_eq!(home(&control, None), Some(b));
}

/// Guards against all nodes of a failure domain without endpoints asking the same other one.
#[tokio::test]
async fn nodes_without_own_endpoints_are_spread_over_the_failure_domains() {
    let control = node_with(&[("a", 12), ("b", 12)]).await;
    let state = control.services.get(name_hash("s")).unwrap();
    let homes = (0..100).map(|node| {
        let asker = Reporter { node: NodeId(node), failure_domain: name_hash("c") };
        control.home_domain(state, asker, None).unwrap()
    });
    let in_a = homes.filter(|it| *it == name_hash("a")).count();
    assert!((30..=70).contains(&in_a), "{in_a} of 100");
}

#[tokio::test]
async fn the_dispatcher_of_a_failure_domain_grants_only_its_endpoints() {
    let mut control = node_with(&[("a", 12), ("b", 12)]).await;
    let (service, b) = (name_hash("s"), name_hash("b"));
    let from = Reporter { node: NodeId(7), failure_domain: b };
    let mut rng = StdRng::seed_from_u64(1);
    let dispatcher = control.services.fleet_dispatcher(Time(0), service, Some(b)).unwrap();
    for seq in 0..12 {
        let Reply::Granted(grant) = dispatcher.ask(Time(0), ask(seq, from), &mut rng) else {
            panic!("twelve endpoints of one slot each are free");
        };
        assert!(grant.endpoint.starts_with("b-"), "{}", grant.endpoint);
    }
    // The endpoints of the other failure domain, and of all of them, have dispatchers of their own.
    assert_eq!(control.services.get(service).unwrap().fleet.len(), 1);
}

/// A node that is behind in configuration knows no endpoint of the failure domain. Its answer makes the asker ask the
/// next candidate at once.
#[tokio::test]
async fn a_failure_domain_without_known_endpoints_has_no_dispatcher() {
    let mut control = node_with(&[("a", 12), ("b", 12)]).await;
    let unknown = Some(name_hash("c"));
    assert!(control.services.fleet_dispatcher(Time(0), name_hash("s"), unknown).is_none());
}

/// Guards against a rate limit that two dispatchers of the same endpoints use in full.
#[tokio::test]
async fn only_the_mode_in_force_has_the_full_rate_limit() {
    let mut control = node_with(&[("a", 12), ("b", 12)]).await;
    let (service, a) = (name_hash("s"), Some(name_hash("a")));
    let limit = Notice::RateLimit(RateLimit::from_per_second(1.0));
    for domain in [None, a] {
        let it = control.services.fleet_dispatcher(Time(0), service, domain).unwrap();
        it.noticed(Time(0), NodeId(1), "a-0", 0, limit);
    }
    control.set_precedences(control.now());
    let precedence = |it: &mut Control, domain| {
        it.services.fleet_dispatcher(Time(0), service, domain).unwrap().precedence()
    };
    assert_eq!(precedence(&mut control, a), Precedence::First);
    assert_eq!(precedence(&mut control, None), Precedence::OneOfMany);
}

/// Guards against a loaded failure domain that never learns of free slots in one without requests.
#[tokio::test]
async fn loads_of_another_failure_domain_start_the_dispatchers_of_this_node() {
    let mut control = node_with(&[("a", 12), ("b", 12)]).await;
    let service = name_hash("s");
    let load = |usable| DomainLoad {
        failure_domain: name_hash("b"),
        usable,
        in_use: 4,
        ..DomainLoad::default()
    };
    let message = |usable| PermitMessage::DomainLoads { service, loads: vec![load(usable)] };
    let from = (NodeId(7), control.node_addr);
    control.handle_permit_message(Time(1), from, message(f32::NAN));
    let known = |it: &Control| {
        let state = it.services.get(service).unwrap();
        let loads = state.remote_loads(Time(1));
        (state.fleet.len(), loads.iter().map(|it| it.usable).collect::<Vec<_>>())
    };
    assert_eq!(known(&control), (2, vec![]), "a damaged number is not used");
    control.handle_permit_message(Time(1), from, message(9.0));
    assert_eq!(known(&control), (2, vec![9.0]));
    let state = control.services.get(service).unwrap();
    let late = Time(1) + Duration::from_millis(1_001);
    assert_eq!(state.remote_loads(late).len(), 0);
}

/// Guards against failures that the successor of a granting node does not learn of: the successor depends on the
/// failure domain of the endpoint.
#[tokio::test]
async fn a_failure_is_reported_to_the_failure_domain_of_the_endpoint() {
    let control = node_with(&[("a", 12), ("b", 12)]).await;
    let service = name_hash("s");
    assert_eq!(control.dispatch_domain_of(service, "b-3"), Some(name_hash("b")));
    assert_eq!(control.dispatch_domain_of(service, "unknown"), None);
}

/// Guards against answers whose failure domain is never compared, because the asking side does not know the endpoints.
#[tokio::test]
async fn the_asking_side_knows_the_failure_domains_of_the_endpoints() {
    let control = node_with(&[("a", 12), ("b", 12)]).await;
    let now = control.now();
    let directory = ServingNodes::new(now, control.me, &control.topology, &control.exchange)
        .with_services(&control.services);
    let of = |endpoint: &str| directory.failure_domain_of(name_hash("s"), endpoint);
    assert_eq!((of("b-3"), of("unknown")), (Some(name_hash("b")), None));
}

/// Guards against the refusal of a request for a failure domain of which this node knows no endpoint, although it
/// ranks first there.
#[tokio::test]
async fn a_request_for_a_failure_domain_without_known_endpoints_is_passed_on() {
    let mut control = node_with(&[("a", 12), ("b", 12)]).await;
    let (now, service) = (control.now(), name_hash("s"));
    let ask = ask(1, control.me);
    let (tx, mut rx) = oneshot::channel();
    let route = serde_json::json!({"name": "r", "path": "/", "service": "s", "deadline_ms": 500,
        "repeat": "anytime"});
    let route: Route = serde_json::from_value(route).unwrap();
    let request = RoutedRequest { route: Arc::new(route), key: ask.request };
    control.waiting.insert(ask.id, Waiter { tx, service, request });
    let deadline = now + Duration::from_secs(1);
    let failure_domain = Some(name_hash("c"));
    let request = PermitRequest { ask, service, failure_domain, deadline };
    let directory = ServingNodes::new(now, control.me, &control.topology, &control.exchange);
    let action = control.client.request(now, request, &directory);
    control.perform(now, action);
    let (_, place) = rx.try_recv().unwrap().expect("the request gets a slot");
    assert_eq!(place, Place::Direct);
}

/// Guards against a successor that grants a few slots and hides the load of the node that grants all others.
#[tokio::test]
async fn loads_of_two_senders_for_one_failure_domain_are_added() {
    let mut control = node_with(&[("a", 12), ("b", 12)]).await;
    let service = name_hash("s");
    for (sender, usable, in_use) in [(7, 12.0, 11), (8, 10.0, 1)] {
        let load = DomainLoad {
            failure_domain: name_hash("b"),
            usable,
            in_use,
            queued: 2,
            served: 3.0,
            unserved: 1.0,
        };
        let message = PermitMessage::DomainLoads { service, loads: vec![load] };
        let from = (NodeId(sender), control.node_addr);
        control.handle_permit_message(Time(1), from, message);
    }
    let loads = control.services.get(service).unwrap().remote_loads(Time(1));
    let numbers: Vec<_> = loads.iter().map(|it| (it.usable, it.in_use, it.queued)).collect();
    assert_eq!(numbers, [(12.0, 12, 4)]);
    assert_eq!((loads[0].served, loads[0].unserved), (6.0, 2.0));
}

/// Guards against a failure domain full of long requests whose load is not sent, so that others send requests there.
#[tokio::test]
async fn a_failure_domain_is_in_use_while_long_requests_run() {
    let mut control = node_with(&[("a", 12), ("b", 12)]).await;
    let (service, b) = (name_hash("s"), Some(name_hash("b")));
    let from = Reporter { node: NodeId(7), failure_domain: name_hash("b") };
    let mut rng = StdRng::seed_from_u64(1);
    let it = control.services.fleet_dispatcher(Time(0), service, b).unwrap();
    assert!(!is_used(Time(0), it), "nothing was granted");
    let long = ask(1, from);
    let id = long.id;
    assert!(matches!(it.ask(Time(0), long, &mut rng), Reply::Granted(_)));
    let later = Time(0) + Duration::from_secs(5);
    it.renew(later, id);
    assert!(is_used(later, it), "the request still runs");
    it.release(later, id, Kind::Answered, Duration::from_secs(5), &mut rng);
    assert!(!is_used(later, it), "the request has ended");
}

/// Guards against a ranking of all nodes for each received load, which is too much work with hundreds of nodes.
#[tokio::test]
async fn nodes_are_ranked_at_most_once_a_second_because_of_loads() {
    let mut control = node_with(&[("a", 12), ("b", 12)]).await;
    let service = name_hash("s");
    let from = (NodeId(7), control.node_addr);
    // A ranking starts the dispatchers that this node lacks.
    let mut is_ranked_after = |ms: u64| {
        control.services.get_mut(service).unwrap().fleet.clear();
        let message = PermitMessage::DomainLoads { service, loads: Vec::new() };
        control.handle_permit_message(Time(1) + Duration::from_millis(ms), from, message);
        !control.services.get(service).unwrap().fleet.is_empty()
    };
    assert_eq!(
        [0, 100, 900, 1_000, 1_100].map(&mut is_ranked_after),
        [true, false, false, true, false]
    );
}

/// Guards against granting nodes that change twice because some endpoints are missing for a moment.
#[tokio::test]
async fn the_mode_ends_after_the_service_has_not_qualified_for_five_seconds() {
    let mut control = node_with(&[("a", 12), ("b", 12)]).await;
    let mut rng = StdRng::seed_from_u64(1);
    let mut is_by_domain_with = |ms: u64, in_b: usize| {
        let now = Time(0) + Duration::from_millis(ms);
        control.services.reconfigure(now, &config(&[("a", 12), ("b", in_b)]));
        control.services.tick(now, &mut rng);
        is_by_domain(&control)
    };
    assert!(is_by_domain_with(1_000, 11));
    assert!(is_by_domain_with(5_900, 11));
    assert!(is_by_domain_with(5_950, 12), "it qualifies again");
    assert!(is_by_domain_with(6_000, 11));
    assert!(is_by_domain_with(10_900, 11));
    assert!(!is_by_domain_with(11_000, 11));
    assert!(is_by_domain_with(11_100, 12), "it qualifies at once");
}

/// Guards against a new dispatcher that starts with the crash suspects of another failure domain's dispatcher, or
/// loses those of the one for all endpoints to it.
#[tokio::test]
async fn a_new_dispatcher_takes_nothing_from_another_failure_domain() {
    let mut control = node_with(&[("a", 12), ("b", 12), ("c", 12)]).await;
    let service = name_hash("s");
    let [a, b, c] = ["a", "b", "c"].map(|it| Some(name_hash(it)));
    let mut rng = StdRng::seed_from_u64(1);
    let from = Reporter { node: NodeId(7), failure_domain: name_hash("a") };
    let rejection = |request| Rejection { request: RequestKey(request), valid_ms: 9_000 };
    for (seq, domain) in [None, a, b].into_iter().enumerate() {
        let it = control.services.fleet_dispatcher(Time(0), service, domain).unwrap();
        it.reject(Time(0), rejection(100 + seq as u64));
        assert!(matches!(it.ask(Time(0), ask(seq as u64, from), &mut rng), Reply::Granted(_)));
    }
    let new = control.services.fleet_dispatcher(Time(1), service, c).unwrap();
    let rejects = [100, 101, 102].map(|it| new.rejected(Time(1), RequestKey(it)).is_some());
    assert_eq!(rejects, [true, false, false]);
}

/// Guards against a dispatcher that comes back into use with what it knew before another one granted its slots.
#[tokio::test]
async fn a_dispatcher_that_comes_back_knows_what_the_one_in_use_has_learned() {
    let mut control = node_with(&[("a", 12), ("b", 12)]).await;
    let (service, b) = (name_hash("s"), Some(name_hash("b")));
    let mut rng = StdRng::seed_from_u64(1);
    let from = Reporter { node: NodeId(7), failure_domain: name_hash("b") };
    control.services.fleet_dispatcher(Time(0), service, b).unwrap();
    let now = Time(0) + Duration::from_secs(5);
    let in_use = control.services.fleet_dispatcher(now, service, None).unwrap();
    in_use.reject(now, Rejection { request: RequestKey(100), valid_ms: 9_000 });
    assert!(matches!(in_use.ask(now, ask(1, from), &mut rng), Reply::Granted(_)));
    let back = control.services.fleet_dispatcher(now, service, b).unwrap();
    assert!(back.rejected(now, RequestKey(100)).is_some());
}
