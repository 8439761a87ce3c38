use std::time::Duration;

use policy::{Ask, Grant, NodeId, PermitId, Reply, Reporter, RequestKey, SendKind, Tier, Time};
use resources::Priority;

use crate::permits::{Action, Client, Contact, Directory, Place, Settlement, Wish};
use crate::wire::PermitMessage;

const ME: NodeId = NodeId(1);
const TIMEOUT: Duration = Duration::from_millis(10);

/// The nodes that dispatch, best first.
struct Table(Vec<NodeId>);

impl Directory for Table {
    fn candidates(&self, _service: u64) -> Vec<NodeId> {
        self.0.clone()
    }
}

fn wish() -> Wish {
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
    Wish { ask, service: 9, deadline: Time(0) + Duration::from_secs(1) }
}

fn grant() -> Grant {
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

/// A line for each action, as `ask 2` or `direct`.
fn name(action: &Action) -> String {
    match action {
        Action::AskHere(Place::Direct, ..) => "direct".into(),
        Action::AskHere(place, ..) => format!("here {place:?}"),
        Action::Send(node, PermitMessage::Ask { .. }) => format!("ask {}", node.0),
        Action::Send(node, PermitMessage::Release { .. }) => format!("release {}", node.0),
        Action::Send(..) => "other".into(),
        Action::Settle(_, Settlement::Granted(_, place)) => format!("granted by {place:?}"),
        Action::Settle(_, Settlement::Refused(_)) => "refused".into(),
        Action::Settle(_, Settlement::Rejected(_)) => "rejected".into(),
    }
}

fn start(table: &Table) -> (Client, String) {
    let mut client = Client::new(ME, TIMEOUT, Duration::from_secs(10));
    let action = client.wish(Time(0), wish(), table);
    let first = name(&action);
    (client, first)
}

fn reply(client: &mut Client, table: &Table, from: u64, reply: Reply) -> String {
    let place = Place::Peer(NodeId(from));
    let action = client.reply(Time(1), place, wish().ask.id, reply, table);
    action.as_ref().map_or("nothing".into(), name)
}

fn tick(client: &mut Client, table: &Table, ms: u64) -> Vec<String> {
    let now = Time(0) + Duration::from_millis(ms);
    client.tick(now, table).iter().map(name).collect()
}

/// The node that was asked first says nothing, and the next one is asked.
fn ask_in_vain(client: &mut Client, table: &Table) {
    let asked: Vec<String> =
        [10, 20, 30].into_iter().flat_map(|it| tick(client, table, it)).collect();
    assert_eq!(asked, ["ask 2", "ask 2", "release 2", "ask 3"]);
}

fn three_nodes() -> Table {
    Table(vec![NodeId(2), NodeId(3), NodeId(4)])
}

#[test]
fn the_first_node_is_asked_and_may_let_the_request_wait() {
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
fn a_hedge_does_not_look_further() {
    let table = three_nodes();
    let mut client = Client::new(ME, TIMEOUT, Duration::from_secs(10));
    let mut hedge = wish();
    hedge.ask.wait = false;
    client.wish(Time(0), hedge, &table);
    assert_eq!(reply(&mut client, &table, 2, Reply::Full), "refused");
}

#[test]
fn this_node_may_be_the_one_that_dispatches() {
    assert_eq!(start(&Table(vec![ME])).1, "here Own");
}

#[test]
fn with_nobody_to_ask_a_node_picks_for_itself() {
    let table = Table(Vec::new());
    let (client, first) = start(&table);
    assert_eq!(first, "direct");
    assert_eq!(client.direct, 1);
}

#[test]
fn a_silent_node_is_passed_over_for_its_successor_and_then_for_oneself() {
    let table = three_nodes();
    let (mut client, _) = start(&table);
    assert!(tick(&mut client, &table, 9).is_empty());
    // An ask or its answer may be lost.
    assert_eq!(tick(&mut client, &table, 10), ["ask 2"]);
    assert_eq!(tick(&mut client, &table, 20), ["ask 2"]);
    // So may be the answer that granted a slot.
    assert_eq!(tick(&mut client, &table, 30), ["release 2", "ask 3"]);
    assert_eq!(tick(&mut client, &table, 40), ["ask 3"]);
    assert_eq!(tick(&mut client, &table, 50), ["ask 3"]);
    assert_eq!(tick(&mut client, &table, 60), ["release 3", "direct"]);
    // The next request does not wait for the silent nodes again.
    let mut other = wish();
    other.ask.id.seq = 2;
    let action = client.wish(Time(0) + Duration::from_millis(70), other, &table);
    assert_eq!(name(&action), "ask 4");
}

#[test]
fn a_grant_that_comes_too_late_is_given_back() {
    let table = three_nodes();
    let (mut client, _) = start(&table);
    ask_in_vain(&mut client, &table);
    assert_eq!(reply(&mut client, &table, 2, Reply::Granted(grant())), "release 2");
    let granted = reply(&mut client, &table, 3, Reply::Granted(grant()));
    assert_eq!(granted, "granted by Peer(NodeId(3))");
    // The same slot once more: the request uses it.
    assert_eq!(reply(&mut client, &table, 3, Reply::Granted(grant())), "nothing");
    // The first node's slot is of no use, however often it is granted.
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
fn past_the_deadline_the_wish_is_refused() {
    let table = three_nodes();
    let (mut client, _) = start(&table);
    assert_eq!(tick(&mut client, &table, 1_000), ["release 2", "refused"]);
}

#[test]
fn a_withdrawn_wish_takes_no_slot() {
    let table = three_nodes();
    let (mut client, _) = start(&table);
    assert_eq!(client.withdraw(wish().ask.id), Some(Place::Peer(NodeId(2))));
    assert_eq!(reply(&mut client, &table, 2, Reply::Granted(grant())), "release 2");
}

#[test]
fn a_node_that_is_lost_and_regained_is_told_of_once_each() {
    let table = three_nodes();
    let (mut client, _) = start(&table);
    assert_eq!(client.take_contacts(), []);
    ask_in_vain(&mut client, &table);
    assert_eq!(client.take_contacts(), [Contact::Lost(NodeId(2))]);
    // Its answer comes after all; a second one is no news.
    reply(&mut client, &table, 2, Reply::Queued);
    reply(&mut client, &table, 2, Reply::Queued);
    assert_eq!(client.take_contacts(), [Contact::Regained(NodeId(2))]);
}

/// Found on reading, while asks that brought nothing came to be said again: the node that hands out slots answers each of
/// them, with the same slot. The second answer was taken for a slot that nobody wants, and the slot was given back under the
/// request that used it, which then counted nowhere.
#[test]
fn a_grant_that_is_said_twice_gives_back_no_slot_in_use() {
    let table = three_nodes();
    let (mut client, _) = start(&table);
    reply(&mut client, &table, 2, Reply::Queued);
    assert_eq!(tick(&mut client, &table, 300), ["ask 2"]);
    reply(&mut client, &table, 2, Reply::Granted(grant()));
    assert_eq!(reply(&mut client, &table, 2, Reply::Granted(grant())), "nothing");
}
