//! Engines that say in their answers that they are about to leave get nothing more.
//!
//! While the store was away for 13 s, one of three engines said in each answer that it leaves; its
//! entry could not be written. Boxes read the entry alone: with `call sent` lines up to the end, and no
//! line on the engine, one sent it requests 2,021 and 2,033 ms after it had passed such an answer on,
//! and all six boxes sent it 82 in the 13 s.

use std::time::Duration;

use hollyspoke_tests::fleet::Fleet;
use hollyspoke_tests::gateway::PLAIN;
use hollyspoke_tests::terms::DRAIN;

#[test]
fn engine_that_leaves_gets_nothing() {
    let mut fleet = Fleet::settled(6, 1);
    let leaving = fleet.engines_of(PLAIN)[0];
    fleet.leave([leaving]);
    fleet.run(Duration::from_secs(15));
    assert_eq!(fleet.terms.late(DRAIN), 0, "later than {DRAIN:?}");
}
