//! A driver of the reducer that reads events and writes effects as lines of JSON.
//!
//! Each line on standard input is `{"now": <microseconds>, "event": <event>}`; each effect is
//! printed on a line of its own. The driver makes no decisions and needs no part of the daemon.

#![expect(clippy::print_stdout, reason = "effects go to standard output")]

use std::io::BufRead;

use hollyspoke::event::Event;
use hollyspoke::key::Incarnation;
use hollyspoke::node::{Node, Settings};
use hollyspoke::time::Time;
use serde::Deserialize;

/// One line of input.
#[derive(Debug, Deserialize)]
struct Line {
    /// The time of the event, in microseconds.
    now: u64,
    /// The event.
    event: Event,
}

/// Passes each event to the reducer and prints the returned effects.
fn main() -> Result<(), Box<dyn std::error::Error>> {
    let settings = Settings {
        incarnation: Incarnation(1),
        name: "box-1".to_owned(),
        caller_address: "10.0.0.1:8000".to_owned(),
        peer_address: "10.0.0.1:8001".to_owned(),
        data_centre: "north".to_owned(),
        seeds: Vec::new(),
        random_seed: 1,
    };
    let mut node = Node::new(Time::ZERO, settings);
    for line in std::io::stdin().lock().lines() {
        let Line { now, event } = serde_json::from_str(&line?)?;
        for effect in node.step(Time::from_micros(now), event) {
            println!("{}", serde_json::to_string(&effect)?);
        }
    }
    Ok(())
}
