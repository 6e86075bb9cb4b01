//! Splits text into tokens, skipping comments and whitespace. It accepts any text; the parser reports
//! malformed input.

/// A name, a number, a string literal or a punctuation character.
#[derive(Clone, Copy, Debug)]
pub struct Token<'a> {
    /// The text of the token, including the quotes of a string literal.
    pub text: &'a str,
    /// The offset of the first byte.
    pub start: usize,
    /// The offset after the last byte.
    pub end: usize,
}

/// Iterates over the tokens of a text, with one token of lookahead.
pub struct Tokenizer<'a> {
    text: &'a str,
    /// The end of the last consumed token.
    position: usize,
    peeked: Option<Token<'a>>,
}

impl<'a> Tokenizer<'a> {
    /// A tokenizer at the beginning of a text.
    pub fn new(text: &'a str) -> Self {
        Tokenizer { text, position: 0, peeked: None }
    }

    /// The end offset of the last consumed token.
    pub fn position(&self) -> usize {
        self.position
    }

    /// The text of the next token, without consuming it.
    pub fn peek(&mut self) -> Option<&'a str> {
        if self.peeked.is_none() {
            self.peeked = self.scan_token();
        }
        self.peeked.map(|token| token.text)
    }

    /// Consumes the next token.
    pub fn next(&mut self) -> Option<Token<'a>> {
        let token = self.peeked.take().or_else(|| self.scan_token())?;
        self.position = token.end;
        Some(token)
    }

    fn scan_token(&self) -> Option<Token<'a>> {
        let bytes = self.text.as_bytes();
        let start = skip_whitespace_and_comments(bytes, self.position)?;
        let end = match bytes[start] {
            b'"' | b'\'' => string_end(bytes, start),
            byte if is_word_byte(byte) => word_end(bytes, start),
            _ => start + 1,
        };
        let end = (end..=self.text.len()).find(|end| self.text.is_char_boundary(*end))?;
        Some(Token { text: &self.text[start..end], start, end })
    }

    /// The line number of a byte offset, from 1.
    pub fn line_at(&self, offset: usize) -> usize {
        line_at(self.text, offset)
    }
}

/// The offset at which the next token starts; `None` if there is none.
fn skip_whitespace_and_comments(bytes: &[u8], start: usize) -> Option<usize> {
    let mut offset = start;
    loop {
        match bytes.get(offset)? {
            b'#' => offset += bytes[offset..].iter().take_while(|byte| **byte != b'\n').count(),
            byte if byte.is_ascii_whitespace() => offset += 1,
            _ => return Some(offset),
        }
    }
}

/// The end offset of a string literal. An unterminated one ends at the end of its line.
fn string_end(bytes: &[u8], start: usize) -> usize {
    let quote = bytes[start];
    let mut end = start + 1;
    while let Some(byte) = bytes.get(end).filter(|byte| **byte != b'\n') {
        end += if *byte == b'\\' { 2 } else { 1 };
        if *byte == quote {
            break;
        }
    }
    end.min(bytes.len())
}

/// The end offset of a name or number.
fn word_end(bytes: &[u8], start: usize) -> usize {
    let mut end = start + 1;
    while bytes.get(end).is_some_and(|byte| is_word_byte(*byte)) || is_exponent_sign(bytes, start, end) {
        end += 1;
    }
    end
}

fn is_word_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'.')
}

/// Whether the byte is the sign of an exponent, as in 1e-6.
fn is_exponent_sign(bytes: &[u8], number_start: usize, offset: usize) -> bool {
    bytes[number_start].is_ascii_digit()
        && matches!(bytes.get(offset), Some(b'+' | b'-'))
        && matches!(bytes[offset - 1], b'e' | b'E')
}

/// The line number of a byte offset in a text, from 1.
pub fn line_at(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.len())];
    1 + before.iter().filter(|byte| **byte == b'\n').count()
}
