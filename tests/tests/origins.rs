//! What boxes remember and tell each other of streams' software versions.

use std::net::SocketAddr;
use std::time::Duration;

use hollyspoke::time::Time;
use hollyspoke_gateway::origin::archive::{Record, Records};
use hollyspoke_gateway::origin::{Announcement, Ask, Knowledge, Notice, Reply, StreamKey, Table};
use hollyspoke_gateway::version::{SoftwareVersion, Timeline, Verdict, VersionKey};
use hollyspoke_server::notice::{read, write};
use proptest::prelude::*;

/// A second.
const SECOND: Duration = Duration::from_secs(1);

/// The time for which a client may come back.
const WINDOW: Duration = Duration::from_secs(28);

/// The hash of a service's name.
const SERVICE: u64 = 7;

/// Returns a time in seconds.
fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1000)
}

/// Returns the key of a version.
fn version(name: &str) -> VersionKey {
    SoftwareVersion::new(name).key()
}

/// Returns a stream.
fn stream(id: &str) -> StreamKey {
    StreamKey::of("model", Some("press"), id)
}

#[test]
fn expired_stream_found() {
    let mut table = Table::default();
    table.record(stream("a"), version("v1"), at(1), at(5));
    let found = table.find(stream("a"), at(4)).expect("it is known");
    assert_eq!((found.version, found.age), (Some(version("v1")), SECOND * 3));
    assert_eq!(table.find(stream("a"), at(5)), None);
}

/// Two versions of one stream contradict each other.
#[test]
fn contradicted_version_kept() {
    let mut table = Table::default();
    table.record(stream("a"), version("v1"), at(1), at(5));
    table.record(stream("a"), version("v2"), at(1), at(5));
    assert_eq!(table.find(stream("a"), at(2)).and_then(|it| it.version), None);
    table.record(stream("a"), version("v1"), at(2), at(5));
    assert_eq!(table.find(stream("a"), at(2)).and_then(|it| it.version), None);
}

/// A stream that goes on is kept for as long as its client may come back.
#[test]
fn continued_stream_expires() {
    let mut table = Table::default();
    table.record(stream("a"), version("v1"), at(1), at(5));
    table.record(stream("a"), version("v1"), at(3), at(9));
    assert!(table.find(stream("a"), at(8)).is_some());
}

/// With too many streams, those that expire first are forgotten.
#[test]
fn table_grows() {
    let mut table = Table::default();
    for number in 0..70_000 {
        let until = Time::from_millis(100_000 + number);
        table.record(StreamKey(number), version("v1"), at(1), until);
    }
    assert_eq!(table.len(), 65_536);
    assert!(table.find(StreamKey(0), at(1)).is_none());
    assert!(table.find(StreamKey(69_999), at(1)).is_some());
}

/// The same id of another customer, or at another service, is another stream.
#[test]
fn foreign_stream_found() {
    let key = StreamKey::of("model", Some("press"), "a");
    let others = [
        StreamKey::of("model", Some("hall"), "a"),
        StreamKey::of("model", None, "a"),
        StreamKey::of("other", Some("press"), "a"),
        StreamKey::of("model", Some("pressa"), ""),
    ];
    assert!(others.iter().all(|it| *it != key));
}

/// Returns a timeline that begins at a time with one version.
fn timeline(since: u64) -> Timeline {
    let mut timeline = Timeline::default();
    timeline.begin(false, at(since));
    timeline.observe(SERVICE, Some(version("v1")), at(since));
    timeline
}

/// A box that has just started doesn't know what served before.
#[test]
fn short_history_trusted() {
    let mut timeline = timeline(10);
    timeline.observe(SERVICE, Some(version("v1")), at(30));
    assert_eq!(timeline.verdict(SERVICE, WINDOW, at(30)), Verdict::Unaware);
    timeline.observe(SERVICE, Some(version("v1")), at(38));
    assert_eq!(timeline.verdict(SERVICE, WINDOW, at(38)), Verdict::Only(version("v1")));
}

/// A version that has left counts for as long as its streams may be taken up.
#[test]
fn left_version_forgotten() {
    let mut timeline = timeline(0);
    timeline.observe(SERVICE, Some(version("v2")), at(50));
    for second in 50..100 {
        timeline.observe(SERVICE, Some(version("v1")), at(second));
    }
    assert_eq!(timeline.verdict(SERVICE, WINDOW, at(78)), Verdict::Several);
    assert_eq!(timeline.verdict(SERVICE, WINDOW, at(99)), Verdict::Only(version("v1")));
}

/// An engine whose version isn't known may have any.
#[test]
fn unknown_version_trusted() {
    let mut timeline = timeline(0);
    timeline.observe(SERVICE, None, at(40));
    assert_eq!(timeline.verdict(SERVICE, WINDOW, at(40)), Verdict::Several);
}

/// What the store tells of the time before the start holds for its version only.
#[test]
fn foreign_history_trusted() {
    let mut timeline = timeline(10);
    timeline.extend(SERVICE, version("v2"), SECOND * 100, at(11));
    assert_eq!(timeline.verdict(SERVICE, WINDOW, at(11)), Verdict::Unaware);
    timeline.extend(SERVICE, version("v1"), SECOND * 100, at(11));
    assert_eq!(timeline.verdict(SERVICE, WINDOW, at(11)), Verdict::Only(version("v1")));
}

/// At the first start of a system nothing has served before.
#[test]
fn first_start_unaware() {
    let mut timeline = Timeline::default();
    timeline.begin(true, at(1));
    timeline.observe(SERVICE, Some(version("v1")), at(1));
    assert_eq!(timeline.verdict(SERVICE, WINDOW, at(2)), Verdict::Only(version("v1")));
    timeline.observe(SERVICE, Some(version("v2")), at(2));
    assert_eq!(timeline.verdict(SERVICE, WINDOW, at(2)), Verdict::Several);
}

/// Returns a notice with all kinds of content.
fn full_notice() -> Notice {
    let reply = |knowledge| Reply { stream: StreamKey(3), knowledge };
    Notice {
        sender: SocketAddr::from(([10, 0, 0, 2], 7000)),
        announcements: vec![Announcement {
            stream: StreamKey(u64::MAX),
            version: version("v1"),
            ttl_ms: 28_000,
        }],
        asks: vec![Ask { stream: StreamKey(2), service: SERVICE, window_ms: 28_000 }],
        replies: vec![
            reply(Knowledge::Began(version("v1"))),
            reply(Knowledge::Only(version("v2"))),
            reply(Knowledge::Several),
            reply(Knowledge::Unaware),
        ],
        records: vec![Announcement {
            stream: StreamKey(4),
            version: version("v2"),
            ttl_ms: 600_000,
        }],
    }
}

#[test]
fn notice_misread() {
    let bytes = write(&full_notice()).expect("it is written");
    assert_eq!(read(&bytes).expect("it is read"), Some(full_notice()));
}

/// Each stream costs two or three announcements, of which each is small.
#[test]
fn announcement_too_large() {
    let mut notice = full_notice();
    notice.asks.clear();
    notice.replies.clear();
    notice.records.clear();
    let bytes = write(&notice).expect("it is written");
    assert!(bytes.len() <= 48, "{} bytes", bytes.len());
}

/// What the store keeps of streams is read back; two versions of one stream stay a contradiction.
#[test]
fn archived_stream_misread() {
    let mut records = Records::default();
    for (stream, name) in [(1, "v1"), (2, "v2"), (u64::MAX, "v1"), (2, "v1")] {
        let record = Record { version: Some(version(name)), until: 7000 };
        assert!(records.insert(StreamKey(stream), record));
    }
    let read_back = Records::decode(&records.encode());
    assert_eq!(read_back, records);
    let found = read_back.find(StreamKey(1));
    assert_eq!(found, Some(Record { version: Some(version("v1")), until: 7000 }));
    assert_eq!(read_back.find(StreamKey(2)), Some(Record { version: None, until: 7000 }));
    assert_eq!(read_back.find(StreamKey(3)), None);
}

/// Streams whose clients can't come back any more are forgotten.
#[test]
fn expired_stream_kept() {
    let mut records = Records::default();
    for stream in 1..=3 {
        let record = Record { version: Some(version("v1")), until: 1000 * stream };
        records.insert(StreamKey(u64::from(stream)), record);
    }
    records.prune(2000);
    assert_eq!(records.streams(), [StreamKey(3)]);
}

proptest! {
    /// What no box has written is left out of what is read.
    #[test]
    fn corrupted_archive(text in "[{}\":,a-f0-9streams]{0,200}", digits in "[0-9a-g]{0,60}") {
        _ = Records::decode(&text);
        let records = Records::decode(&format!(r#"{{"streams":{{"0a":"{digits}"}}}}"#));
        prop_assert!(records.len() <= digits.len() / 24);
    }

    /// Invalid bytes cause an error, never a panic.
    #[test]
    fn corrupted_notice(index in 0..200_usize, byte: u8, cut in 0..200_usize) {
        let mut bytes = write(&full_notice()).expect("it is written");
        let index = index % bytes.len();
        bytes[index] = byte;
        _ = read(&bytes);
        bytes.truncate(cut);
        _ = read(&bytes);
    }
}
