//! Metrics with `opentelemetry`, exported to Prometheus: requests by outcome with their durations,
//! calls by task, failures by kind, and the state that this box knows.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke_gateway::admission::Decision;
use hollyspoke_gateway::back_off;
use hollyspoke_gateway::effect::LogEvent;
use hollyspoke_gateway::engine::Stage;
use hollyspoke_gateway::rate_limit::Change;
use hollyspoke_metrics::Exporter;
use hollyspoke_socket::shortage::Shortage;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::notes::{probe_name, standing_name};

/// The bucket bounds of histograms, in seconds.
const HISTOGRAM_BOUNDS_S: [f64; 12] =
    [0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.9, 1.5, 3.0, 6.0, 10.0, 15.0];

/// A box's metrics.
#[derive(Debug)]
pub struct Metrics {
    /// The exporter that Prometheus reads.
    exporter: Exporter,
    /// The time from a request's arrival to its end, by outcome.
    request_duration: Histogram<f64>,
    /// Customers' requests, by customer and outcome.
    customer_requests: Counter<u64>,
    /// The units used of customers' limits, by customer.
    customer_units: Counter<u64>,
    /// Calls to engines, by task.
    calls: Counter<u64>,
    /// Failed calls, by kind of failure.
    call_failures: Counter<u64>,
    /// Connections that this box could not open, by the resource that it lacked.
    socket_shortages: Counter<u64>,
    /// Clients that were disconnected for lack of memory or descriptors.
    disconnected: Counter<u64>,
    /// Wanted retries on another engine, by service and whether they were sent.
    retries: Counter<u64>,
    /// Asks for reservations of engines' memory, by answer.
    reservations: Counter<u64>,
    /// Tokens of reservations that no call used, times the seconds that they were reserved.
    reserved_unused: Counter<u64>,
    /// Requests that were decided on while capacity is short, by priority and decision.
    admissions: Counter<u64>,
    /// Whether a service is overloaded.
    overloaded: Gauge<u64>,
    /// Moves of running streams, by reason and outcome.
    moves: Counter<u64>,
    /// Backups of running streams, by use.
    backups: Counter<u64>,
    /// Requests that were held because engines crashed.
    held: Counter<u64>,
    /// Parts of prompts that were held because engines crashed.
    held_parts: Counter<u64>,
    /// Prompt tokens that were sent for prefill.
    prompt_tokens: Counter<u64>,
    /// Clients told to return, by whether capacity was forecast to be free then.
    told_to_return: Counter<u64>,
    /// Requests of clients that had returned after a refusal, by outcome.
    returns: Counter<u64>,
    /// The time from a client's return until capacity was found.
    return_wait: Histogram<f64>,
    /// The version of the configuration in force.
    configuration_version: Gauge<u64>,
    /// Changes of engines.
    engines: Counter<u64>,
    /// The time from learning of missed engine changes until they arrived.
    catch_up: Histogram<f64>,
    /// Boxes that were first seen or timed out.
    peer_changes: Counter<u64>,
    /// The number of engines by stage at the last stage change.
    engines_by_stage: Gauge<u64>,
    /// The demand on which the last stage change was decided.
    demand: Gauge<u64>,
    /// Changes of engines' stages that this box decided.
    stage_changes: Counter<u64>,
    /// Orders to engines, by outcome.
    orders: Counter<u64>,
    /// Whether this box holds the lease for orders.
    order_lease: Gauge<u64>,
    /// Whether a data centre is being evacuated.
    evacuated: Gauge<u64>,
    /// The paces of engines, in percent of the usual.
    engine_paces: Gauge<u64>,
    /// The limits of rate-limited engines, in thousandths of a request per second.
    engine_limits: Gauge<u64>,
    /// The number of times that the store was restored from an older copy.
    store_era: Gauge<u64>,
    /// Requests that were passed on to another box.
    passed_on: Counter<u64>,
    /// Streams that clients resume, by what their software version is known from.
    resumed: Counter<u64>,
    /// Whether the box has lost contact with the engines of a service.
    lost_contact: Gauge<u64>,
    /// Probes of engines, by what they found.
    probes: Counter<u64>,
    /// Silent calls whose request was sent to another engine, too.
    silent_calls: Counter<u64>,
    /// Silent calls that went on.
    recalled_calls: Counter<u64>,
    /// Whether an engine is shutting down.
    engines_leaving: Gauge<u64>,
    /// Whether an engine backs off from this box.
    engines_backing_off: Gauge<u64>,
}

impl Metrics {
    /// Creates the metrics.
    ///
    /// # Errors
    ///
    /// If the exporter can't be set up.
    pub fn new() -> eyre::Result<Metrics> {
        let exporter = Exporter::new()?;
        let request_duration = "from a request's arrival to its end, by how it ended";
        let configuration_version = "the version of the configuration in force";
        let count = |name, what| exporter.counter(name, what);
        let gauge = |name, what| exporter.gauge(name, what);
        Ok(Metrics {
            request_duration: exporter.seconds_histogram(
                "hollyspoke_request",
                request_duration,
                &HISTOGRAM_BOUNDS_S,
            ),
            configuration_version: gauge("hollyspoke_configuration_version", configuration_version),
            customer_requests: count(
                "hollyspoke_customer_requests",
                "customers' requests, by customer and how they ended",
            ),
            customer_units: count(
                "hollyspoke_customer_units",
                "units of customers' limits that were taken, by customer",
            ),
            calls: count("hollyspoke_calls", "calls to engines, by task"),
            call_failures: count("hollyspoke_call_failures", "failed calls, by how"),
            socket_shortages: count(
                "hollyspoke_socket_shortages",
                "connections that this box could not open, by the resource that it lacked",
            ),
            disconnected: count(
                "hollyspoke_clients_disconnected",
                "slow or idle clients that were disconnected for lack of memory or descriptors",
            ),
            retries: count("hollyspoke_repeats", "repeats wanted, by service and whether sent"),
            reservations: count(
                "hollyspoke_reservations",
                "asks for reservations of engines' memory, by how they ended",
            ),
            reserved_unused: count(
                "hollyspoke_reserved_unused_token_s",
                "tokens of reservations that no call used, times the seconds that they stood",
            ),
            moves: count("hollyspoke_moves", "moves of running streams, by reason and outcome"),
            backups: count("hollyspoke_backups", "backups of running streams, by use"),
            held: count("hollyspoke_held_requests", "requests held back since engines crashed"),
            held_parts: count(
                "hollyspoke_held_parts",
                "prompt parts held back since engines crashed",
            ),
            prompt_tokens: count("hollyspoke_prompt_tokens", "tokens of prompts sent to be read"),
            told_to_return: count(
                "hollyspoke_told_to_return",
                "refused clients told to return, by whether capacity was forecast",
            ),
            returns: count("hollyspoke_returns", "clients that returned, by how they fared"),
            return_wait: exporter.seconds_histogram(
                "hollyspoke_return_wait",
                "from a client's return until capacity was found",
                &HISTOGRAM_BOUNDS_S,
            ),
            engines: count("hollyspoke_engine_changes", "engines that changed or left"),
            catch_up: exporter.seconds_histogram(
                "hollyspoke_engine_catch_up",
                "from learning of missed engine changes until they arrived",
                &HISTOGRAM_BOUNDS_S,
            ),
            engines_by_stage: gauge("hollyspoke_engines", "engines by stage at the last change"),
            demand: gauge("hollyspoke_demand", "tokens a second read, and tokens held, then"),
            stage_changes: count("hollyspoke_stage_changes", "changes of stage decided"),
            orders: count("hollyspoke_orders", "orders to engines, by what became of them"),
            order_lease: gauge(
                "hollyspoke_order_lease",
                "whether this box holds the lease for orders",
            ),
            evacuated: gauge("hollyspoke_evacuated", "whether a data centre is evacuated"),
            engine_paces: gauge(
                "hollyspoke_engine_pace_percent",
                "the time that work takes at an engine, in percent of its service's usual",
            ),
            engine_limits: gauge(
                "hollyspoke_engine_limit_milli",
                "thousandths of a request a second that an engine takes from all boxes; 0: no limit",
            ),
            store_era: gauge(
                "hollyspoke_store_era",
                "how often the store came back from an older copy",
            ),
            resumed: count(
                "hollyspoke_streams_resumed",
                "Streams that clients resume, by what their software version is known from",
            ),
            passed_on: count(
                "hollyspoke_requests_passed_on",
                "requests that were passed on to another box",
            ),
            lost_contact: gauge(
                "hollyspoke_contact_lost",
                "1 while this box reaches no engine of a service",
            ),
            probes: count("hollyspoke_probes", "probes of engines, by what they found"),
            silent_calls: count(
                "hollyspoke_silent_calls",
                "silent calls whose request was sent to another engine too, by what the engine is",
            ),
            recalled_calls: count(
                "hollyspoke_silent_calls_gone_on",
                "silent calls that went on before another one had replaced them",
            ),
            engines_leaving: gauge(
                "hollyspoke_engine_leaving",
                "whether an engine is about to leave",
            ),
            engines_backing_off: gauge(
                "hollyspoke_engine_resting",
                "whether an engine wants nothing from this box for a time",
            ),
            admissions: count(
                "hollyspoke_admissions",
                "requests decided on while capacity is short, by priority and decision",
            ),
            overloaded: gauge("hollyspoke_overloaded", "whether a service is overloaded"),
            peer_changes: count("hollyspoke_peer_changes", "boxes first heard or fallen silent"),
            exporter,
        })
    }

    /// Counts one decision.
    pub fn record(&self, event: &LogEvent) {
        match event {
            LogEvent::Ended { customer, units, outcome, after, .. } => {
                self.record_end(outcome, *after);
                if let Some(customer) = customer {
                    self.record_customer(customer, *units, outcome);
                }
            }
            LogEvent::ToldToReturn { is_promised, .. } => {
                self.told_to_return.add(1, &[KeyValue::new("promised", *is_promised)]);
            }
            LogEvent::Returned { outcome, waited, .. } => {
                self.returns.add(1, &[KeyValue::new("how", outcome_label(outcome))]);
                if let Some(waited) = waited {
                    self.return_wait.record(waited.as_secs_f64(), &[]);
                }
            }
            LogEvent::Sent { task, tokens, .. } => {
                self.calls.add(1, &[KeyValue::new("task", *task)]);
                if matches!(*task, "read" | "read and generate") {
                    self.prompt_tokens.add(*tokens, &[]);
                }
            }
            LogEvent::Retry { service, is_sent, .. } => {
                let service = KeyValue::new("service", service.clone());
                self.retries.add(1, &[service, KeyValue::new("sent", *is_sent)]);
            }
            LogEvent::ReservationAsked { outcome, .. } => {
                self.reservations.add(1, &[KeyValue::new("how", *outcome)])
            }
            LogEvent::ReservationUnused { tokens, duration, .. } => {
                let token_s = *tokens as f64 * duration.as_secs_f64();
                self.reserved_unused.add(token_s.round() as u64, &[]);
            }
            LogEvent::Moved { reason, .. } => self.record_move(reason, "moved"),
            LogEvent::NotMoved { reason, outcome, .. } => self.record_move(reason, outcome),
            LogEvent::BackedUp { .. } => self.backups.add(1, &[KeyValue::new("use", "made")]),
            LogEvent::BackupUsed { outcome, .. } => {
                self.backups.add(1, &[KeyValue::new("use", *outcome)]);
            }
            LogEvent::Failed { outcome, .. } => {
                self.call_failures.add(1, &[KeyValue::new("how", *outcome)])
            }
            LogEvent::Configured { version, .. } => {
                self.configuration_version.record(*version, &[])
            }
            LogEvent::Engine { .. } | LogEvent::EngineRemoved { .. } => self.engines.add(1, &[]),
            LogEvent::CaughtUp { after } => self.catch_up.record(after.as_secs_f64(), &[]),
            LogEvent::ManyEngines { put, left } => self.engines.add((put + left) as u64, &[]),
            LogEvent::Peers { joined, timed_out, .. } => {
                self.peer_changes.add(joined.len() as u64, &[KeyValue::new("alive", true)]);
                self.peer_changes.add(timed_out.len() as u64, &[KeyValue::new("alive", false)]);
            }
            LogEvent::Switch { stage, engines, demand, .. } => {
                self.engines_by_stage
                    .record(u64::from(engines.prefill), &[KeyValue::new("stage", "reads")]);
                let decode_engines = u64::from(engines.decode);
                self.engines_by_stage
                    .record(decode_engines, &[KeyValue::new("stage", "generates")]);
                self.demand.record(
                    u64::from(demand.prefill_tokens_per_s),
                    &[KeyValue::new("of", "reading")],
                );
                self.demand.record(u64::from(demand.held_tokens), &[KeyValue::new("of", "memory")]);
                let to = if *stage == Stage::Prefill { "reads" } else { "generates" };
                self.stage_changes.add(1, &[KeyValue::new("to", to)]);
            }
            LogEvent::OrderEnded { outcome, .. } => {
                self.orders.add(1, &[KeyValue::new("how", *outcome)])
            }
            LogEvent::Lease(token) => self.order_lease.record(u64::from(token.is_some()), &[]),
            LogEvent::Quarantined { part: None, .. } => self.held.add(1, &[]),
            LogEvent::Quarantined { .. } => self.held_parts.add(1, &[]),
            LogEvent::Evacuated { data_centre, is_lifted } => {
                let data_centre = KeyValue::new("data_centre", data_centre.clone());
                self.evacuated.record(u64::from(!is_lifted), &[data_centre]);
            }
            LogEvent::Pace { id, percent, .. } => {
                self.engine_paces.record(u64::from(*percent), &[engine_label(id)])
            }
            LogEvent::Admission { service, priority, decision } => {
                let labels = [
                    KeyValue::new("service", service.clone()),
                    KeyValue::new("priority", i64::from(*priority)),
                    KeyValue::new("decision", decision_label(*decision)),
                ];
                self.admissions.add(1, &labels);
            }
            LogEvent::Overload { service, has_ended } => {
                let service = KeyValue::new("service", service.clone());
                self.overloaded.record(u64::from(!has_ended), &[service]);
            }
            LogEvent::ContactLost { service } => self.record_contact(service, true),
            LogEvent::ContactRegained { service, .. } => self.record_contact(service, false),
            LogEvent::Limited { id, change, .. } => self.record_limit(id, change),
            LogEvent::StoreReturned { era, .. } => self.record_era(*era),
            LogEvent::ShuttingDown { id, .. } => {
                self.engines_leaving.record(1, &[engine_label(id)])
            }
            LogEvent::ShutDown { id, .. } => self.engines_leaving.record(0, &[engine_label(id)]),
            LogEvent::BackOff { id, change: back_off::Change::Begun(_) } => {
                self.engines_backing_off.record(1, &[engine_label(id)]);
            }
            LogEvent::BackOff { id, change: back_off::Change::Ended(_) } => {
                self.engines_backing_off.record(0, &[engine_label(id)]);
            }
            LogEvent::BackOff { change: back_off::Change::Unreadable, .. } => {}
            LogEvent::Silent { standing, .. } => {
                let standing = KeyValue::new("engine_is", standing_name(*standing));
                self.silent_calls.add(1, &[standing]);
            }
            LogEvent::Recalled { .. } => self.recalled_calls.add(1, &[]),
            LogEvent::WentOn { .. } => {}
            LogEvent::Probed { probe, .. } => {
                self.probes.add(1, &[KeyValue::new("found", probe_name(*probe))]);
            }
            LogEvent::PassedOn { .. } => self.passed_on.add(1, &[]),
            LogEvent::Ordered { .. } | LogEvent::Census { .. } | LogEvent::CasesRead { .. } => {}
            LogEvent::Released { .. } | LogEvent::Suspended(_) | LogEvent::Paused(_) => {}
            LogEvent::ClientResumes { .. }
            | LogEvent::VersionRegister { .. }
            | LogEvent::ArchiveRead { .. } => {}
            LogEvent::OriginSought { source, .. } => {
                self.resumed.add(1, &[KeyValue::new("from", *source)]);
            }
            LogEvent::OtherVersion { .. } => {
                self.resumed.add(1, &[KeyValue::new("from", "other version")]);
            }
            LogEvent::Listed { .. }
            | LogEvent::ListDropped { .. }
            | LogEvent::NotForwarded { .. }
            | LogEvent::Avoided { .. }
            | LogEvent::WatchesStore(_)
            | LogEvent::ListStale { .. }
            | LogEvent::Stopping(_) => {}
        }
    }

    /// Records whether contact with a service is lost.
    fn record_contact(&self, service: &Arc<str>, is_lost: bool) {
        let service = KeyValue::new("service", service.clone());
        self.lost_contact.record(u64::from(is_lost), &[service]);
    }

    /// Records the newest era of the store.
    pub fn record_era(&self, store_era: u64) {
        self.store_era.record(store_era, &[]);
    }

    /// Counts a connection that this box could not open for lack of a resource.
    pub fn count_shortage(&self, shortage: Shortage) {
        self.socket_shortages.add(1, &[KeyValue::new("resource", shortage.name())]);
    }

    /// Counts a client that was disconnected for lack of memory or descriptors.
    pub fn count_disconnected(&self) {
        self.disconnected.add(1, &[]);
    }

    /// Returns all metrics in Prometheus' text format.
    pub fn text(&self) -> String {
        self.exporter.prometheus_text()
    }

    /// Records a change of an engine's limit.
    fn record_limit(&self, id: &Arc<str>, change: &Change) {
        match change {
            Change::Set(_, rate) => {
                self.engine_limits.record((rate * 1e3) as u64, &[engine_label(id)])
            }
            Change::Lifted => self.engine_limits.record(0, &[engine_label(id)]),
            Change::Unreadable => {}
        }
    }

    /// Counts a stream that was to be moved.
    fn record_move(&self, reason: &'static str, outcome: &'static str) {
        self.moves.add(1, &[KeyValue::new("reason", reason), KeyValue::new("outcome", outcome)]);
    }

    /// Counts a customer's request and its units.
    fn record_customer(&self, customer: &Arc<str>, units: u64, outcome: &'static str) {
        let customer = KeyValue::new("customer", customer.clone());
        self.customer_units.add(units, std::slice::from_ref(&customer));
        self.customer_requests.add(1, &[customer, KeyValue::new("how", outcome_label(outcome))]);
    }

    /// Records the outcome and the duration of a request that ended.
    fn record_end(&self, outcome: &'static str, after: Duration) {
        self.request_duration.record(after.as_secs_f64(), &[KeyValue::new("how", outcome)]);
    }
}

/// Returns the label of a decision on admission.
fn decision_label(decision: Decision) -> &'static str {
    match decision {
        Decision::Admit => "admitted",
        Decision::Wait => "waiting",
        Decision::Reject => "rejected",
    }
}

/// Returns the label that names an engine.
fn engine_label(id: &Arc<str>) -> KeyValue {
    KeyValue::new("engine", id.clone())
}

/// Returns a request's outcome as one of a few labels, since each pair of customer and label is a
/// time series.
fn outcome_label(outcome: &'static str) -> &'static str {
    match outcome {
        "answered" | "whole" => "served",
        "over limit" | "client left" => outcome,
        _ if outcome.starts_with("refused") => "refused",
        _ => "failed",
    }
}
