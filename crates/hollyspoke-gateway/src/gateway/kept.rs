//! The choice of an engine for a request that comes again: its prompt may still lie in the memory
//! of an engine that has read it.

use super::Gateway;
use super::start::Next;
use crate::directory::Record;
use crate::effect::{Prompt, Task};
use crate::engine::{EngineKey, Stage};
use crate::flight::Flight;
use crate::placement::Selector;
use crate::route::Staged;

impl Gateway {
    /// Chooses the next call of a request whose prompt some engine keeps: that engine if it
    /// generates and has room, else another one that takes the prompt from there.
    pub(super) fn next_kept(
        &self,
        flight: &Flight,
        view: &Selector<'_>,
        staged: &Staged,
    ) -> Option<Next> {
        if flight.source.is_some() {
            return None;
        }
        let prompt = flight.request.prompt?;
        let keepers = self.prompts.caching_engines(prompt).filter(|&it| !has_failed(flight, it));
        let keepers = keepers.filter_map(|it| self.directory.get(it));
        let keepers = keepers.filter(|it| !it.is_evacuated());
        let keepers: Vec<_> = keepers.filter(|it| !it.health.is_poor(self.now)).collect();
        let held = flight.request.tokens_held();
        let generators = keepers.iter().filter(|it| it.engine.stage != Some(Stage::Prefill));
        // A kept prompt is no reason to wait for an engine in need: others read it in less.
        let at_once = generators.filter(|it| !view.needs_permit(it.engine.key));
        let own = at_once.filter(|it| view.has_capacity(it, staged, held)).map(|it| kept_by(it));
        own.chain(keepers.iter().filter_map(|it| taken_from(it, view, staged, held))).next()
    }
}

/// Tells whether an engine has just failed a request that may have begun there.
fn has_failed(flight: &Flight, engine: EngineKey) -> bool {
    flight.runs > 0 && flight.tried.last() == Some(&engine)
}

/// Makes the call to an engine that keeps the prompt.
fn kept_by(keeper: &Record) -> Next {
    let choice = Selector::choose_cached(keeper);
    Next { task: Task::Generate(Prompt::Kept), choice, generator: None }
}

/// Makes the call to an engine that takes the prompt from the one that keeps it.
fn taken_from(keeper: &Record, view: &Selector<'_>, staged: &Staged, held: u64) -> Option<Next> {
    let choice = view.choose_decode(staged, held, &keeper.engine.data_centre, None)?;
    if choice.engine.key == keeper.engine.key {
        return None;
    }
    let prompt = Prompt::KeptAt(keeper.engine.address);
    Some(Next { task: Task::Generate(prompt), choice, generator: None })
}
