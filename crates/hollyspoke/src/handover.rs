//! Results of keys, and the handover of keys by a box that is shutting down to its successor.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::key::{Incarnation, Key};
use crate::outcome::{Answer, Problem};

/// The result of the request that ran under a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Ended {
    /// A complete generated answer.
    Generated {
        /// The tokens.
        tokens: Vec<Arc<str>>,
        /// The finish reason.
        reason: Arc<str>,
        /// The prompt's length, in tokens.
        prompt_tokens: u32,
    },
    /// The answer of a plain service.
    Answered(Answer),
    /// The request ended without an answer.
    Problem(Problem),
    /// The request ended, but its answer is no longer kept.
    Dropped,
}

impl Ended {
    /// Returns the approximate memory use of the answer, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        match self {
            Ended::Generated { tokens, .. } => tokens.iter().map(|it| it.len() + 32).sum(),
            Ended::Answered(answer) => {
                let headers = answer.headers.iter().map(|(name, value)| name.len() + value.len());
                answer.body.len() + headers.sum::<usize>()
            }
            Ended::Problem(problem) => problem.detail.len(),
            Ended::Dropped => 0,
        }
    }
}

/// The keys that a box hands over to its successor when it shuts down.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// The keys with the digests and results of their requests.
    pub rows: Vec<(Key, u64, Ended)>,
    /// The homes whose keys are handed over: the box itself, and those that it took over from.
    pub homes: Vec<Incarnation>,
}
