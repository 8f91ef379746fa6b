//! Engines that send tokens which no run of the request can have made, without end.

use std::time::Duration;

use hollyspoke::effect::{CallerReply, Effect};
use hollyspoke::event::Reply;
use hollyspoke::generate::TOKEN_TIMEOUT;
use hollyspoke::key::Ticket;
use hollyspoke_tests::single_box::{MAX_TOKENS, SingleBox};

/// The time between two tokens.
const TOKEN_INTERVAL: Duration = Duration::from_millis(100);

/// Returns a token.
fn token(seq: u32) -> Reply {
    Reply::Token { seq, text: format!("t{seq}").into() }
}

/// Returns whether an attempt is begun.
fn begins_attempt(effects: &[Effect]) -> bool {
    effects.iter().any(|it| matches!(it, Effect::Prefill { .. }))
}

/// Returns whether an attempt is stopped.
fn stops(effects: &[Effect], attempt: Ticket) -> bool {
    effects.iter().any(|it| matches!(it, Effect::Cancel { ticket, .. } if *ticket == attempt))
}

/// Returns the caller's tokens.
fn delivered(effects: &[Effect]) -> usize {
    let is_token = |it: &&Effect| matches!(it, Effect::Reply { reply: CallerReply::Token(_), .. });
    effects.iter().filter(is_token).count()
}

/// A token that the caller has is no progress: the stream is as silent as without it.
#[test]
fn repeated_token_hides_silence() {
    let mut single = SingleBox::start();
    let attempt = single.begin_stream();
    single.reply(attempt, token(0));
    let mut effects = Vec::new();
    let mut waited = Duration::ZERO;
    while waited < TOKEN_TIMEOUT + TOKEN_INTERVAL * 2 {
        effects.extend(single.run(TOKEN_INTERVAL));
        effects.extend(single.reply(attempt, token(0)));
        waited += TOKEN_INTERVAL;
    }
    assert_eq!(delivered(&effects), 0, "the caller has it already");
    assert!(begins_attempt(&effects), "another engine is asked");
}

/// A token beyond the requested number is no part of the answer, and its engine's attempt ends.
#[test]
fn answer_without_end() {
    let mut single = SingleBox::start();
    let attempt = single.begin_stream();
    for seq in 0..MAX_TOKENS {
        assert_eq!(delivered(&single.reply(attempt, token(seq))), 1);
    }
    let effects = single.reply(attempt, token(MAX_TOKENS));
    assert_eq!(delivered(&effects), 0);
    assert!(stops(&effects, attempt), "{effects:?}");
}
