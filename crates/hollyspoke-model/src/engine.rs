//! A fake model engine in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use hollyspoke::event::Generate;
use hollyspoke::key::Ticket;
use hollyspoke::pool::admission::BLOCK_TOKENS;
use hollyspoke::site::DataCentreId;
use hollyspoke::time::{Time, seconds};

/// How long a prefill result is kept.
pub const RESULT_TTL: Duration = Duration::from_secs(3);

/// What an engine holds for a stream.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// The answer's true length, in tokens.
    pub length: u32,
    /// The prompt's length, in tokens.
    pub prompt_tokens: u32,
    /// The memory reserved, in tokens.
    pub tokens: u64,
    /// Whether the prefill result is ready to be fetched, and until when.
    pub expires: Option<Time>,
    /// Whether the stream is being generated.
    pub decoding: bool,
}

/// A prompt that waits to be computed or is.
#[derive(Debug, Clone)]
struct Prompt {
    /// The stream.
    ticket: Ticket,
    /// The class, the lowest number first.
    class: u8,
    /// When it came.
    arrived_at: Time,
    /// The prompt tokens still to compute.
    tokens: u32,
    /// Digests of its leading blocks.
    prefix: Vec<u64>,
}

/// A fake engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its memory for streams, in tokens.
    pub memory_tokens: u64,
    /// How fast it computes prompts, in tokens a second.
    pub prefill_rate: f64,
    /// How long a token takes.
    pub token_time: Duration,
    /// How much slower everything is.
    pub slow: f64,
    /// Whether it is dead.
    pub dead: bool,
    /// The streams that it holds.
    pub held: BTreeMap<Ticket, Reservation>,
    /// The prompts that wait.
    waiting: Vec<Prompt>,
    /// The prompt being computed, with its end.
    computing: Option<(Prompt, Time)>,
    /// The prefixes in its cache, with the time of their last use.
    cache: BTreeMap<u64, Time>,
    /// How many prefixes its cache holds.
    cache_blocks: usize,
    /// Prompt tokens computed so far.
    pub computed: u64,
}

impl Engine {
    /// Makes an engine that holds nothing.
    pub fn new(engine: &hollyspoke::site::Engine, cache_blocks: usize) -> Engine {
        Engine {
            data_centre: DataCentreId::of(&engine.data_centre),
            memory_tokens: engine.memory_tokens,
            prefill_rate: engine.prefill_rate as f64,
            token_time: engine.token_time,
            slow: 1.0,
            dead: false,
            held: BTreeMap::new(),
            waiting: Vec::new(),
            computing: None,
            cache: BTreeMap::new(),
            cache_blocks,
            computed: 0,
        }
    }

    /// Gives the memory in use, in tokens.
    pub fn used(&self) -> u64 {
        self.held.values().map(|it| it.tokens).sum()
    }

    /// Gives the number of prompts waiting or being computed.
    pub fn prompts(&self) -> usize {
        self.waiting.len() + usize::from(self.computing.is_some())
    }

    /// Takes a prompt; gives when to call [`Engine::advance`], if that is not known already.
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

    /// Ends the prompt being computed if it is due; gives its stream and the next time to call.
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

    /// Gives a prefill result away if it is there and not too old.
    pub fn export(&mut self, now: Time, ticket: Ticket) -> Option<Reservation> {
        let ready = self.held.get(&ticket)?.expires?;
        if now >= ready {
            self.held.remove(&ticket);
            return None;
        }
        self.held.remove(&ticket)
    }

    /// Reserves memory for a stream; false when there is no room.
    pub fn reserve(&mut self, ticket: Ticket, tokens: u64) -> bool {
        if self.used() + tokens > self.memory_tokens {
            return false;
        }
        let held =
            Reservation { length: 0, prompt_tokens: 0, tokens, expires: None, decoding: false };
        self.held.insert(ticket, held);
        true
    }

    /// Frees all that is held for a stream; gives the next time to call [`Engine::advance`].
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

    /// Frees the prefill results that are too old.
    pub fn expire(&mut self, now: Time) {
        self.held.retain(|_, it| it.expires.is_none_or(|at| now < at));
    }

    /// Loses everything.
    pub fn crash(&mut self) {
        self.dead = true;
        self.held.clear();
        self.waiting.clear();
        self.computing = None;
    }

    /// Begins the next prompt, the lowest class first; gives its end.
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

/// Writes a prompt whose answer has a length; `name` makes it one of its own.
pub fn prompt(name: u64, length: u32) -> String {
    format!("{name}:{length}")
}

/// Reads the length of the answer from a prompt.
fn length_of(prompt: &str) -> Option<u32> {
    prompt.rsplit(':').next()?.parse().ok()
}
