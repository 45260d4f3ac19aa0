//! Parses and validates callers' requests before anything else is done with them.

use corianderfork_coord::claim;
use corianderfork_model::Name;

/// The header with the id of a request, which the backend server echoes.
pub const REQUEST_ID: &str = "Request-Id";
/// The header with the id of a non-idempotent request: a UUIDv7, the same in each retry.
pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// The maximum length of [`REQUEST_ID`], in bytes.
pub const MAX_ID: usize = 64;
/// The maximum length of the path with its query, in bytes.
pub const MAX_PATH: usize = 8 << 10;
/// The maximum size of all headers together, in bytes.
pub const MAX_HEADERS: usize = 32 << 10;

/// Hop-by-hop headers (RFC 9110, 7.6.1), which are not forwarded, and headers that each
/// side writes itself.
const HOP_BY_HOP: [&str; 13] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
    "not-run",
];

/// A header's name and value.
pub type Header = (String, String);

/// The request line and headers as received.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub url: String,
    /// All headers.
    pub headers: Vec<Header>,
}

/// A request that passed all checks.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub struct Request {
    /// The method.
    pub method: ureq::http::Method,
    /// The path with its query, starting with `/`.
    pub path: String,
    /// The service: the first segment of the path.
    pub service: Name,
    /// The request id sent by the caller.
    pub id: String,
    /// The idempotency key; present for non-idempotent requests only.
    pub claim: Option<claim::Id>,
    /// The headers to forward to the backend server.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

/// Why a request was rejected. None of these requests was run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The path names no service.
    #[error("the path names no service; ask for /<service>/<path>")]
    NoService,
    /// The path is too long.
    #[error("the path has {0} bytes; send at most {MAX_PATH}")]
    LongPath(usize),
    /// The headers are too long.
    #[error("the headers have {0} bytes; send at most {MAX_HEADERS}")]
    LongHeaders(usize),
    /// The method cannot be forwarded.
    #[error("the method `{0:.20}` cannot be passed on; use one of RFC 9110 other than CONNECT")]
    UnsupportedMethod(String),
    /// A header is not valid in HTTP.
    #[error("the header `{0:.40}` has a name or value that HTTP does not allow; send it right")]
    InvalidHeader(String),
    /// A request with a body asks to upgrade its connection.
    #[error("a request with a body cannot upgrade its connection; send no Connection: upgrade")]
    UpgradeWithBody,
    /// A header that may occur only once is repeated.
    #[error("the header {0} stands twice; send it once")]
    DuplicateHeader(&'static str),
    /// The request id is missing.
    #[error("the header {REQUEST_ID} is missing; send 1 to {MAX_ID} of A-Z a-z 0-9 _ . -")]
    MissingId,
    /// The request id is invalid.
    #[error("the header {REQUEST_ID} is not 1 to {MAX_ID} of A-Z a-z 0-9 _ . -; send another")]
    InvalidId,
    /// The idempotency key is invalid.
    #[error("the header {IDEMPOTENCY_KEY} cannot be used: {0}")]
    InvalidKey(claim::id::Error),
    /// The length of the body is ambiguous.
    #[error("the length of the body is ambiguous; send one Content-Length, or chunks, not both")]
    AmbiguousLength,
    /// The body is too long.
    #[error("the body has more than {0} bytes; send less, or in parts")]
    LongBody(usize),
    /// The caller closed the connection or sent fewer bytes than announced.
    #[error("the body ended early; send as many bytes as Content-Length says")]
    ShortBody,
    /// Too many workers are reading bodies from slow callers.
    #[error("too many callers send bodies at once; ask again in a second")]
    Busy,
}

impl Error {
    /// Returns the HTTP status for the caller.
    pub const fn status(&self) -> u16 {
        match self {
            Self::LongPath(_) => 414,
            Self::LongHeaders(_) => 431,
            Self::LongBody(_) => 413,
            Self::UnsupportedMethod(_) => 501,
            Self::NoService => 404,
            Self::Busy => 503,
            _ => 400,
        }
    }
}

impl Head {
    /// Returns the value of a header that may occur at most once.
    ///
    /// # Errors
    ///
    /// Fails if the header is repeated: proxy and backend server could each use a
    /// different one and so act on different requests.
    pub fn unique_header(&self, name: &'static str) -> Result<Option<&str>, Error> {
        let mut values = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        let first = values.next().map(|(_, value)| value.as_str());
        if values.next().is_some() { Err(Error::DuplicateHeader(name)) } else { Ok(first) }
    }

    /// Returns the announced length of the body; `None` for a chunked body.
    ///
    /// # Errors
    ///
    /// Fails if the length is ambiguous: what one reader takes for the body, another
    /// would take for the next request (request smuggling).
    pub fn length(&self) -> Result<Option<u64>, Error> {
        let length = self.unique_header("Content-Length")?;
        let encoding = self.unique_header("Transfer-Encoding")?;
        match (length, encoding) {
            (Some(_), Some(_)) => Err(Error::AmbiguousLength),
            (Some(text), None) if text.bytes().all(|b| b.is_ascii_digit()) => {
                text.parse().map(Some).map_err(|_| Error::AmbiguousLength)
            }
            (Some(_), None) => Err(Error::AmbiguousLength),
            (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(None),
            (None, Some(_)) => Err(Error::AmbiguousLength),
            (None, None) => Ok(Some(0)),
        }
    }

    /// Returns whether the caller wants the connection closed after the response.
    pub fn wants_close(&self) -> bool {
        self.connection_has("close")
    }

    fn connection_has(&self, option: &str) -> bool {
        let has_option = |(name, value): &Header| {
            name.eq_ignore_ascii_case("Connection") && value.to_ascii_lowercase().contains(option)
        };
        self.headers.iter().any(has_option)
    }

    /// Validates everything except the body.
    ///
    /// # Errors
    ///
    /// Returns the first reason why the request is rejected.
    ///
    /// ```
    /// use corianderfork_proxy::request::{Error, Head};
    ///
    /// let mut head = Head { method: "GET".into(), url: "/lookup/wb-1".into(), ..Head::default() };
    /// assert_eq!(head.check().expect_err("no id"), Error::MissingId);
    /// head.headers.push(("Request-Id".into(), "r-1".into()));
    /// assert_eq!(head.check()?.service.as_str(), "lookup");
    /// # Ok::<(), Error>(())
    /// ```
    pub fn check(&self) -> Result<Request, Error> {
        let size = self.headers.iter().map(|(name, value)| name.len() + value.len() + 4).sum();
        if size > MAX_HEADERS {
            return Err(Error::LongHeaders(size));
        }
        let id = self.unique_header(REQUEST_ID)?.ok_or(Error::MissingId)?;
        if !is_valid_id(id) {
            return Err(Error::InvalidId);
        }
        let key = self.unique_header(IDEMPOTENCY_KEY)?;
        let claim = key.map(str::parse).transpose().map_err(Error::InvalidKey)?;
        if self.length()? != Some(0) && self.connection_has("upgrade") {
            return Err(Error::UpgradeWithBody);
        }
        let headers = self.forwarded_headers();
        headers.iter().try_for_each(check_header)?;
        Ok(Request {
            method: self.method()?,
            path: self.url.clone(),
            service: self.service()?,
            id: id.to_owned(),
            claim,
            headers,
            body: Vec::new(),
        })
    }

    fn method(&self) -> Result<ureq::http::Method, Error> {
        let unsupported = || Error::UnsupportedMethod(self.method.clone());
        let method = self.method.parse::<ureq::http::Method>().map_err(|_| unsupported())?;
        let tunnel = method == ureq::http::Method::CONNECT || method == ureq::http::Method::TRACE;
        if tunnel { Err(unsupported()) } else { Ok(method) }
    }

    fn service(&self) -> Result<Name, Error> {
        if self.url.len() > MAX_PATH {
            return Err(Error::LongPath(self.url.len()));
        }
        let path = self.url.strip_prefix('/').ok_or(Error::NoService)?;
        let is_uri = format!("http://0.0.0.0{}", self.url).parse::<ureq::http::Uri>().is_ok();
        if !is_uri || path.contains('#') {
            return Err(Error::NoService);
        }
        let first = path.split(['/', '?']).next().unwrap_or_default();
        Name::new(first).map_err(|_| Error::NoService)
    }

    fn forwarded_headers(&self) -> Vec<Header> {
        let headers = self.headers.iter().map(|(name, value)| (name.as_str(), value.as_str()));
        end_to_end_headers(&headers.collect::<Vec<_>>())
    }
}

fn check_header((name, value): &Header) -> Result<(), Error> {
    let is_name = ureq::http::HeaderName::try_from(name.as_str()).is_ok();
    let is_value = ureq::http::HeaderValue::from_str(value).is_ok();
    if is_name && is_value { Ok(()) } else { Err(Error::InvalidHeader(name.clone())) }
}

fn is_valid_id(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'.' | b'-');
    !text.is_empty() && text.len() <= MAX_ID && text.bytes().all(is_allowed)
}

/// Returns the headers without the hop-by-hop ones, which include those named by
/// `Connection`.
pub fn end_to_end_headers(headers: &[(&str, &str)]) -> Vec<Header> {
    let connection = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let options = connection.flat_map(|(_, value)| value.split(','));
    let named: Vec<String> = options.map(|option| option.trim().to_ascii_lowercase()).collect();
    let keep = |name: &str| {
        let name = name.to_ascii_lowercase();
        let is_always_kept = name == "request-id" || name == "idempotency-key";
        is_always_kept || !(HOP_BY_HOP.contains(&name.as_str()) || named.contains(&name))
    };
    let kept = headers.iter().filter(|(name, _)| keep(name));
    kept.map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
}
