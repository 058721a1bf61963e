//! Messages as CBOR in binary WebSocket frames.

use std::{
    marker::PhantomData,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use futures::{Sink, Stream};
use serde::{Serialize, de::DeserializeOwned};
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{Error as SocketError, Message, protocol::WebSocketConfig},
};

use super::{meter::PeerMeter, service::MeteredMessage};

/// Maximum size of one message in bytes, in either direction.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// Why a connection ended.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The connection broke, or a frame was too large.
    #[snafu(display("the connection failed: {source}"))]
    Socket {
        /// Error of the socket.
        source: Box<SocketError>,
    },
    /// A frame did not contain a valid message.
    #[snafu(display("a frame could not be decoded"))]
    Undecodable,
    /// A message could not be encoded, or is too large.
    #[snafu(display("a message could not be encoded"))]
    Unencodable,
}

impl From<SocketError> for FrameError {
    fn from(source: SocketError) -> Self {
        Self::Socket {
            source: Box::new(source),
        }
    }
}

/// Returns the limits of a connection.
pub(super) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// A connection as a stream of incoming messages and a sink of outgoing ones.
#[derive(Debug)]
pub(super) struct FrameTransport<In, Out> {
    socket: WebSocketStream<TcpStream>,
    meter: Arc<dyn PeerMeter>,
    messages: PhantomData<fn(Out) -> In>,
}

impl<In, Out> FrameTransport<In, Out> {
    pub fn new(socket: WebSocketStream<TcpStream>, meter: Arc<dyn PeerMeter>) -> Self {
        Self {
            socket,
            meter,
            messages: PhantomData,
        }
    }
}

impl<In: DeserializeOwned + MeteredMessage, Out> Stream for FrameTransport<In, Out> {
    type Item = Result<In, FrameError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            let frame = match ready!(Pin::new(&mut self.socket).poll_next(cx)) {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return Poll::Ready(Some(Err(error.into()))),
                None => return Poll::Ready(None),
            };
            let bytes = match frame {
                Message::Binary(bytes) => bytes,
                Message::Ping(_) | Message::Pong(_) => continue,
                Message::Close(_) => return Poll::Ready(None),
                Message::Text(_) | Message::Frame(_) => return Poll::Ready(Some(UndecodableSnafu.fail())),
            };
            let Ok(message) = ciborium::from_reader::<In, _>(bytes.as_ref()) else {
                return Poll::Ready(Some(UndecodableSnafu.fail()));
            };
            self.meter.received(message.kind(), bytes.len());
            return Poll::Ready(Some(Ok(message)));
        }
    }
}

impl<In, Out: Serialize + MeteredMessage> Sink<Out> for FrameTransport<In, Out> {
    type Error = FrameError;

    fn poll_ready(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), FrameError>> {
        Pin::new(&mut self.socket).poll_ready(cx).map_err(FrameError::from)
    }

    fn start_send(mut self: Pin<&mut Self>, item: Out) -> Result<(), FrameError> {
        let mut bytes = Vec::new();
        let encoded = ciborium::into_writer(&item, &mut bytes);
        if encoded.is_err() || bytes.len() > MAX_FRAME_BYTES {
            return UnencodableSnafu.fail();
        }
        self.meter.sent(item.kind(), bytes.len());
        Pin::new(&mut self.socket).start_send(Message::Binary(bytes.into()))?;
        Ok(())
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), FrameError>> {
        Pin::new(&mut self.socket).poll_flush(cx).map_err(FrameError::from)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<(), FrameError>> {
        Pin::new(&mut self.socket).poll_close(cx).map_err(FrameError::from)
    }
}
