//! Writes the reducer's decisions to the log, one structured line each.

use std::net::SocketAddr;
use std::sync::Arc;

use hollyspoke_gateway::effect::{Exclusion, LogEvent};
use hollyspoke_gateway::engine::Stage;
use hollyspoke_gateway::event::Probe;
use hollyspoke_gateway::rate_limit::Change;
use hollyspoke_gateway::silence::Standing;
use hollyspoke_gateway::terms::Restriction;
use hollyspoke_gateway::version::SoftwareVersion;
use hollyspoke_gateway::{back_off, departure};
use slog::{Logger, info, o, warn};

/// Writes the log line of one decision.
pub fn write(log: &Logger, note: &LogEvent) {
    match note {
        LogEvent::Configured { version, routes } => {
            info!(log, "configuration in force"; "version" => version, "routes" => routes);
        }
        LogEvent::PassedOn { request, to } => {
            info!(log, "request passed on"; "request" => %request, "to" => %to);
        }
        LogEvent::ContactLost { service } => {
            warn!(log, "contact with engines lost"; "service" => %service);
        }
        LogEvent::ContactRegained { service, duration } => {
            warn!(log, "contact with engines regained";
            "service" => %service, "span_ms" => millis(duration));
        }
        LogEvent::Evacuated { data_centre, is_lifted } => {
            let message = if *is_lifted { "evacuation lifted" } else { "evacuated" };
            warn!(log, "{}", message; "data_centre" => %data_centre);
        }
        LogEvent::Listed { engines, revision } => {
            info!(log, "engines listed"; "engines" => engines,
                "era" => revision.era, "revision" => revision.number);
        }
        LogEvent::ListDropped { revision, known } => warn!(log, "list of engines not taken";
            "era" => revision.era, "revision" => revision.number, "known" => %known),
        LogEvent::CaughtUp { after } => {
            info!(log, "missed engine changes arrived"; "after_ms" => millis(after));
        }
        LogEvent::NotForwarded { changes } => {
            warn!(log, "engine changes not forwarded"; "changes" => changes);
        }
        LogEvent::StoreReturned { era, revision, announced_by } => {
            warn!(log, "store came back from a copy";
            "era" => era, "era_before" => revision.era, "revision_before" => revision.number,
            "told_by" => announced_by.map(|it| it.to_string()))
        }
        LogEvent::Engine { id, address, is_draining, version } => info!(log, "engine";
            "engine" => %id, "address" => %address, "draining" => is_draining,
            "version" => name_of(version.as_ref())),
        LogEvent::EngineRemoved { id } => info!(log, "engine left"; "engine" => %id),
        LogEvent::Avoided { id, duration } => info!(log, "engine avoided";
            "engine" => %id, "span_ms" => millis(duration)),
        LogEvent::Pace { id, is_slow, percent } => {
            let message = if *is_slow { "engine slow" } else { "engine at its usual pace" };
            info!(log, "{}", message; "engine" => %id, "pace_percent" => percent)
        }
        LogEvent::Limited { id, change, announced_by, age } => {
            let announced_by = announced_by.map(|it| it.to_string());
            let log = log.new(o!("told_by" => announced_by, "age_ms" => millis(age)));
            write_limit(&log, id, change);
        }
        LogEvent::ShuttingDown { id, announced_by, age } => {
            warn!(log, "engine leaving"; "engine" => %id,
            "told_by" => announced_by.map(|it| it.to_string()), "age_ms" => millis(age))
        }
        LogEvent::ShutDown { id, end, age } => info!(log, "engine has left";
            "engine" => %id, "how" => end_name(*end), "age_ms" => millis(age)),
        LogEvent::BackOff { id, change } => write_back_off(log, id, change),
        LogEvent::Sent {
            request,
            engine,
            task,
            source,
            expected,
            tokens,
            held,
            before,
            version,
            after_event,
        } => {
            info!(log, "call sent";
            "request" => %request, "engine" => %engine, "task" => task,
            "source" => source.map(|it| it.to_string()),
            "expected_ms" => millis(expected), "tokens" => tokens, "held" => held, "before" => before,
            "version" => name_of(version.as_ref()), "after_event" => after_event)
        }
        LogEvent::ClientResumes { request, resumed_id, last_event } => {
            info!(log, "client resumes a stream"; "request" => %request,
                "resumes" => resumed_id.as_deref(), "after_event" => last_event)
        }
        LogEvent::OriginSought { request, version: key, name, source, after } => {
            let version = name.as_ref().map(|it| it.to_string());
            let version = version.or_else(|| key.map(|it| it.to_string()));
            info!(log, "version of a stream sought"; "request" => %request, "version" => version,
                "from" => source, "after_ms" => millis(after))
        }
        LogEvent::OtherVersion { request, engine } => {
            warn!(log, "engine of another version"; "request" => %request, "engine" => %engine)
        }
        LogEvent::VersionRegister { services, is_written } => {
            info!(log, "versions in the store"; "services" => services, "written" => is_written)
        }
        LogEvent::ArchiveRead { shard, streams, has_failed } => {
            info!(log, "versions of streams in the store";
                "shard" => shard, "streams" => streams, "failed" => has_failed)
        }
        LogEvent::Retry { request, service, is_sent, available, boxes } => {
            let message = if *is_sent { "repeat sent" } else { "repeat not allowed" };
            info!(log, "{}", message;
                "request" => %request, "service" => %service,
                "left" => available, "boxes" => boxes)
        }
        LogEvent::ReservationAsked { request, engine, tokens, outcome, after } => {
            info!(log, "reservation asked";
                "request" => %request, "engine" => %engine, "tokens" => tokens,
                "how" => outcome, "after_ms" => millis(after))
        }
        LogEvent::ReservationUnused { engine, tokens, duration } => {
            info!(log, "reservation unused";
                "engine" => %engine, "tokens" => tokens, "span_ms" => millis(duration))
        }
        LogEvent::Moved { request, source, target, reason, duration } => {
            info!(log, "stream moved";
            "request" => %request, "engine" => %source, "to" => %target, "why" => reason,
            "span_ms" => millis(duration))
        }
        LogEvent::NotMoved { request, source, target, reason, outcome } => {
            info!(log, "stream not moved";
            "request" => %request, "engine" => %source, "to" => target.as_deref(),
            "why" => reason, "how" => outcome)
        }
        LogEvent::BackedUp { request, source, target } => info!(log, "stream backed up";
            "request" => %request, "engine" => %source, "at" => %target),
        LogEvent::BackupUsed { request, source, target, outcome } => info!(log, "backup used";
            "request" => %request, "engine" => %source, "at" => %target, "how" => outcome),
        LogEvent::Failed {
            request,
            signature,
            path,
            shared_parts,
            engine,
            outcome,
            status,
            reported_load,
            total_load,
            silent_for,
            has_begun,
        } => {
            info!(log, "call failed";
            "request" => %request, "signature" => signature.short(), "path" => %path,
            "parts" => part_list(shared_parts),
            "engine" => %engine, "how" => outcome, "status" => status,
            "told" => reported_load.map(|it| format!("{},{},{}", it.running, it.waiting, it.slots)),
            "held" => total_load.held_tokens, "calls" => total_load.calls,
            "silent_ms" => millis(silent_for), "begun" => has_begun)
        }
        LogEvent::Silent { request, engine, silent_for, has_begun, standing } => {
            info!(log, "call silent";
                "request" => %request, "engine" => %engine, "silent_ms" => millis(silent_for),
                "begun" => has_begun, "engine_is" => standing_name(*standing))
        }
        LogEvent::Recalled { request, engine, silent_for, dropped } => {
            info!(log, "silent call goes on";
                "request" => %request, "engine" => %engine, "silent_ms" => millis(silent_for),
                "dropped" => dropped)
        }
        LogEvent::WentOn { id, was_avoided } => info!(log, "silent engine goes on";
            "engine" => %id, "avoided" => was_avoided),
        LogEvent::Probed { id, probe, after } => info!(log, "engine probed";
            "engine" => %id, "found" => probe_name(*probe), "after_ms" => millis(after)),
        LogEvent::Ended { request, customer, units, exclusions, outcome, last_failure, after } => {
            info!(log, "request ended";
            "request" => %request, "customer" => customer.as_deref(), "units" => units,
            "limited" => excluded_engines(exclusions, Restriction::RateLimit),
            "leaving" => excluded_engines(exclusions, Restriction::ShuttingDown),
            "resting" => excluded_engines(exclusions, Restriction::BackOff),
            "how" => outcome, "last_failure" => last_failure, "after_ms" => millis(after))
        }
        LogEvent::ToldToReturn { request, after, is_promised } => {
            info!(log, "client told to return";
            "request" => %request, "after_ms" => millis(after), "promised" => is_promised)
        }
        LogEvent::Returned { request, outcome, waited } => info!(log, "client returned";
            "request" => %request, "how" => outcome, "waited_ms" => waited.as_ref().map(millis)),
        LogEvent::Peers { joined, timed_out, alive } => info!(log, "peers changed";
            "heard" => joined.len(), "silent" => timed_out.len(), "alive" => alive,
            "heard_first" => first_addresses(joined), "silent_first" => first_addresses(timed_out)),
        LogEvent::Quarantined { signature, part, about, engines, until } => {
            let what = if part.is_some() { "prompt part held back" } else { "request held back" };
            warn!(log, "{}", what;
            "signature" => signature.short(), "part" => part.as_deref(),
            "path" => about.as_ref().map(|it| it.path.to_string()),
            "customer" => about.as_ref().and_then(|it| it.customer.as_deref()),
            "engines" => engines, "until" => until)
        }
        LogEvent::Released { signature, outcome } => info!(log, "request released";
            "signature" => signature.short(), "how" => outcome),
        LogEvent::CasesRead { cases } => info!(log, "held requests in the store"; "cases" => cases),
        LogEvent::Suspended(duration) => {
            warn!(log, "machine was suspended"; "span_ms" => millis(duration))
        }
        LogEvent::Paused(duration) => {
            warn!(log, "process was paused"; "span_ms" => millis(duration))
        }
        LogEvent::Census { boxes, is_written } => info!(log, "boxes in the store";
            "boxes" => boxes, "written" => is_written),
        LogEvent::ManyEngines { put, left } => info!(log, "engines changed";
            "changed" => put, "left" => left),
        LogEvent::WatchesStore(follows) => info!(log, "follows the store"; "follows" => follows),
        LogEvent::Lease(token) => info!(log, "lease for orders";
            "held" => token.is_some(), "token" => token),
        LogEvent::Switch { id, stage, engines, demand } => info!(log, "engine to change its stage";
            "engine" => %id, "stage" => stage_name(*stage),
            "readers" => engines.prefill, "generators" => engines.decode,
            "reading" => demand.prefill_tokens_per_s, "held" => demand.held_tokens, "requests" => demand.requests),
        LogEvent::Ordered { id, stage, token, before } => info!(log, "order sent";
            "engine" => %id, "stage" => stage_name(*stage), "token" => token, "before" => before),
        LogEvent::OrderEnded { id, outcome } => {
            info!(log, "order ended"; "engine" => %id, "how" => outcome)
        }
        LogEvent::Overload { service, has_ended } => info!(log, "service overloaded";
            "service" => %service, "ended" => has_ended),
        // Decisions are only counted: there is one for each request.
        LogEvent::Admission { .. } => {}
        LogEvent::ListStale { waiting } => {
            warn!(log, "engines not read again after a pause"; "waiting" => waiting)
        }
        LogEvent::Stopping(left) => info!(log, "stopping"; "grace_left_ms" => millis(left)),
    }
}

/// Writes the log line of a change of an engine's limit.
fn write_limit(log: &Logger, id: &str, change: &Change) {
    match change {
        Change::Set(reported, rate) => warn!(log, "engine limited";
            "engine" => id, "told" => reported, "per_s" => rate),
        Change::Unreadable => warn!(log, "engine limit not read"; "engine" => id),
        Change::Lifted => info!(log, "engine limit lifted"; "engine" => id),
    }
}

/// Writes the log line of a change of an engine's back-off.
fn write_back_off(log: &Logger, id: &str, change: &back_off::Change) {
    match change {
        back_off::Change::Begun(duration) => warn!(log, "engine rests";
            "engine" => id, "for_ms" => millis(duration)),
        back_off::Change::Unreadable => warn!(log, "engine rest not read"; "engine" => id),
        back_off::Change::Ended(after) => info!(log, "engine rest ended";
            "engine" => id, "after_ms" => millis(after)),
    }
}

/// Returns the log's name for how an engine's shutdown ended.
fn end_name(end: departure::EndReason) -> &'static str {
    match end {
        departure::EndReason::Gone => "gone",
        departure::EndReason::Restarted => "started again",
    }
}

/// Returns the engines that were excluded for a request by a restriction; none if there are none.
fn excluded_engines(exclusions: &[Exclusion], by: Restriction) -> Option<String> {
    let engines: Vec<_> =
        exclusions.iter().filter(|it| it.reason == by).map(|it| &*it.engine).collect();
    (!engines.is_empty()).then(|| engines.join(" "))
}

/// The maximum number of boxes that one log line names.
const MAX_NAMED_BOX_COUNT: usize = 4;

/// Returns the first of the given addresses as text.
fn first_addresses(nodes: &[SocketAddr]) -> String {
    let first: Vec<_> = nodes.iter().take(MAX_NAMED_BOX_COUNT).map(SocketAddr::to_string).collect();
    first.join(" ")
}

/// The maximum number of prompt parts that a log line names.
const MAX_NAMED_PART_COUNT: usize = 8;

/// Returns the names of a prompt's shared parts, the first ones if there are many; none if there are
/// no shared parts.
fn part_list(parts: &[Arc<str>]) -> Option<String> {
    let names: Vec<_> = parts.iter().take(MAX_NAMED_PART_COUNT).map(|it| &**it).collect();
    (!names.is_empty()).then(|| names.join(" "))
}

/// Returns the log's name of a software version; none if it isn't known.
fn name_of(version: Option<&SoftwareVersion>) -> Option<&str> {
    version.map(SoftwareVersion::name)
}

/// Returns the log's name of what is known of an engine.
pub fn standing_name(standing: Standing) -> &'static str {
    match standing {
        Standing::Unknown => "unknown",
        Standing::Responsive => "responsive",
        Standing::Still => "still",
        Standing::Unreachable => "unreachable",
    }
}

/// Returns the log's name of what a probe found.
pub fn probe_name(probe: Probe) -> &'static str {
    match probe {
        Probe::Alive(_) => "alive",
        Probe::Replaced => "another engine",
        Probe::NoAnswer => "no answer",
        Probe::Broken => "broken",
        Probe::NotConnected => "no connection",
        Probe::Exhausted => "box exhausted",
    }
}

/// Returns the log's name of a stage.
fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Prefill => "reads",
        Stage::Decode => "generates",
    }
}

/// Returns a duration in whole milliseconds.
fn millis(duration: &std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
