//! The order in which waiting requests are served.

use resources::Priority;

use crate::Time;
use crate::queue::{Queue, Waiting};

fn queue(items: &[(&'static str, Priority, u64, u32)]) -> Queue<&'static str> {
    let mut queue = Queue::new();
    for (item, priority, organisation, weight) in items {
        queue.push(Waiting {
            item: *item,
            priority: *priority,
            organisation: *organisation,
            weight: *weight,
            deadline: Time(0),
            is_return: false,
        });
    }
    queue
}

fn check(items: &[(&'static str, Priority, u64, u32)], expected: &str) {
    let mut queue = queue(items);
    let mut order = Vec::new();
    while let Some(i) = queue.best(|_| true) {
        order.push(queue.take(i).item);
    }
    assert_eq!(order.join(" "), expected);
}

const I: Priority = Priority(0);
const B: Priority = Priority(1);

#[test]
fn interactive_work_goes_before_bulk_work() {
    check(
        &[("export", B, 1, 1), ("lookup", I, 1, 1), ("booking", I, 1, 1)],
        "lookup booking export",
    );
}

#[test]
fn organisations_take_turns_whatever_they_ask_for() {
    check(
        &[("a1", I, 1, 1), ("a2", I, 1, 1), ("a3", I, 1, 1), ("b1", I, 2, 1), ("b2", I, 2, 1)],
        "a1 b1 a2 b2 a3",
    );
}

#[test]
fn a_heavier_organisation_gets_more_turns() {
    check(
        &[
            ("a1", I, 1, 2),
            ("a2", I, 1, 2),
            ("a3", I, 1, 2),
            ("a4", I, 1, 2),
            ("b1", I, 2, 1),
            ("b2", I, 2, 1),
        ],
        "a1 b1 a2 a3 b2 a4",
    );
}

#[test]
fn one_that_does_not_fit_does_not_block_the_others() {
    let queue = queue(&[("trial only", I, 1, 1), ("any", I, 1, 1)]);
    assert_eq!(queue.best(|it| *it == "any"), Some(1));
    assert_eq!(queue.best(|_| false), None);
}
