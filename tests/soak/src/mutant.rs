//! Mutants: deliberate faults, at least one for each promise, which show that its check can fail.

use std::str::FromStr;

use eyre::bail;

use crate::judge::Promise;

/// A deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// Upstreams run requests twice that may run only once.
    RunsTwice,
    /// Upstreams send other bytes than they report.
    SpoilsAnswer,
    /// Engines omit an event.
    SkipsEvent,
    /// Upstreams run a request and answer that they have not.
    RefusesAfterRunning,
    /// Upstreams receive another path.
    AltersRequest,
    /// Boxes are configured to retry far more often than is allowed, and upstreams fail.
    RepeatsFreely,
    /// A box is killed right after it was told to stop.
    CutsOnStop,
    /// The store acknowledges a version that it doesn't show.
    HidesVersion,
    /// Engines keep working after their connection has closed.
    WorksOn,
    /// A second holder sends orders with an older token.
    OrdersLate,
    /// Boxes are not restarted after all were killed.
    StaysDown,
    /// A box ends without being stopped.
    EndsByItself,
    /// The memory limit is less than any process needs.
    LeastMemory,
    /// The configuration has a head timeout of a minute.
    AwaitsHeads,
    /// The configuration still contains removed keys.
    KeepsKeys,
    /// The configuration lacks the keys of a customer.
    ForgetsKeys,
    /// Upstreams see the client's key.
    ShowsKey,
    /// Upstreams receive the name of another customer.
    NamesOther,
    /// The configuration has twenty times the limit of the limited customer.
    LiftsLimit,
    /// The configuration limits customers that have no limit.
    LimitsAll,
    /// Requests that crash upstreams have another body each time.
    VariesHarm,
    /// The part of prompts that crashes upstreams has another name in each request.
    RenamesPart,
    /// Upstreams have a limit and don't announce it.
    HidesLimit,
    /// Upstreams shut down and don't announce it.
    HidesLeaving,
    /// The store is restored from an older copy and doesn't report it.
    HidesEra,
    /// Upstreams reject all requests for a time and don't ask boxes to back off.
    HidesRest,
    /// Engines repeat the last event of a stream that goes on at them.
    RepeatsEvent,
    /// Requests name a reservation that has been used.
    ReusesReservation,
    /// Reservations are made that no request uses.
    KeepsReservations,
    /// Streams are copied and the copies not used.
    KeepsCopies,
    /// Upstreams receive the reverse of the customers' ranks as priorities.
    ReversesPriority,
    /// Upstreams reject all requests of the most urgent customer.
    RefusesUrgent,
    /// A box receives bytes that are not a valid datagram.
    SendsNoise,
    /// The entries of all engines name the same software version.
    HidesSoftware,
    /// Calls to upstreams that stand still are ended after a second.
    EndsSilent,
    /// Engines send text of another run in an event that is due, which no box can tell.
    DisguisesGarbage,
}

impl Mutant {
    /// All mutants, with their names on the command line and the promises that they break.
    pub const ALL: [(Mutant, &'static str, Promise); 36] = [
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
        (Mutant::RenamesPart, "renames-part", Promise::PartHeldBack),
        (Mutant::HidesLimit, "hides-limit", Promise::LimitKept),
        (Mutant::HidesLeaving, "hides-leaving", Promise::LeavingKept),
        (Mutant::HidesEra, "hides-era", Promise::EntryKept),
        (Mutant::HidesRest, "hides-rest", Promise::RestKept),
        (Mutant::RepeatsEvent, "repeats-event", Promise::EventsInOrder),
        (Mutant::ReusesReservation, "reuses-reservation", Promise::ReservedOnce),
        (Mutant::KeepsReservations, "keeps-reservations", Promise::ReservationsFreed),
        (Mutant::KeepsCopies, "keeps-copies", Promise::CopiesFreed),
        (Mutant::ReversesPriority, "reverses-priority", Promise::PriorityInOrder),
        (Mutant::RefusesUrgent, "refuses-urgent", Promise::UrgentFirst),
        (Mutant::SendsNoise, "sends-noise", Promise::Understood),
        (Mutant::HidesSoftware, "hides-software", Promise::OneSoftware),
        (Mutant::EndsSilent, "ends-silent", Promise::SilenceCutsNothing),
        (Mutant::DisguisesGarbage, "disguises-garbage", Promise::OwnRun),
    ];

    /// Returns its name on the command line.
    pub fn name(self) -> &'static str {
        Mutant::ALL.iter().find(|it| it.0 == self).map_or("", |it| it.1)
    }

    /// Returns the promise that it breaks.
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
