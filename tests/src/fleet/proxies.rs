//! Requests that boxes of a fleet pass on to each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::framing::Framing;
use hollyspoke_gateway::proxy;
use hollyspoke_gateway::request::{CallKey, Request, RequestKey};

use super::{CONNECT_TIMEOUT, Fleet, Scheduled, TRANSIT, settings_of};

/// A call of a box at another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Proxied {
    /// The number of the box that passed the request on.
    number: usize,
    /// Its incarnation.
    start_count: u64,
    /// The request there.
    request: RequestKey,
    /// The call there.
    call: CallKey,
}

/// The requests at boxes, and those that were passed on.
#[derive(Debug, Clone, Default)]
pub(super) struct Proxies {
    /// The requests as they arrived, by box.
    pub(super) requests: BTreeMap<(usize, RequestKey), Request>,
    /// The calls, by the box that serves the request and by its key there.
    calls: BTreeMap<(usize, RequestKey), Proxied>,
}

impl Fleet {
    /// Passes a request on to another box.
    pub(super) fn pass_on(&mut self, number: usize, call: proxy::Call) {
        let start_count = self.members[number].start_count;
        let proxied = Proxied { number, start_count, request: call.request, call: call.call };
        let is_target = |it: &usize| settings_of(*it).proxy == Some(call.to);
        let target = (0..self.members.len()).find(is_target).expect("the box exists");
        let (from, to) = (&self.members[number], &self.members[target]);
        if to.gateway.is_none() || from.side != to.side {
            let delay = if from.side == to.side { TRANSIT } else { CONNECT_TIMEOUT };
            let event = proxy::Event::NotConnected;
            return self.schedule(self.now + delay, Scheduled::Proxied(proxied, event, false));
        }
        let request = self.proxies.requests[&(number, call.request)].clone();
        let request = Request { is_proxied: true, deadline: Some(call.deadline), ..request };
        self.next += 1;
        let key = RequestKey(self.next);
        if self.crashes.harmful.contains(&call.request) {
            self.crashes.harmful.insert(key);
        }
        self.proxies.requests.insert((target, key), request.clone());
        self.proxies.calls.insert((target, key), proxied);
        self.records.passed_on += 1;
        self.schedule(self.now + TRANSIT, Scheduled::PassedOn(target, key, request));
    }

    /// Probes whether a connection opens from a box to another one. A paused box accepts some.
    pub(super) fn probe_box(&mut self, number: usize, to: SocketAddr) {
        let is_target = |it: &usize| settings_of(*it).proxy == Some(to);
        let target = (0..self.members.len()).find(is_target).expect("the box exists");
        let (from, to_member) = (&self.members[number], &self.members[target]);
        if to_member.gateway.is_none() || from.side != to_member.side {
            let event = Scheduled::BoxNotReached(number, from.start_count, to);
            self.schedule(self.now + CONNECT_TIMEOUT, event);
        }
    }

    /// Reports the start or the end of a request at a box to the box that passed it on, if one did.
    pub(super) fn report_proxied(&mut self, number: usize, key: RequestKey, outcome: Outcome) {
        let Some(&proxied) = self.proxies.calls.get(&(number, key)) else { return };
        let is_plain =
            |it: &Request| it.path.starts_with("/safe/") || it.path.starts_with("/unsafe/");
        let event = match outcome {
            Outcome::Delivered if !is_plain(&self.proxies.requests[&(number, key)]) => {
                proxy::Event::Began(Framing::Marked)
            }
            Outcome::Delivered | Outcome::Finished | Outcome::Refused => proxy::Event::Answered,
            Outcome::Aborted => proxy::Event::Broken,
        };
        if !matches!(event, proxy::Event::Began(_)) {
            self.proxies.calls.remove(&(number, key));
        }
        let is_refusal = outcome == Outcome::Refused;
        self.schedule(self.now + TRANSIT, Scheduled::Proxied(proxied, event, is_refusal));
    }

    /// Delivers an event of a request to the box that passed it on.
    pub(super) fn deliver_proxied(&mut self, proxied: Proxied, event: proxy::Event, refused: bool) {
        let Proxied { number, start_count, request, call } = proxied;
        if self.members[number].start_count != start_count {
            return;
        }
        self.step(number, Event::Proxied(call, event));
        if refused {
            self.records.record_end(number, request, false);
        }
    }

    /// Cancels a request that a box has passed on: there, its client has disconnected.
    pub(super) fn cancel_proxied(&mut self, number: usize, call: CallKey) {
        let is_it = |it: &Proxied| it.number == number && it.call == call;
        let found = self.proxies.calls.iter().find(|(_, it)| is_it(it)).map(|(&at, _)| at);
        if let Some((target, key)) = found {
            self.proxies.calls.remove(&(target, key));
            self.schedule(self.now + TRANSIT, Scheduled::Disconnected(target, key));
        }
    }

    /// Breaks the connections of a killed box to those that passed requests on to it.
    pub(super) fn break_proxied(&mut self, number: usize) {
        let calls: Vec<_> = self.proxies.calls.extract_if(.., |at, _| at.0 == number).collect();
        for (_, proxied) in calls {
            let broken = Scheduled::Proxied(proxied, proxy::Event::Broken, false);
            self.schedule(self.now + TRANSIT, broken);
        }
    }
}

/// What happens to a request at the box that serves it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// An engine's answer is delivered, or a stream begins.
    Delivered,
    /// A stream ends complete.
    Finished,
    /// A stream is broken off.
    Aborted,
    /// The request is refused.
    Refused,
}
