//! The daemon's continuous calls to the platform: the watch on the site and the list of boxes.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::event::Event;
use hollyspoke_wire::http::CallError;
use hollyspoke_wire::platform::{Object, Platform, SITE_KIND};
use rand::Rng;
use slog::{Logger, warn};
use tokio::time::Instant;

use crate::input::InputSender;

/// The shortest delay after a failed watch, and the shortest time between the starts of watches
/// that return no new version.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// The largest random addition to an interval, so that boxes don't retry at the same time.
const MAX_JITTER_MS: u64 = 400;

/// The shortest interval between two reads of the list of boxes.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// The object of the daemon's site in the platform's store.
#[derive(Debug, Clone)]
pub struct SiteObject {
    /// The client of the platform's store.
    pub platform: Platform,
    /// The site's name.
    pub site: String,
    /// The event queue of the reducer.
    pub inputs: InputSender,
    /// The log.
    pub log: Logger,
}

impl SiteObject {
    /// Reads the site once and reports it to the reducer.
    pub async fn fetch(self) {
        let answer = self.platform.get(SITE_KIND, &self.site).await;
        self.handle_answer(answer, &mut 0);
    }

    /// Watches the site until the task is aborted.
    pub async fn watch(self) {
        let mut after = 0;
        loop {
            let started_at = Instant::now();
            let answer = self.platform.watch(SITE_KIND, &self.site, after).await;
            let is_new_version = matches!(&answer, Ok(Some(object)) if object.version > after);
            if !self.handle_answer(answer, &mut after) {
                // From version 0 the next watch returns the current object immediately, which
                // shows that the platform is reachable again without waiting for a change.
                after = 0;
                let jitter = rand::rng().random_range(0..MAX_JITTER_MS);
                tokio::time::sleep(MIN_RETRY_INTERVAL + Duration::from_millis(jitter)).await;
            }
            // Prevents a busy loop when the platform answers immediately without a new version.
            // A new version is followed by a watch without delay: the store may fail after a write.
            if !is_new_version {
                tokio::time::sleep_until(started_at + MIN_RETRY_INTERVAL).await;
            }
        }
    }

    /// Reports an answer to the reducer. Returns false when the call failed.
    fn handle_answer(&self, answer: Result<Option<Object>, CallError>, after: &mut u64) -> bool {
        let object = match answer {
            Ok(object) => object,
            Err(error) => {
                warn!(self.log, "the platform does not answer"; "error" => %error);
                self.inputs.send_event(Event::StoreReachable(false));
                return false;
            }
        };
        self.inputs.send_event(Event::StoreReachable(true));
        let Some(object) = object else { return true };
        *after = object.version;
        match object.site() {
            Ok(versioned) => self.inputs.send_event(Event::Site(Arc::new(versioned))),
            Err(error) => {
                // Only `hollyspoke apply` writes sites, and it validates them first.
                let error = format!("{error:?}");
                warn!(self.log, "a site in the store can't be read"; "error" => error);
            }
        }
        true
    }
}

/// Reads the list of boxes periodically until the task is aborted.
pub async fn poll_boxes(platform: Platform, inputs: InputSender) {
    loop {
        if let Ok(listed) = platform.boxes().await {
            inputs.send_event(Event::Listed(listed));
        }
        let jitter = rand::rng().random_range(0..MAX_JITTER_MS);
        tokio::time::sleep(LIST_INTERVAL + Duration::from_millis(jitter)).await;
    }
}
