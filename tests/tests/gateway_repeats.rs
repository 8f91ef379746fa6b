//! How often requests are sent to one more engine, at one box and over all of them.

use hollyspoke_gateway::effect::{Effect, Note};
use hollyspoke_gateway::event::{CallEvent, Event};
use hollyspoke_tests::gateway::{World, ran, request};

/// Has a safe request fail at its first engine and succeed at the next, if there is one; gives
/// whether it was sent to another one, as the log tells.
fn repeat_noted(world: &mut World) -> Option<bool> {
    let (_, first) = world.sent(request("safe"));
    let event = Event::Call(first.call, CallEvent::Answered(ran(500)));
    let effects = world.gateway.step(world.now, event);
    for effect in &effects {
        if let Effect::Send(send) = effect {
            world.call(send.call, CallEvent::Answered(ran(200)));
        }
    }
    effects.iter().find_map(|it| match it {
        Effect::Note(Note::Repeat { is_sent, .. }) => Some(*is_sent),
        _ => None,
    })
}

/// An operator sees each repeat, and each that the budget did not allow.
#[test]
fn repeats_are_logged() {
    let mut world = World::new();
    let noted: Vec<_> = (0..200).map(|_| repeat_noted(&mut world)).collect();
    assert_eq!(noted[0], Some(true));
    assert_eq!(noted[199], Some(false));
}
