//! Reads INI texts into sections and collects every error with its line number.

mod error;

pub use error::{Error, Errors, Invalid, Kind, Result, quote};

use crate::value::Value;
use ini_core::{Item, Parser};
use std::{collections::HashMap, fmt::Debug, ops::RangeInclusive};

/// Most fields of one section; no section knows more than a dozen.
const FIELDS: usize = 64;

/// One section of an INI text: `[kind name]` with its fields.
#[derive(Debug)]
pub struct Section<'a> {
    /// First word of the header.
    pub kind: &'a str,
    /// Rest of the header; empty for sections that occur once.
    pub name: &'a str,
    /// Line of the header, counted from 1.
    pub line: u32,
    header: &'a str,
    fields: Vec<Field<'a>>,
    known: Vec<&'static str>,
}

#[derive(Debug)]
struct Field<'a> {
    name: &'a str,
    value: &'a str,
    line: u32,
}

/// Reads the sections of a text; syntax errors and duplicates go to `errors`.
pub fn read<'a>(text: &'a str, errors: &mut Errors) -> Vec<Section<'a>> {
    let mut sections = Vec::new();
    let mut seen = HashMap::new();
    let mut current = None::<Section<'a>>;
    // The fields below a broken header belong to no section, which is one error, not many.
    let mut broken = false;
    let mut parser = Parser::new(text).auto_trim(true);
    loop {
        let line = parser.line() + 1;
        match parser.next() {
            None => break,
            Some(Item::Blank | Item::Comment(_)) => {}
            Some(Item::SectionEnd) => sections.extend(current.take()),
            Some(Item::Section(header)) => {
                let section = Section::new(header, line);
                if let Some(first) = seen.get(&(section.kind, section.name)) {
                    let (section, first) = (quote(header), *first);
                    errors.push(line, Kind::DuplicateSection { section, first });
                } else {
                    seen.insert((section.kind, section.name), line);
                }
                current = Some(section);
            }
            Some(Item::Property(name, Some(value))) if !name.is_empty() => match &mut current {
                Some(section) => section.add(Field { name, value, line }, errors),
                None if broken => {}
                None => errors.push(line, syntax(name)),
            },
            Some(Item::Property(text, _)) => errors.push(line, syntax(text)),
            Some(Item::Error(text)) => {
                broken = true;
                errors.push(line, syntax(text));
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
            known: Vec::new(),
        }
    }

    fn add(&mut self, field: Field<'a>, errors: &mut Errors) {
        if let Some(first) = self.field(field.name) {
            let kind = Kind::DuplicateField {
                section: self.header(),
                field: quote(field.name),
                first: first.line,
            };
            errors.push(field.line, kind);
        } else if self.fields.len() < FIELDS {
            self.fields.push(field);
        } else {
            let kind = Kind::TooManyFields {
                section: self.header(),
                limit: FIELDS,
            };
            errors.push(field.line, kind);
        }
    }

    fn field(&self, name: &str) -> Option<&Field<'a>> {
        self.fields.iter().find(|field| field.name == name)
    }

    /// Returns the header for error messages.
    pub fn header(&self) -> String {
        quote(self.header)
    }

    /// Returns the line of a field, or that of the header if the field is absent.
    pub fn line_of(&self, field: &str) -> u32 {
        self.field(field).map_or(self.line, |field| field.line)
    }

    /// Returns the name of the section as a typed value.
    pub fn typed_name<T: Value>(&self, errors: &mut Errors) -> Option<T> {
        let value = T::parse(self.name);
        if value.is_none() {
            let kind = Kind::BadName {
                section: self.header(),
                name: quote(self.name),
                expected: T::EXPECTED,
            };
            errors.push(self.line, kind);
        }
        value
    }

    /// Returns a field's value; `None` if it is absent or wrong, which is then recorded.
    pub fn optional<T: Value>(&mut self, field: &'static str, errors: &mut Errors) -> Option<T> {
        self.known.push(field);
        let found = self.field(field)?;
        let value = T::parse(found.value);
        if value.is_none() {
            let kind = Kind::BadValue {
                section: self.header(),
                field: field.to_owned(),
                value: quote(found.value),
                expected: T::EXPECTED,
            };
            errors.push(found.line, kind);
        }
        value
    }

    /// Returns the value of a field that has to exist; its absence is recorded.
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

    /// Returns the value of a field that has to exist and to be in `range`.
    pub fn required_in<T: Value + PartialOrd + Debug>(
        &mut self,
        field: &'static str,
        range: RangeInclusive<T>,
        errors: &mut Errors,
    ) -> Option<T> {
        let value = self.required(field, errors)?;
        self.in_range(field, value, &range, errors)
    }

    /// Returns the value of a field that has to be in `range`, or `default` if it is absent.
    pub fn default_in<T: Value + PartialOrd + Debug>(
        &mut self,
        field: &'static str,
        default: T,
        range: RangeInclusive<T>,
        errors: &mut Errors,
    ) -> Option<T> {
        if !self.has(field) {
            return Some(default);
        }
        let value = self.optional(field, errors)?;
        self.in_range(field, value, &range, errors)
    }

    /// Returns the value of a field, or `default` if it is absent.
    pub fn default<T: Value>(
        &mut self,
        field: &'static str,
        default: T,
        errors: &mut Errors,
    ) -> Option<T> {
        if self.has(field) {
            self.optional(field, errors)
        } else {
            Some(default)
        }
    }

    /// Records that no section of this kind and name is known.
    pub fn reject(&self, errors: &mut Errors) {
        let section = self.header();
        errors.push(self.line, Kind::UnknownSection { section });
    }

    /// Records an error for every field that no accessor has asked for.
    pub fn finish(&self, errors: &mut Errors) {
        for field in &self.fields {
            if !self.known.contains(&field.name) {
                let kind = Kind::UnknownField {
                    section: self.header(),
                    field: quote(field.name),
                };
                errors.push(field.line, kind);
            }
        }
    }

    fn has(&mut self, field: &'static str) -> bool {
        self.known.push(field);
        self.field(field).is_some()
    }

    fn in_range<T: PartialOrd + Debug>(
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
            value: quote(self.field(field).map_or("", |field| field.value)),
            range: format!("{:?} to {:?}", range.start(), range.end()),
        };
        errors.push(self.line_of(field), kind);
        None
    }
}

fn syntax(text: &str) -> Kind {
    Kind::Syntax { text: quote(text) }
}
