//! Errors of INI texts.

use snafu::Snafu;
use std::fmt::{self, Display, Formatter};

/// Bytes of a value that an error message repeats; the rest is cut off.
const QUOTED_BYTES: usize = 80;

/// Errors that are kept for one text, so that a wrong file cannot exhaust the memory.
const KEPT_ERRORS: usize = 1000;

/// Result of reading an INI text.
pub type Result<T, E = Invalid> = std::result::Result<T, E>;

/// All errors of one INI text, ordered by line.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", Lines(errors)))]
pub struct Invalid {
    /// The errors; never empty.
    pub errors: Vec<Error>,
}

/// One error of an INI text.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("line {line}: {kind}"))]
pub struct Error {
    /// Line number, counted from 1.
    pub line: u32,
    /// What is wrong.
    pub kind: Kind,
}

/// Types of errors in an INI text.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[expect(missing_docs, reason = "the fields are named in each message")]
pub enum Kind {
    /// The line is neither a section, a field, a comment nor blank.
    #[snafu(display("syntax error in {text:?}"))]
    Syntax { text: String },
    /// The text is larger than its limit.
    #[snafu(display("the text has {bytes} bytes, more than the limit of {limit}"))]
    TooLarge { bytes: usize, limit: usize },
    /// There are more sections of one kind than the limit.
    #[snafu(display("more than {limit} sections [{section}]"))]
    TooMany { section: String, limit: usize },
    /// The section has more fields than the limit.
    #[snafu(display("more than {limit} fields in [{section}]"))]
    TooManyFields { section: String, limit: usize },
    /// The errors after this line are not listed.
    #[snafu(display("too many errors, the remaining ones are not listed"))]
    MoreErrors,
    /// No section of this name is known.
    #[snafu(display("unknown section [{section}]"))]
    UnknownSection { section: String },
    /// The section occurs twice.
    #[snafu(display("duplicate section [{section}], first on line {first}"))]
    DuplicateSection { section: String, first: u32 },
    /// A section that has to exist is absent.
    #[snafu(display("missing section [{section}]"))]
    MissingSection { section: String },
    /// The section has no field of this name.
    #[snafu(display("unknown field {field:?} in [{section}]"))]
    UnknownField { section: String, field: String },
    /// The field occurs twice in its section.
    #[snafu(display("duplicate field {field:?} in [{section}], first on line {first}"))]
    DuplicateField {
        section: String,
        field: String,
        first: u32,
    },
    /// A field that has to exist is absent.
    #[snafu(display("missing field {field:?} in [{section}]"))]
    MissingField { section: String, field: String },
    /// The value does not have the type of its field.
    #[snafu(display("field {field:?} in [{section}]: {value:?} is not {expected}"))]
    BadValue {
        section: String,
        field: String,
        value: String,
        expected: &'static str,
    },
    /// The value is outside the range of its field.
    #[snafu(display("field {field:?} in [{section}]: {value:?} is not in {range}"))]
    OutOfRange {
        section: String,
        field: String,
        value: String,
        range: String,
    },
    /// The name in a section header is malformed.
    #[snafu(display("section [{section}]: {name:?} is not {expected}"))]
    BadName {
        section: String,
        name: String,
        expected: &'static str,
    },
    /// A value refers to a section that does not exist.
    #[snafu(display("field {field:?} in [{section}]: there is no section [{target}]"))]
    UnknownName {
        section: String,
        field: String,
        target: String,
    },
    /// A region that no data centre belongs to cannot take any traffic.
    #[snafu(display("region {region:?} has no data centre"))]
    EmptyRegion { region: String },
    /// The version of a service has no backend server.
    #[snafu(display("service {service:?} has no backend server of version {version:?}"))]
    NoServer { service: String, version: String },
    /// Two backend servers have the same address.
    #[snafu(display("address {address} is also that of backend server {other:?}"))]
    DuplicateAddress { address: String, other: String },
    /// Two routes take the same requests.
    #[snafu(display("{method} {prefix} is also taken by route {other:?}"))]
    DuplicateRoute {
        method: String,
        prefix: String,
        other: String,
    },
    /// A list names the same entry twice.
    #[snafu(display("field {field:?} in [{section}] names {value:?} twice"))]
    Repeated {
        section: String,
        field: String,
        value: String,
    },
    /// Two listeners have the same address.
    #[snafu(display("fields {first:?} and {second:?} in [host] have the same address"))]
    SameListener {
        first: &'static str,
        second: &'static str,
    },
}

/// Shows errors one per line.
struct Lines<'a>(&'a [Error]);

impl Display for Lines<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

/// Errors collected while a text is read.
#[derive(Debug, Default)]
pub struct Errors {
    errors: Vec<Error>,
    full: bool,
}

impl Errors {
    /// Records an error.
    pub fn push(&mut self, line: u32, kind: Kind) {
        if self.errors.len() < KEPT_ERRORS {
            self.errors.push(Error { line, kind });
        } else {
            self.full = true;
        }
    }

    /// Returns `value` if no error was recorded.
    ///
    /// # Errors
    ///
    /// Returns all recorded errors, ordered by line.
    pub fn check<T>(self, value: T) -> Result<T> {
        if self.errors.is_empty() {
            Ok(value)
        } else {
            Err(self.into_invalid())
        }
    }

    /// Returns all recorded errors, ordered by line.
    pub fn into_invalid(mut self) -> Invalid {
        self.errors.sort_by_key(|error| error.line);
        if self.full {
            let line = self.errors.last().map_or(0, |error| error.line);
            let kind = Kind::MoreErrors;
            self.errors.push(Error { line, kind });
        }
        Invalid {
            errors: self.errors,
        }
    }
}

/// Returns a text that is short enough for an error message.
pub fn quote(text: &str) -> String {
    text[..text.floor_char_boundary(QUOTED_BYTES)].to_owned()
}
