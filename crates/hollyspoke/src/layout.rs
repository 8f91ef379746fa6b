//! What follows from a site's file and is looked up often.

use std::collections::BTreeMap;

use crate::pool::{self, ShardId};
use crate::site::{Kind, ServiceId, Site, UpstreamId};

/// A site's shards and addresses.
#[derive(Debug, Clone, Default)]
pub struct Layout {
    /// All shards.
    pub shards: Vec<ShardId>,
    /// The number of shards of each service that has engines.
    pub parts: BTreeMap<ServiceId, u16>,
    /// The address of each engine.
    pub addresses: BTreeMap<UpstreamId, String>,
}

impl Layout {
    /// Works out a site's layout.
    pub fn new(site: &Site) -> Layout {
        let mut layout = Layout::default();
        for service in &site.services {
            let Kind::Engines { .. } = service.kind else { continue };
            let id = service.id();
            let parts = pool::shards(site, id).len() as u16;
            layout.parts.insert(id, parts);
            layout.shards.extend((0..parts).map(|part| ShardId { service: id, part }));
        }
        layout.addresses = site.engines.iter().map(|it| (it.id(), it.address.clone())).collect();
        layout
    }
}
