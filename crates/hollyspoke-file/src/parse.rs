//! The parser from the text of a site file to a draft, which records the positions of all names.

use std::ops::Range;
use std::time::Duration;

use hollyspoke::site::{Engine, Kind, Link, Model, Role, Service, Site, Tenant, Upstream};
use toml::de::DeTable;

use crate::finding::Finding;
use crate::reader::{Located, Reader};

/// The default target for the first token, in milliseconds.
const DEFAULT_FIRST_TOKEN_MS: u64 = 1200;

/// The default target for the time between tokens, in milliseconds.
const DEFAULT_BETWEEN_TOKENS_MS: u64 = 35;

/// The default timeout of a call to a plain service, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// The bytes of one megabyte, the decimal unit of link rates.
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// The kind of object that a name in the file refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NameKind {
    /// A data centre.
    DataCentre,
    /// A model.
    Model,
    /// An adapter of a model.
    Adapter,
    /// A service.
    Service,
    /// An engine or a plain upstream, which share a namespace.
    Upstream,
    /// A tenant.
    Tenant,
}

impl NameKind {
    /// Returns the term used in messages.
    pub fn label(self) -> &'static str {
        match self {
            NameKind::DataCentre => "data centre",
            NameKind::Model => "model",
            NameKind::Adapter => "adapter",
            NameKind::Service => "service",
            NameKind::Upstream => "engine or upstream",
            NameKind::Tenant => "tenant",
        }
    }
}

/// A parsed site that may still be inconsistent.
#[derive(Debug, Clone, Default)]
pub struct Draft {
    /// The parsed site.
    pub site: Site,
    /// The defined names, with their positions.
    pub definitions: Vec<(NameKind, Located<String>)>,
    /// The referenced names, with their positions.
    pub references: Vec<(NameKind, Located<String>)>,
    /// The addresses, with their positions.
    pub addresses: Vec<Located<String>>,
    /// The path prefixes, with their positions.
    pub prefixes: Vec<Located<String>>,
    /// The names of services, with the positions of their tables.
    pub services: Vec<(String, Range<usize>)>,
}

impl Draft {
    /// Records a defined name and returns it.
    fn define(&mut self, kind: NameKind, name: Option<Located<String>>) -> String {
        let Some(name) = name else { return String::new() };
        let value = name.value.clone();
        self.definitions.push((kind, name));
        value
    }

    /// Records a referenced name and returns it.
    fn reference(&mut self, kind: NameKind, name: Option<Located<String>>) -> String {
        let Some(name) = name else { return String::new() };
        let value = name.value.clone();
        self.references.push((kind, name));
        value
    }

    /// Records an address and returns it.
    fn address(&mut self, address: Option<Located<String>>) -> String {
        let Some(address) = address else { return String::new() };
        let value = address.value.clone();
        self.addresses.push(address);
        value
    }
}

/// Parses a file. Returns `None` if the text is not valid TOML; the findings then have the reason.
pub fn parse(text: &str, findings: &mut Vec<Finding>) -> Option<Draft> {
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let span = error.span().unwrap_or(0..0);
        findings.push(Finding::new(span, error.message()));
    }
    if !errors.is_empty() {
        return None;
    }
    let mut draft = Draft::default();
    let first_line = 0..text.find('\n').unwrap_or(text.len());
    let mut reader = Reader::new(root.get_ref(), first_line, "the file", findings);
    draft.site.name = reader.text("site").map(|it| it.value).unwrap_or_default();
    for data_centre in reader.texts("data_centres") {
        let name = draft.define(NameKind::DataCentre, Some(data_centre));
        draft.site.data_centres.push(name);
    }
    let models = reader.tables("model");
    let services = reader.tables("service");
    let engines = reader.tables("engine");
    let upstreams = reader.tables("upstream");
    let links = reader.tables("link");
    let tenants = reader.tables("tenant");
    reader.report_unknown_keys();
    for (table, span) in models {
        model(&mut draft, Reader::new(table, span, "a model", findings));
    }
    for (table, span) in services {
        service(&mut draft, Reader::new(table, span, "a service", findings));
    }
    for (table, span) in engines {
        engine(&mut draft, Reader::new(table, span, "an engine", findings));
    }
    for (table, span) in upstreams {
        upstream(&mut draft, Reader::new(table, span, "an upstream", findings));
    }
    for (table, span) in links {
        link(&mut draft, Reader::new(table, span, "a link", findings));
    }
    for (table, span) in tenants {
        tenant(&mut draft, Reader::new(table, span, "a tenant", findings));
    }
    Some(draft)
}

/// Parses the table of a model.
fn model(draft: &mut Draft, mut reader: Reader<'_, '_>) {
    let name = draft.define(NameKind::Model, reader.text("name"));
    let kv_bytes_per_token = reader.count("kv_bytes_per_token").unwrap_or(0);
    draft.site.models.push(Model { name, kv_bytes_per_token });
    reader.report_unknown_keys();
}

/// Parses the table of a service.
fn service(draft: &mut Draft, mut reader: Reader<'_, '_>) {
    let name = draft.define(NameKind::Service, reader.text("name"));
    draft.services.push((name.clone(), reader.span()));
    let kind = reader.text("kind");
    let kind = match kind.as_ref().map(|it| it.value.as_str()) {
        Some("engines") => {
            let model = draft.reference(NameKind::Model, reader.text("model"));
            let adapters = reader.texts("adapters");
            let adapters =
                adapters.into_iter().map(|it| draft.define(NameKind::Adapter, Some(it))).collect();
            let first_token = millis(reader.count_or("first_token_ms", DEFAULT_FIRST_TOKEN_MS));
            let between_tokens =
                millis(reader.count_or("between_tokens_ms", DEFAULT_BETWEEN_TOKENS_MS));
            Kind::Engines { model, adapters, first_token, between_tokens }
        }
        Some("plain") => {
            let prefix = reader.text("prefix");
            draft.prefixes.extend(prefix.clone());
            let prefix = prefix.map(|it| it.value).unwrap_or_default();
            let repeatable = reader.flag_or("repeatable", false);
            let timeout = millis(reader.count_or("timeout_ms", DEFAULT_TIMEOUT_MS));
            Kind::Plain { prefix, repeatable, timeout }
        }
        Some(other) => {
            let message = format!("there is no kind `{other}` of service");
            let span = kind.as_ref().map_or(reader.span(), |it| it.span.clone());
            reader.report(Finding::new(span, message).with_hint("write `engines` or `plain`"));
            return;
        }
        None => return,
    };
    draft.site.services.push(Service { name, kind });
    reader.report_unknown_keys();
}

/// Parses the table of an engine.
fn engine(draft: &mut Draft, mut reader: Reader<'_, '_>) {
    let name = draft.define(NameKind::Upstream, reader.text("name"));
    let service = draft.reference(NameKind::Service, reader.text("service"));
    let data_centre = draft.reference(NameKind::DataCentre, reader.text("data_centre"));
    let address = draft.address(reader.text("address"));
    let role = role(&mut reader);
    let engine = Engine {
        name,
        service,
        data_centre,
        address,
        role,
        memory_tokens: reader.count("memory_tokens").unwrap_or(1),
        prefill_rate: reader.count("prefill_tokens_per_second").unwrap_or(1),
        token_time: millis(reader.count_or("token_ms", DEFAULT_BETWEEN_TOKENS_MS)),
        checks_orders: reader.flag_or("checks_orders", false),
        leaving: reader.flag_or("leaving", false),
    };
    draft.site.engines.push(engine);
    reader.report_unknown_keys();
}

/// Parses the role of an engine.
fn role(reader: &mut Reader<'_, '_>) -> Role {
    let Some(role) = reader.text("role") else { return Role::Both };
    match role.value.as_str() {
        "prefill" => Role::Prefill,
        "decode" => Role::Decode,
        "both" => Role::Both,
        other => {
            let message = format!("there is no role `{other}`");
            let hint = "write `prefill`, `decode` or `both`";
            reader.report(Finding::new(role.span, message).with_hint(hint));
            Role::Both
        }
    }
}

/// Parses the table of a plain service's upstream.
fn upstream(draft: &mut Draft, mut reader: Reader<'_, '_>) {
    let upstream = Upstream {
        name: draft.define(NameKind::Upstream, reader.text("name")),
        service: draft.reference(NameKind::Service, reader.text("service")),
        data_centre: draft.reference(NameKind::DataCentre, reader.text("data_centre")),
        address: draft.address(reader.text("address")),
        leaving: reader.flag_or("leaving", false),
    };
    draft.site.upstreams.push(upstream);
    reader.report_unknown_keys();
}

/// Parses the table of a link.
fn link(draft: &mut Draft, mut reader: Reader<'_, '_>) {
    let link = Link {
        from: draft.reference(NameKind::DataCentre, reader.text("from")),
        to: draft.reference(NameKind::DataCentre, reader.text("to")),
        bytes_per_second: reader
            .count("megabytes_per_second")
            .unwrap_or(1)
            .saturating_mul(BYTES_PER_MEGABYTE),
    };
    draft.site.links.push(link);
    reader.report_unknown_keys();
}

/// Parses the table of a tenant.
fn tenant(draft: &mut Draft, mut reader: Reader<'_, '_>) {
    let tenant = Tenant {
        name: draft.define(NameKind::Tenant, reader.text("name")),
        requests_per_second: reader.optional_number("requests_per_second"),
        share: reader.optional_number("share").unwrap_or(1.0),
    };
    draft.site.tenants.push(tenant);
    reader.report_unknown_keys();
}

/// Converts milliseconds to a duration.
fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}
