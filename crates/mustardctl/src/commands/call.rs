//! `call`: sends a request as a caller and shows the answer.

use hyper::{
    HeaderMap, Method, Response,
    body::Incoming,
    header::{HeaderName, HeaderValue},
};
use mustardgate_core::ids::IdempotencyKey;
use mustardgate_protocol::callers::{
    CHAT_PATH, ChatChunk, ChatMessage, ChatRequest, DEADLINE_HEADER, ErrorAnswer, IDEMPOTENCY_KEY_HEADER,
    SERVICES_PREFIX,
};

use super::CommandEntry;
use crate::{
    cli::{CommandContext, CommandError, CommandSpec, OptionSpec},
    client::{EventReader, HttpClient, insert_bearer_key, json_request},
};

/// Data of the event that ends a whole stream.
const STREAM_END: &str = "[DONE]";

pub(super) const ENTRY: CommandEntry = CommandEntry {
    spec: CommandSpec {
        name: "call",
        summary: "sends a request as a caller and shows the answer",
        positionals: "MODEL PROMPT, or SERVICE METHOD PATH [BODY] with --service",
        max_positionals: 4,
        options: &[
            option("service", None, "call a plain service"),
            option("stream", None, "show tokens as they arrive"),
            option(
                "max-tokens",
                Some("N"),
                "maximum number of tokens to generate; 64 by default",
            ),
            option(
                "idempotency-key",
                Some("KEY"),
                "a request runs at most once for each key",
            ),
            option("deadline-ms", Some("N"), "time limit for the whole answer"),
        ],
    },
    run: |context| Box::pin(run(context)),
};

const fn option(name: &'static str, value_name: Option<&'static str>, help: &'static str) -> OptionSpec {
    OptionSpec { name, value_name, help }
}

async fn run(context: &CommandContext) -> Result<(), CommandError> {
    if context.arguments.has("service") {
        call_service(context).await
    } else {
        call_model(context).await
    }
}

async fn call_service(context: &CommandContext) -> Result<(), CommandError> {
    let service = required_positional(context, 0, "SERVICE")?;
    let method = required_positional(context, 1, "METHOD")?;
    let method = Method::from_bytes(method.as_bytes()).map_err(|error| CommandError::Usage {
        reason: format!("invalid method {method}: {error}"),
    })?;
    let path = format!("{SERVICES_PREFIX}{service}{}", required_positional(context, 2, "PATH")?);
    let body = context.arguments.positional(3).unwrap_or_default();
    let mut request = json_request(method, &path, &body)?;
    *request.body_mut() = http_body_util::Full::from(body.to_owned());
    add_headers(context, request.headers_mut())?;
    let answer = HttpClient::new().call(context.server()?, request).await?;
    let text = String::from_utf8_lossy(&answer.body);
    if !answer.status.is_success() {
        return Err(failure(&format!("status {}: {text}", answer.status)));
    }
    context.printer.print_line(text.trim_end());
    Ok(())
}

async fn call_model(context: &CommandContext) -> Result<(), CommandError> {
    let chat = ChatRequest {
        model: required_positional(context, 0, "MODEL")?.into(),
        messages: vec![ChatMessage {
            role: "user".into(),
            content: required_positional(context, 1, "PROMPT")?.to_owned(),
        }],
        stream: context.arguments.has("stream"),
        max_tokens: context.arguments.parsed("max-tokens", 64)?,
    };
    let mut request = json_request(Method::POST, CHAT_PATH, &chat)?;
    add_headers(context, request.headers_mut())?;
    let response = HttpClient::new().open(context.server()?, request).await?;
    if chat.stream && response.status().is_success() {
        return show_stream(context, response).await;
    }
    let status = response.status();
    let mut reader = EventReader::new(response.into_body());
    let text = reader.next_line().await.map_err(|error| failure(&error.to_string()))?;
    let text = text.unwrap_or_default();
    if !status.is_success() {
        return Err(failure(&format!("status {status}: {text}")));
    }
    context.printer.print_line(&text);
    Ok(())
}

/// Shows tokens as they arrive; it is an error if the stream ends without [`STREAM_END`].
async fn show_stream(context: &CommandContext, response: Response<Incoming>) -> Result<(), CommandError> {
    let mut reader = EventReader::new(response.into_body());
    while let Some(data) = reader.next_data().await.map_err(|error| failure(&error.to_string()))? {
        if data == STREAM_END {
            context.printer.print_line("");
            return Ok(());
        }
        match serde_json::from_str::<ChatChunk>(&data) {
            Ok(_) if context.printer.is_json() => context.printer.print_line(&data),
            Ok(chunk) => context.printer.print_text(&chunk.delta),
            Err(_error) => return Err(stream_error(&data)),
        }
    }
    Err(failure("the stream ended before the answer was complete"))
}

/// Returns the error that a stream ended with, or says that its data could not be parsed.
fn stream_error(data: &str) -> CommandError {
    match serde_json::from_str::<ErrorAnswer>(data) {
        Ok(answer) => failure(&format!(
            "{}: {} (verdict {})",
            answer.error.code, answer.error.message, answer.error.verdict
        )),
        Err(error) => failure(&format!("cannot parse {data} from the stream: {error}")),
    }
}

fn add_headers(context: &CommandContext, headers: &mut HeaderMap) -> Result<(), CommandError> {
    insert_bearer_key(headers, context.key()?.as_deref())?;
    let key = context.arguments.value("idempotency-key").map(IdempotencyKey::from);
    for (name, value) in [
        (IDEMPOTENCY_KEY_HEADER, key.as_deref()),
        (DEADLINE_HEADER, context.arguments.value("deadline-ms")),
    ] {
        let Some(value) = value else { continue };
        let value = HeaderValue::from_str(value).map_err(|error| CommandError::Usage {
            reason: format!("{name}: {error}"),
        })?;
        headers.insert(HeaderName::from_static(name), value);
    }
    Ok(())
}

fn required_positional<'a>(context: &'a CommandContext, index: usize, name: &str) -> Result<&'a str, CommandError> {
    context.arguments.positional(index).ok_or_else(|| CommandError::Usage {
        reason: format!("{name} is required"),
    })
}

fn failure(reason: &str) -> CommandError {
    CommandError::Failed {
        reason: reason.to_owned(),
    }
}
