//! A small JSON reader for the bodies of the supervisor's calls.

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut reader = Reader { text, at: 0 };
        let value = reader.value()?;
        reader.blanks();
        (reader.at == text.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn num(&self) -> Option<f64> {
        if let Json::Num(number) = self {
            Some(*number)
        } else {
            None
        }
    }

    pub fn str(&self) -> Option<&str> {
        if let Json::Str(text) = self {
            Some(text)
        } else {
            None
        }
    }

    pub fn list(&self) -> Option<&[Json]> {
        if let Json::List(items) = self {
            Some(items)
        } else {
            None
        }
    }
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn blanks(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> Option<u8> {
        self.blanks();
        self.text.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.text[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.peek()? == b'}' {
                    self.at += 1;
                    return Some(Json::Object(fields));
                }
                loop {
                    self.peek()?;
                    let key = self.string()?;
                    self.take(b':')?;
                    fields.push((key, self.value()?));
                    if self.take(b',').is_none() {
                        break;
                    }
                }
                self.take(b'}')?;
                Some(Json::Object(fields))
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.peek()? == b']' {
                    self.at += 1;
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value()?);
                    if self.take(b',').is_none() {
                        break;
                    }
                }
                self.take(b']')?;
                Some(Json::List(items))
            }
            b'"' => Some(Json::Str(self.string()?)),
            b't' => self.word("true", Json::Bool),
            b'f' => self.word("false", Json::Bool),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.text.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.text[start..self.at]).ok()?.parse().ok().map(Json::Num)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    out.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'u' => return None,
                        other => other,
                    });
                }
                other => out.push(other),
            }
        }
    }
}
