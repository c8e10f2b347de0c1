//! Fields of the lines of a text protocol, checked so that none can end its line or begin another
//! field.
//!
//! A line ends with CR LF, and blanks separate its fields. The last field extends to the end of the
//! line, so that it may hold blanks.

use std::ops::Deref;

/// `FieldError` is the reason why a text cannot be a field of a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
pub enum FieldError {
    /// It is empty, so that the next field would take its place.
    #[strum(serialize = "is empty")]
    Empty,
    /// It contains a blank, behind which the next field would begin.
    #[strum(serialize = "contains a blank")]
    Blank,
    /// It contains a line end, behind which the next line would begin.
    #[strum(serialize = "contains a line end")]
    LineEnd,
}

/// `Word` is a field that others may follow. It is not empty and contains no blank, CR or LF.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Word<'a>(&'a str);

impl<'a> Word<'a> {
    /// Checks a text.
    ///
    /// # Errors
    /// Returns the reason if it cannot be a field that others follow.
    pub const fn new(text: &'a str) -> Result<Self, FieldError> {
        let bytes = text.as_bytes();
        if bytes.is_empty() {
            return Err(FieldError::Empty);
        }
        let mut index = 0;
        while index < bytes.len() {
            match bytes[index] {
                b' ' => return Err(FieldError::Blank),
                b'\r' | b'\n' => return Err(FieldError::LineEnd),
                _ => index += 1,
            }
        }
        Ok(Self(text))
    }

    /// Returns the text.
    pub fn as_str(self) -> &'a str {
        self.0
    }
}

/// `Tail` is the last field of a line. It may be empty and may contain blanks, and CR or LF alone,
/// but no CR LF.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Tail<'a>(&'a str);

impl<'a> Tail<'a> {
    /// Checks a text.
    ///
    /// # Errors
    /// Returns `LineEnd` if it contains a line end.
    pub fn new(text: &'a str) -> Result<Self, FieldError> {
        // Most texts have no CR, which is found faster than the pair.
        if text.contains('\r') && text.contains("\r\n") {
            return Err(FieldError::LineEnd);
        }
        Ok(Self(text))
    }

    /// Returns the text.
    pub fn as_str(self) -> &'a str {
        self.0
    }
}

/// `Name` is an owned `Word`, such as the name of a database.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Name(String);

impl Name {
    /// Checks a text.
    ///
    /// # Errors
    /// Returns the reason if it cannot be a `Word`.
    pub fn new(text: impl Into<String>) -> Result<Self, FieldError> {
        let text = text.into();
        Word::new(&text)?;
        Ok(Self(text))
    }

    /// Returns the name as a field.
    pub fn as_word(&self) -> Word<'_> {
        Word(&self.0)
    }

    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for Name {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
