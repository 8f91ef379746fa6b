//! Encoding and decoding of notices of streams' versions.
//!
//! There are several for each stream, so that they carry nothing else. A notice begins with the mark
//! of the extended format, followed by a version of its own and by numbered, optional fields. Boxes
//! are sent notices only if they have announced that they can read them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use eyre::{WrapErr, bail};
use hollyspoke_gateway::origin::{Announcement, Ask, Knowledge, Notice, Reply, StreamKey};
use hollyspoke_gateway::version::VersionKey;
use minicbor::{Decode, Encode};

use crate::datagram::{EXTENDED_FORMAT_MARK, non_empty_list};

/// The version with which a notice begins after the mark. Other datagrams have lower ones.
const NOTICE_FORMAT: u8 = 128;

/// A notice.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct NoticeField {
    /// The IPv4 address of the sender as a number.
    #[n(0)]
    ip: u32,
    /// Its port.
    #[n(1)]
    port: u16,
    /// What it announces.
    #[n(2)]
    announcements: Option<Vec<AnnouncementField>>,
    /// What it asks.
    #[n(3)]
    asks: Option<Vec<AskField>>,
    /// Its answers.
    #[n(4)]
    replies: Option<Vec<ReplyField>>,
    /// The streams that the receiver is to keep in the store.
    #[n(5)]
    records: Option<Vec<AnnouncementField>>,
}

/// The version of a stream.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct AnnouncementField {
    /// The stream's key.
    #[n(0)]
    stream: u64,
    /// The key of the version that began it.
    #[n(1)]
    version: u64,
    /// How long its client may come back, in milliseconds.
    #[n(2)]
    ttl_ms: u32,
}

/// A question for the version of a stream.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct AskField {
    /// The stream's key.
    #[n(0)]
    stream: u64,
    /// The hash of the service's name.
    #[n(1)]
    service: u64,
    /// How long ago the stream may have begun, in milliseconds.
    #[n(2)]
    window_ms: u32,
}

/// An answer. At most one of the last three fields is present; without one, the sender knows nothing.
#[derive(Debug, Encode, Decode)]
#[cbor(map)]
struct ReplyField {
    /// The stream's key.
    #[n(0)]
    stream: u64,
    /// The key of the version that began the stream.
    #[n(1)]
    began: Option<u64>,
    /// The key of the only version that can have begun it.
    #[n(2)]
    only: Option<u64>,
    /// Whether several versions can have begun it; false if missing.
    #[n(3)]
    has_several: Option<bool>,
}

/// Encodes a notice.
///
/// # Errors
///
/// If the sender has no IPv4 address, or a field can't be encoded.
pub fn write(notice: &Notice) -> eyre::Result<Vec<u8>> {
    let IpAddr::V4(ip) = notice.sender.ip() else { bail!("no IPv4 address: {}", notice.sender) };
    let field = NoticeField {
        ip: ip.to_bits(),
        port: notice.sender.port(),
        announcements: non_empty_list(
            notice.announcements.iter().map(AnnouncementField::of).collect(),
        ),
        asks: non_empty_list(notice.asks.iter().map(AskField::of).collect()),
        replies: non_empty_list(notice.replies.iter().map(ReplyField::of).collect()),
        records: non_empty_list(notice.records.iter().map(AnnouncementField::of).collect()),
    };
    let mut bytes = vec![EXTENDED_FORMAT_MARK, NOTICE_FORMAT];
    minicbor::encode(&field, &mut bytes).wrap_err("a field can't be written")?;
    Ok(bytes)
}

/// Decodes a notice; none if the bytes are another kind of datagram.
///
/// # Errors
///
/// If the content is malformed.
pub fn read(bytes: &[u8]) -> eyre::Result<Option<Notice>> {
    let Some(fields) = bytes.strip_prefix(&[EXTENDED_FORMAT_MARK, NOTICE_FORMAT]) else {
        return Ok(None);
    };
    let field: NoticeField = minicbor::decode(fields).wrap_err("a field can't be read")?;
    Ok(Some(Notice {
        sender: SocketAddr::from((Ipv4Addr::from_bits(field.ip), field.port)),
        announcements: field
            .announcements
            .iter()
            .flatten()
            .map(AnnouncementField::announcement)
            .collect(),
        asks: field.asks.iter().flatten().map(AskField::ask).collect(),
        replies: field.replies.iter().flatten().map(ReplyField::reply).collect(),
        records: field.records.iter().flatten().map(AnnouncementField::announcement).collect(),
    }))
}

impl AnnouncementField {
    /// Encodes an announcement.
    fn of(announcement: &Announcement) -> AnnouncementField {
        let &Announcement { stream, version, ttl_ms } = announcement;
        AnnouncementField { stream: stream.0, version: version.0, ttl_ms }
    }

    /// Decodes an announcement.
    fn announcement(&self) -> Announcement {
        let &AnnouncementField { stream, version, ttl_ms } = self;
        Announcement { stream: StreamKey(stream), version: VersionKey(version), ttl_ms }
    }
}

impl AskField {
    /// Encodes a question.
    fn of(ask: &Ask) -> AskField {
        let &Ask { stream, service, window_ms } = ask;
        AskField { stream: stream.0, service, window_ms }
    }

    /// Decodes a question.
    fn ask(&self) -> Ask {
        let &AskField { stream, service, window_ms } = self;
        Ask { stream: StreamKey(stream), service, window_ms }
    }
}

impl ReplyField {
    /// Encodes an answer.
    fn of(reply: &Reply) -> ReplyField {
        let none =
            ReplyField { stream: reply.stream.0, began: None, only: None, has_several: None };
        match reply.knowledge {
            Knowledge::Began(version) => ReplyField { began: Some(version.0), ..none },
            Knowledge::Only(version) => ReplyField { only: Some(version.0), ..none },
            Knowledge::Several => ReplyField { has_several: Some(true), ..none },
            Knowledge::Unaware => none,
        }
    }

    /// Decodes an answer.
    fn reply(&self) -> Reply {
        let knowledge = match *self {
            ReplyField { began: Some(version), .. } => Knowledge::Began(VersionKey(version)),
            ReplyField { only: Some(version), .. } => Knowledge::Only(VersionKey(version)),
            ReplyField { has_several: Some(true), .. } => Knowledge::Several,
            ReplyField { .. } => Knowledge::Unaware,
        };
        Reply { stream: StreamKey(self.stream), knowledge }
    }
}
