//! The choice of an engine for a request whose prompt may still be cached by an engine from an
//! earlier run.

use super::Gateway;
use super::start::NextCall;
use crate::directory::Record;
use crate::effect::{Prompt, Task};
use crate::engine::{EngineKey, Stage};
use crate::in_flight::InFlight;
use crate::placement::Selector;
use crate::route::Staged;

impl Gateway {
    /// Chooses the next call of a request whose prompt is cached: the engine that has it if that
    /// one decodes and has free capacity, otherwise another engine that imports the prompt from it.
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
        let holders = self.prompts.caching_engines(prompt).filter(|&it| !has_failed(in_flight, it));
        let holders = holders.filter_map(|it| self.directory.get(it));
        // Requests of several services may share a prompt; the engines of each have their own model.
        let holders = holders.filter(|it| it.engine.service == in_flight.service.name);
        let holders = holders.filter(|it| !it.is_evacuated());
        let holders: Vec<_> = holders.filter(|it| !it.health.is_poor(self.now)).collect();
        let held = in_flight.request.mean_held_tokens();
        let decode_engines = holders.iter().filter(|it| it.engine.stage != Some(Stage::Prefill));
        // A cached prompt doesn't justify waiting for a rate-limited engine: others prefill it sooner.
        let at_once = decode_engines.filter(|it| !view.needs_permit(it.engine.key));
        let at_once = at_once.filter(|it| view.is_steady(it));
        let own =
            at_once.filter(|it| view.has_capacity(it, staged, held)).map(|it| call_to_holder(it));
        own.chain(holders.iter().filter_map(|it| call_to_importer(it, view, staged, held))).next()
    }
}

/// Returns whether an engine has just failed the request after the request may have started there.
fn has_failed(in_flight: &InFlight, engine: EngineKey) -> bool {
    in_flight.run_count > 0 && in_flight.tried.last() == Some(&engine)
}

/// Returns the call to an engine that has the prompt cached.
fn call_to_holder(holder: &Record) -> NextCall {
    let choice = Selector::choose_cached(holder);
    NextCall { task: Task::Decode(Prompt::Cached), choice, decode_engine: None }
}

/// Returns the call to another engine, which imports the prompt from the one that has it cached.
fn call_to_importer(
    holder: &Record,
    view: &Selector<'_>,
    staged: &Staged,
    held: u64,
) -> Option<NextCall> {
    let choice = view.choose_decode(staged, held, &holder.engine.data_centre, None)?;
    if choice.engine.key == holder.engine.key {
        return None;
    }
    let prompt = Prompt::CachedAt(holder.engine.address);
    Some(NextCall { task: Task::Decode(prompt), choice, decode_engine: None })
}
