use std::time::Duration;

use policy::{Ask, Grant, NodeId, PermitId, Reply, Reporter, Time};
use resources::Priority;

use crate::permits::{Action, Client, Directory, Place, Settlement, Wish};
use crate::wire::PermitMessage;

const ME: NodeId = NodeId(1);
const TIMEOUT: Duration = Duration::from_millis(10);

/// For each failure domain the nodes that dispatch, best first.
struct Table(Vec<(u64, Vec<NodeId>)>);

impl Directory for Table {
    fn candidates(&self, _service: u64, failure_domain: u64) -> Vec<NodeId> {
        let found = self.0.iter().find(|(domain, _)| *domain == failure_domain);
        found.map(|(_, nodes)| nodes.clone()).unwrap_or_default()
    }
}

fn wish() -> Wish {
    let ask = Ask {
        id: PermitId { node: ME, seq: 1 },
        reporter: Reporter { node: ME, failure_domain: 0 },
        route: 1,
        repeatable: true,
        priority: Priority::Interactive,
        organisation: 0,
        weight: 1,
        exclude: None,
        left: Duration::from_secs(1),
        wait: true,
    };
    let deadline = Time(0) + Duration::from_secs(1);
    Wish { ask, service: 9, failure_domains: vec![0, 1], deadline }
}

fn grant() -> Grant {
    Grant {
        addr: ([127, 0, 0, 1], 1).into(),
        stall_after: Duration::from_millis(100),
        trial: false,
    }
}

/// A line for each action, as `ask 2` or `direct`.
fn name(action: &Action) -> String {
    match action {
        Action::AskHere(Place::Direct, ..) => "direct".into(),
        Action::AskHere(place, ..) => format!("here {place:?}"),
        Action::Send(node, PermitMessage::Ask { wait, .. }) => format!("ask {} {wait}", node.0),
        Action::Send(node, PermitMessage::Release { .. }) => format!("release {}", node.0),
        Action::Send(..) => "other".into(),
        Action::Settle(_, Settlement::Granted(_, place)) => format!("granted by {place:?}"),
        Action::Settle(_, Settlement::Refused(_)) => "refused".into(),
    }
}

fn start(table: &Table) -> (Client, String) {
    let mut client = Client::new(ME, TIMEOUT);
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

fn two_domains() -> Table {
    Table(vec![(0, vec![NodeId(2), NodeId(3)]), (1, vec![NodeId(4)])])
}

#[test]
fn the_own_failure_domain_is_asked_first_then_the_others_then_it_waits() {
    let table = two_domains();
    let (mut client, first) = start(&table);
    assert_eq!(first, "ask 2 false");
    assert_eq!(reply(&mut client, &table, 2, Reply::Full), "ask 4 false");
    assert_eq!(reply(&mut client, &table, 4, Reply::Full), "ask 2 true");
    assert_eq!(reply(&mut client, &table, 2, Reply::Queued), "nothing");
    let granted = reply(&mut client, &table, 2, Reply::Granted(grant()));
    assert_eq!(granted, "granted by Peer(NodeId(2))");
}

#[test]
fn this_node_may_be_the_one_that_dispatches() {
    let table = Table(vec![(0, vec![ME]), (1, vec![])]);
    assert_eq!(start(&table).1, "here Own(0)");
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
    let table = two_domains();
    let (mut client, _) = start(&table);
    assert!(tick(&mut client, &table, 9).is_empty());
    assert_eq!(tick(&mut client, &table, 10), ["ask 3 false"]);
    assert_eq!(tick(&mut client, &table, 20), ["direct"]);
    // The next request does not wait for the silent nodes again.
    let mut other = wish();
    other.ask.id.seq = 2;
    let action = client.wish(Time(0) + Duration::from_millis(30), other, &table);
    assert_eq!(name(&action), "ask 4 false");
}

#[test]
fn a_grant_that_comes_too_late_is_given_back() {
    let table = two_domains();
    let (mut client, _) = start(&table);
    tick(&mut client, &table, 10);
    assert_eq!(reply(&mut client, &table, 2, Reply::Granted(grant())), "release 2");
    let granted = reply(&mut client, &table, 3, Reply::Granted(grant()));
    assert_eq!(granted, "granted by Peer(NodeId(3))");
    assert_eq!(reply(&mut client, &table, 3, Reply::Granted(grant())), "release 3");
}

#[test]
fn a_lost_queue_is_asked_again() {
    let table = two_domains();
    let (mut client, _) = start(&table);
    reply(&mut client, &table, 2, Reply::Full);
    reply(&mut client, &table, 4, Reply::Full);
    reply(&mut client, &table, 2, Reply::Queued);
    assert_eq!(tick(&mut client, &table, 300), ["ask 2 true"]);
}

#[test]
fn past_the_deadline_the_wish_is_refused() {
    let table = two_domains();
    let (mut client, _) = start(&table);
    assert_eq!(tick(&mut client, &table, 1_000), ["refused"]);
}

#[test]
fn a_withdrawn_wish_takes_no_slot() {
    let table = two_domains();
    let (mut client, _) = start(&table);
    assert_eq!(client.withdraw(wish().ask.id), Some(Place::Peer(NodeId(2))));
    assert_eq!(reply(&mut client, &table, 2, Reply::Granted(grant())), "release 2");
}
