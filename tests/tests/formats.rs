//! What boxes of an older version tell and hand over is read, and what they are sent they can read.
//!
//! While boxes are replaced one after the other, old and new ones live side by side. The format of
//! datagrams and handovers has neither a version nor numbered fields: one more field, and of a soak
//! with two versions 37 and 21 lines said `datagram not read`, and a customer got 70,234 units of its
//! 69,500. The bytes in `files/formats` were written by the code before anything was added, those of
//! `permits` by the code that first had numbered fields, the other numbered ones by the last code without
//! eras of the store.

use std::path::PathBuf;

use bincode::Options;
use hollyspoke::store::Revision;
use hollyspoke_gateway::departure;
use hollyspoke_gateway::engine::EngineKey;
use hollyspoke_gateway::evacuation::Evacuation;
use hollyspoke_gateway::message::{Eras, Extension, Format, Message};
use hollyspoke_gateway::permit::{Ask, Outcome, Reply};
use hollyspoke_gateway::rate_limit::Announcement;
use hollyspoke_gateway::snapshot::{Snapshot, SnapshotRequest};
use hollyspoke_server::datagram::{read, write};
use hollyspoke_server::handover::format::{
    ReceivedSnapshotRequest, read_request, read_snapshot, write_request, write_snapshot,
};
use hollyspoke_tests::recorded::{changes, partial, snapshot, snapshot_request, whole};
use proptest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The first byte of a datagram in a later format.
const MARK: u8 = 255;

/// Gives a change, as a datagram in the later format tells what its sender can read.
fn later_partial() -> Message {
    Message { format: Some(Format::Permits), ..partial() }
}

/// Gives recorded bytes.
fn recorded(name: &str) -> Vec<u8> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/files/formats");
    let text = std::fs::read_to_string(folder.join(name)).expect("it was recorded");
    let digits: Vec<_> = text.chars().filter(char::is_ascii_hexdigit).collect();
    let byte = |pair: &[char]| {
        u8::from_str_radix(&pair.iter().collect::<String>(), 16).expect("two digits")
    };
    digits.chunks(2).map(byte).collect()
}

/// Reads as a box of the first format does, which takes not a byte more.
fn read_first<T: DeserializeOwned>(bytes: &[u8]) -> bincode::Result<T> {
    bincode::DefaultOptions::new().deserialize(bytes)
}

/// Writes as a box of the first format does.
fn write_first(value: &impl Serialize) -> Vec<u8> {
    bincode::DefaultOptions::new().serialize(value).expect("it can be written")
}

/// Gives all that the later format tells.
fn extension() -> Extension {
    let departure =
        |born| departure::Announcement { engine: EngineKey(6), started_at: born, age_ms: 1200 };
    Extension { departures: vec![departure(Some(7)), departure(None)], ..first_extension() }
}

/// Gives all that the first version of the later format tells.
fn first_extension() -> Extension {
    let word = |rate| Announcement { engine: EngineKey(u64::MAX), born: Some(1), rate, age_ms: 40 };
    let reply = |outcome| Reply { number: 3, engine: EngineKey(9), outcome };
    Extension {
        limits: vec![word(Some(3.5)), word(None)],
        asks: vec![Ask { number: 7, limit: word(Some(0.1)), patience_ms: 66 }],
        replies: vec![
            reply(Outcome::Issued(0)),
            reply(Outcome::Refused(250)),
            reply(Outcome::Unlimited),
        ],
        departures: Vec::new(),
    }
}

#[test]
fn old_datagrams_are_read() {
    for (name, told) in [("whole", whole()), ("partial", partial())] {
        let message = read(&recorded(name)).expect("it is read");
        assert_eq!(message, Message { format: None, ..told }, "{name}");
    }
}

/// What the first version of the later format has written is read, and written as it was.
#[test]
fn first_later_datagrams_are_read() {
    let told = Message { extension: first_extension().non_empty(), ..later_partial() };
    assert_eq!(read(&recorded("permits")).expect("it is read"), told);
    assert_eq!(write(&told, Format::Permits).expect("it is written"), recorded("permits"));
}

/// What boxes write that know no eras is read, in the first era.
#[test]
fn datagrams_without_eras_are_read() {
    let told = |message, format| Message {
        extension: extension().non_empty(),
        format: Some(format),
        ..message
    };
    let partial = told(partial(), Format::Permits);
    assert_eq!(read(&recorded("departures")).expect("it is read"), partial);
    assert_eq!(write(&partial, Format::Permits).expect("it is written"), recorded("departures"));
    let whole = told(whole(), Format::Handovers);
    assert_eq!(read(&recorded("departures-whole")).expect("it is read"), whole);
}

#[test]
fn handovers_without_eras_are_read() {
    let asked = read_request(&recorded("question-numbered")).expect("it is read");
    assert_eq!(
        asked,
        ReceivedSnapshotRequest { request: snapshot_request(), format: Format::Handovers }
    );
    let told = Snapshot { departures: extension().departures, ..snapshot() };
    let bytes = recorded("snapshot-numbered");
    assert_eq!(read_snapshot(&bytes).expect("it is read"), told);
    assert_eq!(write_snapshot(&told, asked.format).expect("it is written"), bytes);
}

#[test]
fn old_handovers_are_read() {
    assert_eq!(
        read_first::<SnapshotRequest>(&recorded("question")).expect("it is read"),
        snapshot_request()
    );
    assert_eq!(read_first::<Snapshot>(&recorded("snapshot")).expect("it is read"), snapshot());
    assert_eq!(read_first::<Snapshot>(&recorded("changes")).expect("it is read"), changes());
}

/// A box that asks in the first format is answered in it, without what came later.
#[test]
fn old_boxes_hand_over_and_get() {
    let asked = read_request(&recorded("question")).expect("it is read");
    assert_eq!(
        asked,
        ReceivedSnapshotRequest { request: snapshot_request(), format: Format::First }
    );
    let told = Snapshot { departures: extension().departures, ..snapshot() };
    assert_eq!(write_snapshot(&told, asked.format).expect("it is written"), recorded("snapshot"));
    assert_eq!(read_snapshot(&recorded("changes")).expect("it is read"), changes());
    for format in [Format::First, Format::Permits] {
        let bytes = write_request(&snapshot_request(), format).expect("it is written");
        assert_eq!(bytes, recorded("question"));
    }
}

/// Boxes that read the later format hand over all; fields of a later version are passed over.
#[test]
fn new_boxes_hand_over_all() {
    let bytes = write_request(&snapshot_request(), Format::Handovers).expect("it is written");
    let asked = read_request(&bytes).expect("it is read");
    assert_eq!(
        asked,
        ReceivedSnapshotRequest { request: snapshot_request(), format: Format::Handovers }
    );
    let told = Snapshot { departures: extension().departures, ..snapshot() };
    let mut bytes = write_snapshot(&told, asked.format).expect("it is written");
    assert_eq!(read_snapshot(&bytes).expect("it is read"), told);
    bytes[1] = 9;
    assert_eq!(bytes[2], 0xa2);
    bytes[2] = 0xa3;
    bytes.extend([0x18, 200, 0x64, b'n', b'e', b'w', b's']);
    assert_eq!(read_snapshot(&bytes).expect("it is read"), told);
}

/// What an old box is sent has the very bytes that it writes itself, but for the entry of the demand in
/// which this box tells what it can read; that one it keeps, for no service.
#[test]
fn old_boxes_read_what_they_are_sent() {
    assert_eq!(write_first(&snapshot_request()), recorded("question"));
    assert_eq!(write_first(&snapshot()), recorded("snapshot"));
    assert_eq!(write_first(&changes()), recorded("changes"));
    let extended = |message| Message { extension: extension().non_empty(), ..message };
    let bytes = write(&extended(partial()), Format::First).expect("it is written");
    assert_eq!(bytes, recorded("partial"));
    let bytes = write(&extended(whole()), Format::First).expect("it is written");
    let mut heard: Message = read_first(&bytes).expect("it is read");
    assert_eq!(heard.demand.len(), whole().demand.len() + 1);
    heard.demand.truncate(whole().demand.len());
    assert_eq!(write_first(&heard), recorded("whole"));
}

#[test]
fn new_boxes_tell_each_other_all() {
    for (told, format) in [(whole(), Format::Eras), (partial(), Format::Permits)] {
        let told = Message { extension: extension().non_empty(), format: Some(format), ..told };
        let bytes = write(&told, Format::Permits).expect("it is written");
        assert_eq!(bytes[0], MARK);
        assert_eq!(read(&bytes).expect("it is read"), told);
    }
}

/// The numbers of revisions stand in the first format and their eras beside them, also where engines,
/// evacuations and news are of several.
#[test]
fn eras_are_told() {
    let all = Eras { store: 9, engines: 9, since: 9, changes: 9, evacuation: 9 };
    let mixed = Eras { store: 9, engines: 8, since: 7, changes: 8, evacuation: 0 };
    for eras in [all, mixed] {
        let mut told = Message { format: Some(Format::Eras), ..whole() };
        told.set_eras(eras);
        assert_eq!(told.eras(), eras);
        let bytes = write(&told, Format::Eras).expect("it is written");
        assert_eq!(read(&bytes).expect("it is read"), told);
    }
    let told = Snapshot {
        listing: snapshot().listing.map(|it| it.in_era(3)),
        evacuation: Evacuation { revision: Revision::new(2, 90), ..snapshot().evacuation },
        ..snapshot()
    };
    let bytes = write_snapshot(&told, Format::Eras).expect("it is written");
    assert_eq!(read_snapshot(&bytes).expect("it is read"), told);
    let asked = SnapshotRequest { revision: Some(Revision::new(3, 70)), ..snapshot_request() };
    let bytes = write_request(&asked, Format::Eras).expect("it is written");
    assert_eq!(read_request(&bytes).expect("it is read").request, asked);
}

/// A box that has nothing of the later format to tell writes the first one, and is known all the same.
#[test]
fn known_by_its_heartbeat() {
    let bytes = write(&whole(), Format::Permits).expect("it is written");
    assert_ne!(bytes[0], MARK);
    assert_eq!(read(&bytes).expect("it is read"), whole());
}

/// A later version may add fields, and say so: the ones that are known are read.
#[test]
fn later_fields_are_passed_over() {
    let told = Message { extension: extension().non_empty(), ..later_partial() };
    let mut bytes = write(&told, Format::Permits).expect("it is written");
    bytes[1] = 9;
    // A map of five fields becomes one of six, with a text under number 200.
    assert_eq!(bytes[2], 0xa5);
    bytes[2] = 0xa6;
    bytes.extend([0x18, 200, 0x64, b'n', b'e', b'w', b's']);
    assert_eq!(read(&bytes).expect("it is read"), told);
}

/// Bytes of datagrams, in the first format and in the later one: the mark, the version and the length
/// cost 8 bytes, a limit about 30.
#[test]
fn sizes() {
    let size = |message: &Message, format| write(message, format).expect("it is written").len();
    let told = Message { extension: extension().non_empty(), ..partial() };
    let first = size(&told, Format::First);
    let later = size(&told, Format::Permits);
    assert!(later - first <= 8 + 8 * 40, "{first} and {later} bytes");
    let telling = size(&whole(), Format::First) - recorded("whole").len();
    assert!(telling <= 13, "{telling} bytes more");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// No bytes make a reader fail but by an error.
    #[test]
    fn spoilt_bytes(place in 0..400usize, byte: u8, cut in 0..400usize) {
        let told = Message { extension: extension().non_empty(), ..whole() };
        let mut bytes = write(&told, Format::Permits).expect("it is written");
        let place = place % bytes.len();
        bytes[place] = byte;
        _ = read(&bytes);
        bytes.truncate(cut);
        _ = read(&bytes);
    }
}
