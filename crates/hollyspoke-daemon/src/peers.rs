//! The connections to other boxes: one task and one queue for each address.

use std::collections::HashMap;

use hollyspoke::event::Event;
use hollyspoke::key::Incarnation;
use hollyspoke::member::Entry;
use hollyspoke::message::Message;
use hollyspoke_wire::peer::Connection;
use tokio::sync::mpsc;

use crate::input::Inputs;

/// The messages to one box that may wait; more are dropped, as the reducer expects.
const WAITING: usize = 1024;

/// The most messages in one call.
const BATCH: usize = 64;

/// What waits for one box.
#[derive(Debug)]
enum Outgoing {
    /// A message.
    Message(Incarnation, Message),
    /// A greeting.
    Greeting(Entry),
}

/// All connections to other boxes.
#[derive(Debug)]
pub struct Peers {
    /// This box.
    me: Incarnation,
    /// Where answers go.
    inputs: Inputs,
    /// The queue of each address.
    queues: HashMap<String, mpsc::Sender<Outgoing>>,
}

impl Peers {
    /// Makes it without connections.
    pub fn new(me: Incarnation, inputs: Inputs) -> Peers {
        Peers { me, inputs, queues: HashMap::new() }
    }

    /// Sends a message; it is dropped when too many wait.
    pub fn send(&mut self, to: Incarnation, address: String, message: Message) {
        self.put(address, Outgoing::Message(to, message));
    }

    /// Greets the box at an address.
    pub fn greet(&mut self, address: String, entry: Entry) {
        self.put(address, Outgoing::Greeting(entry));
    }

    /// Puts something into an address's queue.
    fn put(&mut self, address: String, outgoing: Outgoing) {
        self.queues.retain(|_, queue| !queue.is_closed());
        let (me, inputs) = (self.me, self.inputs.clone());
        let queue = self.queues.entry(address).or_insert_with_key(|address| {
            let (queue, waiting) = mpsc::channel(WAITING);
            tokio::spawn(serve(me, inputs, address.clone(), waiting));
            queue
        });
        // A full queue drops the message: the other box does not keep up or is gone.
        let _ = queue.try_send(outgoing);
    }
}

/// Delivers what waits for one address. What waits when the box can't be reached is dropped.
async fn serve(
    me: Incarnation,
    inputs: Inputs,
    address: String,
    mut waiting: mpsc::Receiver<Outgoing>,
) {
    let mut link: Option<Connection> = None;
    let mut batch = Vec::new();
    while waiting.recv_many(&mut batch, BATCH).await > 0 {
        if link.is_none() {
            link = Connection::open(&address).await.ok();
        }
        let Some(open) = &link else {
            batch.extend(std::iter::from_fn(|| waiting.try_recv().ok()));
            report_unreachable(&inputs, &batch);
            batch.clear();
            continue;
        };
        if !deliver(me, &inputs, open, &batch).await {
            link = None;
            report_unreachable(&inputs, &batch);
        }
        batch.clear();
    }
}

/// Tells the reducer that the boxes for which a batch was meant can't be reached.
fn report_unreachable(inputs: &Inputs, batch: &[Outgoing]) {
    let mut last = None;
    for outgoing in batch {
        let Outgoing::Message(to, _) = outgoing else { continue };
        if last != Some(*to) {
            inputs.event(Event::Unreachable(*to));
            last = Some(*to);
        }
    }
}

/// Delivers a batch; false when the connection has failed.
async fn deliver(me: Incarnation, inputs: &Inputs, link: &Connection, batch: &[Outgoing]) -> bool {
    let mut messages: Vec<(Incarnation, Vec<Message>)> = Vec::new();
    let mut greeting = None;
    for outgoing in batch {
        match outgoing {
            Outgoing::Greeting(entry) => greeting = Some(entry.clone()),
            Outgoing::Message(to, message) => match messages.last_mut() {
                Some((last, run)) if last == to => run.push(message.clone()),
                Some(_) | None => messages.push((*to, vec![message.clone()])),
            },
        }
    }
    if let Some(entry) = greeting {
        let Ok(seen) = link.greet(entry).await else { return false };
        inputs.event(Event::Seen(seen));
    }
    for (to, run) in messages {
        match link.deliver(me, to, run).await {
            Ok(true) => {}
            // Another incarnation has dropped them: the one they were meant for is gone.
            Ok(false) => inputs.event(Event::Unreachable(to)),
            Err(_) => return false,
        }
    }
    true
}
