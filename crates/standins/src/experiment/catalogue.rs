//! Declared models and adapters and the plain service, with their popularity.

use mustardgate_core::{
    ids::{MemoryMib, ServiceId},
    log::Artifact,
    placement::base::DeclaredArtifact,
    routing::service_artifact,
};
use smol_str::format_smolstr;

const MODEL_MEMORY_MIN_MIB: MemoryMib = 10 * 1_024;
const MODEL_MEMORY_STEP_MIB: MemoryMib = 2 * 1_024;
const MODEL_MEMORY_STEPS: usize = 9;
const ADAPTER_MEMORY_MIB: MemoryMib = 200;
const POPULARITY_ZIPF_EXPONENT: f64 = 0.9;
/// Share of a model's requests that name one of its adapters, if it has any.
const ADAPTER_SHARE: f64 = 0.6;

/// A model, an adapter or the plain service, as requests name it.
#[derive(Clone, Debug)]
pub struct CatalogueEntry {
    /// The weights, or the artifact that represents the plain service in routing.
    pub artifact: Artifact,
    /// Memory taken; zero for the plain service.
    pub memory_mib: MemoryMib,
    /// Index of the model itself or, for an adapter, of its model; `None` for the plain service.
    pub model: Option<usize>,
    /// Share of requests without any scenario.
    pub popularity: f64,
}

/// Everything that requests may name: models first, then adapters, the plain service last.
#[derive(Clone, Debug)]
pub struct Catalogue {
    /// The entries.
    pub entries: Vec<CatalogueEntry>,
    /// Number of models.
    pub models: usize,
}

impl Catalogue {
    /// Creates models whose popularity follows Zipf's law, with the adapters spread evenly over them.
    pub fn new(models: usize, adapters: usize, service: &ServiceId, service_share: f64) -> Self {
        let weights: Vec<f64> = (0..models)
            .map(|rank| ((rank + 1) as f64).powf(-POPULARITY_ZIPF_EXPONENT))
            .collect();
        let total: f64 = weights.iter().sum();
        let model_share = |model: usize| (1.0 - service_share) * weights[model] / total;
        let adapters_of = |model: usize| (model..adapters).step_by(models).count();
        let mut entries: Vec<CatalogueEntry> = (0..models)
            .map(|model| CatalogueEntry {
                artifact: model_artifact(model),
                memory_mib: MODEL_MEMORY_MIN_MIB + MODEL_MEMORY_STEP_MIB * (model * 5 % MODEL_MEMORY_STEPS) as u64,
                model: Some(model),
                popularity: model_share(model)
                    * if adapters_of(model) > 0 {
                        1.0 - ADAPTER_SHARE
                    } else {
                        1.0
                    },
            })
            .collect();
        entries.extend((0..adapters).map(|adapter| {
            let model = adapter % models;
            CatalogueEntry {
                artifact: Artifact {
                    adapter: Some(format_smolstr!("a{adapter}")),
                    ..model_artifact(model)
                },
                memory_mib: ADAPTER_MEMORY_MIB,
                model: Some(model),
                popularity: model_share(model) * ADAPTER_SHARE / adapters_of(model) as f64,
            }
        }));
        entries.push(CatalogueEntry {
            artifact: service_artifact(service),
            memory_mib: 0,
            model: None,
            popularity: service_share,
        });
        Self { entries, models }
    }

    /// Returns the index of the plain service.
    pub fn service_index(&self) -> usize {
        self.entries.len() - 1
    }

    /// Returns whether an entry is an adapter.
    pub fn is_adapter(&self, index: usize) -> bool {
        self.entries[index].artifact.adapter.is_some()
    }

    /// Lists the models and adapters as input to the base placement.
    pub fn declared(&self) -> Vec<DeclaredArtifact> {
        self.entries[..self.service_index()]
            .iter()
            .map(|entry| DeclaredArtifact {
                artifact: entry.artifact.clone(),
                memory_mib: entry.memory_mib,
                min_replicas: 1,
            })
            .collect()
    }

    /// Finds an entry by its weights.
    pub fn index_of(&self, artifact: &Artifact) -> Option<usize> {
        self.entries.iter().position(|entry| entry.artifact == *artifact)
    }
}

fn model_artifact(model: usize) -> Artifact {
    Artifact {
        model: format_smolstr!("m{model}"),
        adapter: None,
        version: "1".into(),
    }
}
