//! Faults of whole boxes, datagrams and engines that tests draw for a fleet.

use std::time::Duration;

use crate::fleet::{Behaviour, Fleet, USUAL};

/// The boxes of a fleet.
pub const BOX_COUNT: usize = 6;

/// A fault of a fleet.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Boxes are killed and start at once.
    Restart(Vec<usize>),
    /// A box is told to stop, and starts some time later.
    Stop(usize),
    /// Boxes are cut off from the others, and hear each other.
    Partition(Vec<usize>),
    /// All boxes hear each other.
    Heal,
    /// A box stands still, for so many milliseconds.
    Pause(usize, u64),
    /// A box's calls are held up.
    DelayCalls(usize, u64),
    /// Datagrams are lost, a share of a hundred, or late by milliseconds.
    Datagrams(u8, u64),
    /// Engines turn calls away and fail runs, shares of a hundred.
    Engines(u8, u8),
    /// So many times the usual traffic arrives.
    Traffic(u8),
    /// Engines crash by themselves: one of so many.
    Crash(usize),
    /// Connections to all engines break.
    Reset,
}

/// Brings a fault about.
pub fn inject(fleet: &mut Fleet, fault: &Fault) {
    match fault {
        Fault::Restart(members) => fleet.restart(members.iter().copied()),
        Fault::Stop(number) => {
            fleet.stop(*number);
            fleet.run(Duration::from_millis(300));
            fleet.start([*number]);
        }
        Fault::Partition(members) => fleet.partition(members.iter().copied(), 1),
        Fault::Heal => fleet.partition(0..BOX_COUNT, 0),
        Fault::Pause(number, duration_ms) => {
            fleet.pause(*number, Duration::from_millis(*duration_ms))
        }
        Fault::DelayCalls(number, duration_ms) => {
            fleet.delay_calls(*number, Duration::from_millis(*duration_ms))
        }
        Fault::Datagrams(lost_percent, max_delay_ms) => {
            fleet.lost = f64::from(*lost_percent) / 100.0;
            fleet.delay_ms = 1..=*max_delay_ms;
        }
        Fault::Engines(reject_percent, fail_percent) => {
            let share = |it: u8| f64::from(it) / 100.0;
            fleet.behaviour = Behaviour {
                reject_share: share(*reject_percent),
                fail_share: share(*fail_percent),
            };
        }
        Fault::Traffic(factor) => {
            fleet.traffic.plain = USUAL.plain * f64::from(*factor);
            fleet.traffic.streams = USUAL.streams * f64::from(*factor);
        }
        Fault::Crash(step) => {
            let engines = fleet.engines();
            fleet.crash_all(engines.iter().step_by(*step).map(|it| it.key));
        }
        Fault::Reset => {
            let engines = fleet.engines();
            fleet.reset_all(engines.iter().map(|it| it.key));
        }
    }
}
