//! What a decision about admission costs, at 65, 300 and 1,000 boxes with 10,000 waiting requests.
//!
//! `cargo bench --bench admission`.

use std::net::SocketAddr;
use std::time::Duration;

use criterion::Criterion;
use hollyspoke::time::Time;
use hollyspoke_gateway::admission::{Ask, Contention, decide};
use hollyspoke_gateway::class::{Announcement, Class, Load, Table};
use hollyspoke_gateway::customer::CustomerKey;
use hollyspoke_gateway::message::{Extension, Format, Message, StoreView};
use hollyspoke_gateway::pool::Pool;
use hollyspoke_server::datagram::write;
use hollyspoke_tests::gateway::heartbeat;

/// The mean size of a request, in tokens.
const UNITS: u32 = 5000;

/// The waiting requests at all boxes.
const WAITING: u32 = 10_000;

/// The customers, each with requests of three priorities.
const CUSTOMERS: u64 = 16;

/// Returns the class of a number.
fn class(number: u64) -> Class {
    let priority = (number % 3) as u8;
    Class { service: 1, priority, customer: Some(CustomerKey(number / 3)) }
}

/// Returns the load of all classes as a number of boxes announce it.
fn table(boxes: u32) -> Table {
    let classes = CUSTOMERS * 3;
    let waiting = WAITING * UNITS / (boxes * classes as u32);
    let load = Load { arriving_milli_per_s: 1_000_000, waiting, running: 2 * waiting };
    let announced: Vec<_> =
        (0..classes).map(|it| Announcement { class: class(it), load }).collect();
    let mut table = Table::default();
    for number in 0..boxes {
        let [.., high, low] = number.to_be_bytes();
        table.receive(SocketAddr::from(([10, 0, high, low], 7000)), &announced);
    }
    table
}

/// Measures a decision, the arrangement of the classes, and the receipt of an announcement.
fn main() {
    let mut criterion = Criterion::default()
        .configure_from_args()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(2));
    let capacity = 5400.0 * 57_000.0;
    let held = 0.95 * capacity;
    let placeable = capacity - held;
    let pool = Pool { capacity, held, placeable, released_per_s: held / 2.0, heard_share: 1.0 };
    let horizon = Duration::from_millis(350);
    for boxes in [65, 300, 1000] {
        let mut table = table(boxes);
        let arrange =
            |it: &Table| Contention::new(&pool, &it.of_service(1, Time::ZERO), 5000.0, horizon);
        let contention = arrange(&table);
        let ask = Ask {
            class: class(2),
            units: f64::from(UNITS),
            is_waiting: false,
            is_returning: false,
            patience: Duration::from_millis(250),
            draw: 0.5,
        };
        criterion.bench_function(&format!("decision, {boxes} boxes"), |bench| {
            bench.iter(|| decide(&pool, std::hint::black_box(&contention), &ask))
        });
        criterion.bench_function(&format!("arrangement of 48 classes, {boxes} boxes"), |bench| {
            bench.iter(|| arrange(std::hint::black_box(&table)))
        });
        let announced: Vec<_> = (0..CUSTOMERS * 3)
            .map(|it| Announcement { class: class(it), load: Load::default() })
            .collect();
        criterion.bench_function(&format!("announcement heard, {boxes} boxes"), |bench| {
            let sender = SocketAddr::from(([10, 0, 0, 1], 7000));
            bench.iter(|| table.receive(sender, std::hint::black_box(&announced)))
        });
    }
    criterion.final_summary();
    println!("a heartbeat without and with 48 classes: {:?} bytes", heartbeat_sizes());
}

/// Returns the size of a heartbeat without the load of classes and with that of all.
fn heartbeat_sizes() -> [usize; 2] {
    let load = Load { arriving_milli_per_s: 5_000_000, waiting: 20_000, running: 60_000 };
    let customer = |it: u64| Some(CustomerKey(u64::MAX - it));
    let class =
        |it| Class { service: u64::MAX, priority: (it % 3) as u8, customer: customer(it / 3) };
    let all = (0..CUSTOMERS * 3).map(|it| Announcement { class: class(it), load }).collect();
    [Vec::new(), all].map(|classes| {
        let extension = Extension { classes, ..Extension::default() }.non_empty();
        let message = Message { extension, ..heartbeat(2, 1, StoreView::default()) };
        write(&message, Format::Eras).expect("it can be encoded").len()
    })
}
