//! What became of keys, and what a box that leaves hands to its successor of them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::key::{Incarnation, Key};
use crate::outcome::{Answer, Problem};

/// What came of a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Ended {
    /// The tokens of a whole answer.
    Generated {
        /// The tokens.
        tokens: Vec<Arc<str>>,
        /// Why the engine stopped.
        reason: Arc<str>,
        /// The prompt's length, in tokens.
        prompt_tokens: u32,
    },
    /// A plain service's answer.
    Answered(Answer),
    /// No answer.
    Problem(Problem),
    /// It ended, but its answer is no longer kept.
    Dropped,
}

impl Ended {
    /// Gives about how much memory the answer holds, in bytes.
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

/// The keys that a leaving box hands to its successor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// The keys of one or more homes that are gone.
    pub rows: Vec<(Key, u64, Ended)>,
    /// The homes whose keys these are.
    pub homes: Vec<Incarnation>,
}
