//! Simple routers on the same fake engines, for comparison.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use hollyspoke::event::Generate;
use hollyspoke::key::{Incarnation, Ticket};
use hollyspoke::site::{DataCentreId, UpstreamId};
use hollyspoke::time::{Time, seconds};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::engine::Engine;
use crate::load::User;
use crate::policy::{COOL_DOWN, Case};
use crate::result::{FIRST_TOKEN_TARGET, Figures, Observation, figures};
use crate::world::Action;

/// How often boxes see the engines' reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// How long a full decode engine is left alone before it is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a prefill result, or a wait for memory, may last.
const MAX_MEMORY_WAIT: Duration = Duration::from_secs(3);

/// The prefix blocks that an engine's cache holds.
const CACHE_BLOCK_COUNT: usize = 4096;

/// How a simple router chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Router {
    /// Both engines at random.
    Random,
    /// The least loaded by the last report.
    LeastLoaded,
    /// The less loaded of two at random, by the last report.
    TwoChoices,
    /// Each box alone reserves decode memory first, then chooses a prefill engine by the report.
    DecodeFirst,
    /// One queue for prefill, first come first served, without any reservation.
    FirstCome,
}

impl Router {
    /// All of them.
    pub const ALL: [Router; 5] = [
        Router::Random,
        Router::LeastLoaded,
        Router::TwoChoices,
        Router::DecodeFirst,
        Router::FirstCome,
    ];

    /// Gives the name for tables.
    pub fn name(self) -> &'static str {
        match self {
            Router::Random => "random",
            Router::LeastLoaded => "least loaded",
            Router::TwoChoices => "two choices",
            Router::DecodeFirst => "decode first, no owner",
            Router::FirstCome => "first come prefill",
        }
    }
}

/// What is due, in the order of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// A request comes, or looks for memory again.
    Begin(usize),
    /// An engine may have computed a prompt.
    Prefilled(UpstreamId),
    /// A prefill result looks for memory.
    Import(usize),
    /// A transfer has ended.
    Transferred(usize),
    /// A stream has ended.
    Ended(usize),
    /// Reports come.
    Reports,
    /// A fault begins or ends.
    Fault(usize),
}

/// A request under way.
#[derive(Debug, Clone, Copy, Default)]
struct InFlight {
    /// Its prefill engine.
    prefill: Option<UpstreamId>,
    /// Its decode engine.
    decode: Option<UpstreamId>,
    /// When its prefill ended.
    computed: Option<Time>,
    /// When its first token came.
    first: Option<Time>,
    /// When it ended, and whether whole.
    end: Option<(Time, bool)>,
    /// The time between its tokens.
    step: Duration,
    /// Whether it was refused before any prefill.
    refused: bool,
}

/// A run of a simple router.
struct Run<'a> {
    /// The case.
    case: &'a Case,
    /// The router.
    router: Router,
    /// The engines.
    engines: BTreeMap<UpstreamId, Engine>,
    /// The engines that prefill and those that decode.
    roles: (Vec<UpstreamId>, Vec<UpstreamId>),
    /// What the last report said: prompts waiting and memory used; dead engines are left out.
    reported: BTreeMap<UpstreamId, (usize, u64)>,
    /// Whether reports come.
    reports: bool,
    /// When each link is free.
    links: BTreeMap<(DataCentreId, DataCentreId), Time>,
    /// A link's rate between data centres, and the share of it that there is.
    link: (f64, f64),
    /// The KV cache of one token, in bytes.
    kv_bytes: f64,
    /// The requests.
    in_flight: Vec<InFlight>,
    /// The queue of [`Router::FirstCome`].
    waiting: VecDeque<usize>,
    /// What is due.
    queue: BinaryHeap<Reverse<(Time, u64, Due)>>,
    /// The number of the last entry.
    last: u64,
    /// Prompt tokens whose stream was generated.
    useful: u64,
    /// Chance.
    random: Pcg64Mcg,
}

/// Runs a case with a simple router.
pub fn run(user: &User, case: &Case, router: Router) -> Figures {
    let site = user.site();
    let engines: BTreeMap<UpstreamId, Engine> =
        site.engines.iter().map(|it| (it.id(), Engine::new(it, CACHE_BLOCK_COUNT))).collect();
    let of = |prefills: bool| {
        let fits = |it: &&hollyspoke::site::Engine| it.role.prefills() == prefills;
        site.engines.iter().filter(fits).map(hollyspoke::site::Engine::id).collect()
    };
    let mut run = Run {
        case,
        router,
        engines,
        roles: (of(true), of(false)),
        reported: BTreeMap::new(),
        reports: true,
        links: BTreeMap::new(),
        link: (user.plan.link as f64, 1.0),
        kv_bytes: user.plan.kv_bytes_per_token as f64,
        in_flight: vec![InFlight::default(); case.requests.len()],
        waiting: VecDeque::new(),
        queue: BinaryHeap::new(),
        last: 0,
        useful: 0,
        random: Pcg64Mcg::seed_from_u64(case.seed),
    };
    run.execute();
    let observations: Vec<Observation> =
        (0..run.in_flight.len()).map(|it| run.observe(it)).collect();
    let computed = run.engines.values().map(|it| it.computed).sum();
    figures(&observations, case.span, computed, run.useful)
}

impl Run<'_> {
    /// Plays the case to its end.
    fn execute(&mut self) {
        self.report();
        self.schedule(Time::ZERO + REPORT_INTERVAL, Due::Reports);
        for number in 0..self.case.requests.len() {
            self.schedule(self.case.requests[number].at, Due::Begin(number));
        }
        for number in 0..self.case.faults.len() {
            self.schedule(self.case.faults[number].0, Due::Fault(number));
        }
        let end = Time::ZERO + self.case.span + COOL_DOWN;
        while let Some(Reverse((now, _, due))) = self.queue.pop() {
            if now > end {
                return;
            }
            match due {
                Due::Begin(number) => self.begin(now, number),
                Due::Prefilled(engine) => self.finish_prefill(now, engine),
                Due::Import(number) => self.import(now, number),
                Due::Transferred(number) => self.finish_transfer(now, number),
                Due::Ended(number) => self.finish_stream(now, number),
                Due::Reports => {
                    self.report();
                    self.schedule(now + REPORT_INTERVAL, Due::Reports);
                }
                Due::Fault(number) => self.fault(now, number),
            }
        }
    }

    /// Puts something into the queue.
    fn schedule(&mut self, at: Time, due: Due) {
        self.last += 1;
        self.queue.push(Reverse((at, self.last, due)));
    }

    /// Takes the engines' reports.
    fn report(&mut self) {
        if !self.reports {
            return;
        }
        let live = self.engines.iter().filter(|(_, it)| !it.dead);
        self.reported = live.map(|(&id, it)| (id, (it.prompts(), it.used()))).collect();
    }

    /// Chooses an engine of a role as the router does.
    fn choose(&mut self, prefill: bool) -> Option<UpstreamId> {
        let role = if prefill { &self.roles.0 } else { &self.roles.1 };
        let known: Vec<UpstreamId> =
            role.iter().copied().filter(|it| self.reported.contains_key(it)).collect();
        if known.is_empty() {
            return None;
        }
        let reported = &self.reported;
        let load = |it: &UpstreamId| {
            let (prompts, used) = reported[it];
            if prefill { prompts as u64 } else { used }
        };
        match self.router {
            Router::Random => Some(known[self.random.random_range(0..known.len())]),
            Router::LeastLoaded | Router::FirstCome => known.into_iter().min_by_key(load),
            Router::TwoChoices | Router::DecodeFirst => {
                let a = known[self.random.random_range(0..known.len())];
                let b = known[self.random.random_range(0..known.len())];
                [a, b].into_iter().min_by_key(load)
            }
        }
    }

    /// Takes a request that comes, or looks for memory again.
    fn begin(&mut self, now: Time, number: usize) {
        if self.router == Router::FirstCome {
            self.waiting.push_back(number);
            self.dispatch_waiting(now);
            return;
        }
        if self.router == Router::DecodeFirst && !self.reserve_first(now, number) {
            return;
        }
        let Some(prefill) = self.choose(true) else {
            self.fail(now, number);
            return;
        };
        self.prefill(now, number, prefill);
    }

    /// Reserves decode memory before the prefill; without room the request looks again later, or
    /// is refused when it is too late.
    fn reserve_first(&mut self, now: Time, number: usize) -> bool {
        let tokens = u64::from(self.case.requests[number].tokens());
        for _ in 0..2 {
            let Some(decode) = self.choose(false) else { continue };
            let Some(engine) = self.engines.get_mut(&decode).filter(|it| !it.dead) else {
                continue;
            };
            if engine.reserve(ticket(number), tokens) {
                self.in_flight[number].decode = Some(decode);
                return true;
            }
        }
        if now.since(self.case.requests[number].at) > FIRST_TOKEN_TARGET {
            self.in_flight[number].refused = true;
            self.in_flight[number].end = Some((now, false));
            return false;
        }
        self.schedule(now + RETRY_DELAY, Due::Begin(number));
        false
    }

    /// Gives the prefill engines that are free the requests that wait longest.
    fn dispatch_waiting(&mut self, now: Time) {
        for engine in self.roles.0.clone() {
            let free = self.engines.get(&engine).is_some_and(|it| !it.dead && it.prompts() == 0);
            if !free {
                continue;
            }
            let Some(number) = self.waiting.pop_front() else { return };
            self.prefill(now, number, engine);
        }
    }

    /// Begins a prefill.
    fn prefill(&mut self, now: Time, number: usize, id: UpstreamId) {
        let request = &self.case.requests[number];
        let work = Generate {
            model: String::new(),
            prompt: crate::engine::prompt(number as u64, request.length).into(),
            prompt_tokens: request.prompt_tokens,
            prefix: request.prefix.clone(),
            max_tokens: request.max_tokens,
        };
        let class = request.class;
        let Some(engine) = self.engines.get_mut(&id).filter(|it| !it.dead) else {
            self.fail(now, number);
            return;
        };
        self.in_flight[number].prefill = Some(id);
        if let Some(next) = engine.prefill(now, ticket(number), &work, class) {
            self.schedule(next, Due::Prefilled(id));
        }
    }

    /// Ends a prefill.
    fn finish_prefill(&mut self, now: Time, id: UpstreamId) {
        let Some(engine) = self.engines.get_mut(&id) else { return };
        let (done, next) = engine.advance(now);
        if let Some(next) = next {
            self.schedule(next, Due::Prefilled(id));
        }
        if let Some(done) = done {
            let number = done.number as usize;
            self.in_flight[number].computed = Some(now);
            self.import(now, number);
        }
        if self.router == Router::FirstCome {
            self.dispatch_waiting(now);
        }
    }

    /// Looks for decode memory, and begins the transfer when there is some.
    fn import(&mut self, now: Time, number: usize) {
        let request_state = self.in_flight[number];
        let Some(from) = request_state.prefill else { return };
        let decode = match request_state.decode {
            Some(decode) => Some(decode),
            None => self.reserve_decode(number),
        };
        let Some(decode) = decode else {
            let waited = request_state.computed.map_or(Duration::ZERO, |it| now.since(it));
            if waited > MAX_MEMORY_WAIT {
                self.fail(now, number);
            } else {
                self.schedule(now + RETRY_DELAY, Due::Import(number));
            }
            return;
        };
        self.in_flight[number].decode = Some(decode);
        let exported = self.engines.get_mut(&from).and_then(|it| it.export(now, ticket(number)));
        let (Some(_), Some(source), Some(target)) =
            (exported, self.engines.get(&from), self.engines.get(&decode))
        else {
            self.fail(now, number);
            return;
        };
        let (a, b) = (source.data_centre, target.data_centre);
        let link = (a.min(b), a.max(b));
        let rate = if a == b { 10e9 } else { self.link.0 } * self.link.1;
        let bytes = f64::from(self.case.requests[number].prompt_tokens) * self.kv_bytes;
        let begin = self.links.get(&link).copied().unwrap_or(Time::ZERO).max(now);
        let end = begin + seconds(bytes / rate);
        self.links.insert(link, end);
        self.schedule(end, Due::Transferred(number));
    }

    /// Chooses a decode engine and reserves memory there, if it has room.
    fn reserve_decode(&mut self, number: usize) -> Option<UpstreamId> {
        let tokens = u64::from(self.case.requests[number].tokens());
        let decode = self.choose(false)?;
        let engine = self.engines.get_mut(&decode).filter(|it| !it.dead)?;
        engine.reserve(ticket(number), tokens).then_some(decode)
    }

    /// Begins a stream.
    fn finish_transfer(&mut self, now: Time, number: usize) {
        let request = &self.case.requests[number];
        let decode = self.in_flight[number].decode;
        let held = decode.and_then(|it| self.engines.get_mut(&it));
        let Some(engine) = held.filter(|it| it.held.contains_key(&ticket(number))) else {
            self.fail(now, number);
            return;
        };
        let step = engine.token_time.mul_f64(engine.slow);
        self.useful += u64::from(request.prompt_tokens);
        self.in_flight[number].first = Some(now + step);
        self.in_flight[number].step = step;
        self.schedule(now + step * request.length.max(1), Due::Ended(number));
    }

    /// Ends a stream.
    fn finish_stream(&mut self, now: Time, number: usize) {
        let decode = self.in_flight[number].decode;
        let held = decode.and_then(|it| self.engines.get_mut(&it)?.held.remove(&ticket(number)));
        self.in_flight[number].end = Some((now, held.is_some()));
    }

    /// Ends a request that failed.
    fn fail(&mut self, now: Time, number: usize) {
        let request_state = self.in_flight[number];
        for engine in [request_state.prefill, request_state.decode].into_iter().flatten() {
            let next = self.engines.get_mut(&engine).and_then(|it| it.cancel(now, ticket(number)));
            if let Some(next) = next {
                self.schedule(next, Due::Prefilled(engine));
            }
        }
        self.in_flight[number].end = Some((now, false));
    }

    /// Lets a fault begin or end; those that only touch boxes or the store do nothing here.
    fn fault(&mut self, now: Time, number: usize) {
        match &self.case.faults[number].1 {
            Action::KillEngine(id) => {
                if let Some(engine) = self.engines.get_mut(id) {
                    engine.crash();
                }
                let lost: Vec<usize> = (0..self.in_flight.len())
                    .filter(|&it| {
                        let request_state = &self.in_flight[it];
                        let there = request_state.prefill == Some(*id)
                            && request_state.computed.is_none()
                            || request_state.decode == Some(*id);
                        there && request_state.end.is_none()
                    })
                    .collect();
                lost.into_iter().for_each(|it| self.fail(now, it));
            }
            Action::ReviveEngine(id) => {
                if let Some(engine) = self.engines.get_mut(id) {
                    engine.dead = false;
                }
            }
            Action::SlowEngine(id, slow) => {
                if let Some(engine) = self.engines.get_mut(id) {
                    engine.slow = *slow;
                }
            }
            Action::SlowLinks(share) => self.link.1 = *share,
            Action::AnswerPolls(reports) => self.reports = *reports,
            _ => {}
        }
    }

    /// Gives a request as its caller saw it.
    fn observe(&self, number: usize) -> Observation {
        let (request, request_state) = (&self.case.requests[number], &self.in_flight[number]);
        Observation {
            tenant: request.tenant,
            class: request.class,
            first_token: request_state.first.map(|it| it.since(request.at)),
            between_tokens: request_state.step,
            whole: request_state.end.is_some_and(|(_, whole)| whole),
            refused: request_state.refused,
            is_retry: false,
        }
    }
}

/// Gives the ticket of a request.
fn ticket(number: usize) -> Ticket {
    Ticket { front: Incarnation(0), number: number as u64 }
}
