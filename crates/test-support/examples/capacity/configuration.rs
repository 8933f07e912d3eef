//! Snapshots and deltas.

use super::{
    measure::{Sample, Series, cpu, live, since, time},
    report::{Report, grouped, number},
    synthetic::{Size, snapshot, workspace},
};
use azurenotch_config::{
    change::Change,
    delta::Delta,
    document::Document,
    snapshot::{KeyHash, Snapshot, digest_of},
};
use azurenotch_wire::{peer::Fetched, time::Stamp};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use snafu::{ResultExt, Whatever, ensure_whatever};
use std::{hint::black_box, time::Duration};

/// Size of the target's snapshot without client blocks.
const TARGET: Size = Size {
    workspaces: 10_000,
    keys: 20_000,
    servers: 570,
    blocks: 0,
};
/// Client blocks of the target.
pub const BLOCKS: usize = 1_900_000;
/// Configuration changes per day at the target size.
pub const CHANGES_PER_DAY: f64 = 1_600.0;
/// Number of measured changes; their mean represents a day.
const MEASURED_CHANGES: usize = 80;

/// Measures snapshots and deltas.
///
/// # Errors
///
/// Returns an error if a snapshot cannot be encoded or a change is refused.
pub fn run(report: &mut Report) -> Result<(), Whatever> {
    report.heading("Snapshots");
    let small = Size {
        workspaces: 3,
        keys: 3,
        servers: 30,
        blocks: 3,
    };
    let small = snapshot(small);
    let parsed = Document::parse(&small.source).whatever_context("the text is invalid")?;
    ensure_whatever!(
        parsed == small.document,
        "the text is not that of the document"
    );
    let workspaces = |workspaces| Size {
        workspaces,
        ..Size::default()
    };
    let keys = |keys| Size {
        keys,
        ..Size::default()
    };
    let servers = |servers| Size {
        servers,
        ..Size::default()
    };
    let blocks = |blocks| Size {
        blocks,
        ..Size::default()
    };
    sizes(
        report,
        "workspaces",
        &[0, 1_000, 2_500, 5_000, 10_000],
        workspaces,
    )?;
    sizes(report, "keys", &[0, 2_000, 5_000, 10_000, 20_000], keys)?;
    sizes(report, "servers", &[0, 140, 285, 570, 1_140], servers)?;
    sizes(
        report,
        "blocks",
        &[0, 10_000, 50_000, 100_000, 200_000],
        blocks,
    )?;
    whole(report)?;
    report.heading("Deltas against whole snapshots");
    deltas(report)
}

fn sizes(
    report: &mut Report,
    name: &'static str,
    counts: &[usize],
    size: impl Fn(usize) -> Size,
) -> Result<(), Whatever> {
    let files: [&'static str; 4] = match name {
        "workspaces" => [
            "workspaces-bytes",
            "workspaces-encode",
            "workspaces-decode",
            "workspaces-memory",
        ],
        "keys" => ["keys-bytes", "keys-encode", "keys-decode", "keys-memory"],
        "servers" => [
            "servers-bytes",
            "servers-encode",
            "servers-decode",
            "servers-memory",
        ],
        _ => [
            "blocks-bytes",
            "blocks-encode",
            "blocks-decode",
            "blocks-memory",
        ],
    };
    let mut bytes = Series::new("Encoded snapshot", "bytes", name);
    let mut encode = Series::new("Encoding a snapshot and its digest", "us", name);
    let mut decode = Series::new("Checking and decoding a snapshot", "us", name);
    let mut memory = Series::new("Decoded snapshot", "bytes", name);
    for count in counts {
        let x = *count as f64;
        let snapshot = snapshot(size(*count));
        let encoded = snapshot.encode().whatever_context("cannot encode")?;
        let digest = digest_of(&encoded);
        bytes.count(x, encoded.len() as f64);
        encode.push(x, time(|| drop(black_box(snapshot.digest()))));
        decode.push(
            x,
            time(|| drop(black_box(Snapshot::decode_verified(&encoded, &digest)))),
        );
        let before = live();
        let decoded = Snapshot::decode(&encoded).whatever_context("cannot decode")?;
        memory.count(x, live() - before);
        ensure_whatever!(
            decoded == snapshot,
            "the snapshot is not the same after decoding"
        );
    }
    for (file, series) in files.into_iter().zip([bytes, encode, decode, memory]) {
        let line = report.series(file, series);
        report.keep(file, line.slope);
    }
    Ok(())
}

/// Verifies the size of a snapshot with all client blocks inside.
fn whole(report: &mut Report) -> Result<(), Whatever> {
    for regions in [1, 2] {
        let mut snapshot = snapshot(Size {
            blocks: BLOCKS,
            ..Size::default()
        });
        if regions == 1 {
            keep_first_region(&mut snapshot);
        }
        let start = cpu();
        let encoded = snapshot.encode().whatever_context("cannot encode")?;
        let cost = since(start) / 1e6;
        let (all, text) = (encoded.len() as f64, snapshot.source.len() as f64);
        report.line(&format!(
            "\nAll {} client blocks inside one snapshot, {regions} region(s) each: {} MB encoded, \
             of which {} MB is the text for `diff`; encoding takes {} s.",
            grouped(BLOCKS as f64),
            number(all / 1e6),
            number(text / 1e6),
            number(cost)
        ));
    }
    Ok(())
}

/// Leaves one region to each block, in the document and in its text.
fn keep_first_region(snapshot: &mut Snapshot) {
    for regions in snapshot.document.blocks.values_mut() {
        regions.truncate(1);
    }
    let lines = snapshot
        .source
        .lines()
        .map(|line| match line.split_once(", region") {
            Some((first, _)) => first,
            None => line,
        });
    snapshot.source = lines.flat_map(|line| [line, "\n"]).collect();
}

fn deltas(report: &mut Report) -> Result<(), Whatever> {
    let mut random = SmallRng::seed_from_u64(report.seed);
    let mut current = snapshot(TARGET);
    let encoded = current.encode().whatever_context("cannot encode")?;
    let size = encoded.len() as f64;
    report.keep("snapshot.bytes", size);
    let before = live();
    let copy = current.clone();
    report.keep("snapshot.memory", live() - before);
    drop(copy);
    let digest = digest_of(&encoded);
    let sample = time(|| drop(black_box(Snapshot::decode_verified(&encoded, &digest))));
    report.keep("snapshot.decode.us", sample.median);
    let fetched = Fetched::Snapshot {
        version: current.version,
        digest: digest_of(&encoded),
        bytes: encoded,
    };
    let wire = rmp_serde::to_vec(&fetched)
        .whatever_context("cannot encode")?
        .len() as f64;
    report.keep("snapshot.wire", wire);
    let (mut bytes, mut create, mut apply, mut accept) = (vec![], vec![], vec![], vec![]);
    for index in 0..MEASURED_CHANGES {
        let change = change(&current, index, &mut random);
        let start = cpu();
        let next = current
            .apply(&change, Stamp::default())
            .whatever_context("a change was refused")?;
        accept.push(since(start));
        let start = cpu();
        let delta = Delta::between(&current, &next).whatever_context("no delta")?;
        let encoded = delta.encode().whatever_context("cannot encode")?;
        create.push(since(start));
        bytes.push(encoded.len() as f64);
        let start = cpu();
        let delta = Delta::decode(&encoded).whatever_context("cannot decode")?;
        let result = delta
            .apply(&current)
            .whatever_context("the delta was refused")?;
        apply.push(since(start));
        ensure_whatever!(result == next, "the delta gave another snapshot");
        current = next;
    }
    let mean = bytes.iter().sum::<f64>() / MEASURED_CHANGES as f64;
    let most = bytes.iter().copied().fold(0.0, f64::max);
    let (create, apply, accept) = (Sample::of(create), Sample::of(apply), Sample::of(accept));
    report.keep("delta.bytes", mean);
    report.keep("delta.most", most);
    report.keep("delta.create.us", create.median);
    report.keep("delta.apply.us", apply.median);
    report.keep("accept.us", accept.median);
    table(report, size, wire, mean, most);
    report.line(&format!(
        "\n{MEASURED_CHANGES} changes, in equal parts of 20: 8 grants and 5 withdrawals of keys, 3 drains, \
         2 steps of a version move, 2 edits of a contract. Median cost of one change: applying it \
         to the snapshot {} ± {} us, creating the delta with the digest of the result {} ± {} us, \
         applying the delta with the check of the digest {} ± {} us.",
        number(accept.median),
        number(accept.spread),
        number(create.median),
        number(create.spread),
        number(apply.median),
        number(apply.spread)
    ));
    Ok(())
}

fn table(report: &mut Report, size: f64, wire: f64, mean: f64, most: f64) {
    report.line(
        "| | bytes | at 15 KB/s | 1,600 a day: mean rate for one host |\n\
         | --- | ---: | ---: | ---: |",
    );
    let rows = [
        ("whole snapshot", size),
        ("whole snapshot as `peer::Fetched`", wire),
        ("delta, mean", mean),
        ("delta, largest", most),
    ];
    for (name, bytes) in rows {
        report.line(&format!(
            "| {name} | {} | {} s | {} KB/s |",
            number(bytes),
            number(bytes / 15_000.0),
            number(bytes * CHANGES_PER_DAY / 86_400.0 / 1_000.0)
        ));
    }
}

/// Returns a change from the mix that operators and the planner produce.
fn change(snapshot: &Snapshot, index: usize, random: &mut SmallRng) -> Change {
    let server = |index: usize| format!("server-{index:04}").into();
    match index % 20 {
        0..=7 => Change::GrantKey {
            hash: KeyHash(random.random()),
            workspace: workspace(random.random_range(0..TARGET.workspaces)),
            name: format!("granted-{index}"),
        },
        8..=12 => {
            let key = random.random_range(0..TARGET.keys);
            Change::WithdrawKey {
                workspace: workspace(key % TARGET.workspaces),
                name: format!("key-{key:05}"),
            }
        }
        13..=15 => Change::Drain {
            server: server(random.random_range(2..TARGET.servers)),
            draining: true,
        },
        16 if index < 20 => Change::StartMove {
            service: "service-00".into(),
            to: "2".into(),
            deadline: Duration::from_hours(1),
        },
        16 | 17 => Change::ShareMove {
            service: "service-00".into(),
            serial: 1,
            share: index as f64 / 1_000.0,
            note: "3120 requests, 2 failures; enough evidence for the next step".to_owned(),
        },
        _ => edit(snapshot, random),
    }
}

/// Returns a document in which the contract of one workspace has another rate.
fn edit(snapshot: &Snapshot, random: &mut SmallRng) -> Change {
    let name = workspace(random.random_range(0..TARGET.workspaces));
    let section = format!("[workspace {name}]\nrate = ");
    let rate = random.random_range(100..999);
    let start = snapshot.source.find(&section).unwrap_or_default() + section.len();
    let end = start + snapshot.source[start..].find('/').unwrap_or_default();
    let text = format!(
        "{}{rate}{}",
        &snapshot.source[..start],
        &snapshot.source[end..]
    );
    Change::Apply {
        text,
        expect: snapshot.version,
    }
}
