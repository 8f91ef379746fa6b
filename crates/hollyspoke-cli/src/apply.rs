//! Applies a site file by one conditional write. After a lost response, it reads the object to find
//! the outcome.

use std::time::Duration;

use hollyspoke_wire::http::CallError;
use hollyspoke_wire::platform::{Object, Platform, Put, SITE_KIND, STATUS_CONFLICT, StoredSite};
use similar::TextDiff;

/// The maximum number of attempts to write or read while no response arrives.
const MAX_ATTEMPTS: u32 = 8;

/// The delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The outcome of an apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The file was accepted.
    Accepted {
        /// The version at which it is in force.
        version: u64,
    },
    /// Another operator's write was applied first; nothing was written.
    Conflict {
        /// The version in force.
        version: u64,
        /// A unified diff from the file in force to this one.
        diff: String,
    },
    /// No response arrived, and reading the object did not show the outcome either.
    Unknown {
        /// The last error.
        error: String,
    },
}

/// An apply in progress.
#[derive(Debug)]
struct Apply<'a> {
    /// The platform that stores the file.
    platform: &'a Platform,
    /// The name of the site.
    site: &'a str,
    /// The text of the file.
    text: &'a str,
    /// The random identifier of this apply.
    apply_id: String,
}

/// Writes a file if the version in force is `seen`; without `seen`, the version that is in force
/// now is expected.
///
/// The file must have been checked already.
pub async fn apply(platform: &Platform, site: &str, text: &str, seen: Option<u64>) -> Applied {
    let apply_id = format!("{:032x}", rand::random::<u128>());
    let apply = Apply { platform, site, text, apply_id };
    apply.run(seen).await
}

impl Apply<'_> {
    /// Reads and writes until the outcome is known.
    async fn run(&self, seen: Option<u64>) -> Applied {
        let mut error = String::new();
        let mut expected_version = None;
        for _ in 0..MAX_ATTEMPTS {
            let current = match self.platform.get(SITE_KIND, self.site).await {
                Ok(current) => current,
                Err(call_error) => {
                    error = call_error.to_string();
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            if let Some(version) = self.own_version(current.as_ref()) {
                return Applied::Accepted { version };
            }
            let version = current.as_ref().map_or(0, |it| it.version);
            let expected = *expected_version.get_or_insert(seen.unwrap_or(version));
            if version != expected {
                return self.conflict(current);
            }
            match self.write(expected).await {
                Ok(version) => return Applied::Accepted { version },
                // The next read shows whose write was applied.
                Err(call_error) if call_error.status() == Some(STATUS_CONFLICT) => {}
                Err(call_error) => {
                    error = call_error.to_string();
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        Applied::Unknown { error }
    }

    /// Writes the file. Repeating the write is safe: it is applied at most once, since the first
    /// one changes the object's version.
    async fn write(&self, expected: u64) -> Result<u64, CallError> {
        let stored = StoredSite { apply_id: self.apply_id.clone(), text: self.text.to_owned() };
        let value = serde_json::to_string(&stored);
        let value = value.map_err(|error| CallError::Connect(error.to_string()))?;
        let put = Put { expected, value };
        self.platform.put(SITE_KIND, self.site, &put).await.map(|it| it.version)
    }

    /// Returns the version of the object if this apply wrote it.
    fn own_version(&self, current: Option<&Object>) -> Option<u64> {
        let object = current?;
        let stored = object.stored_site().ok()?;
        (stored.apply_id == self.apply_id).then_some(object.version)
    }

    /// Builds the conflict with the file that another operator put in force.
    fn conflict(&self, current: Option<Object>) -> Applied {
        let version = current.as_ref().map_or(0, |it| it.version);
        let stored = current.and_then(|it| it.stored_site().ok());
        let theirs = stored.map(|it| it.text).unwrap_or_default();
        let diff = TextDiff::from_lines(theirs.as_str(), self.text)
            .unified_diff()
            .header("in force", "this file")
            .to_string();
        Applied::Conflict { version, diff }
    }
}
