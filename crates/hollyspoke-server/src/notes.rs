//! Writes the reducer's decisions to the log, one structured line each.

use std::net::SocketAddr;

use hollyspoke_gateway::effect::{KeptFrom, Note};
use hollyspoke_gateway::engine::Stage;
use hollyspoke_gateway::intake::Change;
use hollyspoke_gateway::terms::Bar;
use hollyspoke_gateway::{departure, rest};
use slog::{Logger, info, o, warn};

/// Writes a line.
pub fn write(log: &Logger, note: &Note) {
    match note {
        Note::Configured { version, routes } => {
            info!(log, "configuration in force"; "version" => version, "routes" => routes);
        }
        Note::Evacuated { data_centre, is_lifted } => {
            let message = if *is_lifted { "evacuation lifted" } else { "evacuated" };
            warn!(log, "{}", message; "data_centre" => %data_centre);
        }
        Note::Listed { engines, revision } => {
            info!(log, "engines listed"; "engines" => engines,
                "era" => revision.era, "revision" => revision.number);
        }
        Note::ListDropped { revision, known } => warn!(log, "list of engines not taken";
            "era" => revision.era, "revision" => revision.number, "known" => %known),
        Note::StoreReturned { era, revision, told_by } => warn!(log, "store came back from a copy";
            "era" => era, "era_before" => revision.era, "revision_before" => revision.number,
            "told_by" => told_by.map(|it| it.to_string())),
        Note::Engine { id, address, is_draining } => info!(log, "engine";
            "engine" => %id, "address" => %address, "draining" => is_draining),
        Note::EngineLeft { id } => info!(log, "engine left"; "engine" => %id),
        Note::Avoided { id, span } => info!(log, "engine avoided";
            "engine" => %id, "span_ms" => millis(span)),
        Note::Limited { id, change, told_by, age } => {
            let told_by = told_by.map(|it| it.to_string());
            let log = log.new(o!("told_by" => told_by, "age_ms" => millis(age)));
            write_limit(&log, id, change);
        }
        Note::Leaving { id, told_by, age } => warn!(log, "engine leaving"; "engine" => %id,
            "told_by" => told_by.map(|it| it.to_string()), "age_ms" => millis(age)),
        Note::HasLeft { id, end, age } => info!(log, "engine has left";
            "engine" => %id, "how" => end_name(*end), "age_ms" => millis(age)),
        Note::Rest { id, change } => write_rest(log, id, change),
        Note::Sent { request, engine, task, source, expected, tokens, held, before } => {
            info!(log, "call sent";
            "request" => %request, "engine" => %engine, "task" => task,
            "source" => source.map(|it| it.to_string()),
            "expected_ms" => millis(expected), "tokens" => tokens, "held" => held, "before" => before)
        }
        Note::Repeat { request, service, is_sent, saved, boxes } => {
            let message = if *is_sent { "repeat sent" } else { "repeat not allowed" };
            info!(log, "{}", message;
                "request" => %request, "service" => %service,
                "left" => saved, "boxes" => boxes)
        }
        Note::Failed { request, signature, path, engine, how, status, told, known } => {
            info!(log, "call failed";
            "request" => %request, "signature" => signature.short(), "path" => %path, "engine" => %engine, "how" => how, "status" => status,
            "told" => told.map(|it| format!("{},{},{}", it.running, it.waiting, it.slots)),
            "held" => known.held, "calls" => known.calls)
        }
        Note::Ended { request, customer, units, kept_from, how, after } => {
            info!(log, "request ended";
            "request" => %request, "customer" => customer.as_deref(), "units" => units,
            "limited" => kept_by(kept_from, Bar::Limit),
            "leaving" => kept_by(kept_from, Bar::Leaving),
            "resting" => kept_by(kept_from, Bar::Rest),
            "how" => how, "after_ms" => millis(after))
        }
        Note::Peers { heard, silent, alive } => info!(log, "peers changed";
            "heard" => heard.len(), "silent" => silent.len(), "alive" => alive,
            "heard_first" => some(heard), "silent_first" => some(silent)),
        Note::Held { signature, about, engines, until } => warn!(log, "request held back";
            "signature" => signature.short(),
            "path" => about.as_ref().map(|it| it.path.to_string()),
            "customer" => about.as_ref().and_then(|it| it.customer.as_deref()),
            "engines" => engines, "until" => until),
        Note::Released { signature, how } => info!(log, "request released";
            "signature" => signature.short(), "how" => how),
        Note::CasesRead { cases } => info!(log, "held requests in the store"; "cases" => cases),
        Note::Suspended(span) => warn!(log, "machine was suspended"; "span_ms" => millis(span)),
        Note::Census { boxes, is_written } => info!(log, "boxes in the store";
            "boxes" => boxes, "written" => is_written),
        Note::ManyEngines { put, left } => info!(log, "engines changed";
            "changed" => put, "left" => left),
        Note::Follows(follows) => info!(log, "follows the store"; "follows" => follows),
        Note::Lease(token) => info!(log, "lease for orders";
            "held" => token.is_some(), "token" => token),
        Note::Switch { id, stage, engines, demand } => info!(log, "engine to change its stage";
            "engine" => %id, "stage" => stage_name(*stage),
            "readers" => engines.prefill, "generators" => engines.decode,
            "reading" => demand.reading, "held" => demand.held, "requests" => demand.requests),
        Note::Ordered { id, stage, token, before } => info!(log, "order sent";
            "engine" => %id, "stage" => stage_name(*stage), "token" => token, "before" => before),
        Note::OrderEnded { id, how } => info!(log, "order ended"; "engine" => %id, "how" => how),
        Note::Stopping => info!(log, "stopping"),
    }
}

/// Writes a line on what an engine takes.
fn write_limit(log: &Logger, id: &str, change: &Change) {
    match change {
        Change::Named(told, rate) => warn!(log, "engine limited";
            "engine" => id, "told" => told, "per_s" => rate),
        Change::Unreadable => warn!(log, "engine limit not read"; "engine" => id),
        Change::Lifted => info!(log, "engine limit lifted"; "engine" => id),
    }
}

/// Writes a line on an engine's rest.
fn write_rest(log: &Logger, id: &str, change: &rest::Change) {
    match change {
        rest::Change::Begun(span) => warn!(log, "engine rests";
            "engine" => id, "for_ms" => millis(span)),
        rest::Change::Unreadable => warn!(log, "engine rest not read"; "engine" => id),
        rest::Change::Ended(after) => info!(log, "engine rest ended";
            "engine" => id, "after_ms" => millis(after)),
    }
}

/// Gives how a departure ended.
fn end_name(end: departure::End) -> &'static str {
    match end {
        departure::End::Gone => "gone",
        departure::End::Restarted => "started again",
    }
}

/// Gives the engines that a request was kept from for a reason, if there are any.
fn kept_by(kept_from: &[KeptFrom], by: Bar) -> Option<String> {
    let engines: Vec<_> = kept_from.iter().filter(|it| it.by == by).map(|it| &*it.engine).collect();
    (!engines.is_empty()).then(|| engines.join(" "))
}

/// The most boxes that one line names.
const MOST_NAMED: usize = 4;

/// Gives the first of some addresses.
fn some(nodes: &[SocketAddr]) -> String {
    let first: Vec<_> = nodes.iter().take(MOST_NAMED).map(SocketAddr::to_string).collect();
    first.join(" ")
}

/// Gives a stage's name.
fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Prefill => "reads",
        Stage::Decode => "generates",
    }
}

/// Gives a span in whole milliseconds.
fn millis(span: &std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
