use std::time::Duration;

use proptest::prelude::*;

use crate::{SendTime, StopTimes};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn time(left: u64, usual: u64) -> SendTime {
    SendTime { left: ms(left), usual: ms(usual) }
}

#[test]
fn nothing_is_passed_on_that_would_probably_be_cut() {
    let stop = StopTimes::new(ms(2_500), ms(5_800));
    assert!(stop.may_send(ms(2_400), time(6_000, 1_000)));
    assert!(!stop.may_send(ms(2_400), time(6_000, 4_000)));
    assert!(!stop.may_send(ms(5_000), time(6_000, 1_000)));
    assert!(stop.may_send(ms(5_000), time(300, 1_000)));
}

#[test]
fn what_arrives_when_the_balancer_has_removed_the_node_is_refused() {
    let stop = StopTimes::new(ms(2_500), ms(9_800));
    assert!(stop.takes_arrivals(ms(2_400)));
    assert!(!stop.takes_arrivals(ms(2_600)));
}

proptest! {
    #[test]
    fn each_stop_has_time_for_answers_and_ends_in_time(
        lag in 0_u64..20_000,
        end in 1_u64..200_000,
        since in 0_u64..200_000,
        left in 0_u64..100_000,
        usual in 0_u64..100_000,
    ) {
        let stop = StopTimes::new(ms(lag), ms(end));
        prop_assert!(stop.lag <= stop.answers && stop.answers < stop.end);
        prop_assert!(stop.last_send() <= stop.answers);
        let (since, time) = (ms(since), time(left, usual));
        if stop.may_send(since, time) {
            prop_assert!(since + time.left.min(time.usual) <= stop.answers);
        }
    }
}
