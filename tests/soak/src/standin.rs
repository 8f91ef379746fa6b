//! The stand-ins that run as processes of their own. They take commands on standard input and write
//! what they see to standard output, a line of JSON each, so that nothing is lost when they are
//! killed.

pub mod engine;
pub mod store;

use std::io::BufRead;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

/// What a stand-in writes first.
#[derive(Debug, Clone, Serialize, serde::Deserialize)]
pub struct Greeting {
    /// Where it listens.
    pub listening: String,
}

/// Writes a line.
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
                // An error says that the stand-in is about to end.
                _ = sender.send(command);
            }
        }
        // Whoever started the stand-in is gone.
        std::process::exit(0);
    });
    receiver
}
