//! Consistency checks of a draft.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use hollyspoke::site::{Engine, Kind};

use crate::finding::{Finding, nearest};
use crate::parse::{Draft, NameKind};

/// The path prefixes that are reserved for the box's own interface.
const RESERVED_PREFIXES: [&str; 4] = ["/v1", "/metrics", "/healthz", "/readyz"];

/// Checks a draft and appends all findings.
pub fn check(draft: &Draft, findings: &mut Vec<Finding>) {
    check_names(draft, findings);
    check_references(draft, findings);
    check_addresses(draft, findings);
    check_prefixes(draft, findings);
    check_services(draft, findings);
}

/// Checks that names are unique within each kind.
fn check_names(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut seen = BTreeSet::new();
    for (kind, name) in &draft.definitions {
        if !seen.insert((*kind, name.value.as_str())) {
            let message = format!("the {} `{}` is there twice", kind.label(), name.value);
            findings
                .push(Finding::new(name.span.clone(), message).with_hint("give it another name"));
        }
    }
}

/// Checks that every referenced name is defined.
fn check_references(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut defined: BTreeMap<NameKind, BTreeSet<&str>> = BTreeMap::new();
    for (kind, name) in &draft.definitions {
        defined.entry(*kind).or_default().insert(&name.value);
    }
    let none = BTreeSet::new();
    for (kind, name) in &draft.references {
        let known = defined.get(kind).unwrap_or(&none);
        if known.contains(name.value.as_str()) {
            continue;
        }
        let message = format!("there is no {} `{}`", kind.label(), name.value);
        let mut finding = Finding::new(name.span.clone(), message);
        if let Some(suggestion) = nearest(&name.value, known.iter().copied()) {
            finding = finding.with_hint(format!("did you mean `{suggestion}`?"));
        }
        findings.push(finding);
    }
}

/// Checks that addresses are IP addresses with a port, each used once.
fn check_addresses(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut seen = BTreeSet::new();
    for address in &draft.addresses {
        if address.value.parse::<SocketAddr>().is_err() {
            let message = format!("`{}` is no address", address.value);
            let hint = "write an IP number and a port, such as `10.1.0.7:8000`";
            findings.push(Finding::new(address.span.clone(), message).with_hint(hint));
            continue;
        }
        if !seen.insert(&address.value) {
            let message = format!("the address `{}` is used twice", address.value);
            findings.push(Finding::new(address.span.clone(), message));
        }
    }
}

/// Checks that path prefixes begin with a slash, are used once, and are not reserved.
fn check_prefixes(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut seen = BTreeSet::new();
    for prefix in &draft.prefixes {
        let path = prefix.value.trim_end_matches('/');
        let span = prefix.span.clone();
        if !path.starts_with('/') {
            let message = format!("the prefix `{}` does not begin with a slash", prefix.value);
            findings.push(Finding::new(span, message).with_hint("write a path such as `/orders`"));
            continue;
        }
        let reserved =
            RESERVED_PREFIXES.iter().find(|it| path == **it || path.starts_with(&format!("{it}/")));
        if let Some(reserved) = reserved {
            let message = format!("the prefix `{reserved}` belongs to the box itself");
            findings.push(Finding::new(span, message).with_hint("choose another path"));
            continue;
        }
        if !seen.insert(path) {
            let message = format!("the prefix `{}` is used twice", prefix.value);
            findings.push(Finding::new(span, message));
        }
    }
}

/// Checks that every service has the engines or upstreams that its kind needs.
fn check_services(draft: &Draft, findings: &mut Vec<Finding>) {
    let site = &draft.site;
    for service in &site.services {
        let entry = draft.services.iter().find(|(name, _)| *name == service.name);
        let Some((_, span)) = entry else { continue };
        let engines: Vec<&Engine> =
            site.engines.iter().filter(|it| it.service == service.name).collect();
        let upstreams = site.upstreams.iter().filter(|it| it.service == service.name).count();
        let mut report = |message: String, hint: &str| {
            findings.push(Finding::new(span.clone(), message).with_hint(hint));
        };
        match service.kind {
            Kind::Engines { .. } => {
                if !engines.iter().any(|it| it.role.prefills()) {
                    let message =
                        format!("the service `{}` has no engine to prefill", service.name);
                    report(message, "add an `[[engine]]` with role `prefill` or `both`");
                }
                if !engines.iter().any(|it| it.role.decodes()) {
                    let message = format!("the service `{}` has no engine to decode", service.name);
                    report(message, "add an `[[engine]]` with role `decode` or `both`");
                }
                if upstreams > 0 {
                    let message = format!("the service `{}` has plain upstreams", service.name);
                    report(message, "make them engines, or the service `plain`");
                }
            }
            Kind::Plain { .. } => {
                if upstreams == 0 {
                    let message = format!("the service `{}` has no upstream", service.name);
                    report(message, "add an `[[upstream]]`");
                }
                if !engines.is_empty() {
                    let message = format!("the plain service `{}` has engines", service.name);
                    report(message, "make them upstreams, or the service `engines`");
                }
            }
        }
    }
}
