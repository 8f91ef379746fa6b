//! The platform's object interface that the router assumes: JSON over HTTP, with versions,
//! conditional writes and long-polling watches.

use std::time::Duration;

use hollyspoke::config::Versioned;
use hollyspoke::event::Listed;
use hollyspoke::store::{Answer, Operation};
use hollyspoke_file::Finding;
use serde::{Deserialize, Serialize};

use crate::http::{CallError, Client};

/// The status of a write whose expected version is not the current one.
pub const STATUS_CONFLICT: u16 = 409;

/// The status of a read without an object, or of a watch that ended without a change.
pub const STATUS_NOT_FOUND: u16 = 404;

/// The kind under which sites are stored.
pub const SITE_KIND: &str = "sites";

/// How long the platform holds a watch open. Two boxes of each data centre hold a watch, so a short
/// wait costs few reads; it also limits how long an unresponsive store goes unnoticed.
pub const WATCH_WAIT: Duration = Duration::from_secs(5);

/// The timeout of a read or a write.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// An object as the platform returns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The version of the object; each write increases it.
    pub version: u64,
    /// The stored value.
    pub value: String,
}

/// `PUT /v1/objects/<kind>/<name>`: writes an object if its version is the expected one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The expected version; zero if the object must not exist.
    pub expected: u64,
    /// The new value.
    pub value: String,
}

/// The response to a [`Put`] that was applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// The new version.
    pub version: u64,
}

/// A site file as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSite {
    /// The random identifier of the apply. If a response is lost, it shows whose write was applied.
    pub apply_id: String,
    /// The text of the file.
    pub text: String,
}

/// The reason why an object is not a valid site.
#[derive(Debug)]
pub enum SiteError {
    /// The value is not a [`StoredSite`].
    Value(String),
    /// The file has errors.
    File(Vec<Finding>),
}

impl Object {
    /// Parses the object as a site.
    ///
    /// # Errors
    ///
    /// If it is not a valid site.
    pub fn site(&self) -> Result<Versioned, SiteError> {
        let stored = self.stored_site()?;
        let site = hollyspoke_file::read(&stored.text).map_err(SiteError::File)?;
        Ok(Versioned { version: self.version, site })
    }

    /// Parses the object as a stored file, without checking the file.
    ///
    /// # Errors
    ///
    /// If the value is not a [`StoredSite`].
    pub fn stored_site(&self) -> Result<StoredSite, SiteError> {
        serde_json::from_str(&self.value).map_err(|it| SiteError::Value(it.to_string()))
    }
}

/// A client for the platform at one address.
#[derive(Debug, Clone)]
pub struct Platform {
    /// The HTTP client.
    client: Client,
    /// The platform's address.
    address: String,
}

impl Platform {
    /// Creates a client; no call is made yet.
    pub fn new(client: Client, address: impl Into<String>) -> Platform {
        Platform { client, address: address.into() }
    }

    /// Reads an object; returns `None` if there is none.
    ///
    /// # Errors
    ///
    /// If no response arrives in time.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, CallError> {
        let url = self.url(kind, name);
        absent_as_none(with_timeout(CALL_TIMEOUT, self.client.get(&url)).await)
    }

    /// Writes an object if its version is the expected one.
    ///
    /// # Errors
    ///
    /// If no response arrives in time, in which case the write may have been applied or may still
    /// be, or if the version is a different one ([`STATUS_CONFLICT`]).
    pub async fn put(&self, kind: &str, name: &str, put: &Put) -> Result<Written, CallError> {
        let url = self.url(kind, name);
        with_timeout(CALL_TIMEOUT, self.client.put(&url, put)).await
    }

    /// Waits until an object has a version above `after`; returns `None` if the wait ends before.
    ///
    /// # Errors
    ///
    /// If no response arrives.
    pub async fn watch(
        &self,
        kind: &str,
        name: &str,
        after: u64,
    ) -> Result<Option<Object>, CallError> {
        let wait = WATCH_WAIT.as_millis();
        let address = &self.address;
        let url = format!("http://{address}/v1/watch/{kind}/{name}?after={after}&wait_ms={wait}");
        absent_as_none(with_timeout(WATCH_WAIT + CALL_TIMEOUT, self.client.get(&url)).await)
    }

    /// Reads the platform's list of boxes.
    ///
    /// # Errors
    ///
    /// If no response arrives in time.
    pub async fn boxes(&self) -> Result<Vec<Listed>, CallError> {
        let url = format!("http://{}/v1/boxes", self.address);
        with_timeout(CALL_TIMEOUT, self.client.get(&url)).await
    }

    /// Executes an operation of the reducer.
    pub async fn execute(&self, operation: Operation) -> Answer {
        match operation {
            Operation::Get { kind, name } | Operation::Peek { kind, name } => {
                match self.get(&kind, &name).await {
                    Ok(Some(Object { version, value })) => Answer::Found { version, value },
                    Ok(None) => Answer::Absent,
                    Err(_) => Answer::Away,
                }
            }
            Operation::Put { kind, name, expected, value } => {
                match self.put(&kind, &name, &Put { expected, value }).await {
                    Ok(Written { version }) => Answer::Written { version },
                    Err(CallError::Status { status: STATUS_CONFLICT, .. }) => Answer::Conflict,
                    Err(_) => Answer::Away,
                }
            }
        }
    }

    /// Returns the URL of an object.
    fn url(&self, kind: &str, name: &str) -> String {
        format!("http://{}/v1/objects/{kind}/{name}", self.address)
    }
}

/// Converts the status of an absent object to `None`.
fn absent_as_none<T>(answer: Result<T, CallError>) -> Result<Option<T>, CallError> {
    match answer {
        Ok(value) => Ok(Some(value)),
        Err(CallError::Status { status: STATUS_NOT_FOUND, .. }) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Runs a call with a timeout.
async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    match tokio::time::timeout(timeout, call).await {
        Ok(answer) => answer,
        Err(_) => Err(CallError::Sent("it took too long".to_owned())),
    }
}
