//! Faults of whole boxes, datagrams and engines that tests draw for a fleet.

use std::time::Duration;

use crate::fleet::{Behaviour, Fleet, USUAL};

/// The boxes of a fleet.
pub const FLEET: usize = 6;

/// A fault of a fleet.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Boxes are killed and start at once.
    Restart(Vec<usize>),
    /// A box is told to stop, and starts some time later.
    Stop(usize),
    /// Boxes are cut off from the others, and hear each other.
    Part(Vec<usize>),
    /// All boxes hear each other.
    Heal,
    /// A box stands still, for so many milliseconds.
    Hold(usize, u64),
    /// A box's calls are held up.
    HoldCalls(usize, u64),
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
pub fn bring(fleet: &mut Fleet, fault: &Fault) {
    match fault {
        Fault::Restart(members) => fleet.restart(members.iter().copied()),
        Fault::Stop(number) => {
            fleet.stop(*number);
            fleet.run(Duration::from_millis(300));
            fleet.start([*number]);
        }
        Fault::Part(members) => fleet.part(members.iter().copied(), 1),
        Fault::Heal => fleet.part(0..FLEET, 0),
        Fault::Hold(number, span) => fleet.hold(*number, Duration::from_millis(*span)),
        Fault::HoldCalls(number, span) => fleet.hold_calls(*number, Duration::from_millis(*span)),
        Fault::Datagrams(lost, late) => {
            fleet.lost = f64::from(*lost) / 100.0;
            fleet.delay_ms = 1..=*late;
        }
        Fault::Engines(turns_away, fails) => {
            let share = |it: u8| f64::from(it) / 100.0;
            fleet.behaviour = Behaviour { turns_away: share(*turns_away), fails: share(*fails) };
        }
        Fault::Traffic(times) => {
            fleet.traffic.plain = USUAL.plain * f64::from(*times);
            fleet.traffic.streams = USUAL.streams * f64::from(*times);
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
