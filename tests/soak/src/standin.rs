//! The stand-ins, which run as separate processes. They read commands from standard input and write
//! observations to standard output, one line of JSON each, so that nothing is lost when they are
//! killed.

pub mod engine;
pub mod store;

use std::io::BufRead;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

/// The first line that a stand-in writes.
#[derive(Debug, Clone, Serialize, serde::Deserialize)]
pub struct Greeting {
    /// The address it listens on.
    pub listening: String,
}

/// Writes a line of JSON to standard output.
#[expect(clippy::print_stdout, reason = "the harness reads it")]
pub fn write(value: &impl Serialize) {
    if let Ok(line) = serde_json::to_string(value) {
        println!("{line}");
    }
}

/// Reads commands from standard input until it closes.
pub fn commands<T: DeserializeOwned + Send + 'static>() -> mpsc::UnboundedReceiver<T> {
    let (sender, receiver) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if let Ok(command) = serde_json::from_str(&line) {
                // The error means that the stand-in is about to end.
                _ = sender.send(command);
            }
        }
        // The process that started the stand-in has ended.
        std::process::exit(0);
    });
    receiver
}
