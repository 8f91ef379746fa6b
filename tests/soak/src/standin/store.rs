//! The stand-in for the platform's store.

use hollyspoke_tests::platform::{self, StoreMood};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Greeting, commands, write};

/// How the store is to behave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mood {
    /// It answers.
    Well,
    /// It refuses.
    Busy,
    /// It says nothing.
    Silent,
    /// It has forgotten its history.
    Forgetful,
    /// It does what it is asked, and its answers are lost.
    Lossy,
}

/// What the store is told.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Command {
    /// Behaves so from now on.
    Mood(Mood),
    /// Puts an object.
    Put {
        /// The kind.
        kind: String,
        /// The name.
        name: String,
        /// What is written.
        spec: Value,
    },
    /// Removes an object.
    Remove {
        /// The kind.
        kind: String,
        /// The name.
        name: String,
    },
}

/// What the store writes after each command: it is acknowledged.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Done {
    /// The number of the command, from 1 up.
    pub done: u64,
}

/// Serves until standard input closes.
pub fn serve() {
    platform::local(async {
        let store = platform::store().await;
        write(&Greeting { listening: store.address.to_string() });
        let mut commands = commands::<Command>();
        let mut done = 0;
        while let Some(command) = commands.recv().await {
            match command {
                Command::Mood(mood) => store.mood.set(match mood {
                    Mood::Well => StoreMood::Well,
                    Mood::Busy => StoreMood::Busy,
                    Mood::Silent => StoreMood::Silent,
                    Mood::Forgetful => StoreMood::Forgetful,
                    Mood::Lossy => StoreMood::Lossy,
                }),
                Command::Put { kind, name, spec } => store.put(&kind, &name, spec),
                Command::Remove { kind, name } => store.remove(&kind, &name),
            }
            done += 1;
            write(&Done { done });
        }
    });
}
