//! The arrival of a request, and the choice of an engine for each of its calls.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::outcome::Trace;
use hollyspoke::time::Time;

use super::Gateway;
use crate::class::Phase;
use crate::customer::Customer;
use crate::effect::{Effect, LogEvent, NotRunReason, Prompt, Refusal, Send, Task};
use crate::engine::EngineKey;
use crate::framing::Framing;
use crate::gateway::customer::identify;
use crate::gateway::end::RETRY_AFTER;
use crate::gateway::origins;
use crate::gateway::parts::part_signatures;
use crate::gateway::permits::Permission;
use crate::in_flight::{Call, InFlight, task_name};
use crate::message::Load;
use crate::migration::Progress;
use crate::placement::{Choice, PlainBound, Selector, Separation};
use crate::proxy;
use crate::quarantine::Verdict;
use crate::request::{CallKey, Request, RequestKey};
use crate::reservation;
use crate::route::{Route, Staged};
use crate::signature::Signature;

/// The shortest and longest time after which a client may retry a request that arrived before any
/// configuration was known. A box has one soon after its start, unless the store is away.
const NO_CONFIGURATION_RETRY_RANGE: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(500));

/// When a client may retry a request whose service is not configured.
const NO_SERVICE_RETRY: Duration = Duration::from_millis(500);

/// When a client may retry a request refused by a box that is about to stop.
const STOPPING_RETRY: Duration = Duration::from_millis(50);

/// The share of the target that a separate prefill may take before an engine that does both prefill
/// and decode is considered.
const SINGLE_ENGINE_SHARE: f64 = 0.4;

/// The share of the target within which the first event must be expected.
const LATEST_START_SHARE: f64 = 0.95;

/// A request whose deadline is below this share of the route's longest deadline counts as a
/// client's retry.
const CLIENT_RETRY_SHARE: f64 = 0.97;

/// The shortest and longest time after which a client is told to retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(400), Duration::from_secs(6));

/// The number of permit requests for prefill engines after which permits of engines that do both
/// prefill and decode are requested. Where all engines are rate-limited, the permits of prefill
/// engines run out first; otherwise 44 % of the decode engines' permits stayed unused.
const PREFILL_PERMIT_REQUEST_COUNT: u32 = 2;

/// The next call of a request.
pub(super) struct NextCall {
    /// The operation requested of the engine.
    pub(super) task: Task,
    /// The engine, with the expected delay.
    pub(super) choice: Choice,
    /// The engine to decode, if a separate engine prefills the prompt for it.
    pub(super) decode_engine: Option<EngineKey>,
}

impl Gateway {
    /// Handles a request that has been received completely.
    pub(super) fn handle_arrival(&mut self, key: RequestKey, request: Request) {
        let is_loaded = self.knows_cases() && self.knows_evacuation();
        let configuration = self.configuration.clone().filter(|_| is_loaded);
        let Some(configuration) = configuration else {
            let (min, max) = NO_CONFIGURATION_RETRY_RANGE;
            let retry = self.now.since(Time::ZERO).clamp(min, max);
            return self.refuse_on_arrival(key, &request, NotRunReason::NoConfiguration, retry);
        };
        if self.is_closing() {
            return self.refuse_on_arrival(key, &request, NotRunReason::Stopping, STOPPING_RETRY);
        }
        let Some(route) = configuration.route(&request.host, &request.path).cloned() else {
            self.log_refusal(&request, "no route", None);
            return self.effects.push(Effect::Refuse(key, Refusal::NoRoute));
        };
        let Ok(identity) = identify(&configuration, &route, &request) else {
            return self.refuse_unknown_key(key, &request);
        };
        let timeout = request.deadline.map_or(route.timeout, |it| it.min(route.timeout));
        if self.exceeds_grace(timeout) {
            return self.refuse_on_arrival(key, &request, NotRunReason::Stopping, STOPPING_RETRY);
        }
        if request.is_proxied && self.has_too_many_proxied() {
            return self.refuse_on_arrival(key, &request, NotRunReason::Overloaded, RETRY_AFTER);
        }
        let random = self.draw();
        let draw = route.service_draw(&request, random);
        let Some(service) = configuration.service(route.service(draw)).cloned() else {
            return self.refuse_on_arrival(key, &request, NotRunReason::NoEngine, NO_SERVICE_RETRY);
        };
        // A request that another box serves counts there and not here.
        let is_elsewhere = self.is_proxied_elsewhere(&service.name, &request);
        let customer = identity.customer.as_ref().filter(|_| !is_elsewhere);
        let Some(units) = self.charge_units(key, &request, customer) else {
            return;
        };
        let is_client_retry = self.is_client_retry(&route, &request);
        self.log_client_resume(&request);
        if !is_elsewhere {
            self.earn_retries(&service);
            self.record_demand(&service, &request);
        }
        let origin = origins::initial(&route, &request);
        let in_flight = InFlight {
            deadline: self.now + timeout,
            signature: Signature::of(
                request.content,
                identity.customer.as_ref().map(|it| &*it.name),
                request.credential,
            ),
            parts: part_signatures(&service.name, &request),
            customer: identity.customer,
            caller: identity.caller,
            units,
            checked_version: configuration.version,
            arrived: self.now,
            request,
            route,
            service,
            call: None,
            kept: Vec::new(),
            silence_check_at: None,
            heard_since: None,
            trace: Trace::clean(),
            proxy: proxy::Progress::default(),
            tried: Vec::new(),
            run_count: 0,
            arrivals: 0,
            rejections: 0,
            call_count: 0,
            unsent_count: 0,
            prefill_failed: false,
            source: None,
            handle_rejected: false,
            prefilled_at: self.now,
            reserved: None,
            reservation: reservation::Progress::default(),
            waits_until: None,
            uses_remainders: false,
            waits_for_permit: false,
            permit_request: None,
            permit_request_count: 0,
            exclusions: Vec::new(),
            is_client_retry,
            is_patient: is_client_retry && self.forecasts_returns(),
            started: None,
            phase: None,
            last_failure: None,
            has_begun: false,
            framing: Framing::Marked,
            last_event: None,
            origin,
            is_origin_bound: false,
        };
        self.due.insert((in_flight.deadline, key));
        self.in_flight.insert(key, in_flight);
        if is_elsewhere && self.pass_on(key) {
            return;
        }
        self.record_class_arrival(key);
        self.record_return(key);
        self.proceed(key);
    }

    /// Sends the next call of a request, lets it wait for free capacity, or gives it up.
    pub(super) fn proceed(&mut self, key: RequestKey) {
        if self.is_asking(key) || self.pass_on(key) {
            return;
        }
        if !self.may_continue(key) {
            return;
        }
        self.expire_grant(key);
        if !self.recheck_key(key) {
            return;
        }
        if !self.may_run(key) {
            return;
        }
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        if !in_flight.may_run_again() {
            return self.give_up(key, NotRunReason::Rejected);
        }
        if let Some(until) = self.survey_wait_until(in_flight) {
            return self.wait_for_survey(key, until);
        }
        self.record_exclusions(key);
        if !self.admit(key) {
            return;
        }
        let Some(next) = self.next_permitted(key) else { return };
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        let is_retry = in_flight.arrivals > 0;
        if is_retry && !self.take_retry(key) {
            return self.give_up(key, NotRunReason::Rejected);
        }
        self.send(key, next, is_retry);
    }

    /// Chooses the next call of a request, asks the decode engine to reserve memory if it is short
    /// there, and acquires a permit if the engine is rate-limited. Returns none if the request waits
    /// or was refused.
    fn next_permitted(&mut self, key: RequestKey) -> Option<NextCall> {
        loop {
            let draw = self.draw();
            let plain_bound = self.plain_bound(key);
            let Some(next) = self.next_call(key, draw, plain_bound) else {
                self.wait_for_capacity(key);
                return None;
            };
            let in_flight = &self.in_flight[&key];
            let latest = in_flight.route.target_latency.mul_f64(LATEST_START_SHARE);
            // A request that is late only because of its own prompt length would be late at any
            // time.
            let has_queue =
                next.choice.queued_tokens > in_flight.request.prompt_tokens_or_estimate();
            let is_late = next.choice.expected > latest && has_queue;
            if is_late && in_flight.call_count == 0 && !in_flight.is_client_retry {
                let wait = next.choice.expected.saturating_sub(latest / 2);
                self.refuse_overloaded(key, wait);
                return None;
            }
            if let Some(ask) = self.required_reservation(in_flight, &next) {
                self.ask_or_wait(key, ask);
                return None;
            }
            match self.acquire_permit(key, next.choice.engine.key) {
                Permission::Granted => return Some(next),
                Permission::Pending => return None,
                Permission::Refused => {}
            }
        }
    }

    /// Chooses the next call of a request.
    pub(super) fn next_call(
        &self,
        key: RequestKey,
        draw: u64,
        plain_bound: Option<PlainBound>,
    ) -> Option<NextCall> {
        let in_flight = self.in_flight.get(&key)?;
        let verdict = self.verdict(in_flight);
        let separation = self.separation(in_flight);
        let remainder_below = (in_flight.uses_remainders && in_flight.call_count == 0)
            .then(|| self.mean_units(&in_flight.service) as u64);
        let view = Selector {
            plain_bound,
            remainder_below,
            ..self.selector(in_flight, &separation, draw)
        };
        match in_flight.service.staged {
            None => {
                let choice = view.choose_plain()?;
                Some(NextCall { task: Task::Plain, choice, decode_engine: None })
            }
            Some(staged) if verdict == Verdict::Trial => {
                next_on_one_engine(in_flight, &view, &staged)
            }
            Some(staged) => self
                .next_cached(in_flight, &view, &staged)
                .or_else(|| next_staged(in_flight, &view, &staged)),
        }
    }

    /// Returns the selection of engines for a request.
    pub(super) fn selector<'a>(
        &'a self,
        in_flight: &'a InFlight,
        separation: &'a Separation,
        draw: u64,
    ) -> Selector<'a> {
        Selector {
            directory: &self.directory,
            ledger: &self.ledger,
            service: &in_flight.service,
            data_centre: &self.settings.data_centre,
            knows_remote: !self.members.is_large(),
            tried: &in_flight.tried,
            heard_since: in_flight.heard_since,
            origin: in_flight.origin,
            granted: self.granted_engine(in_flight),
            allowed_regions: in_flight.allowed_regions(),
            regions: &self.settings.regions,
            cold_sends: &self.cold_sends,
            cold_share: self.cold_share(),
            terms: &self.terms,
            permits: &self.permits.held,
            permit_state: self.permit_state(in_flight),
            max_drain_age: self.max_drain_age(in_flight),
            plain_bound: None,
            remainder_below: None,
            works: &self.works,
            separation,
            tempo: self.tempo(in_flight),
            now: self.now,
            draw,
        }
    }

    /// Sends a call; `is_retry` says whether it took a token from the retry budget.
    pub(super) fn send(&mut self, key: RequestKey, next: NextCall, is_retry: bool) {
        let call = CallKey(self.next_call);
        self.next_call += 1;
        let now = self.now;
        self.record_admission(key);
        let reservation = self.use_grant(key, &next);
        self.unreserve(key);
        self.reserve(key, next.decode_engine);
        self.set_phase(key, Some(Phase::Running));
        let is_trial = self.is_trial(key, &next.choice.engine);
        let backup = self.back_up(key, &next.task, &next.choice.engine);
        self.record_start(key);
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        let case_state = self.quarantine.progress(in_flight.signature);
        let NextCall { task, choice, .. } = next;
        let part_states = self.parts.progress(&in_flight.parts);
        in_flight.waits_until = None;
        in_flight.waits_for_permit = false;
        in_flight.permit_request = None;
        in_flight.permit_request_count = 0;
        let load = call_load(in_flight, &task);
        in_flight.call = Some(call);
        in_flight.tried.push(choice.engine.key);
        in_flight.call_count += 1;
        if task != Task::Prefill {
            in_flight.arrivals += 1;
        }
        let timeouts = in_flight.start_timeouts(&task, choice.expected);
        in_flight.silence_check_at = timeouts.map(|it| now + it.min());
        if let Some(check_at) = in_flight.silence_check_at {
            self.due.insert((check_at, key));
        }
        let last_event = in_flight.resume_point();
        let deadline = in_flight.deadline.since(now);
        let caller = in_flight.caller.clone();
        let has_priority = self.settings.features.priorities && in_flight.service.staged.is_some();
        let priority = has_priority.then(|| in_flight.priority());
        let event = LogEvent::Sent {
            request: in_flight.request.id.clone(),
            engine: choice.engine.id.clone(),
            task: task_name(&task),
            source: task.source(),
            expected: choice.expected,
            tokens: in_flight.request.prompt_tokens_or_estimate(),
            held: in_flight.request.mean_held_tokens(),
            before: in_flight.call_count - 1,
            version: choice.engine.version.clone(),
            after_event: last_event,
        };
        let engine = choice.engine.clone();
        let calls_ahead = self.directory.get(engine.key).map_or(0, |it| self.calls_at(it));
        self.record_cold_send(engine.key);
        self.permits.held.take(engine.key, now);
        self.terms.back_offs.record_send(engine.key);
        self.ledger.add(engine.key, load);
        if matches!(task, Task::Decode(_)) {
            self.runs.begin(now);
        }
        self.calls.insert(
            call,
            Call {
                request: key,
                engine: engine.clone(),
                task: task.clone(),
                case_state,
                part_states,
                is_trial,
                is_retry,
                sent: now,
                reservation: reservation.clone(),
                load,
                queued_tokens: choice.queued_tokens,
                calls_ahead,
                last_event_at: now,
                paused: Duration::ZERO,
                timeouts,
                found_silent: None,
                is_held_up: false,
                is_counted: false,
                begun_at: None,
                first_event_at: None,
                has_outlived_onset: false,
                progress: Progress::default(),
            },
        );
        self.log(event);
        self.confirm_incarnation(key, &task, &engine);
        let send = Send {
            request: key,
            call,
            engine,
            caller,
            task,
            deadline,
            last_event,
            priority,
            reservation,
            backup,
        };
        self.effects.push(Effect::Send(send));
    }

    /// Returns whether the client has sent the request before: it resumes a stream after an event,
    /// or its deadline is shorter than those of other requests.
    fn is_client_retry(&mut self, route: &Arc<Route>, request: &Request) -> bool {
        if request.last_event.is_some() {
            return true;
        }
        // The time at the first box makes the deadline shorter.
        let deadline = request.deadline.filter(|_| !request.is_proxied);
        let Some(deadline) = deadline else { return false };
        if self.forecasts_returns() {
            return self.is_return(route, deadline);
        }
        let longest = self.deadlines.entry(route.name.clone()).or_insert(deadline);
        *longest = (*longest).max(deadline);
        deadline < longest.mul_f64(CLIENT_RETRY_SHARE)
    }

    /// Logs that a client resumes a stream.
    fn log_client_resume(&mut self, request: &Request) {
        let Some(last_event) = request.last_event else { return };
        let (id, resumed_id) = (request.id.clone(), request.resumed_id.clone());
        self.log(LogEvent::ClientResumes { request: id, resumed_id, last_event });
    }

    /// Refuses a request that would be served too late.
    pub(super) fn refuse_overloaded(&mut self, key: RequestKey, wait: Duration) {
        let (min, max) = RETRY_AFTER_RANGE;
        self.refuse_until_capacity(key, NotRunReason::Overloaded, wait.clamp(min, max));
    }

    /// Refuses a request before it becomes in-flight.
    pub(super) fn refuse_on_arrival(
        &mut self,
        key: RequestKey,
        request: &Request,
        reason: NotRunReason,
        retry: Duration,
    ) {
        let Some(proof) = Trace::clean().not_run() else { return };
        self.log_refusal(request, reason.name(), None);
        self.effects.push(Effect::Refuse(key, Refusal::NotRun(proof, reason, retry)));
    }

    /// Logs the refusal of a request that never became in-flight.
    pub(super) fn log_refusal(
        &mut self,
        request: &Request,
        outcome: &'static str,
        customer: Option<&Arc<Customer>>,
    ) {
        self.log(LogEvent::Ended {
            request: request.id.clone(),
            customer: customer.map(|it| it.name.clone()),
            units: 0,
            exclusions: Vec::new(),
            outcome,
            last_failure: None,
            after: Duration::ZERO,
        });
    }
}

/// Chooses the next call at a service with prefill and decode engines. A prompt is prefilled for
/// another engine only if that engine has free capacity for it.
fn next_staged(in_flight: &InFlight, view: &Selector<'_>, staged: &Staged) -> Option<NextCall> {
    let tokens = in_flight.request.prompt_tokens_or_estimate();
    let held = in_flight.request.mean_held_tokens();
    if let Some(source) = &in_flight.source {
        let prefill_engine = in_flight.tried.last().copied();
        let data_centre = prefill_engine
            .and_then(|it| data_centre_of(view, it))
            .unwrap_or_else(|| view.data_centre.into());
        let preferred = in_flight.reserved.map(|(engine, _)| engine);
        let choice = view.choose_decode(staged, held, &data_centre, preferred)?;
        return Some(NextCall {
            task: Task::Decode(Prompt::Prefilled(source.clone())),
            choice,
            decode_engine: None,
        });
    }
    let alone = view.choose_combined(staged, tokens, held);
    // A request that waits for a prefill engine's permit requests those of decode engines later.
    let later = view.before_permit();
    let decode = alone.clone().or_else(|| later.choose_combined(staged, tokens, held))?;
    let uses_one_engine = in_flight.prefill_failed
        || in_flight.permit_request.is_none()
            && in_flight.permit_request_count >= PREFILL_PERMIT_REQUEST_COUNT;
    let prefill = if uses_one_engine { None } else { view.choose_prefill(staged, tokens) };
    let is_slow = |prefill: &Choice| {
        let is_slow =
            prefill.expected > in_flight.route.target_latency.mul_f64(SINGLE_ENGINE_SHARE);
        is_slow && decode.expected < prefill.expected
    };
    let Some(prefill) = prefill.filter(|it| !is_slow(it)) else {
        let task = Task::Decode(Prompt::NotPrefilled);
        return Some(NextCall { task, choice: alone?, decode_engine: None });
    };
    let decode_engine = later.choose_decode(staged, held, &prefill.engine.data_centre, None)?;
    Some(NextCall {
        task: Task::Prefill,
        choice: prefill,
        decode_engine: Some(decode_engine.engine.key),
    })
}

/// Chooses the next call of a request that may crash its engine: a single engine does both prefill
/// and decode.
fn next_on_one_engine(
    in_flight: &InFlight,
    view: &Selector<'_>,
    staged: &Staged,
) -> Option<NextCall> {
    let (tokens, held) =
        (in_flight.request.prompt_tokens_or_estimate(), in_flight.request.mean_held_tokens());
    let choice = view.choose_combined(staged, tokens, held)?;
    Some(NextCall { task: Task::Decode(Prompt::NotPrefilled), choice, decode_engine: None })
}

/// Returns the data centre of an engine, if the engine is still known.
fn data_centre_of(view: &Selector<'_>, engine: EngineKey) -> Option<Arc<str>> {
    view.directory.get(engine).map(|it| it.engine.data_centre.clone())
}

/// Returns the load that a call adds to its engine.
fn call_load(in_flight: &InFlight, task: &Task) -> Load {
    let narrow = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX / 4);
    let tokens = narrow(in_flight.request.prompt_tokens_or_estimate());
    let held_tokens = narrow(in_flight.request.mean_held_tokens());
    match task {
        Task::Plain => Load { prefill_tokens: 0, calls: 1, held_tokens: 0 },
        Task::Prefill => Load { prefill_tokens: tokens, calls: 1, held_tokens: tokens },
        Task::Decode(Prompt::NotPrefilled) => {
            Load { prefill_tokens: tokens, calls: 1, held_tokens }
        }
        Task::Decode(_) => Load { prefill_tokens: 0, calls: 1, held_tokens },
    }
}
