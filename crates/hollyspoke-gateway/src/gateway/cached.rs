//! The choice of an engine for a request that comes again: its prompt may still lie in the memory
//! of an engine that has read it.

use super::Gateway;
use super::start::NextCall;
use crate::directory::Record;
use crate::effect::{Prompt, Task};
use crate::engine::{EngineKey, Stage};
use crate::in_flight::InFlight;
use crate::placement::Selector;
use crate::route::Staged;

impl Gateway {
    /// Chooses the next call of a request whose prompt some engine keeps: that engine if it
    /// generates and has room, else another one that takes the prompt from there.
    pub(super) fn next_cached(
        &self,
        in_flight: &InFlight,
        view: &Selector<'_>,
        staged: &Staged,
    ) -> Option<NextCall> {
        if in_flight.source.is_some() {
            return None;
        }
        let prompt = in_flight.request.prompt?;
        let keepers = self.prompts.caching_engines(prompt).filter(|&it| !has_failed(in_flight, it));
        let keepers = keepers.filter_map(|it| self.directory.get(it));
        let keepers = keepers.filter(|it| !it.is_evacuated());
        let keepers: Vec<_> = keepers.filter(|it| !it.health.is_poor(self.now)).collect();
        let held = in_flight.request.mean_held_tokens();
        let generators = keepers.iter().filter(|it| it.engine.stage != Some(Stage::Prefill));
        // A kept prompt is no reason to wait for an engine in need: others read it in less.
        let at_once = generators.filter(|it| !view.needs_permit(it.engine.key));
        let own = at_once.filter(|it| view.has_capacity(it, staged, held)).map(|it| call_to_holder(it));
        own.chain(keepers.iter().filter_map(|it| call_to_importer(it, view, staged, held))).next()
    }
}

/// Tells whether an engine has just failed a request that may have begun there.
fn has_failed(in_flight: &InFlight, engine: EngineKey) -> bool {
    in_flight.runs > 0 && in_flight.tried.last() == Some(&engine)
}

/// Makes the call to an engine that keeps the prompt.
fn call_to_holder(keeper: &Record) -> NextCall {
    let choice = Selector::choose_cached(keeper);
    NextCall { task: Task::Decode(Prompt::Cached), choice, decode_engine: None }
}

/// Makes the call to an engine that takes the prompt from the one that keeps it.
fn call_to_importer(
    keeper: &Record,
    view: &Selector<'_>,
    staged: &Staged,
    held: u64,
) -> Option<NextCall> {
    let choice = view.choose_decode(staged, held, &keeper.engine.data_centre, None)?;
    if choice.engine.key == keeper.engine.key {
        return None;
    }
    let prompt = Prompt::CachedAt(keeper.engine.address);
    Some(NextCall { task: Task::Decode(prompt), choice, decode_engine: None })
}
