//! Tests of allowances: lost asks, silent owners, and remembered decisions.

use std::time::Duration;

use policy::{Decision, Delegation, NodeId, Time, owner_of};
use resources::Allowance;

use crate::{
    AllowanceAction, AllowanceClient, AllowanceMessage, AllowanceOutcome, AllowanceOwner,
    OwnerPhase,
};

const ME: NodeId = NodeId(1);
const TIMEOUT: Duration = Duration::from_millis(40);
const ORGANISATION: u64 = 7;
const ALLOWANCE: Allowance = Allowance { rate_per_s: 10.0, burst: 4.0 };
const GRANTED: AllowanceOutcome = AllowanceOutcome::Decided(Decision::Granted);

fn ms(it: u64) -> Time {
    Time(it * 1_000)
}

fn owners() -> Vec<NodeId> {
    vec![NodeId(2), NodeId(3), NodeId(4)]
}

fn client() -> AllowanceClient {
    AllowanceClient::new(ME, TIMEOUT, 100)
}

/// The node that an ask is sent to.
fn asked(actions: &[AllowanceAction]) -> Option<NodeId> {
    actions.iter().find_map(|it| match it {
        AllowanceAction::Send(node, AllowanceMessage::Ask { .. }) => Some(*node),
        _ => None,
    })
}

#[test]
fn an_answer_settles_an_ask_once() {
    let mut client = client();
    let (seq, action) = client.ask(ms(0), ORGANISATION, &owners());
    let owner = owner_of(ORGANISATION, &owners()).unwrap();
    assert_eq!(asked(&[action]), Some(owner));
    let settled = client.answer(ms(1), owner, seq, Decision::Granted);
    assert_eq!(settled, Some(AllowanceAction::Settle(seq, GRANTED)));
    assert_eq!(client.answer(ms(2), owner, seq, Decision::Granted), None);
    assert!(client.is_idle());
}

#[test]
fn a_silent_owner_is_asked_again_and_then_passed_over() {
    let mut client = client();
    let (_, action) = client.ask(ms(0), ORGANISATION, &owners());
    let first = asked(&[action]).unwrap();
    for at in [40, 80, 120, 160, 200] {
        assert_eq!(asked(&client.tick(ms(at), &owners())), Some(first), "{at} ms");
    }
    let actions = client.tick(ms(240), &owners());
    assert!(actions.contains(&AllowanceAction::PassOver(first)));
    assert!(asked(&actions).is_some_and(|it| it != first), "{actions:?}");
}

/// After two silent owners the node's own share decides; a refusal then does not prove that the
/// allowance is used up.
#[test]
fn a_node_that_reaches_no_owner_uses_its_own_share() {
    let mut client = client();
    let (seq, _) = client.ask(ms(0), ORGANISATION, &owners());
    let mut remaining = owners();
    let here = (1..20).find_map(|i| {
        let actions = client.tick(ms(i * 40), &remaining);
        for it in &actions {
            if let AllowanceAction::PassOver(node) = it {
                remaining.retain(|it| it != node);
            }
        }
        actions.into_iter().find(|it| matches!(it, AllowanceAction::AskHere { .. }))
    });
    let delegation = client.delegation(ms(900), &[ME], ME);
    let alone = AllowanceAction::AskHere { seq, organisation: ORGANISATION, delegation };
    assert_eq!(here, Some(alone));
    let refused = Decision::Exhausted { next: TIMEOUT, retry_after: TIMEOUT };
    let settled = client.answer(ms(900), ME, seq, refused);
    assert_eq!(settled, Some(AllowanceAction::Settle(seq, AllowanceOutcome::Unknown)));
}

#[test]
fn no_owner_is_asked_while_the_bucket_is_exhausted() {
    let mut client = client();
    let owner = owner_of(ORGANISATION, &owners()).unwrap();
    let (seq, _) = client.ask(ms(0), ORGANISATION, &owners());
    let (next, retry_after) = (Duration::from_millis(30), Duration::from_millis(200));
    client.answer(ms(1), owner, seq, Decision::Exhausted { next, retry_after });
    let (_, action) = client.ask(ms(10), ORGANISATION, &owners());
    let AllowanceAction::Settle(
        _,
        AllowanceOutcome::Decided(Decision::Exhausted { retry_after, .. }),
    ) = action
    else {
        panic!("{action:?}")
    };
    assert_eq!(retry_after, Duration::from_millis(191));
    let (_, other) = client.ask(ms(10), ORGANISATION + 1, &owners());
    assert!(asked(&[other]).is_some(), "another organisation");
    let (_, later) = client.ask(ms(32), ORGANISATION, &owners());
    assert!(asked(&[later]).is_some());
}

#[test]
fn owners_receive_delegations_of_a_node_without_asks() {
    let mut client = client();
    let delegations = |actions: Vec<AllowanceAction>| {
        let is_delegation = |it: &AllowanceAction| {
            matches!(it, AllowanceAction::Send(_, AllowanceMessage::Delegate(_)))
        };
        actions.iter().filter(|it| is_delegation(it)).count()
    };
    assert_eq!(delegations(client.tick(ms(0), &owners())), 3);
    assert_eq!(delegations(client.tick(ms(400), &owners())), 0);
    client.ask(ms(450), ORGANISATION, &owners());
    assert_eq!(
        delegations(client.tick(ms(500), &owners())),
        2,
        "the ask has just delegated to the third owner"
    );
}

#[test]
fn a_repeated_ask_takes_one_request() {
    let mut owner = AllowanceOwner::new(ME);
    owner.buckets.set_nodes(ms(0), 1);
    let bucket = (ORGANISATION, Some(ALLOWANCE));
    let mine = Delegation { owners: vec![ME], ..Delegation::default() };
    owner.buckets.delegate(ms(0), ME, &mine);
    for it in 1..=4 {
        owner.buckets.delegate(ms(it * 500), ME, &mine);
    }
    let mut granted = 0;
    for seq in 0..40 {
        let decisions =
            [0, 1, 2].map(|_| owner.ask(ms(2_000), ME, seq, bucket, &mine, OwnerPhase::Settled));
        assert!(decisions.iter().all(|it| *it == decisions[0]), "{decisions:?}");
        granted += u32::from(decisions[0] == Decision::Granted);
    }
    assert!((5..=15).contains(&granted), "{granted} of a burst of 4 and a little more");
}

#[test]
fn an_organisation_without_a_known_limit_is_granted_everything() {
    let mut owner = AllowanceOwner::new(ME);
    let decision = owner.ask(
        ms(0),
        NodeId(9),
        1,
        (ORGANISATION, None),
        &Delegation::default(),
        OwnerPhase::Settled,
    );
    assert_eq!(decision, Decision::Granted);
}
