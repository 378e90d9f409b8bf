use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    path::Path,
    sync::Arc,
};

use anyhow::{Context, bail};
use serde::{Deserialize, Serialize};

/// Maximum number of occurrences of a term in the text that add to the score.
const MAX_OCCURRENCES: u32 = 4;

/// One record of the data.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub id: Arc<str>,
    #[serde(default)]
    pub title: Arc<str>,
    pub text: Arc<str>,
}

/// A record that matches a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hit {
    pub id: Arc<str>,
    pub score: f64,
    pub text: Arc<str>,
}

/// The records to search.
#[derive(Clone, Debug, Default)]
pub struct Corpus {
    records: Vec<Record>,
}

impl Corpus {
    /// Reads JSON Lines (`.jsonl`, `.ndjson`) or CSV with a header, columns `id`, `title`, `text`.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, a record cannot be parsed, an id is not unique or there are no records.
    pub fn read(path: impl AsRef<Path>) -> anyhow::Result<Self> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        let is_json_lines = path
            .extension()
            .is_some_and(|kind| kind == "jsonl" || kind == "ndjson");
        let records = if is_json_lines {
            Self::parse_json_lines(&text)
        } else {
            csv::Reader::from_reader(text.as_bytes())
                .deserialize()
                .collect::<Result<Vec<Record>, _>>()
                .map_err(Into::into)
        };
        Self::new(records.with_context(|| format!("cannot parse {}", path.display()))?)
    }

    /// Creates a corpus from records.
    ///
    /// # Errors
    ///
    /// Fails if an id is not unique or there are no records.
    pub fn new(records: Vec<Record>) -> anyhow::Result<Self> {
        if records.is_empty() {
            bail!("the data contains no records");
        }
        let mut ids = BTreeSet::new();
        for record in &records {
            if !ids.insert(&record.id) {
                bail!("duplicate id {:?}", record.id);
            }
        }
        Ok(Self { records })
    }

    fn parse_json_lines(text: &str) -> anyhow::Result<Vec<Record>> {
        text.lines()
            .enumerate()
            .filter(|(_, line)| !line.trim().is_empty())
            .map(|(n, line)| serde_json::from_str(line).with_context(|| format!("line {}", n + 1)))
            .collect()
    }

    /// Returns the records in the order of the file.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Computes the merged answer over all shards except those in `missing`, by scanning every record.
    ///
    /// It scores with [`score`] and does not use the index of the leaves, so that it can check their answers.
    pub fn expected(&self, text: &str, top_k: usize, shards: u32, missing: &[u32]) -> Vec<Hit> {
        let mut hits: Vec<Hit> = self
            .records
            .iter()
            .filter(|record| !missing.contains(&shard_of(&record.id, shards)))
            .map(|record| (record, score(record, text)))
            .filter(|(_, score)| *score > 0.0)
            .map(|(record, score)| to_hit(record, score))
            .collect();
        hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id)));
        hits.truncate(top_k);
        hits
    }

    /// Builds the index of a snapshot that has `shards` shards.
    pub(crate) fn index(&self, shards: u32) -> Index {
        let mut index = Index {
            shards: (0..shards).map(|_| Shard::default()).collect(),
        };
        for record in &self.records {
            index.shards[shard_of(&record.id, shards) as usize].insert(record.clone());
        }
        index
    }
}

fn to_hit(record: &Record, score: f64) -> Hit {
    let text = match record.title.is_empty() {
        true => record.text.clone(),
        false => format!("{}: {}", record.title, record.text).into(),
    };
    Hit {
        id: record.id.clone(),
        score,
        text,
    }
}

/// Splits text into lower-case terms of letters and digits.
pub fn terms(text: &str) -> impl Iterator<Item = String> + '_ {
    text.split(|c: char| !c.is_alphanumeric())
        .filter(|term| !term.is_empty())
        .map(str::to_lowercase)
}

/// Returns the shard of a record: 64-bit FNV-1a of the id modulo the shard count.
pub fn shard_of(id: &str, shards: u32) -> u32 {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash % u64::from(shards.max(1))) as u32
}

/// Scores a record: each distinct query term adds 2 if the title contains it, and 1/4 for each of at most 4
/// occurrences in the text.
///
/// The score does not depend on other records, so it is the same in any shard. Multiples of 1/4 are represented
/// exactly in JSON.
pub fn score(record: &Record, text: &str) -> f64 {
    let query_terms: BTreeSet<String> = terms(text).collect();
    let quarters: u32 = query_terms
        .iter()
        .map(|term| {
            let title = terms(&record.title).any(|found| found == *term);
            let text = terms(&record.text).filter(|found| found == term).count() as u32;
            8 * u32::from(title) + text.min(MAX_OCCURRENCES)
        })
        .sum();
    f64::from(quarters) / 4.0
}

/// The inverted index of one snapshot.
#[derive(Debug)]
pub(crate) struct Index {
    shards: Vec<Shard>,
}

#[derive(Debug, Default)]
struct Shard {
    records: Vec<Record>,
    /// Positions of the records that contain each term, with their weights in units of 1/4.
    postings: HashMap<String, Vec<(u32, u32)>>,
}

impl Shard {
    fn insert(&mut self, record: Record) {
        let position = self.records.len() as u32;
        let mut weights: BTreeMap<String, (bool, u32)> = BTreeMap::new();
        for term in terms(&record.title) {
            weights.entry(term).or_default().0 = true;
        }
        for term in terms(&record.text) {
            weights.entry(term).or_default().1 += 1;
        }
        for (term, (title, count)) in weights {
            let weight = 8 * u32::from(title) + count.min(MAX_OCCURRENCES);
            self.postings
                .entry(term)
                .or_default()
                .push((position, weight));
        }
        self.records.push(record);
    }
}

impl Index {
    /// Returns the best hits of one shard, or `None` if the snapshot has no such shard.
    pub(crate) fn search(&self, shard: u32, text: &str, top_k: usize) -> Option<Vec<Hit>> {
        let shard = self.shards.get(shard as usize)?;
        let mut quarters: BTreeMap<u32, u32> = BTreeMap::new();
        for term in terms(text).collect::<BTreeSet<_>>() {
            for (position, weight) in shard.postings.get(&term).into_iter().flatten() {
                *quarters.entry(*position).or_default() += weight;
            }
        }
        let mut found: Vec<(&Record, u32)> = quarters
            .into_iter()
            .map(|(position, weight)| (&shard.records[position as usize], weight))
            .collect();
        found.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.id.cmp(&b.0.id)));
        found.truncate(top_k);
        Some(
            found
                .into_iter()
                .map(|(record, weight)| to_hit(record, f64::from(weight) / 4.0))
                .collect(),
        )
    }
}
