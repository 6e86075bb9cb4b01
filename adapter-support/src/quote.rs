//! Quotes of received text in errors and log lines.

/// The length at which a quote is truncated. Peers may send far longer text.
const MAX_QUOTED_CHARS: usize = 120;

/// A copy of a text for an error or a log line, truncated to a bounded length.
///
/// ```
/// use otterwinch_adapter_support::quoted;
/// assert_eq!(quoted("hello"), "hello");
/// assert_eq!(quoted(&"x".repeat(70_000)).len(), 123);
/// ```
pub fn quoted(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}
