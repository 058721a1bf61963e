//! The stand-in for an engine as a process: `engine --listen ADDRESS --name NAME [--accelerators MIB,MIB]
//! [--fencing refuses|ignores] [--tokens-per-second N] [--batch N] [--queue N] [--step-ms N] [--load-ms N]
//! [--adapter-load-ms N] [--unload-ms N] [--store-loads-per-second N] [--report-lag-ms N] [--cache-blocks N]
//! [--event-lag-ms N] [--lost-event-ratio N] [--prefill-ms N] [--resident MODEL@VERSION:MIB]... [--seed N]`.

use std::{net::SocketAddr, process::ExitCode, sync::Arc, time::Duration};

use lexopt::prelude::{Long, ValueExt};
use mustardgate_core::{ids::MemoryMib, log::Artifact, resources::FencingSupport};
use mustardgate_standins::{
    engine_http::{BatchOptions, EngineOptions, EngineServer, MemoryOptions, PrefixOptions},
    http::serve_process,
};

#[derive(Debug)]
struct Arguments {
    listen: Vec<SocketAddr>,
    resident: Vec<ResidentArgument>,
    options: EngineOptions,
}

#[derive(Debug)]
struct ResidentArgument {
    artifact: Artifact,
    memory_mib: MemoryMib,
}

fn default_options() -> EngineOptions {
    EngineOptions {
        name: "engine".into(),
        seed: 1,
        memory: MemoryOptions {
            accelerators: vec![24_576, 24_576],
            fencing: FencingSupport::Ignores,
            model_load: Duration::from_millis(800),
            adapter_load: Duration::from_millis(10),
            unload: Duration::from_millis(100),
            store_loads_per_second: 2.5,
        },
        batch: BatchOptions {
            tokens_per_second: 1_600.0,
            max_running: 32,
            max_waiting: 64,
            step: Duration::from_millis(10),
        },
        prefix: PrefixOptions {
            capacity_blocks: 4_096,
            event_lag: Duration::from_millis(500),
            lost_event_ratio: 0.05,
        },
        report_lag: Duration::from_millis(300),
        prefill_per_block: Duration::from_millis(2),
    }
}

fn parse_accelerators(text: &str) -> Result<Vec<MemoryMib>, std::num::ParseIntError> {
    text.split(',').map(str::parse).collect()
}

fn parse_fencing(text: &str) -> Result<FencingSupport, String> {
    match text {
        "refuses" => Ok(FencingSupport::Refuses),
        "ignores" => Ok(FencingSupport::Ignores),
        other => Err(format!("--fencing is refuses or ignores, not {other}")),
    }
}

fn parse_resident(text: &str) -> Result<ResidentArgument, String> {
    let parsed = text.split_once('@').and_then(|(model, rest)| {
        let (version, memory) = rest.split_once(':')?;
        let artifact = Artifact {
            model: model.into(),
            adapter: None,
            version: version.into(),
        };
        Some(ResidentArgument {
            artifact,
            memory_mib: memory.parse().ok()?,
        })
    });
    parsed.ok_or_else(|| format!("--resident is MODEL@VERSION:MIB, not {text}"))
}

fn parse_millis(parser: &mut lexopt::Parser) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_millis(parser.value()?.parse()?))
}

fn parse_arguments() -> Result<Arguments, lexopt::Error> {
    let mut arguments = Arguments {
        listen: Vec::new(),
        resident: Vec::new(),
        options: default_options(),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        let options = &mut arguments.options;
        match argument {
            Long("listen") => arguments.listen.push(parser.value()?.parse()?),
            Long("name") => options.name = parser.value()?.string()?.into(),
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("accelerators") => options.memory.accelerators = parser.value()?.parse_with(parse_accelerators)?,
            Long("fencing") => options.memory.fencing = parser.value()?.parse_with(parse_fencing)?,
            Long("load-ms") => options.memory.model_load = parse_millis(&mut parser)?,
            Long("adapter-load-ms") => options.memory.adapter_load = parse_millis(&mut parser)?,
            Long("unload-ms") => options.memory.unload = parse_millis(&mut parser)?,
            Long("store-loads-per-second") => options.memory.store_loads_per_second = parser.value()?.parse()?,
            Long("tokens-per-second") => options.batch.tokens_per_second = parser.value()?.parse()?,
            Long("batch") => options.batch.max_running = parser.value()?.parse()?,
            Long("queue") => options.batch.max_waiting = parser.value()?.parse()?,
            Long("step-ms") => options.batch.step = parse_millis(&mut parser)?,
            Long("report-lag-ms") => options.report_lag = parse_millis(&mut parser)?,
            Long("cache-blocks") => options.prefix.capacity_blocks = parser.value()?.parse()?,
            Long("event-lag-ms") => options.prefix.event_lag = parse_millis(&mut parser)?,
            Long("lost-event-ratio") => options.prefix.lost_event_ratio = parser.value()?.parse()?,
            Long("prefill-ms") => options.prefill_per_block = parse_millis(&mut parser)?,
            Long("resident") => arguments.resident.push(parser.value()?.parse_with(parse_resident)?),
            other => return Err(other.unexpected()),
        }
    }
    if arguments.listen.is_empty() {
        return Err("--listen is missing".into());
    }
    Ok(arguments)
}

#[tokio::main]
async fn main() -> ExitCode {
    match parse_arguments() {
        Ok(arguments) => serve_engine(arguments).await,
        Err(error) => {
            eprintln!("engine: {error}");
            ExitCode::from(2)
        }
    }
}

async fn serve_engine(arguments: Arguments) -> ExitCode {
    let name = arguments.options.name.clone();
    let engine = Arc::new(EngineServer::new(arguments.options));
    for resident in arguments.resident {
        if !engine.preload(resident.artifact, resident.memory_mib) {
            eprintln!("{name}: --resident does not fit into any accelerator");
            return ExitCode::from(2);
        }
    }
    tokio::spawn(Arc::clone(&engine).run_batch());
    serve_process(&name, &arguments.listen, Arc::new(engine)).await
}
