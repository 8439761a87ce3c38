use crate::revisions::Rule;

/// The losses at once that a fleet of this size outlives, beside the nodes left out.
fn check(listed: usize, holders: usize, unheard: usize) {
    assert_eq!(Rule::of(listed), Rule { holders, unheard }, "{listed} nodes");
}

#[test]
fn the_rule_follows_the_size_of_the_fleet() {
    check(1, 1, 0);
    check(2, 2, 0);
    check(3, 2, 0);
    check(5, 4, 0);
    check(9, 4, 0);
    check(40, 6, 2);
    check(850, 46, 42);
}

#[test]
fn from_three_nodes_on_one_loss_is_outlived_and_one_absence_blocks_nothing() {
    for listed in 3..1_000 {
        let rule = Rule::of(listed);
        assert!(rule.unheard + 1 < rule.holders, "{listed}: a loss would be forgotten");
        assert!(rule.holders < listed, "{listed}: one absent node would block changes");
    }
}
