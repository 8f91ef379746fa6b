//! Many boxes that read the list of engines at once share the store's link. None of the reads is
//! given up while it makes progress.

use std::rc::Rc;
use std::time::Duration;

use hollyspoke_platform::DIALECT;
use hollyspoke_server::run::{self, Running};
use hollyspoke_tests::platform::{Action, Received, engine, local, log, settings, store, whole};

/// The number of boxes.
const BOX_COUNT: usize = 60;

/// The number of engines, which fit into one page of about 50 kB.
const ENGINE_COUNT: usize = 200;

/// The rate of the store's link, at which the lists of all boxes take some seconds.
const LINK_BYTES_PER_S: u32 = 1_000_000;

/// The time within which a site has to serve again after all boxes were lost.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Answers every request.
fn answers(to: &Received) -> Vec<Action> {
    vec![Action::Send(whole(to, "x"))]
}

#[test]
fn slow_page_abandoned() {
    local(async {
        let store = store().await;
        let engine = engine(Rc::new(answers)).await;
        store.configure(1);
        for number in 0..ENGINE_COUNT {
            store.list(&format!("e-{number:03}"), &engine, "plain", None);
        }
        store.link_bytes_per_s.set(Some(LINK_BYTES_PER_S));
        let mut boxes = Vec::new();
        for _ in 0..BOX_COUNT {
            let settings = settings(store.address, Vec::new());
            boxes.push(run::start(&settings, DIALECT, log()).await.expect("the ports are free"));
        }
        let is_ready = |it: &Running| it.node.with(|it| it.is_ready());
        let all_ready = async {
            while !boxes.iter().all(is_ready) {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let is_in_time = tokio::time::timeout(RECOVERY_TIME, all_ready).await.is_ok();
        let ready = boxes.iter().filter(|it| is_ready(it)).count();
        assert!(is_in_time, "{ready} of {BOX_COUNT} boxes are ready");
    });
}
