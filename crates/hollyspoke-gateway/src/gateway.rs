//! The reducer: dispatches each event to the part that handles it and collects the effects.

mod admission;
mod appointments;
mod archive;
mod cached;
mod call;
mod capacity;
mod cases;
mod catch_up;
mod census;
mod challenges;
mod classes;
mod cold;
mod contact;
mod customer;
mod end;
mod era;
mod evacuation;
mod freshness;
mod handover;
mod limit;
mod migration;
mod origins;
mod pace;
mod parts;
mod pause;
mod peers;
mod permits;
mod pool;
mod proxy;
mod quarantine;
mod relay;
mod reservations;
mod retries;
mod silence;
mod stages;
mod start;
mod stop;
mod store;
mod survey;
mod terms;
mod versions;

use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::quota::{Quota, Tolerance};
use hollyspoke::store::Revision;
use hollyspoke::time::Time;
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::appointment::Book;
use crate::budget::{Bound, Budget};
use crate::catch_up::CatchUp;
use crate::class;
use crate::cold::SendTimes;
use crate::customer::CustomerKey;
use crate::deadline::Frequent;
use crate::demand::{Meter, Runs};
use crate::directory::Directory;
use crate::effect::{Effect, LogEvent};
use crate::engine::EngineKey;
use crate::evacuation::Evacuations;
use crate::event::Event;
use crate::features::Features;
use crate::gateway::admission::Admissions;
use crate::gateway::archive::Archive;
use crate::gateway::cases::Cases;
use crate::gateway::census::Census;
use crate::gateway::challenges::Challenges;
use crate::gateway::contact::Contacts;
use crate::gateway::freshness::Freshness;
use crate::gateway::migration::Migrations;
use crate::gateway::origins::Origins;
use crate::gateway::parts::UnmarkedEnd;
use crate::gateway::pause::Pause;
use crate::gateway::peers::{PeerChanges, Unannounced};
use crate::gateway::permits::Permits;
use crate::gateway::pool::Pools;
use crate::gateway::reservations::Reservations;
use crate::gateway::stages::Stages;
use crate::gateway::stop::Stop;
use crate::gateway::store::{EngineChanges, StoreState};
use crate::gateway::survey::Survey;
use crate::gateway::versions::Register;
use crate::in_flight::{Call, InFlight};
use crate::load::Ledger;
use crate::member::Members;
use crate::message::{DataCentreKey, Format, Load, Readiness};
use crate::numbering::Numbering;
use crate::pace::Paces;
use crate::prompt::Prompts;
use crate::quarantine::{MAX_CRASHES, Parts, Quarantine};
use crate::region::Regions;
use crate::request::{CallKey, RequestKey};
use crate::route::Configuration;
use crate::terms::Terms;
use crate::version::Timeline;
use crate::work;

pub use crate::origin::archive::KIND as STREAMS;
pub use cases::KIND as CASES;
pub use quarantine::HeldRequest;
pub use versions::KIND as VERSIONS;

/// How boxes share customers' limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sharing {
    /// Each box has an equal part of the limit.
    Parts,
    /// Each box announces to the others how much it admits.
    Totals,
}

/// The settings of a gateway, fixed for the life of the process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The data centre of this box.
    pub data_centre: Arc<str>,
    /// The regions of all data centres.
    pub regions: Regions,
    /// The address where this box receives other boxes' datagrams.
    pub peer: SocketAddr,
    /// The address where this box accepts clients.
    pub front: SocketAddr,
    /// The address where this box accepts requests that other boxes pass on; none if it doesn't.
    pub proxy: Option<SocketAddr>,
    /// The bound on retries at a second engine.
    pub retry_bound: Bound,
    /// How exactly customers' limits are kept.
    pub tolerance: Tolerance,
    /// How boxes share customers' limits.
    pub sharing: Sharing,
    /// The number of boxes that share them, if configured.
    pub boxes: Option<usize>,
    /// The time that a stopping process has until it must end.
    pub grace: Duration,
    /// The shortest time between orders of two boxes to the same engine.
    pub order_pause: Duration,
    /// How long an engine that reports its shutdown continues to serve; zero if that is not relied
    /// on.
    pub drain: Duration,
    /// The mechanisms that are switched on.
    pub features: Features,
    /// A random number drawn at the start of the process.
    pub incarnation: u64,
    /// When the process started, in seconds of Unix time.
    pub unix_start: u64,
    /// Whether no box of this system has ever run before.
    pub is_first_start: bool,
}

/// The state of one box.
#[derive(Debug, Clone)]
pub struct Gateway {
    /// The settings.
    settings: Settings,
    /// The time of the current event.
    now: Time,
    /// The configuration in force.
    configuration: Option<Arc<Configuration>>,
    /// Whether the engines have ever been listed.
    are_engines_listed: bool,
    /// The known engines.
    directory: Directory,
    /// The data centres whose engines receive no requests.
    evacuations: Evacuations,
    /// When this box last sent requests to cold engines.
    cold_sends: SendTimes,
    /// The terms that engines have reported and that bind every sender.
    terms: Terms,
    /// The permits to send to rate-limited engines.
    permits: Permits,
    /// The load of the engines.
    ledger: Ledger,
    /// The load of traffic classes at all boxes.
    classes: class::Table,
    /// The paces of the engines.
    paces: Paces,
    /// The state of admission while capacity is short.
    admissions: Admissions,
    /// The capacity of each service, as computed last.
    pools: Pools,
    /// The time that plain calls take at engines.
    works: work::Table,
    /// The load that clients were told to return with.
    appointments: Book,
    /// The other boxes.
    members: Members,
    /// The prompts that engines have cached.
    prompts: Prompts,
    /// The retry budget of each service.
    budgets: HashMap<Arc<str>, Budget>,
    /// The customers' limits.
    quota: Quota<CustomerKey>,
    /// The number of boxes that are alive according to the store.
    census: Census,
    /// When the set of boxes that share the customers' limits is checked again.
    box_count_due: Time,
    /// The longest deadline that clients have specified on each route.
    deadlines: HashMap<Arc<str>, Duration>,
    /// The deadlines that clients send most often on each route.
    frequent_deadlines: HashMap<Arc<str>, Frequent>,
    /// The in-flight requests.
    in_flight: HashMap<RequestKey, InFlight>,
    /// The active calls.
    calls: HashMap<CallKey, Call>,
    /// The requests that other boxes serve, with the address of the box.
    proxied: HashMap<CallKey, (RequestKey, SocketAddr)>,
    /// The requests that wait for free capacity at an engine.
    waiting: Vec<RequestKey>,
    /// The asks for reservations at engines.
    reservations: Reservations,
    /// Whether the current event may have freed capacity for waiting requests.
    may_have_capacity: bool,
    /// The moves and backups of running streams.
    migrations: Migrations,
    /// What is known of streams' software versions.
    origins: Origins,
    /// What is kept of streams' versions in the store.
    archive: Archive,
    /// The software versions that have served.
    timeline: Timeline,
    /// The same as saved in the store.
    register: Register,
    /// Whether this box is in step with the store.
    freshness: Freshness,
    /// The durations for which runs at prefill and decode engines hold memory.
    runs: Runs,
    /// The demand on each service with prefill and decode engines.
    meters: HashMap<Arc<str>, Meter>,
    /// The stage changes that this box orders.
    stages: Stages,
    /// When each request is checked again.
    due: BTreeSet<(Time, RequestKey)>,
    /// The number of the next call.
    next_call: u64,
    /// The number of the next datagram.
    next_sequence: u64,
    /// The state of this box's own contact with the store.
    store: StoreState,
    /// How this box gets what it lacks of the store's state.
    catch_up: CatchUp,
    /// The requests under which engines have crashed.
    quarantine: Quarantine<MAX_CRASHES>,
    /// The parts of prompts under which engines have crashed.
    parts: Parts,
    /// The streams without a marked end whose engines are awaited to speak again.
    unmarked_ends: Vec<UnmarkedEnd>,
    /// The same cases as saved in the store.
    cases: Cases,
    /// The engines that are said to have ended.
    challenges: Challenges,
    /// The engines that are being probed, since when.
    probing: HashMap<EngineKey, Time>,
    /// The time since which a search has found no engine of a service that was heard. It holds until
    /// one of them is, so that thousands of silent calls don't search among all engines again.
    unheard_since: HashMap<Arc<str>, Time>,
    /// The contact with the engines of each service.
    contacts: Contacts,
    /// The progress of querying engines for their cached prompts.
    survey: Survey,
    /// The announcements to send to other boxes at the end of this event.
    unannounced: Unannounced,
    /// The changes of boxes to log with the next heartbeat.
    peer_changes: PeerChanges,
    /// The changes of engines to count in the log with the next heartbeat.
    engine_changes: EngineChanges,
    /// When the current batch of non-urgent changes was started.
    batch_started_at: Option<Time>,
    /// When the next heartbeat is due.
    next_heartbeat: Time,
    /// The number of heartbeats sent, starting at a random number so that the boxes' heartbeats to
    /// other data centres are spread over time.
    heartbeats: u32,
    /// Whether the next heartbeat is sent to all boxes.
    heartbeat_to_all: bool,
    /// The last pause of this process.
    last_pause: Option<Pause>,
    /// The stop of this process, once it was told.
    stop: Option<Stop>,
    /// The random number generator.
    rng: Pcg64Mcg,
    /// The effects of the current event.
    effects: Vec<Effect>,
}

impl Gateway {
    /// Creates a gateway with no knowledge of engines, boxes or configuration.
    pub fn new(settings: Settings) -> Gateway {
        let rng = Pcg64Mcg::seed_from_u64(settings.incarnation);
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
            are_engines_listed: false,
            directory: Directory::default(),
            evacuations: Evacuations::default(),
            cold_sends: SendTimes::default(),
            terms: Terms::default(),
            permits: Permits::default(),
            ledger: Ledger::default(),
            paces: Paces::default(),
            classes: class::Table::default(),
            admissions: Admissions::default(),
            pools: Pools::default(),
            works: work::Table::default(),
            appointments: Book::default(),
            prompts: Prompts::default(),
            budgets: HashMap::new(),
            deadlines: HashMap::new(),
            frequent_deadlines: HashMap::new(),
            in_flight: HashMap::new(),
            calls: HashMap::new(),
            proxied: HashMap::new(),
            waiting: Vec::new(),
            reservations: Reservations::default(),
            may_have_capacity: false,
            migrations: Migrations::default(),
            origins: Origins::default(),
            archive: Archive::default(),
            timeline: Timeline::default(),
            register: Register::default(),
            freshness: Freshness::default(),
            runs: Runs::default(),
            meters: HashMap::new(),
            stages,
            due: BTreeSet::new(),
            next_call: 0,
            next_sequence: 0,
            store: StoreState::default(),
            catch_up: CatchUp::default(),
            quarantine: Quarantine::default(),
            parts: Parts::default(),
            unmarked_ends: Vec::new(),
            cases: Cases::default(),
            challenges: Challenges::default(),
            probing: HashMap::new(),
            unheard_since: HashMap::new(),
            contacts: Contacts::default(),
            survey: Survey::default(),
            unannounced: Unannounced::default(),
            peer_changes: PeerChanges::default(),
            engine_changes: EngineChanges::default(),
            batch_started_at: None,
            next_heartbeat: Time::ZERO,
            heartbeats,
            heartbeat_to_all: true,
            last_pause: None,
            stop: None,
            rng,
            effects: Vec::new(),
        }
    }

    /// Handles an event and returns the resulting effects.
    pub fn step(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let last_event_at = self.now;
        self.now = self.now.max(now);
        self.may_have_capacity = !matches!(event, Event::Received(_) | Event::Notified(_));
        match event {
            Event::Configured(configuration) => self.configure(configuration),
            Event::Listed(engines, revision) => self.apply_engine_list(engines, revision),
            Event::Changed(changes) => self.apply_engine_changes(changes),
            Event::Evacuated(evacuation) => self.apply_evacuation(evacuation),
            Event::EvacuationChanged(changes, revision) => {
                self.apply_evacuation_changes(changes, revision);
            }
            Event::SnapshotReceived(provider, snapshot) => self.apply_snapshot(provider, *snapshot),
            Event::SnapshotFailed => self.ask_another(),
            Event::StoreEra(era) => self.update_era(era, None),
            Event::StoreAnswered(kind) => self.record_store_answer(kind),
            Event::Refreshed(kind, asked_at) => self.record_refresh(kind, asked_at),
            Event::StoreFailed(kind) => self.record_store_failure(kind),
            Event::Arrived(key, request) => self.handle_arrival(key, request),
            Event::ClientDisconnected(key) => self.handle_disconnect(key),
            Event::Call(call, event) => self.handle_call_event(call, event),
            Event::Proxied(call, event) => self.handle_proxy_event(call, event),
            Event::Reserved(number, answer) => self.handle_reservation(number, answer),
            Event::Transferred(call, answer) => self.handle_transfer_answer(call, &answer),
            Event::Received(message) => self.receive(&message),
            Event::Notified(notice) => self.receive_notice(&notice),
            Event::Seeds(seeds) => self.members.add_seeds(self.settings.peer, seeds, self.now),
            Event::CachedPrompts(engine, prompts) => self.apply_survey_answer(engine, prompts),
            Event::Stored(number, answer) => self.apply_store_answer(number, &answer),
            Event::OrderCount(engine, count) => self.apply_order_count(engine, count),
            Event::Ordered(engine, answer) => self.apply_order_answer(engine, answer),
            Event::Probed(engine, probe) => self.apply_probe(engine, probe),
            Event::BoxNotReached(to) => self.lose_proxy(to),
            Event::Statement(engine, statement) => self.handle_statement(engine, &statement),
            Event::Release(short) => self.release_held(&short),
            Event::Suspended(duration) => self.resume(duration, last_event_at),
            Event::Paused(duration) => self.recover_from_pause(duration, last_event_at),
            Event::Stop => self.stop(last_event_at),
            Event::Tick => {}
        }
        self.remove_missing();
        self.lift_expired_evacuations();
        self.handle_ended_engines();
        self.advance_challenges();
        self.survey();
        self.probe_doubtful_services();
        self.advance_stage_changes();
        if self.may_have_capacity {
            self.admit_waiting();
        }
        self.check_due_requests();
        self.advance_inquiries();
        self.advance_stale_waits();
        self.advance_migrations();
        self.send_due_heartbeat();
        self.advance_catch_up();
        self.send_greetings();
        self.sync_cases();
        self.sync_archive();
        self.announce_cases();
        self.announce_limits();
        self.announce_departures();
        self.send_changes();
        std::mem::take(&mut self.effects)
    }

    /// Returns the latest time at which the gateway needs a tick.
    pub fn next_due(&self) -> Time {
        let first = self.due.first().map(|&(it, _)| it);
        let batch_due = self.batch_due_at();
        let times = [
            first,
            self.directory.next_removal(),
            self.evacuations.next_expiry(),
            self.survey.due(),
            self.contacts.next_probe(),
            self.challenges.next_due(),
            self.members.next_greeting_at(self.now),
            batch_due,
            self.stages.next_check_at(),
            self.cases_due(),
            self.permits.next_start(self.now),
            self.terms.back_offs.next_end(self.now),
            self.next_migration_at(),
            self.next_catch_up_at(),
            self.next_inquiry_due(),
            self.freshness.stale_until(),
            self.archive.next_due(),
            self.parts.next_correction(),
        ];
        times.into_iter().flatten().fold(self.next_heartbeat, Time::min)
    }

    /// Returns whether clients should use this box.
    pub fn is_ready(&self) -> bool {
        self.readiness() == Readiness::Ready
    }

    /// Returns how the events of a request's answer are numbered that the client does not have yet.
    pub fn numbering(&self, request: RequestKey) -> Numbering {
        self.in_flight.get(&request).map_or(Numbering::Free, InFlight::numbering)
    }

    /// Returns the limits on client requests, once a configuration is known.
    pub fn limits(&self) -> Option<crate::route::Limits> {
        self.configuration.as_ref().map(|it| it.limits)
    }

    /// Returns the addresses where clients of a region may connect. This box is first if it is
    /// ready and in the region. Boxes that reach no engine are left out, unless no other is left. Requests that are restricted to some regions must not pass through
    /// a box of another region, so that boxes elsewhere are returned only if the region has none.
    pub fn fronts(&self, region: Option<&str>) -> Vec<SocketAddr> {
        let own_region = self.settings.regions.of(&self.settings.data_centre);
        let region = region.or(own_region.map(|it| &**it));
        let data_centres = self.data_centres(region);
        let is_inside = data_centres.is_empty() || data_centres.contains(&self.data_centre());
        let others = self.members.fronts(&data_centres);
        let is_needed = !self.is_cut_off() || others.fronts.is_empty();
        let own = (self.is_ready() && is_needed).then_some(self.settings.front);
        if !is_inside && others.is_inside {
            return others.fronts;
        }
        own.into_iter().chain(others.fronts).collect()
    }

    /// Returns the data centres of a region; none without a region.
    fn data_centres(&self, region: Option<&str>) -> BTreeSet<DataCentreKey> {
        let data_centres = region.into_iter().flat_map(|it| self.settings.regions.data_centres(it));
        data_centres.map(|it| DataCentreKey::of(it)).collect()
    }

    /// Returns the configuration version in force.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|it| it.version)
    }

    /// Returns whether a datagram of a box has been received from an IP address.
    pub fn knows_box(&self, ip: IpAddr) -> bool {
        self.members.knows_ip(ip)
    }

    /// Returns the datagram format that a box supports, as far as it has announced it.
    pub fn format(&self, node: SocketAddr) -> Format {
        self.members.format(node)
    }

    /// Returns the number of boxes known to be alive, including this one.
    pub fn alive_box_count(&self) -> usize {
        self.members.count(self.now)
    }

    /// Returns the revision up to which the list of engines is complete.
    pub fn engine_revision(&self) -> Revision {
        self.directory.complete()
    }

    /// Returns the revision up to which the list of engines is complete; none before the first list.
    pub fn listed_revision(&self) -> Option<Revision> {
        self.are_engines_listed.then(|| self.directory.complete())
    }

    /// Returns the number of known engines.
    pub fn engine_count(&self) -> usize {
        self.directory.len()
    }

    /// Returns the number of in-flight requests.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns this box's load at engines, from its calls and reservations.
    pub fn own_work(&self) -> Vec<(EngineKey, Load)> {
        self.ledger.own()
    }

    /// Returns the state of this box.
    fn readiness(&self) -> Readiness {
        if self.is_stopping() {
            Readiness::Stopping
        } else if !self.may_serve() {
            Readiness::Starting
        } else {
            Readiness::Ready
        }
    }

    /// Returns whether this box knows everything it needs to serve requests.
    fn may_serve(&self) -> bool {
        let has_loaded = self.configuration.is_some() && self.are_engines_listed;
        has_loaded && self.knows_cases() && self.knows_evacuation()
    }

    /// Writes an event to the log.
    fn log(&mut self, event: LogEvent) {
        self.effects.push(Effect::Log(event));
    }

    /// Returns a random number.
    fn draw(&mut self) -> u64 {
        self.rng.next_u64()
    }

    /// Returns a random number in 0.0..1.0, in thousandths.
    fn draw_share(&mut self) -> f64 {
        (self.draw() % 1000) as f64 / 1000.0
    }
}
