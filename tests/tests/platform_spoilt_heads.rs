//! Engines that spoil the heads of their answers: a client gets no such answer as a success.

use std::rc::Rc;

use hollyspoke_tests::framing::see;
use hollyspoke_tests::garbage::{first_then, plain_world, world};
use hollyspoke_tests::platform::{Action, Script, engine, local, node, status, store, whole};
use hollyspoke_tests::spoilt_heads::{Form, Media, check_failed, forms};

/// Returns a script that answers each request by a form, and keeps the connection or closes it.
fn spoil(form: &Form, media: Media, end: Option<Action>) -> Script {
    let form = form.clone();
    Rc::new(move |it| {
        let answer = Action::Send(form.answer(it, media));
        std::iter::once(answer).chain(end.clone()).collect()
    })
}

/// Plays each form with connections that are kept and that are closed.
fn check(method: &'static str, path: &'static str, media: Media) {
    for form in forms() {
        for end in [None, Some(Action::Close)] {
            let script = spoil(&form, media, end);
            let form = form.clone();
            local(async move {
                let world = match media {
                    Media::Text => plain_world(script).await,
                    Media::Events => world(script).await,
                };
                check_failed(&see(world.node.front, method, path).await, &form);
            });
        }
    }
}

#[test]
fn spoilt_head_of_get() {
    check("GET", "/safe/x", Media::Text);
}

#[test]
fn spoilt_head_of_post() {
    check("POST", "/unsafe/x", Media::Text);
}

#[test]
fn spoilt_head_of_stream() {
    check("POST", "/once/x", Media::Events);
}

#[test]
fn spoilt_head_of_resumable_stream() {
    check("POST", "/resumed/x", Media::Events);
}

/// A stream of a service without stages has no numbered events to check.
#[test]
fn spoilt_head_of_plain_stream() {
    for form in forms() {
        for end in [None, Some(Action::Close)] {
            let script = spoil(&form, Media::Events, end);
            let form = form.clone();
            local(async move {
                let world = plain_world(script).await;
                check_failed(&see(world.node.front, "GET", "/safe/x").await, &form);
            });
        }
    }
}

/// A request that may run again gets the answer of a sound engine.
#[test]
fn spoilt_head_fails_repeatable_request() {
    for form in forms() {
        local(async move {
            let sound: Script = Rc::new(|it| vec![Action::Send(whole(it, "sound"))]);
            let script = first_then(spoil(&form, Media::Text, None), sound);
            let store = store().await;
            store.configure(1);
            for id in ["e-1", "e-2"] {
                store.list(id, &engine(script.clone()).await, "plain", None);
            }
            let box_ = node(&store).await;
            let seen = see(box_.front, "GET", "/safe/x").await;
            assert_eq!((status(&seen.head), seen.body.as_str()), ("200", "sound"), "{form:?}");
        });
    }
}

/// An answer is whole although the start of another one follows it.
#[test]
fn surplus_answer_fails_whole_one() {
    local(async {
        let script: Script = Rc::new(|it| {
            let surplus = whole(it, "surplus");
            vec![Action::Send([whole(it, "answer"), surplus].concat()), Action::Close]
        });
        let world = plain_world(script).await;
        let seen = see(world.node.front, "POST", "/unsafe/x").await;
        assert_eq!((status(&seen.head), seen.body.as_str()), ("200", "answer"));
    });
}
