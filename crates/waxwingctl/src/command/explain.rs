//! `explain`, and other questions to a daemon whose answers are printed as they come.

use std::fmt::{self, Write as _};
use std::net::SocketAddr;
use std::sync::Arc;

use async_executor::Executor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::{Request, StatusCode};
use serde::Serialize;
use serde_json::Value;
use waxwing_http::{Client, ClientLimits, empty};
use waxwing_types::Millis;

use crate::report::{Console, outline};
use crate::{Exit, Explain};

/// Most bytes read of an answer.
const MAX_ANSWER_BYTES: usize = 1_000_000;

#[derive(Serialize)]
#[serde(transparent)]
struct Answer(Value);

/// Asks a daemon how it would treat a request.
pub(crate) async fn explain(
    console: &mut Console<'_>,
    executor: &Arc<Executor<'static>>,
    admin: SocketAddr,
    question: &Explain,
    timeout: Millis,
) -> Exit {
    let uri = format!(
        "/v1/explain?workspace={}&service={}&method={}&path={}",
        encode(&question.workspace),
        encode(&question.service),
        encode(&question.method),
        encode(&question.path),
    );
    print_answer(console, executor, admin, &uri, timeout).await
}

/// Prints the answer of a daemon to a `GET`.
pub(crate) async fn print_answer(
    console: &mut Console<'_>,
    executor: &Arc<Executor<'static>>,
    admin: SocketAddr,
    uri: &str,
    timeout: Millis,
) -> Exit {
    let expired = async {
        Timer::after(timeout.duration()).await;
        Err(format!("no answer within {timeout}"))
    };
    match ask(executor, admin, uri).or(expired).await {
        Ok(answer) => {
            console.report(&Answer(answer));
            Exit::Done
        }
        Err(reason) => console.fail(Exit::Failed, &[format!("daemon at {admin}: {reason}")]),
    }
}

async fn ask(
    executor: &Arc<Executor<'static>>,
    admin: SocketAddr,
    uri: &str,
) -> Result<Value, String> {
    let request = Request::get(uri).body(empty()).map_err(|e| e.to_string())?;
    let client = Client::new(Arc::clone(executor), ClientLimits::default());
    let response = client
        .send(admin, request)
        .await
        .map_err(|e| e.to_string())?;
    let status = response.status();
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| e.to_string())?;
        bytes.extend_from_slice(frame.data_ref().map_or(&[], |d| d));
        if bytes.len() > MAX_ANSWER_BYTES {
            return Err(format!("answer exceeds {MAX_ANSWER_BYTES} bytes"));
        }
    }
    if status != StatusCode::OK {
        return Err(format!(
            "status {status}: {}",
            String::from_utf8_lossy(&bytes)
        ));
    }
    serde_json::from_slice(&bytes).map_err(|e| e.to_string())
}

/// Percent-encodes what may not stand in a query value.
fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            out.push(char::from(byte));
        } else {
            let _ = write!(out, "%{byte:02X}");
        }
    }
    out
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        outline(&self.0, 0, &mut text);
        f.write_str(text.trim_end())
    }
}
