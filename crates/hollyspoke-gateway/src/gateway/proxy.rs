//! Passes requests on to another box while this one has no contact with the engines.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::Gateway;
use super::peers::service_hash;
use crate::customer::Caller;
use crate::effect::{Effect, LogEvent, NotRunReason};
use crate::framing::Framing;
use crate::message::DataCentreKey;
use crate::proxy::{Announcement, Call, Event};
use crate::request::{CallKey, Request, RequestKey};

/// The maximum number of concurrent requests of other boxes. Each takes two of the box's descriptors,
/// of which it has some 4,000.
const MAX_PROXIED_COUNT: usize = 1000;

impl Gateway {
    /// Returns whether this box serves no more requests of other boxes for now.
    pub(super) fn has_too_many_proxied(&self) -> bool {
        let proxied = self.in_flight.values().filter(|it| it.request.is_proxied);
        proxied.count() >= MAX_PROXIED_COUNT
    }

    /// Returns whether another box can serve a request for a service that this box can't.
    pub(super) fn is_proxied_elsewhere(&self, service: &str, request: &Request) -> bool {
        !request.is_proxied
            && self.has_lost(service)
            && !self.members.proxies(&self.own_region(), service_hash(service)).is_empty()
    }

    /// Passes a request on to another box if this one has lost contact with its service. Returns
    /// whether another box has it. A request that may have run is not passed on: the other box would not know.
    pub(super) fn pass_on(&mut self, key: RequestKey) -> bool {
        let Some(in_flight) = self.in_flight.get(&key) else { return false };
        if in_flight.proxy.call.is_some() {
            return true;
        }
        let service = in_flight.service.name.clone();
        let may_have_run =
            in_flight.trace.is_sent() || in_flight.call_count > in_flight.unsent_count;
        if in_flight.request.is_proxied || may_have_run || !self.has_lost(&service) {
            return false;
        }
        let mut boxes = self.members.proxies(&self.own_region(), service_hash(&service));
        boxes.retain(|it| !in_flight.proxy.unreached.contains(it));
        if boxes.is_empty() {
            return false;
        }
        let to = boxes[(self.draw() % boxes.len() as u64) as usize];
        self.refund_units(key);
        self.set_phase(key, None);
        let call = CallKey(self.next_call);
        self.next_call += 1;
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return false };
        in_flight.proxy.call = Some(call);
        in_flight.waits_until = None;
        self.proxied.insert(call, (key, to));
        let credential = in_flight.request.credential;
        let call = Call {
            request: key,
            call,
            to,
            deadline: in_flight.deadline.since(self.now),
            credential: credential.filter(|_| in_flight.caller != Caller::Unchecked),
        };
        let request = in_flight.request.id.clone();
        self.waiting.retain(|it| *it != key);
        self.log(LogEvent::PassedOn { request, to });
        self.effects.push(Effect::Proxy(call));
        true
    }

    /// Handles an event of a request at another box. Events of calls that were dropped are ignored.
    pub(super) fn handle_proxy_event(&mut self, call: CallKey, event: Event) {
        let Some(&(key, to)) = self.proxied.get(&call) else { return };
        if let Event::Began(framing) = event {
            return self.proxied_stream_began(key, call, framing);
        }
        self.proxied.remove(&call);
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        in_flight.proxy.call = None;
        match event {
            Event::NotConnected => {
                in_flight.proxy.unreached.push(to);
                self.proceed(key);
            }
            Event::Exhausted => self.give_up(key, NotRunReason::Exhausted),
            Event::Answered => {
                let has_begun = in_flight.has_begun;
                let effect =
                    if has_begun { Effect::Finish(key) } else { Effect::Deliver(key, call) };
                self.effects.push(effect);
                self.end(key, "passed on");
            }
            Event::Broken => {
                in_flight.trace.mark_sent();
                self.give_up(key, NotRunReason::Rejected);
            }
            Event::Began(_) => {}
        }
    }

    /// The head of a stream from another box arrived.
    fn proxied_stream_began(&mut self, key: RequestKey, call: CallKey, framing: Framing) {
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        in_flight.has_begun = true;
        in_flight.framing = framing;
        self.effects.push(Effect::Deliver(key, call));
    }

    /// Drops a request's call at another box, which may have run the request.
    pub(super) fn drop_proxied(&mut self, key: RequestKey) {
        let Some(in_flight) = self.in_flight.get_mut(&key) else { return };
        let Some(call) = in_flight.proxy.call.take() else { return };
        in_flight.trace.mark_sent();
        self.proxied.remove(&call);
        self.effects.push(Effect::Cancel(call));
    }

    /// Probes the boxes that have timed out while they serve requests. One that is paused, or whose
    /// datagrams are lost, goes on with its answers.
    pub(super) fn probe_silent_boxes(&mut self) {
        let serving: BTreeSet<_> = self.proxied.values().map(|(_, to)| *to).collect();
        let silent = serving.into_iter().filter(|it| !self.members.is_alive_at(*it));
        self.effects.extend(silent.map(Effect::ProbeBox));
    }

    /// Handles the loss of a box, unless it has been heard again: the requests that it was serving
    /// may have run.
    pub(super) fn lose_proxy(&mut self, proxy: SocketAddr) {
        if self.members.is_alive_at(proxy) {
            return;
        }
        let lost = self.proxied.iter().filter(|(_, (_, to))| *to == proxy);
        let lost: Vec<_> = lost.map(|(&call, _)| call).collect();
        for call in lost {
            self.effects.push(Effect::Cancel(call));
            self.handle_proxy_event(call, Event::Broken);
        }
    }

    /// Passes on the requests that wait for engines of a service with which contact was just lost.
    pub(super) fn pass_on_waiting(&mut self, service: &str) {
        let is_waiting =
            |it: &RequestKey| self.in_flight.get(it).is_some_and(|it| *it.service.name == *service);
        let waiting: Vec<_> = self.waiting.iter().copied().filter(is_waiting).collect();
        for key in waiting {
            self.pass_on(key);
        }
    }

    /// Returns what this box announces about itself to boxes that pass requests on.
    pub(super) fn proxy_announcement(&self) -> Announcement {
        Announcement {
            port: self.settings.proxy.map(|it| it.port()),
            lost: self.lost_services().map(|it| service_hash(it)).collect(),
            is_cut_off: self.is_cut_off(),
        }
    }

    /// Returns the data centres of this box's region; none if it has no region. Requests that are
    /// restricted to some regions must not pass through a box of another region.
    pub(super) fn own_region(&self) -> BTreeSet<DataCentreKey> {
        let region = self.settings.regions.of(&self.settings.data_centre);
        self.data_centres(region.map(|it| &**it))
    }
}
