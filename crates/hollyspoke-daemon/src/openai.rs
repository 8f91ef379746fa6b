//! The OpenAI-compatible interface: parses requests and formats answers.

use std::sync::Arc;

use hollyspoke::event::Generate;
use hollyspoke::pool::admission::BLOCK_TOKENS;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::problem::RequestError;

/// The default of `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// The largest `max_tokens` of a request.
const MAX_OUTPUT_TOKENS: u32 = 32_768;

/// The approximate number of bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// The largest number of a prompt's leading blocks that are digested.
const MAX_DIGESTED_BLOCKS_COUNT: usize = 32;

/// The kind of completion, by path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// A parsed request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The work for the reducer.
    pub work: Generate,
    /// Whether the answer is streamed token by token.
    pub stream: bool,
    /// The kind of completion, which decides the format of the answer.
    pub form: Form,
}

/// The fields of both forms that the router reads; others are ignored.
#[derive(Debug, Deserialize)]
struct Body {
    /// The model.
    model: String,
    /// The messages of a chat.
    #[serde(default)]
    messages: Option<Vec<Message>>,
    /// The prompt of a text.
    #[serde(default)]
    prompt: Option<Prompt>,
    /// The largest number of tokens to generate.
    #[serde(default)]
    max_tokens: Option<u32>,
    /// The newer name of `max_tokens`, which takes precedence.
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    /// Whether the answer is streamed token by token.
    #[serde(default)]
    stream: bool,
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
struct Message {
    /// The role of the author.
    role: String,
    /// The content of the message.
    content: Content,
}

/// The content of a message, in one of its two formats.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    /// One text.
    Text(String),
    /// Several parts, which are concatenated.
    Parts(Vec<Part>),
}

/// A part of a message.
#[derive(Debug, Deserialize)]
struct Part {
    /// The text; empty in parts of another type.
    #[serde(default)]
    text: String,
}

/// A prompt, in one of its two formats.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    /// One text.
    One(String),
    /// Several texts, which are concatenated.
    Many(Vec<String>),
}

/// Parses a request's body.
///
/// # Errors
///
/// When it is not the JSON that the form requires, or `max_tokens` is out of range.
pub fn read(form: Form, body: &[u8]) -> Result<Request, RequestError> {
    let body: Body = serde_json::from_slice(body).map_err(|error| {
        RequestError::malformed(format!("the body is not the JSON expected: {error}"))
    })?;
    let prompt = match form {
        Form::Chat => chat_prompt(body.messages)?,
        Form::Text => text_prompt(body.prompt)?,
    };
    let output_tokens =
        body.max_completion_tokens.or(body.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_OUTPUT_TOKENS).contains(&output_tokens) {
        let detail = format!("`max_tokens` must be from 1 to {MAX_OUTPUT_TOKENS}");
        return Err(RequestError::malformed(detail));
    }
    let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32;
    let work = Generate {
        model: body.model,
        prefix: prefix(&prompt),
        prompt: Arc::from(prompt),
        prompt_tokens,
        max_tokens: output_tokens,
    };
    Ok(Request { work, stream: body.stream, form })
}

/// Returns the prompt of a chat: a line with role and content for each message.
fn chat_prompt(messages: Option<Vec<Message>>) -> Result<String, RequestError> {
    let messages = messages.filter(|it| !it.is_empty());
    let Some(messages) = messages else {
        return Err(RequestError::malformed("`messages` must be a list that is not empty"));
    };
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match message.content {
            Content::Text(text) => prompt.push_str(&text),
            Content::Parts(parts) => parts.iter().for_each(|it| prompt.push_str(&it.text)),
        }
        prompt.push('\n');
    }
    Ok(prompt)
}

/// Returns the prompt of a text completion.
fn text_prompt(prompt: Option<Prompt>) -> Result<String, RequestError> {
    match prompt {
        Some(Prompt::One(text)) => Ok(text),
        Some(Prompt::Many(texts)) => Ok(texts.concat()),
        None => Err(RequestError::malformed("`prompt` is missing")),
    }
}

/// Returns the digests of a prompt's leading blocks. Each covers the prompt up to its block's end.
fn prefix(prompt: &str) -> Vec<u64> {
    let block = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
    let mut digest = 0;
    prompt
        .as_bytes()
        .chunks_exact(block)
        .take(MAX_DIGESTED_BLOCKS_COUNT)
        .map(|it| {
            digest = xxh3_64_with_seed(it, digest);
            digest
        })
        .collect()
}

/// The token counts of an answer.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Usage {
    /// The prompt's length, in tokens.
    pub prompt_tokens: u32,
    /// The answer's length, in tokens.
    pub completion_tokens: u32,
    /// The sum of both, in tokens.
    pub total_tokens: u32,
}

impl Usage {
    /// Creates the counts and their sum.
    pub fn new(prompt_tokens: u32, completion_tokens: u32) -> Usage {
        let total_tokens = prompt_tokens + completion_tokens;
        Usage { prompt_tokens, completion_tokens, total_tokens }
    }
}

/// Returns the body of a complete answer.
pub fn completion(request: &Request, id: &str, text: &str, reason: &str, usage: Usage) -> Value {
    let (object, choice) = match request.form {
        Form::Chat => {
            let message = json!({ "role": "assistant", "content": text });
            ("chat.completion", json!({ "index": 0, "message": message, "finish_reason": reason }))
        }
        Form::Text => {
            ("text_completion", json!({ "index": 0, "text": text, "finish_reason": reason }))
        }
    };
    let model = &request.work.model;
    json!({ "id": id, "object": object, "model": model, "choices": [choice], "usage": usage })
}

/// Returns one chunk of a streamed answer; the last one has the reason and no text.
pub fn chunk(request: &Request, id: &str, text: &str, reason: Option<&str>) -> Value {
    let (object, choice) = match request.form {
        Form::Chat => {
            let delta = if reason.is_some() { json!({}) } else { json!({ "content": text }) };
            let choice = json!({ "index": 0, "delta": delta, "finish_reason": reason });
            ("chat.completion.chunk", choice)
        }
        Form::Text => {
            ("text_completion", json!({ "index": 0, "text": text, "finish_reason": reason }))
        }
    };
    json!({ "id": id, "object": object, "model": request.work.model, "choices": [choice] })
}

/// Returns the body of the list of models.
pub fn models<'a>(names: impl Iterator<Item = &'a str>) -> Value {
    let data: Vec<Value> =
        names.map(|it| json!({ "id": it, "object": "model", "owned_by": "hollyspoke" })).collect();
    json!({ "object": "list", "data": data })
}
