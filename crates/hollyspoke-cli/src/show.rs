//! The versions in force, and the state of boxes, pools and upstreams.

use std::fmt::Write as _;

use hollyspoke::status::{PoolStatus, Status};
use hollyspoke_wire::http::{CallError, Client};
use serde::Serialize;

/// The status response of one box.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BoxAnswer {
    /// The name of the box.
    pub name: String,
    /// Its address for callers.
    pub address: String,
    /// Its status; absent if it was unreachable.
    pub status: Option<Status>,
}

/// Requests the status of one box and of all boxes that it knows.
///
/// # Errors
///
/// If the first box does not respond.
pub async fn fetch_all(client: &Client, address: &str) -> Result<Vec<BoxAnswer>, CallError> {
    let first: Status = client.get(&format!("http://{address}/v1/status")).await?;
    let mut answers = Vec::new();
    for known in &first.boxes {
        let url = format!("http://{}/v1/status", known.address);
        let status = client.get::<Status>(&url).await.ok();
        let (name, address) = (known.name.clone(), known.address.clone());
        answers.push(BoxAnswer { name, address, status });
    }
    answers.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(answers)
}

/// Formats the version in force at each box.
pub fn versions(answers: &[BoxAnswer]) -> String {
    let mut text = String::new();
    for answer in answers {
        let state = match &answer.status {
            Some(status) => format!("version {} of {}", status.site_version, status.site),
            None => "does not answer".to_owned(),
        };
        // Writing to a string can't fail.
        let _ = writeln!(text, "{:<16} {:<22} {state}", answer.name, answer.address);
    }
    text
}

/// Formats the state of boxes, pools and upstreams.
pub fn overview(answers: &[BoxAnswer]) -> String {
    let mut text = String::from("boxes\n");
    for answer in answers {
        let state = match &answer.status {
            Some(status) => box_state(status),
            None => "does not answer".to_owned(),
        };
        let _ = writeln!(text, "  {:<16} {:<22} {state}", answer.name, answer.address);
    }
    for (owner, pool) in answers.iter().flat_map(pools) {
        let _ = writeln!(
            text,
            "pool {} part {}, owned by {owner}: {} granted, {} waiting",
            pool.service, pool.part, pool.granted, pool.waiting
        );
        for engine in &pool.engines {
            let _ = writeln!(
                text,
                "  {:<20} {:<8} {} of {} tokens granted",
                engine.name, engine.state, engine.reserved_tokens, engine.memory_tokens
            );
        }
    }
    let first = answers.iter().find_map(|it| it.status.as_ref());
    for upstream in first.map(|it| it.upstreams.as_slice()).unwrap_or_default() {
        let _ = writeln!(text, "upstream {:<20} {}", upstream.name, upstream.state);
    }
    text
}

/// Returns the pools that a box owns, each with the name of the box.
fn pools(answer: &BoxAnswer) -> Vec<(&str, &PoolStatus)> {
    let status = answer.status.as_ref();
    let pools = status.map(|it| it.pools.as_slice()).unwrap_or_default();
    pools.iter().map(|it| (answer.name.as_str(), it)).collect()
}

/// Formats the state of a box in a few words.
fn box_state(status: &Status) -> String {
    let mut state = if status.leaving { "leaving" } else { "live" }.to_owned();
    if let Some(closed) = &status.closed {
        let _ = write!(state, " (closed: {closed})");
    }
    if !status.store_reachable {
        state.push_str(", the platform does not answer");
    }
    let _ = write!(state, ", {} requests, {} keys", status.requests, status.keys);
    state
}
