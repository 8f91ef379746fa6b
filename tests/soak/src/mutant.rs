//! Deliberate faults, one for each promise, which show that its check can fail.

use std::str::FromStr;

use eyre::bail;

use crate::judge::Promise;

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Upstreams run requests twice that may run once.
    RunsTwice,
    /// Upstreams send other bytes than they say.
    SpoilsAnswer,
    /// Engines leave an event out.
    SkipsEvent,
    /// Upstreams run a request and say that they have not.
    RefusesAfterRunning,
    /// Upstreams are handed another path.
    AltersRequest,
    /// Boxes are set to repeat far more often than is allowed, and upstreams fail.
    RepeatsFreely,
    /// A box is killed right after it was told to stop.
    CutsOnStop,
    /// The store acknowledges a version that it doesn't show.
    HidesVersion,
    /// Engines work on after their connection has closed.
    WorksOn,
    /// A second holder gives orders with an older token.
    OrdersLate,
    /// Boxes are not started again after all were killed.
    StaysDown,
    /// A box ends that nobody has stopped.
    EndsByItself,
    /// Memory is bounded by less than any process needs.
    LeastMemory,
    /// The configuration gives clients a minute for a head.
    AwaitsHeads,
    /// The configuration goes on holding keys that were taken away.
    KeepsKeys,
    /// The configuration lacks the keys of a customer.
    ForgetsKeys,
    /// Upstreams see the client's key.
    ShowsKey,
    /// Upstreams are told another customer.
    NamesOther,
    /// The configuration gives the limited customer twenty times its limit.
    LiftsLimit,
    /// The configuration limits customers that have no limit.
    LimitsAll,
    /// Requests that crash upstreams have another body each time.
    VariesHarm,
    /// Upstreams have a limit and don't name it.
    HidesLimit,
    /// Upstreams leave and don't say so.
    HidesLeaving,
    /// The store comes back from an older copy and doesn't say so.
    HidesEra,
    /// Upstreams want nothing for a time and don't say so.
    HidesRest,
    /// Something that is no datagram of a box comes to one.
    SendsNoise,
}

impl Mutant {
    /// All of them, with the name that the command line takes and the promise that they break.
    pub const ALL: [(Mutant, &'static str, Promise); 26] = [
        (Mutant::RunsTwice, "runs-twice", Promise::RunsOnce),
        (Mutant::SpoilsAnswer, "spoils-answer", Promise::WholeAnswer),
        (Mutant::SkipsEvent, "skips-event", Promise::EventsInOrder),
        (Mutant::RefusesAfterRunning, "refuses-after-running", Promise::RefusedIsNotRun),
        (Mutant::AltersRequest, "alters-request", Promise::AsAsked),
        (Mutant::RepeatsFreely, "repeats-freely", Promise::RepeatsBounded),
        (Mutant::CutsOnStop, "cuts-on-stop", Promise::StopCutsNothing),
        (Mutant::HidesVersion, "hides-version", Promise::NewestVersion),
        (Mutant::WorksOn, "works-on", Promise::MemoryFreed),
        (Mutant::OrdersLate, "orders-late", Promise::OneHolder),
        (Mutant::StaysDown, "stays-down", Promise::Recovers),
        (Mutant::EndsByItself, "ends-by-itself", Promise::StaysAlive),
        (Mutant::LeastMemory, "least-memory", Promise::Bounded),
        (Mutant::AwaitsHeads, "awaits-heads", Promise::FlawsEnd),
        (Mutant::KeepsKeys, "keeps-keys", Promise::KnownKey),
        (Mutant::ForgetsKeys, "forgets-keys", Promise::KeyAccepted),
        (Mutant::ShowsKey, "shows-key", Promise::KeyHidden),
        (Mutant::NamesOther, "names-other", Promise::RightCustomer),
        (Mutant::LiftsLimit, "lifts-limit", Promise::WithinLimit),
        (Mutant::LimitsAll, "limits-all", Promise::LimitedOnly),
        (Mutant::VariesHarm, "varies-harm", Promise::HarmHeldBack),
        (Mutant::HidesLimit, "hides-limit", Promise::LimitKept),
        (Mutant::HidesLeaving, "hides-leaving", Promise::LeavingKept),
        (Mutant::HidesEra, "hides-era", Promise::EntryKept),
        (Mutant::HidesRest, "hides-rest", Promise::RestKept),
        (Mutant::SendsNoise, "sends-noise", Promise::Understood),
    ];

    /// Gives its name.
    pub fn name(self) -> &'static str {
        Mutant::ALL.iter().find(|it| it.0 == self).map_or("", |it| it.1)
    }

    /// Gives the promise that it breaks.
    pub fn breaks(self) -> Option<Promise> {
        Mutant::ALL.iter().find(|it| it.0 == self).map(|it| it.2)
    }
}

impl FromStr for Mutant {
    type Err = eyre::Report;

    fn from_str(name: &str) -> eyre::Result<Mutant> {
        match Mutant::ALL.iter().find(|it| it.1 == name) {
            Some((mutant, ..)) => Ok(*mutant),
            None => {
                let names: Vec<_> = Mutant::ALL.iter().map(|it| it.1).collect();
                bail!("`{name}` is none of {}", names.join(", "))
            }
        }
    }
}
