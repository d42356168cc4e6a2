#include "tools/load_test/loop/http.h"

#include <strings.h>

#include <algorithm>
#include <charconv>

namespace load_test {

namespace {

constexpr std::size_t kMaxHeadSize = 32 * 1024, kMaxBodySize = 16u << 20;

bool equals_ignore_case(std::string_view one, std::string_view other) {
  return one.size() == other.size() && strncasecmp(one.data(), other.data(), one.size()) == 0;
}

template <typename Number>
bool parse_number(std::string_view text, Number& value, int base = 10) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return !text.empty() && error == std::errc() && end == text.data() + text.size();
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

}  // namespace

std::string_view HttpMessage::header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (equals_ignore_case(key, name)) return value;
  }
  return {};
}

std::string serialize(const HttpMessage& message) {
  std::string out = message.status ? "HTTP/1.1 " + std::to_string(message.status) + " Said\r\n"
                                   : message.method + " " + message.target + " HTTP/1.1\r\nHost: origin\r\n";
  for (const auto& [key, value] : message.headers) out += key + ": " + value + "\r\n";
  if (message.status || message.method != "GET")
    out += "Content-Length: " + std::to_string(message.body.size()) + "\r\n";
  if (message.close) out += "Connection: close\r\n";
  return out + "\r\n" + message.body;
}

std::size_t HttpReader::feed(std::string_view bytes) {
  std::size_t consumed = 0;
  while (consumed < bytes.size() && state_ != State::Complete && state_ != State::Invalid) {
    std::string_view rest = bytes.substr(consumed);
    if (state_ == State::Head) {
      std::size_t before = head_.size();
      head_ += rest;
      std::size_t end = head_.find("\r\n\r\n", before < 3 ? 0 : before - 3);
      if (end == std::string::npos) {
        if (head_.size() > kMaxHeadSize) state_ = State::Invalid;
        return bytes.size();
      }
      consumed += end + 4 - before;
      head_.resize(end + 2);
      parse_head();
    } else if (state_ == State::Body || state_ == State::Chunk || state_ == State::UntilClose) {
      std::size_t count = state_ == State::UntilClose ? rest.size() : std::min(body_remaining_, rest.size());
      message_.body += rest.substr(0, count);
      consumed += count;
      body_remaining_ -= state_ == State::UntilClose ? 0 : count;
      if (message_.body.size() > kMaxBodySize) state_ = State::Invalid;
      else if (body_remaining_ == 0 && state_ == State::Body) state_ = State::Complete;
      else if (body_remaining_ == 0 && state_ == State::Chunk) state_ = State::ChunkSize;
    } else if (read_line(rest, consumed)) {
      parse_chunk_line();
    }
  }
  return consumed;
}

bool HttpReader::read_line(std::string_view& bytes, std::size_t& consumed) {
  std::size_t end = bytes.find('\n');
  line_ += bytes.substr(0, end == std::string_view::npos ? end : end + 1);
  consumed += end == std::string_view::npos ? bytes.size() : end + 1;
  if (line_.size() > kMaxHeadSize) state_ = State::Invalid;
  return end != std::string_view::npos;
}

void HttpReader::parse_chunk_line() {
  std::string line = std::exchange(line_, {});
  if (!line.ends_with("\r\n")) return void(state_ = State::Invalid);
  line.resize(line.size() - 2);
  if (state_ == State::Trailer) {
    if (line.empty()) state_ = State::Complete;
    return;
  }
  if (line.empty() && !message_.body.empty()) return;  // the line end after the previous chunk
  if (!parse_number(std::string_view(line).substr(0, line.find(';')), body_remaining_, 16))
    return void(state_ = State::Invalid);
  state_ = body_remaining_ == 0 ? State::Trailer : State::Chunk;
}

void HttpReader::parse_head() {
  state_ = State::Invalid;
  std::string_view rest = head_;
  auto next_line = [&] {
    std::size_t end = rest.find("\r\n");
    std::string_view found = rest.substr(0, end);
    rest.remove_prefix(end + 2);
    return found;
  };
  std::string_view first = next_line();
  std::size_t first_space = first.find(' '), second_space = first.find(' ', first_space + 1);
  if (first_space == std::string_view::npos) return;
  if (kind_ == Kind::Requests) {
    if (second_space == std::string_view::npos || first.substr(second_space + 1) != "HTTP/1.1") return;
    message_.method = std::string(first.substr(0, first_space));
    message_.target = std::string(first.substr(first_space + 1, second_space - first_space - 1));
  } else if (!first.starts_with("HTTP/1.") ||
             !parse_number(first.substr(first_space + 1, 3), message_.status)) {
    return;
  }
  bool chunked = false, length = false;
  while (!rest.empty()) {
    std::string_view header = next_line();
    std::size_t colon = header.find(':');
    if (colon == std::string_view::npos || colon == 0) return;
    std::string_view name = header.substr(0, colon), value = trimmed(header.substr(colon + 1));
    message_.headers.emplace_back(name, value);
    if (equals_ignore_case(name, "Transfer-Encoding")) chunked = equals_ignore_case(value, "chunked");
    if (equals_ignore_case(name, "Connection") && equals_ignore_case(value, "close")) message_.close = true;
    if (!equals_ignore_case(name, "Content-Length")) continue;
    if (length || !parse_number(value, body_remaining_)) return;
    length = true;
  }
  if (chunked && length) return;
  head_.clear();
  if (kind_ == Kind::Responses && message_.status / 100 == 1) {
    message_ = HttpMessage();
    state_ = State::Head;
    body_remaining_ = 0;
  } else if (chunked) {
    state_ = State::ChunkSize;
  } else if (!length && kind_ == Kind::Responses) {
    state_ = State::UntilClose;
  } else {
    state_ = body_remaining_ > 0 ? State::Body : State::Complete;
  }
}

void HttpReader::connection_closed() {
  if (state_ == State::UntilClose) state_ = State::Complete;
}

HttpMessage HttpReader::take() {
  HttpMessage result = std::exchange(message_, {});
  state_ = State::Head;
  body_remaining_ = 0;
  head_.clear();
  line_.clear();
  return result;
}

}  // namespace load_test
