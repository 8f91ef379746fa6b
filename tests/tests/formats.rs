//! Boxes of different versions read each other's datagrams and handovers while they are replaced.
//!
//! The first format has no version and no numbered fields, so one added field made datagrams unreadable:
//! a customer got 70,234 units with a limit of 69,500. The first-format bytes in `files/formats` precede
//! any added field, `permits` is the first version with numbered fields, those with `eras` in their name are
//! of the last version without the load of classes, `loads-whole` of the last one in which boxes
//! accept no requests of others, `parts-whole` of the first one that announces parts of prompts,
//! `parts-supported` of the first one that announces its support for them, and the other numbered ones
//! are of the last version without eras of the store.

use std::path::PathBuf;
use std::time::Duration;

use bincode::Options;
use hollyspoke::store::Revision;
use hollyspoke_gateway::class::{self, Class};
use hollyspoke_gateway::customer::CustomerKey;
use hollyspoke_gateway::engine::{Engine, EngineChange, EngineKey};
use hollyspoke_gateway::evacuation::Evacuation;
use hollyspoke_gateway::message::{Eras, Extension, Format, Message};
use hollyspoke_gateway::permit::{Ask, Outcome, Reply};
use hollyspoke_gateway::quarantine::{
    self, Crash, Incarnation, MAX_ANNOUNCED, MAX_PART_CRASHES, NamedAnnouncement, Proof,
};
use hollyspoke_gateway::rate_limit::Announcement;
use hollyspoke_gateway::route::Operations;
use hollyspoke_gateway::signature::Signature;
use hollyspoke_gateway::snapshot::{Listing, Snapshot, SnapshotRequest};
use hollyspoke_gateway::version::SoftwareVersion;
use hollyspoke_gateway::{appointment, departure, pace, proxy};
use hollyspoke_server::datagram::{read, write};
use hollyspoke_server::handover::format::{
    ReceivedSnapshotRequest, read_request, read_snapshot, write_request, write_snapshot,
};
use hollyspoke_tests::recorded::{changes, partial, snapshot, snapshot_request, whole};
use proptest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The first byte of a datagram in the format with numbered fields.
const MARK: u8 = 255;

/// Returns a change with the format that its sender reads, which only numbered fields can carry.
fn numbered_partial() -> Message {
    Message { format: Some(Format::Permits), ..partial() }
}

/// Returns the bytes of a recorded file.
fn recorded(name: &str) -> Vec<u8> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/files/formats");
    let text = std::fs::read_to_string(folder.join(name)).expect("it was recorded");
    let digits: Vec<_> = text.chars().filter(char::is_ascii_hexdigit).collect();
    let byte = |pair: &[char]| {
        u8::from_str_radix(&pair.iter().collect::<String>(), 16).expect("two digits")
    };
    digits.chunks(2).map(byte).collect()
}

/// Reads as a box of the first format does, which refuses surplus bytes.
fn read_first<T: DeserializeOwned>(bytes: &[u8]) -> bincode::Result<T> {
    bincode::DefaultOptions::new().deserialize(bytes)
}

/// Writes as a box of the first format does.
fn write_first(value: &impl Serialize) -> Vec<u8> {
    bincode::DefaultOptions::new().serialize(value).expect("it can be written")
}

/// Returns all that numbered fields carried in the version with eras.
fn extension() -> Extension {
    let departure =
        |born| departure::Announcement { engine: EngineKey(6), started_at: born, age_ms: 1200 };
    Extension { departures: vec![departure(Some(7)), departure(None)], ..permits_extension() }
}

/// Returns all that the first version with numbered fields carries.
fn permits_extension() -> Extension {
    let announcement =
        |rate| Announcement { engine: EngineKey(u64::MAX), born: Some(1), rate, age_ms: 40 };
    let reply = |outcome| Reply { number: 3, engine: EngineKey(9), outcome };
    Extension {
        limits: vec![announcement(Some(3.5)), announcement(None)],
        asks: vec![Ask { number: 7, limit: announcement(Some(0.1)), patience_ms: 66 }],
        replies: vec![
            reply(Outcome::Issued(0)),
            reply(Outcome::Refused(250)),
            reply(Outcome::Unlimited),
        ],
        ..Extension::default()
    }
}

/// Returns all that numbered fields carry.
fn proxy_extension() -> Extension {
    let proxy = proxy::Announcement { port: Some(7395), lost: vec![u64::MAX, 0], is_cut_off: true };
    Extension { proxy, ..load_extension() }
}

/// Returns all that numbered fields carried in the version with loads and paces.
fn load_extension() -> Extension {
    let class = |customer| Class { service: u64::MAX, priority: 1, customer };
    let load = class::Load { arriving_milli_per_s: 5_000_000_000, waiting: 7, running: 60_000 };
    let classes = vec![
        class::Announcement { class: class(Some(CustomerKey(9))), load },
        class::Announcement { class: class(None), load: class::Load::default() },
    ];
    let appointment =
        appointment::Announcement { service: 77, priority: 2, in_ms: 1250, units: 3400 };
    let pace =
        pace::Announcement { engine: EngineKey(6), started_at: Some(7), percent: 240, age_ms: 40 };
    Extension { classes, appointments: vec![appointment], paces: vec![pace], ..extension() }
}

/// Returns the eras of a datagram whose parts are of different ones.
fn mixed_eras() -> Eras {
    Eras { store: 9, engines: 8, since: 7, changes: 8, evacuation: 0 }
}

/// Boxes of the first format read which engines are replaced, the others also which lives of them.
#[test]
fn lives_of_replaced_engines_lost() {
    let lives = [Some(7), None].map(|started_at| Incarnation { engine: EngineKey(1), started_at });
    let extension = Extension { replaced: lives.to_vec(), ..Extension::default() }.non_empty();
    let sent = Message { replaced: vec![EngineKey(1)], extension, ..partial() };
    let received = read(&write(&sent, Format::Permits).unwrap()).expect("it is read");
    assert_eq!((&received.replaced, &received.extension), (&sent.replaced, &sent.extension));
    let received = read(&write(&sent, Format::First).unwrap()).expect("it is read");
    assert_eq!((received.replaced, received.extension), (sent.replaced, None));
}

#[test]
fn first_datagram_misread() {
    for (name, sent) in [("whole", whole()), ("partial", partial())] {
        let message = read(&recorded(name)).expect("it is read");
        assert_eq!(message, Message { format: None, ..sent }, "{name}");
    }
}

/// Datagrams of the first version with numbered fields are read, and written with the same bytes.
#[test]
fn permits_datagram_misread() {
    let sent = Message { extension: permits_extension().non_empty(), ..numbered_partial() };
    assert_eq!(read(&recorded("permits")).expect("it is read"), sent);
    assert_eq!(write(&sent, Format::Permits).expect("it is written"), recorded("permits"));
}

/// Datagrams of boxes without eras are read in the first era.
#[test]
fn eraless_datagram_misread() {
    let sent = |message, format| Message {
        extension: extension().non_empty(),
        format: Some(format),
        ..message
    };
    let partial = sent(partial(), Format::Permits);
    assert_eq!(read(&recorded("departures")).expect("it is read"), partial);
    assert_eq!(write(&partial, Format::Permits).expect("it is written"), recorded("departures"));
    let whole = sent(whole(), Format::Handovers);
    assert_eq!(read(&recorded("departures-whole")).expect("it is read"), whole);
}

#[test]
fn eraless_handover_misread() {
    let received_request = read_request(&recorded("question-numbered")).expect("it is read");
    assert_eq!(
        received_request,
        ReceivedSnapshotRequest { request: snapshot_request(), format: Format::Handovers }
    );
    let sent = Snapshot { departures: extension().departures, ..snapshot() };
    let bytes = recorded("snapshot-numbered");
    assert_eq!(read_snapshot(&bytes).expect("it is read"), sent);
    assert_eq!(write_snapshot(&sent, received_request.format).expect("it is written"), bytes);
}

/// Datagrams and handovers of boxes without the load of classes are read, and written with the same
/// bytes.
#[test]
fn loadless_box_misread() {
    for (name, sent) in [("eras-whole", whole()), ("eras-partial", partial())] {
        let format = if sent.is_whole { Format::Eras } else { Format::Permits };
        let extension = extension().non_empty();
        let mut sent = Message { extension, format: Some(format), ..sent };
        sent.set_eras(mixed_eras());
        assert_eq!(read(&recorded(name)).expect("it is read"), sent, "{name}");
        assert_eq!(write(&sent, Format::Eras).expect("it is written"), recorded(name), "{name}");
    }
    let sent = Snapshot {
        departures: extension().departures,
        listing: snapshot().listing.map(|it| it.in_era(3)),
        ..snapshot()
    };
    let bytes = recorded("snapshot-eras");
    assert_eq!(read_snapshot(&bytes).expect("it is read"), sent);
    assert_eq!(write_snapshot(&sent, Format::Eras).expect("it is written"), bytes);
}

/// Datagrams of boxes that accept no requests of others are read, and written with the same bytes.
#[test]
fn proxyless_box_misread() {
    let extension = load_extension().non_empty();
    let sent = Message { extension, format: Some(Format::Eras), ..whole() };
    assert_eq!(read(&recorded("loads-whole")).expect("it is read"), sent);
    assert_eq!(write(&sent, Format::Permits).expect("it is written"), recorded("loads-whole"));
}

/// The bytes that a box may spend for control in a second at the size to design for.
const CONTROL_BYTES_PER_S: usize = 8 << 10;

/// Returns the announced case of a prompt's part with a number of crashes.
fn part(number: u64, crash_count: usize) -> NamedAnnouncement {
    let name = format!("{:08x}", 0x91bd_3f06 + number);
    let crash = |slot: usize| Crash {
        engine: EngineKey::of(&format!("engine-{slot}")),
        born: Some(1_790_000_000_123 + slot as u64),
        proof: if slot == 0 { Proof::Proven } else { Proof::Likely },
    };
    let slots: Vec<_> = (0..crash_count).map(|it| Some(crash(it))).collect();
    let mut crashes = [None; MAX_PART_CRASHES];
    crashes[..crash_count].copy_from_slice(&slots);
    let signature = Signature::of_part("model", &name);
    NamedAnnouncement {
        case: quarantine::Announcement { signature, epoch: 1, crashes, at: 1_790_000_100 },
        name: Some(name.into()),
        versions: vec![SoftwareVersion::new("v1").key()],
    }
}

/// Datagrams with parts of prompts are read, and written with the same bytes.
#[test]
fn announced_part_misread() {
    let extension = Extension { parts: vec![part(0, 4), part(1, 0)], ..proxy_extension() };
    let sent = Message { extension: extension.non_empty(), format: Some(Format::Eras), ..whole() };
    assert_eq!(read(&recorded("parts-whole")).expect("it is read"), sent);
    assert_eq!(write(&sent, Format::Permits).expect("it is written"), recorded("parts-whole"));
    let unnamed = NamedAnnouncement { name: None, versions: Vec::new(), ..part(2, 1) };
    let extension = Extension { parts: vec![unnamed], ..Extension::default() }.non_empty();
    let sent = Message { extension, ..numbered_partial() };
    let read_back = read(&write(&sent, Format::Permits).expect("it is written"));
    assert_eq!(read_back.expect("it is read"), sent);
}

/// Whole datagrams that announce support for parts of prompts are read, and written with the same bytes.
/// Without the announcement, the sender is an older box.
#[test]
fn older_box_misread() {
    let sent = Message { format: Some(Format::Parts), ..whole() };
    assert_eq!(read(&recorded("parts-supported")).expect("it is read"), sent);
    assert_eq!(write(&sent, Format::Permits).expect("it is written"), recorded("parts-supported"));
    let older = Message { format: Some(Format::Origins), ..sent };
    let read_back = read(&write(&older, Format::Permits).expect("it is written"));
    assert_eq!(read_back.expect("it is read"), older);
}

/// Whole datagrams that announce that their sender keeps streams in the store are read back.
#[test]
fn keeper_misread() {
    for format in [Format::Parts, Format::Records] {
        let sent = Message { format: Some(format), ..whole() };
        let read_back = read(&write(&sent, Format::Permits).expect("it is written"));
        assert_eq!(read_back.expect("it is read"), sent);
    }
}

/// The parts that one datagram announces take at most a quarter of what a box may spend in a second.
#[test]
fn announced_part_too_large() {
    let size = |count: u64| {
        let parts = (0..count).map(|it| part(it, 1)).collect();
        let extension = Extension { parts, ..Extension::default() }.non_empty();
        let message = Message { extension, ..numbered_partial() };
        write(&message, Format::Permits).expect("it is written").len()
    };
    let added = size(MAX_ANNOUNCED as u64) - size(0);
    assert!(added <= CONTROL_BYTES_PER_S / 4, "{added}");
}

/// Datagrams and handovers of boxes that pass no versions of engines on are read, and written with the
/// same bytes.
#[test]
fn versionless_box_misread() {
    let extension = proxy_extension().non_empty();
    let sent = Message { extension, format: Some(Format::Eras), ..whole() };
    assert_eq!(read(&recorded("proxy-whole")).expect("it is read"), sent);
    assert_eq!(write(&sent, Format::Permits).expect("it is written"), recorded("proxy-whole"));
    let bytes = recorded("snapshot-operations");
    assert_eq!(read_snapshot(&bytes).expect("it is read"), with_operations(snapshot()));
    let written = write_snapshot(&with_operations(snapshot()), Format::Eras);
    assert_eq!(written.expect("it is written"), bytes);
}

/// Returns a change or a listing whose engines have versions, one of them unnamed.
fn with_versions<'a>(engines: impl Iterator<Item = &'a mut Engine>) {
    for (engine, name) in engines.zip(["v1.2", "", "v1.2"]) {
        engine.version = Some(SoftwareVersion::new(name));
    }
}

#[test]
fn versions_lost() {
    let mut sent = Message { format: Some(Format::Origins), ..whole() };
    let update = sent.engine_update.as_mut().expect("there is one");
    with_versions(update.changes.iter_mut().filter_map(|it| match it {
        EngineChange::Put(engine, _) => Some(engine),
        EngineChange::Left(..) => None,
    }));
    let bytes = write(&sent, Format::Permits).expect("it is written");
    assert_eq!(read(&bytes).expect("it is read"), sent);
    let mut sent = snapshot();
    let Some(Listing::Whole { engines, .. }) = &mut sent.listing else { panic!("{sent:?}") };
    with_versions(engines.iter_mut());
    let bytes = write_snapshot(&sent, Format::Eras).expect("it is written");
    assert_eq!(read_snapshot(&bytes).expect("it is read"), sent);
}

/// A handover or a datagram that ends early, wherever, is not read as a shorter one.
#[test]
fn cut_message_accepted() {
    for format in [Format::First, Format::Handovers, Format::Eras] {
        for snapshot in [snapshot(), changes()] {
            let bytes = write_snapshot(&snapshot, format).expect("it is written");
            let accepted = (0..bytes.len()).find(|it| read_snapshot(&bytes[..*it]).is_ok());
            assert_eq!(accepted, None, "{format:?}, of {}", bytes.len());
        }
        let sent = Message { extension: proxy_extension().non_empty(), ..whole() };
        let bytes = write(&sent, format).expect("it is written");
        let accepted = (0..bytes.len()).find(|it| read(&bytes[..*it]).is_ok());
        assert_eq!(accepted, None, "{format:?}, of {}", bytes.len());
    }
}

#[test]
fn proxy_lost() {
    let extension = proxy_extension().non_empty();
    let sent = Message { extension, format: Some(Format::Eras), ..whole() };
    let bytes = write(&sent, Format::Permits).expect("it is written");
    assert_eq!(read(&bytes).expect("it is read"), sent);
}

#[test]
fn registration_lost() {
    let extension = Extension { registration_ms: Some(1700), ..Extension::default() }.non_empty();
    let sent = Message { extension, format: Some(Format::Eras), ..whole() };
    let bytes = write(&sent, Format::Permits).expect("it is written");
    assert_eq!(read(&bytes).expect("it is read"), sent);
}

/// Returns a snapshot whose engines support all optional operations.
fn with_operations(mut snapshot: Snapshot) -> Snapshot {
    let services = snapshot.configuration.iter_mut().flat_map(|it| &mut it.services);
    for staged in services.filter_map(|it| it.staged.as_mut()) {
        staged.operations = Operations {
            max_reservation: Some(Duration::from_secs(2)),
            can_migrate: true,
            can_back_up: true,
        };
    }
    snapshot
}

/// The first format has no optional operations of engines: numbered fields carry them.
#[test]
fn operations_lost() {
    let sent = with_operations(snapshot());
    let bytes = write_snapshot(&sent, Format::Eras).expect("it is written");
    assert_eq!(read_snapshot(&bytes).expect("it is read"), sent);
    let bytes = write_snapshot(&sent, Format::First).expect("it is written");
    assert_eq!(bytes, recorded("snapshot"));
}

#[test]
fn first_handover_misread() {
    assert_eq!(
        read_first::<SnapshotRequest>(&recorded("question")).expect("it is read"),
        snapshot_request()
    );
    assert_eq!(read_first::<Snapshot>(&recorded("snapshot")).expect("it is read"), snapshot());
    assert_eq!(read_first::<Snapshot>(&recorded("changes")).expect("it is read"), changes());
}

/// A request in the first format is answered in that format, without the later fields.
#[test]
fn wrong_handover_format() {
    let received_request = read_request(&recorded("question")).expect("it is read");
    assert_eq!(
        received_request,
        ReceivedSnapshotRequest { request: snapshot_request(), format: Format::First }
    );
    let sent = Snapshot { departures: extension().departures, ..snapshot() };
    assert_eq!(
        write_snapshot(&sent, received_request.format).expect("it is written"),
        recorded("snapshot")
    );
    assert_eq!(read_snapshot(&recorded("changes")).expect("it is read"), changes());
    for format in [Format::First, Format::Permits] {
        let bytes = write_request(&snapshot_request(), format).expect("it is written");
        assert_eq!(bytes, recorded("question"));
    }
}

/// Boxes that read numbered fields hand over everything; unknown fields are skipped.
#[test]
fn handover_incomplete() {
    let bytes = write_request(&snapshot_request(), Format::Handovers).expect("it is written");
    let received_request = read_request(&bytes).expect("it is read");
    assert_eq!(
        received_request,
        ReceivedSnapshotRequest { request: snapshot_request(), format: Format::Handovers }
    );
    let sent = Snapshot { departures: extension().departures, ..snapshot() };
    let mut bytes = write_snapshot(&sent, received_request.format).expect("it is written");
    assert_eq!(read_snapshot(&bytes).expect("it is read"), sent);
    bytes[1] = 9;
    assert_eq!(bytes[2], 0xa2);
    bytes[2] = 0xa3;
    bytes.extend([0x18, 200, 0x64, b'n', b'e', b'w', b's']);
    assert_eq!(read_snapshot(&bytes).expect("it is read"), sent);
}

/// An old box is sent the same bytes that it writes itself, but for one entry of the demand that names
/// the format of the sender. The old box stores that entry under no service.
#[test]
fn old_box_misreads() {
    assert_eq!(write_first(&snapshot_request()), recorded("question"));
    assert_eq!(write_first(&snapshot()), recorded("snapshot"));
    assert_eq!(write_first(&changes()), recorded("changes"));
    let extended = |message| Message { extension: extension().non_empty(), ..message };
    let bytes = write(&extended(partial()), Format::First).expect("it is written");
    assert_eq!(bytes, recorded("partial"));
    let bytes = write(&extended(whole()), Format::First).expect("it is written");
    let mut received: Message = read_first(&bytes).expect("it is read");
    assert_eq!(received.demand.len(), whole().demand.len() + 1);
    received.demand.truncate(whole().demand.len());
    assert_eq!(write_first(&received), recorded("whole"));
}

#[test]
fn extension_lost() {
    for (sent, format) in [(whole(), Format::Eras), (partial(), Format::Permits)] {
        let sent = Message { extension: extension().non_empty(), format: Some(format), ..sent };
        let bytes = write(&sent, Format::Permits).expect("it is written");
        assert_eq!(bytes[0], MARK);
        assert_eq!(read(&bytes).expect("it is read"), sent);
    }
}

/// Engines that go on are told in a field that boxes without it skip.
#[test]
fn reached_engines_lost() {
    let reached = vec![EngineKey(6), EngineKey(u64::MAX)];
    let extension = Extension { reached, ..proxy_extension() }.non_empty();
    let sent = Message { extension, format: Some(Format::Eras), ..whole() };
    let bytes = write(&sent, Format::Permits).expect("it is written");
    assert_eq!(read(&bytes).expect("it is read"), sent);
    let first = write(&sent, Format::First).expect("it is written");
    assert_eq!(read(&first).expect("it is read").extension, None);
}

/// Revision numbers are in the first format and their eras in numbered fields, also if engines,
/// evacuations and changes are of different eras.
#[test]
fn era_lost() {
    let all = Eras { store: 9, engines: 9, since: 9, changes: 9, evacuation: 9 };
    for eras in [all, mixed_eras()] {
        let mut sent = Message { format: Some(Format::Eras), ..whole() };
        sent.set_eras(eras);
        assert_eq!(sent.eras(), eras);
        let bytes = write(&sent, Format::Eras).expect("it is written");
        assert_eq!(read(&bytes).expect("it is read"), sent);
    }
    let sent = Snapshot {
        listing: snapshot().listing.map(|it| it.in_era(3)),
        evacuation: Evacuation { revision: Revision::new(2, 90), ..snapshot().evacuation },
        ..snapshot()
    };
    let bytes = write_snapshot(&sent, Format::Eras).expect("it is written");
    assert_eq!(read_snapshot(&bytes).expect("it is read"), sent);
    let received_request =
        SnapshotRequest { revision: Some(Revision::new(3, 70)), ..snapshot_request() };
    let bytes = write_request(&received_request, Format::Eras).expect("it is written");
    assert_eq!(read_request(&bytes).expect("it is read").request, received_request);
}

/// A box without numbered fields to send writes the first format, which still names its own format.
#[test]
fn heartbeat_misread() {
    let bytes = write(&whole(), Format::Permits).expect("it is written");
    assert_ne!(bytes[0], MARK);
    assert_eq!(read(&bytes).expect("it is read"), whole());
}

/// A later version may add fields; the known ones are still read.
#[test]
fn unknown_field_refused() {
    let sent = Message { extension: extension().non_empty(), ..numbered_partial() };
    let mut bytes = write(&sent, Format::Permits).expect("it is written");
    bytes[1] = 9;
    // A map of five fields becomes one of six, with a text under number 200.
    assert_eq!(bytes[2], 0xa5);
    bytes[2] = 0xa6;
    bytes.extend([0x18, 200, 0x64, b'n', b'e', b'w', b's']);
    assert_eq!(read(&bytes).expect("it is read"), sent);
}

/// Numbered fields cost 8 bytes for the mark, the version and the length, and about 30 for a limit.
#[test]
fn datagram_too_large() {
    let size = |message: &Message, format| write(message, format).expect("it is written").len();
    let sent = Message { extension: extension().non_empty(), ..partial() };
    let first = size(&sent, Format::First);
    let later = size(&sent, Format::Permits);
    assert!(
        later - first <= 8 + 8 * 40,
        "{first} bytes in the first format, {later} with numbered fields"
    );
    let format_bytes = size(&whole(), Format::First) - recorded("whole").len();
    assert!(format_bytes <= 13, "the format of the sender takes {format_bytes} bytes");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Invalid bytes cause an error, never a panic.
    #[test]
    fn corrupted_bytes(index in 0..400usize, byte: u8, cut in 0..400usize) {
        let sent = Message { extension: extension().non_empty(), ..whole() };
        let mut bytes = write(&sent, Format::Permits).expect("it is written");
        let index = index % bytes.len();
        bytes[index] = byte;
        _ = read(&bytes);
        bytes.truncate(cut);
        _ = read(&bytes);
    }
}
