//! Site files, keys and requests that are drawn at random never break the readers.

use hollyspoke::key::{Incarnation, Key, Ticket};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The users' own file.
const BILBAO: &str = include_str!("../../examples/bilbao.toml");

/// Runs a property over drawn values from a fixed seed.
fn check<S: Strategy>(cases: u32, strategy: S, property: impl Fn(S::Value) -> Result<(), String>) {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let result = runner.run(&strategy, |value| property(value).map_err(TestCaseError::fail));
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Reads a text as a site file; every finding must lie inside the text and be drawable.
fn read(text: &str) -> Result<(), String> {
    for finding in hollyspoke_file::read(text).err().unwrap_or_default() {
        let (line, column) = finding.line_and_column(text);
        if finding.span.end > text.len() || line == 0 || column == 0 {
            return Err(format!("{finding:?} lies outside a text of {} bytes", text.len()));
        }
        finding.render("drawn.toml", text);
    }
    Ok(())
}

/// Any text gets findings or a site.
#[test]
fn any_text() {
    check(2000, ".{0,200}", |text| read(&text));
}

/// A good file with a piece cut out or put in gets findings or a site.
#[test]
fn damaged_file() {
    let damage = (0..BILBAO.len(), 0usize..60, "[\\[\\]\"=a-z0-9 \n.-]{0,12}");
    check(600, damage, |(at, cut, put)| {
        let end = (at + cut).min(BILBAO.len());
        read(&format!("{}{put}{}", &BILBAO[..at], &BILBAO[end..]))
    });
}

/// Keys and tickets are read as they are written.
#[test]
fn keys_and_tickets() {
    check(1000, (any::<u64>(), any::<u32>(), any::<u64>()), |(home, epoch, nonce)| {
        let key = Key { home: Incarnation(home), epoch, nonce };
        let ticket = Ticket { front: Incarnation(home), number: nonce };
        let same = key.to_string().parse() == Ok(key) && ticket.to_string().parse() == Ok(ticket);
        if same { Ok(()) } else { Err(format!("{key} or {ticket} is read as another one")) }
    });
    check(2000, ".{0,60}", |text| {
        // Whatever is read must be written as the same text, but for case and leading zeros.
        match text.parse::<Key>() {
            Ok(key) if key.to_string().parse() != Ok(key) => Err(format!("{text} is not stable")),
            Ok(_) | Err(_) => Ok(()),
        }
    });
}

/// Bodies of requests for tokens are read or refused.
#[test]
fn request_bodies() {
    use hollyspoke_daemon::openai::{Form, read};
    check(2000, prop::collection::vec(any::<u8>(), 0..200), |bytes| {
        let _ = read(Form::Chat, &bytes);
        let _ = read(Form::Text, &bytes);
        Ok(())
    });
    check(500, (".{0,300}", 1u32..40_000), |(prompt, max_tokens)| {
        let body = serde_json::json!({ "model": "m", "prompt": prompt, "max_tokens": max_tokens });
        match read(Form::Text, body.to_string().as_bytes()) {
            Ok(request) if *request.work.prompt != *prompt => Err("the prompt changed".to_owned()),
            Ok(_) => Ok(()),
            Err(_) if max_tokens > 32_768 => Ok(()),
            Err(error) => Err(error.detail),
        }
    });
}
