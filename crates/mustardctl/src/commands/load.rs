//! `load`: sends open-loop load and reports attainment and latency.

use std::time::Duration;

use mustardgate_core::{log::Artifact, resources::PriorityClass};

use super::CommandEntry;
use crate::{
    cli::{CommandContext, CommandError, CommandSpec, OptionSpec, read_key},
    load::{LoadOptions, LoadReport, LoadTarget, TenantLoad, run_load},
    output::TextTable,
};

pub(super) const ENTRY: CommandEntry = CommandEntry {
    spec: CommandSpec {
        name: "load",
        summary: "sends open-loop load and reports attainment and latency",
        positionals: "MODEL...",
        max_positionals: 64,
        options: &[
            option("rate", "N", "requests per second in total; 10 by default"),
            option("seconds", "N", "time during which requests are sent; 10 by default"),
            option("seed", "N", "seed for arrivals, tenants and models; 1 by default"),
            option("max-tokens", "N", "tokens in each answer; 32 by default"),
            option(
                "target-ms",
                "N",
                "longest time to the first token that counts as in time; 580 by default",
            ),
            option("deadline-ms", "N", "deadline of each request; 10000 by default"),
            option(
                "tenant",
                "NAME=KEYFILE[:WEIGHT]",
                "a tenant and its weight in the load; may be repeated",
            ),
            option(
                "engine-version",
                "VERSION",
                "send directly to an engine, with this version of the models",
            ),
        ],
    },
    run: |context| Box::pin(run(context)),
};

const fn option(name: &'static str, value_name: &'static str, help: &'static str) -> OptionSpec {
    OptionSpec {
        name,
        value_name: Some(value_name),
        help,
    }
}

async fn run(context: &CommandContext) -> Result<(), CommandError> {
    let options = read_options(context)?;
    context.printer.show_progress(&format!(
        "{} requests per second for {} s",
        options.rate,
        options.duration.as_secs_f64()
    ));
    let report = run_load(options).await?;
    if context.printer.is_json() {
        context.printer.print_json(&report);
    } else {
        print_report(context, &report);
    }
    if report.answered == 0 {
        return Err(CommandError::Failed {
            reason: "no request was answered".to_owned(),
        });
    }
    Ok(())
}

fn read_options(context: &CommandContext) -> Result<LoadOptions, CommandError> {
    let arguments = &context.arguments;
    let models: Vec<String> = (0..)
        .map_while(|index| arguments.positional(index).map(str::to_owned))
        .collect();
    if models.is_empty() {
        return Err(CommandError::Usage {
            reason: "MODEL is required".to_owned(),
        });
    }
    let rate: f64 = arguments.parsed("rate", 10.0)?;
    if !(rate.is_finite() && rate > 0.0) {
        return Err(CommandError::Usage {
            reason: "--rate must be greater than 0".to_owned(),
        });
    }
    let targets = models.iter().map(|model| match arguments.value("engine-version") {
        None => LoadTarget::Model(model.as_str().into()),
        Some(version) => LoadTarget::Engine {
            artifact: Artifact {
                model: model.as_str().into(),
                adapter: None,
                version: version.into(),
            },
            priority: PriorityClass::default(),
        },
    });
    Ok(LoadOptions {
        servers: context.servers()?,
        targets: targets.collect(),
        tenants: read_tenants(context)?,
        rate,
        duration: Duration::from_secs_f64(arguments.parsed("seconds", 10.0)?),
        seed: arguments.parsed("seed", 1)?,
        max_tokens: arguments.parsed("max-tokens", 32)?,
        first_token_target: Duration::from_millis(arguments.parsed("target-ms", 580)?),
        deadline: Duration::from_millis(arguments.parsed("deadline-ms", 10_000)?),
    })
}

/// Reads the tenants; if none is given, returns one with the key of `--key-file`, if any.
fn read_tenants(context: &CommandContext) -> Result<Vec<TenantLoad>, CommandError> {
    let given = context.arguments.values("tenant");
    if given.is_empty() {
        return Ok(vec![TenantLoad {
            name: "default".into(),
            key: context.key()?,
            weight: 1.0,
        }]);
    }
    given.iter().map(|text| read_tenant(text)).collect()
}

fn read_tenant(text: &str) -> Result<TenantLoad, CommandError> {
    let usage_error = || CommandError::Usage {
        reason: format!("--tenant must be NAME=KEYFILE[:WEIGHT], not {text}"),
    };
    let (name, rest) = text.split_once('=').ok_or_else(usage_error)?;
    let (file, weight) = match rest.rsplit_once(':') {
        Some((file, weight)) => (file, weight.parse().map_err(|_error| usage_error())?),
        None => (rest, 1.0),
    };
    Ok(TenantLoad {
        name: name.into(),
        key: Some(read_key(file)?),
        weight,
    })
}

fn print_report(context: &CommandContext, report: &LoadReport) {
    let printer = &context.printer;
    let mut table = TextTable::new([
        "tenant", "sent", "answered", "in time", "failed", "p50 ms", "p95 ms", "p99 ms",
    ]);
    for (name, tenant) in &report.by_tenant {
        table.push([
            name.to_string(),
            tenant.sent.to_string(),
            tenant.answered.to_string(),
            tenant.in_time.to_string(),
            tenant.failed.to_string(),
            format!("{:.1}", tenant.first_token_ms.p50),
            format!("{:.1}", tenant.first_token_ms.p95),
            format!("{:.1}", tenant.first_token_ms.p99),
        ]);
    }
    printer.print_line(&table.render());
    printer.print_line(&format!(
        "in all: {} sent, {} answered whole, {} in time; gap between tokens p95 {:.1} ms; failures {:?}",
        report.sent, report.answered, report.in_time, report.token_gap_ms.p95, report.failures
    ));
}
