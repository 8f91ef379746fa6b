//! Boxes of an older version, which know nothing of the parts of prompts.

use std::sync::Arc;

use hollyspoke_gateway::event::Event;
use hollyspoke_gateway::message::{Extension, Format, Message};

/// Returns what an older box reads of an event.
pub(super) fn received(event: Event) -> Event {
    match event {
        Event::Received(message) => Event::Received(without_parts(&message)),
        Event::Arrived(key, mut request) => {
            request.shared_parts = Arc::default();
            Event::Arrived(key, request)
        }
        other => other,
    }
}

/// Returns what an older box would send instead of a datagram.
pub(super) fn without_parts(message: &Message) -> Message {
    let extension = message.extension.as_deref().cloned().unwrap_or_default();
    Message {
        format: message.format.map(|it| it.min(Format::Origins)),
        extension: Extension { parts: Vec::new(), ..extension }.non_empty(),
        ..message.clone()
    }
}
