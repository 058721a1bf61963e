//! Sample resources, records and reports of realistic size, each generated from an index.

use mustardgate_core::{
    ids::{BackendId, DomainId, RegionId},
    log::{Artifact, BatchRecord, ChangeRecord, KeyClaim, KeyOutcome, LogRecord},
    placement::base::{BaseInput, DeclaredArtifact, DeclaredRunner},
    ports::{EngineReport, LogEntry, ResidentArtifact, VmEntry, VmRole, VmState},
    resources::{
        AcceleratorSpec, BackendRole, BackendSpec, FencingSupport, ModelSpec, ResourceKey, ResourceKind, ResourceSpec,
        VersionSpec,
    },
    verdict::RunVerdict,
};
use smol_str::{SmolStr, format_smolstr};

/// Failure domains at the design size.
pub const DOMAINS: usize = 23;
/// Regions at the design size.
pub const REGIONS: usize = 6;
/// Accelerators of one runner.
pub const ACCELERATORS: usize = 4;
/// Memory of one accelerator, in MiB.
const ACCELERATOR_MIB: u64 = 81_920;
/// Memory of one model's weights, in MiB.
const MODEL_MIB: u64 = 16_384;
/// One declared resource in this many is a model, and the others are backend servers.
const MODEL_INTERVAL: usize = 3;

/// Returns the name of a failure domain.
pub fn domain(index: usize) -> DomainId {
    format_smolstr!("region-{}-domain-{:02}", index % REGIONS, index)
}

/// Returns the name of a failure domain's region.
pub fn region(index: usize) -> RegionId {
    format_smolstr!("region-{}", index % REGIONS)
}

/// Returns the name of a backend server.
pub fn backend(index: usize) -> BackendId {
    format_smolstr!("runner-{}-{index:04}", index % DOMAINS)
}

/// Returns the weights of a model.
pub fn artifact(index: usize) -> Artifact {
    Artifact {
        model: format_smolstr!("model-family-{index:04}"),
        adapter: None,
        version: "2026-11".into(),
    }
}

/// Returns a change that declares a resource: a model or a backend server, in the proportion of the design size.
pub fn change(offset: usize, index: usize, expected: Option<u64>) -> LogEntry {
    let (kind, name, spec) = if index.is_multiple_of(MODEL_INTERVAL) {
        (
            ResourceKind::Model,
            artifact(index).model,
            ResourceSpec::Model(model_spec()),
        )
    } else {
        let spec = ResourceSpec::Backend(backend_spec(index));
        (ResourceKind::Backend, backend(index), spec)
    };
    LogEntry {
        offset: offset as u64,
        record: LogRecord::Change(ChangeRecord {
            change: format_smolstr!("change-7f3a-{offset:08}"),
            resource: ResourceKey { kind, name },
            expected,
            spec: Some(spec),
        }),
    }
}

fn model_spec() -> ModelSpec {
    ModelSpec {
        versions: vec![VersionSpec {
            name: "2026-11".into(),
            memory_mib: MODEL_MIB,
        }],
        serving: "2026-11".into(),
        min_replicas: 1,
    }
}

fn backend_spec(index: usize) -> BackendSpec {
    let accelerator = AcceleratorSpec {
        memory_mib: ACCELERATOR_MIB,
    };
    BackendSpec {
        domain: domain(index % DOMAINS),
        region: region(index % DOMAINS),
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 8_080).into(),
        role: BackendRole::Engine,
        accelerators: vec![accelerator; ACCELERATORS],
        fencing: FencingSupport::Refuses,
        max_concurrency: 32,
    }
}

/// Returns a batch with the claims and the outcomes of some keys.
pub fn key_batch(first: usize, count: usize) -> BatchRecord {
    let keys = first..first + count;
    BatchRecord {
        domain: domain(0),
        claims: keys.clone().map(claim).collect(),
        outcomes: keys.map(outcome).collect(),
        ..BatchRecord::default()
    }
}

fn claim(index: usize) -> KeyClaim {
    KeyClaim {
        tenant: "island-tours".into(),
        key: format_smolstr!("0b6f7c1e-55aa-4c1e-9d3f-{index:012}"),
        digest: (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        node: "entry-region-0-domain-00-03".into(),
        request: format_smolstr!("entry-region-0-domain-00-03-5e1f-{index}"),
    }
}

fn outcome(index: usize) -> KeyOutcome {
    let claim = claim(index);
    KeyOutcome {
        tenant: claim.tenant,
        key: claim.key,
        request: claim.request,
        verdict: RunVerdict::Ran,
        is_released: false,
        answer: None,
    }
}

/// Returns the report of an engine that holds `count` models.
pub fn report(sequence: u64, first: usize, count: usize) -> EngineReport {
    let held = (0..count).map(|index| ResidentArtifact {
        accelerator: (index % ACCELERATORS) as u16,
        artifact: artifact(first + index),
        memory_mib: MODEL_MIB,
        is_ready: true,
    });
    EngineReport {
        sequence,
        running: 12,
        waiting: 1,
        resident: held.collect(),
        ..EngineReport::default()
    }
}

/// Returns an entry of the list of VMs.
pub fn vm(index: usize, role: VmRole) -> VmEntry {
    let name: SmolStr = match role {
        VmRole::Entry => format_smolstr!("entry-{}-{index:04}", domain(index % DOMAINS)),
        VmRole::Backend => backend(index),
    };
    VmEntry {
        name,
        role,
        domain: domain(index % DOMAINS),
        region: region(index % DOMAINS),
        address: ([10, 1, (index / 250) as u8, (index % 250) as u8], 8_080).into(),
        state: VmState::Live,
    }
}

/// Returns the input of base placement for a number of models and runners.
pub fn base_input(models: usize, runners: usize) -> BaseInput {
    let declared = |index| DeclaredArtifact {
        artifact: artifact(index),
        memory_mib: MODEL_MIB,
        min_replicas: 1,
    };
    let runner = |index: usize| DeclaredRunner {
        backend: backend(index),
        domain: domain(index % DOMAINS),
        region: region(index % DOMAINS),
        accelerators: vec![ACCELERATOR_MIB; ACCELERATORS],
    };
    BaseInput {
        artifacts: (0..models).map(declared).collect(),
        runners: (0..runners).map(runner).collect(),
        absent: Vec::new(),
    }
}
