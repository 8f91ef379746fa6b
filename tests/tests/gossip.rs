//! Membership at the size of a large data centre: nobody is taken for dead who lives, and the
//! heartbeats stay within their part of the control budget.

use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_model::load::Plan;
use hollyspoke_model::world::{Action, World};

/// The boxes of a large data centre.
const BOXES: usize = 75;

/// Runs a data centre without load.
fn run(seconds: u64, faults: &[(u64, Action)]) -> Result<World, String> {
    let plan = Plan { data_centres: vec!["north".to_owned()], ..Plan::default() };
    let mut world = World::new(plan.site(), BOXES, 5);
    for (at, action) in faults {
        world.schedule_action(Time::from_millis(at * 1000), action.clone());
    }
    world.run(Time::ZERO + Duration::from_secs(seconds)).map_err(|it| it.to_string())?;
    Ok(world)
}

/// Gives how many boxes each box takes for alive, the least and the most.
fn known(world: &World, of: impl Iterator<Item = usize>) -> (usize, usize) {
    let counts: Vec<usize> =
        of.filter_map(|it| world.node(it)).map(|it| it.status().boxes.len()).collect();
    (counts.iter().copied().min().unwrap_or(0), counts.iter().copied().max().unwrap_or(0))
}

/// All boxes find each other, and stay known for a minute.
#[test]
fn live_box_found_dead() -> Result<(), String> {
    let world = run(70, &[])?;
    assert_eq!(known(&world, 0..BOXES), (BOXES, BOXES));
    let silent: Vec<_> = world.notes.iter().filter(|it| it.1.contains("is silent")).collect();
    assert!(silent.is_empty(), "{silent:?}");
    Ok(())
}

/// Five boxes die at once; all others know within a few seconds.
#[test]
fn dead_box_missed() -> Result<(), String> {
    let faults: Vec<(u64, Action)> = (0..5).map(|it| (20, Action::Crash(it))).collect();
    let world = run(27, &faults)?;
    assert_eq!(known(&world, 5..BOXES), (BOXES - 5, BOXES - 5));
    Ok(())
}
