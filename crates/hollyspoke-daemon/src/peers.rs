//! The connections to other boxes: one task and one queue for each address.

use std::collections::HashMap;

use hollyspoke::event::Event;
use hollyspoke::key::Incarnation;
use hollyspoke::member::Entry;
use hollyspoke::message::Message;
use hollyspoke_socket::shortage::Shortage;
use hollyspoke_wire::peer::Connection;
use slog::{Logger, warn};
use tokio::sync::mpsc;

use crate::input::InputSender;

/// The queue length of one box. Further messages are dropped, which the reducer allows for.
const MAX_QUEUED_COUNT: usize = 1024;

/// The largest number of queued items that one call delivers.
const MAX_BATCH_COUNT: usize = 64;

/// An item in the queue of one box.
#[derive(Debug)]
enum Outgoing {
    /// A message to one incarnation of the box.
    Message(Incarnation, Message),
    /// A greeting with this box's member entry.
    Greeting(Entry),
}

/// All connections to other boxes.
#[derive(Debug)]
pub struct Peers {
    /// The incarnation of this box, the sender of all messages.
    own_incarnation: Incarnation,
    /// The event queue of the reducer, for answers and failures.
    inputs: InputSender,
    /// The log.
    log: Logger,
    /// The queue of each address. It closes when its delivery task ends.
    queues: HashMap<String, mpsc::Sender<Outgoing>>,
}

impl Peers {
    /// Creates the set without connections.
    pub fn new(own_incarnation: Incarnation, inputs: InputSender, log: Logger) -> Peers {
        Peers { own_incarnation, inputs, log, queues: HashMap::new() }
    }

    /// Queues a message, or drops it when the queue is full.
    pub fn send(&mut self, to: Incarnation, address: String, message: Message) {
        self.enqueue(address, Outgoing::Message(to, message));
    }

    /// Queues a greeting to the box at an address.
    pub fn greet(&mut self, address: String, entry: Entry) {
        self.enqueue(address, Outgoing::Greeting(entry));
    }

    /// Queues an item and starts the delivery task of an address that has none.
    fn enqueue(&mut self, address: String, outgoing: Outgoing) {
        self.queues.retain(|_, queue| !queue.is_closed());
        let (own_incarnation, inputs) = (self.own_incarnation, self.inputs.clone());
        let log = self.log.clone();
        let queue = self.queues.entry(address).or_insert_with_key(|address| {
            let (queue, receiver) = mpsc::channel(MAX_QUEUED_COUNT);
            tokio::spawn(deliver_queue(own_incarnation, inputs, log, address.clone(), receiver));
            queue
        });
        // A full queue drops the item: the other box is too slow or unreachable.
        let _ = queue.try_send(outgoing);
    }
}

/// Delivers the queue of one address. Drops all queued items when the box is unreachable, or when
/// this box lacks a resource for a connection, which does not make the other one unreachable.
async fn deliver_queue(
    own_incarnation: Incarnation,
    inputs: InputSender,
    log: Logger,
    address: String,
    mut receiver: mpsc::Receiver<Outgoing>,
) {
    let mut connection: Option<Connection> = None;
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, MAX_BATCH_COUNT).await > 0 {
        let opened = match connection.take() {
            Some(established) => Ok(established),
            None => Connection::open(&address).await,
        };
        match opened {
            Ok(established) => {
                if deliver(own_incarnation, &inputs, &established, &batch).await {
                    connection = Some(established);
                } else {
                    report_unreachable(&inputs, &batch);
                }
            }
            Err(error) => {
                batch.extend(std::iter::from_fn(|| receiver.try_recv().ok()));
                match Shortage::of(&error) {
                    Some(shortage) => warn!(log, "connection not opened";
                        "to" => &address, "lacks" => shortage.name(), "dropped" => batch.len()),
                    None => report_unreachable(&inputs, &batch),
                }
            }
        }
        batch.clear();
    }
}

/// Reports the receivers of a batch as unreachable to the reducer.
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

/// Delivers a batch. Returns false when the connection has failed.
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
            // Another incarnation runs at the address and has dropped the messages.
            Ok(false) => inputs.send_event(Event::Unreachable(to)),
            Err(_) => return false,
        }
    }
    true
}
