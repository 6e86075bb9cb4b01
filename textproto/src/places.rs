//! Where each field of a text stands: a pass over its tokens that knows the schema's names and no values. It finds
//! every unknown field at once, and lets a fault of a value, found later, be told with its line.

use prost_reflect::{Kind, MessageDescriptor};
use std::collections::HashMap;
use std::ops::Range;

/// Lines by path, as `group[2].cores`.
#[derive(Clone, Debug, Default)]
pub struct Places {
    lines: HashMap<String, usize>,
    /// The bytes of each field that holds a plain value, name and all.
    pub(crate) leaves: Vec<(String, Range<usize>)>,
    pub(crate) unknown: Vec<Unknown>,
}

/// A field that the schema does not have.
#[derive(Clone, Debug)]
pub(crate) struct Unknown {
    pub line: usize,
    /// The path of the message that it stands in.
    pub within: String,
    pub name: String,
    /// What it may have been meant for.
    pub meant: Option<String>,
    /// Its bytes, name and value.
    pub bytes: Range<usize>,
}

impl Places {
    pub fn find(text: &str, kind: &MessageDescriptor) -> Places {
        let mut places = Places::default();
        let mut tokens = Tokens { text, at: 0, peeked: None };
        places.message(&mut tokens, Some(kind), "", 0);
        places
    }

    /// The line of a field, or of the closest message around it that the text has.
    pub fn line(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            if let Some(line) = self.lines.get(path) {
                return *line;
            }
            match path.rfind('.') {
                Some(dot) => path = &path[..dot],
                // A field that is missing from the whole file stands nowhere.
                None => return 0,
            }
        }
    }

    /// Reads fields up to the end of the message; what can't be followed is left to the parser to name.
    fn message(&mut self, tokens: &mut Tokens, kind: Option<&MessageDescriptor>, path: &str, depth: usize) {
        let mut counts: HashMap<String, usize> = HashMap::new();
        while let Some((token, from, _)) = tokens.next() {
            let name = match token {
                "}" | ">" => return,
                "," | ";" => continue,
                name if is_name(name) => name,
                // Not a field: the parser says what it is.
                _ => continue,
            };
            let field = kind.and_then(|kind| kind.get_field_by_name(name));
            let line = tokens.line(from);
            let unknown = kind.filter(|_| field.is_none()).map(|kind| {
                let (within, name, meant) = (path.to_owned(), name.to_owned(), closest(name, kind));
                self.unknown.push(Unknown { line, within, name, meant, bytes: from..from });
                self.unknown.len() - 1
            });
            let listed = field.as_ref().is_some_and(|field| field.is_list());
            let inner = field.as_ref().and_then(|field| match field.kind() {
                Kind::Message(kind) => Some(kind),
                _ => None,
            });
            let of = |count: &mut usize| {
                let k = std::mem::replace(count, *count + 1);
                let step = if listed { format!("{name}[{k}]") } else { name.to_owned() };
                if path.is_empty() {
                    step
                } else {
                    format!("{path}.{step}")
                }
            };
            let count = counts.entry(name.to_owned()).or_default();
            if tokens.peek() == Some(":") {
                tokens.next();
            }
            match tokens.peek() {
                Some("{" | "<") => {
                    tokens.next();
                    let path = of(count);
                    self.lines.entry(path.clone()).or_insert(line);
                    // Our schemas are a few levels deep; a text that goes on is the parser's to refuse.
                    if depth < 32 {
                        self.message(tokens, inner.as_ref(), &path, depth + 1);
                    }
                }
                Some("[") => {
                    tokens.next();
                    while let Some((token, at, _)) = tokens.next() {
                        match token {
                            "]" => break,
                            "," => {}
                            "{" | "<" if depth < 32 => {
                                let path = of(count);
                                let line = tokens.line(at);
                                self.lines.entry(path.clone()).or_insert(line);
                                self.message(tokens, inner.as_ref(), &path, depth + 1);
                            }
                            _ => {
                                let (path, line) = (of(count), tokens.line(at));
                                self.lines.entry(path).or_insert(line);
                            }
                        }
                    }
                    let whole = if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
                    self.leaves.push((whole, from..tokens.at));
                }
                Some(_) => {
                    let path = of(count);
                    self.lines.entry(path.clone()).or_insert(line);
                    let mut end = tokens.at;
                    // A minus and its number; strings that stand beside each other are one.
                    while let Some((token, _, to)) = tokens.next() {
                        end = to;
                        let more = token == "-"
                            || token.starts_with(['"', '\''])
                                && tokens.peek().is_some_and(|t| t.starts_with(['"', '\'']));
                        if !more {
                            break;
                        }
                    }
                    self.leaves.push((path, from..end));
                }
                None => return,
            }
            if let Some(unknown) = unknown {
                self.unknown[unknown].bytes.end = tokens.at;
            }
        }
    }
}

fn is_name(token: &str) -> bool {
    token.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_')
}

/// The field of a message whose name is most like one that it does not have.
fn closest(name: &str, kind: &MessageDescriptor) -> Option<String> {
    let like = |field: &str| strsim::normalized_damerau_levenshtein(name, field);
    let fields = kind.fields().map(|field| field.name().to_owned());
    let best = fields.max_by(|a, b| like(a).total_cmp(&like(b)))?;
    (like(&best) > 0.5).then_some(best)
}

/// The text cut into names, numbers, strings and signs, comments and blanks left out.
struct Tokens<'a> {
    text: &'a str,
    at: usize,
    peeked: Option<(&'a str, usize, usize)>,
}

impl<'a> Tokens<'a> {
    fn peek(&mut self) -> Option<&'a str> {
        if self.peeked.is_none() {
            self.peeked = self.scan();
        }
        self.peeked.map(|token| token.0)
    }

    /// The next token, and the bytes that it stands at.
    fn next(&mut self) -> Option<(&'a str, usize, usize)> {
        let token = self.peeked.take().or_else(|| self.scan())?;
        self.at = token.2;
        Some(token)
    }

    fn scan(&self) -> Option<(&'a str, usize, usize)> {
        let bytes = self.text.as_bytes();
        let mut at = self.at;
        loop {
            match bytes.get(at)? {
                b'#' => at += bytes[at..].iter().take_while(|b| **b != b'\n').count(),
                b if b.is_ascii_whitespace() => at += 1,
                _ => break,
            }
        }
        let word = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'.');
        let to = match bytes[at] {
            quote @ (b'"' | b'\'') => {
                let mut to = at + 1;
                // A string ends with its line, closed or not.
                while let Some(b) = bytes.get(to).filter(|b| **b != b'\n') {
                    to += if *b == b'\\' { 2 } else { 1 };
                    if *b == quote {
                        break;
                    }
                }
                to.min(bytes.len())
            }
            b if word(&b) => {
                let mut to = at + 1;
                while bytes.get(to).is_some_and(word) || exponent(bytes, at, to) {
                    to += 1;
                }
                to
            }
            _ => at + self.text[at..].chars().next().map_or(1, char::len_utf8),
        };
        let to = (to..=self.text.len()).find(|to| self.text.is_char_boundary(*to))?;
        Some((&self.text[at..to], at, to))
    }

    /// Lines count from 1.
    fn line(&self, at: usize) -> usize {
        line_of(self.text, at)
    }
}

/// The sign in 1e-6.
fn exponent(bytes: &[u8], from: usize, at: usize) -> bool {
    bytes[from].is_ascii_digit()
        && matches!(bytes.get(at), Some(b'+' | b'-'))
        && matches!(bytes[at - 1], b'e' | b'E')
}

/// The line, from 1, on which a byte stands.
pub(crate) fn line_of(text: &str, at: usize) -> usize {
    1 + text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count()
}
