//! A request's arrival, and the choice of the engine for each of its calls.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::outcome::Trace;

use super::Gateway;
use crate::customer::Customer;
use crate::effect::{Effect, NotRunReason, Note, Prompt, Refusal, Send, Task};
use crate::engine::EngineKey;
use crate::flight::{Call, Flight, task_name};
use crate::gateway::customer::identify;
use crate::gateway::permits::Leave;
use crate::message::Load;
use crate::placement::{Choice, Selector};
use crate::quarantine::Verdict;
use crate::request::{CallKey, FlightKey, Request};
use crate::route::{Route, Staged};
use crate::signature::Signature;

/// When a client may come back that no configuration could be shown.
const NO_CONFIGURATION_RETRY: Duration = Duration::from_millis(500);

/// When a client may come back whose box is about to end.
const STOPPING_RETRY: Duration = Duration::from_millis(50);

/// The share of the target that reading for another engine may take before an engine that reads
/// and generates is considered.
const ALONE_SHARE: f64 = 0.4;

/// The share of the target within which the first event must be expected.
const LATEST_SHARE: f64 = 0.95;

/// The share of the longest deadline on a route below which a request is taken for a repeated one.
const REPEATED_SHARE: f64 = 0.97;

/// The bounds of the time after which a client may come back.
const RETRY_BOUNDS: (Duration, Duration) = (Duration::from_millis(400), Duration::from_secs(6));

/// The questions for permits of readers after which those of engines that read and generate are asked
/// for: where all are in need, the readers' are gone first, and the generators' were left unused by 44
/// in 100.
const READER_ASKS: u32 = 2;

/// The next call of a request.
pub(super) struct Next {
    /// What the engine is asked to do.
    pub(super) task: Task,
    /// The engine.
    pub(super) choice: Choice,
    /// The engine that is to generate, if another reads the prompt for it.
    pub(super) generator: Option<EngineKey>,
}

impl Gateway {
    /// Takes a request that came whole.
    pub(super) fn arrive(&mut self, key: FlightKey, request: Request) {
        let knows_rest = self.knows_cases() && self.knows_evacuation();
        let configuration = self.configuration.clone().filter(|_| knows_rest);
        let Some(configuration) = configuration else {
            let reason = NotRunReason::NoConfiguration;
            return self.refuse_unsent(key, &request, reason, NO_CONFIGURATION_RETRY);
        };
        if self.is_closing(self.now) {
            return self.refuse_unsent(key, &request, NotRunReason::Stopping, STOPPING_RETRY);
        }
        let Some(route) = configuration.route(&request.host, &request.path).cloned() else {
            self.note_refusal(&request, "no route", None);
            return self.effects.push(Effect::Refuse(key, Refusal::NoRoute));
        };
        let Ok(identity) = identify(&configuration, &route, &request) else {
            return self.refuse_unknown_key(key, &request);
        };
        let held = request.deadline.map_or(route.timeout, |it| it.min(route.timeout));
        if self.outlives_stop(held) {
            return self.refuse_unsent(key, &request, NotRunReason::Stopping, STOPPING_RETRY);
        }
        let draw = self.draw();
        let Some(service) = configuration.service(route.service(draw)).cloned() else {
            return self.refuse_unsent(
                key,
                &request,
                NotRunReason::NoEngine,
                NO_CONFIGURATION_RETRY,
            );
        };
        let Some(units) = self.take_units(key, &request, identity.customer.as_ref()) else {
            return;
        };
        self.earn_repeats(&service);
        let is_repeated = self.is_repeated(&route, &request);
        self.meter(&service, &request);
        let flight = Flight {
            ends: self.now + held,
            signature: Signature::of(
                request.content,
                identity.customer.as_ref().map(|it| &*it.name),
                request.credential,
            ),
            customer: identity.customer,
            caller: identity.caller,
            units,
            checked: configuration.version,
            arrived: self.now,
            request,
            route,
            service,
            call: None,
            patience: None,
            trace: Trace::clean(),
            tried: Vec::new(),
            runs: 0,
            arrivals: 0,
            rejections: 0,
            sends: 0,
            reading_failed: false,
            source: None,
            handle_refused: false,
            read_at: self.now,
            reserved: None,
            waits_until: None,
            waits_for_permit: false,
            asked: None,
            asks: 0,
            kept_from: Vec::new(),
            is_repeated,
            has_begun: false,
            last_event: None,
        };
        self.due.insert((flight.ends, key));
        self.flights.insert(key, flight);
        self.proceed(key);
    }

    /// Sends the next call of a request, has it wait for room, or gives it up.
    pub(super) fn proceed(&mut self, key: FlightKey) {
        if !self.check_again(key) {
            return;
        }
        if !self.may_run(key) {
            return;
        }
        let Some(flight) = self.flights.get(&key) else { return };
        if !flight.may_run_again() {
            return self.give_up(key, NotRunReason::TurnedAway);
        }
        if let Some(until) = self.waits_for_survey(flight) {
            return self.wait_for_survey(key, until);
        }
        self.note_kept_away(key);
        let Some(next) = self.next_permitted(key) else { return };
        let Some(flight) = self.flights.get(&key) else { return };
        let is_repeat = flight.arrivals > 0;
        if is_repeat && !self.take_repeat(key) {
            return self.give_up(key, NotRunReason::TurnedAway);
        }
        self.send(key, next, is_repeat);
    }

    /// Chooses the next call of a request, with a permit if its engine is in need; none if the request
    /// waits or was refused.
    fn next_permitted(&mut self, key: FlightKey) -> Option<Next> {
        loop {
            let draw = self.draw();
            let Some(next) = self.next_call(key, draw) else {
                self.wait_for_room(key);
                return None;
            };
            let flight = &self.flights[&key];
            let latest = flight.route.target_latency.mul_f64(LATEST_SHARE);
            // A prompt that is late for its own length would be late at any time.
            let has_queue = next.choice.queued_tokens > flight.request.tokens_in();
            let is_late = next.choice.expected > latest && has_queue;
            if is_late && flight.sends == 0 && !flight.is_repeated {
                let wait = next.choice.expected.saturating_sub(latest / 2);
                self.refuse_overloaded(key, wait);
                return None;
            }
            match self.seek_permit(key, next.choice.engine.key) {
                Leave::Given => return Some(next),
                Leave::Awaited => return None,
                Leave::Refused => {}
            }
        }
    }

    /// Chooses the next call of a request.
    pub(super) fn next_call(&self, key: FlightKey, draw: u64) -> Option<Next> {
        let flight = self.flights.get(&key)?;
        let verdict = self.quarantine.verdict(flight.signature);
        let trials = self.trials();
        let view = Selector {
            directory: &self.directory,
            ledger: &self.ledger,
            service: &flight.service,
            data_centre: &self.settings.data_centre,
            knows_remote: !self.members.is_large(),
            tried: &flight.tried,
            homes: flight.homes(),
            regions: &self.settings.regions,
            cold_sends: &self.turns,
            cold_share: self.cold_share(),
            terms: &self.terms,
            permits: &self.permits.held,
            permit_wait: self.asking(flight),
            max_drain_age: self.leaving_for(flight),
            is_suspect: verdict != Verdict::Clear,
            trials: &trials,
            now: self.now,
            draw,
        };
        match flight.service.staged {
            None => {
                let choice = view.choose_plain()?;
                Some(Next { task: Task::Plain, choice, generator: None })
            }
            Some(staged) if verdict == Verdict::Trial => next_alone(flight, &view, &staged),
            Some(staged) => self
                .next_kept(flight, &view, &staged)
                .or_else(|| next_staged(flight, &view, &staged)),
        }
    }

    /// Sends a call, for which a repeat was taken from the budget or not.
    pub(super) fn send(&mut self, key: FlightKey, next: Next, is_repeat: bool) {
        let call = CallKey(self.next_call);
        self.next_call += 1;
        let now = self.now;
        self.unreserve(key);
        self.reserve(key, next.generator);
        let Some(flight) = self.flights.get_mut(&key) else { return };
        let stand = self.quarantine.stand(flight.signature);
        let Next { task, choice, .. } = next;
        flight.waits_until = None;
        flight.waits_for_permit = false;
        flight.asked = None;
        flight.asks = 0;
        let load = load_of(flight, &task);
        flight.call = Some(call);
        flight.tried.push(choice.engine.key);
        flight.sends += 1;
        if task != Task::Read {
            flight.arrivals += 1;
        }
        flight.patience = flight.patience_for(&task, choice.expected).map(|it| now + it);
        if let Some(patience) = flight.patience {
            self.due.insert((patience, key));
        }
        let last_event = flight.resume_point();
        let deadline = flight.ends.since(now);
        let caller = flight.caller.clone();
        let note = Note::Sent {
            request: flight.request.id.clone(),
            engine: choice.engine.id.clone(),
            task: task_name(&task),
            source: task.source(),
            expected: choice.expected,
            tokens: flight.request.tokens_in(),
            held: flight.request.tokens_held(),
            before: flight.sends - 1,
        };
        let engine = choice.engine.clone();
        self.record_cold_send(engine.key);
        self.permits.held.take(engine.key, now);
        self.terms.rests.send(engine.key);
        self.ledger.add(engine.key, load);
        if matches!(task, Task::Generate(_)) {
            self.runs.begin(now);
        }
        self.calls.insert(
            call,
            Call {
                flight: key,
                engine: engine.clone(),
                task: task.clone(),
                stand,
                is_repeat,
                sent: now,
                load,
                ahead: choice.queued_tokens,
                last_event_at: now,
                has_begun: false,
            },
        );
        self.note(note);
        let send = Send { flight: key, call, engine, caller, task, deadline, last_event };
        self.effects.push(Effect::Send(send));
    }

    /// Tells whether a client has come back with a request: it goes on behind an event, or less
    /// time is left than others give.
    fn is_repeated(&mut self, route: &Arc<Route>, request: &Request) -> bool {
        if request.last_event.is_some() {
            return true;
        }
        let Some(deadline) = request.deadline else { return false };
        let longest = self.deadlines.entry(route.name.clone()).or_insert(deadline);
        *longest = (*longest).max(deadline);
        deadline < longest.mul_f64(REPEATED_SHARE)
    }

    /// Refuses a request that would be served too late.
    pub(super) fn refuse_overloaded(&mut self, key: FlightKey, wait: Duration) {
        let (least, most) = RETRY_BOUNDS;
        self.give_up_until(key, NotRunReason::Overloaded, wait.clamp(least, most));
    }

    /// Refuses a request that was never taken up.
    pub(super) fn refuse_unsent(
        &mut self,
        key: FlightKey,
        request: &Request,
        reason: NotRunReason,
        retry: Duration,
    ) {
        let Some(proof) = Trace::clean().not_run() else { return };
        self.note_refusal(request, reason.name(), None);
        self.effects.push(Effect::Refuse(key, Refusal::NotRun(proof, reason, retry)));
    }

    /// Adds the refusal of a request that was never taken up to the log.
    pub(super) fn note_refusal(
        &mut self,
        request: &Request,
        how: &'static str,
        customer: Option<&Arc<Customer>>,
    ) {
        self.note(Note::Ended {
            request: request.id.clone(),
            customer: customer.map(|it| it.name.clone()),
            units: 0,
            kept_from: Vec::new(),
            how,
            after: Duration::ZERO,
        });
    }
}

/// Chooses the next call at a service with stages. A prompt is read for another engine only if that
/// engine has room for it.
fn next_staged(flight: &Flight, view: &Selector<'_>, staged: &Staged) -> Option<Next> {
    let tokens = flight.request.tokens_in();
    let held = flight.request.tokens_held();
    if let Some(source) = &flight.source {
        let reader = flight.tried.last().copied();
        let data_centre = reader
            .and_then(|it| data_centre_of(view, it))
            .unwrap_or_else(|| view.data_centre.into());
        let preferred = flight.reserved.map(|(engine, _)| engine);
        let choice = view.choose_decode(staged, held, &data_centre, preferred)?;
        return Some(Next {
            task: Task::Generate(Prompt::Read(source.clone())),
            choice,
            generator: None,
        });
    }
    let alone = view.choose_combined(staged, tokens, held);
    // A request that waits for a permit of a reader asks for those of generators later.
    let later = view.before_permit();
    let generates = alone.clone().or_else(|| later.choose_combined(staged, tokens, held))?;
    let reads_alone = flight.reading_failed || flight.asked.is_none() && flight.asks >= READER_ASKS;
    let reading = if reads_alone { None } else { view.choose_prefill(staged, tokens) };
    let is_slow = |reading: &Choice| {
        let is_slow = reading.expected > flight.route.target_latency.mul_f64(ALONE_SHARE);
        is_slow && generates.expected < reading.expected
    };
    let Some(reading) = reading.filter(|it| !is_slow(it)) else {
        let task = Task::Generate(Prompt::Unread);
        return Some(Next { task, choice: alone?, generator: None });
    };
    let generator = later.choose_decode(staged, held, &reading.engine.data_centre, None)?;
    Some(Next { task: Task::Read, choice: reading, generator: Some(generator.engine.key) })
}

/// Chooses the next call of a request that may crash its engine: one engine does it all.
fn next_alone(flight: &Flight, view: &Selector<'_>, staged: &Staged) -> Option<Next> {
    let (tokens, held) = (flight.request.tokens_in(), flight.request.tokens_held());
    let choice = view.choose_combined(staged, tokens, held)?;
    Some(Next { task: Task::Generate(Prompt::Unread), choice, generator: None })
}

/// Gives the data centre of an engine, if it is still known.
fn data_centre_of(view: &Selector<'_>, engine: EngineKey) -> Option<Arc<str>> {
    view.directory.get(engine).map(|it| it.engine.data_centre.clone())
}

/// Gives the work that a call is at its engine.
fn load_of(flight: &Flight, task: &Task) -> Load {
    let narrow = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX / 4);
    let tokens = narrow(flight.request.tokens_in());
    let held = narrow(flight.request.tokens_held());
    match task {
        Task::Plain => Load { reading: 0, calls: 1, held: 0 },
        Task::Read => Load { reading: tokens, calls: 1, held: tokens },
        Task::Generate(Prompt::Unread) => Load { reading: tokens, calls: 1, held },
        Task::Generate(_) => Load { reading: 0, calls: 1, held },
    }
}
