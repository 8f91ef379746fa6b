//! The regions that data centres lie in, and where requests may be served.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The region of each data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    /// The regions by data centre.
    by_data_centre: BTreeMap<Arc<str>, Arc<str>>,
}

/// The only regions in which requests may be served and their prompts kept; none if everywhere.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Homes(Option<Vec<Arc<str>>>);

/// The homes of requests that may be served everywhere.
pub const ANYWHERE: Homes = Homes(None);

impl Regions {
    /// Makes the regions from pairs of a data centre and its region.
    pub fn new(pairs: impl IntoIterator<Item = (Arc<str>, Arc<str>)>) -> Regions {
        Regions { by_data_centre: pairs.into_iter().collect() }
    }

    /// Gives the region of a data centre, if it is known.
    pub fn of(&self, data_centre: &str) -> Option<&Arc<str>> {
        self.by_data_centre.get(data_centre)
    }

    /// Goes over the data centres of a region.
    pub fn data_centres<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a Arc<str>> {
        self.by_data_centre.iter().filter(move |it| **it.1 == *region).map(|it| it.0)
    }
}

impl Homes {
    /// Makes homes that are these regions alone; everywhere if there is none.
    pub fn new(regions: Vec<Arc<str>>) -> Homes {
        Homes((!regions.is_empty()).then_some(regions))
    }

    /// Tells whether they bind at all.
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Tells whether a data centre lies in one of the homes. One whose region is not known lies in
    /// none.
    pub fn include(&self, data_centre: &str, regions: &Regions) -> bool {
        let Some(homes) = &self.0 else { return true };
        regions.of(data_centre).is_some_and(|it| homes.contains(it))
    }
}
