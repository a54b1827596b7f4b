//! Streams the body of a response to the caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body as _, Bytes, Frame, SizeHint};
use waxwing_http::{Body, BodyError};

use super::driver::Driver;

/// A response body that passes on the frames of another body and tells the driver of the request
/// how the response ended.
pub(super) struct RelayedBody {
    inner: Body,
    bytes_relayed: u64,
    driver: Option<Box<Driver>>,
}

impl RelayedBody {
    pub(super) fn new(inner: Body, driver: Option<Box<Driver>>) -> Self {
        let mut body = Self {
            inner,
            bytes_relayed: 0,
            driver,
        };
        body.finish_if_at_end();
        body
    }

    /// Reports the response as complete if no frames are left.
    fn finish_if_at_end(&mut self) {
        if self.inner.is_end_stream() {
            self.finish();
        }
    }

    /// Reports the response as complete, once.
    fn finish(&mut self) {
        if let Some(driver) = self.driver.take() {
            driver.response_complete(self.bytes_relayed);
        }
    }
}

impl Drop for RelayedBody {
    fn drop(&mut self) {
        // A driver that panicked is not told how the response ended.
        if std::thread::panicking() {
            return;
        }
        self.finish_if_at_end();
        if let Some(driver) = self.driver.take() {
            driver.caller_disconnected();
        }
    }
}

impl hyper::body::Body for RelayedBody {
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
                self.bytes_relayed += frame.data_ref().map_or(0, Bytes::len) as u64;
                self.finish_if_at_end();
            }
            Poll::Ready(Some(Err(_))) => {
                if let Some(driver) = self.driver.take() {
                    driver.response_broken();
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
