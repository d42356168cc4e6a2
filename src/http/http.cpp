#include "src/http/http.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace puffinvane {
namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (lower(c) >= 'a' && lower(c) <= 'z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

bool is_printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= 0x20 && byte != 0x7f);
  });
}

std::string_view trimmed(std::string_view text) {
  auto blank = [](char c) { return c == ' ' || c == '\t'; };
  while (!text.empty() && blank(text.front())) text.remove_prefix(1);
  while (!text.empty() && blank(text.back())) text.remove_suffix(1);
  return text;
}

template <typename Number>
bool parse_integer(std::string_view text, Number& value, int base = 10) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return !text.empty() && error == std::errc() && end == text.data() + text.size();
}

bool list_contains(std::string_view value, std::string_view word) {
  while (!value.empty()) {
    const std::size_t comma = std::min(value.find(','), value.size());
    if (same_name(trimmed(value.substr(0, comma)), word)) return true;
    value.remove_prefix(std::min(comma + 1, value.size()));
  }
  return false;
}

std::string_view reason_phrase(int status) {
  switch (status) {
    case 200: return "OK";
    case 201: return "Created";
    case 202: return "Accepted";
    case 204: return "No Content";
    case 206: return "Partial Content";
    case 301: return "Moved Permanently";
    case 302: return "Found";
    case 303: return "See Other";
    case 304: return "Not Modified";
    case 307: return "Temporary Redirect";
    case 308: return "Permanent Redirect";
    case 400: return "Bad Request";
    case 401: return "Unauthorized";
    case 403: return "Forbidden";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 408: return "Request Timeout";
    case 409: return "Conflict";
    case 410: return "Gone";
    case 413: return "Content Too Large";
    case 431: return "Request Header Fields Too Large";
    case 500: return "Internal Server Error";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    default: return "Answer";
  }
}

}  // namespace

bool same_name(std::string_view one, std::string_view other) {
  return one.size() == other.size() && std::equal(one.begin(), one.end(), other.begin(),
                                                  [](char a, char b) { return lower(a) == lower(b); });
}

std::string_view HttpMessage::header(std::string_view name) const {
  for (const HeaderField& header : headers) {
    if (same_name(header.name, name)) return header.value;
  }
  return {};
}

int HttpMessage::header_count(std::string_view name) const {
  return int(std::count_if(headers.begin(), headers.end(),
                           [&](const HeaderField& header) { return same_name(header.name, name); }));
}

// The handler of a complete line, by state, in the order of State; null in the states of the body.
const HttpReader::LineHandler HttpReader::kLineHandlers[] = {&HttpReader::handle_start_line,
                                                             &HttpReader::handle_header_line,
                                                             nullptr,
                                                             &HttpReader::handle_chunk_size_line,
                                                             nullptr,
                                                             &HttpReader::handle_chunk_end_line,
                                                             &HttpReader::handle_trailer_line};

std::size_t HttpReader::feed(std::string_view bytes) {
  const std::size_t received = bytes.size();
  while (!bytes.empty() && state_ != State::Complete && state_ != State::Failed) {
    if (state_ == State::Body || state_ == State::Chunk || state_ == State::BodyToEnd) {
      std::size_t count = state_ == State::BodyToEnd ? bytes.size() : std::min(bytes.size(), left_);
      if (!add_body(bytes.substr(0, count))) break;
      bytes.remove_prefix(count);
      left_ -= state_ == State::BodyToEnd ? 0 : count;
      if (left_ == 0 && state_ == State::Body) state_ = State::Complete;
      if (left_ == 0 && state_ == State::Chunk) state_ = State::ChunkEnd;
      continue;
    }
    std::size_t end = bytes.find('\n');
    std::size_t count = end == std::string_view::npos ? bytes.size() : end + 1;
    // The count restarts at each chunk line: a long stream of small chunks is not a large head.
    head_bytes_ += count;
    if (head_bytes_ > kMaxHeadBytes) {
      fail(Fault::HeadTooLarge);
      break;
    }
    line_.append(bytes.substr(0, count));
    bytes.remove_prefix(count);
    if (end == std::string_view::npos) break;
    line_.pop_back();
    if (!line_.empty() && line_.back() == '\r') line_.pop_back();
    if (!is_printable(line_)) {
      fail(Fault::Malformed);
      break;
    }
    LineHandler handle_line = kLineHandlers[static_cast<int>(state_)];
    (this->*handle_line)();
    line_.clear();
  }
  update_head_memory();
  return received - bytes.size();
}

void HttpReader::update_head_memory() {
  constexpr std::size_t kMaxKeptLineBytes = 256;  // between two lines
  if (line_.empty() && line_.capacity() > kMaxKeptLineBytes) line_ = std::string();
  line_memory_.set(line_.capacity());
  message_.update_head_memory();
}

void HttpReader::end_of_input() {
  if (state_ == State::BodyToEnd) state_ = State::Complete;
}

HttpMessage HttpReader::take() {
  HttpMessage taken = std::exchange(message_, HttpMessage(*pool_));
  state_ = State::StartLine;
  fault_ = Fault::None;
  head_bytes_ = 0;
  left_ = 0;
  body_bytes_ = 0;
  content_length_.reset();
  line_.clear();
  return taken;
}

HttpMessage HttpReader::take_head() {
  HttpMessage head = std::exchange(message_, HttpMessage(*pool_));
  message_.keep_alive = head.keep_alive;
  message_.status = head.status;
  return head;
}

BufferChain HttpReader::take_body_part() { return std::exchange(message_.body, BufferChain(*pool_)); }

std::string HttpReader::take_body_text() {
  std::string text = message_.body.text();
  message_.body.clear();
  return text;
}

void HttpReader::handle_start_line() {
  if (line_.empty()) return;  // a client may send an empty line between requests
  side_ == Side::Request ? handle_request_line() : handle_status_line();
}

void HttpReader::handle_request_line() {
  std::string_view line = line_;
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) return fail(Fault::Malformed);
  std::string_view method = line.substr(0, first);
  std::string_view target = line.substr(first + 1, last - first - 1);
  std::string_view version = line.substr(last + 1);
  bool is_known_version = version == "HTTP/1.1" || version == "HTTP/1.0";
  // The absolute form, which clients use towards a proxy, is reduced to path and query.
  if (std::size_t scheme = target.find("://");
      scheme != std::string_view::npos && is_token(target.substr(0, scheme))) {
    std::size_t path = target.find_first_of("/?", scheme + 3);
    target = path == std::string_view::npos ? "/" : target.substr(path);
  }
  if (!is_token(method) || target.empty() || target.front() != '/' || !is_known_version)
    return fail(Fault::Malformed);
  if (target.find_first_of(" \t") != std::string_view::npos) return fail(Fault::Malformed);
  message_.method = method;
  message_.target = target;
  message_.keep_alive = version == "HTTP/1.1";
  message_.is_http_1_0 = version == "HTTP/1.0";
  state_ = State::Headers;
}

void HttpReader::handle_status_line() {
  std::string_view line = line_;
  bool is_known_version = line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ");
  if (!is_known_version || line.size() < 12 || (line.size() > 12 && line[12] != ' '))
    return fail(Fault::Malformed);
  if (!parse_integer(line.substr(9, 3), message_.status) || message_.status < 100)
    return fail(Fault::Malformed);
  // A truncated status line followed by another response: it is ambiguous which one belongs to this request.
  if (line.find("HTTP/", 1) != std::string_view::npos) return fail(Fault::Malformed);
  message_.keep_alive = line[7] == '1';
  state_ = State::Headers;
}

void HttpReader::handle_header_line() {
  if (line_.empty()) return finish_head();
  std::string_view line = line_;
  std::size_t colon = line.find(':');
  // A folded line or a blank before the colon is interpreted differently by different hops, which allows
  // request smuggling.
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return fail(Fault::Malformed);
  message_.headers.add(line.substr(0, colon), trimmed(line.substr(colon + 1)));
}

void HttpReader::finish_head() {
  bool chunked = false, sized = false;
  std::size_t size = 0;
  for (const HeaderField& header : message_.headers) {
    if (same_name(header.name, "Transfer-Encoding")) {
      if (chunked || !same_name(header.value, "chunked")) return fail(Fault::Malformed);
      chunked = true;
    } else if (same_name(header.name, "Content-Length")) {
      // Two equal values are rejected too: it is unknown which one another hop added or used.
      if (sized || !parse_integer(header.value, size)) return fail(Fault::Malformed);
      sized = true;
    } else if (same_name(header.name, "Connection")) {
      if (list_contains(header.value, "close")) message_.keep_alive = false;
      else if (list_contains(header.value, "keep-alive")) message_.keep_alive = true;
    } else if (same_name(header.name, "Expect")) {
      message_.expects_continue = same_name(header.value, "100-continue");
    }
  }
  if (chunked && sized) return fail(Fault::Malformed);
  if (side_ == Side::Response && message_.status < 200) {  // an interim response; the final one follows
    // head_bytes_ is not reset, so that endless interim responses end as HeadTooLarge.
    message_ = HttpMessage(*pool_);
    state_ = State::StartLine;
    return;
  }
  bool has_no_body =
      side_ == Side::Response && (no_body_ || message_.status == 204 || message_.status == 304);
  if (sized && size > max_body_ && !has_no_body) return fail(Fault::BodyTooLarge);
  if (sized && !has_no_body) content_length_ = size;
  left_ = size;
  if (has_no_body) {
    state_ = State::Complete;
  } else if (chunked) {
    state_ = State::ChunkSize;
    head_bytes_ = 0;
  } else if (side_ == Side::Response && !sized) {
    state_ = State::BodyToEnd;
    message_.keep_alive = false;
  } else {
    state_ = size == 0 ? State::Complete : State::Body;
  }
}

void HttpReader::handle_chunk_size_line() {
  std::string_view size = std::string_view(line_).substr(0, line_.find(';'));
  head_bytes_ = 0;
  if (size.size() > 8 || !parse_integer(trimmed(size), left_, 16)) return fail(Fault::Malformed);
  state_ = left_ == 0 ? State::Trailers : State::Chunk;
}

void HttpReader::handle_chunk_end_line() {
  if (!line_.empty()) return fail(Fault::Malformed);
  head_bytes_ = 0;
  state_ = State::ChunkSize;
}

void HttpReader::handle_trailer_line() {
  if (line_.empty()) state_ = State::Complete;
}

bool HttpReader::add_body(std::string_view bytes) {
  // The whole body is limited only if it is streamed as one body. Otherwise only the part not yet taken is
  // limited: the response of a discovery watch never ends.
  body_bytes_ += bytes.size();
  if ((is_streaming_ ? body_bytes_ : message_.body.size() + bytes.size()) > max_body_) {
    fail(Fault::BodyTooLarge);
    return false;
  }
  message_.body.add(bytes);
  return true;
}

bool is_forwarded_header(std::string_view header) {
  static constexpr std::string_view kHopHeaders[] = {
      "Connection",   "Keep-Alive", "Proxy-Connection", "TE",   "Trailer",     "Transfer-Encoding",
      "Upgrade",      "Expect",     "Content-Length",   "Host", "X-Time-Left", "X-Backend-Load",
      "X-Unprocessed"};
  return std::none_of(std::begin(kHopHeaders), std::end(kHopHeaders),
                      [&](std::string_view name) { return same_name(name, header); });
}

namespace {
void add_headers(std::string& head, const HttpMessage& from) {
  std::string_view named = from.header("Connection");
  for (const HeaderField& header : from.headers) {
    if (!is_forwarded_header(header.name) || list_contains(named, header.name)) continue;
    head.append(header.name).append(": ").append(header.value).append("\r\n");
  }
}
void add_framing(std::string& head, BodyFraming framing) {
  if (framing.size) head.append("Content-Length: ").append(std::to_string(*framing.size)).append("\r\n");
  else if (!framing.to_end) head.append("Transfer-Encoding: chunked\r\n");
}
}  // namespace

void write_response_head(BufferChain& out, const HttpMessage& from, BodyFraming framing, bool close) {
  std::string head = "HTTP/1.1 " + std::to_string(from.status) + " ";
  head.append(reason_phrase(from.status)).append("\r\n");
  add_headers(head, from);
  add_framing(head, framing);
  if (close) head.append("Connection: close\r\n");
  out.add(head.append("\r\n"));
}

void write_chunk(BufferChain& out, const BufferChain& bytes) {
  if (bytes.empty()) return;  // an empty chunk would end the body
  char size[24];
  auto end = std::to_chars(size, size + sizeof size, bytes.size(), 16).ptr;
  out.add({size, std::size_t(end - size)});
  out.add("\r\n");
  out.add(bytes);
  out.add("\r\n");
}

void write_last_chunk(BufferChain& out) { out.add("0\r\n\r\n"); }

void write_request(BufferChain& out, const HttpMessage& request, std::string_view host,
                   std::string_view remaining_deadline, std::optional<BodyFraming> framing) {
  std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
  std::string_view named = request.header("Host");
  head.append("Host: ").append(named.empty() ? host : named).append("\r\n");
  add_headers(head, request);
  if (!remaining_deadline.empty()) head.append("X-Time-Left: ").append(remaining_deadline).append("\r\n");
  if (framing) {
    add_framing(head, *framing);
    return out.add(head.append("\r\n"));
  }
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
    head.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
  out.add(head.append("\r\n"));
  out.add(request.body);
}

void write_response(BufferChain& out, int status, const HttpMessage* from, std::string_view more_headers,
                    std::string_view text, bool close, bool is_head_request) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head.append(reason_phrase(status)).append("\r\n");
  if (from) add_headers(head, *from);
  std::string size = std::to_string(from ? from->body.size() : text.size());
  // The response to HEAD keeps the endpoint's Content-Length: the length of the body that GET would return.
  if (is_head_request && from) size = from->header("Content-Length");
  bool sized = !size.empty() && status != 204 && status != 304;
  if (sized) head.append("Content-Length: ").append(size).append("\r\n");
  head.append(more_headers);
  if (close) head.append("Connection: close\r\n");
  out.add(head.append("\r\n"));
  if (!sized || is_head_request) return;
  if (from) {
    out.add(from->body);
  } else {
    out.add(text);
  }
}

}  // namespace puffinvane
