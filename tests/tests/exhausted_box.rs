//! A box that lacks descriptors for its calls blames no engine and no upstream.

use std::time::Duration;

use hollyspoke::effect::{CallerReply, Effect};
use hollyspoke::event::{CallId, Event, Reply};
use hollyspoke::key::Ticket;
use hollyspoke::outcome::ProblemKind;
use hollyspoke_model::world::hold;
use hollyspoke_tests::single_box::SingleBox;

/// The failures after which an engine is taken out of service, and some more.
const FAILURE_COUNT: u64 = 8;

/// Returns the reply to a call that the box could not make.
fn exhausted() -> Reply {
    Reply::Exhausted { detail: "no descriptors left".to_owned() }
}

/// Returns the ticket of the only call to an engine or upstream among effects.
fn called(effects: &[Effect]) -> Option<Ticket> {
    effects.iter().find_map(|it| match it {
        Effect::Prefill { ticket, .. } | Effect::Call { ticket, .. } => Some(*ticket),
        _ => None,
    })
}

/// Engines stay in service, and the next request is sent as soon as the box can.
#[test]
fn own_shortage_ejects_engine() {
    let mut single = SingleBox::start();
    for call in 0..FAILURE_COUNT {
        let mut effects = single.generate(CallId(call));
        while let Some(ticket) = called(&effects) {
            let reply = exhausted();
            effects = single.step(Duration::ZERO, Event::Upstream { ticket, reply });
            let ejects =
                |it: &Effect| matches!(it, Effect::Note(note) if note.contains("out of service"));
            assert!(!effects.iter().any(ejects), "{effects:?}");
        }
    }
    single.begin_stream();
}

/// A call that was not sent is refused as not run.
#[test]
fn unsent_call_failed() {
    let mut single = SingleBox::start();
    let arrival = Box::new(hold(1));
    let effects = single.step(Duration::ZERO, Event::Arrive { call: CallId(1), arrival });
    let ticket = called(&effects).expect("an upstream is called");
    let effects = single.step(Duration::ZERO, Event::Upstream { ticket, reply: exhausted() });
    let refused = effects.iter().any(|it| match it {
        Effect::Reply { reply: CallerReply::Problem(problem), .. } => {
            matches!(problem.kind, ProblemKind::NotRun(..)) && problem.retry_after.is_some()
        }
        _ => false,
    });
    assert!(refused, "{effects:?}");
}
