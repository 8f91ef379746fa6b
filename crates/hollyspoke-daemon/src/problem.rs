//! Problems in the format for callers: `application/problem+json` with a stable type.

use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderValue, Response, StatusCode, header};
use hollyspoke::outcome::{self, ProblemKind, Refusal};
use hollyspoke_wire::caller;

/// A request that could not be read or parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestError {
    /// The HTTP status.
    pub status: StatusCode,
    /// The last part of the problem's type URN.
    pub slug: &'static str,
    /// The description of the error.
    pub detail: String,
}

impl RequestError {
    /// Creates an error with status 400.
    pub fn malformed(detail: impl Into<String>) -> RequestError {
        RequestError { status: StatusCode::BAD_REQUEST, slug: "malformed", detail: detail.into() }
    }

    /// Returns the problem in the wire format.
    pub fn wire(&self) -> caller::Problem {
        caller::Problem {
            kind: format!("{}{}", caller::PROBLEM_BASE, self.slug),
            status: self.status.as_u16(),
            title: self.status.canonical_reason().unwrap_or("problem").to_owned(),
            detail: self.detail.clone(),
            ran: "no".to_owned(),
            retry_after_ms: None,
        }
    }
}

/// Returns a problem of the reducer in the wire format.
pub fn wire(problem: &outcome::Problem) -> caller::Problem {
    let (status, title, ran) = match &problem.kind {
        ProblemKind::NotRun(_, refusal) => {
            let (status, title) = status_and_title(*refusal);
            (status, title, "no")
        }
        ProblemKind::Failed => (StatusCode::BAD_GATEWAY, "the request failed", "failed"),
        ProblemKind::Unknown => {
            (StatusCode::GATEWAY_TIMEOUT, "nobody can tell whether the request ran", "unknown")
        }
        ProblemKind::Superseded => {
            (StatusCode::CONFLICT, "a later connection took the answer over", "unknown")
        }
    };
    caller::Problem {
        kind: format!("{}{}", caller::PROBLEM_BASE, problem.slug()),
        status: status.as_u16(),
        title: title.to_owned(),
        detail: problem.detail.clone(),
        ran: ran.to_owned(),
        retry_after_ms: problem.retry_after.map(|it| it.as_millis() as u64),
    }
}

/// Returns the HTTP status and the title of a refusal.
fn status_and_title(refusal: Refusal) -> (StatusCode, &'static str) {
    match refusal {
        Refusal::TooLate => (StatusCode::SERVICE_UNAVAILABLE, "the answer would come too late"),
        Refusal::Limited => (StatusCode::TOO_MANY_REQUESTS, "the tenant is over its limit"),
        Refusal::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, "no upstream can take it"),
        Refusal::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "this box takes nothing new"),
        Refusal::Invalid => (StatusCode::UNPROCESSABLE_ENTITY, "the request can't be served"),
        Refusal::NotFound => (StatusCode::NOT_FOUND, "nothing here serves it"),
        Refusal::StoreAway => {
            (StatusCode::SERVICE_UNAVAILABLE, "the platform's store does not answer")
        }
    }
}

/// Returns the HTTP response for a problem; `Retry-After` is rounded up to whole seconds.
pub fn response(problem: &caller::Problem) -> Response<Body> {
    let body = serde_json::to_vec(problem).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() =
        StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(caller::PROBLEM_TYPE));
    if let Some(millis) = problem.retry_after_ms {
        let seconds = Duration::from_millis(millis).as_secs_f64().ceil() as u64;
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
