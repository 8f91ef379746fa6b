//! The capacity of a service over all engines that can be used, as far as a box knows it.

/// The state of a service's engines. The unit is the token of an engine's memory for services with
/// stages, and the call for plain services.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pool {
    /// The units that all usable engines can hold.
    pub capacity: f64,
    /// The units in use and reserved, by all boxes that this one hears.
    pub held: f64,
    /// The free units at engines where a request of mean size fits. What is free in smaller pieces
    /// is of use to no request.
    pub placeable: f64,
    /// The units per second that become free as runs end.
    pub released_per_s: f64,
    /// The share of the boxes that this one hears, itself included. What the others hold is
    /// unknown, so that this box counts on no more than this share of the capacity.
    pub heard_share: f64,
}
