//! Holds requests with their callers' own keys until these are bound in the store.

use std::time::Duration;

use super::Front;
use super::arrival::{CLOSED_RETRY_AFTER, Incoming};
use super::end::refuse;
use super::limit::OVER_LIMIT_DETAIL;
use crate::claim::{Claim, Settled};
use crate::context::Context;
use crate::home::Verdict;
use crate::key::Key;
use crate::outcome::Refusal;
use crate::request::Id;

/// The retry delay given to a caller while the store does not answer.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Front {
    /// Holds a request until its caller's own key is bound to a key of the router.
    pub(super) fn claim(
        &mut self,
        cx: &mut Context<'_>,
        incoming: Incoming,
        key: Key,
        own_key: &str,
        closed: Option<&str>,
    ) {
        if let Some(reason) = closed {
            refuse(cx, incoming.call, Refusal::Leaving, reason, Some(CLOSED_RETRY_AFTER));
            return;
        }
        let Some(service) = self.service(cx, &incoming) else { return };
        let claim = Claim::of(&incoming.arrival.tenant, own_key);
        let may_replace = incoming.arrival.repeatable;
        let id = self.insert(cx.now, incoming, key, service);
        self.claims.submit(cx, id, claim, key, may_replace);
    }

    /// Continues requests whose claims are settled.
    pub fn settle_claims(&mut self, cx: &mut Context<'_>, settled: Vec<(Id, Settled)>) {
        for (id, settled) in settled {
            let Some(request) = self.requests.get(id) else { continue };
            match settled {
                Settled::StoreUnreachable => {
                    let detail =
                        "the platform's store does not answer, so the key can't be claimed";
                    self.give_up(cx, id, Refusal::StoreAway, detail, Some(STORE_RETRY_AFTER));
                }
                Settled::Bound(key) if key == request.key => self.begin_claimed(cx, id),
                Settled::Bound(key) => self.follow_claim(cx, id, key),
            }
        }
    }

    /// Runs a request whose claim is bound to this box's key.
    fn begin_claimed(&mut self, cx: &mut Context<'_>, id: Id) {
        let Some(request) = self.requests.get(id) else { return };
        let (key, digest) = (request.key, request.digest);
        if self.home.verdict(key, digest, true, cx.members) != Verdict::Run {
            // Another box read the claim and relayed its caller's retry before this box had read
            // it: the key is already running.
            self.follow_claim(cx, id, key);
            return;
        }
        let tenant = request.arrival.tenant.clone();
        if let Err(after) = self.take_quota(cx, &tenant) {
            self.give_up(cx, id, Refusal::Limited, OVER_LIMIT_DETAIL, Some(after));
            return;
        }
        self.home.run(key, digest, id);
        self.budget.earn();
        self.begin(cx, id);
    }

    /// Handles a request as if it had named the key to which its claim is bound.
    fn follow_claim(&mut self, cx: &mut Context<'_>, id: Id, key: Key) {
        let Some(request) = self.requests.remove(id) else { return };
        let Some(call) = request.caller else { return };
        self.calls.remove(&call);
        let incoming = Incoming { call, arrival: request.arrival, digest: request.digest };
        let relayed = incoming.arrival.relayed;
        let verdict = self.home.verdict(key, incoming.digest, relayed, cx.members);
        self.apply_verdict(cx, incoming, key, verdict, None);
    }
}
