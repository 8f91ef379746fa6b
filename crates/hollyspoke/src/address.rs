//! The addresses of boxes that a caller should use.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::member::{Entry, Table};
use crate::rank;
use crate::site::DataCentreId;

/// How long a caller may cache an answer.
pub const ANSWER_TTL: Duration = Duration::from_secs(10);

/// The maximum number of boxes in an answer.
pub const MAX_CHOICES: usize = 4;

/// The answer to a caller that asks for addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// How long the caller may cache the answer, in milliseconds.
    pub keep_ms: u64,
    /// The boxes, the first choice first.
    pub boxes: Vec<Choice>,
}

/// One box in an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// The box's address for callers.
    pub address: String,
    /// The box's incarnation, the first part of a key, in hexadecimal.
    pub incarnation: String,
    /// The box's epoch, the second part of a key, in hexadecimal.
    pub epoch: String,
}

/// Ranks the boxes for a caller: those of its own data centre first, then the others as fallbacks.
///
/// The choices always include a box of another data centre if there is one, so that the caller
/// still has an address after the loss of a data centre.
pub fn answer(members: &Table, caller: &str, data_centre: Option<DataCentreId>) -> Answer {
    let local = data_centre.unwrap_or_else(|| members.my_data_centre());
    let subject = DataCentreId::of(caller).0;
    let mut boxes: Vec<&Entry> = members.live().collect();
    rank::order(subject, &mut boxes, |it| it.incarnation.0);
    let (mut chosen, remote): (Vec<&Entry>, Vec<&Entry>) =
        boxes.into_iter().partition(|it| it.data_centre == local);
    if !remote.is_empty() {
        chosen.truncate(MAX_CHOICES - 1);
    }
    chosen.extend(remote);
    chosen.truncate(MAX_CHOICES);
    Answer {
        keep_ms: ANSWER_TTL.as_millis() as u64,
        boxes: chosen.into_iter().map(choice).collect(),
    }
}

/// Returns the entry of a box in an answer.
fn choice(entry: &Entry) -> Choice {
    Choice {
        address: entry.caller_address.clone(),
        incarnation: entry.incarnation.to_string(),
        epoch: format!("{:x}", entry.beat.epoch),
    }
}
