//! Engines that turn requests away and say for how long they want nothing from the box that asked.
//!
//! One of three engines turned all away for 3 s at a time and said so. It got 312 requests in 9 s, up to
//! 57 in one second, where it had got 10 a second before: each box left it alone for 200 ms after a
//! refusal, and then an engine with nothing under way that tells a load of `0,0,6` was the best choice
//! again. 101 repeats were not allowed in five seconds, and 99 requests were refused while two engines
//! served.

use std::time::Duration;

use hollyspoke_tests::fleet::Fleet;
use hollyspoke_tests::gateway::PLAIN;
use hollyspoke_tests::terms::{MOST_WHILE_RESTING, Rests};

/// Three seconds of each six.
const HALF: Rests = Rests { span: Duration::from_secs(3), every: Duration::from_secs(6) };

#[test]
fn resting_engine_is_left_alone() {
    let mut fleet = Fleet::settled(6, 1);
    let resting = fleet.engines_of(PLAIN)[0];
    fleet.rest([resting], Some(HALF));
    fleet.run(Duration::from_secs(18));
    let most = fleet.terms.most_while_resting();
    assert!(fleet.terms.rest_count() > 0);
    assert!(most <= MOST_WHILE_RESTING, "{most} from one box while it rests");
}
