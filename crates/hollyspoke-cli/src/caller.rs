//! A caller, which requests the addresses of boxes, generates request keys and retries requests.
//!
//! A key names the box that the request is first sent to. If that connection never opened, nothing
//! was sent, and the next box gets a new key. Once any part may have been sent, the other boxes get
//! the same key; they ask its home or report that the outcome is unknown.

use std::time::Duration;

use bytes::Bytes;
use hollyspoke::address::{Answer, Choice};
use hollyspoke_wire::caller::{KEY, ONCE, PROBLEM_TYPE, Problem};
use hollyspoke_wire::http::{CallError, Client};
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::Instant;

/// The maximum number of attempts to send one request.
const MAX_ATTEMPTS: usize = 8;

/// The maximum delay before a request is sent again.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(2);

/// A caller with its list of boxes.
#[derive(Debug)]
pub struct Caller {
    /// The HTTP client.
    client: Client,
    /// The name of the caller, by which boxes are ranked for it.
    name: String,
    /// The boxes to request addresses from if no listed box responds.
    seeds: Vec<String>,
    /// The boxes to send requests to.
    boxes: Vec<Choice>,
    /// The time until which the list of boxes may be cached.
    valid_until: Option<Instant>,
}

/// One request to send.
#[derive(Debug, Clone)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The names and values of the headers.
    pub headers: Vec<(String, String)>,
    /// The request body.
    pub body: Bytes,
    /// Whether it must run at most once.
    pub once: bool,
}

/// The final outcome of a request.
#[derive(Debug)]
pub enum Outcome {
    /// A response, whose body may still be arriving.
    Answer(Response<Incoming>),
    /// An error response, which states whether the request ran.
    Problem(Problem),
    /// No box could be reached.
    Unreachable(String),
}

impl Caller {
    /// Creates a caller that knows only the boxes to request addresses from.
    pub fn new(name: impl Into<String>, seeds: Vec<String>) -> Caller {
        let (client, name) = (Client::new(), name.into());
        Caller { client, name, seeds, boxes: Vec::new(), valid_until: None }
    }

    /// Returns the boxes to use. It requests them again if the cached list has expired.
    ///
    /// # Errors
    ///
    /// If no box responds.
    pub async fn boxes(&mut self) -> Result<Vec<Choice>, CallError> {
        if self.valid_until.is_some_and(|until| Instant::now() < until) {
            return Ok(self.boxes.clone());
        }
        let known = self.boxes.iter().map(|it| it.address.clone());
        let asked: Vec<String> = known.chain(self.seeds.iter().cloned()).collect();
        let mut last = CallError::Connect("no box is known".to_owned());
        for address in asked {
            let url = format!("http://{address}/v1/addresses?caller={}", self.name);
            match self.client.get::<Answer>(&url).await {
                Ok(answer) if !answer.boxes.is_empty() => {
                    self.valid_until = Some(Instant::now() + Duration::from_millis(answer.keep_ms));
                    self.boxes = answer.boxes;
                    return Ok(self.boxes.clone());
                }
                Ok(_) => last = CallError::Connect("no box takes callers".to_owned()),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Sends a request, and sends it again as far as the rules of this module allow.
    pub async fn send(&mut self, call: &Call) -> Outcome {
        let mut last = Outcome::Unreachable("no box was tried".to_owned());
        // The key of a request that may have reached its home.
        let mut sent_key: Option<String> = None;
        let mut index = 0;
        for _ in 0..MAX_ATTEMPTS {
            let boxes = match self.boxes().await {
                Ok(boxes) => boxes,
                Err(error) => return Outcome::Unreachable(error.to_string()),
            };
            let choice = &boxes[index % boxes.len()];
            let key = sent_key.clone().unwrap_or_else(|| new_key(choice));
            match self.send_once(call, &choice.address, &key).await {
                Ok(response) => match split_problem(response).await {
                    Ok(answer) => return Outcome::Answer(answer),
                    Err(problem) if may_retry_at_other_box(&problem) => {
                        // The request was not run, so the next box gets it with a new key.
                        sent_key = None;
                        wait_to_retry(&problem).await;
                        last = Outcome::Problem(problem);
                    }
                    Err(problem) => return Outcome::Problem(problem),
                },
                Err(error) => {
                    if error.may_have_arrived() {
                        sent_key = Some(key);
                    }
                    last = Outcome::Unreachable(error.to_string());
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
            index += 1;
            if index >= boxes.len() {
                self.valid_until = None;
                index = 0;
            }
        }
        last
    }

    /// Sends a request to one box.
    async fn send_once(
        &self,
        call: &Call,
        address: &str,
        key: &str,
    ) -> Result<Response<Incoming>, CallError> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{address}{}", call.path))
            .header(KEY, key);
        if call.once {
            request = request.header(ONCE, "true");
        }
        for (name, value) in &call.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(Full::new(call.body.clone()))
            .map_err(|error| CallError::Connect(error.to_string()))?;
        if call.once {
            self.client.send_unpooled(request).await
        } else {
            self.client.send(request).await
        }
    }
}

/// Generates a key whose home is the given box.
fn new_key(choice: &Choice) -> String {
    // Keys that the home generates itself have the top bit set.
    let nonce = rand::random::<u64>() >> 1;
    format!("{}.{}.{nonce:x}", choice.incarnation, choice.epoch)
}

/// Separates problems from other responses.
async fn split_problem(response: Response<Incoming>) -> Result<Response<Incoming>, Problem> {
    let is_problem = response.headers().get("content-type").is_some_and(|it| it == PROBLEM_TYPE);
    if !is_problem {
        return Ok(response);
    }
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.map(|it| it.to_bytes()).unwrap_or_default();
    Err(serde_json::from_slice(&body).unwrap_or_else(|error| Problem {
        kind: "about:blank".to_owned(),
        status,
        title: "a problem that can't be read".to_owned(),
        detail: error.to_string(),
        ran: "unknown".to_owned(),
        retry_after_ms: None,
    }))
}

/// Returns whether another box may run a request that this one rejected without running it.
fn may_retry_at_other_box(problem: &Problem) -> bool {
    let retryable = ["leaving", "unavailable"];
    let slug = problem.kind.rsplit(':').next().unwrap_or_default();
    problem.ran == "no" && retryable.contains(&slug)
}

/// Waits for the delay that a rejection states, up to [`MAX_RETRY_WAIT`].
async fn wait_to_retry(problem: &Problem) {
    let retry_after = Duration::from_millis(problem.retry_after_ms.unwrap_or(0));
    tokio::time::sleep(retry_after.min(MAX_RETRY_WAIT)).await;
}
