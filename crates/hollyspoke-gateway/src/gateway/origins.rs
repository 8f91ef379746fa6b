//! Keeps each stream at the software version that began it.
//!
//! The version is bound by the first event that is forwarded. A client that takes a stream up
//! elsewhere names the attempt that began it: this box looks into its own table, asks the stream's
//! holders, and else relies on it that only one version can have begun the stream, if this box or a
//! follower is in step. A stream whose version stays unknown goes on nowhere.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use super::peers::service_hash;
use super::silence::MAX_PROBE_COUNT;
use crate::effect::{Effect, LogEvent, NotRunReason, Task};
use crate::engine::{Engine, EngineKey};
use crate::event::Probe;
use crate::in_flight::{Call, InFlight};
use crate::origin::archive::Record;
use crate::origin::{Announcement, Ask, Knowledge, Notice, Origin, Reply, StreamKey, Table};
use crate::request::{CallKey, Request, RequestKey};
use crate::route::{Route, RouteKind};
use crate::version::{REACH, Verdict, VersionKey};

/// The number of holders that are told of a stream in a deployment where all boxes exchange
/// everything.
const HOLDER_COUNT: usize = 3;

/// The number of holders in a large deployment, where each copy costs control traffic.
const LARGE_HOLDER_COUNT: usize = 2;

/// The boxes that are asked for a stream, in multiples of its holders. Boxes that have just started
/// or ended make two boxes disagree about the holders.
const ASKED_PER_HOLDER: usize = 2;

/// How long a request waits for answers. A box that is gone doesn't answer, and the client's own
/// patience for the next event is some multiples of this.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a request waits for the archive, which is read only if no box knows the stream: its client
/// would be refused otherwise.
const ARCHIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval at which unanswered boxes are asked again.
const RESEND_INTERVAL: Duration = Duration::from_millis(80);

/// The time without a new box after which a box knows whom to ask.
const QUIET_DURATION: Duration = Duration::from_millis(100);

/// The shortest time in which an engine ends and is back: engines load their weights. Engines that
/// were the incarnation of their entry less than this ago still are.
pub(super) const MIN_RESTART_DURATION: Duration = Duration::from_secs(1);

/// How long after an attempt its client is expected to come back with the stream: a caller that has
/// lost its network, or waits for an upstream to be repaired. Later ones may be refused, since
/// nobody knows the stream any more.
const RETURN_PERIOD: Duration = Duration::from_secs(600);

/// The question for the version of a stream that a client resumes.
#[derive(Debug, Clone)]
struct Inquiry {
    /// The stream.
    stream: StreamKey,
    /// Whether the client names the stream. One that it doesn't name is in no table.
    is_named: bool,
    /// The hash of the service's name.
    service: u64,
    /// When the inquiry began.
    began: Time,
    /// When the boxes that have not answered are asked again.
    resend_at: Time,
    /// How often boxes were asked. From the second time on, followers are asked too; at once if the
    /// client doesn't name the stream, which then counts as the first time.
    rounds: u32,
    /// The boxes that were asked.
    asked: BTreeSet<SocketAddr>,
    /// What they have answered.
    answers: BTreeMap<SocketAddr, Knowledge>,
    /// Whether it goes on for the archive alone. The answers are too old by then to show that only one
    /// version can have begun the stream.
    is_overdue: bool,
}

/// The result of an inquiry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Finding {
    /// The origin.
    origin: Origin,
    /// What it is known from, for the log.
    source: &'static str,
}

impl Finding {
    /// Returns whether the version is known.
    fn is_decided(self) -> bool {
        matches!(self.origin, Origin::Version(_))
    }
}

/// The finding if nobody knows the stream's version.
const UNKNOWN: Finding = Finding { origin: Origin::Unknown, source: "nobody knows" };

/// What this box knows of streams' versions.
#[derive(Debug, Clone, Default)]
pub(super) struct Origins {
    /// The streams that this box began, and those that it holds for others.
    table: Table,
    /// The inquiries of requests.
    inquiries: BTreeMap<RequestKey, Inquiry>,
    /// The engines that a stream was sent to while a probe was under way, which may have arrived before
    /// the engine was back.
    sent_unprobed: BTreeSet<EngineKey>,
}

impl Inquiry {
    /// Returns whether all boxes that were asked have answered.
    fn is_answered(&self) -> bool {
        self.asked.iter().all(|it| self.answers.contains_key(it))
    }

    /// Returns what the answers show. Boxes that know the stream go before the archive, and that goes
    /// before boxes that know which versions have served; of the latter, one that has seen several is
    /// enough.
    fn finding(&self, own: Verdict, archived: Option<Record>) -> Finding {
        let began = self.answers.values().filter_map(|it| match it {
            Knowledge::Began(version) => Some(*version),
            _ => None,
        });
        if let Some(finding) = agreed(began, "box") {
            return finding;
        }
        if let Some(record) = archived {
            let origin = record.version.map_or(Origin::Unknown, Origin::Version);
            return Finding { origin, source: "store" };
        }
        if self.is_overdue {
            return UNKNOWN;
        }
        let has_several = self.answers.values().any(|it| *it == Knowledge::Several);
        if has_several || own == Verdict::Several {
            return Finding { origin: Origin::Unknown, source: "several versions" };
        }
        let only = self.answers.values().filter_map(|it| match it {
            Knowledge::Only(version) => Some(*version),
            _ => None,
        });
        let own = match own {
            Verdict::Only(version) => Some(version),
            Verdict::Several | Verdict::Unaware => None,
        };
        agreed(only.chain(own), "only version").unwrap_or(UNKNOWN)
    }
}

/// Returns the version that all sources name; none if there is no source.
fn agreed(mut versions: impl Iterator<Item = VersionKey>, source: &'static str) -> Option<Finding> {
    let first = versions.next()?;
    let origin =
        if versions.all(|it| it == first) { Origin::Version(first) } else { Origin::Unknown };
    Some(Finding { origin, source })
}

/// Returns the origin of a request when it arrives. A client that resumes a stream has its last
/// event.
pub(super) fn initial(route: &Route, request: &Request) -> Origin {
    let resumes = route.kind == RouteKind::Stream && request.last_event.is_some();
    if resumes { Origin::Sought } else { Origin::Open }
}

/// Returns the key of a request's stream: by the attempt that began it, or by its own id.
fn stream_key(in_flight: &InFlight) -> StreamKey {
    let request = &in_flight.request;
    let resumed_id = request.resumed_id.as_ref().filter(|_| request.last_event.is_some());
    let customer = in_flight.customer.as_ref().map(|it| &*it.name);
    StreamKey::of(&in_flight.service.name, customer, resumed_id.unwrap_or(&request.id))
}

impl Gateway {
    /// Starts to look for the version of the stream that a request resumes, unless it is known or
    /// already sought.
    fn seek_origin(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get(&key) else { return };
        if in_flight.origin != Origin::Sought || self.origins.inquiries.contains_key(&key) {
            return;
        }
        let stream = stream_key(in_flight);
        let is_named = in_flight.request.resumed_id.is_some();
        let found = self.origins.table.find(stream, self.now).filter(|_| is_named);
        if let Some(found) = found {
            let origin = found.version.map_or(Origin::Unknown, Origin::Version);
            return self.set_origin(key, Finding { origin, source: "own table" }, found.age);
        }
        let inquiry = Inquiry {
            stream,
            is_named,
            service: service_hash(&in_flight.service.name),
            began: self.now,
            resend_at: self.now,
            rounds: u32::from(!is_named),
            asked: BTreeSet::new(),
            answers: BTreeMap::new(),
            is_overdue: false,
        };
        let own = self.own_verdict(&inquiry);
        let is_alone = self.informants(&inquiry).is_empty();
        if !is_named && (own == Verdict::Several || own != Verdict::Unaware && is_alone) {
            return self.set_origin(key, inquiry.finding(own, None), Duration::ZERO);
        }
        if self.served_versions(inquiry.service, REACH) == Verdict::Unaware {
            self.look_up_register();
        }
        self.origins.inquiries.insert(key, inquiry);
        self.conclude_inquiry(key);
    }

    /// Returns whether a request may be sent, as far as the origin of its stream is known. One whose
    /// stream can't go on is given up; one whose version is sought waits.
    pub(super) fn may_continue(&mut self, key: RequestKey) -> bool {
        self.seek_origin(key);
        match self.in_flight.get(&key).map(|it| it.origin) {
            Some(Origin::Version(_)) => !self.awaits_list(key),
            Some(Origin::Open) => true,
            Some(Origin::Unknown) => {
                self.give_up(key, NotRunReason::VersionUnknown);
                false
            }
            Some(Origin::Sought) | None => false,
        }
    }

    /// Returns when the next inquiry needs a tick.
    pub(super) fn next_inquiry_due(&self) -> Option<Time> {
        self.origins.inquiries.values().map(|it| self.inquiry_due(it)).min()
    }

    /// Returns when an inquiry needs a tick.
    fn inquiry_due(&self, inquiry: &Inquiry) -> Time {
        inquiry.resend_at.min(self.inquiry_end(inquiry))
    }

    /// Returns the end of the wait for answers.
    fn inquiry_end(&self, inquiry: &Inquiry) -> Time {
        let awaits_archive = inquiry.is_named && self.is_archive_awaited(inquiry.stream);
        inquiry.began + if awaits_archive { ARCHIVE_TIMEOUT } else { ANSWER_TIMEOUT }
    }

    /// Asks again for the versions that are still sought, and ends the inquiries that are over.
    pub(super) fn advance_inquiries(&mut self) {
        let is_due = |it: &Inquiry| self.inquiry_due(it) <= self.now;
        let due = self.origins.inquiries.iter().filter(|(_, it)| is_due(it)).map(|it| *it.0);
        for key in due.collect::<Vec<_>>() {
            self.advance_inquiry(key);
        }
    }

    /// Ends an inquiry if it can be, and sends its request.
    fn advance_inquiry(&mut self, key: RequestKey) {
        if self.conclude_inquiry(key) {
            self.proceed(key);
        }
    }

    /// Ends an inquiry if enough is known or its time is over, and else asks the boxes that have not
    /// answered if that is due. Returns whether it has ended with a finding.
    fn conclude_inquiry(&mut self, key: RequestKey) -> bool {
        let is_sought = self.in_flight.get(&key).is_some_and(|it| it.origin == Origin::Sought);
        if !is_sought {
            self.origins.inquiries.remove(&key);
            return false;
        }
        let Some(inquiry) = self.origins.inquiries.get(&key) else { return false };
        let is_due = inquiry.resend_at <= self.now || self.is_undecided(inquiry);
        if is_due && self.now < self.inquiry_end(inquiry) {
            self.ask_informants(key);
        }
        self.look_up_undecided(key);
        let Some(inquiry) = self.origins.inquiries.get(&key) else { return false };
        if !self.is_concluded(inquiry) {
            let is_overdue = self.now >= inquiry.began + ANSWER_TIMEOUT;
            if let Some(inquiry) = self.origins.inquiries.get_mut(&key) {
                inquiry.is_overdue = is_overdue;
            }
            return false;
        }
        let (finding, after) = (self.finding(inquiry), self.now.since(inquiry.began));
        self.origins.inquiries.remove(&key);
        self.set_origin(key, finding, after);
        true
    }

    /// Returns whether an inquiry has no more answers to wait for.
    fn is_concluded(&self, inquiry: &Inquiry) -> bool {
        let is_known = inquiry.answers.values().any(|it| matches!(it, Knowledge::Began(_)))
            || self.archived(inquiry.stream).is_some();
        let is_late = inquiry.began + ANSWER_TIMEOUT <= self.now;
        let is_decided = is_late && self.finding(inquiry).is_decided();
        if is_known || is_decided || self.inquiry_end(inquiry) <= self.now {
            return true;
        }
        let is_settled =
            !self.is_starting_up() || self.members.is_settled(self.now, QUIET_DURATION);
        // A follower that doesn't know yet whether it is in step may know when it is asked again.
        let has_source = !inquiry.asked.is_empty() || self.follows_store();
        let may_learn = || has_source && self.finding(inquiry) == UNKNOWN;
        let is_awaited = || {
            self.is_register_awaited()
                || !self.finding(inquiry).is_decided() && self.is_archive_awaited(inquiry.stream)
        };
        is_settled && inquiry.is_answered() && !is_awaited() && !may_learn()
    }

    /// Returns what an inquiry has shown.
    fn finding(&self, inquiry: &Inquiry) -> Finding {
        inquiry.finding(self.own_verdict(inquiry), self.archived(inquiry.stream))
    }

    /// Looks a stream up in the archive if the boxes that were asked don't decide, or don't answer.
    fn look_up_undecided(&mut self, key: RequestKey) {
        let Some(inquiry) = self.origins.inquiries.get(&key) else { return };
        let has_waited = self.now.since(inquiry.began) >= RESEND_INTERVAL;
        let is_open = (inquiry.is_answered() || has_waited) && !self.finding(inquiry).is_decided();
        if is_open && inquiry.is_named {
            self.look_up_archive(inquiry.stream);
        }
    }

    /// Returns whether the holders of a stream have all answered, and none of them decides.
    fn is_undecided(&self, inquiry: &Inquiry) -> bool {
        inquiry.rounds == 1 && inquiry.is_answered() && self.finding(inquiry) == UNKNOWN
    }

    /// Returns which versions have served by what this box has observed. One that has served alone
    /// counts only if no other can have joined unnoticed.
    fn own_verdict(&self, inquiry: &Inquiry) -> Verdict {
        let has_answered = |it: &SocketAddr| inquiry.answers.contains_key(it);
        match self.served_versions(inquiry.service, REACH) {
            Verdict::Only(_) if !self.is_in_step(&inquiry.asked, has_answered) => Verdict::Unaware,
            verdict => verdict,
        }
    }

    /// Returns the boxes that are asked for a stream: its holders, which may know which version began
    /// it, and then followers, which know whether a new version has joined.
    fn informants(&self, inquiry: &Inquiry) -> BTreeSet<SocketAddr> {
        let mut informants = BTreeSet::from_iter(self.holders(inquiry.stream, ASKED_PER_HOLDER));
        if inquiry.rounds > 0 {
            informants.extend(self.asked_followers(inquiry.stream));
        }
        informants
    }

    /// Sets the origin of a stream that a client resumes.
    fn set_origin(&mut self, key: RequestKey, finding: Finding, after: Duration) {
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        in_flight.origin = finding.origin;
        let version = match finding.origin {
            Origin::Version(version) => Some(version),
            _ => None,
        };
        let request = in_flight.request.id.clone();
        let (service, source) = (in_flight.service.name.clone(), finding.source);
        let name = version.and_then(|it| self.version_name(&service, it));
        self.log(LogEvent::OriginSought { request, version, name, source, after });
    }

    /// Asks the boxes that may know a stream, also those whose answers may have changed.
    fn ask_informants(&mut self, key: RequestKey) {
        let Some(inquiry) = self.origins.inquiries.get(&key) else { return };
        let mut informants = self.informants(inquiry);
        if inquiry.rounds > 0 {
            self.read_confirmation();
        }
        let Some(inquiry) = self.origins.inquiries.get_mut(&key) else { return };
        inquiry.resend_at = self.now + RESEND_INTERVAL;
        inquiry.rounds += 1;
        let is_final = |it| matches!(it, Knowledge::Began(_) | Knowledge::Several);
        informants.retain(|it| !inquiry.answers.get(it).copied().is_some_and(is_final));
        inquiry.asked.extend(&informants);
        let window_ms = millis(REACH);
        let ask = Ask { stream: inquiry.stream, service: inquiry.service, window_ms };
        let notice = Notice { asks: vec![ask], ..self.notice() };
        self.notify(informants.into_iter().collect(), notice);
    }

    /// Returns the holders of a stream, or a multiple of their number: the first boxes of its first
    /// data centres.
    fn holders(&self, stream: StreamKey, multiple: usize) -> Vec<SocketAddr> {
        let count = if self.members.is_large() { LARGE_HOLDER_COUNT } else { HOLDER_COUNT };
        self.members.holders(stream, &self.own_region(), count, count * multiple)
    }

    /// Returns a notice of this box without content.
    pub(super) fn notice(&self) -> Notice {
        Notice::new(self.settings.peer)
    }

    /// Sends a notice to boxes, if there are any.
    pub(super) fn notify(&mut self, recipients: Vec<SocketAddr>, notice: Notice) {
        if !recipients.is_empty() {
            self.effects.push(Effect::Notify(recipients, notice));
        }
    }

    /// Handles a notice of another box.
    pub(super) fn receive_notice(&mut self, notice: &Notice) {
        for announcement in &notice.announcements {
            self.record_origin(announcement);
        }
        for record in &notice.records {
            self.keep_stream(record);
        }
        let replies: Vec<_> = notice.asks.iter().map(|it| self.reply_to(it)).collect();
        if replies.iter().any(|it| it.knowledge == Knowledge::Unaware) {
            self.read_confirmation();
        }
        if !replies.is_empty() {
            let reply = Notice { replies, ..self.notice() };
            self.notify(vec![notice.sender], reply);
        }
        for reply in &notice.replies {
            self.receive_reply(notice.sender, reply);
        }
    }

    /// Answers the question for a stream's version.
    fn reply_to(&self, ask: &Ask) -> Reply {
        let found = self.origins.table.find(ask.stream, self.now);
        let knowledge = match found.map(|it| it.version) {
            Some(Some(version)) => Knowledge::Began(version),
            Some(None) => Knowledge::Several,
            None => {
                let window = Duration::from_millis(u64::from(ask.window_ms));
                match self.served_versions(ask.service, window) {
                    Verdict::Only(version) if self.has_just_confirmed() => Knowledge::Only(version),
                    Verdict::Several => Knowledge::Several,
                    Verdict::Only(_) | Verdict::Unaware => Knowledge::Unaware,
                }
            }
        };
        Reply { stream: ask.stream, knowledge }
    }

    /// Handles an answer to an inquiry.
    fn receive_reply(&mut self, sender: SocketAddr, reply: &Reply) {
        let mut concerned = Vec::new();
        for (&key, inquiry) in &mut self.origins.inquiries {
            if inquiry.stream == reply.stream && inquiry.asked.contains(&sender) {
                inquiry.answers.insert(sender, reply.knowledge);
                concerned.push(key);
            }
        }
        for key in concerned {
            self.advance_inquiry(key);
        }
    }

    /// Ends the inquiries that can be ended now that the store has answered.
    pub(super) fn advance_all_inquiries(&mut self) {
        for key in self.origins.inquiries.keys().copied().collect::<Vec<_>>() {
            self.advance_inquiry(key);
        }
    }

    /// Binds a stream to the version whose event is forwarded as the first one of an attempt, and
    /// announces it if the client may come back with the stream.
    pub(super) fn bind_origin(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(&key) else { return };
        let Some(in_flight) = self.in_flight.get(&call.request) else { return };
        if in_flight.is_origin_bound {
            return;
        }
        let (request, written) = (call.request, self.version_of(call));
        let service = service_hash(&in_flight.service.name);
        let Some(in_flight) = self.in_flight.get_mut(&request) else { return };
        in_flight.is_origin_bound = true;
        if in_flight.origin == Origin::Open {
            in_flight.origin = written;
        }
        let Origin::Version(version) = in_flight.origin else { return };
        let Some(in_flight) = self.in_flight.get(&request) else { return };
        if let Some(announcement) = self.announcement(in_flight, version) {
            self.announce_origin(announcement);
            self.archive_stream(service, announcement);
        }
    }

    /// Returns the announcement of a stream that a version has begun; none if its client may not
    /// resume it.
    pub(super) fn announcement(
        &self,
        in_flight: &InFlight,
        version: VersionKey,
    ) -> Option<Announcement> {
        let is_resumable = in_flight.route.kind == RouteKind::Stream && in_flight.route.resumable;
        let until = in_flight.deadline + RETURN_PERIOD;
        let ttl_ms = millis(until.since(self.now));
        is_resumable.then(|| Announcement { stream: stream_key(in_flight), version, ttl_ms })
    }

    /// Records which version began a stream, and announces it to the stream's holders.
    fn announce_origin(&mut self, announcement: Announcement) {
        self.record_origin(&announcement);
        let holders = self.holders(announcement.stream, 1);
        let notice = Notice { announcements: vec![announcement], ..self.notice() };
        self.notify(holders, notice);
    }

    /// Records which version began a stream.
    fn record_origin(&mut self, announcement: &Announcement) {
        let &Announcement { stream, version, ttl_ms } = announcement;
        let until = self.now + Duration::from_millis(u64::from(ttl_ms));
        self.origins.table.record(stream, version, self.now, until);
    }

    /// Returns the version that writes the events of a call. It isn't known if the engine has
    /// restarted since the call was sent, or before its new entry was read: either incarnation may
    /// have received it.
    fn version_of(&self, call: &Call) -> Origin {
        let record = self.directory.get(call.engine.key);
        let is_other = record.is_some_and(|it| {
            !it.engine.is_same_incarnation(&call.engine)
                || it.engine.version != call.engine.version
                || it.has_restarted()
        });
        if is_other { Origin::Unknown } else { Origin::of(call.engine.version.as_ref()) }
    }

    /// Probes the engine of a call that writes a stream, unless it has shown of late that it is the
    /// incarnation of its entry: it may be back with another version before its new entry is read,
    /// and answers to streams don't tell. The probe is usually answered before the first event.
    pub(super) fn confirm_incarnation(
        &mut self,
        key: RequestKey,
        task: &Task,
        engine: &Arc<Engine>,
    ) {
        let is_stream = match task {
            Task::Prefill => false,
            Task::Decode(_) => true,
            Task::Plain => {
                self.in_flight.get(&key).is_some_and(|it| it.route.kind == RouteKind::Stream)
            }
        };
        let Some(record) = self.directory.get(engine.key).filter(|_| is_stream) else { return };
        let is_known = engine.started_at.is_none()
            || record.has_restarted()
            || record.was_confirmed_after(self.now - MIN_RESTART_DURATION);
        let may_probe = self.probing.len() < MAX_PROBE_COUNT && self.accepts_auxiliary(engine.key);
        if is_known || !may_probe {
            return;
        }
        // A box of a large deployment would send almost as many probes as streams.
        let service = service_hash(&engine.service);
        let is_only = || matches!(self.served_versions(service, REACH), Verdict::Only(_));
        if !self.members.is_large() || !is_only() {
            if self.probing.contains_key(&engine.key) {
                self.origins.sent_unprobed.insert(engine.key);
            }
            self.probe(engine);
        }
    }

    /// Probes an engine again if a stream was sent to it while the last probe was under way, and that
    /// has not shown which incarnation it is.
    pub(super) fn repeat_probe(&mut self, engine: EngineKey, last: Probe) {
        let is_wanted = self.origins.sent_unprobed.remove(&engine);
        let is_shown = matches!(last, Probe::Alive(_) | Probe::Replaced);
        let Some(record) = self.directory.get(engine) else { return };
        if is_wanted && !is_shown {
            let engine = record.engine.clone();
            self.probe(&engine);
        }
    }

    /// Returns whether the events of a call may follow those that the client has.
    pub(super) fn fits_origin(&self, call: &Call) -> bool {
        let Some(in_flight) = self.in_flight.get(&call.request) else { return false };
        match in_flight.origin {
            Origin::Open => true,
            origin => self.version_of(call) == origin,
        }
    }
}

/// Returns a duration in milliseconds as it is announced.
fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
