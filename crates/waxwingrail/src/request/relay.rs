//! The body of an answer on its way to the caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body as _, Bytes, Frame, SizeHint};
use waxwing_http::{Body, BodyError};

use super::driver::Driver;

/// Passes frames on and tells the driver of the request how the answer ended.
pub(super) struct Relay {
    inner: Body,
    bytes: u64,
    driver: Option<Box<Driver>>,
}

impl Relay {
    pub(super) fn new(inner: Body, driver: Option<Box<Driver>>) -> Self {
        let mut relay = Self {
            inner,
            bytes: 0,
            driver,
        };
        relay.note_end();
        relay
    }

    fn note_end(&mut self) {
        if self.inner.is_end_stream() {
            self.finish();
        }
    }

    fn finish(&mut self) {
        if let Some(driver) = self.driver.take() {
            driver.finished(self.bytes);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // A flow that panicked is not stepped again.
        if std::thread::panicking() {
            return;
        }
        self.note_end();
        if let Some(driver) = self.driver.take() {
            driver.caller_gone();
        }
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
            Poll::Ready(None) => self.finish(),
            Poll::Ready(Some(Ok(frame))) => {
                self.bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
                self.note_end();
            }
            Poll::Ready(Some(Err(_))) => {
                if let Some(driver) = self.driver.take() {
                    driver.broken();
                }
            }
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
