//! External actions on the world: callers' requests and faults.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::config::Versioned;
use hollyspoke::event::{Arrival, CallId, Event, Generate, Work};
use hollyspoke::site::UpstreamId;

use crate::store::Faults;
use crate::world::World;

/// An external action on the world.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A caller sends a request.
    Send(Box<Sending>),
    /// A caller closes its connection.
    Disconnect(CallId),
    /// A box dies.
    Crash(usize),
    /// A dead box restarts.
    Restart(usize),
    /// A box pauses for a duration.
    Pause(usize, Duration),
    /// A box starts its planned stop.
    Leave(usize),
    /// The connection between two boxes is cut or restored.
    Cut(usize, usize, bool),
    /// The store's faults change.
    Store(Faults),
    /// The shares of messages that are lost and duplicated change.
    MessageFaults(f64, f64),
    /// An engine dies.
    KillEngine(UpstreamId),
    /// A dead engine restarts without streams.
    ReviveEngine(UpstreamId),
    /// An engine becomes slower by a factor.
    SlowEngine(UpstreamId, f64),
    /// An engine stands still for a duration, and goes on with what it holds.
    StillEngine(UpstreamId, Duration),
    /// Every link's rate becomes this share of its configured rate.
    SlowLinks(f64),
    /// Engines start or stop answering polls.
    AnswerPolls(bool),
    /// The shares of calls that a plain service refuses, and that it runs without answering, change.
    ServiceFaults(f64, f64),
    /// The store accepts the current site again, as a new version.
    Apply,
}

/// One send of a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Sending {
    /// The number of the call.
    pub call: CallId,
    /// The number of the request; several sends may share it.
    pub request: u64,
    /// The number of the box.
    pub at: usize,
    /// The request as it arrives. Its prompt or body holds the request's number.
    pub arrival: Arrival,
}

impl World {
    /// Applies an external action.
    pub(super) fn apply_action(&mut self, action: Action) {
        match action {
            Action::Send(sending) => self.send_request(*sending),
            Action::Disconnect(call) => self.disconnect(call),
            Action::Crash(number) => self.stop(number),
            Action::Restart(number) => self.restart(number),
            Action::Pause(number, time) => {
                self.slots[number].paused_until = Some(self.now + time);
            }
            Action::Leave(number) => {
                let generation = self.slots[number].generation;
                self.deliver(number, generation, Event::Leave);
            }
            Action::Cut(a, b, cut) => self.network.set_cut(a, b, cut),
            Action::Store(faults) => {
                let was_down = self.store.faults.down;
                self.store.faults = faults;
                if was_down != faults.down {
                    self.notify_watchers();
                }
            }
            Action::MessageFaults(loss, repeat) => {
                self.network.loss = loss;
                self.network.repeat = repeat;
            }
            Action::KillEngine(id) => {
                if let Some(engine) = self.engines.get_mut(&id) {
                    engine.crash();
                }
            }
            Action::ReviveEngine(id) => {
                if let Some(engine) = self.engines.get_mut(&id) {
                    engine.dead = false;
                }
            }
            Action::SlowEngine(id, slow) => {
                if let Some(engine) = self.engines.get_mut(&id) {
                    engine.slow = slow;
                }
            }
            Action::StillEngine(id, time) => {
                let until = self.now + time;
                if let Some(engine) = self.engines.get_mut(&id) {
                    engine.still_until = until;
                }
            }
            Action::SlowLinks(share) => self.link_share = share,
            Action::AnswerPolls(reports) => self.answers_polls = reports,
            Action::ServiceFaults(refused, lost) => self.service_faults = (refused, lost),
            Action::Apply => {
                let version = self.site.version + 1;
                self.site = Arc::new(Versioned { version, site: self.site.site.clone() });
                self.notify_watchers();
            }
        }
    }

    /// Sends the watching boxes the stored site, or reports the store as unreachable.
    fn notify_watchers(&mut self) {
        for number in 0..self.slots.len() {
            if self.slots[number].watching && self.slots[number].node.is_some() {
                let generation = self.slots[number].generation;
                self.send_site((number, generation));
            }
        }
    }
}

/// Builds the arrival of a request for tokens; `length` is the answer's true length.
pub fn generate(request: u64, prompt_tokens: u32, max_tokens: u32, length: u32) -> Arrival {
    let prompt = crate::engine::prompt(request, length);
    let work = Generate {
        model: "m".to_owned(),
        prompt: prompt.into(),
        prompt_tokens,
        prefix: Vec::new(),
        max_tokens,
    };
    Arrival {
        key: None,
        claim: None,
        relayed: false,
        repeatable: true,
        tenant: String::new(),
        class: 0,
        work: Work::Generate(work),
    }
}

/// Builds the arrival of a call that must run at most once.
pub fn hold(request: u64) -> Arrival {
    let call = hollyspoke::event::Call {
        method: "POST".to_owned(),
        path: "/holds".to_owned(),
        headers: Vec::new(),
        body: request.to_string().into_bytes().into(),
    };
    Arrival {
        key: None,
        claim: None,
        relayed: false,
        repeatable: false,
        tenant: String::new(),
        class: 0,
        work: Work::Call(call),
    }
}
