//! Parses and validates a document.

use crate::{
    document::{Access, Contract, Document, Fleet, Route, Server},
    ini::{self, Errors, Invalid, Kind, Section},
    value::{Flag, List, Method, Prefix, Rate, RegionShare, Share, Size, Value},
};
use azurenotch_wire::id::{DataCentre, Region, Release, Service};
use ipnet::IpNet;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

/// Maximum size of a document's text; holds twice the target scale of 1.9 million `block` sections
/// of 64 bytes each.
const MAX_TEXT_BYTES: usize = 256 << 20;

/// Maximum number of sections of one kind other than `block`.
const MAX_SECTIONS_PER_KIND: usize = 100_000;

/// Maximum number of `block` sections; the target scale is 1.9 million.
const MAX_BLOCKS: usize = 4_000_000;

const MILLISECOND: Duration = Duration::from_millis(1);
const HOUR: Duration = Duration::from_hours(1);
const DAY: Duration = Duration::from_hours(24);

/// Parses a document; see [`Document::parse`].
pub(crate) fn parse(text: &str) -> Result<Document, Invalid> {
    let mut errors = Errors::default();
    if text.len() > MAX_TEXT_BYTES {
        let (bytes, limit) = (text.len(), MAX_TEXT_BYTES);
        errors.push(1, Kind::TooLarge { bytes, limit });
        return errors.into_result(Document::default());
    }
    let mut sections = ini::parse(text, &mut errors);
    check_section_counts(&sections, &mut errors);
    let names = SectionNames::new(&sections);
    let mut builder = Builder::default();
    for section in &mut sections {
        builder.parse_section(section, &names, &mut errors);
    }
    builder.check_regions(&sections, &mut errors);
    builder.check_services(&sections, &mut errors);
    errors.into_result(builder.document)
}

fn check_section_counts(sections: &[Section<'_>], errors: &mut Errors) {
    let mut counts = HashMap::new();
    for section in sections {
        let limit = if section.kind == "block" {
            MAX_BLOCKS
        } else {
            MAX_SECTIONS_PER_KIND
        };
        let count = counts.entry(section.kind).or_insert(0_usize);
        *count += 1;
        if *count == limit + 1 {
            let section_kind = ini::excerpt(section.kind);
            errors.push(
                section.line,
                Kind::TooManySections {
                    section: section_kind,
                    limit,
                },
            );
        }
    }
}

/// Kinds of sections that other sections refer to.
const REFERENCED_KINDS: [&str; 3] = ["region", "data-centre", "service"];

/// Kinds and names of the sections that others may refer to.
///
/// Invalid sections are included, so that references to them cause no further errors.
struct SectionNames<'a>(BTreeSet<(&'a str, &'a str)>);

impl<'a> SectionNames<'a> {
    fn new(sections: &[Section<'a>]) -> Self {
        Self(
            sections
                .iter()
                .filter(|section| REFERENCED_KINDS.contains(&section.kind))
                .map(|section| (section.kind, section.name))
                .collect(),
        )
    }

    /// Records an error if the section `[kind name]`, which `field` refers to, does not exist.
    fn check_exists(
        &self,
        kind: &'static str,
        name: &str,
        section: &Section<'_>,
        field: &'static str,
        errors: &mut Errors,
    ) {
        if !self.0.contains(&(kind, name)) {
            let kind = Kind::UnknownName {
                section: section.header(),
                field: field.to_owned(),
                target: format!("{kind} {name}"),
            };
            errors.push(section.line_of(field), kind);
        }
    }

    /// Parses a required field that refers to a section of `kind`.
    fn parse_reference<T: Value + AsRef<str>>(
        &self,
        kind: &'static str,
        section: &mut Section<'_>,
        field: &'static str,
        errors: &mut Errors,
    ) -> Option<T> {
        let value = section.required::<T>(field, errors)?;
        self.check_exists(kind, value.as_ref(), section, field, errors);
        Some(value)
    }
}

/// Document under construction, with indexes for checks across sections.
#[derive(Default)]
struct Builder {
    document: Document,
    used_regions: BTreeSet<Region>,
    served_releases: BTreeSet<(Service, Release)>,
    server_by_address: HashMap<SocketAddr, String>,
    route_by_path: HashMap<(String, String), String>,
}

impl Builder {
    /// Parses one section; adds it to the document if its name and fields are valid.
    fn parse_section(
        &mut self,
        section: &mut Section<'_>,
        names: &SectionNames<'_>,
        errors: &mut Errors,
    ) {
        let document = &mut self.document;
        match (section.kind, section.name) {
            ("fleet", "") => {
                if let Some(fleet) = parse_fleet(section, errors) {
                    document.fleet = fleet;
                }
            }
            ("region", _) => drop(section.typed_name::<Region>(errors)),
            ("data-centre", _) => self.parse_data_centre(section, names, errors),
            ("service", _) => {
                let name = section.typed_name::<Service>(errors);
                let release = section.required::<Release>("version", errors);
                document.services.extend(name.zip(release));
            }
            ("server", _) => {
                let name = section.typed_name(errors);
                let server = self.parse_server(section, names, errors);
                self.document.servers.extend(name.zip(server));
            }
            ("route", _) => {
                let name = section.typed_name(errors);
                let route = self.parse_route(section, names, errors);
                self.document.routes.extend(name.zip(route));
            }
            ("workspace", _) => {
                let name = section.typed_name(errors);
                document
                    .workspaces
                    .extend(name.zip(parse_contract(section, names, errors)));
            }
            ("block", _) => {
                let block = section.typed_name::<IpNet>(errors);
                let regions = parse_regions(section, names, errors);
                document.blocks.extend(block.zip(regions));
            }
            _ => return section.report_unknown(errors),
        }
        section.report_unknown_fields(errors);
    }

    fn parse_data_centre(
        &mut self,
        section: &mut Section<'_>,
        names: &SectionNames<'_>,
        errors: &mut Errors,
    ) {
        let name = section.typed_name::<DataCentre>(errors);
        let region = names.parse_reference::<Region>("region", section, "region", errors);
        self.used_regions.extend(region.clone());
        self.document.data_centres.extend(name.zip(region));
    }

    fn parse_server(
        &mut self,
        section: &mut Section<'_>,
        names: &SectionNames<'_>,
        errors: &mut Errors,
    ) -> Option<Server> {
        let service = names.parse_reference("service", section, "service", errors);
        let release = section.required("version", errors);
        self.served_releases
            .extend(service.clone().zip(release.clone()));
        let data_centre = names.parse_reference("data-centre", section, "data-centre", errors);
        let address = section.required::<SocketAddr>("address", errors);
        let slots = section.required_in("slots", 1..=100_000_u32, errors);
        let connections = section.required_in("connections", 1..=1_000_000_u32, errors);
        let address = address?;
        if let Some(other) = self
            .server_by_address
            .insert(address, section.name.to_owned())
        {
            let address = address.to_string();
            let line = section.line_of("address");
            errors.push(line, Kind::DuplicateAddress { address, other });
        }
        Some(Server {
            service: service?,
            release: release?,
            data_centre: data_centre?,
            address,
            slots: slots?,
            connections: connections?,
        })
    }

    fn parse_route(
        &mut self,
        section: &mut Section<'_>,
        names: &SectionNames<'_>,
        errors: &mut Errors,
    ) -> Option<Route> {
        let service = names.parse_reference("service", section, "service", errors);
        let prefix = section
            .required::<Prefix>("prefix", errors)
            .map(String::from);
        let methods = section.required::<List<Method>>("methods", errors);
        let access = section.default("access", Access::Keyed, errors);
        let idempotent = section.default("idempotent", Flag(false), errors);
        let timeout = section.default_in(
            "timeout",
            Duration::from_secs(10),
            MILLISECOND..=HOUR,
            errors,
        );
        let body_limit =
            section.default_in("body-limit", Size(1 << 20), Size(0)..=Size(1 << 30), errors);
        let (prefix, methods) = (prefix?, methods?);
        self.register_route(&prefix, &methods, section, errors);
        Some(Route {
            service: service?,
            prefix,
            methods: methods.0.into_iter().map(String::from).collect(),
            access: access?,
            idempotent: idempotent?.0,
            timeout: timeout?,
            body_limit: body_limit?.0,
        })
    }

    /// Registers the methods of `prefix`; records an error for each that another route handles.
    fn register_route(
        &mut self,
        prefix: &str,
        methods: &[Method],
        section: &Section<'_>,
        errors: &mut Errors,
    ) {
        for method in methods {
            let path = (prefix.to_owned(), method.0.clone());
            if let Some(other) = self.route_by_path.insert(path, section.name.to_owned()) {
                let kind = Kind::DuplicateRoute {
                    method: method.0.clone(),
                    prefix: ini::excerpt(prefix),
                    other,
                };
                errors.push(section.line_of("prefix"), kind);
            }
        }
    }

    fn check_regions(&self, sections: &[Section<'_>], errors: &mut Errors) {
        for section in sections.iter().filter(|section| section.kind == "region") {
            if !self.used_regions.contains(section.name) {
                errors.push(
                    section.line,
                    Kind::EmptyRegion {
                        region: ini::excerpt(section.name),
                    },
                );
            }
        }
    }

    fn check_services(&self, sections: &[Section<'_>], errors: &mut Errors) {
        for section in sections.iter().filter(|section| section.kind == "service") {
            let Some(entry) = self.document.services.get_key_value(section.name) else {
                continue;
            };
            let (service, release) = (entry.0.clone(), entry.1.clone());
            if !self.served_releases.contains(&(service, release)) {
                let kind = Kind::NoServer {
                    service: section.name.to_owned(),
                    version: entry.1.to_string(),
                };
                errors.push(section.line_of("version"), kind);
            }
        }
    }
}

fn parse_fleet(section: &mut Section<'_>, errors: &mut Errors) -> Option<Fleet> {
    let default = Fleet::default();
    let slots = section.default_in("slots", default.slots, 1..=100_000, errors);
    let lifetime = section.default_in(
        "look-up-lifetime",
        default.look_up_lifetime,
        MILLISECOND..=HOUR,
        errors,
    );
    Some(Fleet {
        slots: slots?,
        look_up_lifetime: lifetime?,
    })
}

fn parse_contract(
    section: &mut Section<'_>,
    names: &SectionNames<'_>,
    errors: &mut Errors,
) -> Option<Contract> {
    let share = Share(f64::MIN_POSITIVE)..=Share(1.0);
    let rate = section.required_in("rate", Rate(f64::MIN_POSITIVE)..=Rate(1e9), errors);
    let burst = section.required_in("burst", 1.0..=1e9, errors);
    let concurrency = section.required_in("concurrency", 1..=10_000_000, errors);
    let regional_share = parse_regional_share(section, names, errors);
    let step = section.default_in("version-share-step", Share(0.1), share, errors);
    let interval = section.default_in(
        "version-step-interval",
        Duration::from_secs(30),
        MILLISECOND..=DAY,
        errors,
    );
    let latency = section.required_in("latency", MILLISECOND..=HOUR, errors);
    let refusals = section.default_in("refusals", Share(0.01), Share(0.0)..=Share(1.0), errors);
    let isolation = section.default_in(
        "isolation-limit",
        Duration::from_mins(1),
        MILLISECOND..=DAY,
        errors,
    );
    Some(Contract {
        rate: rate?.0,
        burst: burst?,
        concurrency: concurrency?,
        regional_share: regional_share?,
        version_share_step: step?.0,
        version_step_interval: interval?,
        latency: latency?,
        refusals: refusals?.0,
        isolation_limit: isolation?,
    })
}

fn parse_regional_share(
    section: &mut Section<'_>,
    names: &SectionNames<'_>,
    errors: &mut Errors,
) -> Option<BTreeMap<Region, f64>> {
    const FIELD: &str = "regional-share";
    let list = section.default(FIELD, List::<RegionShare>(Vec::new()), errors)?;
    let mut shares = BTreeMap::new();
    for RegionShare { region, share } in list.0 {
        names.check_exists("region", region.as_str(), section, FIELD, errors);
        if shares.insert(region.clone(), share.0).is_some() {
            errors.push(
                section.line_of(FIELD),
                duplicate_entry(section, FIELD, &region),
            );
        }
    }
    Some(shares)
}

fn parse_regions(
    section: &mut Section<'_>,
    names: &SectionNames<'_>,
    errors: &mut Errors,
) -> Option<Vec<Region>> {
    const FIELD: &str = "regions";
    let list = section.required::<List<Region>>(FIELD, errors)?;
    for (index, region) in list.iter().enumerate() {
        names.check_exists("region", region.as_str(), section, FIELD, errors);
        if list[..index].contains(region) {
            errors.push(
                section.line_of(FIELD),
                duplicate_entry(section, FIELD, region),
            );
        }
    }
    Some(list.0)
}

fn duplicate_entry(section: &Section<'_>, field: &str, value: &Region) -> Kind {
    Kind::DuplicateEntry {
        section: section.header(),
        field: field.to_owned(),
        value: value.to_string(),
    }
}
