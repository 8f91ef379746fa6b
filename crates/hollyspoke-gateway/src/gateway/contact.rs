//! The box's contact with the engines of each service.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use hollyspoke::time::Time;

use super::Gateway;
use crate::contact::Contact;
use crate::effect::{Effect, LogEvent};
use crate::engine::{Engine, EngineKey};
use crate::quarantine::{Incarnation, Proof};

/// The interval between the probes of a service while it is open whether the box or its engines are
/// at fault.
const DOUBT_PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between the probes of a service with which the box has lost contact. Clients'
/// requests don't try its engines meanwhile.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// The number of engines probed at a time. Some may have crashed.
const PROBE_COUNT: usize = 3;

/// A finding about an engine that is not passed on before it is known that the engine, and not the
/// path of this box, is at fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Withheld {
    /// The engine.
    engine: EngineKey,
    /// The finding.
    finding: Finding,
    /// The time of the first attempt since which no engine of its service has answered one.
    since: Time,
}

/// What a box has found out about an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Finding {
    /// It could not be reached, or timed out.
    Unreachable,
    /// It has probably crashed.
    Crashed,
}

/// The contact with all services.
#[derive(Debug, Clone, Default)]
pub(super) struct Contacts {
    /// The contact with each service of which an engine was ever tried.
    services: HashMap<Arc<str>, Contact>,
    /// The services with which contact is lost, with the time of the loss.
    lost: HashMap<Arc<str>, Time>,
    /// The time of the newest attempt that an engine of any service answered.
    reached_at: Option<Time>,
    /// What was found out about engines while none of any service answered.
    withheld: Vec<Withheld>,
    /// When the engines of doubtful and lost services are probed next.
    next_probe: Option<Time>,
}

impl Contacts {
    /// Extends the doubts by a time in which this box itself was paused.
    pub(super) fn extend_doubts(&mut self, pause: Duration) {
        self.services.values_mut().for_each(|it| it.extend_doubt(pause));
    }

    /// Returns when engines are probed next.
    pub(super) fn next_probe(&self) -> Option<Time> {
        self.next_probe
    }
}

impl Gateway {
    /// Records that an engine answered an attempt of this box to connect.
    pub(super) fn record_reached(&mut self, engine: &Engine, attempted_at: Time) {
        let contact = self.contacts.services.entry(engine.service.clone()).or_default();
        contact.record_reached(attempted_at);
        self.contacts.reached_at = self.contacts.reached_at.max(Some(attempted_at));
        self.release_findings();
        self.update_contact(&engine.service);
    }

    /// Records that this box could not open a connection to an engine. Others are probed, as long as
    /// it is open whose fault that is.
    pub(super) fn record_unreached(&mut self, engine: &Engine, attempted_at: Time) {
        let service = engine.service.clone();
        let contact = self.contacts.services.entry(service.clone()).or_default();
        let was_doubtful = contact.is_doubtful();
        contact.record_unreached(engine.key, attempted_at);
        if contact.is_doubtful() && !was_doubtful {
            self.probe_engines(&service);
            self.probe_again_in(DOUBT_PROBE_INTERVAL);
        }
        self.update_contact(&service);
    }

    /// Returns whether this box has lost contact with a service.
    pub(super) fn has_lost(&self, service: &str) -> bool {
        self.contacts.lost.contains_key(service)
    }

    /// Returns the services with which this box has lost contact.
    pub(super) fn lost_services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.contacts.lost.keys()
    }

    /// Updates whether contact with a service is lost.
    fn update_contact(&mut self, service: &Arc<str>) {
        let Some(contact) = self.contacts.services.get(service) else { return };
        let is_lost = contact.is_doubtful()
            && contact.is_lost(self.directory.of_service(service).count(), self.now);
        if is_lost == self.has_lost(service) {
            return;
        }
        if is_lost {
            self.contacts.lost.insert(service.clone(), self.now);
            self.log(LogEvent::ContactLost { service: service.clone() });
            self.schedule_heartbeat();
            self.pass_on_waiting(service);
            self.probe_other_services(service);
            if self.is_cut_off() {
                self.contacts.withheld.clear();
            }
        } else if let Some(lost_at) = self.contacts.lost.remove(service) {
            let duration = self.now.since(lost_at);
            self.log(LogEvent::ContactRegained { service: service.clone(), duration });
            self.schedule_heartbeat();
        }
    }

    /// Probes engines of the services with which contact is doubtful or lost, if that is due.
    pub(super) fn probe_doubtful_services(&mut self) {
        if self.contacts.next_probe.is_none_or(|it| it > self.now) {
            return;
        }
        self.contacts.next_probe = None;
        let services: Vec<_> = self.contacts.services.keys().cloned().collect();
        let accepts = |it: &Arc<str>| {
            self.directory.of_service(it).any(|it| self.accepts_auxiliary(it.engine.key))
        };
        let accepting: BTreeSet<_> = services.into_iter().filter(accepts).collect();
        for (service, contact) in &mut self.contacts.services {
            // Where no engine may be probed, clients' requests have to try them again.
            let engines = self.directory.of_service(service).map(|it| it.engine.key);
            let is_probed = accepting.contains(service);
            let known: BTreeSet<_> = engines.filter(|_| is_probed).collect();
            contact.retain(|it| known.contains(&it));
        }
        let services: Vec<_> = self.contacts.services.keys().cloned().collect();
        for service in services {
            self.update_contact(&service);
            if self.contacts.services[&service].is_doubtful() {
                self.probe_engines(&service);
                let is_lost = self.has_lost(&service);
                self.probe_again_in(if is_lost { PROBE_INTERVAL } else { DOUBT_PROBE_INTERVAL });
            }
        }
    }

    /// Probes engines of the services other than one with which contact was just lost: the path to
    /// all engines may be.
    fn probe_other_services(&mut self, lost: &str) {
        let Some(configuration) = self.configuration.clone() else { return };
        for service in configuration.services().filter(|it| *it.name != *lost) {
            if !self.has_lost(&service.name) {
                self.probe_engines(&service.name);
            }
        }
    }

    /// Returns whether this box has lost contact with all services that have engines.
    pub(super) fn is_cut_off(&self) -> bool {
        if self.contacts.lost.is_empty() {
            return false;
        }
        let Some(configuration) = &self.configuration else { return false };
        let has_engines = |name: &str| self.directory.of_service(name).next().is_some();
        configuration.services().all(|it| self.has_lost(&it.name) || !has_engines(&it.name))
    }

    /// Acts on a finding about an engine, unless this box may be at fault itself. Then it is withheld
    /// until an engine of any service answers, and dropped if the box is cut off from all.
    pub(super) fn report_finding(&mut self, engine: EngineKey, finding: Finding) {
        if self.is_cut_off() {
            return;
        }
        let Some(record) = self.directory.get(engine) else { return };
        let contact = self.contacts.services.get(&record.engine.service);
        match contact.and_then(Contact::doubtful_since) {
            Some(since) if self.contacts.reached_at < Some(since) => {
                let withheld = Withheld { engine, finding, since };
                if !self.contacts.withheld.contains(&withheld) {
                    self.contacts.withheld.push(withheld);
                }
            }
            _ => self.apply_finding(engine, finding),
        }
    }

    /// Drops the withheld findings about an engine from which something has come.
    pub(super) fn drop_findings(&mut self, engine: EngineKey) {
        self.contacts.withheld.retain(|it| it.engine != engine);
    }

    /// Acts on the withheld findings since which an engine has answered.
    fn release_findings(&mut self) {
        let reached_at = self.contacts.reached_at;
        let is_released = |it: &mut Withheld| reached_at >= Some(it.since);
        let released: Vec<_> = self.contacts.withheld.extract_if(.., is_released).collect();
        for Withheld { engine, finding, .. } in released {
            self.apply_finding(engine, finding);
        }
    }

    /// Acts on a finding about an engine that is known to be at fault.
    fn apply_finding(&mut self, engine: EngineKey, finding: Finding) {
        match finding {
            Finding::Unreachable => self.unannounced.unreachable.push(engine),
            Finding::Crashed => {
                self.confirm(Incarnation { engine, started_at: None }, Proof::Likely);
            }
        }
    }

    /// Schedules the next probes, unless they are due earlier.
    fn probe_again_in(&mut self, interval: Duration) {
        let due = self.now + interval;
        self.contacts.next_probe = Some(self.contacts.next_probe.map_or(due, |it| it.min(due)));
    }

    /// Probes some engines of a service, chosen at random, that state no terms against calls.
    pub(super) fn probe_engines(&mut self, service: &str) {
        let engines = self.directory.of_service(service).map(|it| &it.engine);
        let accepting = engines.filter(|it| self.accepts_auxiliary(it.key));
        let mut engines: Vec<_> =
            accepting.filter(|it| !self.probing.contains_key(&it.key)).cloned().collect();
        for _ in 0..PROBE_COUNT.min(engines.len()) {
            let index = (self.draw() % engines.len() as u64) as usize;
            let engine = engines.swap_remove(index);
            self.probing.insert(engine.key, self.now);
            self.effects.push(Effect::Probe(engine));
        }
    }
}
