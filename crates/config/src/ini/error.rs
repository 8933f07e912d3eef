//! Errors of INI texts.

use snafu::Snafu;
use std::fmt::{self, Display, Formatter};

/// Maximum length of a quoted text in an error message; longer texts are truncated.
const MAX_EXCERPT_BYTES: usize = 80;

/// Maximum number of errors recorded for one text; bounds the memory for a malformed file.
const MAX_ERRORS: usize = 1000;

/// Result of parsing an INI text.
pub type Result<T, E = Invalid> = std::result::Result<T, E>;

/// Errors of an INI text, ordered by line.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", Lines(errors)))]
pub struct Invalid {
    /// Errors; never empty.
    pub errors: Vec<Error>,
}

/// Error at one line of an INI text.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("line {line}: {kind}"))]
pub struct Error {
    /// Line number, counted from 1.
    pub line: u32,
    /// Type of the error.
    pub kind: Kind,
}

/// Type of an error in an INI text.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[expect(missing_docs, reason = "the fields are named in each message")]
pub enum Kind {
    /// The line is not a section header, a field, a comment or blank.
    #[snafu(display(
        "syntax error in {text:?}, expected a section header, a field of a section or a comment"
    ))]
    Syntax { text: String },
    /// The text exceeds its maximum size.
    #[snafu(display("the text has {bytes} bytes, the limit is {limit} bytes"))]
    TooLarge { bytes: usize, limit: usize },
    /// The text has too many sections of one kind.
    #[snafu(display("more than {limit} sections of kind [{section}]"))]
    TooManySections { section: String, limit: usize },
    /// The section has too many fields.
    #[snafu(display("more than {limit} fields in [{section}]"))]
    TooManyFields { section: String, limit: usize },
    /// The text has more errors than are recorded.
    #[snafu(display("too many errors, the remaining ones are not listed"))]
    TooManyErrors,
    /// The kind or name of the section is unknown.
    #[snafu(display("unknown section [{section}]"))]
    UnknownSection { section: String },
    /// The section occurs twice.
    #[snafu(display("duplicate section [{section}], first on line {first}"))]
    DuplicateSection { section: String, first: u32 },
    /// A required section is absent.
    #[snafu(display("missing section [{section}]"))]
    MissingSection { section: String },
    /// The field is unknown in this section.
    #[snafu(display("unknown field {field:?} in [{section}]"))]
    UnknownField { section: String, field: String },
    /// The field occurs twice in the section.
    #[snafu(display("duplicate field {field:?} in [{section}], first on line {first}"))]
    DuplicateField {
        section: String,
        field: String,
        first: u32,
    },
    /// A required field is absent.
    #[snafu(display("missing field {field:?} in [{section}]"))]
    MissingField { section: String, field: String },
    /// The value cannot be parsed as the type of the field.
    #[snafu(display("field {field:?} in [{section}]: {value:?} is not {expected}"))]
    BadValue {
        section: String,
        field: String,
        value: String,
        expected: &'static str,
    },
    /// The value is outside the range of the field.
    #[snafu(display("field {field:?} in [{section}]: {value:?} is not in the range {range}"))]
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
    /// The value refers to a section that does not exist.
    #[snafu(display("field {field:?} in [{section}]: there is no section [{target}]"))]
    UnknownName {
        section: String,
        field: String,
        target: String,
    },
    /// No data centre belongs to the region, so it cannot receive traffic.
    #[snafu(display("region {region:?} has no data centre"))]
    EmptyRegion { region: String },
    /// No backend server runs the version of the service.
    #[snafu(display("service {service:?} has no backend server of version {version:?}"))]
    NoServer { service: String, version: String },
    /// Two backend servers have the same address.
    #[snafu(display("address {address} is already used by backend server {other:?}"))]
    DuplicateAddress { address: String, other: String },
    /// Two routes have the same method and path prefix.
    #[snafu(display("{method} {prefix} is already handled by route {other:?}"))]
    DuplicateRoute {
        method: String,
        prefix: String,
        other: String,
    },
    /// A list contains the same entry twice.
    #[snafu(display("field {field:?} in [{section}] contains {value:?} twice"))]
    DuplicateEntry {
        section: String,
        field: String,
        value: String,
    },
    /// Two listeners have the same address.
    #[snafu(display("fields {first:?} and {second:?} in [host] have the same address"))]
    DuplicateListener {
        first: &'static str,
        second: &'static str,
    },
}

/// Formats errors, one per line.
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

/// Errors recorded while a text is parsed.
#[derive(Debug, Default)]
pub struct Errors {
    errors: Vec<Error>,
    truncated: bool,
}

impl Errors {
    /// Records an error; further errors are dropped once the limit is reached.
    pub fn push(&mut self, line: u32, kind: Kind) {
        if self.errors.len() < MAX_ERRORS {
            self.errors.push(Error { line, kind });
        } else {
            self.truncated = true;
        }
    }

    /// Returns `value` if no error was recorded.
    ///
    /// # Errors
    ///
    /// Returns all recorded errors, ordered by line.
    pub fn into_result<T>(self, value: T) -> Result<T> {
        if self.errors.is_empty() {
            Ok(value)
        } else {
            Err(self.into_invalid())
        }
    }

    /// Returns all recorded errors, ordered by line.
    pub fn into_invalid(mut self) -> Invalid {
        self.errors.sort_by_key(|error| error.line);
        if self.truncated {
            let line = self.errors.last().map_or(0, |error| error.line);
            let kind = Kind::TooManyErrors;
            self.errors.push(Error { line, kind });
        }
        Invalid {
            errors: self.errors,
        }
    }
}

/// Truncates a text to a length suitable for an error message.
pub fn excerpt(text: &str) -> String {
    text[..text.floor_char_boundary(MAX_EXCERPT_BYTES)].to_owned()
}
