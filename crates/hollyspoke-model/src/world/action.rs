//! What happens in the world from outside: callers' requests and faults.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::config::Versioned;
use hollyspoke::event::{Arrival, CallId, Event, Generate, Work};
use hollyspoke::site::UpstreamId;

use crate::store::Faults;
use crate::world::World;

/// Something that happens in the world from outside.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A caller sends a request.
    Send(Box<Sending>),
    /// A caller closes its connection.
    Disconnect(CallId),
    /// A box dies.
    Crash(usize),
    /// A dead box starts anew.
    Restart(usize),
    /// A box stands still for a while.
    Pause(usize, Duration),
    /// A box begins its planned stop.
    Leave(usize),
    /// Two boxes can't reach each other, or can again.
    Cut(usize, usize, bool),
    /// The store's faults change.
    Store(Faults),
    /// The share of messages lost and repeated changes.
    MessageFaults(f64, f64),
    /// An engine dies.
    KillEngine(UpstreamId),
    /// An engine comes back empty.
    ReviveEngine(UpstreamId),
    /// An engine becomes so many times slower.
    SlowEngine(UpstreamId, f64),
    /// Every link's rate becomes this share of what the site says.
    SlowLinks(f64),
    /// Engines stop or start to answer polls.
    AnswerPolls(bool),
    /// The share of calls that a plain service refuses to take, and of those that it runs without
    /// answering, changes.
    ServiceFaults(f64, f64),
    /// The site that is in force is accepted by the store once more, as a new version.
    Apply,
}

/// A caller's sending of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Sending {
    /// The connection's number.
    pub call: CallId,
    /// The request; several sendings may belong to one.
    pub request: u64,
    /// The box.
    pub at: usize,
    /// What is sent. The prompt or body names the request.
    pub arrival: Arrival,
}

impl World {
    /// Lets something happen from outside.
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

    /// Shows the watching boxes what the store has, or that it is away.
    fn notify_watchers(&mut self) {
        for number in 0..self.slots.len() {
            if self.slots[number].watching && self.slots[number].node.is_some() {
                let generation = self.slots[number].generation;
                self.send_site((number, generation));
            }
        }
    }
}

/// Makes an arrival of a request for tokens; `length` is the answer's true length.
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

/// Makes an arrival of a call that must run at most once.
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
