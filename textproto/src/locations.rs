//! Locates the fields in a text. A pass over the tokens compares field names with the schema and doesn't
//! interpret values. It finds all unknown fields, and records the lines that later errors about values refer
//! to.

use crate::tokens::{Token, Tokenizer};
use prost_reflect::{Kind, MessageDescriptor};
use std::collections::HashMap;
use std::ops::Range;

/// Nesting depth to which messages are scanned. Schemas are a few levels deep; deeper text is left to the
/// parser to reject.
const MAX_DEPTH: usize = 32;

/// Minimum similarity of a field name that is suggested in place of an unknown one; 1 means equal.
const MIN_SIMILARITY: f64 = 0.5;

/// The lines and byte ranges of the fields in a text, by paths such as `group[2].cores`.
#[derive(Clone, Debug, Default)]
pub struct FieldLocations {
    lines: HashMap<String, usize>,
    /// The fields that hold scalar values or lists.
    values: Vec<ValueLocation>,
    pub(crate) unknown_fields: Vec<UnknownField>,
}

/// A field that holds a scalar value or a list.
#[derive(Clone, Debug)]
pub(crate) struct ValueLocation {
    /// The path of the field.
    pub path: String,
    /// The byte range from the start of the name to the end of the value.
    pub span: Range<usize>,
}

/// A field that its message's schema doesn't define.
#[derive(Clone, Debug)]
pub(crate) struct UnknownField {
    /// The line number, from 1.
    pub line: usize,
    /// The path of the message that contains the field.
    pub parent: String,
    /// The name of the field.
    pub name: String,
    /// A similar field name in the schema, which may have been meant.
    pub suggestion: Option<String>,
    /// The byte range from the start of the name to the end of the value.
    pub span: Range<usize>,
}

impl FieldLocations {
    /// Scans a text that should contain one message of the given schema.
    pub fn scan(text: &str, schema: &MessageDescriptor) -> FieldLocations {
        let mut scanner = Scanner { tokenizer: Tokenizer::new(text), locations: FieldLocations::default() };
        scanner.scan_message(Some(schema), "", 0);
        scanner.locations
    }

    /// The line of a field. If the text doesn't contain it, the line of the innermost enclosing message that
    /// the text does contain, or 0 if there is none.
    pub fn line(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            if let Some(line) = self.lines.get(path) {
                return *line;
            }
            match path.rfind('.') {
                Some(dot) => path = &path[..dot],
                None => return 0,
            }
        }
    }

    /// The field with a scalar value or list whose byte range contains the offset.
    pub(crate) fn value_at(&self, offset: usize) -> Option<&ValueLocation> {
        self.values.iter().find(|value| value.span.contains(&offset))
    }

    /// Records the line of a field; the first occurrence counts if a path occurs more than once.
    fn record_line(&mut self, path: String, line: usize) {
        self.lines.entry(path).or_insert(line);
    }
}

/// A field whose name has been read and whose value comes next.
struct Field<'a> {
    name: Token<'a>,
    line: usize,
    is_list: bool,
    /// The schema of the value, if the value is a message.
    message_schema: Option<MessageDescriptor>,
}

/// Builds the paths of the fields of one message.
struct FieldPaths<'p> {
    parent: &'p str,
    /// How often each field name has occurred so far.
    occurrences: HashMap<String, usize>,
}

impl FieldPaths<'_> {
    /// The path of a direct child of the message.
    fn join(&self, segment: &str) -> String {
        if self.parent.is_empty() {
            segment.to_owned()
        } else {
            format!("{}.{segment}", self.parent)
        }
    }

    /// The path of the next value of a field; repeated fields are numbered from 0.
    fn next_value_path(&mut self, field: &Field) -> String {
        let name = field.name.text;
        let count = self.occurrences.entry(name.to_owned()).or_default();
        let position = *count;
        *count += 1;
        if field.is_list {
            self.join(&format!("{name}[{position}]"))
        } else {
            self.join(name)
        }
    }
}

struct Scanner<'a> {
    tokenizer: Tokenizer<'a>,
    locations: FieldLocations,
}

impl<'a> Scanner<'a> {
    /// Scans fields up to the end of the message. `schema` is `None` within an unknown field.
    fn scan_message(&mut self, schema: Option<&MessageDescriptor>, path: &str, depth: usize) {
        let mut paths = FieldPaths { parent: path, occurrences: HashMap::new() };
        while let Some(token) = self.tokenizer.next() {
            if matches!(token.text, "}" | ">") {
                return;
            }
            // Skips separators, and malformed text, which the parser reports.
            if !is_name(token.text) {
                continue;
            }
            let unknown = self.record_if_unknown(token, schema, path);
            let field = self.resolve_field(token, schema);
            if self.tokenizer.peek() == Some(":") {
                self.tokenizer.next();
            }
            if self.tokenizer.peek().is_none() {
                return;
            }
            self.scan_value(&field, &mut paths, depth);
            if let Some(unknown) = unknown {
                self.locations.unknown_fields[unknown].span.end = self.tokenizer.position();
            }
        }
    }

    fn resolve_field(&self, name: Token<'a>, schema: Option<&MessageDescriptor>) -> Field<'a> {
        let descriptor = schema.and_then(|schema| schema.get_field_by_name(name.text));
        let kind = descriptor.as_ref().map(|descriptor| descriptor.kind());
        Field {
            name,
            line: self.tokenizer.line_at(name.start),
            is_list: descriptor.is_some_and(|descriptor| descriptor.is_list()),
            message_schema: match kind {
                Some(Kind::Message(message)) => Some(message),
                _ => None,
            },
        }
    }

    /// Records a field that the schema doesn't define, and returns its index in `unknown_fields`.
    fn record_if_unknown(
        &mut self,
        name: Token,
        schema: Option<&MessageDescriptor>,
        parent: &str,
    ) -> Option<usize> {
        let schema = schema?;
        if schema.get_field_by_name(name.text).is_some() {
            return None;
        }
        self.locations.unknown_fields.push(UnknownField {
            line: self.tokenizer.line_at(name.start),
            parent: parent.to_owned(),
            name: name.text.to_owned(),
            suggestion: most_similar_field(name.text, schema),
            span: name.start..name.start,
        });
        Some(self.locations.unknown_fields.len() - 1)
    }

    fn scan_value(&mut self, field: &Field, paths: &mut FieldPaths, depth: usize) {
        match self.tokenizer.peek() {
            Some("{" | "<") => {
                self.tokenizer.next();
                let path = paths.next_value_path(field);
                self.locations.record_line(path.clone(), field.line);
                if depth < MAX_DEPTH {
                    self.scan_message(field.message_schema.as_ref(), &path, depth + 1);
                }
            }
            Some("[") => self.scan_list(field, paths, depth),
            _ => self.scan_scalar(field, paths),
        }
    }

    fn scan_list(&mut self, field: &Field, paths: &mut FieldPaths, depth: usize) {
        self.tokenizer.next();
        while let Some(token) = self.tokenizer.next() {
            match token.text {
                "]" => break,
                "," => {}
                text => {
                    let path = paths.next_value_path(field);
                    self.locations.record_line(path.clone(), self.tokenizer.line_at(token.start));
                    if matches!(text, "{" | "<") && depth < MAX_DEPTH {
                        self.scan_message(field.message_schema.as_ref(), &path, depth + 1);
                    }
                }
            }
        }
        let span = field.name.start..self.tokenizer.position();
        self.locations.values.push(ValueLocation { path: paths.join(field.name.text), span });
    }

    fn scan_scalar(&mut self, field: &Field, paths: &mut FieldPaths) {
        let path = paths.next_value_path(field);
        self.locations.record_line(path.clone(), field.line);
        while let Some(token) = self.tokenizer.next() {
            if !self.continues_after(token) {
                break;
            }
        }
        let span = field.name.start..self.tokenizer.position();
        self.locations.values.push(ValueLocation { path, span });
    }

    /// Whether a scalar value continues after this token: a minus sign is followed by its number, and
    /// adjacent string literals are concatenated.
    fn continues_after(&mut self, token: Token) -> bool {
        if token.text == "-" {
            return true;
        }
        is_string(token.text) && self.tokenizer.peek().is_some_and(is_string)
    }
}

fn is_name(token: &str) -> bool {
    token.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_')
}

fn is_string(token: &str) -> bool {
    token.starts_with(['"', '\''])
}

/// The field name of a schema that is most similar to an unknown name; `None` if none is similar enough.
fn most_similar_field(name: &str, schema: &MessageDescriptor) -> Option<String> {
    let similarity = |field: &str| strsim::normalized_damerau_levenshtein(name, field);
    let names = schema.fields().map(|field| field.name().to_owned());
    let best = names.max_by(|a, b| similarity(a).total_cmp(&similarity(b)))?;
    (similarity(&best) > MIN_SIMILARITY).then_some(best)
}
