//! The product's policy in the model: reducers at several boxes, with callers that come back when
//! they are told to.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::event::CallId;
use hollyspoke::time::Time;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::ledger::{Caller, End, Violation};
use crate::load::{Request, User};
use crate::result::{Figures, Observation, figures};
use crate::world::{Action, Sending, World, generate};

/// How long boxes get to find each other before the load begins.
pub const WARM_UP: Duration = Duration::from_secs(3);

/// How long after the load's end answers are waited for.
pub const COOL_DOWN: Duration = Duration::from_secs(20);

/// How often the callers look at their answers.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How often a refused caller comes back.
const MAX_RETRIES: u32 = 2;

/// A load with its faults.
#[derive(Debug, Clone)]
pub struct Case {
    /// The requests; their times count from the load's beginning.
    pub requests: Vec<Request>,
    /// The faults, with their times from the load's beginning.
    pub faults: Vec<(Time, Action)>,
    /// The time in which the owner of the engines stands still, if it does, and for how long.
    pub owner_pause: Option<(Time, Duration)>,
    /// How long the load lasts.
    pub span: Duration,
    /// The seed of the world's chance.
    pub seed: u64,
}

/// A sending under way.
#[derive(Debug, Clone, Copy)]
struct OpenCall {
    /// The request's place in the case.
    request: usize,
    /// How often it has come back.
    retries: u32,
}

/// Runs a case with the product's reducers.
///
/// # Errors
///
/// When a promise is broken on the way.
pub fn run(user: &User, case: &Case) -> Result<Figures, Violation> {
    let mut world = World::new(user.site(), user.boxes, case.seed);
    world.run(Time::ZERO + WARM_UP)?;
    let begin = |at: Time| at + WARM_UP;
    for (at, action) in &case.faults {
        world.schedule_action(begin(*at), action.clone());
    }
    if let (Some((at, pause)), Some(owner)) = (case.owner_pause, world.owner()) {
        world.schedule_action(begin(at), Action::Pause(owner, pause));
    }
    let mut random = Pcg64Mcg::seed_from_u64(case.seed ^ 0x5eed);
    let mut open = BTreeMap::new();
    let mut last_call = 0;
    for (number, request) in case.requests.iter().enumerate() {
        last_call += 1;
        send(&mut world, user, begin(request.at), number, request, request.to, CallId(last_call));
        open.insert(CallId(last_call), OpenCall { request: number, retries: 0 });
    }
    let end = begin(Time::ZERO + case.span) + COOL_DOWN;
    let retry_deadline = begin(Time::ZERO + case.span);
    let mut observations = Vec::new();
    while world.now() < end {
        let next = world.now() + POLL_INTERVAL;
        world.run(next)?;
        let ended: Vec<(CallId, OpenCall, Caller)> = open
            .iter()
            .filter_map(|(&call, &it)| Some((call, it, world.ledger.callers.get(&call)?.clone())))
            .filter(|(.., caller)| caller.end.is_some())
            .collect();
        for (call, sending, caller) in ended {
            open.remove(&call);
            let request = &case.requests[sending.request];
            observations.push(observe(request, &caller, sending.retries > 0));
            let Some((at, End::NotRun { after: Some(after) })) = caller.end else { continue };
            let jitter = random.random_range(1.0..1.2);
            let retry_at = (at + after.mul_f64(jitter)).max(world.now());
            if sending.retries < MAX_RETRIES && retry_at < retry_deadline {
                last_call += 1;
                let to = random.random_range(0..user.boxes);
                let call = CallId(last_call);
                send(&mut world, user, retry_at, last_call as usize, request, to, call);
                open.insert(call, OpenCall { retries: sending.retries + 1, ..sending });
            }
        }
    }
    for (call, sending) in open {
        if let Some(caller) = world.ledger.callers.get(&call) {
            observations.push(observe(
                &case.requests[sending.request],
                caller,
                sending.retries > 0,
            ));
        }
    }
    let computed = world.engines.values().map(|it| it.computed).sum();
    let useful = world.useful_tokens;
    Ok(figures(&observations, case.span, computed, useful))
}

/// Sends a request.
fn send(
    world: &mut World,
    user: &User,
    at: Time,
    number: usize,
    request: &Request,
    to: usize,
    call: CallId,
) {
    let name = number as u64 + 1;
    let mut arrival = generate(name, request.prompt_tokens, request.max_tokens, request.length);
    arrival.tenant = user.tenants[request.tenant].0.to_owned();
    arrival.class = request.class;
    if let hollyspoke::event::Work::Generate(work) = &mut arrival.work {
        work.prefix.clone_from(&request.prefix);
    }
    let sending = Sending { call, request: name + (call.0 << 20), at: to, arrival };
    world.schedule_action(at, Action::Send(Box::new(sending)));
}

/// Gives a sending as its caller saw it.
fn observe(request: &Request, caller: &Caller, is_retry: bool) -> Observation {
    let end = caller.end.as_ref();
    let whole = matches!(end, Some((_, End::Complete)));
    let span = match (caller.first, end) {
        (Some(first), Some((end, _))) => end.since(first),
        _ => Duration::ZERO,
    };
    Observation {
        tenant: request.tenant,
        class: request.class,
        first_token: caller.first.map(|it| it.since(caller.sent)),
        between_tokens: span / caller.tokens.saturating_sub(1).max(1),
        whole,
        refused: matches!(end, Some((_, End::NotRun { .. }))),
        is_retry,
    }
}
