//! Sends one request for the operator and prints the response as it arrives.

use std::io::Write;

use bytes::Bytes;
use eyre::WrapErr;
use http::Method;
use http_body_util::BodyExt;
use serde_json::json;

use crate::caller::{Call, Caller, Outcome};
use crate::exit::Exit;

/// The content of the request.
#[derive(Debug, Clone)]
pub enum Content {
    /// A request to generate tokens with a model.
    Generate {
        /// The name of the model.
        model: String,
        /// The text of the prompt.
        prompt: String,
        /// The maximum number of tokens.
        max_tokens: u32,
    },
    /// A request to a plain service.
    Plain {
        /// The HTTP method.
        method: Method,
        /// The path with its query.
        path: String,
        /// The request body.
        body: String,
    },
}

impl Content {
    /// Builds the request.
    fn call(&self, once: bool, headers: Vec<(String, String)>) -> Call {
        match self {
            Content::Generate { model, prompt, max_tokens } => {
                let body = json!({
                    "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
                });
                let (method, path) = (Method::POST, "/v1/completions".to_owned());
                Call { method, path, headers, body: Bytes::from(body.to_string()), once }
            }
            Content::Plain { method, path, body } => {
                let (method, path) = (method.clone(), path.clone());
                Call { method, path, headers, body: Bytes::from(body.clone()), once }
            }
        }
    }
}

/// Sends one request and prints the response.
///
/// # Errors
///
/// If the response breaks off or can't be printed.
pub async fn call(
    caller: &mut Caller,
    content: &Content,
    once: bool,
    headers: Vec<(String, String)>,
    out: &mut impl Write,
) -> eyre::Result<Exit> {
    match caller.send(&content.call(once, headers)).await {
        Outcome::Answer(response) => {
            let streamed = matches!(content, Content::Generate { .. });
            let body = response.into_body();
            let exit =
                if streamed { print_events(body, out).await? } else { print(body, out).await? };
            writeln!(out)?;
            Ok(exit)
        }
        Outcome::Problem(problem) => {
            writeln!(out, "{}", serde_json::to_string_pretty(&problem)?)?;
            Ok(if problem.ran == "unknown" { Exit::Unknown } else { Exit::Failed })
        }
        Outcome::Unreachable(reason) => {
            writeln!(out, "no box can be reached: {reason}")?;
            Ok(Exit::Failed)
        }
    }
}

/// Prints a response body.
async fn print(mut body: hyper::body::Incoming, out: &mut impl Write) -> eyre::Result<Exit> {
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.wrap_err("the answer broke off")?.into_data() {
            out.write_all(&data)?;
        }
    }
    Ok(Exit::Done)
}

/// Prints the texts of server-sent events as they arrive.
async fn print_events(mut body: hyper::body::Incoming, out: &mut impl Write) -> eyre::Result<Exit> {
    let mut buffer = String::new();
    let mut exit = Exit::Failed;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.wrap_err("the answer broke off")?.into_data() else { continue };
        buffer.push_str(&String::from_utf8_lossy(&data));
        while let Some((event, later)) = buffer.split_once("\n\n") {
            exit = print_event(event, out)?.unwrap_or(exit);
            buffer = later.to_owned();
        }
        out.flush()?;
    }
    Ok(exit)
}

/// Prints the text of one event. Returns the exit code if the event ends the response.
fn print_event(event: &str, out: &mut impl Write) -> eyre::Result<Option<Exit>> {
    let data = event.lines().find_map(|it| it.strip_prefix("data: ")).unwrap_or_default();
    if data == "[DONE]" {
        return Ok(Some(Exit::Done));
    }
    if event.starts_with("event: error") {
        writeln!(out, "\n{data}")?;
        return Ok(Some(Exit::Failed));
    }
    let chunk: serde_json::Value = serde_json::from_str(data).wrap_err("an event is no JSON")?;
    let text = chunk["choices"][0]["text"].as_str().unwrap_or_default();
    write!(out, "{text}")?;
    Ok(None)
}
