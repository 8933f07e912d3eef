//! Reads and validates a document.

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

/// Largest text of a document: 1.9 million blocks of 64 bytes each, twice over.
const TEXT_BYTES: usize = 256 << 20;

/// Most sections of one kind other than `block`.
const SECTIONS: usize = 100_000;

/// Most `block` sections; the target scale is 1.9 million.
const BLOCKS: usize = 4_000_000;

const MILLISECOND: Duration = Duration::from_millis(1);
const HOUR: Duration = Duration::from_hours(1);
const DAY: Duration = Duration::from_hours(24);

/// Reads a document; see [`Document::parse`].
pub(crate) fn document(text: &str) -> Result<Document, Invalid> {
    let mut errors = Errors::default();
    if text.len() > TEXT_BYTES {
        let (bytes, limit) = (text.len(), TEXT_BYTES);
        errors.push(1, Kind::TooLarge { bytes, limit });
        return errors.check(Document::default());
    }
    let mut sections = ini::read(text, &mut errors);
    check_counts(&sections, &mut errors);
    let names = Names::new(&sections);
    let mut parts = Parts::default();
    for section in &mut sections {
        parts.read(section, &names, &mut errors);
    }
    parts.check_regions(&sections, &mut errors);
    parts.check_services(&sections, &mut errors);
    errors.check(parts.document)
}

fn check_counts(sections: &[Section<'_>], errors: &mut Errors) {
    let mut counts = HashMap::new();
    for section in sections {
        let limit = if section.kind == "block" {
            BLOCKS
        } else {
            SECTIONS
        };
        let count = counts.entry(section.kind).or_insert(0_usize);
        *count += 1;
        if *count == limit + 1 {
            let section_kind = ini::quote(section.kind);
            errors.push(
                section.line,
                Kind::TooMany {
                    section: section_kind,
                    limit,
                },
            );
        }
    }
}

/// Kinds of sections that other sections refer to.
const REFERENCED: [&str; 3] = ["region", "data-centre", "service"];

/// Names that other sections may refer to, whether or not their own section is valid.
struct Names<'a>(BTreeSet<(&'a str, &'a str)>);

impl<'a> Names<'a> {
    fn new(sections: &[Section<'a>]) -> Self {
        Self(
            sections
                .iter()
                .filter(|section| REFERENCED.contains(&section.kind))
                .map(|section| (section.kind, section.name))
                .collect(),
        )
    }

    /// Records an error unless `[kind name]` exists.
    fn check(
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

    /// Reads a field that names a section of `kind`.
    fn reference<T: Value + AsRef<str>>(
        &self,
        kind: &'static str,
        section: &mut Section<'_>,
        field: &'static str,
        errors: &mut Errors,
    ) -> Option<T> {
        let value = section.required::<T>(field, errors)?;
        self.check(kind, value.as_ref(), section, field, errors);
        Some(value)
    }
}

/// The document as far as it was read, with indexes for the checks across sections.
#[derive(Default)]
struct Parts {
    document: Document,
    regions: BTreeSet<Region>,
    offers: BTreeSet<(Service, Release)>,
    addresses: HashMap<SocketAddr, String>,
    paths: HashMap<(String, String), String>,
}

impl Parts {
    /// Reads one section into the document; a section with errors is left out.
    fn read(&mut self, section: &mut Section<'_>, names: &Names<'_>, errors: &mut Errors) {
        let document = &mut self.document;
        match (section.kind, section.name) {
            ("fleet", "") => {
                if let Some(fleet) = fleet(section, errors) {
                    document.fleet = fleet;
                }
            }
            ("region", _) => drop(section.typed_name::<Region>(errors)),
            ("data-centre", _) => self.data_centre(section, names, errors),
            ("service", _) => {
                let name = section.typed_name::<Service>(errors);
                let release = section.required::<Release>("version", errors);
                document.services.extend(name.zip(release));
            }
            ("server", _) => {
                let name = section.typed_name(errors);
                let server = self.server(section, names, errors);
                self.document.servers.extend(name.zip(server));
            }
            ("route", _) => {
                let name = section.typed_name(errors);
                let route = self.route(section, names, errors);
                self.document.routes.extend(name.zip(route));
            }
            ("workspace", _) => {
                let name = section.typed_name(errors);
                document
                    .workspaces
                    .extend(name.zip(contract(section, names, errors)));
            }
            ("block", _) => {
                let block = section.typed_name::<IpNet>(errors);
                let regions = regions(section, names, errors);
                document.blocks.extend(block.zip(regions));
            }
            _ => return section.reject(errors),
        }
        section.finish(errors);
    }

    fn data_centre(&mut self, section: &mut Section<'_>, names: &Names<'_>, errors: &mut Errors) {
        let name = section.typed_name::<DataCentre>(errors);
        let region = names.reference::<Region>("region", section, "region", errors);
        self.regions.extend(region.clone());
        self.document.data_centres.extend(name.zip(region));
    }

    fn server(
        &mut self,
        section: &mut Section<'_>,
        names: &Names<'_>,
        errors: &mut Errors,
    ) -> Option<Server> {
        let service = names.reference("service", section, "service", errors);
        let release = section.required("version", errors);
        self.offers.extend(service.clone().zip(release.clone()));
        let data_centre = names.reference("data-centre", section, "data-centre", errors);
        let address = section.required::<SocketAddr>("address", errors);
        let slots = section.required_in("slots", 1..=100_000_u32, errors);
        let connections = section.required_in("connections", 1..=1_000_000_u32, errors);
        let address = address?;
        if let Some(other) = self.addresses.insert(address, section.name.to_owned()) {
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

    fn route(
        &mut self,
        section: &mut Section<'_>,
        names: &Names<'_>,
        errors: &mut Errors,
    ) -> Option<Route> {
        let service = names.reference("service", section, "service", errors);
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
        self.claim(&prefix, &methods, section, errors);
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

    /// Records an error for every method of `prefix` that another route takes.
    fn claim(
        &mut self,
        prefix: &str,
        methods: &[Method],
        section: &Section<'_>,
        errors: &mut Errors,
    ) {
        for method in methods {
            let path = (prefix.to_owned(), method.0.clone());
            if let Some(other) = self.paths.insert(path, section.name.to_owned()) {
                let kind = Kind::DuplicateRoute {
                    method: method.0.clone(),
                    prefix: ini::quote(prefix),
                    other,
                };
                errors.push(section.line_of("prefix"), kind);
            }
        }
    }

    fn check_regions(&self, sections: &[Section<'_>], errors: &mut Errors) {
        for section in sections.iter().filter(|section| section.kind == "region") {
            if !self.regions.contains(section.name) {
                errors.push(
                    section.line,
                    Kind::EmptyRegion {
                        region: ini::quote(section.name),
                    },
                );
            }
        }
    }

    fn check_services(&self, sections: &[Section<'_>], errors: &mut Errors) {
        for section in sections.iter().filter(|section| section.kind == "service") {
            let Some(offer) = self.document.services.get_key_value(section.name) else {
                continue;
            };
            let (service, release) = (offer.0.clone(), offer.1.clone());
            if !self.offers.contains(&(service, release)) {
                let kind = Kind::NoServer {
                    service: section.name.to_owned(),
                    version: offer.1.to_string(),
                };
                errors.push(section.line_of("version"), kind);
            }
        }
    }
}

fn fleet(section: &mut Section<'_>, errors: &mut Errors) -> Option<Fleet> {
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

fn contract(section: &mut Section<'_>, names: &Names<'_>, errors: &mut Errors) -> Option<Contract> {
    let share = Share(f64::MIN_POSITIVE)..=Share(1.0);
    let rate = section.required_in("rate", Rate(f64::MIN_POSITIVE)..=Rate(1e9), errors);
    let burst = section.required_in("burst", 1.0..=1e9, errors);
    let concurrency = section.required_in("concurrency", 1..=10_000_000, errors);
    let regional_share = regional_share(section, names, errors);
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

fn regional_share(
    section: &mut Section<'_>,
    names: &Names<'_>,
    errors: &mut Errors,
) -> Option<BTreeMap<Region, f64>> {
    const FIELD: &str = "regional-share";
    let list = section.default(FIELD, List::<RegionShare>(Vec::new()), errors)?;
    let mut shares = BTreeMap::new();
    for RegionShare { region, share } in list.0 {
        names.check("region", region.as_str(), section, FIELD, errors);
        if shares.insert(region.clone(), share.0).is_some() {
            errors.push(section.line_of(FIELD), repeated(section, FIELD, &region));
        }
    }
    Some(shares)
}

fn regions(
    section: &mut Section<'_>,
    names: &Names<'_>,
    errors: &mut Errors,
) -> Option<Vec<Region>> {
    const FIELD: &str = "regions";
    let list = section.required::<List<Region>>(FIELD, errors)?;
    for (index, region) in list.iter().enumerate() {
        names.check("region", region.as_str(), section, FIELD, errors);
        if list[..index].contains(region) {
            errors.push(section.line_of(FIELD), repeated(section, FIELD, region));
        }
    }
    Some(list.0)
}

fn repeated(section: &Section<'_>, field: &str, value: &Region) -> Kind {
    Kind::Repeated {
        section: section.header(),
        field: field.to_owned(),
        value: value.to_string(),
    }
}
