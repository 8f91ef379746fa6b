//! The platform's object interface, as the router assumes it: JSON over HTTP, with versions,
//! conditional writes and waiting watches.

use std::time::Duration;

use hollyspoke::config::Versioned;
use hollyspoke::event::Listed;
use hollyspoke::store::{Answer, Operation};
use hollyspoke_file::Finding;
use serde::{Deserialize, Serialize};

use crate::http::{CallError, Client};

/// The status that says that the version was another one.
pub const STATUS_CONFLICT: u16 = 409;

/// The status that says that there is no such object, or that a watch saw no change.
pub const STATUS_NOT_FOUND: u16 = 404;

/// The kind under which sites are kept.
pub const SITE_KIND: &str = "sites";

/// How long a watch waits on the platform's side. Two boxes of each data centre hold one, so that
/// a short wait costs few reads, and it bounds how long a store that has fallen silent goes
/// unnoticed.
pub const WATCH_WAIT: Duration = Duration::from_secs(5);

/// How long a read or a write may take.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// An object as the platform gives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The object's version; each write gives a higher one.
    pub version: u64,
    /// Its value.
    pub value: String,
}

/// `PUT /v1/objects/<kind>/<name>`: write if the version is the one expected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The version expected; zero when the object must not be there.
    pub expected: u64,
    /// The new value.
    pub value: String,
}

/// The answer to a [`Put`] that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Written {
    /// The new version.
    pub version: u64,
}

/// A site's file as it is kept in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSite {
    /// The number drawn for this apply, by which a lost answer is settled.
    pub apply_id: String,
    /// The file's text.
    pub text: String,
}

/// Why an object is not a site.
#[derive(Debug)]
pub enum SiteError {
    /// The value is not a [`StoredSite`].
    Value(String),
    /// The file has mistakes.
    File(Vec<Finding>),
}

impl Object {
    /// Reads the object as a site.
    ///
    /// # Errors
    ///
    /// When it is none.
    pub fn site(&self) -> Result<Versioned, SiteError> {
        let stored = self.stored_site()?;
        let site = hollyspoke_file::read(&stored.text).map_err(SiteError::File)?;
        Ok(Versioned { version: self.version, site })
    }

    /// Reads the object as a stored file, without checking the file.
    ///
    /// # Errors
    ///
    /// When the value is not one.
    pub fn stored_site(&self) -> Result<StoredSite, SiteError> {
        serde_json::from_str(&self.value).map_err(|it| SiteError::Value(it.to_string()))
    }
}

/// The platform at one address.
#[derive(Debug, Clone)]
pub struct Platform {
    /// The client.
    client: Client,
    /// The platform's address.
    address: String,
}

impl Platform {
    /// Makes a handle; nothing is called yet.
    pub fn new(client: Client, address: impl Into<String>) -> Platform {
        Platform { client, address: address.into() }
    }

    /// Reads an object; nothing when there is none.
    ///
    /// # Errors
    ///
    /// When no answer comes in time.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, CallError> {
        let url = self.url(kind, name);
        absent_as_none(with_timeout(CALL_TIMEOUT, self.client.get(&url)).await)
    }

    /// Writes an object if its version is the one expected.
    ///
    /// # Errors
    ///
    /// When no answer comes in time, in which case the write may have taken effect or may yet do
    /// so, or when the version is another one ([`STATUS_CONFLICT`]).
    pub async fn put(&self, kind: &str, name: &str, put: &Put) -> Result<Written, CallError> {
        let url = self.url(kind, name);
        with_timeout(CALL_TIMEOUT, self.client.put(&url, put)).await
    }

    /// Waits until an object has a version above the one given; nothing when the wait is over.
    ///
    /// # Errors
    ///
    /// When no answer comes.
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
    /// When no answer comes in time.
    pub async fn boxes(&self) -> Result<Vec<Listed>, CallError> {
        let url = format!("http://{}/v1/boxes", self.address);
        with_timeout(CALL_TIMEOUT, self.client.get(&url)).await
    }

    /// Carries out one of the reducer's operations.
    pub async fn execute(&self, operation: Operation) -> Answer {
        match operation {
            Operation::Get { kind, name } => match self.get(&kind, &name).await {
                Ok(Some(Object { version, value })) => Answer::Found { version, value },
                Ok(None) => Answer::Absent,
                Err(_) => Answer::Away,
            },
            Operation::Put { kind, name, expected, value } => {
                match self.put(&kind, &name, &Put { expected, value }).await {
                    Ok(Written { version }) => Answer::Written { version },
                    Err(CallError::Status { status: STATUS_CONFLICT, .. }) => Answer::Conflict,
                    Err(_) => Answer::Away,
                }
            }
        }
    }

    /// Gives an object's address.
    fn url(&self, kind: &str, name: &str) -> String {
        format!("http://{}/v1/objects/{kind}/{name}", self.address)
    }
}

/// Takes the absence of an object as an answer.
fn absent_as_none<T>(answer: Result<T, CallError>) -> Result<Option<T>, CallError> {
    match answer {
        Ok(value) => Ok(Some(value)),
        Err(CallError::Status { status: STATUS_NOT_FOUND, .. }) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Waits for a call for so long.
async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    match tokio::time::timeout(timeout, call).await {
        Ok(answer) => answer,
        Err(_) => Err(CallError::Sent("it took too long".to_owned())),
    }
}
