//! Applying a file: one conditional write, and a lost answer settled by reading back.

use std::time::Duration;

use hollyspoke_wire::http::CallError;
use hollyspoke_wire::platform::{Object, Platform, Put, SITE_KIND, STATUS_CONFLICT, StoredSite};
use similar::TextDiff;

/// How often a write or a read back is tried when no answer comes.
const MAX_ATTEMPTS: u32 = 8;

/// How long to wait between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// How an apply ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The file was accepted.
    Accepted {
        /// The version under which it is in force.
        version: u64,
    },
    /// Another operator was first; nothing was written.
    Conflict {
        /// The version in force.
        version: u64,
        /// What differs, as a unified diff from the file in force to this one.
        diff: String,
    },
    /// No answer came, and reading back did not settle it either.
    Unknown {
        /// The last error.
        error: String,
    },
}

/// One apply under way.
#[derive(Debug)]
struct Apply<'a> {
    /// The platform.
    platform: &'a Platform,
    /// The site's name.
    site: &'a str,
    /// The file's text.
    text: &'a str,
    /// The number drawn for this apply.
    apply_id: String,
}

/// Writes a file if the version in force is the one seen; without one, the version of this moment
/// counts as seen.
///
/// The file must have been checked before.
pub async fn apply(platform: &Platform, site: &str, text: &str, seen: Option<u64>) -> Applied {
    let apply_id = format!("{:032x}", rand::random::<u128>());
    let apply = Apply { platform, site, text, apply_id };
    apply.run(seen).await
}

impl Apply<'_> {
    /// Reads, writes, and reads back until the outcome is known.
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
                // The next read tells whose write it was.
                Err(call_error) if call_error.status() == Some(STATUS_CONFLICT) => {}
                Err(call_error) => {
                    error = call_error.to_string();
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        Applied::Unknown { error }
    }

    /// Writes the file. The same write may be made again: it takes effect at most once, since the
    /// version expected is gone then.
    async fn write(&self, expected: u64) -> Result<u64, CallError> {
        let stored = StoredSite { apply_id: self.apply_id.clone(), text: self.text.to_owned() };
        let value = serde_json::to_string(&stored);
        let value = value.map_err(|error| CallError::Connect(error.to_string()))?;
        let put = Put { expected, value };
        self.platform.put(SITE_KIND, self.site, &put).await.map(|it| it.version)
    }

    /// Gives the object's version if it is what this apply wrote.
    fn own_version(&self, current: Option<&Object>) -> Option<u64> {
        let object = current?;
        let stored = object.stored_site().ok()?;
        (stored.apply_id == self.apply_id).then_some(object.version)
    }

    /// Shows what another operator has put in force.
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
