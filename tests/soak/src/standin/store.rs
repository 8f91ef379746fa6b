//! The stand-in for the platform's store.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use hollyspoke_tests::platform::{self, Backup, Store, StoreBehaviour};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Greeting, commands, write};

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mood {
    /// It works normally.
    Well,
    /// It rejects requests.
    Busy,
    /// It does not answer.
    Silent,
    /// It has forgotten its history.
    Forgetful,
    /// It carries out requests, but its answers are lost.
    Lossy,
}

/// A command to the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Command {
    /// Behaves in this way from now on.
    Mood(Mood),
    /// Puts an object.
    Put {
        /// The kind.
        kind: String,
        /// The name.
        name: String,
        /// The content.
        spec: Value,
    },
    /// Restores the store from a copy.
    Restore {
        /// The age of the copy, in milliseconds.
        age_ms: u64,
    },
    /// Omits the era from answers from now on.
    HideEra,
    /// Removes an object.
    Remove {
        /// The kind.
        kind: String,
        /// The name.
        name: String,
    },
}

/// The acknowledgement that the store writes after each command.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Done {
    /// The number of the command, from 1 up.
    pub done: u64,
}

/// The interval at which the store is copied.
const BACKUP_EVERY: Duration = Duration::from_millis(250);

/// How many copies are kept.
const BACKUPS: usize = 40;

/// Copies the store periodically, the newest copy first.
async fn back_up(store: Store, backups: Rc<RefCell<VecDeque<Backup>>>) {
    loop {
        keep(&mut backups.borrow_mut(), store.back_up());
        tokio::time::sleep(BACKUP_EVERY).await;
    }
}

/// Adds a copy as the newest, and drops the oldest beyond [`BACKUPS`].
fn keep(backups: &mut VecDeque<Backup>, backup: Backup) {
    backups.push_front(backup);
    backups.truncate(BACKUPS);
}

/// Serves until standard input closes.
pub fn serve() {
    platform::local(async {
        let store = platform::store().await;
        store.era.set(Some(1));
        let backups = Rc::new(RefCell::new(VecDeque::new()));
        tokio::task::spawn_local(back_up(store.clone(), backups.clone()));
        write(&Greeting { listening: store.address.to_string() });
        let mut commands = commands::<Command>();
        let mut done = 0;
        while let Some(command) = commands.recv().await {
            match command {
                Command::Mood(mood) => store.behaviour.set(match mood {
                    Mood::Well => StoreBehaviour::Available,
                    Mood::Busy => StoreBehaviour::Unavailable,
                    Mood::Silent => StoreBehaviour::Unresponsive,
                    Mood::Forgetful => StoreBehaviour::HistoryLost,
                    Mood::Lossy => StoreBehaviour::AnswersLost,
                }),
                Command::Put { kind, name, spec } => store.put(&kind, &name, spec),
                Command::Restore { age_ms } => {
                    let ago = (age_ms / BACKUP_EVERY.as_millis() as u64) as usize;
                    let backups = backups.borrow();
                    if let Some(backup) = backups.get(ago).or(backups.back()) {
                        store.restore(backup);
                    }
                }
                Command::HideEra => store.era.set(None),
                Command::Remove { kind, name } => store.remove(&kind, &name),
            }
            done += 1;
            write(&Done { done });
        }
    });
}
