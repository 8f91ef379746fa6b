//! An error in a site file, with its position and a hint.

use std::ops::Range;

use annotate_snippets::{AnnotationKind, Group, Level, Renderer, Snippet};
use serde::{Deserialize, Serialize};

/// An error in a site file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The position, in bytes from the start of the file.
    pub span: Range<usize>,
    /// The error message.
    pub message: String,
    /// A suggested correction, if there is one.
    pub hint: Option<String>,
}

impl Finding {
    /// Creates a finding without a hint.
    pub fn new(span: Range<usize>, message: impl Into<String>) -> Finding {
        Finding { span, message: message.into(), hint: None }
    }

    /// Adds a hint.
    pub fn with_hint(mut self, hint: impl Into<String>) -> Finding {
        self.hint = Some(hint.into());
        self
    }

    /// Returns the line and column of the finding in a text, both from one. Columns count
    /// characters.
    pub fn line_and_column(&self, text: &str) -> (usize, usize) {
        let before = text.get(..self.span.start).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let last = before.rsplit('\n').next().unwrap_or("");
        (line, last.chars().count() + 1)
    }

    /// Renders the finding with the lines of the file that it refers to.
    pub fn render(&self, path: &str, text: &str) -> String {
        let end = self.span.end.min(text.len());
        let span = self.span.start.min(end)..end;
        let snippet = Snippet::source(text)
            .path(path)
            .annotation(AnnotationKind::Primary.span(span).label(self.hint.clone()));
        let group: Group<'_> = Level::ERROR.primary_title(self.message.clone()).element(snippet);
        Renderer::plain().render(&[group]).to_string()
    }
}

/// Returns the known name closest to an unknown one, if it is similar enough to be a likely typo.
pub fn nearest<'a>(unknown: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let max_distance = (unknown.chars().count() / 3).max(1);
    known
        .into_iter()
        .map(|it| (edit_distance(unknown, it), it))
        .filter(|(distance, _)| *distance <= max_distance)
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, it)| it)
}

/// Returns the number of single-character edits between two words.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
