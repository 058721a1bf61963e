//! Receives whole bodies within the budget.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use snafu::Snafu;

use super::BufferGuard;

/// Size from which on a buffer grows by a part of itself, in bytes.
const MIN_GROWTH_BYTES: usize = 16 * 1024;

/// Why a body was not received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum CollectError {
    /// It is longer than allowed.
    #[snafu(display("too_long"))]
    TooLong {
        /// Bytes received.
        bytes: usize,
    },
    /// The budget has no room for it.
    #[snafu(display("no_room"))]
    NoRoom {
        /// Bytes received.
        bytes: usize,
    },
    /// The connection broke, or what arrived is malformed.
    #[snafu(display("broken"))]
    Broken,
}

impl CollectError {
    /// Returns the label for metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::TooLong { .. } => "too_long",
            Self::NoRoom { .. } => "no_room",
            Self::Broken => "broken",
        }
    }
}

/// Receives a whole body of at most `max_bytes` bytes.
///
/// Frames are copied into one buffer whose size is reserved: a body in small chunks would take a multiple of its length
/// otherwise.
///
/// # Errors
/// [`CollectError`] when the body is too long, does not fit or breaks off.
pub async fn collect_bytes<B>(body: &mut B, max_bytes: usize, guard: BufferGuard) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
{
    collect_while(body, max_bytes, guard, |_content| true).await
}

/// Receives a body like [`collect_bytes`], but stops and returns what has arrived once `is_wanted` returns `false` for that.
///
/// # Errors
/// [`CollectError`] when the body is too long, does not fit or breaks off.
pub async fn collect_while<B>(
    body: &mut B,
    max_bytes: usize,
    mut guard: BufferGuard,
    is_wanted: impl Fn(&[u8]) -> bool,
) -> Result<Bytes, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut first = Bytes::new();
    let mut content = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            () = guard.ended() => return Err(CollectError::NoRoom { bytes: content.len() }),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(|_error| CollectError::Broken)?.into_data() else {
            continue;
        };
        let bytes = content.len().max(first.len()) + data.len();
        if bytes > max_bytes {
            return Err(CollectError::TooLong { bytes });
        }
        let rest = body.size_hint().upper().and_then(|rest| usize::try_from(rest).ok());
        guard.record_left(rest.unwrap_or(usize::MAX));
        if first.is_empty() && content.is_empty() {
            // Most bodies are one frame, which needs no copy.
            guard.cover(bytes).map_err(|_no_room| CollectError::NoRoom { bytes })?;
            first = data;
            if is_wanted(&first) {
                continue;
            }
            break;
        }
        if bytes > content.capacity() {
            let expected = rest.map_or(max_bytes, |rest| bytes.saturating_add(rest).min(max_bytes));
            let wanted = (bytes + bytes / 2).max(MIN_GROWTH_BYTES).min(expected);
            // Growth by a part is for speed; a body that is nearly whole may fit without it.
            let capacity = guard.cover(wanted).map(|()| wanted).or_else(|_no_room| {
                let covered = guard.cover(bytes).map(|()| bytes);
                covered.map_err(|_no_room| CollectError::NoRoom { bytes })
            })?;
            content.reserve_exact(capacity - content.len());
        }
        content.extend_from_slice(&std::mem::take(&mut first));
        content.extend_from_slice(&data);
        if !is_wanted(&content) {
            break;
        }
    }
    if content.is_empty() {
        return Ok(guard.into_bytes(first));
    }
    Ok(guard.into_bytes(content))
}
