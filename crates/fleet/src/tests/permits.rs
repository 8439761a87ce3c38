use std::time::Duration;

use policy::{Ask, Grant, NodeId, PermitId, Reply, Reporter, RequestKey, SendKind, Tier, Time};
use resources::Priority;

use crate::permits::{
    Directory, PermitAction, PermitClient, PermitOutcome, PermitRequest, Place, ReachabilityChange,
};
use crate::wire::PermitMessage;

pub(super) const ME: NodeId = NodeId(1);
pub(super) const TIMEOUT: Duration = Duration::from_millis(10);

/// The nodes that dispatch, best first.
struct Table(Vec<NodeId>);

impl Directory for Table {
    fn candidates(&self, _service: u64, _failure_domain: Option<u64>) -> Vec<NodeId> {
        self.0.clone()
    }

    fn failure_domain_of(&self, _service: u64, _endpoint: &str) -> Option<u64> {
        None
    }
}

pub(super) fn permit_request() -> PermitRequest {
    let ask = Ask {
        id: PermitId { node: ME, seq: 1 },
        reporter: Reporter { node: ME, failure_domain: 0 },
        route: 1,
        request: RequestKey::default(),
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
    };
    PermitRequest {
        ask,
        service: 9,
        failure_domain: None,
        deadline: Time(0) + Duration::from_secs(1),
    }
}

pub(super) fn grant() -> Grant {
    Grant {
        endpoint: "i-1".into(),
        started_ms: 0,
        addr: ([127, 0, 0, 1], 1).into(),
        stall_after: Duration::from_millis(100),
        hedge_after: Duration::from_millis(30),
        trial: false,
        tier: Tier::Good,
        health: Default::default(),
        is_watched: false,
        is_rate_limited: false,
    }
}

/// Describes an action in a few words, such as `ask 2` or `direct`.
pub(super) fn describe(action: &PermitAction) -> String {
    match action {
        PermitAction::AskHere { place: Place::Direct, .. } => "direct".into(),
        PermitAction::AskHere { place, .. } => format!("here {place:?}"),
        PermitAction::Send(node, PermitMessage::Ask { .. }) => format!("ask {}", node.0),
        PermitAction::Send(node, PermitMessage::DomainAsk { failure_domain, may_redirect, .. }) => {
            let suffix = if *may_redirect { ", may redirect" } else { "" };
            format!("ask {} in {failure_domain}{suffix}", node.0)
        }
        PermitAction::Send(node, PermitMessage::Release { .. }) => format!("release {}", node.0),
        PermitAction::Send(..) => "other".into(),
        PermitAction::Settle(_, PermitOutcome::Granted(_, place)) => {
            format!("granted by {place:?}")
        }
        PermitAction::Settle(_, PermitOutcome::Refused(_)) => "refused".into(),
        PermitAction::Settle(_, PermitOutcome::Rejected(_)) => "rejected".into(),
    }
}

fn start(table: &Table) -> (PermitClient, String) {
    let mut client = PermitClient::new(ME, TIMEOUT, Duration::from_secs(10));
    let action = client.request(Time(0), permit_request(), table);
    let first = describe(&action);
    (client, first)
}

fn reply(client: &mut PermitClient, table: &Table, from: u64, reply: Reply) -> String {
    let place = Place::Peer(NodeId(from));
    let action = client.reply(Time(1), place, permit_request().ask.id, reply, table);
    action.as_ref().map_or("nothing".into(), describe)
}

fn tick(client: &mut PermitClient, table: &Table, ms: u64) -> Vec<String> {
    let now = Time(0) + Duration::from_millis(ms);
    client.tick(now, table).iter().map(describe).collect()
}

/// The node that was asked first does not answer, and the next one is asked.
fn ask_without_answer(client: &mut PermitClient, table: &Table) {
    let asked: Vec<String> =
        [10, 20, 30].into_iter().flat_map(|it| tick(client, table, it)).collect();
    assert_eq!(asked, ["ask 2", "ask 2", "release 2", "ask 3"]);
}

fn three_nodes() -> Table {
    Table(vec![NodeId(2), NodeId(3), NodeId(4)])
}

#[test]
fn the_first_node_is_asked_and_may_queue_the_request() {
    let table = three_nodes();
    let (mut client, first) = start(&table);
    assert_eq!(first, "ask 2");
    assert_eq!(reply(&mut client, &table, 2, Reply::Queued), "nothing");
    let granted = reply(&mut client, &table, 2, Reply::Granted(grant()));
    assert_eq!(granted, "granted by Peer(NodeId(2))");
}

#[test]
fn a_node_that_does_not_dispatch_is_passed_over_at_once() {
    let table = three_nodes();
    let (mut client, _) = start(&table);
    assert_eq!(reply(&mut client, &table, 2, Reply::Full), "ask 3");
    assert_eq!(reply(&mut client, &table, 3, Reply::Full), "direct");
}

#[test]
fn a_refused_hedge_asks_no_other_node() {
    let table = three_nodes();
    let mut client = PermitClient::new(ME, TIMEOUT, Duration::from_secs(10));
    let mut hedge = permit_request();
    hedge.ask.wait = false;
    client.request(Time(0), hedge, &table);
    assert_eq!(reply(&mut client, &table, 2, Reply::Full), "refused");
}

#[test]
fn this_node_may_be_the_one_that_dispatches() {
    assert_eq!(start(&Table(vec![ME])).1, "here Own(None)");
}

#[test]
fn without_dispatching_nodes_a_node_picks_locally() {
    let table = Table(Vec::new());
    let (client, first) = start(&table);
    assert_eq!(first, "direct");
    assert_eq!(client.direct, 1);
}

#[test]
fn a_silent_node_is_passed_over_for_its_successor_and_then_for_a_local_pick() {
    let table = three_nodes();
    let (mut client, _) = start(&table);
    assert!(tick(&mut client, &table, 9).is_empty());
    // A single ask or its answer may be lost.
    assert_eq!(tick(&mut client, &table, 10), ["ask 2"]);
    assert_eq!(tick(&mut client, &table, 20), ["ask 2"]);
    // The lost answer may have granted a slot.
    assert_eq!(tick(&mut client, &table, 30), ["release 2", "ask 3"]);
    assert_eq!(tick(&mut client, &table, 40), ["ask 3"]);
    assert_eq!(tick(&mut client, &table, 50), ["ask 3"]);
    assert_eq!(tick(&mut client, &table, 60), ["release 3", "direct"]);
    // The next request does not wait for the silent nodes again.
    let mut other = permit_request();
    other.ask.id.seq = 2;
    let action = client.request(Time(0) + Duration::from_millis(70), other, &table);
    assert_eq!(describe(&action), "ask 4");
}

#[test]
fn a_late_grant_is_given_back() {
    let table = three_nodes();
    let (mut client, _) = start(&table);
    ask_without_answer(&mut client, &table);
    assert_eq!(reply(&mut client, &table, 2, Reply::Granted(grant())), "release 2");
    let granted = reply(&mut client, &table, 3, Reply::Granted(grant()));
    assert_eq!(granted, "granted by Peer(NodeId(3))");
    // A repeated grant of the same slot: the request uses the slot.
    assert_eq!(reply(&mut client, &table, 3, Reply::Granted(grant())), "nothing");
    // The first node's slot is never used, however often it is granted.
    assert_eq!(reply(&mut client, &table, 2, Reply::Granted(grant())), "release 2");
}

#[test]
fn a_lost_queue_is_asked_again() {
    let table = three_nodes();
    let (mut client, _) = start(&table);
    reply(&mut client, &table, 2, Reply::Queued);
    assert_eq!(tick(&mut client, &table, 300), ["ask 2"]);
}

#[test]
fn a_request_is_refused_after_its_deadline() {
    let table = three_nodes();
    let (mut client, _) = start(&table);
    assert_eq!(tick(&mut client, &table, 1_000), ["release 2", "refused"]);
}

#[test]
fn a_withdrawn_request_takes_no_slot() {
    let table = three_nodes();
    let (mut client, _) = start(&table);
    assert_eq!(client.withdraw(permit_request().ask.id), Some(Place::Peer(NodeId(2))));
    assert_eq!(reply(&mut client, &table, 2, Reply::Granted(grant())), "release 2");
}

#[test]
fn a_lost_and_regained_node_is_reported_once_each() {
    let table = three_nodes();
    let (mut client, _) = start(&table);
    assert_eq!(client.take_reachability_changes(), []);
    ask_without_answer(&mut client, &table);
    assert_eq!(client.take_reachability_changes(), [ReachabilityChange::Lost(NodeId(2))]);
    // A late answer regains the node; the second answer changes nothing.
    reply(&mut client, &table, 2, Reply::Queued);
    reply(&mut client, &table, 2, Reply::Queued);
    assert_eq!(client.take_reachability_changes(), [ReachabilityChange::Regained(NodeId(2))]);
}

/// Guards against releasing a slot in use. The dispatching node answers each repeated ask with the
/// same slot; the second answer was taken for an unwanted slot and the slot was released, so that
/// the running request was counted nowhere.
#[test]
fn a_repeated_grant_releases_no_slot_in_use() {
    let table = three_nodes();
    let (mut client, _) = start(&table);
    reply(&mut client, &table, 2, Reply::Queued);
    assert_eq!(tick(&mut client, &table, 300), ["ask 2"]);
    reply(&mut client, &table, 2, Reply::Granted(grant()));
    assert_eq!(reply(&mut client, &table, 2, Reply::Granted(grant())), "nothing");
}
