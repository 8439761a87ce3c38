//! Which nodes are asked for a way to an endpoint, and which endpoints others are connected to.

use caller::DetourRequest;
use fleet::{TunnelError, TunnelRefusal, TunnelTarget, node_id};

use policy::{Grant, Tier, Topology};
use resources::Name;

use super::*;

const CONFIG: &str = r#"{"version": 1, "resources": [{"kind": "Service", "name": "s", "slots": 1, "connections": 9,
    "floor": "50%", "bias": "speed", "endpoints": [
        {"id": "e", "addr": "127.0.0.1:9", "failure_domain": "a", "started_ms": 7},
        {"id": "leaving", "addr": "127.0.0.1:10", "failure_domain": "a", "standing": "leaving"}]}]}"#;

fn grant() -> Grant {
    Grant {
        endpoint: "e".into(),
        started_ms: 7,
        addr: ([127, 0, 0, 1], 9).into(),
        stall_after: Duration::from_secs(1),
        hedge_after: Duration::from_secs(1),
        trial: false,
        tier: Tier::Good,
        health: Default::default(),
        is_watched: false,
        is_rate_limited: false,
    }
}

async fn node() -> Control {
    let (urgent, _received) = mpsc::unbounded_channel();
    let mut control = control_with(urgent, Features::TUNNELS).await;
    let config = Config::compile(serde_json::from_str(CONFIG).unwrap()).unwrap();
    control.services.reconfigure(Time(0), &config);
    control.exchange.set_phase(Phase::Ready);
    control
}

/// Receives gossip about another node that serves.
fn discover(control: &mut Control, version: u32, number: u8, features: Features) -> NodeId {
    receive(control, number, NodeInfo { version, features, ..control.exchange.info() })
}

fn discover_in(control: &mut Control, number: u8, failure_domain: &str) -> NodeId {
    let failure_domain = name_hash(failure_domain);
    receive(control, number, NodeInfo { failure_domain, version: 1, ..control.exchange.info() })
}

fn receive(control: &mut Control, number: u8, info: NodeInfo) -> NodeId {
    let addr: SocketAddr = ([127, 0, 1, number], 9).into();
    let info = NodeInfo { addr, incarnation: 2, ..info };
    let gossip = Gossip { nodes: vec![info], ..Gossip::default() };
    let frame = Frame { from: node_id(addr), message: Message::Gossip(gossip) };
    control.receive_frame(control.now(), addr, frame, 1);
    node_id(addr)
}

fn asked(control: &mut Control) -> Vec<NodeId> {
    asked_within(control, None)
}

/// The nodes that are asked for a request that is restricted to these regions.
fn asked_within(control: &mut Control, regions: Option<Vec<Name>>) -> Vec<NodeId> {
    let request = DetourRequest { service: "s".into(), grant: grant(), regions };
    let chosen = control.choose_detours(control.now(), &request);
    chosen.into_iter().map(|(node, _)| node).collect()
}

#[tokio::test]
async fn a_node_that_is_cut_off_or_lacks_tunnels_is_not_asked() {
    let mut control = node().await;
    discover(&mut control, 1, 1, Features::DOMAIN_DISPATCH);
    discover(&mut control, 1, 2, Features::TUNNELS.with(Features::CUT_OFF));
    assert_eq!(asked(&mut control), []);
    let back = discover(&mut control, 2, 2, Features::TUNNELS);
    assert_eq!(asked(&mut control), [back]);
}

#[tokio::test]
async fn a_request_does_not_leave_its_regions_on_its_way() {
    let mut control = node().await;
    control.topology = Topology::new([("a", "north"), ("b", "south")].into_iter());
    let south = discover_in(&mut control, 1, "b");
    assert_eq!(asked_within(&mut control, Some(vec!["north".into()])), []);
    assert_eq!(asked_within(&mut control, Some(vec!["south".into()])), [south]);
    assert_eq!(asked(&mut control), [south]);
}

#[tokio::test]
async fn a_node_that_has_just_joined_is_asked() {
    let mut control = node().await;
    let cut_off = Features::TUNNELS.with(Features::CUT_OFF);
    discover(&mut control, 1, 1, cut_off);
    let joined = NodeInfo { version: 1, phase: Phase::Fresh, ..control.exchange.info() };
    let joined = receive(&mut control, 2, joined);
    assert_eq!(asked(&mut control), [joined]);
}

#[tokio::test]
async fn a_node_that_opened_no_tunnel_is_passed_over() {
    let mut control = node().await;
    let failing = discover(&mut control, 1, 1, Features::TUNNELS);
    let other = discover(&mut control, 1, 2, Features::TUNNELS);
    control.handle_detour_failure(control.now(), failing, &TunnelError::Timeout);
    assert_eq!(asked(&mut control), [other]);
    clock::simulate_suspension(Duration::from_secs(3));
    assert_eq!(asked(&mut control).len(), 2, "it is asked again");
}

#[tokio::test]
async fn the_other_nodes_learn_that_this_one_is_cut_off() {
    let mut control = node().await;
    let now = control.now();
    control.set_cut_off(now, true);
    assert!(control.exchange.info().features.contains(Features::CUT_OFF));
    control.set_cut_off(now, false);
    let expected = Features::TUNNELS.with(Features::COMPLETE_POSITIONS);
    assert_eq!(control.exchange.info().features, expected);
}

#[tokio::test]
async fn others_are_connected_only_to_endpoints_that_take_requests() {
    let mut control = node().await;
    let result = |control: &Control, service: &str, endpoint: &str, started_ms| {
        let service = name_hash(service);
        let target = TunnelTarget { service, endpoint: endpoint.into(), started_ms };
        control.tunnel_target(control.now(), &target)
    };
    assert_eq!(result(&control, "s", "e", 7), Ok(([127, 0, 0, 1], 9).into()));
    assert_eq!(result(&control, "s", "e", 6), Err(TunnelRefusal::Unknown), "another incarnation");
    assert_eq!(result(&control, "s", "none", 7), Err(TunnelRefusal::Unknown));
    assert_eq!(result(&control, "none", "e", 7), Err(TunnelRefusal::Unknown));
    assert_eq!(result(&control, "s", "leaving", 0), Err(TunnelRefusal::Closed));
    control.handle_event(control.now(), Event::Drain);
    assert_eq!(result(&control, "s", "e", 7), Err(TunnelRefusal::Busy));
}
