//! The daemon's standing calls to the platform: the watch on the site, and the list of boxes.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::event::Event;
use hollyspoke_wire::http::CallError;
use hollyspoke_wire::platform::{Object, Platform, SITE_KIND};
use rand::Rng;
use slog::{Logger, warn};
use tokio::time::Instant;

use crate::input::InputSender;

/// How long to wait after a failed watch, at least.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// How much longer at most, by chance, so that boxes don't come back together.
const MAX_JITTER_MS: u64 = 400;

/// How often the list of boxes is read.
const LIST_INTERVAL: Duration = Duration::from_secs(10);

/// The site that a daemon serves, in the platform's store.
#[derive(Debug, Clone)]
pub struct SiteObject {
    /// The platform.
    pub platform: Platform,
    /// The site's name.
    pub site: String,
    /// Where events go.
    pub inputs: InputSender,
    /// The log.
    pub log: Logger,
}

impl SiteObject {
    /// Reads the site once.
    pub async fn fetch(self) {
        let answer = self.platform.get(SITE_KIND, &self.site).await;
        self.handle_answer(answer, &mut 0);
    }

    /// Holds the watch until the task is dropped.
    pub async fn watch(self) {
        let mut after = 0;
        loop {
            let started_at = Instant::now();
            let answer = self.platform.watch(SITE_KIND, &self.site, after).await;
            let is_new_version = matches!(&answer, Ok(Some(object)) if object.version > after);
            if !self.handle_answer(answer, &mut after) {
                // The next watch answers at once with what is there, which shows that the
                // platform is back without waiting for a change.
                after = 0;
                let jitter = rand::rng().random_range(0..MAX_JITTER_MS);
                tokio::time::sleep(MIN_RETRY_INTERVAL + Duration::from_millis(jitter)).await;
            }
            // A platform that answers at once without news is not asked without end. After news
            // the watch is held again at once: the store may go away right after a write.
            if !is_new_version {
                tokio::time::sleep_until(started_at + MIN_RETRY_INTERVAL).await;
            }
        }
    }

    /// Takes an answer; false when the platform did not give one.
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
                // Only `hollyspoke apply` writes sites, and it checks them first.
                let error = format!("{error:?}");
                warn!(self.log, "a site in the store can't be read"; "error" => error);
            }
        }
        true
    }
}

/// Reads the list of boxes now and then, until the task is dropped.
pub async fn poll_boxes(platform: Platform, inputs: InputSender) {
    loop {
        if let Ok(listed) = platform.boxes().await {
            inputs.send_event(Event::Listed(listed));
        }
        let jitter = rand::rng().random_range(0..MAX_JITTER_MS);
        tokio::time::sleep(LIST_INTERVAL + Duration::from_millis(jitter)).await;
    }
}
