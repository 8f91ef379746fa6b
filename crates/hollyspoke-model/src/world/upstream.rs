//! Calls from boxes to engines and plain services.

use std::sync::Arc;
use std::time::Duration;

use hollyspoke::event::{Event, Generate, Reply, Report};
use hollyspoke::key::Ticket;
use hollyspoke::outcome::Answer;
use hollyspoke::outcome::Trace;
use hollyspoke::site::UpstreamId;
use hollyspoke::time::{Time, seconds};
use rand::Rng;

use crate::world::{CALL_DELAY, Due, Stream, Transfer, World};

/// The timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

impl World {
    /// Sends a prompt to an engine.
    pub(super) fn prefill(
        &mut self,
        front: (usize, u64),
        ticket: Ticket,
        address: &str,
        work: &Generate,
        class: u8,
    ) {
        let now = self.addresses.get(address).map_or(self.now, |it| self.moving_at(*it));
        let request = work.prompt.split(':').next().and_then(|it| it.parse().ok()).unwrap_or(0);
        let found = self.engine_at(address);
        let Some((id, engine)) = found else {
            self.fail(front, ticket, false);
            return;
        };
        let next = engine.prefill(now + CALL_DELAY, ticket, work, class);
        self.ledger.record_prefill(request);
        if let Some(next) = next {
            self.schedule(next, Due::Prefilled(id));
        }
    }

    /// Finishes an engine's current prefill if it is due, and reports it to the front.
    pub(super) fn finish_prefill(&mut self, id: UpstreamId) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&id) else { return };
        let (ticket, next) = engine.advance(now);
        if let Some(next) = next {
            self.schedule(next, Due::Prefilled(id));
        }
        let Some(ticket) = ticket else { return };
        if let Some(front) = self.front_of(ticket) {
            let event = Event::Upstream { ticket, reply: Reply::Prefilled };
            self.schedule_event(CALL_DELAY, front, event);
        }
    }

    /// Starts a transfer.
    pub(super) fn import(
        &mut self,
        front: (usize, u64),
        ticket: Ticket,
        address: &str,
        from: &str,
        tokens: u32,
    ) {
        let now = self.now;
        let Some((to, engine)) = self.engine_at(address) else {
            self.fail(front, ticket, false);
            return;
        };
        if !engine.reserve(ticket, u64::from(tokens)) {
            let after = engine.still_until.since(now) + CALL_DELAY * 2;
            self.schedule_event(after, front, Event::Upstream { ticket, reply: Reply::Full });
            return;
        }
        let to_centre = engine.data_centre;
        let exported = self.engine_at(from).and_then(|(_, it)| {
            let centre = it.data_centre;
            it.export(now, ticket).map(|held| (centre, held))
        });
        let Some((from_centre, held)) = exported else {
            if let Some(engine) = self.engines.get_mut(&to) {
                engine.cancel(now, ticket);
            }
            self.fail(front, ticket, true);
            return;
        };
        let link = (from_centre.min(to_centre), from_centre.max(to_centre));
        let bytes = self.kv_bytes(held.prompt_tokens);
        let rate = self.link_rate(link) * self.link_share;
        let begin = self.links.get(&link).copied().unwrap_or(Time::ZERO).max(now);
        let end = begin + seconds(bytes as f64 / rate);
        self.links.insert(link, end);
        let source = self.addresses.get(from).map_or(now, |it| self.moving_at(*it));
        let done_at = end.max(self.moving_at(to)).max(source) + CALL_DELAY;
        self.schedule(done_at, Due::Transferred(Transfer { front, ticket, to, held }));
    }

    /// Finishes a transfer.
    pub(super) fn finish_transfer(&mut self, transfer: Transfer) {
        let Transfer { front, ticket, to, held } = transfer;
        let Some(engine) = self.engines.get_mut(&to) else { return };
        let Some(mine) = engine.held.get_mut(&ticket) else { return };
        mine.length = held.length;
        mine.prompt_tokens = held.prompt_tokens;
        self.schedule_event(CALL_DELAY, front, Event::Upstream { ticket, reply: Reply::Imported });
    }

    /// Starts a stream.
    pub(super) fn decode(&mut self, front: (usize, u64), ticket: Ticket, address: &str, seq: u32) {
        let begun = self.engine_at(address).and_then(|(id, engine)| {
            let step = engine.token_time.mul_f64(engine.slow);
            let held = engine.held.get_mut(&ticket)?;
            held.decoding = true;
            Some((id, step, held.prompt_tokens))
        });
        let Some((engine, step, prompt_tokens)) = begun else {
            self.fail(front, ticket, true);
            return;
        };
        self.useful_tokens += u64::from(prompt_tokens);
        self.schedule(self.now + step, Due::Token(Stream { front, ticket, engine, seq }));
    }

    /// Sends the next token, or the end of a stream. A stream whose front is gone stalls, and its
    /// memory stays reserved until a box cancels it.
    pub(super) fn emit_token(&mut self, stream: Stream) {
        let Stream { front, ticket, engine: id, seq } = stream;
        if self.front_of(ticket) != Some(front) {
            return;
        }
        let Some(engine) = self.engines.get_mut(&id) else { return };
        let step = engine.token_time.mul_f64(engine.slow);
        let Some(length) = engine.held.get(&ticket).map(|it| it.length) else {
            self.fail(front, ticket, true);
            return;
        };
        if seq >= length {
            engine.held.remove(&ticket);
            let reply = Reply::Finished { reason: "stop".into() };
            self.schedule_event(CALL_DELAY, front, Event::Upstream { ticket, reply });
            return;
        }
        let reply = Reply::Token { seq, text: format!("t{seq}").into() };
        self.schedule_event(CALL_DELAY, front, Event::Upstream { ticket, reply });
        self.schedule(self.now + step, Due::Token(Stream { seq: seq + 1, ..stream }));
    }

    /// Runs a call at a plain service and answers it, subject to the service's faults.
    pub(super) fn run_service(
        &mut self,
        number: usize,
        generation: u64,
        ticket: Ticket,
        request: u64,
    ) {
        let (refused, lost) = self.service_faults;
        if self.random.random_bool(refused) {
            self.fail((number, generation), ticket, false);
            return;
        }
        self.ledger.record_run(request);
        if self.random.random_bool(lost) {
            self.fail((number, generation), ticket, true);
            return;
        }
        let after = Duration::from_millis(self.random.random_range(1..30));
        let answer = Answer { status: 200, headers: Vec::new(), body: Arc::from([]) };
        let event = Event::Upstream { ticket, reply: Reply::Answered(answer) };
        self.schedule_event(after, (number, generation), event);
    }

    /// Answers a box's poll of an engine.
    pub(super) fn poll(&mut self, front: (usize, u64), engine: UpstreamId) {
        let wait = self.moving_at(engine).since(self.now) + CALL_DELAY * 2;
        let answers = self.answers_polls && wait < POLL_TIMEOUT;
        let report = self.engines.get(&engine).filter(|it| !it.dead && answers).map(|it| {
            let streams = it.held.keys().copied().collect();
            Report { used_tokens: it.used(), streams, leaving: false, state: None }
        });
        let after = if report.is_some() { wait } else { POLL_TIMEOUT };
        self.schedule_event(after, front, Event::Polled { engine, report });
    }

    /// Reports a failed call to a box.
    pub(super) fn fail(&mut self, front: (usize, u64), ticket: Ticket, sent: bool) {
        let mut trace = Trace::clean();
        if sent {
            trace.mark_sent();
        }
        let reply = Reply::Failed { detail: "it failed".to_owned(), trace };
        self.schedule_event(CALL_DELAY * 2, front, Event::Upstream { ticket, reply });
    }
}
