//! A client's request as the reducer sees it: names, sizes and times, never the bytes.

use std::sync::Arc;
use std::time::Duration;

use crate::credential::KeyDigest;
use crate::prompt::PromptKey;
use crate::signature::Content;

/// The number of a request at one box; never used twice in one life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

/// The number of a call to an engine; never used twice in one life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

/// A request that has come whole.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// The client's own id of the request, for logs.
    pub id: Arc<str>,
    /// The host that it names.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// How long the client waits, if it says so.
    pub deadline: Option<Duration>,
    /// The tokens of the prompt, if the client tells.
    pub prompt_tokens: Option<u64>,
    /// The most tokens of the answer, if the client tells.
    pub max_answer_tokens: Option<u64>,
    /// The tokens of the answer as the client guesses them.
    pub expected_answer_tokens: Option<u64>,
    /// The prompt's name, if the client tells.
    pub prompt: Option<PromptKey>,
    /// The last event that the client has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The digest of the client's key, if it sends one.
    pub credential: Option<KeyDigest>,
    /// The bytes of the body.
    pub body_bytes: u64,
    /// The digest of what it asks for.
    pub content: Content,
}

/// How many bytes of a body make one token where the client does not tell.
const BYTES_PER_TOKEN: u64 = 4;

/// The tokens of an answer where the client does not tell.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

impl Request {
    /// Gives the tokens to read, guessed from the body if the client does not tell.
    pub fn prompt_tokens_or_estimate(&self) -> u64 {
        self.prompt_tokens.unwrap_or(self.body_bytes / BYTES_PER_TOKEN).max(1)
    }

    /// Gives the tokens that the request is expected to hold in an engine's memory, in the mean
    /// over its run: the prompt and half of the answer as guessed. The requests at an engine are at
    /// all ages, so that the mean is what they hold together.
    pub fn mean_held_tokens(&self) -> u64 {
        let most = self.max_answer_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
        let guess = self.expected_answer_tokens.map_or(most, |it| it.min(most));
        self.prompt_tokens_or_estimate() + guess / 2
    }
}
