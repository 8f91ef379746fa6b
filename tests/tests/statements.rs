//! What the adapter reads about engines from the heads of their answers and from their reports.

use std::time::Duration;

use hollyspoke_gateway::back_off::Reported;
use hollyspoke_gateway::rate_limit;
use hollyspoke_gateway::statement::{ReportedLoad, Statement};
use hollyspoke_platform::DIALECT;
use http::{Response, StatusCode, response};

/// Returns the head of an answer.
fn head(status: u16, headers: &[(&str, &str)]) -> response::Parts {
    let answer = Response::builder().status(StatusCode::from_u16(status).expect("a status"));
    let answer = headers.iter().fold(answer, |it, &(name, value)| it.header(name, value));
    answer.body(()).expect("an answer").into_parts().0
}

/// Reads the back-off from the head of an answer.
fn read_back_off(status: u16, headers: &[(&str, &str)]) -> Reported {
    (DIALECT.read_statement)(&head(status, headers)).back_off
}

#[test]
fn statement_misread() {
    let statement = (DIALECT.read_statement)(&head(
        503,
        &[
            ("Server-Leaving", "1"),
            ("Retry-After", "3"),
            ("Server-Limit", "2.5"),
            ("X-Server-Load", "1,2,6"),
        ],
    ));
    let load = Some(ReportedLoad { running: 1, waiting: 2, slots: 6, pace: 100 });
    let back_off = Reported::Duration(Duration::from_secs(3));
    let limit = rate_limit::Reported::Rate(2.5);
    assert_eq!(statement, Statement { load, limit, is_leaving: true, back_off, born: None });
}

#[test]
fn false_statement() {
    for status in [200, 421, 500, 503] {
        let statement = (DIALECT.read_statement)(&head(status, &[("Connection", "close")]));
        assert_eq!(statement, Statement::default());
    }
    let not_leaving = (DIALECT.read_statement)(&head(200, &[("Server-Leaving", "0")]));
    assert!(!not_leaving.is_leaving);
}

/// Only an answer that rejects a request can ask for a back-off.
#[test]
fn back_off_by_wrong_status() {
    let after = [("Retry-After", "1.5")];
    for status in [429, 503] {
        assert_eq!(read_back_off(status, &after), Reported::Duration(Duration::from_millis(1500)));
    }
    for status in [200, 202, 301, 404, 413, 421, 500, 502] {
        assert_eq!(read_back_off(status, &after), Reported::Nothing, "{status}");
    }
}

#[test]
fn back_off_misread() {
    let durations = [("0", 0.0), ("0.25", 0.25), (" 2 ", 2.0), ("1e2", 100.0), ("-0", 0.0)];
    for (value, seconds) in durations {
        let duration = Duration::from_secs_f64(seconds);
        assert_eq!(
            read_back_off(503, &[("Retry-After", value)]),
            Reported::Duration(duration),
            "{value:?}"
        );
    }
    for value in ["1e300", "inf"] {
        assert_eq!(
            read_back_off(503, &[("Retry-After", value)]),
            Reported::Duration(Duration::MAX),
            "{value:?}"
        );
    }
    for value in ["", "-1", "NaN", "soon", "3 s", "Thu, 99 Dec 2026 10:00:00 GMT"] {
        assert_eq!(
            read_back_off(503, &[("Retry-After", value)]),
            Reported::Unreadable,
            "{value:?}"
        );
    }
}

/// A date counts relative to the `Date` of the answer: the clocks of engine and box may differ.
#[test]
fn back_off_date_misread() {
    let date = ("Date", "Thu, 03 Dec 2026 10:00:00 GMT");
    let until = |it| read_back_off(503, &[date, ("Retry-After", it)]);
    let duration = Duration::from_secs(90);
    assert_eq!(until("Thu, 03 Dec 2026 10:01:30 GMT"), Reported::Duration(duration));
    assert_eq!(until("Thu, 03 Dec 2026 09:59:00 GMT"), Reported::Duration(Duration::ZERO));
    let by_clock = read_back_off(503, &[("Retry-After", "Fri, 01 Jan 2100 00:00:00 GMT")]);
    assert!(
        matches!(by_clock, Reported::Duration(duration) if duration > Duration::from_secs(1 << 30))
    );
}

#[test]
fn shutdown_report_misread() {
    let report = |state: &str| {
        let body = format!(r#"{{"callSeq":2,"born":17,"state":"{state}","leaves_ms":900}}"#);
        (DIALECT.read_report)(body.as_bytes()).expect("a report")
    };
    assert!(!report("ready").is_leaving);
    assert!(report("draining").is_leaving);
    assert_eq!(report("draining").born, Some(17));
    let older = (DIALECT.read_report)(br#"{"callSeq":2}"#).expect("a report of an older engine");
    assert!(!older.is_leaving);
}
