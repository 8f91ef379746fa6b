//! The event loop of the reducer: one task that feeds it events and executes its effects.

use std::collections::HashMap;
use std::time::Duration;

use hollyspoke::effect::{CallerReply, Effect, Record};
use hollyspoke::event::{CallId, Event, Reply};
use hollyspoke::key::Ticket;
use hollyspoke::member::Entry;
use hollyspoke::node::Node;
use hollyspoke_clock::Clock;
use hollyspoke_wire::engine::{Decode, Import};
use hollyspoke_wire::http::Client;
use hollyspoke_wire::peer::Received;
use slog::{Logger, info};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinHandle};
use tokio::time::MissedTickBehavior;

use crate::input::{Input, InputSender, Query};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::store::SiteObject;
use crate::upstream::{self, PlainCall};

/// The interval between the reducer's tick events.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The state of the event loop.
#[derive(Debug)]
pub struct Shell {
    /// The reducer.
    node: Node,
    /// The clock that gives the reducer its time.
    clock: Clock,
    /// The sender of the loop's input queue, for tasks.
    inputs: InputSender,
    /// The HTTP client for engines and plain services.
    client: Client,
    /// The connections to other boxes.
    peers: Peers,
    /// The site's object in the store.
    site: SiteObject,
    /// Publishes this box's member entry, which answers greetings.
    entry: watch::Sender<Entry>,
    /// The reply channel of each open call.
    callers: HashMap<CallId, mpsc::UnboundedSender<CallerReply>>,
    /// The task of each running attempt.
    attempts: HashMap<Ticket, AbortHandle>,
    /// The task that watches the site, while the reducer wants one.
    watch: Option<JoinHandle<()>>,
    /// The metrics.
    metrics: Metrics,
    /// The site version from which the metrics took their labels.
    labelled_version: u64,
    /// The log.
    log: Logger,
}

impl Shell {
    /// Creates the loop's state.
    pub fn new(
        node: Node,
        inputs: InputSender,
        site: SiteObject,
        entry: watch::Sender<Entry>,
        metrics: Metrics,
        log: Logger,
    ) -> Shell {
        let peers = Peers::new(node.incarnation(), inputs.clone(), log.clone());
        Shell {
            node,
            clock: Clock::default(),
            inputs,
            client: Client::new(),
            peers,
            site,
            entry,
            callers: HashMap::new(),
            attempts: HashMap::new(),
            watch: None,
            metrics,
            labelled_version: 0,
            log,
        }
    }

    /// Runs until the planned stop is complete.
    pub async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            let input = tokio::select! {
                _ = ticks.tick() => Input::Event(Event::Tick),
                Some(input) = inputs.recv() => input,
            };
            if self.handle_input(input) {
                break;
            }
        }
        if let Some(watch) = self.watch {
            watch.abort();
        }
    }

    /// Handles an input. Returns whether the box may exit.
    fn handle_input(&mut self, input: Input) -> bool {
        match input {
            Input::Event(event) => self.step(event),
            Input::Arrive { call, arrival, replies } => {
                self.callers.insert(call, replies);
                self.step(Event::Arrive { call, arrival })
            }
            Input::Query(query) => {
                self.answer_query(query);
                false
            }
        }
    }

    /// Feeds the reducer one event and executes the effects. Returns whether the box may exit.
    fn step(&mut self, event: Event) -> bool {
        if let Event::Gone(call) = event {
            self.callers.remove(&call);
        }
        if let Event::Upstream { ticket, reply } = &event
            && matches!(
                reply,
                Reply::Finished { .. }
                    | Reply::Answered(_)
                    | Reply::Failed { .. }
                    | Reply::Exhausted { .. }
            )
        {
            self.attempts.remove(ticket);
        }
        // The reducer treats a gap in time as a pause, after which another box may own what this
        // box held.
        if let Some(span) = self.clock.take_suspension() {
            self.clock.add_suspension(span);
        }
        let now = self.clock.now();
        let effects = self.node.step(now, event);
        let mut exit = false;
        for effect in effects {
            exit |= self.execute(effect);
        }
        self.entry.send_if_modified(|entry| {
            let changed = entry.beat != self.node.entry().beat;
            if changed {
                entry.clone_from(self.node.entry());
            }
            changed
        });
        exit
    }

    /// Executes one effect. Returns whether the box may exit.
    fn execute(&mut self, effect: Effect) -> bool {
        let client = self.client.clone();
        let inputs = self.inputs.clone();
        match effect {
            Effect::Send { to, address, message } => self.peers.send(to, address, *message),
            Effect::Greet(address) => self.peers.greet(address, self.node.entry().clone()),
            Effect::Prefill { ticket, address, work, class } => {
                let call = upstream::prefill(client, inputs, ticket, address, *work, class);
                self.start_attempt(ticket, call);
            }
            Effect::Import { ticket, address, from, tokens } => {
                let import = Import { stream: ticket.to_string(), from, tokens };
                self.start_attempt(
                    ticket,
                    upstream::import(client, inputs, ticket, address, import),
                );
            }
            Effect::Decode { ticket, address, work, from_seq } => {
                let stream = ticket.to_string();
                let decode = Decode { stream, max_tokens: work.max_tokens, from_seq };
                self.start_attempt(
                    ticket,
                    upstream::decode(client, inputs, ticket, address, decode),
                );
            }
            Effect::Cancel { ticket, address } => {
                self.abort_attempt(ticket);
                tokio::spawn(upstream::cancel(client, ticket, address));
            }
            Effect::Drop(ticket) => self.abort_attempt(ticket),
            Effect::Poll { engine, address } => {
                tokio::spawn(async move {
                    inputs.send(upstream::poll_event(client, engine, address).await);
                });
            }
            Effect::Order { address, token, order } => {
                tokio::spawn(upstream::order(client, self.log.clone(), address, token, order));
            }
            Effect::Call { ticket, key, address, call, timeout, repeatable } => {
                let call = PlainCall { ticket, key, address, call: *call, timeout, repeatable };
                self.start_attempt(ticket, upstream::call(client, inputs, call));
            }
            Effect::Reply { call, reply } => self.reply(call, reply),
            Effect::Store { number, operation } => {
                let platform = self.site.platform.clone();
                tokio::spawn(async move {
                    let answer = platform.execute(operation).await;
                    inputs.send_event(Event::Store { number, answer });
                });
            }
            Effect::Watch(true) => self.watch = Some(tokio::spawn(self.site.clone().watch())),
            Effect::Watch(false) => {
                if let Some(watch) = self.watch.take() {
                    watch.abort();
                }
            }
            Effect::Fetch => {
                tokio::spawn(self.site.clone().fetch());
            }
            Effect::Record(record) => self.record(&record),
            Effect::Note(note) => info!(self.log, "{}", note),
            Effect::Exit => return true,
        }
        false
    }

    /// Starts a task of an attempt and forgets the attempt's previous task.
    fn start_attempt(&mut self, ticket: Ticket, task: impl Future<Output = ()> + Send + 'static) {
        let task = tokio::spawn(task);
        self.attempts.insert(ticket, task.abort_handle());
    }

    /// Aborts the task of an attempt, which closes its connection.
    fn abort_attempt(&mut self, ticket: Ticket) {
        if let Some(task) = self.attempts.remove(&ticket) {
            task.abort();
        }
    }

    /// Sends a reply to its caller and ends the call unless it was a token.
    fn reply(&mut self, call: CallId, reply: CallerReply) {
        let more = matches!(reply, CallerReply::Token(_));
        if let Some(replies) = self.callers.get(&call) {
            // A caller that has disconnected reports it with its own event.
            let _ = replies.send(reply);
        }
        if !more {
            self.callers.remove(&call);
        }
    }

    /// Writes the record of a finished request to the log and the metrics.
    fn record(&mut self, record: &Record) {
        let current = self.node.site();
        if self.labelled_version != current.version {
            self.labelled_version = current.version;
            self.metrics.configure(&current.site);
        }
        self.metrics.record(record);
        let millis = |span: Option<Duration>| span.map(|it| it.as_secs_f64() * 1000.0);
        info!(self.log, "request";
            "key" => %record.key,
            "service" => &record.service,
            "tenant" => &record.tenant,
            "class" => record.class,
            "outcome" => &record.outcome,
            "attempts" => record.attempts,
            "queued_ms" => millis(Some(record.queued)),
            "prefill_ms" => millis(record.prefill),
            "transfer_ms" => millis(record.transfer),
            "first_token_ms" => millis(record.first_token),
            "between_tokens_ms" => millis(record.between_tokens),
            "total_ms" => millis(Some(record.total)),
            "tokens" => record.tokens,
            "wasted_tokens" => record.wasted_tokens,
            "good" => record.good,
        );
    }

    /// Answers a query. The answer is dropped if the receiver has gone.
    fn answer_query(&mut self, query: Query) {
        match query {
            Query::Status(answer) => drop(answer.send(self.node.status())),
            Query::Addresses { caller, data_centre, answer } => {
                drop(answer.send(self.node.addresses(&caller, data_centre.as_deref())));
            }
            Query::Site(answer) => drop(answer.send(self.node.site().site.clone())),
            Query::Ready(answer) => drop(answer.send(self.node.is_ready())),
            Query::Metrics(answer) => drop(answer.send(self.metrics.text())),
        }
    }
}

/// Forwards greetings and messages of other boxes to the event loop until the channel closes.
pub async fn forward_received(
    mut received: mpsc::UnboundedReceiver<Received>,
    inputs: InputSender,
) {
    while let Some(received) = received.recv().await {
        match received {
            Received::Greeting(entry) => inputs.send_event(Event::Seen(entry)),
            Received::Messages { from, messages } => {
                for message in messages {
                    inputs.send_event(Event::Peer { from, message: Box::new(message) });
                }
            }
        }
    }
}
