//! The status that a box reports to operators.

use crate::layout::ShardId;
use crate::member::{Entry, State};
use crate::node::Node;
use crate::pool::Pool;
use crate::status::{BoxStatus, EngineStatus, PoolStatus, Status, UpstreamStatus};

impl Node {
    /// Returns the box's status.
    pub fn status(&self) -> Status {
        let current = self.config.current();
        let entry = self.members.my_entry();
        Status {
            name: entry.name.clone(),
            incarnation: self.me.to_string(),
            epoch: self.front.home.epoch(),
            leaving: self.shutdown.is_some(),
            closed: self.closed_reason().map(str::to_owned),
            site: current.site.name.clone(),
            site_version: current.version,
            store_reachable: self.config.store_reachable(),
            boxes: self.members.alive().map(box_status).collect(),
            pools: self.pools.iter().map(|(id, pool)| self.pool_status(*id, pool)).collect(),
            upstreams: current.site.upstreams.iter().map(|it| self.upstream_status(it)).collect(),
            requests: self.front.in_progress(),
            keys: self.front.home.len(),
        }
    }

    /// Returns the status of a shard that this box owns.
    fn pool_status(&self, id: ShardId, pool: &Pool) -> PoolStatus {
        let site = &self.config.current().site;
        let service = site.service(id.service).map(|it| it.name.clone()).unwrap_or_default();
        let engines = pool.engines().iter().map(|(&id, engine)| EngineStatus {
            name: site.engine(id).map(|it| it.name.clone()).unwrap_or_default(),
            state: match engine {
                it if it.leaving => "leaving",
                it if it.health.is_out(self.now) => "out",
                it if !it.is_usable(self.now) => "silent",
                _ => "live",
            }
            .to_owned(),
            reserved_tokens: engine.reserved,
            reported_tokens: engine.reported,
            memory_tokens: engine.memory_tokens,
            slowness: engine.slowness,
        });
        PoolStatus {
            service,
            part: id.part,
            granted: pool.granted(),
            waiting: pool.waiting(),
            engines: engines.collect(),
        }
    }

    /// Returns the status of a plain upstream.
    fn upstream_status(&self, upstream: &crate::site::Upstream) -> UpstreamStatus {
        let id = upstream.id();
        let state = match upstream.leaving {
            true => "leaving",
            false if self.front.plain.is_out(self.now, id) => "out",
            false => "live",
        };
        UpstreamStatus {
            name: upstream.name.clone(),
            state: state.to_owned(),
            outstanding: self.front.plain.outstanding(id),
        }
    }
}

/// Returns the status of a member.
fn box_status(entry: &Entry) -> BoxStatus {
    let state = match entry.beat.state {
        State::Live => "live",
        State::Leaving { .. } => "leaving",
        State::Left { .. } => "left",
    };
    BoxStatus {
        name: entry.name.clone(),
        address: entry.caller_address.clone(),
        incarnation: entry.incarnation.to_string(),
        state: state.to_owned(),
    }
}
