//! Faults of boxes, datagrams and engines that tests inject into a fleet at random.

use std::time::Duration;

use crate::fleet::{Behaviour, Fleet, USUAL};

/// The number of boxes of a fleet.
pub const BOX_COUNT: usize = 6;

/// A fault of a fleet.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Boxes are killed and restarted at once.
    Restart(Vec<usize>),
    /// A box is stopped, and starts some time later.
    Stop(usize),
    /// Boxes are partitioned off from the others, and receive each other's announcements.
    Partition(Vec<usize>),
    /// All partitions end.
    Heal,
    /// A box is paused, for a duration in milliseconds.
    Pause(usize, u64),
    /// A box's calls are delayed, for a duration in milliseconds.
    DelayCalls(usize, u64),
    /// Datagrams are lost, by a share in percent, and delayed, by up to this many milliseconds.
    Datagrams(u8, u64),
    /// Engines reject calls and fail runs, by shares in percent.
    Engines(u8, u8),
    /// The traffic is this multiple of the usual one.
    Traffic(u8),
    /// Engines crash independently of requests: one of this many.
    Crash(usize),
    /// Connections to all engines break.
    Reset,
}

/// Injects a fault.
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
