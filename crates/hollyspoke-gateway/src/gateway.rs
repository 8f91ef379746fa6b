//! The reducer: takes an event, passes it to the part concerned, and collects the effects.

mod cached;
mod call;
mod capacity;
mod cases;
mod census;
mod cold;
mod customer;
mod end;
mod era;
mod evacuation;
mod handover;
mod limit;
mod peers;
mod permits;
mod quarantine;
mod relay;
mod retries;
mod stages;
mod start;
mod store;
mod survey;
mod terms;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::quota::{Quota, Tolerance};
use hollyspoke::store::Revision;
use hollyspoke::time::Time;
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::budget::{Bound, Budget};
use crate::cold::SendTimes;
use crate::customer::CustomerKey;
use crate::demand::{Meter, Runs};
use crate::directory::Directory;
use crate::effect::{Effect, LogEvent};
use crate::engine::EngineKey;
use crate::evacuation::Evacuations;
use crate::event::{Event, Kind};
use crate::gateway::cases::Cases;
use crate::gateway::census::Census;
use crate::gateway::peers::{PeerChanges, Unannounced};
use crate::gateway::permits::Permits;
use crate::gateway::stages::Stages;
use crate::gateway::store::{EngineChanges, StoreState};
use crate::gateway::survey::Survey;
use crate::in_flight::{Call, InFlight};
use crate::load::Ledger;
use crate::member::Members;
use crate::message::{DataCentreKey, Format, Load, Readiness};
use crate::prompt::Prompts;
use crate::quarantine::Quarantine;
use crate::region::Regions;
use crate::request::{CallKey, RequestKey};
use crate::route::Configuration;
use crate::terms::Terms;

pub use cases::KIND as CASES;
pub use quarantine::HeldRequest;

/// How boxes share customers' limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Each has an equal part.
    Parts,
    /// Each tells the others what it lets through.
    Totals,
}

/// What a gateway has to know from the start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This box's data centre.
    pub data_centre: Arc<str>,
    /// The regions of all data centres.
    pub regions: Regions,
    /// Where this box listens for other boxes' datagrams.
    pub peer: SocketAddr,
    /// Where this box listens for clients.
    pub front: SocketAddr,
    /// How often requests may be sent to a second engine.
    pub retry_bound: Bound,
    /// How exactly customers' limits are kept.
    pub tolerance: Tolerance,
    /// How boxes share customers' limits.
    pub sharing: Sharing,
    /// How many boxes share them, if the operator knows.
    pub boxes: Option<usize>,
    /// How long a stopped process may take to end.
    pub grace: Duration,
    /// The least time between orders of two boxes to one engine.
    pub order_pause: Duration,
    /// How long an engine that says that it leaves goes on serving; zero if that is not counted on.
    pub drain: Duration,
    /// A number drawn at the start of the process.
    pub incarnation: u64,
    /// When the process started, in seconds of Unix time.
    pub unix_start: u64,
}

/// The share of the grace after which a stopping box takes no new requests.
const LAST_REQUEST_SHARE: f64 = 0.6;

/// The share of the grace in which a stopping box takes all requests; later it takes those alone
/// whose whole time fits into what is left.
const ALL_REQUESTS_SHARE: f64 = 0.35;

/// The part of the grace at its end in which nothing is to be under way.
const GRACE_MARGIN: Duration = Duration::from_millis(600);

/// All that one box decides.
#[derive(Debug, Clone)]
pub struct Gateway {
    /// The settings.
    settings: Settings,
    /// The time of the event under way.
    now: Time,
    /// The configuration in force.
    configuration: Option<Arc<Configuration>>,
    /// Whether the engines were ever listed.
    is_listed: bool,
    /// The engines.
    directory: Directory,
    /// The data centres whose engines get nothing.
    evacuations: Evacuations,
    /// When this box last sent to cold engines.
    turns: SendTimes,
    /// What engines have said that binds whoever sends to them.
    terms: Terms,
    /// The permits to send to them.
    permits: Permits,
    /// The work at the engines.
    ledger: Ledger,
    /// The other boxes.
    members: Members,
    /// The prompts that engines keep.
    prompts: Prompts,
    /// The repeats of each service.
    budgets: HashMap<Arc<str>, Budget>,
    /// The customers' limits.
    quota: Quota<CustomerKey>,
    /// How many boxes live by the store.
    census: Census,
    /// When it is looked again which boxes share them.
    box_count_due: Time,
    /// The longest deadline that clients have given on each route.
    deadlines: HashMap<Arc<str>, Duration>,
    /// The requests under way.
    in_flight: HashMap<RequestKey, InFlight>,
    /// The calls under way.
    calls: HashMap<CallKey, Call>,
    /// The requests that wait for room at an engine.
    waiting: Vec<RequestKey>,
    /// Whether the event under way may have brought room for those that wait.
    may_have_capacity: bool,
    /// How long runs at engines with stages hold their memory.
    runs: Runs,
    /// What clients ask of each service with stages.
    meters: HashMap<Arc<str>, Meter>,
    /// The changes of engines' stages that this box orders.
    stages: Stages,
    /// When each request is looked at again.
    due: BTreeSet<(Time, RequestKey)>,
    /// The number of the next call.
    next_call: u64,
    /// The number of the next datagram.
    next_sequence: u64,
    /// What this box has from the store itself.
    store: StoreState,
    /// The requests under which engines have crashed.
    quarantine: Quarantine,
    /// The same, as the store has them.
    cases: Cases,
    /// The engines that are being asked whether they live.
    probing: HashSet<EngineKey>,
    /// How far this box is with asking engines which prompts they keep.
    survey: Survey,
    /// What is to be told to the other boxes with this event.
    unannounced: Unannounced,
    /// The boxes that are to be named in the log with the next heartbeat.
    peer_changes: PeerChanges,
    /// The changes of engines that are to be counted in the log with the next heartbeat.
    engine_changes: EngineChanges,
    /// Since when changes gather that are not urgent.
    batch_started_at: Option<Time>,
    /// When the next heartbeat is due.
    next_heartbeat: Time,
    /// The heartbeats sent so far, from a drawn number on, so that those of all boxes to other data
    /// centres are spread.
    heartbeats: u32,
    /// Whether the next heartbeat goes to all boxes.
    heartbeat_to_all: bool,
    /// When the process was told to stop.
    stopped_at: Option<Time>,
    /// The source of chance.
    random: Pcg64Mcg,
    /// What the event under way has led to.
    effects: Vec<Effect>,
}

impl Gateway {
    /// Makes a gateway that knows nothing yet.
    pub fn new(settings: Settings) -> Gateway {
        let random = Pcg64Mcg::seed_from_u64(settings.incarnation);
        let heartbeats = settings.incarnation as u32;
        let stages = Stages::new(&settings);
        Gateway {
            members: Members::new(DataCentreKey::of(&settings.data_centre)),
            quota: Quota::new(settings.tolerance),
            census: Census::default(),
            box_count_due: Time::ZERO,
            settings,
            now: Time::ZERO,
            configuration: None,
            is_listed: false,
            directory: Directory::default(),
            evacuations: Evacuations::default(),
            turns: SendTimes::default(),
            terms: Terms::default(),
            permits: Permits::default(),
            ledger: Ledger::default(),
            prompts: Prompts::default(),
            budgets: HashMap::new(),
            deadlines: HashMap::new(),
            in_flight: HashMap::new(),
            calls: HashMap::new(),
            waiting: Vec::new(),
            may_have_capacity: false,
            runs: Runs::default(),
            meters: HashMap::new(),
            stages,
            due: BTreeSet::new(),
            next_call: 0,
            next_sequence: 0,
            store: StoreState::default(),
            quarantine: Quarantine::default(),
            cases: Cases::default(),
            probing: HashSet::new(),
            survey: Survey::default(),
            unannounced: Unannounced::default(),
            peer_changes: PeerChanges::default(),
            engine_changes: EngineChanges::default(),
            batch_started_at: None,
            next_heartbeat: Time::ZERO,
            heartbeats,
            heartbeat_to_all: true,
            stopped_at: None,
            random,
            effects: Vec::new(),
        }
    }

    /// Takes an event and gives what is to be done.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.may_have_capacity = !matches!(event, Event::Received(_));
        match event {
            Event::Configured(configuration) => self.configure(configuration),
            Event::Listed(engines, revision) => self.apply_engine_list(engines, revision),
            Event::Changed(changes) => self.apply_engine_changes(changes),
            Event::Evacuated(evacuation) => self.apply_evacuation(evacuation),
            Event::EvacuationChanged(changes, revision) => {
                self.apply_evacuation_changes(changes, revision);
            }
            Event::SnapshotReceived(provider, snapshot) => self.apply_snapshot(provider, *snapshot),
            Event::StoreEra(era) => self.update_era(era, None),
            Event::StoreAnswered(kind) => self.store_answered(kind),
            Event::StoreFailed(kind) => self.store_failed(kind),
            Event::Arrived(key, request) => self.arrive(key, request),
            Event::ClientDisconnected(key) => self.client_left(key),
            Event::Call(call, event) => self.handle_call_event(call, event),
            Event::Received(message) => self.receive(&message),
            Event::Seeds(seeds) => self.members.add_seeds(self.settings.peer, seeds, self.now),
            Event::CachedPrompts(engine, prompts) => self.apply_survey_answer(engine, prompts),
            Event::Stored(number, answer) => self.apply_store_answer(number, &answer),
            Event::OrderCount(engine, count) => self.apply_order_count(engine, count),
            Event::Ordered(engine, answer) => self.apply_order_answer(engine, answer),
            Event::Probed(engine, probe) => self.probed(engine, probe),
            Event::Statement(engine, says) => self.handle_statement(engine, &says),
            Event::Lift(short) => self.release_held(&short),
            Event::Suspended(span) => self.resume(span),
            Event::Stop => self.stop(),
            Event::Tick => {}
        }
        self.remove_missing();
        self.lift_expired();
        self.take_ended();
        self.survey();
        self.give_orders();
        if self.may_have_capacity {
            self.admit_waiting();
        }
        self.expire();
        self.send_due_heartbeat();
        self.send_greetings();
        self.sync_cases();
        self.announce_cases();
        self.announce_limits();
        self.announce_departures();
        self.send_changes();
        std::mem::take(&mut self.effects)
    }

    /// Gives the time at which the gateway needs a tick at the latest.
    pub fn next_due(&self) -> Time {
        let first = self.due.first().map(|&(it, _)| it);
        let gathered = self.batch_due_at();
        let times = [
            first,
            self.directory.next_removal(),
            self.evacuations.next_expiry(),
            self.survey.due(),
            self.members.next_greeting_at(self.now),
            gathered,
            self.stages.next_check_at(),
            self.cases_due(),
            self.permits.next_start(self.now),
            self.terms.back_offs.next_end(self.now),
        ];
        times.into_iter().flatten().fold(self.next_heartbeat, Time::min)
    }

    /// Tells whether clients are to use this box.
    pub fn is_ready(&self) -> bool {
        self.standing() == Readiness::Ready
    }

    /// Tells whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopped_at.is_some()
    }

    /// Tells whether a stopped process has nothing left to do at a time.
    pub fn is_done(&self, now: Time) -> bool {
        self.is_closing(now) && self.in_flight.is_empty()
    }

    /// Gives the limits of what clients may send, once a configuration is known.
    pub fn limits(&self) -> Option<crate::route::Limits> {
        self.configuration.as_ref().map(|it| it.limits)
    }

    /// Gives where clients of a region may connect, this box first if it is ready and lies there.
    /// Requests that may be served in some regions alone must not pass through a box of another, so
    /// that boxes elsewhere are named only if there is none in the region.
    pub fn fronts(&self, region: Option<&str>) -> Vec<SocketAddr> {
        let own_region = self.settings.regions.of(&self.settings.data_centre);
        let region = region.or(own_region.map(|it| &**it));
        let data_centres: BTreeSet<_> = region
            .into_iter()
            .flat_map(|it| self.settings.regions.data_centres(it))
            .map(|it| DataCentreKey::of(it))
            .collect();
        let is_inside = data_centres.is_empty() || data_centres.contains(&self.data_centre());
        let own = self.is_ready().then_some(self.settings.front);
        let others = self.members.fronts(&data_centres);
        if !is_inside && others.is_inside {
            return others.fronts;
        }
        own.into_iter().chain(others.fronts).collect()
    }

    /// Gives the version in force.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|it| it.version)
    }

    /// Tells whether a box has been heard from an IP address.
    pub fn knows_box(&self, ip: IpAddr) -> bool {
        self.members.knows_ip(ip)
    }

    /// Gives what a box can read of datagrams, as far as it has told.
    pub fn format(&self, node: SocketAddr) -> Format {
        self.members.format(node)
    }

    /// Gives the number of boxes that live as this one knows, itself included.
    pub fn alive_box_count(&self) -> usize {
        self.members.count(self.now)
    }

    /// Gives the revision up to which no engine is missing.
    pub fn engine_revision(&self) -> Revision {
        self.directory.complete()
    }

    /// Gives the number of engines that are known.
    pub fn engine_count(&self) -> usize {
        self.directory.len()
    }

    /// Gives the number of requests under way.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Gives this box's work at engines: what its calls hold, and what is reserved for them.
    pub fn own_work(&self) -> Vec<(EngineKey, Load)> {
        self.ledger.own()
    }

    /// Tells how this box stands.
    fn standing(&self) -> Readiness {
        if self.stopped_at.is_some() {
            Readiness::Stopping
        } else if !self.may_serve() {
            Readiness::Starting
        } else {
            Readiness::Ready
        }
    }

    /// Tells whether this box knows all that it needs to serve.
    fn may_serve(&self) -> bool {
        let has_prefilled = self.configuration.is_some() && self.is_listed;
        has_prefilled && self.knows_cases() && self.knows_evacuation()
    }

    /// Tells whether a stopping box takes no new requests any more.
    fn is_closing(&self, now: Time) -> bool {
        let open = self.settings.grace.mul_f64(LAST_REQUEST_SHARE);
        self.stopped_at.is_some_and(|it| now.since(it) >= open)
    }

    /// Tells whether a request that may take a time could be under way when a stopping process
    /// has to end.
    fn exceeds_grace(&self, held: Duration) -> bool {
        let Some(stopped_at) = self.stopped_at else { return false };
        let since = self.now.since(stopped_at);
        let left = self.settings.grace.saturating_sub(since + GRACE_MARGIN);
        since >= self.settings.grace.mul_f64(ALL_REQUESTS_SHARE) && held > left
    }

    /// Notes that the process was told to stop.
    fn stop(&mut self) {
        if self.stopped_at.is_none() {
            self.stopped_at = Some(self.now);
            self.log(LogEvent::Stopping);
            self.schedule_heartbeat_to_all();
        }
    }

    /// Goes on after the machine was suspended: what was read before may be out of date.
    fn resume(&mut self, span: Duration) {
        self.log(LogEvent::Suspended(span));
        self.effects.push(Effect::Read(Kind::Configuration));
        self.effects.push(Effect::Read(Kind::Engines));
        self.effects.push(Effect::Read(Kind::Evacuations));
    }

    /// Adds a line for the log.
    fn log(&mut self, event: LogEvent) {
        self.effects.push(Effect::Log(event));
    }

    /// Draws a number.
    fn draw(&mut self) -> u64 {
        self.random.next_u64()
    }
}
