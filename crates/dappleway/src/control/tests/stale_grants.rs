//! Slots that another node grants at endpoints of which this node knows more.

use caller::{RefusalReason, Refused};
use fleet::{Place, node_id};
use policy::{Grant, PermitId, RequestKey, Tier};
use resources::{Endpoint, Name, Position, Registration, RegistryChange, RegistryEntry, Standing};

use super::super::{RoutedRequest, Waiter};
use super::*;

const CONFIG: &str = r#"{"version": 1, "resources": [
    {"kind": "Service", "name": "s", "slots": 1, "connections": 9, "floor": "50%", "bias": "speed"},
    {"kind": "Route", "name": "r", "path": "/", "service": "s", "deadline_ms": 1000, "repeat": "anytime"}]}"#;

/// Longer than an endpoint without an entry is still used.
const AGES: Duration = Duration::from_secs(3);

fn change(id: &str, revision: u64, standing: Option<Standing>) -> RegistryChange {
    let number: u8 = id[1..].parse().unwrap();
    let entry = standing.map(|standing| {
        let endpoint = Endpoint {
            id: id.into(),
            addr: ([127, 0, 0, 1], 9_000 + u16::from(number)).into(),
            failure_domain: "a".into(),
            slots: 1,
            standing,
            warm_up_ms: 0,
            started_ms: 7,
        };
        RegistryEntry::from(Registration { service: "s".into(), endpoint })
    });
    RegistryChange { id: id.into(), at: Position { era: 0, revision }, entry }
}

/// A node whose registry lists the endpoints `e0` to `e5`.
async fn node() -> Control {
    let (urgent, _received) = mpsc::unbounded_channel();
    let mut control = control(urgent).await;
    let config = Config::compile(serde_json::from_str(CONFIG).unwrap()).unwrap();
    control.services.reconfigure(Time(0), &config);
    control.exchange.set_phase(Phase::Ready);
    let all = (0..6).map(|i| change(&format!("e{i}"), i + 1, Some(Standing::Present)));
    read(&mut control, Time(0), None, 6, all.collect());
    control
}

fn read(
    control: &mut Control,
    now: Time,
    after: Option<u64>,
    revision: u64,
    endpoints: Vec<RegistryChange>,
) {
    let at = |revision| Position { era: 0, revision };
    let published = Published {
        after: after.map(at),
        complete_to: at(revision),
        endpoints,
        ..Published::default()
    };
    let effects = control.exchange.platform_read(now, now, published);
    control.apply_effects(now, effects);
}

fn grant(id: &str, started_ms: u64) -> Grant {
    let number: u16 = id[1..].parse().unwrap();
    Grant {
        endpoint: id.into(),
        started_ms,
        addr: ([127, 0, 0, 1], 9_000 + number).into(),
        stall_after: Duration::from_secs(1),
        hedge_after: Duration::from_secs(1),
        trial: false,
        tier: Tier::Good,
        health: Default::default(),
        is_watched: false,
        is_rate_limited: false,
    }
}

/// Lets a request wait for a slot, of which a peer grants `grant`; returns what the request gets.
fn granted(control: &mut Control, now: Time, seq: u64, grant: Grant) -> Result<Name, Refused> {
    let (tx, mut rx) = oneshot::channel();
    let config = Config::compile(serde_json::from_str(CONFIG).unwrap()).unwrap();
    let route = config.routes.iter().next().unwrap().clone();
    let request = RoutedRequest { route, key: RequestKey(seq) };
    let id = PermitId { node: control.me.node, seq };
    control.waiting.insert(id, Waiter { tx, service: name_hash("s"), request });
    let peer = node_id(([127, 0, 0, 2], 9).into());
    control.handle_grant(now, id, grant, Place::Peer(peer));
    rx.try_recv().unwrap().map(|(it, _)| it.endpoint)
}

#[track_caller]
fn check_returned(result: Result<Name, Refused>) {
    let reason = result.map_err(|it| it.reason);
    assert!(matches!(reason, Err(RefusalReason::Closed)), "{reason:?}");
}

/// Guards against bookings that reached an endpoint up to 3.2 s after it had left: the granting node had been paused.
#[tokio::test]
async fn a_slot_at_an_endpoint_that_has_left_is_returned_though_a_peer_grants_it() {
    let mut control = node().await;
    read(&mut control, Time(0), Some(6), 7, vec![change("e0", 7, Some(Standing::Leaving))]);
    read(&mut control, Time(0), Some(7), 8, vec![change("e1", 8, None)]);
    check_returned(granted(&mut control, Time(1), 1, grant("e0", 7)));
    // Also if the timers of this node run late.
    check_returned(granted(&mut control, Time(0) + AGES, 2, grant("e1", 7)));
    let effects = control.exchange.tick(Time(0) + AGES, &mut StdRng::seed_from_u64(1));
    control.apply_effects(Time(0) + AGES, effects);
    check_returned(granted(&mut control, Time(0) + AGES, 3, grant("e1", 7)));
    assert!(granted(&mut control, Time(0) + AGES, 4, grant("e2", 7)).is_ok());
}

#[tokio::test]
async fn a_slot_at_an_endpoint_that_is_new_or_missing_for_a_moment_is_used() {
    let mut control = node().await;
    assert!(granted(&mut control, Time(1), 1, grant("e9", 7)).is_ok(), "unknown here");
    read(&mut control, Time(0), Some(6), 7, vec![change("e0", 7, None)]);
    assert!(granted(&mut control, Time(1), 2, grant("e0", 7)).is_ok(), "missing");
    let now = Time(0) + AGES;
    assert!(granted(&mut control, now, 3, grant("e0", 8)).is_ok(), "a later incarnation");
    read(&mut control, now, Some(7), 8, vec![change("e0", 8, Some(Standing::Present))]);
    assert!(granted(&mut control, now, 4, grant("e0", 7)).is_ok(), "back in the registry");
}

/// Guards against requests that are refused because each slot they get is at another endpoint that has left.
#[tokio::test]
async fn asks_name_the_endpoints_that_have_left_once_one_of_them_is_granted() {
    let mut control = node().await;
    let left = (0..3).map(|i| change(&format!("e{i}"), 7 + i, Some(Standing::Leaving)));
    read(&mut control, Time(0), Some(6), 9, left.collect());
    let named = |control: &Control, now| {
        let closed = control.services.get(name_hash("s")).unwrap().closed(now, control.me.node);
        closed.into_iter().map(|it| it.port() - 9_000).collect::<Vec<_>>()
    };
    assert!(named(&control, Time(1)).is_empty(), "nobody grants them");
    check_returned(granted(&mut control, Time(1), 1, grant("e0", 7)));
    assert_eq!(named(&control, Time(1)), [0, 2, 1]);
    // A new endpoint at an address that was in use before.
    let mut reused = change("e8", 10, Some(Standing::Present));
    if let Some(RegistryEntry::Endpoint(it)) = &mut reused.entry {
        it.endpoint.addr.set_port(9_002);
    }
    read(&mut control, Time(1), Some(9), 10, vec![reused]);
    check_returned(granted(&mut control, Time(1), 2, grant("e0", 7)));
    assert_eq!(named(&control, Time(1)), [0, 1]);
    assert!(named(&control, Time(0) + AGES).is_empty(), "long after the last such slot");
}
