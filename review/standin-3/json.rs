//! A small JSON reader for the bodies of calls.

/// `Json` is a decoded value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Returns a field of a table; `Null` if it is absent.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => fields
                .iter()
                .find(|(known, _)| known == name)
                .map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    /// Returns the entries of a list; none for any other value.
    pub fn list(&self) -> &[Json] {
        if let Json::List(entries) = self { entries } else { &[] }
    }

    /// Returns the text of a string; empty for any other value.
    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    /// Returns a whole number; 0 for any other value.
    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }
}

/// Decodes a value; `Null` if the text is malformed.
pub fn parse(text: &str) -> Json {
    let mut at = 0;
    value(text.as_bytes(), &mut at).unwrap_or(Json::Null)
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            let mut fields = Vec::new();
            *at += 1;
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let name = string(bytes, at)?;
                        skip(bytes, at);
                        *at += 1;
                        fields.push((name, value(bytes, at)?));
                    }
                }
            }
            *at += 1;
            Some(Json::Table(fields))
        }
        b'[' => {
            let mut entries = Vec::new();
            *at += 1;
            loop {
                skip(bytes, at);
                match bytes.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => entries.push(value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Json::List(entries))
        }
        b'"' => Some(Json::Text(string(bytes, at)?)),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]} \r\n".contains(byte)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
            Some(match word {
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                "null" => Json::Null,
                number => Json::Number(number.parse().ok()?),
            })
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    let mut out = Vec::new();
    *at += 1;
    loop {
        match bytes.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                match bytes.get(*at)? {
                    b'n' => out.push(b'\n'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let sign = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                        out.extend(sign.to_string().bytes());
                        *at += 4;
                    }
                    other => out.push(*other),
                }
            }
            byte => out.push(*byte),
        }
        *at += 1;
    }
    *at += 1;
    String::from_utf8(out).ok()
}
