//! The body of an answer on its way to the caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Sender;
use hyper::body::{Body as _, Bytes, Frame, SizeHint};
use waxwing_http::{Body, BodyError};

use super::Note;

/// Passes frames on and reports the end to the driver of the request.
pub(crate) struct Relay {
    inner: Body,
    bytes: u64,
    driver: Option<Sender<Note>>,
}

impl Relay {
    pub(crate) fn new(inner: Body, driver: Sender<Note>) -> Self {
        let mut relay = Self {
            inner,
            bytes: 0,
            driver: Some(driver),
        };
        relay.report_end();
        relay
    }

    fn report_end(&mut self) {
        if self.inner.is_end_stream() {
            self.report(Note::Finished(self.bytes));
        }
    }

    fn report(&mut self, note: Note) {
        if let Some(driver) = self.driver.take() {
            // Fails only if the driver has ended, which needs no report.
            let _ = driver.try_send(note);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.report_end();
        self.report(Note::CallerGone);
    }
}

impl hyper::body::Body for Relay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.inner).poll_frame(cx);
        match &frame {
            Poll::Ready(None) => {
                let bytes = self.bytes;
                self.report(Note::Finished(bytes));
            }
            Poll::Ready(Some(Ok(frame))) => {
                self.bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
                self.report_end();
            }
            Poll::Ready(Some(Err(_))) => self.report(Note::Broken),
            Poll::Pending => {}
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
