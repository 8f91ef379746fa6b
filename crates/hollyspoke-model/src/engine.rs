//! A fake model engine in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::event::Generate;
use hollyspoke::key::Ticket;
use hollyspoke::pool::admission::BLOCK_TOKENS;
use hollyspoke::site::DataCentreId;
use hollyspoke::time::{Time, seconds};

/// How long an engine keeps a prefill result.
pub const RESULT_TTL: Duration = Duration::from_secs(3);

/// The state that an engine keeps for a stream.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// The answer's true length, in tokens.
    pub length: u32,
    /// The prompt's length, in tokens.
    pub prompt_tokens: u32,
    /// The memory reserved, in tokens.
    pub tokens: u64,
    /// When the prefill result expires; absent until the result is ready.
    pub expires: Option<Time>,
    /// Whether the stream is being decoded.
    pub decoding: bool,
}

/// A prompt that is queued or being prefilled.
#[derive(Debug, Clone)]
struct Prompt {
    /// The ticket of the stream.
    ticket: Ticket,
    /// The priority class; the lowest number is served first.
    class: u8,
    /// When the prompt arrived.
    arrived_at: Time,
    /// The number of prompt tokens still to compute.
    tokens: u32,
    /// The digests of the prompt's leading blocks.
    prefix: Vec<u64>,
}

/// A fake engine for prefill and decode.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The memory for streams, in tokens.
    pub memory_tokens: u64,
    /// The prefill rate, in tokens per second.
    pub prefill_rate: f64,
    /// The decode time of a token.
    pub token_time: Duration,
    /// The factor by which prefill and decode are slowed down.
    pub slow: f64,
    /// Whether the engine is dead.
    pub dead: bool,
    /// Until when the engine stands still: it takes connections, and does nothing else.
    pub still_until: Time,
    /// The streams and their state.
    pub held: BTreeMap<Ticket, Reservation>,
    /// The queued prompts.
    waiting: Vec<Prompt>,
    /// The prompt being prefilled, and when it ends.
    computing: Option<(Prompt, Time)>,
    /// The cached prefix blocks, with the time when each was last computed.
    cache: BTreeMap<u64, Time>,
    /// The capacity of the prefix cache, in blocks.
    cache_blocks: usize,
    /// The number of prompt tokens computed so far.
    pub computed: u64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(engine: &hollyspoke::site::Engine, cache_blocks: usize) -> Engine {
        Engine {
            data_centre: DataCentreId::of(&engine.data_centre),
            memory_tokens: engine.memory_tokens,
            prefill_rate: engine.prefill_rate as f64,
            token_time: engine.token_time,
            slow: 1.0,
            dead: false,
            still_until: Time::ZERO,
            held: BTreeMap::new(),
            waiting: Vec::new(),
            computing: None,
            cache: BTreeMap::new(),
            cache_blocks,
            computed: 0,
        }
    }

    /// Returns the memory in use, in tokens.
    pub fn used(&self) -> u64 {
        self.held.values().map(|it| it.tokens).sum()
    }

    /// Returns the number of prompts that are queued or being prefilled.
    pub fn prompts(&self) -> usize {
        self.waiting.len() + usize::from(self.computing.is_some())
    }

    /// Queues a prompt. Returns when to call [`Engine::advance`], unless a call is already due.
    pub fn prefill(
        &mut self,
        now: Time,
        ticket: Ticket,
        work: &Generate,
        class: u8,
    ) -> Option<Time> {
        let held = Reservation {
            length: length_of(&work.prompt).unwrap_or(work.max_tokens).min(work.max_tokens),
            prompt_tokens: work.prompt_tokens,
            tokens: 0,
            expires: None,
            decoding: false,
        };
        self.held.insert(ticket, held);
        let prefix = work.prefix.clone();
        let prompt = Prompt { ticket, class, arrived_at: now, tokens: work.prompt_tokens, prefix };
        self.waiting.push(prompt);
        self.compute_next(now)
    }

    /// Finishes the current prefill if it is due. Returns its stream and the next time to call.
    pub fn advance(&mut self, now: Time) -> (Option<Ticket>, Option<Time>) {
        let due = self.computing.as_ref().is_some_and(|(_, end)| *end <= now);
        if !due {
            return (None, None);
        }
        let Some((prompt, _)) = self.computing.take() else { return (None, None) };
        self.computed += u64::from(prompt.tokens);
        for digest in prompt.prefix {
            self.cache.insert(digest, now);
        }
        while self.cache.len() > self.cache_blocks {
            let oldest = self.cache.iter().min_by_key(|(_, used)| **used).map(|(it, _)| *it);
            let Some(oldest) = oldest else { break };
            self.cache.remove(&oldest);
        }
        if let Some(held) = self.held.get_mut(&prompt.ticket) {
            held.expires = Some(now + RESULT_TTL);
        }
        (Some(prompt.ticket), self.compute_next(now))
    }

    /// Removes and returns a prefill result that is ready and has not expired.
    pub fn export(&mut self, now: Time, ticket: Ticket) -> Option<Reservation> {
        let ready = self.held.get(&ticket)?.expires?;
        if now >= ready {
            self.held.remove(&ticket);
            return None;
        }
        self.held.remove(&ticket)
    }

    /// Reserves memory for a stream; returns false without free capacity.
    pub fn reserve(&mut self, ticket: Ticket, tokens: u64) -> bool {
        if self.used() + tokens > self.memory_tokens {
            return false;
        }
        let held =
            Reservation { length: 0, prompt_tokens: 0, tokens, expires: None, decoding: false };
        self.held.insert(ticket, held);
        true
    }

    /// Frees all state of a stream. Returns the next time to call [`Engine::advance`].
    pub fn cancel(&mut self, now: Time, ticket: Ticket) -> Option<Time> {
        self.held.remove(&ticket);
        self.waiting.retain(|it| it.ticket != ticket);
        let (prompt, end) = self.computing.as_ref()?;
        if prompt.ticket != ticket {
            return None;
        }
        let left = end.since(now).as_secs_f64() * self.prefill_rate / self.slow;
        let done = f64::from(prompt.tokens) - left;
        self.computed += done.max(0.0) as u64;
        self.computing = None;
        self.compute_next(now)
    }

    /// Frees expired prefill results.
    pub fn expire(&mut self, now: Time) {
        self.held.retain(|_, it| it.expires.is_none_or(|at| now < at));
    }

    /// Marks the engine as dead and drops its streams and prompts; the prefix cache stays.
    pub fn crash(&mut self) {
        self.dead = true;
        self.held.clear();
        self.waiting.clear();
        self.computing = None;
    }

    /// Starts the next prefill, the lowest class first. Returns when it ends.
    fn compute_next(&mut self, now: Time) -> Option<Time> {
        if self.computing.is_some() || self.waiting.is_empty() {
            return None;
        }
        let next = (0..self.waiting.len())
            .min_by_key(|&it| (self.waiting[it].class, self.waiting[it].arrived_at))
            .unwrap_or(0);
        let mut prompt = self.waiting.remove(next);
        let known = prompt.prefix.iter().take_while(|it| self.cache.contains_key(it)).count();
        let cached = (known as u32 * BLOCK_TOKENS).min(prompt.tokens.saturating_sub(1));
        prompt.tokens -= cached;
        let end = now + seconds(f64::from(prompt.tokens) * self.slow / self.prefill_rate);
        self.computing = Some((prompt, end));
        Some(end)
    }
}

/// Builds a prompt that encodes the length of its answer; `name` makes it unique.
pub fn prompt(name: u64, length: u32) -> String {
    format!("{name}:{length}")
}

/// Parses the length of the answer from a prompt.
fn length_of(prompt: &str) -> Option<u32> {
    prompt.rsplit(':').next()?.parse().ok()
}
