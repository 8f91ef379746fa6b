//! The connections to other boxes: one task and one queue for each address.

use std::collections::HashMap;

use hollyspoke::event::Event;
use hollyspoke::key::Incarnation;
use hollyspoke::member::Entry;
use hollyspoke::message::Message;
use hollyspoke_wire::peer::Connection;
use tokio::sync::mpsc;

use crate::input::InputSender;

/// The messages to one box that may wait; more are dropped, as the reducer expects.
const MAX_QUEUED_COUNT: usize = 1024;

/// The most messages in one call.
const MAX_BATCH_COUNT: usize = 64;

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
    own_incarnation: Incarnation,
    /// Where answers go.
    inputs: InputSender,
    /// The queue of each address.
    queues: HashMap<String, mpsc::Sender<Outgoing>>,
}

impl Peers {
    /// Makes it without connections.
    pub fn new(own_incarnation: Incarnation, inputs: InputSender) -> Peers {
        Peers { own_incarnation, inputs, queues: HashMap::new() }
    }

    /// Sends a message; it is dropped when too many wait.
    pub fn send(&mut self, to: Incarnation, address: String, message: Message) {
        self.enqueue(address, Outgoing::Message(to, message));
    }

    /// Greets the box at an address.
    pub fn greet(&mut self, address: String, entry: Entry) {
        self.enqueue(address, Outgoing::Greeting(entry));
    }

    /// Puts something into an address's queue.
    fn enqueue(&mut self, address: String, outgoing: Outgoing) {
        self.queues.retain(|_, queue| !queue.is_closed());
        let (own_incarnation, inputs) = (self.own_incarnation, self.inputs.clone());
        let queue = self.queues.entry(address).or_insert_with_key(|address| {
            let (queue, receiver) = mpsc::channel(MAX_QUEUED_COUNT);
            tokio::spawn(deliver_queue(own_incarnation, inputs, address.clone(), receiver));
            queue
        });
        // A full queue drops the message: the other box does not keep up or is gone.
        let _ = queue.try_send(outgoing);
    }
}

/// Delivers what waits for one address. What waits when the box can't be reached is dropped.
async fn deliver_queue(
    own_incarnation: Incarnation,
    inputs: InputSender,
    address: String,
    mut receiver: mpsc::Receiver<Outgoing>,
) {
    let mut connection: Option<Connection> = None;
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, MAX_BATCH_COUNT).await > 0 {
        if connection.is_none() {
            connection = Connection::open(&address).await.ok();
        }
        let Some(open) = &connection else {
            batch.extend(std::iter::from_fn(|| receiver.try_recv().ok()));
            report_unreachable(&inputs, &batch);
            batch.clear();
            continue;
        };
        if !deliver(own_incarnation, &inputs, open, &batch).await {
            connection = None;
            report_unreachable(&inputs, &batch);
        }
        batch.clear();
    }
}

/// Tells the reducer that the boxes for which a batch was meant can't be reached.
fn report_unreachable(inputs: &InputSender, batch: &[Outgoing]) {
    let mut last = None;
    for outgoing in batch {
        let Outgoing::Message(to, _) = outgoing else { continue };
        if last != Some(*to) {
            inputs.send_event(Event::Unreachable(*to));
            last = Some(*to);
        }
    }
}

/// Delivers a batch; false when the connection has failed.
async fn deliver(
    own_incarnation: Incarnation,
    inputs: &InputSender,
    connection: &Connection,
    batch: &[Outgoing],
) -> bool {
    let mut messages: Vec<(Incarnation, Vec<Message>)> = Vec::new();
    let mut greeting = None;
    for outgoing in batch {
        match outgoing {
            Outgoing::Greeting(entry) => greeting = Some(entry.clone()),
            Outgoing::Message(to, message) => match messages.last_mut() {
                Some((last, group)) if last == to => group.push(message.clone()),
                Some(_) | None => messages.push((*to, vec![message.clone()])),
            },
        }
    }
    if let Some(entry) = greeting {
        let Ok(seen) = connection.greet(entry).await else { return false };
        inputs.send_event(Event::Seen(seen));
    }
    for (to, group) in messages {
        match connection.deliver(own_incarnation, to, group).await {
            Ok(true) => {}
            // Another incarnation has dropped them: the one they were meant for is gone.
            Ok(false) => inputs.send_event(Event::Unreachable(to)),
            Err(_) => return false,
        }
    }
    true
}
