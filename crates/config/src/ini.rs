//! Parses INI texts into sections and collects all errors with their line numbers.

mod error;

pub use error::{Error, Errors, Invalid, Kind, Result, excerpt};

use crate::value::Value;
use ini_core::{Item, Parser};
use std::{collections::HashMap, fmt::Debug, ops::RangeInclusive};

/// Maximum number of fields in a section; no kind of section has more than a dozen.
const MAX_SECTION_FIELDS: usize = 64;

/// One section of an INI text: `[kind name]` with its fields.
#[derive(Debug)]
pub struct Section<'a> {
    /// Kind of the section: the first word of the header.
    pub kind: &'a str,
    /// Name of the section: the rest of the header; empty for kinds that occur only once.
    pub name: &'a str,
    /// Line number of the header, counted from 1.
    pub line: u32,
    header: &'a str,
    fields: Vec<Field<'a>>,
    known_fields: Vec<&'static str>,
}

#[derive(Debug)]
struct Field<'a> {
    name: &'a str,
    value: &'a str,
    line: u32,
}

/// Parses a text into sections; adds syntax errors and duplicates to `errors`.
pub fn parse<'a>(text: &'a str, errors: &mut Errors) -> Vec<Section<'a>> {
    let mut sections = Vec::new();
    let mut header_lines = HashMap::new();
    let mut current = None::<Section<'a>>;
    // Fields below a malformed header belong to no section; only the header is reported.
    let mut malformed_header = false;
    let mut parser = Parser::new(text).auto_trim(true);
    loop {
        let line = parser.line() + 1;
        match parser.next() {
            None => break,
            Some(Item::Blank | Item::Comment(_)) => {}
            Some(Item::SectionEnd) => sections.extend(current.take()),
            Some(Item::Section(header)) => {
                let section = Section::new(header, line);
                if let Some(first) = header_lines.get(&(section.kind, section.name)) {
                    let (section, first) = (excerpt(header), *first);
                    errors.push(line, Kind::DuplicateSection { section, first });
                } else {
                    header_lines.insert((section.kind, section.name), line);
                }
                current = Some(section);
            }
            Some(Item::Property(name, Some(value))) if !name.is_empty() => match &mut current {
                Some(section) => section.add_field(Field { name, value, line }, errors),
                None if malformed_header => {}
                None => errors.push(line, syntax_error(name)),
            },
            Some(Item::Property(text, _)) => errors.push(line, syntax_error(text)),
            Some(Item::Error(text)) => {
                malformed_header = true;
                errors.push(line, syntax_error(text));
            }
        }
    }
    sections
}

impl<'a> Section<'a> {
    fn new(header: &'a str, line: u32) -> Self {
        let (kind, name) = header
            .split_once(|c: char| c.is_ascii_whitespace())
            .unwrap_or((header, ""));
        Self {
            kind,
            name: name.trim(),
            line,
            header,
            fields: Vec::new(),
            known_fields: Vec::new(),
        }
    }

    fn add_field(&mut self, field: Field<'a>, errors: &mut Errors) {
        if let Some(first) = self.field(field.name) {
            let kind = Kind::DuplicateField {
                section: self.header(),
                field: excerpt(field.name),
                first: first.line,
            };
            errors.push(field.line, kind);
        } else if self.fields.len() < MAX_SECTION_FIELDS {
            self.fields.push(field);
        } else {
            let kind = Kind::TooManyFields {
                section: self.header(),
                limit: MAX_SECTION_FIELDS,
            };
            errors.push(field.line, kind);
        }
    }

    fn field(&self, name: &str) -> Option<&Field<'a>> {
        self.fields.iter().find(|field| field.name == name)
    }

    /// Returns the header, shortened for error messages.
    pub fn header(&self) -> String {
        excerpt(self.header)
    }

    /// Returns the line number of a field, or of the header if the field is absent.
    pub fn line_of(&self, field: &str) -> u32 {
        self.field(field).map_or(self.line, |field| field.line)
    }

    /// Parses the name of the section; records an error and returns `None` if it is invalid.
    pub fn typed_name<T: Value>(&self, errors: &mut Errors) -> Option<T> {
        let value = T::parse(self.name);
        if value.is_none() {
            let kind = Kind::BadName {
                section: self.header(),
                name: excerpt(self.name),
                expected: T::EXPECTED,
            };
            errors.push(self.line, kind);
        }
        value
    }

    /// Returns the value of an optional field, or `None` if it is absent or invalid.
    ///
    /// Records an error if the value is invalid.
    pub fn optional<T: Value>(&mut self, field: &'static str, errors: &mut Errors) -> Option<T> {
        self.known_fields.push(field);
        let found = self.field(field)?;
        let value = T::parse(found.value);
        if value.is_none() {
            let kind = Kind::BadValue {
                section: self.header(),
                field: field.to_owned(),
                value: excerpt(found.value),
                expected: T::EXPECTED,
            };
            errors.push(found.line, kind);
        }
        value
    }

    /// Returns the value of a required field; records an error if it is absent or invalid.
    pub fn required<T: Value>(&mut self, field: &'static str, errors: &mut Errors) -> Option<T> {
        if self.field(field).is_none() {
            let kind = Kind::MissingField {
                section: self.header(),
                field: field.to_owned(),
            };
            errors.push(self.line, kind);
        }
        self.optional(field, errors)
    }

    /// Returns the value of a required field that must be in `range`.
    ///
    /// Records an error if the field is absent, invalid or out of range.
    pub fn required_in<T: Value + PartialOrd + Debug>(
        &mut self,
        field: &'static str,
        range: RangeInclusive<T>,
        errors: &mut Errors,
    ) -> Option<T> {
        let value = self.required(field, errors)?;
        self.check_range(field, value, &range, errors)
    }

    /// Returns the value of a field that must be in `range`, or `default` if it is absent.
    ///
    /// Records an error if the value is invalid or out of range.
    pub fn default_in<T: Value + PartialOrd + Debug>(
        &mut self,
        field: &'static str,
        default: T,
        range: RangeInclusive<T>,
        errors: &mut Errors,
    ) -> Option<T> {
        if !self.declare_field(field) {
            return Some(default);
        }
        let value = self.optional(field, errors)?;
        self.check_range(field, value, &range, errors)
    }

    /// Returns the value of a field, or `default` if it is absent.
    ///
    /// Records an error if the value is invalid.
    pub fn default<T: Value>(
        &mut self,
        field: &'static str,
        default: T,
        errors: &mut Errors,
    ) -> Option<T> {
        if self.declare_field(field) {
            self.optional(field, errors)
        } else {
            Some(default)
        }
    }

    /// Records an error for a section whose kind or name is unknown.
    pub fn report_unknown(&self, errors: &mut Errors) {
        let section = self.header();
        errors.push(self.line, Kind::UnknownSection { section });
    }

    /// Records an error for each field that was not read by one of the methods above.
    pub fn report_unknown_fields(&self, errors: &mut Errors) {
        for field in &self.fields {
            if !self.known_fields.contains(&field.name) {
                let kind = Kind::UnknownField {
                    section: self.header(),
                    field: excerpt(field.name),
                };
                errors.push(field.line, kind);
            }
        }
    }

    /// Marks the field as known and returns whether it is present.
    fn declare_field(&mut self, field: &'static str) -> bool {
        self.known_fields.push(field);
        self.field(field).is_some()
    }

    fn check_range<T: PartialOrd + Debug>(
        &self,
        field: &'static str,
        value: T,
        range: &RangeInclusive<T>,
        errors: &mut Errors,
    ) -> Option<T> {
        if range.contains(&value) {
            return Some(value);
        }
        let kind = Kind::OutOfRange {
            section: self.header(),
            field: field.to_owned(),
            value: excerpt(self.field(field).map_or("", |field| field.value)),
            range: format!("{:?} to {:?}", range.start(), range.end()),
        };
        errors.push(self.line_of(field), kind);
        None
    }
}

fn syntax_error(text: &str) -> Kind {
    Kind::Syntax {
        text: excerpt(text),
    }
}
