//! The policy table: the product beside simple routers, for both users, at all loads and faults.
//!
//! `cargo bench --bench policy` prints the table and writes `docs/POLICY.md` and
//! `docs/policy.svg`; `cargo bench --bench policy -- quick` prints a few cells and writes nothing.

use std::fmt::Write as _;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hollyspoke::site::UpstreamId;
use hollyspoke::time::Time;
use hollyspoke_model::baseline::{self, Router};
use hollyspoke_model::bound;
use hollyspoke_model::load::{Request, User};
use hollyspoke_model::policy::{self, Case};
use hollyspoke_model::result::Figures;
use hollyspoke_model::store::Faults;
use hollyspoke_model::world::Action;

/// How long a load lasts.
const SPAN: Duration = Duration::from_secs(60);

/// The seeds.
const SEEDS: [u64; 5] = [11, 12, 13, 14, 15];

/// The threads that work.
const THREADS: usize = 8;

/// A cell's load and fault.
#[derive(Debug, Clone, Copy)]
struct Cell {
    /// Its name.
    name: &'static str,
    /// The load, in times of the capacity.
    load: f64,
    /// The fault.
    fault: Fault,
}

/// What goes wrong in a cell, from 20 s to 40 s unless said otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Nothing.
    None,
    /// Five times the load for 30 s.
    Surge,
    /// A decode engine dies.
    EngineDies,
    /// A prefill engine is slower by 4.
    EngineSlow,
    /// All links have a tenth of their rate.
    LinksSlow,
    /// The owner stands still for 5 s.
    OwnerPaused,
    /// Engines report nothing.
    NoReports,
    /// The store is away.
    StoreAway,
}

/// All cells.
const CELLS: [Cell; 12] = [
    Cell { name: "0.5", load: 0.5, fault: Fault::None },
    Cell { name: "0.8", load: 0.8, fault: Fault::None },
    Cell { name: "1.0", load: 1.0, fault: Fault::None },
    Cell { name: "1.2", load: 1.2, fault: Fault::None },
    Cell { name: "2.0", load: 2.0, fault: Fault::None },
    Cell { name: "0.8, 5x for 30 s", load: 0.8, fault: Fault::Surge },
    Cell { name: "0.8, decode engine dies", load: 0.8, fault: Fault::EngineDies },
    Cell { name: "0.8, prefill engine slow by 4", load: 0.8, fault: Fault::EngineSlow },
    Cell { name: "0.8, links at a tenth", load: 0.8, fault: Fault::LinksSlow },
    Cell { name: "0.8, owner paused 5 s", load: 0.8, fault: Fault::OwnerPaused },
    Cell { name: "0.8, reports stopped", load: 0.8, fault: Fault::NoReports },
    Cell { name: "0.8, store away", load: 0.8, fault: Fault::StoreAway },
];

/// The cells of a quick run.
const QUICK: [usize; 5] = [1, 2, 3, 4, 5];

/// Makes the point at some seconds.
fn second(seconds: u64) -> Time {
    Time::from_millis(seconds * 1000)
}

/// Makes a cell's case for a seed.
fn case(user: &User, cell: &Cell, seed: u64) -> Case {
    let rate = user.capacity() * cell.load;
    let rates = match cell.fault {
        Fault::Surge => vec![(Time::ZERO, rate), (second(15), rate * 5.0), (second(45), rate)],
        _ => vec![(Time::ZERO, rate)],
    };
    let requests = user.draw(seed, &rates, Time::ZERO + SPAN);
    let (from, to) = (second(20), second(40));
    let decode = UpstreamId::of("decode-0");
    let prefill = UpstreamId::of("prefill-0");
    let faults = match cell.fault {
        Fault::None | Fault::Surge | Fault::OwnerPaused => Vec::new(),
        Fault::EngineDies => {
            vec![(from, Action::KillEngine(decode)), (to, Action::ReviveEngine(decode))]
        }
        Fault::EngineSlow => {
            vec![(from, Action::SlowEngine(prefill, 4.0)), (to, Action::SlowEngine(prefill, 1.0))]
        }
        Fault::LinksSlow => vec![(from, Action::SlowLinks(0.1)), (to, Action::SlowLinks(1.0))],
        Fault::NoReports => {
            vec![(from, Action::AnswerPolls(false)), (to, Action::AnswerPolls(true))]
        }
        Fault::StoreAway => vec![
            (from, Action::Store(Faults { down: true, ..Faults::default() })),
            (to, Action::Store(Faults::default())),
        ],
    };
    let owner_pause = (cell.fault == Fault::OwnerPaused).then(|| (from, Duration::from_secs(5)));
    Case { requests, faults, owner_pause, span: SPAN, seed }
}

/// One run: the cell's place, the router's place (the product is 0), the seed.
#[derive(Debug, Clone, Copy)]
struct Job {
    /// The user's place.
    user: usize,
    /// The cell's place.
    cell: usize,
    /// The router; none for the product.
    router: Option<Router>,
    /// The seed.
    seed: u64,
}

/// Runs one job.
fn run(users: &[User], job: Job) -> Figures {
    let user = &users[job.user];
    let case = case(user, &CELLS[job.cell], job.seed);
    match job.router {
        Some(router) => baseline::run(user, &case, router),
        None => policy::run(user, &case).unwrap_or_else(|broken| panic!("{job:?}: {broken}")),
    }
}

/// Runs all jobs on a few threads, in their order.
fn run_all(users: &[User], jobs: &[Job]) -> Vec<Figures> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![Figures::default(); jobs.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let place = next.fetch_add(1, Ordering::Relaxed);
                    let Some(&job) = jobs.get(place) else { return };
                    let figures = run(users, job);
                    results.lock().expect("no run panics while it holds the lock")[place] = figures;
                }
            });
        }
    });
    results.into_inner().expect("no run panics while it holds the lock")
}

/// Gives the mean and the spread of a figure over the seeds.
fn spread(figures: &[Figures], of: impl Fn(&Figures) -> f64) -> (f64, f64) {
    let values: Vec<f64> = figures.iter().map(of).collect();
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let most = values.iter().copied().fold(f64::MIN, f64::max);
    let least = values.iter().copied().fold(f64::MAX, f64::min);
    (mean, most - least)
}

/// Writes one row of the table.
fn row(table: &mut String, cell: &str, router: &str, figures: &[Figures]) {
    let (good, good_spread) = spread(figures, |it| it.goodput);
    let (first_class, _) = spread(figures, |it| it.goodput_first_class);
    let (wasted, wasted_spread) = spread(figures, |it| it.wasted * 100.0);
    let time = |place: usize| spread(figures, |it| it.first_token[place] as f64).0;
    let (refused, _) = spread(figures, |it| it.refused * 100.0);
    let (failed, _) = spread(figures, |it| it.failed * 100.0);
    let (fairness, _) = spread(figures, |it| it.fairness);
    // Writing to a string does not fail.
    let _ = writeln!(
        table,
        "| {cell} | {router} | {good:.2} ±{:.2} | {first_class:.2} | {wasted:.2} ±{:.2} | \
         {:.0} / {:.0} / {:.0} | {refused:.1} | {failed:.1} | {fairness:.2} |",
        good_spread / 2.0,
        wasted_spread / 2.0,
        time(0),
        time(1),
        time(2),
    );
}

/// Gives the bounds of a cell: choosing by size, and size-blind.
fn bounds(user: &User, cell: &Cell) -> (f64, f64) {
    let mut sums = (0.0, 0.0);
    for seed in SEEDS {
        let requests: Vec<Request> = case(user, cell, seed).requests;
        sums.0 += bound::size_selective(user, &requests, SPAN);
        sums.1 += bound::size_blind(user, &requests, SPAN);
    }
    (sums.0 / SEEDS.len() as f64, sums.1 / SEEDS.len() as f64)
}

/// The points of a line of the plot: load and goodput.
type Line = (String, Vec<(f64, f64)>);

/// Draws goodput over load.
fn plot(user: &str, lines: &[Line], most: f64, left: f64) -> String {
    const COLOURS: [&str; 6] = ["#c00", "#888", "#06c", "#080", "#a0a", "#c80"];
    let mut svg = format!(
        "<g transform=\"translate({left},20)\">\n<text x=\"10\" y=\"0\">{user}: requests a second in time, over load</text>\n"
    );
    svg.push_str("<path d=\"M40 10V280H400\" fill=\"none\" stroke=\"#000\"/>\n");
    for (place, (name, points)) in lines.iter().enumerate() {
        let colour = COLOURS[place % COLOURS.len()];
        let path: Vec<String> = points
            .iter()
            .map(|(x, y)| format!("{:.1},{:.1}", 40.0 + x * 170.0, 280.0 - y / most * 260.0))
            .collect();
        let _ = writeln!(
            svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\"/>\n\
             <text x=\"50\" y=\"{}\" fill=\"{colour}\" font-size=\"11\">{name}</text>",
            path.join(" "),
            300 + place * 14
        );
    }
    for load in [0.5, 1.0, 1.5, 2.0] {
        let _ = writeln!(
            svg,
            "<text x=\"{}\" y=\"292\" font-size=\"10\">{load}</text>",
            34.0 + load * 170.0
        );
    }
    let _ = writeln!(svg, "<text x=\"4\" y=\"24\" font-size=\"10\">{most:.0}</text>\n</g>");
    svg
}

/// Runs everything, prints the table, and writes it.
fn main() {
    let quick = std::env::args().any(|it| it == "quick");
    let own = std::env::args().any(|it| it == "own");
    let users = [User::bilbao(), User::lima()];
    let cells: Vec<usize> = if quick { QUICK.into() } else { (0..CELLS.len()).collect() };
    let mut routers: Vec<Option<Router>> = vec![None];
    if !own {
        routers.extend(Router::ALL.map(Some));
    }
    let mut jobs = Vec::new();
    for user in 0..users.len() {
        for &cell in &cells {
            for &router in &routers {
                jobs.extend(SEEDS.map(|seed| Job { user, cell, router, seed }));
            }
        }
    }
    let figures = run_all(&users, &jobs);
    let mut runs = figures.chunks(SEEDS.len());
    let mut page = String::new();
    let mut plots = String::new();
    for (number, user) in users.iter().enumerate() {
        let _ = writeln!(
            page,
            "\n## {} ({} prefill and {} decode engines, capacity {:.1} requests a second)\n\n\
             | load | router | in time, req/s | class 0 | wasted prefill, % | first token p50 / p95 / p99, ms | refused, % | failed, % | fairness |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
            user.name,
            user.plan.prefills,
            user.plan.decodes,
            user.capacity()
        );
        let mut lines: Vec<Line> = Vec::new();
        for &cell in &cells {
            let cell = &CELLS[cell];
            for router in &routers {
                let Some(figures) = runs.next() else { return };
                let name = router.map_or("hollyspoke", Router::name);
                row(&mut page, cell.name, name, figures);
                if cell.fault == Fault::None {
                    let point = (cell.load, spread(figures, |it| it.goodput).0);
                    match lines.iter_mut().find(|(it, _)| it == name) {
                        Some((_, points)) => points.push(point),
                        None => lines.push((name.to_owned(), vec![point])),
                    }
                }
            }
            let (choosing, blind) = bounds(user, cell);
            let _ = writeln!(
                page,
                "| {} | bound, size-blind (choosing by size: {choosing:.2}) | {blind:.2} | | | | | | |",
                cell.name
            );
        }
        plots.push_str(&plot(user.name, &lines, user.capacity() * 1.2, number as f64 * 430.0));
    }
    println!("{page}");
    if quick || own {
        return;
    }
    let head = include_str!("policy_head.md");
    let docs = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs");
    let svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"880\" height=\"420\" font-family=\"sans-serif\" font-size=\"13\">\n{plots}</svg>\n"
    );
    std::fs::write(format!("{docs}/POLICY.md"), format!("{head}{page}"))
        .expect("docs can be written");
    std::fs::write(format!("{docs}/policy.svg"), svg).expect("docs can be written");
}
