//! The regions of data centres, and the regions in which requests may be served.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The region of each data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    /// The region of each data centre, by its name.
    by_data_centre: BTreeMap<Arc<str>, Arc<str>>,
}

/// The regions in which requests may be served and their prompts cached; `None` if there is no
/// restriction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowedRegions(Option<Vec<Arc<str>>>);

/// The value for requests that may be served in all regions.
pub const ALL_REGIONS: AllowedRegions = AllowedRegions(None);

impl Regions {
    /// Creates the regions from pairs of a data centre and its region.
    pub fn new(pairs: impl IntoIterator<Item = (Arc<str>, Arc<str>)>) -> Regions {
        Regions { by_data_centre: pairs.into_iter().collect() }
    }

    /// Returns the region of a data centre, if it is known.
    pub fn of(&self, data_centre: &str) -> Option<&Arc<str>> {
        self.by_data_centre.get(data_centre)
    }

    /// Iterates over the data centres of a region.
    pub fn data_centres<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a Arc<str>> {
        self.by_data_centre.iter().filter(move |it| **it.1 == *region).map(|it| it.0)
    }
}

impl AllowedRegions {
    /// Allows only the given regions, or all if none is given.
    pub fn new(regions: Vec<Arc<str>>) -> AllowedRegions {
        AllowedRegions((!regions.is_empty()).then_some(regions))
    }

    /// Returns whether there is a restriction.
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Returns whether a data centre lies in an allowed region. With a restriction, a data centre
    /// of unknown region does not.
    pub fn includes_data_centre(&self, data_centre: &str, regions: &Regions) -> bool {
        let Some(allowed) = &self.0 else { return true };
        regions.of(data_centre).is_some_and(|it| allowed.contains(it))
    }
}
