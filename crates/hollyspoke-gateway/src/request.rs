//! A client's request as the reducer sees it: names, sizes and times, but no content.

use std::sync::Arc;
use std::time::Duration;

use crate::credential::KeyDigest;
use crate::prompt::PromptKey;
use crate::signature::Content;

/// The number of a request at one box; unique within an incarnation of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

/// The number of a call to an engine; unique within an incarnation of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey(pub u64);

/// A request that has been received completely.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// The client's own id of the request, for logs.
    pub id: Arc<str>,
    /// The requested host.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// How long the client waits, if specified.
    pub deadline: Option<Duration>,
    /// The tokens of the prompt, if the client specifies them.
    pub prompt_tokens: Option<u64>,
    /// The upper limit for the tokens of the answer, if the client specifies one.
    pub max_answer_tokens: Option<u64>,
    /// The client's estimate of the tokens of the answer.
    pub expected_answer_tokens: Option<u64>,
    /// The key of the prompt prefix, if the client specifies one.
    pub prompt: Option<PromptKey>,
    /// The names of the parts of the prompt that other requests may share, each of them once.
    pub shared_parts: Arc<[Arc<str>]>,
    /// The id of the last event that the client has, if it resumes a stream.
    pub last_event: Option<u64>,
    /// The id of the client's attempt that brought the first event of the stream that it resumes, if
    /// it names exactly one.
    pub resumed_id: Option<Arc<str>>,
    /// The digest of the client's API key, if it sends one.
    pub credential: Option<KeyDigest>,
    /// The size of the body.
    pub body_bytes: u64,
    /// The digest of the content.
    pub content: Content,
    /// Whether another box has passed the request on to this one.
    pub is_proxied: bool,
}

/// The body bytes that count as one token if the client doesn't specify the prompt's tokens.
const BYTES_PER_TOKEN: u64 = 4;

/// The assumed tokens of an answer if the client doesn't specify them.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

impl Request {
    /// Returns the tokens to prefill, estimated from the body if the client doesn't specify them.
    pub fn prompt_tokens_or_estimate(&self) -> u64 {
        self.prompt_tokens.unwrap_or(self.body_bytes / BYTES_PER_TOKEN).max(1)
    }

    /// Returns the tokens that the request is expected to hold in an engine's memory, averaged over
    /// its run: the prompt and half of the estimated answer. The requests at an engine are at all
    /// stages of their run, so that the average is what they hold together.
    pub fn mean_held_tokens(&self) -> u64 {
        self.prompt_tokens_or_estimate() + self.expected_answer_tokens_or_estimate() / 2
    }

    /// Returns the tokens that the request is expected to hold at the end of its run.
    pub fn final_held_tokens(&self) -> u64 {
        self.prompt_tokens_or_estimate() + self.expected_answer_tokens_or_estimate()
    }

    /// Returns the estimated tokens of the answer.
    pub fn expected_answer_tokens_or_estimate(&self) -> u64 {
        let max = self.max_answer_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
        self.expected_answer_tokens.map_or(max, |it| it.min(max))
    }
}
