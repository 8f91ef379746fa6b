//! Lookup tables derived from a site file: shards and addresses.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::rank;
use crate::site::{Engine, Kind, ServiceId, Site, UpstreamId};

/// The maximum number of engines in one shard.
pub const MAX_SHARD_ENGINES: usize = 32;

/// Identifies a shard: a part of a service's engines that one box owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// The service.
    pub service: ServiceId,
    /// The index of the part, from zero.
    pub part: u16,
}

impl ShardId {
    /// Returns the hash by which owners are ranked.
    pub fn number(self) -> u64 {
        rank::weight(self.service.0, u64::from(self.part))
    }
}

/// A site's shards and addresses.
#[derive(Debug, Clone, Default)]
pub struct Layout {
    /// All shards of the site.
    pub shards: Vec<ShardId>,
    /// The engines of each shard, as indices into the site's list.
    engines: BTreeMap<ShardId, Vec<usize>>,
    /// The number of shards of each service that has engines.
    pub parts: BTreeMap<ServiceId, u16>,
    /// The address of each engine, including those of the previous version.
    pub addresses: BTreeMap<UpstreamId, String>,
    /// The engines in this version of the site.
    present: BTreeSet<UpstreamId>,
}

impl Layout {
    /// Computes the layout of a site. Boxes with the same site compute the same layout.
    pub fn new(site: &Site) -> Layout {
        let mut layout = Layout::default();
        let mut of_service: BTreeMap<ServiceId, Vec<usize>> = BTreeMap::new();
        for (index, engine) in site.engines.iter().enumerate() {
            of_service.entry(ServiceId::of(&engine.service)).or_default().push(index);
            layout.addresses.insert(engine.id(), engine.address.clone());
            layout.present.insert(engine.id());
        }
        for service in &site.services {
            let Kind::Engines { .. } = service.kind else { continue };
            let engines = of_service.remove(&service.id()).unwrap_or_default();
            layout.assign_shards(site, service.id(), engines);
        }
        layout
    }

    /// Keeps the addresses of engines that were removed since the previous version, so that streams
    /// running there can still be cancelled.
    pub fn keep_addresses(&mut self, before: &Layout) {
        let gone = before.present.iter().filter(|it| !self.present.contains(it));
        for id in gone {
            if let Some(address) = before.addresses.get(id) {
                self.addresses.insert(*id, address.clone());
            }
        }
    }

    /// Returns the engines of a shard.
    pub fn engines_of<'a>(
        &'a self,
        site: &'a Site,
        shard: ShardId,
    ) -> impl Iterator<Item = &'a Engine> {
        let indices = self.engines.get(&shard).map(Vec::as_slice).unwrap_or_default();
        indices.iter().filter_map(|&index| site.engines.get(index))
    }

    /// Assigns a service's engines to as few shards as possible.
    fn assign_shards(&mut self, site: &Site, service: ServiceId, mut engines: Vec<usize>) {
        engines.sort_by(|&a, &b| {
            let order =
                |index: usize| (&site.engines[index].data_centre, &site.engines[index].name);
            order(a).cmp(&order(b))
        });
        let parts = engines.len().div_ceil(MAX_SHARD_ENGINES).max(1) as u16;
        self.parts.insert(service, parts);
        for part in 0..parts {
            let shard = ShardId { service, part };
            self.shards.push(shard);
            // Round-robin assignment gives every shard engines of each data centre and role.
            let mine = engines.iter().skip(usize::from(part)).step_by(usize::from(parts));
            self.engines.insert(shard, mine.copied().collect());
        }
    }
}
