//! The slopes behind `docs/CAPACITY.md`, and the page's figures worked out from them.
//!
//! `cargo bench --bench capacity` measures processor time, memory and bytes at several sizes each
//! and prints the page's tables for the size to design for.

use std::fmt::Write as _;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bincode::Options;
use hollyspoke::claim::MAX_WRITES_PER_S;
use hollyspoke::config::Versioned;
use hollyspoke::effect::Effect;
use hollyspoke::event::{CallId, Event, Reply};
use hollyspoke::key::{Incarnation, Ticket};
use hollyspoke::layout::ShardId;
use hollyspoke::lease::RENEW_INTERVAL;
use hollyspoke::member::{Entry, Heartbeat, LARGE_SITE_GOSSIP_INTERVAL, State};
use hollyspoke::message::{Ask, End, Grant, Message, Stage};
use hollyspoke::node::Node;
use hollyspoke::site::{DataCentreId, ServiceId, Site, TenantId, UpstreamId};
use hollyspoke::time::Time;
use hollyspoke_model::load::{Plan, settings};
use hollyspoke_model::world::generate;

/// Ticks a second of a daemon.
const TICKS: f64 = 20.0;

/// The size to design for.
mod size {
    /// Daemons.
    pub(super) const DAEMONS: f64 = 1500.0;
    /// Engines.
    pub(super) const ENGINES: f64 = 5400.0;
    /// Data centres; each is a site of its own.
    pub(super) const DATA_CENTRES: f64 = 20.0;
    /// Requests a second.
    pub(super) const REQUESTS: f64 = 34_000.0;
    /// Tokens generated a second.
    pub(super) const TOKENS: f64 = 14e6;
    /// Models in use.
    pub(super) const MODELS: f64 = 8.0;
    /// Changes of configuration a day.
    pub(super) const CHANGES: f64 = 9400.0;
    /// Restarts of boxes a day.
    pub(super) const RESTARTS: f64 = 1800.0;
    /// Bytes of KV cache a second.
    pub(super) const KV_BYTES: f64 = 20e12;
    /// The seconds of a day.
    pub(super) const DAY: f64 = 86_400.0;
    /// The seconds that a request takes, from arrival to end.
    pub(super) const REQUEST_SECONDS: f64 = 8.0;
    /// Control: share of a core, bytes of memory, bytes a second.
    pub(super) const BUDGET: (f64, f64, f64) = (0.012, 64e6, 8e3);
}

/// A line through measurements: what none costs, and what each costs.
#[derive(Debug, Clone, Copy)]
struct Slope {
    /// At size zero.
    base: f64,
    /// For each one more.
    each: f64,
}

impl Slope {
    /// Fits a line by least squares.
    fn fit(points: &[(f64, f64)]) -> Slope {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (x, y) = (mean(|it| it.0), mean(|it| it.1));
        let above: f64 = points.iter().map(|it| (it.0 - x) * (it.1 - y)).sum();
        let below: f64 = points.iter().map(|it| (it.0 - x).powi(2)).sum();
        let each = above / below;
        Slope { base: y - each * x, each }
    }

    /// Gives the value at a size.
    fn at(self, size: f64) -> f64 {
        self.base + self.each * size
    }
}

/// Gives the bytes of a message as boxes send it.
fn bytes(message: &Message) -> f64 {
    bincode::DefaultOptions::new().serialized_size(message).expect("messages can be written") as f64
}

/// Gives this process's resident memory, in bytes.
fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0.0);
    pages * 4096.0
}

/// Gives the mean time of a step, in microseconds, over a number of rounds.
fn micros(rounds: u32, mut step: impl FnMut(u32)) -> f64 {
    let begun = Instant::now();
    for round in 0..rounds {
        step(round);
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

/// Makes the site of a number of engines, half in each role.
fn site(engines: usize) -> Site {
    Plan::unbounded(engines).site()
}

/// A box under measurement, with its clock.
struct Box1 {
    /// The reducer.
    node: Node,
    /// Its clock.
    now: Time,
}

impl Box1 {
    /// Makes a box with a site in force.
    fn new(site: Site) -> Box1 {
        let mut it = Box1 { node: Node::new(Time::ZERO, settings(0)), now: Time::ZERO };
        it.step(Event::Site(Arc::new(Versioned { version: 1, site })));
        it.step(Event::Tick);
        it
    }

    /// Takes an event, one microsecond after the last.
    fn step(&mut self, event: Event) -> Vec<Effect> {
        self.now = self.now + Duration::from_micros(1);
        self.node.step(self.now, event)
    }

    /// Ticks after 20 ms.
    fn tick(&mut self) -> Vec<Effect> {
        self.now = self.now + Duration::from_millis(20);
        self.node.step(self.now, Event::Tick)
    }

    /// Begins a request; gives its ticket.
    fn begin(&mut self, number: u64) -> Option<Ticket> {
        let arrival = Box::new(generate(number, 1000, 400, 400));
        let effects = self.step(Event::Arrive { call: CallId(number), arrival });
        effects.iter().find_map(|it| match it {
            Effect::Prefill { ticket, .. } => Some(*ticket),
            _ => None,
        })
    }

    /// Takes an engine's answer.
    fn upstream(&mut self, ticket: Ticket, reply: Reply) {
        black_box(self.step(Event::Upstream { ticket, reply }));
    }

    /// Makes another box known.
    fn meet(&mut self, number: u64) {
        let incarnation = Incarnation(number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let beat = Heartbeat { incarnation, counter: 1, epoch: 1, state: State::Live };
        self.step(Event::Seen(Entry {
            incarnation,
            name: format!("box-{number}"),
            caller_address: "10.0.0.2:80".to_owned(),
            peer_address: format!("10.0.{}.{}:81", number / 250, number % 250),
            data_centre: DataCentreId::of("north"),
            beat,
        }));
    }
}

/// Measures a request at a box which is its front and its owner: all but the tokens, and a token.
fn request_cost(engines: usize) -> (f64, f64) {
    let mut it = Box1::new(site(engines));
    let mut number = 0;
    let mut run = |tokens: u32| {
        number += 1;
        let Some(ticket) = it.begin(number) else { panic!("the request was not granted") };
        it.upstream(ticket, Reply::Prefilled);
        it.upstream(ticket, Reply::Imported);
        for seq in 0..tokens {
            it.upstream(ticket, Reply::Token { seq, text: "word ".into() });
        }
        it.upstream(ticket, Reply::Finished { reason: "stop".into() });
    };
    (0..200).for_each(|_| run(1));
    let without = micros(2000, |_| run(0));
    let with = micros(500, |_| run(400));
    (without, (with - without) / 400.0)
}

/// Measures a tick of a box with requests in flight.
fn tick_cost(in_flight: u64, engines: usize) -> f64 {
    let mut it = Box1::new(site(engines));
    for number in 1..=in_flight {
        let Some(ticket) = it.begin(number) else { panic!("the request was not granted") };
        it.upstream(ticket, Reply::Prefilled);
        it.upstream(ticket, Reply::Imported);
    }
    micros(100, |_| {
        black_box(it.tick());
    })
}

/// Measures a beat of a box with members, and the bytes of its gossip.
fn beat_cost(members: u64) -> (f64, f64) {
    let mut it = Box1::new(site(8));
    (1..members).for_each(|number| it.meet(number));
    let beats: Vec<Heartbeat> = (1..members.min(64))
        .map(|number| Heartbeat {
            incarnation: Incarnation(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            counter: 1 << 20,
            epoch: 100,
            state: State::Live,
        })
        .collect();
    let gossip = Message::Gossip { beats, site_version: 1 << 30 };
    let size = bytes(&gossip);
    let hear = micros(200, |_| {
        let message = Box::new(gossip.clone());
        black_box(it.step(Event::Peer { from: Incarnation(9), message }));
    });
    (hear, size)
}

/// Measures how long a new version takes at a box, and its bytes.
fn site_cost(engines: usize) -> (f64, f64) {
    let mut it = Box1::new(site(engines));
    let mut version = 1;
    let size = bytes(&Message::Site(Arc::new(Versioned { version: 1, site: site(engines) })));
    let took = micros(20, |_| {
        version += 1;
        let offered = Arc::new(Versioned { version, site: site(engines) });
        black_box(it.step(Event::Site(offered)));
    });
    (took, size)
}

/// Measures the memory of requests in flight and of keys kept, in bytes each.
fn memory_costs() -> (f64, f64) {
    const COUNT: u64 = 20_000;
    let mut it = Box1::new(site(16));
    let before = resident();
    let mut tickets = Vec::new();
    for number in 1..=COUNT {
        let Some(ticket) = it.begin(number) else { panic!("the request was not granted") };
        tickets.push(ticket);
    }
    let in_flight = (resident() - before) / COUNT as f64;
    for ticket in tickets {
        it.upstream(ticket, Reply::Prefilled);
        it.upstream(ticket, Reply::Imported);
        for seq in 0..100 {
            it.upstream(ticket, Reply::Token { seq, text: "word ".into() });
        }
        it.upstream(ticket, Reply::Finished { reason: "stop".into() });
    }
    let kept = (resident() - before) / COUNT as f64;
    (in_flight, kept)
}

/// The messages of one request between a front and an owner that are two boxes, in bytes.
fn request_bytes() -> Vec<(&'static str, f64)> {
    let shard = ShardId { service: ServiceId::of("llm"), part: 3 };
    let ticket = Ticket { front: Incarnation(u64::MAX / 3), number: 1 << 20 };
    let ask = Ask {
        shard,
        ticket,
        prompt_tokens: 1500,
        max_tokens: 512,
        prefix: (0..5).map(|it| u32::MAX / (it + 2)).collect(),
        class: 0,
        tenant: TenantId::of("tenant"),
        due_in: Duration::from_millis(1199),
        avoid: None,
    };
    let grant = Grant {
        shard,
        ticket,
        prefill: UpstreamId::of("a"),
        decode: UpstreamId::of("b"),
        tokens: 2012,
        max_tokens: 512,
        stage: Stage::Prefill,
    };
    let progress = Message::Progress { shard, ticket, stage: Stage::Decode };
    let release = Message::Release { shard, ticket, end: End::Done { tokens: 400 } };
    vec![
        ("ask, with 5 prefix digests", bytes(&Message::Ask(ask))),
        ("grant", bytes(&Message::Granted(grant))),
        ("progress, twice", 2.0 * bytes(&progress)),
        ("release", bytes(&release)),
    ]
}

/// A table's row: what, value, limit, unit.
fn line(page: &mut String, what: &str, value: f64, limit: f64, unit: &str) {
    let verdict = if value <= limit {
        format!("{:.1} times", limit / value)
    } else {
        "**does not fit**".to_owned()
    };
    // Writing to a string does not fail.
    let _ = writeln!(page, "| {what} | {value:.4} | {limit} | {unit} | {verdict} |");
}

/// Measures, and prints the page's figures.
fn main() {
    let mut page = String::new();
    let boxes = size::DAEMONS / size::DATA_CENTRES;
    let per_box = size::REQUESTS / size::DAEMONS;
    let engines = size::ENGINES / size::DATA_CENTRES;

    let _ = writeln!(
        page,
        "### Measured slopes\n\n| what | sizes | measured | slope |\n| --- | --- | --- | --- |"
    );
    let mut slope = |what: &str, unit: &str, sizes: &[f64], of: &dyn Fn(f64) -> f64| -> Slope {
        let points: Vec<(f64, f64)> = sizes.iter().map(|&it| (it, of(it))).collect();
        let fit = Slope::fit(&points);
        let shown: Vec<String> = points.iter().map(|it| format!("{:.2}", it.1)).collect();
        let sizes: Vec<String> = sizes.iter().map(f64::to_string).collect();
        let _ = writeln!(
            page,
            "| {what} | {} | {} {unit} | {:.2} + {:.4} each |",
            sizes.join(", "),
            shown.join(", "),
            fit.base,
            fit.each
        );
        fit
    };
    let upstreams = [30.0, 300.0, 3000.0];
    let request =
        slope("a request without its tokens, by engines of the site", "µs", &upstreams, &|it| {
            request_cost(it as usize).0
        });
    let token = slope("a token, by engines of the site", "µs", &upstreams, &|it| {
        request_cost(it as usize).1
    });
    let tick =
        slope("a tick, by requests in flight (8 engines)", "µs", &[10.0, 100.0, 1000.0], &|it| {
            tick_cost(it as u64, 8)
        });
    let tick_engines =
        slope("a tick, by engines owned (none in flight)", "µs", &upstreams, &|it| {
            tick_cost(0, it as usize)
        });
    let hear = slope("hearing a gossip, by members", "µs", &[8.0, 75.0, 300.0], &|it| {
        beat_cost(it as u64).0
    });
    let gossip = slope("a gossip, by heartbeats in it", "bytes", &[8.0, 32.0, 64.0], &|it| {
        beat_cost(it as u64 + 1).1
    });
    let change = slope("taking a new version, by engines of the site", "µs", &upstreams, &|it| {
        site_cost(it as usize).0
    });
    let version =
        slope("a version on its way, by engines of the site", "bytes", &upstreams, &|it| {
            site_cost(it as usize).1
        });
    let (in_flight, kept) = memory_costs();
    let _ = writeln!(page, "| memory of a request in flight | 20000 | {in_flight:.0} bytes | |");
    let _ = writeln!(
        page,
        "| memory of an ended key with an answer of 100 tokens | 20000 | {kept:.0} bytes | |"
    );
    let messages = request_bytes();
    for (what, size) in &messages {
        let _ = writeln!(page, "| message: {what} | 1 | {size:.0} bytes | |");
    }

    // What a daemon spends on control, a second.
    let request_bytes: f64 = messages.iter().map(|it| it.1).sum();
    let owners_elsewhere = 1.0 - 1.0 / boxes;
    let beats = 1.0 / LARGE_SITE_GOSSIP_INTERVAL.as_secs_f64();
    let flying = per_box * size::REQUEST_SECONDS;
    let owned = engines / boxes;
    let processor = (request.at(32.0) * per_box
        + tick.at(flying) * TICKS
        + tick_engines.each * owned * TICKS
        + hear.at(1.0) * beats * boxes
        + change.at(engines) * size::CHANGES / size::DAY / size::DATA_CENTRES)
        / 1e6;
    let gossip_bytes = beats * (gossip.at(64.0) + gossip.at(1.0) * (boxes - 2.0));
    let change_bytes = version.at(engines) * size::CHANGES / size::DAY / size::DATA_CENTRES;
    let traffic = request_bytes * per_box * owners_elsewhere + gossip_bytes + change_bytes;
    let keys = per_box * 330.0;
    let memory =
        in_flight * flying + (kept * keys).min(16e6 + 300.0 * keys) + version.at(engines) * 3.0;

    let _ = writeln!(
        page,
        "\n### A daemon's control at the size to design for\n\n| what | value | limit | unit | margin |\n| --- | --- | --- | --- | --- |"
    );
    line(&mut page, "processor time", processor, size::BUDGET.0, "cores");
    line(&mut page, "memory", memory / 1e6, size::BUDGET.1 / 1e6, "MB");
    line(&mut page, "sent to other boxes", traffic / 1e3, size::BUDGET.2 / 1e3, "KB/s");
    let _ = writeln!(
        page,
        "\nOf the traffic: requests {:.2} KB/s ({request_bytes:.0} bytes each), gossip {:.2} KB/s, configuration {:.2} KB/s.",
        request_bytes * per_box * owners_elsewhere / 1e3,
        gossip_bytes / 1e3,
        change_bytes / 1e3
    );
    let _ = writeln!(
        page,
        "Tokens, which are service and not control: {:.0} a second, {:.4} cores.",
        size::TOKENS / size::DAEMONS,
        token.at(32.0) * size::TOKENS / size::DAEMONS / 1e6
    );

    let _ = writeln!(
        page,
        "\n### The platform's service\n\n| what | value | limit | unit | margin |\n| --- | --- | --- | --- | --- |"
    );
    let watchers = 2.0 * size::DATA_CENTRES;
    let lists = size::DAEMONS / 10.2;
    line(
        &mut page,
        "reads: watches of 5 s, box lists, restarts",
        watchers / 5.0 + lists + size::RESTARTS / size::DAY,
        2000.0,
        "a second",
    );
    let renewals = size::DATA_CENTRES / RENEW_INTERVAL.as_secs_f64();
    line(&mut page, "leases for orders: reads, and as many writes", renewals, 100.0, "a second");
    line(
        &mut page,
        "writes: changes of configuration",
        size::CHANGES / size::DAY,
        100.0,
        "a second",
    );
    line(
        &mut page,
        "writes: claims, 60 a second of each site with many own keys, 20 sites",
        f64::from(MAX_WRITES_PER_S) * size::DATA_CENTRES,
        100.0,
        "a second",
    );

    let _ = writeln!(
        page,
        "\n### The owner of one shard\n\n| what | value | limit | unit | margin |\n| --- | --- | --- | --- | --- |"
    );
    let shards = (engines / size::MODELS / 32.0).ceil() * size::MODELS;
    let asks = size::REQUESTS / size::DATA_CENTRES / shards;
    line(
        &mut page,
        "processor time of an owner of 32 engines",
        request.at(32.0) * asks / 1e6 + tick_engines.each * 32.0 * TICKS / 1e6,
        size::BUDGET.0,
        "cores",
    );
    let _ = writeln!(
        page,
        "\n{shards:.0} shards of up to 32 engines in a data centre of {engines:.0} engines and {boxes:.0} boxes; {asks:.0} requests a second each."
    );
    let _ = writeln!(
        page,
        "KV cache: {:.1} GB a second for each engine.",
        size::KV_BYTES / size::ENGINES / 1e9
    );
    println!("{page}");
}
